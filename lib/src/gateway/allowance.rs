//! Shares of fleet-wide limits that one instance may use without coordination.
//!
//! Each limit has some slack. Every instance takes an equal share of rate and slack, so the limit
//! holds for the whole fleet even if all instances are partitioned from each other.

use std::{collections::VecDeque, time::Duration};

use crate::clock::ClockTime;

/// Bounds on what a team may use across all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Sliding window over which the bound applies.
    pub window: Duration,
    /// Tolerated excess, as a fraction of the limit.
    pub overage: f64,
    /// Additional units that are tolerated.
    pub slack: f64,
}

/// Fraction of a full bucket with which a process starts, because an earlier process of this
/// instance may have used the rest within the same window.
const START_FRACTION: f64 = 0.35;

/// Part of the bound over a window that buckets hold when they are full. The rest is refill, so that
/// a team that asks for more than its rate all the time still gets most of the bound.
const BUCKET_FRACTION: f64 = 0.15;

/// Fraction of a full bucket that is not lent.
const KEPT_FRACTION: f64 = 0.25;

/// Token bucket with this instance's share of a team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamBucket {
    level: f64,
    size: f64,
    updated: ClockTime,
}

/// Refill rate and size of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketShape {
    /// Units per second.
    pub rate: f64,
    /// Level up to which the bucket is refilled, in units.
    pub size: f64,
}

impl BucketShape {
    /// Shape for an instance that holds no share of the limit and borrows everything.
    pub const EMPTY: BucketShape = BucketShape {
        rate: 0.0,
        size: 0.0,
    };

    /// Share of one of `instances` instances in a limit of `rate` and `burst`.
    ///
    /// Over a window, the bucket grants `rate * window + size`. That is `1 / instances` of the
    /// bound, less what a restarted process starts with. The refill includes the tolerated excess;
    /// it is never less than the limit's own rate.
    pub fn for_team(rate: f64, burst: f64, bounds: &QuotaBounds, instances: usize) -> BucketShape {
        let share = 1.0 / instances.max(1) as f64;
        let window = bounds.window.as_secs_f64();
        let total = (rate * window + burst) * (1.0 + bounds.overage) + bounds.slack;
        let refill = total * (1.0 - BUCKET_FRACTION * (1.0 + START_FRACTION)) / window;
        let refill = refill.max(rate);
        let size = (total - refill * window) / (1.0 + START_FRACTION);
        BucketShape {
            rate: refill * share,
            size: size * share,
        }
    }
}

impl TeamBucket {
    /// Creates the bucket of a process that has just started; full only if no earlier process can
    /// have used it.
    pub fn new(now: ClockTime, shape: BucketShape, first_start: bool) -> TeamBucket {
        let fraction = if first_start { 1.0 } else { START_FRACTION };
        TeamBucket {
            level: shape.size * fraction,
            size: shape.size,
            updated: now,
        }
    }

    /// Lends up to `wanted` units to another instance and keeps at least `KEPT_FRACTION` of a full
    /// bucket; returns the units lent.
    pub fn lend(&mut self, now: ClockTime, shape: BucketShape, wanted: f64) -> f64 {
        self.refill(now, shape);
        let lent = (self.level - shape.size * KEPT_FRACTION).clamp(0.0, wanted.max(0.0));
        self.level -= lent;
        lent
    }

    /// Units that can be taken, as of the last refill.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units that are missing to cover `cost`.
    pub fn missing(&mut self, now: ClockTime, shape: BucketShape, cost: f64) -> f64 {
        self.refill(now, shape);
        (cost - self.level).max(0.0)
    }

    fn refill(&mut self, now: ClockTime, shape: BucketShape) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        if shape.size == 0.0 && self.size > 0.0 {
            // Another instance holds this share now.
            self.level = 0.0;
        }
        self.size = shape.size;
        // Loans may raise the level above the size, which is allowed but stops the refill.
        if self.level < shape.size {
            self.level = (self.level + elapsed * shape.rate).min(shape.size);
        }
    }

    /// Takes `cost` units if the level covers them; returns whether it did.
    pub fn take(&mut self, now: ClockTime, shape: BucketShape, cost: f64) -> bool {
        self.refill(now, shape);
        let is_covered = cost <= self.level;
        if is_covered {
            self.level -= cost;
        }
        is_covered
    }

    /// Adds units without regard to the size: a loan, or the refund for a request that never ran.
    pub fn deposit(&mut self, units: f64) {
        self.level += units;
    }
}

/// Counts events within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingCounter {
    times: VecDeque<ClockTime>,
}

impl SlidingCounter {
    /// Records an event.
    pub fn add(&mut self, now: ClockTime) {
        self.times.push_back(now);
    }

    /// Number of events within the last `window`. Keeps older ones.
    pub fn count_within(&self, now: ClockTime, window: Duration) -> usize {
        let old = self
            .times
            .partition_point(|time| now.since(*time) >= window);
        self.times.len() - old
    }

    /// Number of events within the last `window`; forgets older ones.
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

/// Bounds on retries to a service across all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Sliding window over which the bound applies.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
}

/// This instance's share of a service's retry budget.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Counts a request's first send.
    pub fn count_request(&mut self, now: ClockTime) {
        self.requests.add(now);
    }

    /// Takes one retry from the budget; returns whether there was one left.
    pub fn take(&mut self, now: ClockTime, bounds: &RetryBounds, instances: usize) -> bool {
        let requests = self.requests.count(now, bounds.window) as f64;
        let retries = self.retries.count(now, bounds.window) as f64;
        // A restarted process starts with an empty window, so half of the slack is reserved for
        // that case.
        let slack = bounds.slack / instances.max(1) as f64 / 2.0;
        if retries + 1.0 > bounds.ratio * requests + slack.max(1.0) {
            return false;
        }
        self.retries.add(now);
        true
    }
}

/// Bounds on requests to a cold server across all instances, relative to the rate that it can
/// handle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on that rate.
    pub overage: f64,
    /// Additional requests.
    pub slack: f64,
}

/// Window over which the bound on cold servers applies.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Requests per second that one of `instances` instances may send to a cold server; `rank` is the
/// instance's approximate position among the instances that share the server, from 0.
pub fn cold_share(rate: f64, bounds: &ColdBounds, instances: usize, rank: usize) -> usize {
    let total = (rate * bounds.overage + bounds.slack).floor().max(0.0) as usize;
    let instances = instances.max(1);
    let even = total / instances;
    // Instances' views of the membership differ, so the remainder is unused unless the even share
    // is 0.
    if even > 0 {
        even
    } else {
        usize::from(rank < total / 2)
    }
}

/// Limits the rate of requests that this instance sends to a cold server.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sends: SlidingCounter,
}

impl ColdLimiter {
    /// Whether another request fits in this instance's `share`, in requests per second.
    pub fn has_room(&self, now: ClockTime, share: usize) -> bool {
        self.sends.count_within(now, COLD_WINDOW) < share
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: ClockTime) {
        self.sends.add(now);
        // Sends before the window no longer matter.
        self.sends.count(now, COLD_WINDOW);
    }
}
