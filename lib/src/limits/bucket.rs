//! Token bucket for some of the shares of a limit, in exact integer arithmetic.

use std::time::Duration;

use super::{MICROS_PER_UNIT, SHARE_COUNT};
use crate::clock::ClockTime;

/// Token bucket for the shares of one limit that one instance holds.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareBucket {
    /// Rate of the complete limit, in whole units per second.
    rate: u64,
    /// Burst of the complete limit, in whole units.
    burst: u64,
    /// Number of shares held by this instance.
    shares: u64,
    /// Current level, in micro-units times [`SCALE`].
    level: u64,
    /// Outstanding loans, in micro-units times [`SCALE`].
    lent: u64,
    refilled_at: ClockTime,
}

/// Factor that keeps the level exact, because a share is a fraction of the limit.
const SCALE: u64 = SHARE_COUNT as u64;

impl ShareBucket {
    /// Creates an empty bucket that holds `shares` shares of a limit.
    ///
    /// `rate` is in whole units per second and `burst` in whole units, both for the complete limit.
    pub fn empty(now: ClockTime, rate: u64, burst: u64, shares: u64) -> ShareBucket {
        ShareBucket {
            rate,
            burst,
            shares,
            level: 0,
            lent: 0,
            refilled_at: now,
        }
    }

    /// Changes the rate, burst and number of shares. The level never increases.
    pub fn resize(&mut self, now: ClockTime, rate: u64, burst: u64, shares: u64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.shares = shares;
        self.level = self.level.min(self.capacity());
    }

    /// Sets the level to zero.
    pub fn drain(&mut self, now: ClockTime) {
        self.refill(now);
        self.level = 0;
    }

    /// Largest level: the burst of the shares minus outstanding loans, times [`SCALE`].
    fn capacity(&self) -> u64 {
        let burst = self.burst.saturating_mul(MICROS_PER_UNIT);
        burst.saturating_mul(self.shares).saturating_sub(self.lent)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.rate.saturating_mul(self.shares);
        let added = rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(added).min(self.capacity());
    }

    /// Burst of the shares held by this instance, in micro-units.
    pub fn burst_micros(&self) -> u64 {
        self.burst
            .saturating_mul(MICROS_PER_UNIT)
            .saturating_mul(self.shares)
            / SCALE
    }

    /// Micro-units available now.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.level / SCALE
    }

    /// Takes `micros` micro-units if available; returns whether it did.
    pub fn try_take(&mut self, now: ClockTime, micros: u64) -> bool {
        self.refill(now);
        let scaled = micros.saturating_mul(SCALE);
        if scaled > self.level {
            return false;
        }
        self.level -= scaled;
        true
    }

    /// Lends up to `micros` micro-units; returns the amount lent.
    pub fn lend(&mut self, now: ClockTime, micros: u64) -> u64 {
        let micros = micros.min(self.available(now));
        self.level -= micros * SCALE;
        self.lent += micros * SCALE;
        micros
    }

    /// Records that `micros` micro-units of loans have been spent, returned or expired.
    pub fn end_loan(&mut self, now: ClockTime, micros: u64) {
        self.refill(now);
        self.lent = self.lent.saturating_sub(micros.saturating_mul(SCALE));
    }

    /// Puts back micro-units that were taken but not used, up to the capacity.
    pub fn refund(&mut self, now: ClockTime, micros: u64) {
        self.refill(now);
        let scaled = micros.saturating_mul(SCALE);
        self.level = self.level.saturating_add(scaled).min(self.capacity());
    }

    /// Time until `micros` micro-units are available if nothing is taken; `None` if never.
    pub fn time_until_available(&mut self, now: ClockTime, micros: u64) -> Option<Duration> {
        self.refill(now);
        let scaled = micros.saturating_mul(SCALE);
        let rate = self.rate.saturating_mul(self.shares);
        if scaled > self.capacity() || rate == 0 {
            return None;
        }
        let missing = scaled.saturating_sub(self.level);
        Some(Duration::from_micros(missing.div_ceil(rate)))
    }
}
