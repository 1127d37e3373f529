//! Shares of teams' limits under loads that use the whole bound, without a network.

use std::time::Duration;

use wasabistall_lib::{
    clock::ClockTime,
    gateway::allowance::{BucketShape, QuotaBounds, TeamBucket},
};

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.25,
    slack: 110_000.0,
};
const RATE: f64 = 28_400.0;
const BURST: f64 = 102_000.0;
const SHARES: usize = 6;

fn window_bound() -> f64 {
    (RATE * BOUNDS.window.as_secs_f64() + BURST) * (1.0 + BOUNDS.overage) + BOUNDS.slack
}

fn shape() -> BucketShape {
    BucketShape::for_team(RATE, BURST, &BOUNDS, SHARES)
}

/// Takes as many requests of `cost` as the bucket grants at each of the given milliseconds; returns
/// the units taken at each.
fn take_all(bucket: &mut TeamBucket, millis: impl Iterator<Item = u64>, cost: f64) -> Vec<f64> {
    millis
        .map(|time| {
            let now = ClockTime::ZERO.after(Duration::from_millis(time));
            let mut taken = 0.0;
            while bucket.take(now, shape(), cost) {
                taken += cost;
            }
            taken
        })
        .collect()
}

fn largest_window(taken: &[f64], steps: usize) -> f64 {
    (0..taken.len())
        .map(|start| taken[start..].iter().take(steps).sum())
        .fold(0.0, f64::max)
}

/// Guards against a share that refills at the team's rate only: after some seconds above its rate, a
/// team was refused although the bound over the window still had room.
#[test]
fn steady_demand_above_the_rate_gets_most_of_the_bound() {
    let mut bucket = TeamBucket::new(ClockTime::ZERO, shape(), true);
    let seconds = 40;
    let taken = take_all(&mut bucket, (0..seconds * 10).map(|step| step * 100), 50.0);
    let late: f64 = taken[200..].iter().sum();
    let bound = window_bound() / SHARES as f64 * 20.0 / BOUNDS.window.as_secs_f64();
    assert!(late >= bound * 0.75, "{late:.0} of {bound:.0}");
}

/// A process that is killed at any moment and restarted spends from a new bucket; both together stay
/// within their share of the bound in every window.
#[test]
fn restart_at_any_moment_stays_within_the_bound() {
    let share = window_bound() / SHARES as f64;
    let steps = BOUNDS.window.as_millis() as usize / 100;
    for restart in (0..12_000_u64).step_by(700) {
        let mut first = TeamBucket::new(ClockTime::ZERO, shape(), true);
        let mut taken = take_all(&mut first, (0..restart).step_by(100), 10.0);
        let restarted_at = ClockTime::ZERO.after(Duration::from_millis(restart));
        let mut second = TeamBucket::new(restarted_at, shape(), false);
        taken.extend(take_all(&mut second, (restart..24_000).step_by(100), 10.0));
        let largest = largest_window(&taken, steps);
        assert!(
            largest <= share,
            "{largest:.0} of {share:.0}, restarted at {restart} ms"
        );
    }
}

/// Without tolerance, a share still refills at the team's own rate.
#[test]
fn share_never_refills_below_the_rate() {
    let strict = QuotaBounds {
        overage: 0.0,
        slack: 0.0,
        ..BOUNDS
    };
    let shape = BucketShape::for_team(RATE, BURST, &strict, 1);
    assert!(shape.rate >= RATE, "{shape:?}");
    let granted = shape.rate * strict.window.as_secs_f64() + shape.size;
    let bound = RATE * strict.window.as_secs_f64() + BURST;
    assert!(granted <= bound, "{granted:.0} of {bound:.0}");
}
