//! The clock of a process that may be suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use wasabistall_lib::clock::ClockTime;

/// The process stood still when the clocks drift apart, or a timer is late, by this much.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

fn read(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Time since the start of the process, with the time for which the machine was suspended.
#[derive(Debug)]
pub(super) struct BootClock {
    start: Duration,
}

impl BootClock {
    pub(super) fn new() -> BootClock {
        BootClock {
            start: read(ClockId::Boottime),
        }
    }

    pub(super) fn now(&self) -> ClockTime {
        let elapsed = read(ClockId::Boottime).saturating_sub(self.start);
        ClockTime::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// Notices that the process stood still.
#[derive(Debug)]
pub(super) struct PauseDetector {
    suspended: Duration,
    expected: Duration,
}

impl PauseDetector {
    pub(super) fn new() -> PauseDetector {
        PauseDetector {
            suspended: suspended_time(),
            expected: read(ClockId::Monotonic),
        }
    }

    /// Notes when the next check is due.
    pub(super) fn expect_after(&mut self, delay: Duration) {
        self.expected = read(ClockId::Monotonic) + delay;
    }

    /// How long the process stood still since the last check, if it did.
    pub(super) fn check(&mut self) -> Option<Duration> {
        let suspended = suspended_time();
        let gap = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        let late = read(ClockId::Monotonic).saturating_sub(self.expected);
        let pause = gap.max(late);
        (pause >= PAUSE_THRESHOLD).then_some(pause)
    }
}

/// Time for which the machine has been suspended since its start.
fn suspended_time() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}
