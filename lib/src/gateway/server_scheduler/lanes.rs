//! Turns of an instance's loads from the weight store.

use std::time::Duration;

use crate::clock::ClockTime;

/// Longest time for which a load from the weight store waits for its turn.
const LOAD_QUEUE_TIME: Duration = Duration::from_millis(300);
/// Loads on their way at first, for each server scheduled here; published stores bear 0.3 to 0.9.
const FIRST_WINDOW: f64 = 0.5;
/// Bounds of that number: half of the least that published stores bear, and twice the most.
const MIN_WINDOW: f64 = 0.15;
const MAX_WINDOW: f64 = 2.0;
/// Growth of the number with each adjustment in which a load had to wait, and its cut after a load
/// that was not done in time.
const WINDOW_GROWTH: f64 = 1.03;
const WINDOW_CUT: f64 = 0.85;
/// Loads that are on their way together are late together: one cut answers for them, and the number
/// does not grow meanwhile.
const LATE_TIME: Duration = Duration::from_millis(400);

/// Turns of an instance's loads from the weight store, which slows down under many at once.
///
/// How many the store bears is not published, so that the number of loads on their way adapts to
/// whether they are done in time.
#[derive(Debug)]
pub struct LoadLimiter {
    /// Servers scheduled by the instance.
    servers: usize,
    /// Loads on their way, for each of them.
    window: f64,
    /// When each lane is free.
    free_at: Vec<ClockTime>,
    /// Whether a load had to wait since the last adjustment.
    limited: bool,
    late_until: ClockTime,
}

impl Default for LoadLimiter {
    fn default() -> LoadLimiter {
        LoadLimiter::new(FIRST_WINDOW)
    }
}

impl LoadLimiter {
    /// Lanes for `window` loads on their way for each server.
    pub fn new(window: f64) -> LoadLimiter {
        LoadLimiter {
            servers: 0,
            window,
            free_at: Vec::new(),
            limited: false,
            late_until: ClockTime::ZERO,
        }
    }

    /// Sets the number of servers that the instance schedules.
    pub fn resize(&mut self, servers: usize) {
        self.servers = servers;
        let lanes = self.loads().ceil() as usize;
        self.free_at.sort_unstable();
        self.free_at.resize(lanes.max(1), ClockTime::ZERO);
    }

    /// Loads that may be on their way to all of the instance's servers.
    fn loads(&self) -> f64 {
        self.window * self.servers.max(1) as f64
    }

    /// Takes the next turn for a load; `None` when it is too far off.
    pub(super) fn reserve(&mut self, now: ClockTime, load_time: Duration) -> Option<ClockTime> {
        // Less than a load to a lane is a pause after each load.
        let spread = self.free_at.len() as f64 / self.loads();
        let lane = self.free_at.iter_mut().min()?;
        let start = (*lane).max(now);
        self.limited |= start > now;
        if start.since(now) > LOAD_QUEUE_TIME {
            return None;
        }
        *lane = start.after(load_time.mul_f64(spread));
        Some(start)
    }

    /// Takes in that a load was not done in time.
    pub fn note_late(&mut self, now: ClockTime) {
        if now >= self.late_until {
            self.window = (self.window * WINDOW_CUT).max(MIN_WINDOW);
            self.late_until = now.after(LATE_TIME);
        }
    }

    /// Lets more loads on their way if some had to wait and none was late.
    pub fn adjust(&mut self, now: ClockTime) {
        if std::mem::take(&mut self.limited) && now >= self.late_until {
            self.window = (self.window * WINDOW_GROWTH).min(MAX_WINDOW);
        }
    }
}
