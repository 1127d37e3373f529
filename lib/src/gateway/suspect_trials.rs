//! Which requests are passed on although a cause of theirs is refused, to find out whether the cause
//! crashes servers.

use std::{collections::BTreeMap, time::Duration};

use super::crash_causes::{CauseHash, CauseTable};
use crate::clock::ClockTime;

/// Time between two trials of a cause by one instance, in which the outcome of the first is known.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// One instance in this many may try a cause at once, and at least one.
const INSTANCES_PER_TRIAL: usize = 64;
/// Time in which the number of instances that may try a cause doubles while requests with it come.
const GROWTH_TIME: Duration = Duration::from_secs(3);
/// Time without such requests after which the number starts anew.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Time from the last crash of a cause that no other explains until its first trial.
const PROBATION_TIME: Duration = Duration::from_secs(120);
/// Growth of that time with each trial.
const PROBATION_GROWTH: u32 = 4;
/// Number of trials of a cause that no other explains.
const MAX_PROBATIONS: usize = 2;

/// What is known of the trials of a refused cause.
#[derive(Clone, Copy, Debug)]
struct TrialState {
    /// Number of crashes at which the cause was present.
    crashes: usize,
    /// Time at which the newest of them was learned.
    since: ClockTime,
    /// Times of the first and the newest request that could have been a trial.
    wanted: Option<(ClockTime, ClockTime)>,
    /// Time of this instance's newest trial.
    last_trial: Option<ClockTime>,
}

impl TrialState {
    /// Time from which on requests may be trials; `None` if none may.
    fn begins_at(&self, cause: CauseHash, is_doubtful: bool) -> Option<ClockTime> {
        if is_doubtful {
            return Some(self.since);
        }
        let trials = self.crashes.saturating_sub(cause.min_crashes());
        let growth = PROBATION_GROWTH.checked_pow(u32::try_from(trials).ok()?)?;
        (trials < MAX_PROBATIONS).then(|| self.since.after(PROBATION_TIME * growth))
    }

    /// Number of instances that may try the cause, of those that run.
    fn width(&self, now: ClockTime, instances: usize) -> usize {
        let first = self.wanted.map_or(now, |(first, _)| first);
        let doublings = now.since(first).as_millis() / GROWTH_TIME.as_millis();
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let growth = 1_usize.checked_shl(doublings).unwrap_or(usize::MAX);
        instances
            .div_ceil(INSTANCES_PER_TRIAL)
            .saturating_mul(growth)
    }
}

/// Position of an instance among those that run, by which they take turns in trials of a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TrialRank {
    /// Number of instances before it.
    pub(super) before: usize,
    /// Number of instances that run.
    pub(super) instances: usize,
}

/// Trials of refused causes by this instance.
#[derive(Debug, Default)]
pub(super) struct TrialTable {
    states: BTreeMap<CauseHash, TrialState>,
}

impl TrialTable {
    /// Applies newly found causes.
    pub(super) fn update(&mut self, now: ClockTime, causes: &CauseTable) {
        self.states
            .retain(|cause, _| causes.crash_count(*cause) > 0);
        for (cause, crashes) in causes.causes() {
            let state = self.states.entry(cause).or_insert(TrialState {
                crashes,
                since: now,
                wanted: None,
                last_trial: None,
            });
            if crashes > state.crashes {
                state.since = now;
                state.wanted = None;
            }
            state.crashes = crashes;
        }
    }

    /// Whether a request with a refused cause may be a trial of it. `is_doubtful` says that others may
    /// explain its crashes.
    pub(super) fn may_try(
        &mut self,
        now: ClockTime,
        cause: CauseHash,
        is_doubtful: bool,
        rank: impl FnOnce() -> TrialRank,
    ) -> bool {
        let Some(state) = self.states.get_mut(&cause) else {
            return true;
        };
        if state
            .begins_at(cause, is_doubtful)
            .is_none_or(|time| time > now)
        {
            return false;
        }
        let first = match state.wanted {
            Some((first, newest)) if now.since(newest) < IDLE_TIME => first,
            _ => now,
        };
        state.wanted = Some((first, now));
        let is_waiting = |time| now.since(time) < TRIAL_INTERVAL;
        if state.last_trial.is_some_and(is_waiting) {
            return false;
        }
        let rank = rank();
        rank.before < state.width(now, rank.instances)
    }

    /// Records a trial of a cause.
    pub(super) fn record_trial(&mut self, now: ClockTime, cause: CauseHash) {
        if let Some(state) = self.states.get_mut(&cause) {
            state.last_trial = Some(now);
        }
    }

    /// Whether a crash of a refused cause was learned after `time`.
    pub(super) fn has_crashed_since(&self, cause: CauseHash, time: ClockTime) -> bool {
        self.states
            .get(&cause)
            .is_some_and(|state| state.since > time)
    }
}
