//! Paces the long prefills of one model server by the pauses of the streams beside them.
//!
//! A prefill delays each decode step of the server's streams, so that prefills in a row can stretch
//! the time between two events beyond the objective for pauses. How far depends on the server's
//! speed and load at the time, which are not published. The pacer therefore adapts the gap between
//! two long prefills: a stream with a pause beyond its objective widens it, one without narrows it.

use std::time::Duration;

/// Largest gap, in event intervals: each stream emits an event between two prefills. It applies
/// before any stream has ended. A wider one does not help, since then a single prefill already
/// exceeds the objective.
const MAX_EVENTS: f64 = 1.0;
/// Increase of the gap after a stream with a late pause, and decrease after one without, in event
/// intervals. The gap settles where about one stream in eleven has a late pause.
const LATE_STEP: f64 = 0.2;
const TIMELY_STEP: f64 = 0.02;

/// Gap between two long prefills of a server.
#[derive(Clone, Copy, Debug)]
pub struct PrefillPacer {
    events: f64,
}

impl Default for PrefillPacer {
    fn default() -> PrefillPacer {
        PrefillPacer { events: MAX_EVENTS }
    }
}

impl PrefillPacer {
    /// Gap between the end of a long prefill and the start of the next, for streams whose events are
    /// `event_interval` apart while nothing is prefilled.
    pub fn gap(&self, event_interval: Duration) -> Duration {
        event_interval.mul_f64(self.events)
    }

    /// Adapts the gap to whether a stream that ended had a pause beyond its objective.
    pub fn record_stream(&mut self, had_late_pause: bool) {
        let step = if had_late_pause {
            LATE_STEP
        } else {
            -TIMELY_STEP
        };
        self.events = (self.events + step).clamp(0.0, MAX_EVENTS);
    }
}
