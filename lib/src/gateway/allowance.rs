//! Parts of fleet-wide limits that one instance may use without asking anybody.
//!
//! Each limit has slack beyond what is owed. An instance takes an equal part of rate and slack,
//! so that the sum over all instances holds with every one of them cut off from every other.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockTime;

/// Bounds on what a team may use over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Sliding window that the bound is judged in.
    pub window: Duration,
    /// Part beyond the limit that is tolerated.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// Part of the largest bucket that a process starts with: an earlier process of this instance may
/// have used the rest within the same window.
const START_PART: f64 = 0.35;

/// Part of a bucket that is not lent.
const KEPT_PART: f64 = 0.25;

/// This instance's part of a team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamBucket {
    level: f64,
    size: f64,
    updated: ClockTime,
}

/// Rate and size of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketShape {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub size: f64,
}

impl BucketShape {
    /// An instance that holds no part of the limit and borrows all.
    pub const EMPTY: BucketShape = BucketShape {
        rate: 0.0,
        size: 0.0,
    };

    /// The part of one among `population` instances of a limit of `rate` and `burst`.
    ///
    /// Over a window the bucket gives `rate * window + size`, which is `1 / population` of the
    /// bound less what a restarted process starts with.
    pub fn of_team(rate: f64, burst: f64, bounds: &QuotaBounds, population: usize) -> BucketShape {
        let part = 1.0 / population.max(1) as f64;
        let window = bounds.window.as_secs_f64();
        let total = (rate * window + burst) * (1.0 + bounds.overage) + bounds.slack;
        let size = (total - rate * window) * part / (1.0 + START_PART);
        BucketShape {
            rate: rate * part,
            size,
        }
    }
}

impl TeamBucket {
    /// The bucket of a process that has just started; full only where no earlier process can have
    /// used it.
    pub fn new(now: ClockTime, shape: BucketShape, first_start: bool) -> TeamBucket {
        let part = if first_start { 1.0 } else { START_PART };
        TeamBucket {
            level: shape.size * part,
            size: shape.size,
            updated: now,
        }
    }

    /// Lends up to `wanted` to another instance; keeps `KEPT_PART` of the bucket.
    pub fn lend(&mut self, now: ClockTime, shape: BucketShape, wanted: f64) -> f64 {
        self.refill(now, shape);
        let lent = (self.level - shape.size * KEPT_PART).clamp(0.0, wanted.max(0.0));
        self.level -= lent;
        lent
    }

    /// What is missing for `cost`.
    pub fn missing(&mut self, now: ClockTime, shape: BucketShape, cost: f64) -> f64 {
        self.refill(now, shape);
        (cost - self.level).max(0.0)
    }

    fn refill(&mut self, now: ClockTime, shape: BucketShape) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if shape.size == 0.0 && self.size > 0.0 {
            // Another instance holds this part now.
            self.level = 0.0;
        }
        self.size = shape.size;
        // What was borrowed may lie above the size; it only stops the refill.
        if self.level < shape.size {
            self.level = (self.level + elapsed * shape.rate).min(shape.size);
        }
    }

    /// Takes `cost`, if it is there.
    pub fn take(&mut self, now: ClockTime, shape: BucketShape, cost: f64) -> bool {
        self.refill(now, shape);
        let is_there = cost <= self.level;
        if is_there {
            self.level -= cost;
        }
        is_there
    }

    /// Gives back what a request that never ran had taken.
    pub fn give_back(&mut self, cost: f64) {
        self.level += cost;
    }
}

/// Counts events within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount {
    times: VecDeque<ClockTime>,
}

impl SlidingCount {
    /// Counts one event.
    pub fn add(&mut self, now: ClockTime) {
        self.times.push_back(now);
    }

    /// Events within the last `window`.
    pub fn count(&mut self, now: ClockTime, window: Duration) -> usize {
        while self
            .times
            .front()
            .is_some_and(|time| now.since(*time) >= window)
        {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// Bounds on repeated sends to a service over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Sliding window that the bound is judged in.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
}

/// This instance's part of a service's retry budget.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: SlidingCount,
    repeats: SlidingCount,
}

impl RetryBudget {
    /// Counts a request's first send.
    pub fn count_request(&mut self, now: ClockTime) {
        self.requests.add(now);
    }

    /// Takes leave to send a request once more.
    pub fn take(&mut self, now: ClockTime, bounds: &RetryBounds, population: usize) -> bool {
        let requests = self.requests.count(now, bounds.window) as f64;
        let repeats = self.repeats.count(now, bounds.window) as f64;
        // A restarted process forgets its window, so half of the slack is left for that.
        let slack = bounds.slack / population.max(1) as f64 / 2.0;
        if repeats + 1.0 > bounds.ratio * requests + slack.max(1.0) {
            return false;
        }
        self.repeats.add(now);
        true
    }
}

/// Bounds on requests to a cold server over all instances, beyond its own rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Window of the bound on cold servers.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Requests a second that one among `population` instances may send to a cold server; `rank` is
/// the instance's place in the order in which instances share the server.
pub fn cold_share(rate: f64, bounds: &ColdBounds, population: usize, rank: usize) -> usize {
    let total = (rate * bounds.overage + bounds.slack).floor().max(0.0) as usize;
    let population = population.max(1);
    let even = total / population;
    // Views of the membership differ, so the remainder stays unused unless nobody would get any.
    if even > 0 {
        even
    } else {
        usize::from(rank < total / 2)
    }
}

/// Requests that this instance sent to a cold server lately.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sends: SlidingCount,
}

impl ColdLimiter {
    /// Whether another request fits.
    pub fn has_room(&mut self, now: ClockTime, part: usize) -> bool {
        self.sends.count(now, COLD_WINDOW) < part
    }

    /// Counts a request sent.
    pub fn record_send(&mut self, now: ClockTime) {
        self.sends.add(now);
    }
}
