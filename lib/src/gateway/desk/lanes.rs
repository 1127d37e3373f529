//! Turns of an instance's loads from the weight store.

use std::time::Duration;

use crate::clock::ClockTime;

/// Longest time for which a load from the weight store waits for its turn.
const LOAD_QUEUE_TIME: Duration = Duration::from_millis(300);

/// Turns of an instance's loads from the weight store, which slows down under many at once.
#[derive(Debug, Default)]
pub struct LoadLanes {
    /// When each lane is free.
    free_at: Vec<ClockTime>,
}

impl LoadLanes {
    /// Sets the number of lanes.
    pub fn resize(&mut self, lanes: usize) {
        self.free_at.sort_unstable();
        self.free_at.resize(lanes.max(1), ClockTime::ZERO);
    }

    /// Takes the next turn for a load; `None` when it is too far off.
    pub(super) fn reserve(&mut self, now: ClockTime, load_time: Duration) -> Option<ClockTime> {
        let lane = self.free_at.iter_mut().min()?;
        let start = (*lane).max(now);
        if start.since(now) > LOAD_QUEUE_TIME {
            return None;
        }
        *lane = start.after(load_time);
        Some(start)
    }
}

/// Whether an adapter was in place when it was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// It was.
    InTime,
    /// It was not; too many may be on their way.
    Late,
}
