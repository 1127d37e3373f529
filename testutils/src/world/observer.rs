//! Checks that all instances together keep within a rate limit.

use wasabistall_lib::{
    clock::ClockTime,
    limits::{LimitAmount, LimitRate, LimitTotals, MICROS_PER_UNIT},
};

/// A reference token bucket for the whole fleet. It must not be overdrawn under any faults.
#[derive(Clone, Debug)]
pub struct LimitObserver {
    rate: LimitRate,
    level: LimitAmount,
    previous: LimitTotals,
    refilled: ClockTime,
    /// Largest amount by which the bucket was ever overdrawn.
    pub overdrawn: LimitAmount,
}

impl LimitObserver {
    /// Creates a full bucket.
    pub fn new(rate: LimitRate) -> LimitObserver {
        LimitObserver {
            rate,
            level: LimitAmount::from_units(rate.burst_tokens, rate.burst_requests),
            previous: LimitTotals::default(),
            refilled: ClockTime::ZERO,
            overdrawn: LimitAmount::ZERO,
        }
    }

    /// Applies the change since the last call. `sums` are the totals over all instances since the
    /// start, those of killed instances included.
    pub fn observe(&mut self, now: ClockTime, sums: LimitTotals) {
        let refunded = sums.refunded.saturating_sub(self.previous.refunded);
        let taken = sums.taken.saturating_sub(self.previous.taken);
        self.previous = sums;
        self.refill(now);
        self.level = self.level.saturating_add(refunded);
        let shortfall = taken.saturating_sub(self.level);
        self.overdrawn = self.overdrawn.component_max(shortfall);
        self.level = self.level.saturating_sub(taken);
        let burst = LimitAmount::from_units(self.rate.burst_tokens, self.rate.burst_requests);
        self.level = self.level.component_min(burst);
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.as_micros().saturating_sub(self.refilled.as_micros());
        self.refilled = now;
        let added = LimitAmount {
            tokens: self.rate.tokens * elapsed,
            requests: self.rate.requests * elapsed,
        };
        let burst = LimitAmount::from_units(self.rate.burst_tokens, self.rate.burst_requests);
        self.level = self.level.saturating_add(added).component_min(burst);
    }

    /// Whether the limit allows one request of `tokens` now. Takes nothing from the bucket.
    pub fn allows(&mut self, now: ClockTime, tokens: u64) -> bool {
        self.refill(now);
        self.level.tokens >= tokens * MICROS_PER_UNIT && self.level.requests >= MICROS_PER_UNIT
    }
}
