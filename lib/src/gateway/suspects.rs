//! Finds out which requests crash the servers that run them, so that they can be refused.
//!
//! Requests that were starting on a server when it crashed are suspects, by the hash of their
//! content and by the shared parts of their prompts: different requests may crash servers with the
//! same part. What is known of crashes belongs to the fleet (see [`super::crash_log`]). What an answer
//! was completed on is not the cause of the crashes before.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand_chacha::ChaCha8Rng;
use twox_hash::XxHash3_64;

use super::{
    GatewayReducer,
    availability::process_hash,
    crash_log::{CrashLog, CrashNews},
    event::{GatewayEffect, GatewayRequest},
    log_event,
    servers::GatewayServerKey,
};
use crate::clock::ClockTime;

/// Time within which a broken connection counts as a crash if the server is found to be down.
const CONFIRM_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which an answer that was completed clears the causes of its request.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Number of crashes after which requests with the same content are refused.
const MAX_CONTENT_CRASHES: usize = 2;
/// Number of crashes after which requests with the same prompt part are refused. More than for whole
/// requests, since unrelated requests share parts and one crash may hit several of them.
const MAX_PART_CRASHES: usize = 3;
/// Seed of the hashes of prompt parts, which sets them apart from hashes of contents.
const PART_SEED: u64 = 1;

/// What of a request may crash servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SuspectCauses {
    /// Hash of its content, host and team.
    content: u64,
    /// Hashes of the shared parts of its prompt.
    parts: Vec<u64>,
}

impl SuspectCauses {
    pub(super) fn new(request: &GatewayRequest, team: &str) -> SuspectCauses {
        let shared = match request.prompt_parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        };
        SuspectCauses {
            content: XxHash3_64::oneshot_with_seed(
                XxHash3_64::oneshot_with_seed(request.content_hash, request.host.as_bytes()),
                team.as_bytes(),
            ),
            parts: shared
                .iter()
                .map(|part| XxHash3_64::oneshot_with_seed(PART_SEED, &part.id.to_le_bytes()))
                .collect(),
        }
    }

    fn all(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().copied().chain([self.content])
    }
}

#[derive(Debug)]
struct BrokenConnection {
    server: GatewayServerKey,
    causes: Vec<u64>,
    time: ClockTime,
}

/// Causes of crashes, as known to this instance.
#[derive(Debug, Default)]
pub(super) struct SuspectList {
    broken: Vec<BrokenConnection>,
    log: CrashLog,
    /// Time at which an answer was last completed, by cause.
    answered: HashMap<u64, ClockTime>,
    /// Number of crashes by cause, without causes that were cleared.
    crash_counts: BTreeMap<u64, usize>,
}

impl SuspectList {
    /// Records that the connection of a request broke.
    fn record_broken_connection(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        causes: Vec<u64>,
    ) {
        self.broken
            .retain(|broken| now.since(broken.time) < CONFIRM_WINDOW);
        self.broken.push(BrokenConnection {
            server,
            causes,
            time: now,
        });
    }

    /// Records a crash for each request whose connection to `server` broke recently. Returns whether
    /// there was any.
    fn confirm_crash(&mut self, now: ClockTime, server: GatewayServerKey, crash: u32) -> bool {
        let confirmed: Vec<BrokenConnection> = self
            .broken
            .extract_if(.., |broken| broken.server == server)
            .filter(|broken| now.since(broken.time) < CONFIRM_WINDOW)
            .collect();
        for cause in confirmed.iter().flat_map(|broken| &broken.causes) {
            self.log.record(now, *cause, crash);
        }
        !confirmed.is_empty()
    }

    /// Records that a request was answered completely. Returns whether this clears a cause.
    fn record_answer(&mut self, now: ClockTime, causes: &SuspectCauses) -> bool {
        let mut changed = false;
        for cause in causes.all() {
            self.answered.insert(cause, now);
            changed |= self.log.clear(cause);
        }
        changed
    }

    fn is_cleared(&self, now: ClockTime, cause: u64) -> bool {
        self.answered
            .get(&cause)
            .is_some_and(|time| now.since(*time) < CLEARED_TIME)
    }

    /// Removes what is outdated. Returns whether a crash was.
    pub(super) fn prune(&mut self, now: ClockTime) -> bool {
        self.answered
            .retain(|_, time| now.since(*time) < CLEARED_TIME);
        self.log.prune(now)
    }

    /// Begins a gossip round.
    pub(super) fn begin_round(&mut self) {
        self.log.begin_round();
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

    /// Whether a request that arrives is to be refused for its causes, which are then kept.
    pub(super) fn refuse_request(&mut self, now: ClockTime, causes: &SuspectCauses) -> bool {
        let refused: Vec<u64> = self.refused_causes(causes).collect();
        for cause in &refused {
            self.log.refresh(now, *cause);
        }
        !refused.is_empty()
    }

    /// Whether requests with one of these causes are to be refused.
    pub(super) fn is_refused(&self, causes: &SuspectCauses) -> bool {
        self.refused_causes(causes).next().is_some()
    }

    fn refused_causes(&self, causes: &SuspectCauses) -> impl Iterator<Item = u64> {
        let count = |cause: u64| self.crash_counts.get(&cause).copied().unwrap_or(0);
        let parts = causes.parts.iter().copied();
        let parts = parts.filter(move |part| count(*part) >= MAX_PART_CRASHES);
        let content = Some(causes.content).filter(|_| count(causes.content) >= MAX_CONTENT_CRASHES);
        parts.chain(content)
    }

    /// Counts the crashes of all causes. Returns those that are newly refused.
    fn count_crashes(&mut self) -> Vec<u64> {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (cause, _) in self.log.blamed() {
            *counts.entry(cause).or_default() += 1;
        }
        let known = std::mem::replace(&mut self.crash_counts, counts);
        let is_refused = |counts: &BTreeMap<u64, usize>, cause: &u64| {
            counts.get(cause).copied().unwrap_or(0) >= MAX_PART_CRASHES
        };
        let causes = self.crash_counts.keys().copied();
        causes
            .filter(|cause| is_refused(&self.crash_counts, cause) && !is_refused(&known, cause))
            .collect()
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
            let causes = causes.all();
            let uncleared = causes.filter(|cause| !self.suspects.is_cleared(now, *cause));
            uncleared.collect()
        } else {
            Vec::new()
        };
        self.suspects
            .record_broken_connection(now, server, suspected);
        effects.push(GatewayEffect::CheckServer {
            server,
            address: self.servers.get(server).record.address,
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
        let record = &self.servers.get(server).record;
        // A process crashes once, so that its hash identifies the crash.
        let (id, process) = (record.id.clone(), process_hash(&record.id, record.started));
        if self.suspects.confirm_crash(now, server, process as u32) {
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
            self.count_crashes(effects);
        }
    }

    /// Removes outdated crashes.
    pub(super) fn prune_crashes(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        if self.suspects.prune(now) {
            self.count_crashes(effects);
        }
    }

    /// Passes on at once what this instance has found out about crashes.
    fn crashes_changed(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.count_crashes(effects);
        self.spread_change(now, effects);
    }

    fn count_crashes(&mut self, effects: &mut Vec<GatewayEffect>) {
        for cause in self.suspects.count_crashes() {
            log_event(effects, "cause_refused", "", &format!("cause={cause:016x}"));
        }
    }
}
