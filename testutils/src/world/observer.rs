//! Watches from outside whether all instances together keep within a limit.

use wasabistall_lib::{
    clock::ClockTime,
    limits::{LimitAmount, LimitRate, LimitTotals, MICROS_PER_UNIT},
};

/// A reference token bucket over all instances, which no schedule of faults may overdraw.
#[derive(Clone, Debug)]
pub struct LimitObserver {
    rate: LimitRate,
    level: LimitAmount,
    seen: LimitTotals,
    refilled: ClockTime,
    /// Largest amount by which the bucket was overdrawn.
    pub overdrawn: LimitAmount,
}

impl LimitObserver {
    /// A full bucket.
    pub fn new(rate: LimitRate) -> LimitObserver {
        LimitObserver {
            rate,
            level: LimitAmount::from_units(rate.burst_tokens, rate.burst_requests),
            seen: LimitTotals::default(),
            refilled: ClockTime::ZERO,
            overdrawn: LimitAmount::ZERO,
        }
    }

    /// Takes in the sums over all instances, dead ones included.
    pub fn observe(&mut self, now: ClockTime, sums: LimitTotals) {
        let returned = sums.refunded.saturating_sub(self.seen.refunded);
        let taken = sums.taken.saturating_sub(self.seen.taken);
        self.seen = sums;
        self.refill(now);
        self.level = self.level.saturating_add(returned);
        let short = taken.saturating_sub(self.level);
        self.overdrawn = self.overdrawn.component_max(short);
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

    /// Whether the whole fleet could admit an amount now.
    pub fn allows(&mut self, now: ClockTime, tokens: u64) -> bool {
        self.refill(now);
        self.level.tokens >= tokens * MICROS_PER_UNIT && self.level.requests >= MICROS_PER_UNIT
    }
}
