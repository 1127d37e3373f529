//! A token bucket for a number of shares of a limit, in exact integer arithmetic.

use std::time::Duration;

use super::{MICROS_PER_UNIT, SHARE_COUNT};
use crate::clock::ClockTime;

/// Level, loans and refill of the shares of one limit that one instance holds.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareBucket {
    /// Whole units a second of the whole limit.
    rate: u64,
    /// Whole units at once of the whole limit.
    burst: u64,
    /// Shares held here.
    shares: u64,
    /// Level in micro-units times [`SHARE_COUNT`].
    level: u64,
    /// Lent and neither spent nor expired, in micro-units times [`SHARE_COUNT`].
    lent: u64,
    refilled: ClockTime,
}

const PARTS: u64 = SHARE_COUNT as u64;

impl ShareBucket {
    /// An empty bucket for `shares` shares of `rate` whole units a second and `burst` at once.
    pub fn empty(now: ClockTime, rate: u64, burst: u64, shares: u64) -> ShareBucket {
        ShareBucket {
            rate,
            burst,
            shares,
            level: 0,
            lent: 0,
            refilled: now,
        }
    }

    /// Changes the rate, burst and number of shares; never adds to the level.
    pub fn resize(&mut self, now: ClockTime, rate: u64, burst: u64, shares: u64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.shares = shares;
        self.level = self.level.min(self.capacity());
    }

    /// Empties the bucket.
    pub fn drain(&mut self, now: ClockTime) {
        self.refill(now);
        self.level = 0;
    }

    /// Largest level: the burst of the shares less what is lent.
    fn capacity(&self) -> u64 {
        let burst = self.burst.saturating_mul(MICROS_PER_UNIT);
        burst.saturating_mul(self.shares).saturating_sub(self.lent)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.as_micros().saturating_sub(self.refilled.as_micros());
        self.refilled = self.refilled.max(now);
        let rate = self.rate.saturating_mul(self.shares);
        let added = rate.saturating_mul(elapsed);
        self.level = self.level.saturating_add(added).min(self.capacity());
    }

    /// Burst of the shares, in micro-units.
    pub fn burst_micros(&self) -> u64 {
        self.burst
            .saturating_mul(MICROS_PER_UNIT)
            .saturating_mul(self.shares)
            / PARTS
    }

    /// Micro-units available now.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.level / PARTS
    }

    /// Takes `micros` if they are available.
    pub fn try_take(&mut self, now: ClockTime, micros: u64) -> bool {
        self.refill(now);
        let scaled = micros.saturating_mul(PARTS);
        if scaled > self.level {
            return false;
        }
        self.level -= scaled;
        true
    }

    /// Lends at most `micros`; returns how much was lent.
    pub fn lend(&mut self, now: ClockTime, micros: u64) -> u64 {
        let micros = micros.min(self.available(now));
        self.level -= micros * PARTS;
        self.lent += micros * PARTS;
        micros
    }

    /// Notes that `micros` of what was lent are spent or have expired.
    pub fn end_loan(&mut self, now: ClockTime, micros: u64) {
        self.refill(now);
        self.lent = self.lent.saturating_sub(micros.saturating_mul(PARTS));
    }

    /// Puts back micro-units that were taken and not used, up to the burst.
    pub fn refund(&mut self, now: ClockTime, micros: u64) {
        self.refill(now);
        let scaled = micros.saturating_mul(PARTS);
        self.level = self.level.saturating_add(scaled).min(self.capacity());
    }

    /// How long until `micros` are available if nothing is taken; `None` if never.
    pub fn wait_for(&mut self, now: ClockTime, micros: u64) -> Option<Duration> {
        self.refill(now);
        let scaled = micros.saturating_mul(PARTS);
        let rate = self.rate.saturating_mul(self.shares);
        if scaled > self.capacity() || rate == 0 {
            return None;
        }
        let missing = scaled.saturating_sub(self.level);
        Some(Duration::from_micros(missing.div_ceil(rate)))
    }
}
