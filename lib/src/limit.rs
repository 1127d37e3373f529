//! Rate limits: token buckets in exact integer arithmetic.

use std::time::Duration;

use crate::clock::ClockTime;

/// Micro-units in one unit of a limit; refilling at one unit a second adds one each microsecond.
const MICROS: u64 = 1_000_000;

/// A share of a rate and burst, held by one process.
#[derive(Clone, Debug, PartialEq)]
pub struct RateBucket {
    rate: u64,
    burst: u64,
    parts: u64,
    /// Level in micro-units, multiplied by `parts`.
    level: u64,
    refilled: ClockTime,
}

impl RateBucket {
    /// An empty bucket with one of `parts` equal shares of `rate` a second and `burst`.
    pub fn empty(now: ClockTime, rate: u64, burst: u64, parts: u64) -> RateBucket {
        RateBucket {
            rate,
            burst,
            parts: parts.max(1),
            level: 0,
            refilled: now,
        }
    }

    /// Changes rate, burst and share without adding anything to the level.
    pub fn resize(&mut self, now: ClockTime, rate: u64, burst: u64, parts: u64) {
        self.refill(now);
        let micros = self.level / self.parts;
        self.rate = rate;
        self.burst = burst;
        self.parts = parts.max(1);
        self.level = micros.saturating_mul(self.parts).min(self.capacity());
    }

    /// The largest level: the burst in micro-units, which is one share multiplied by `parts`.
    fn capacity(&self) -> u64 {
        self.burst.saturating_mul(MICROS)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.as_micros().saturating_sub(self.refilled.as_micros());
        self.refilled = self.refilled.max(now);
        let added = self.rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(added).min(self.capacity());
    }

    /// Takes `amount` units, or returns how long until they could be there.
    ///
    /// Returns `Duration::MAX` when the amount exceeds the share's burst.
    pub fn take(&mut self, now: ClockTime, amount: u64) -> Result<(), Duration> {
        self.refill(now);
        let needed = amount.saturating_mul(MICROS).saturating_mul(self.parts);
        if needed > self.capacity() {
            return Err(Duration::MAX);
        }
        if needed > self.level {
            let missing = needed - self.level;
            return Err(Duration::from_micros(missing.div_ceil(self.rate.max(1))));
        }
        self.level -= needed;
        Ok(())
    }

    /// Returns `amount` units that were taken and not used.
    pub fn give_back(&mut self, now: ClockTime, amount: u64) {
        self.refill(now);
        let returned = amount.saturating_mul(MICROS).saturating_mul(self.parts);
        self.level = self.level.saturating_add(returned).min(self.capacity());
    }

    /// Whole units available now.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.level / self.parts / MICROS
    }
}
