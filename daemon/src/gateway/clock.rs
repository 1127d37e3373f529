//! Monotonic clock that keeps running while the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use wasabistall_lib::clock::ClockTime;

fn read(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Measures the time since the start of the process, including suspended time.
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
