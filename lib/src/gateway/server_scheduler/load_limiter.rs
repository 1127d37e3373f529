//! Limits an instance's concurrent loads from the weight store.

use std::time::Duration;

use crate::clock::ClockTime;

/// Longest time that a load from the weight store waits for a slot, unless its request is queued.
pub(super) const MAX_LOAD_WAIT: Duration = Duration::from_millis(300);
/// Initial number of concurrent loads per server scheduled here. Published stores sustain 0.3 to
/// 1.8.
const INITIAL_WINDOW: f64 = 0.5;
/// Bounds of the window: half of the least and slightly more than the most of that.
const MIN_WINDOW: f64 = 0.15;
const MAX_WINDOW: f64 = 2.0;
/// Factors by which the window grows at each adjustment after a load had to wait, and with each load
/// that was in time meanwhile, and by which it shrinks after a late load. Growth by time alone exceeded
/// what the store bears as soon as loads kept waiting.
const IDLE_GROWTH: f64 = 1.002;
const TIMELY_GROWTH: f64 = 1.02;
const WINDOW_CUT: f64 = 0.85;
/// Factor by which the window shrinks after a slightly late load. Single ones show a wrong expectation,
/// frequent ones an overloaded store.
const DELAYED_CUT: f64 = 0.85;
/// Until the first late load, each load that was in time grows the window such that it grows by this
/// share within the time of a load: at the start every adapter is missing, and the window has to
/// find the capacity of an unknown store quickly.
const STARTUP_GROWTH: f64 = 0.5;
/// Factor by which that late load shrinks the window.
const STARTUP_CUT: f64 = 0.6;
/// Concurrent loads tend to be late together. A late load within this time of a cut doesn't cut the
/// window again, and the window doesn't grow meanwhile.
const LATE_CUT_INTERVAL: Duration = Duration::from_millis(400);

/// Load time that is assumed before the first loads, while few loads are running.
pub(super) const INITIAL_LOAD_TIME: Duration = Duration::from_millis(250);
/// Factor on the time after which an adapter was still missing, for the next expected load time.
const DELAYED_LOAD_MARGIN: f64 = 1.1;
/// Factor on the expected load time for each load that was in time. It makes the expectation follow a
/// store that becomes faster, at the cost of one late load in about fifty.
const LOAD_TIME_DECAY: f64 = 0.998;
/// Weight of the load time that another instance expects.
const PEER_WEIGHT: f64 = 0.25;
/// Bounds of the expected load time.
const MIN_LOAD_TIME: Duration = Duration::from_millis(20);
const MAX_LOAD_TIME: Duration = Duration::from_secs(5);

/// What a request shows about a load from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTiming {
    /// The adapter was loaded when it was expected to be.
    Timely,
    /// It was slightly late: it was still missing this long after the load began.
    Delayed(Duration),
    /// It was so late that the weight store must be overloaded.
    Late,
}

/// Limits an instance's concurrent loads from the weight store, which slows down under many of
/// them.
///
/// The capacity of the store is not published, so the window adapts to whether loads complete in
/// time.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    /// Number of servers that the instance schedules.
    server_count: usize,
    /// Number of concurrent loads per server.
    window: f64,
    /// Time at which each load slot becomes free.
    free_at: Vec<ClockTime>,
    /// Whether a load had to wait since the last adjustment.
    was_limited: bool,
    /// The same between the last two adjustments.
    is_limited: bool,
    late_until: ClockTime,
    /// Whether no load has been late yet.
    starting: bool,
    /// Expected time of a load while few loads are running.
    load_time: Duration,
}

impl Default for LoadLimiter {
    fn default() -> LoadLimiter {
        LoadLimiter::new(INITIAL_WINDOW)
    }
}

impl LoadLimiter {
    /// Creates a limiter for `window` concurrent loads per server.
    pub fn new(window: f64) -> LoadLimiter {
        LoadLimiter {
            server_count: 0,
            window,
            free_at: Vec::new(),
            was_limited: false,
            is_limited: false,
            late_until: ClockTime::ZERO,
            starting: true,
            load_time: INITIAL_LOAD_TIME,
        }
    }

    /// Expected time of a load from the weight store while few loads are running. It is not
    /// published, so it is learned from loads.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Takes the load time that another instance expects into account. Most instances see few loads,
    /// and a new one none.
    pub fn merge_load_time(&mut self, peer: Duration) {
        let merged = self.load_time.mul_f64(1.0 - PEER_WEIGHT)
            + peer.min(MAX_LOAD_TIME).mul_f64(PEER_WEIGHT);
        self.set_load_time(merged);
    }

    /// Sets the number of servers that the instance schedules.
    pub fn set_server_count(&mut self, server_count: usize) {
        self.server_count = server_count;
        let slot_count = self.max_loads().ceil() as usize;
        self.free_at.sort_unstable();
        self.free_at.resize(slot_count.max(1), ClockTime::ZERO);
    }

    /// Maximum number of concurrent loads over all servers of the instance.
    fn max_loads(&self) -> f64 {
        self.window * self.server_count.max(1) as f64
    }

    /// Time at which the next slot becomes free.
    pub(super) fn next_free_at(&self) -> Option<ClockTime> {
        self.free_at.iter().min().copied()
    }

    /// Reserves the next free slot for a load and returns its start time, or `None` if it would
    /// start later than `max_wait` from now.
    pub(super) fn reserve(
        &mut self,
        now: ClockTime,
        load_time: Duration,
        max_wait: Duration,
    ) -> Option<ClockTime> {
        // With a fractional number of loads per slot, each load is followed by a pause.
        let slot_time_factor = self.free_at.len() as f64 / self.max_loads();
        let slot = self.free_at.iter_mut().min()?;
        let start = (*slot).max(now);
        self.was_limited |= start > now;
        if start.since(now) > max_wait {
            return None;
        }
        *slot = start.after(load_time.mul_f64(slot_time_factor));
        Some(start)
    }

    /// Adapts the window to what a request shows about a load.
    pub fn record_timing(&mut self, now: ClockTime, timing: LoadTiming) {
        match timing {
            LoadTiming::Timely => {
                self.set_load_time(self.load_time.mul_f64(LOAD_TIME_DECAY));
                if self.is_limited {
                    let growth = if self.starting {
                        1.0 + STARTUP_GROWTH / self.max_loads().max(1.0)
                    } else {
                        TIMELY_GROWTH
                    };
                    self.window = (self.window * growth).min(MAX_WINDOW);
                }
            }
            LoadTiming::Delayed(time) => {
                self.set_load_time(self.load_time.max(time.mul_f64(DELAYED_LOAD_MARGIN)));
                self.window = (self.window * DELAYED_CUT).max(MIN_WINDOW);
            }
            LoadTiming::Late => self.record_late_load(now),
        }
    }

    fn set_load_time(&mut self, load_time: Duration) {
        self.load_time = load_time.clamp(MIN_LOAD_TIME, MAX_LOAD_TIME);
    }

    /// Shrinks the window after a load that didn't complete in time.
    pub fn record_late_load(&mut self, now: ClockTime) {
        if now >= self.late_until {
            let cut = if self.starting {
                STARTUP_CUT
            } else {
                WINDOW_CUT
            };
            self.starting = false;
            self.window = (self.window * cut).max(MIN_WINDOW);
            self.late_until = now.after(LATE_CUT_INTERVAL);
        }
    }

    /// Grows the window if a load had to wait and none was late.
    pub fn adjust(&mut self, now: ClockTime) {
        self.is_limited = std::mem::take(&mut self.was_limited);
        if self.is_limited && now >= self.late_until {
            self.window = (self.window * IDLE_GROWTH).min(MAX_WINDOW);
        }
    }
}
