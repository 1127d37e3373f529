//! Monotonic time, which callers pass to the reducer with each event.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds since an arbitrary start.
///
/// Readings of different processes are not comparable, so messages between processes carry
/// durations instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The start of the clock.
    pub const ZERO: ClockTime = ClockTime(0);

    /// Creates a reading from microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> ClockTime {
        ClockTime(micros)
    }

    /// Creates a reading from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> ClockTime {
        ClockTime(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The reading `delay` later, saturating at the end of the clock.
    pub fn after(self, delay: Duration) -> ClockTime {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        ClockTime(self.0.saturating_add(micros))
    }

    /// The reading `duration` earlier, saturating at the start of the clock.
    pub fn before(self, duration: Duration) -> ClockTime {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        ClockTime(self.0.saturating_sub(micros))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this reading.
    pub fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
