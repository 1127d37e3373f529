//! Watches from outside whether all instances together keep within a limit.

use wasabistall_lib::{
    clock::ClockTime,
    limits::{LimitAmount, LimitRate, LimitTotals, MICROS},
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
            level: LimitAmount::whole(rate.burst_tokens, rate.burst_requests),
            seen: LimitTotals::default(),
            refilled: ClockTime::ZERO,
            overdrawn: LimitAmount::ZERO,
        }
    }

    /// Takes in the sums over all instances, dead ones included.
    pub fn observe(&mut self, now: ClockTime, sums: LimitTotals) {
        let returned = sums.returned.minus(self.seen.returned);
        let taken = sums.taken.minus(self.seen.taken);
        self.seen = sums;
        self.refill(now);
        self.level = self.level.plus(returned);
        let short = taken.minus(self.level);
        self.overdrawn = self.overdrawn.at_least(short);
        self.level = self.level.minus(taken);
        let burst = LimitAmount::whole(self.rate.burst_tokens, self.rate.burst_requests);
        self.level = self.level.at_most(burst);
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.as_micros().saturating_sub(self.refilled.as_micros());
        self.refilled = now;
        let added = LimitAmount {
            tokens: self.rate.tokens * elapsed,
            requests: self.rate.requests * elapsed,
        };
        let burst = LimitAmount::whole(self.rate.burst_tokens, self.rate.burst_requests);
        self.level = self.level.plus(added).at_most(burst);
    }

    /// Whether the whole fleet could admit an amount now.
    pub fn allows(&mut self, now: ClockTime, tokens: u64) -> bool {
        self.refill(now);
        self.level.tokens >= tokens * MICROS && self.level.requests >= MICROS
    }
}
