//! Finds out which requests crash the servers that run them, so that they can be refused.
//!
//! Requests that were starting on a server when it crashed are suspects, by the hash of their
//! content and by the shared parts of their prompts: different requests may crash servers with the
//! same part. What is known of crashes belongs to the fleet (see [`super::crash_log`]). What an answer
//! was completed on is not the cause of the crashes before. [`super::crash_causes`] finds the causes,
//! [`super::suspect_trials`] says when a request with one is passed on nevertheless.

use std::{collections::HashMap, time::Duration};

use rand_chacha::ChaCha8Rng;
use twox_hash::XxHash3_64;

use super::{
    GatewayReducer,
    availability::process_hash,
    crash_causes::{CauseHash, CauseTable, CrashHash},
    crash_log::{CrashLog, CrashNews},
    event::{GatewayEffect, GatewayRequest},
    log_event,
    servers::GatewayServerKey,
    suspect_trials::{TrialRank, TrialTable},
};
use crate::{clock::ClockTime, rendezvous};

/// Time within which a broken connection counts as a crash if the server is found to be down.
const CONFIRM_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which an answer that was completed clears the causes of its request.
const CLEARED_TIME: Duration = Duration::from_secs(10);

/// Whether a request is passed on in spite of its causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspectVerdict {
    /// No cause of it is refused.
    Sound,
    /// Its end tells whether its causes crash servers.
    Trial,
    /// It is refused. Others may explain the crashes, so that this may soon change.
    Doubtful,
    /// It is refused.
    Refused,
}

/// What of a request may crash servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SuspectCauses {
    /// Its content, host and team, and the shared parts of its prompt.
    causes: Vec<CauseHash>,
}

impl SuspectCauses {
    pub(super) fn new(request: &GatewayRequest, team: &str) -> SuspectCauses {
        let shared = match request.prompt_parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        };
        let host_hash =
            XxHash3_64::oneshot_with_seed(request.content_hash, request.host.as_bytes());
        let content = XxHash3_64::oneshot_with_seed(host_hash, team.as_bytes());
        let parts = shared
            .iter()
            .map(|part| CauseHash::of_part(XxHash3_64::oneshot(&part.id.to_le_bytes())));
        SuspectCauses {
            causes: [CauseHash::of_content(content)]
                .into_iter()
                .chain(parts)
                .collect(),
        }
    }
}

#[derive(Debug)]
struct BrokenConnection {
    server: GatewayServerKey,
    /// Hash of the process to which the request was sent.
    crash: CrashHash,
    causes: Vec<CauseHash>,
    time: ClockTime,
}

/// Causes of crashes, as known to this instance.
#[derive(Debug, Default)]
pub(super) struct SuspectList {
    broken: Vec<BrokenConnection>,
    log: CrashLog,
    /// Time at which an answer was last completed, by cause.
    answered: HashMap<CauseHash, ClockTime>,
    refused: CauseTable,
    trials: TrialTable,
}

impl SuspectList {
    /// Records that the connection of a request broke.
    fn record_broken_connection(
        &mut self,
        now: ClockTime,
        (server, crash): (GatewayServerKey, CrashHash),
        causes: Vec<CauseHash>,
    ) {
        self.broken
            .retain(|broken| now.since(broken.time) < CONFIRM_WINDOW);
        self.broken.push(BrokenConnection {
            server,
            crash,
            causes,
            time: now,
        });
    }

    /// Records a crash for each request whose connection to `server` broke recently. Returns whether
    /// there was any.
    fn confirm_crash(&mut self, now: ClockTime, server: GatewayServerKey) -> bool {
        let confirmed: Vec<BrokenConnection> = self
            .broken
            .extract_if(.., |broken| broken.server == server)
            .filter(|broken| now.since(broken.time) < CONFIRM_WINDOW)
            .collect();
        for broken in &confirmed {
            for cause in &broken.causes {
                self.log.record(now, *cause, broken.crash);
            }
        }
        !confirmed.is_empty()
    }

    /// Records that a request was answered completely. Returns whether this clears a cause.
    fn record_answer(&mut self, now: ClockTime, causes: &SuspectCauses) -> bool {
        let mut changed = false;
        for cause in &causes.causes {
            self.answered.insert(*cause, now);
            changed |= self.log.clear(*cause);
        }
        changed
    }

    fn is_cleared(&self, now: ClockTime, cause: CauseHash) -> bool {
        self.answered
            .get(&cause)
            .is_some_and(|time| now.since(*time) < CLEARED_TIME)
    }

    /// Begins a gossip round and removes what is outdated. Returns whether a crash was.
    fn begin_round(&mut self, now: ClockTime) -> bool {
        self.answered
            .retain(|_, time| now.since(*time) < CLEARED_TIME);
        self.log.begin_round();
        self.log.prune(now)
    }

    /// What to tell a peer, whose entries have this `digest` if it has told it.
    pub(super) fn news(
        &self,
        now: ClockTime,
        digest: Option<u64>,
        random: &mut ChaCha8Rng,
    ) -> CrashNews {
        self.log.news(now, digest, random)
    }

    /// Merges what a peer has told. Returns whether any of it was new.
    fn merge(&mut self, now: ClockTime, news: &CrashNews) -> bool {
        let changed = self.log.merge(now, news);
        for record in &news.records {
            // The sender may not know of answers that this instance has seen.
            if self.is_cleared(now, record.cause) {
                self.log.clear(record.cause);
            }
        }
        changed
    }

    /// Judges a request that arrives and keeps the crashes of its refused causes. `rank` tells the
    /// position of this instance in trials of a cause.
    fn judge(
        &mut self,
        now: ClockTime,
        causes: &SuspectCauses,
        rank: impl Fn(CauseHash) -> TrialRank,
    ) -> SuspectVerdict {
        let refused: Vec<CauseHash> = self.refused_causes(causes).collect();
        if refused.is_empty() {
            return SuspectVerdict::Sound;
        }
        let (mut is_doubtful, mut may_try) = (true, true);
        for cause in &refused {
            self.log.refresh(now, *cause);
            let has_other = self.refused.is_doubtful(*cause, &causes.causes);
            is_doubtful &= has_other;
            may_try &= self.trials.may_try(now, *cause, has_other, || rank(*cause));
        }
        if may_try {
            for cause in &refused {
                self.trials.record_trial(now, *cause);
            }
            SuspectVerdict::Trial
        } else if is_doubtful {
            SuspectVerdict::Doubtful
        } else {
            SuspectVerdict::Refused
        }
    }

    /// Whether a request that was admitted at `admitted` is refused before it is sent. A trial is if one of
    /// its causes has crashed a server since.
    pub(super) fn is_refused(
        &self,
        causes: &SuspectCauses,
        trial_since: Option<ClockTime>,
    ) -> bool {
        match trial_since {
            None => self.refused_causes(causes).next().is_some(),
            Some(admitted) => self
                .refused_causes(causes)
                .any(|cause| self.trials.has_crashed_since(cause, admitted)),
        }
    }

    fn refused_causes(&self, causes: &SuspectCauses) -> impl Iterator<Item = CauseHash> {
        let causes = causes.causes.iter().copied();
        causes.filter(|cause| self.refused.crash_count(*cause) > 0)
    }

    /// Finds the causes of crashes. Returns those that are newly refused, and those that no longer are.
    fn find_causes(&mut self, now: ClockTime) -> (Vec<CauseHash>, Vec<CauseHash>) {
        let found = CauseTable::find(self.log.blamed());
        let known = std::mem::replace(&mut self.refused, found);
        self.trials.update(now, &self.refused);
        let missing_in = |table: &CauseTable, other: &CauseTable| -> Vec<CauseHash> {
            let causes = other.causes().map(|(cause, _)| cause);
            let missing = causes.filter(|cause| table.crash_count(*cause) == 0);
            missing.collect()
        };
        (
            missing_in(&known, &self.refused),
            missing_in(&self.refused, &known),
        )
    }
}

impl GatewayReducer {
    /// Records that the connection of a request broke, and checks whether its server is down.
    ///
    /// A request whose answer has been under way for a while is not suspected: servers crash when they
    /// begin to run a request.
    pub(super) fn suspect_request(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        causes: &SuspectCauses,
        was_starting: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let suspected = if was_starting {
            let causes = causes.causes.iter().copied();
            let uncleared = causes.filter(|cause| !self.suspects.is_cleared(now, *cause));
            uncleared.collect()
        } else {
            Vec::new()
        };
        let record = &self.servers.get(server).record;
        // A process crashes once, so that its hash identifies the crash.
        let crash = process_hash(&record.id, record.started) as CrashHash;
        self.suspects
            .record_broken_connection(now, (server, crash), suspected);
        effects.push(GatewayEffect::CheckServer {
            server,
            address: record.address,
        });
    }

    /// Records that a request was answered completely.
    pub(super) fn clear_request(
        &mut self,
        now: ClockTime,
        causes: &SuspectCauses,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.suspects.record_answer(now, causes) {
            self.crashes_changed(now, effects);
        }
    }

    /// Handles the result of a check whether a server accepts connections.
    pub(super) fn server_checked(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        is_reachable: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if !is_reachable {
            self.confirm_crash(now, server, effects);
        }
    }

    /// Handles the news that the process of a server has ended.
    pub(super) fn confirm_crash(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.suspects.confirm_crash(now, server) {
            let id = &self.servers.get(server).record.id;
            log_event(effects, "server_crashed", "", &format!("server={id}"));
            self.crashes_changed(now, effects);
        }
    }

    /// Handles what a peer has told of crashes.
    pub(super) fn crashes_heard(
        &mut self,
        now: ClockTime,
        news: &CrashNews,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.suspects.merge(now, news) {
            self.find_causes(now, effects);
        }
    }

    /// Begins a gossip round and removes outdated crashes.
    pub(super) fn begin_crash_round(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if self.suspects.begin_round(now) {
            self.find_causes(now, effects);
        }
    }

    /// Passes on at once what this instance has found out about crashes.
    fn crashes_changed(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.find_causes(now, effects);
        self.spread_change(now, effects);
    }

    fn find_causes(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let (refused, freed) = self.suspects.find_causes(now);
        for (event, causes) in [("cause_refused", refused), ("cause_freed", freed)] {
            for cause in causes {
                let detail = format!("cause={:016x}", cause.value());
                log_event(effects, event, "", &detail);
            }
        }
    }

    /// Judges a request that arrives by its causes.
    pub(super) fn judge_request(
        &mut self,
        now: ClockTime,
        causes: &SuspectCauses,
    ) -> SuspectVerdict {
        let members = &self.members;
        self.suspects.judge(now, causes, |cause| {
            let key = format!("{:016x}", cause.value());
            let own_weight = rendezvous::weight(&key, &members.local().name);
            let (mut before, mut instances) = (0, 1);
            for record in members.alive(now) {
                instances += 1;
                before += usize::from(rendezvous::weight(&key, &record.name) > own_weight);
            }
            TrialRank { before, instances }
        })
    }
}
