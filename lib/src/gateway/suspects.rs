//! Finds out which requests crash the servers that run them, so that they can be refused.
//!
//! Requests that were starting on a server when it crashed are suspects, by the hash of their
//! content and by the shared parts of their prompts: different requests may crash servers with the
//! same part. Instances exchange with their membership records which crashes they have seen for
//! which cause. What an answer was completed on recently is not the cause.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::{
    GatewayReducer,
    availability::process_hash,
    event::{GatewayEffect, GatewayRequest},
    log_event,
    servers::GatewayServerKey,
};
use crate::clock::ClockTime;

/// Time within which a broken connection counts as a crash if the server is found to be down.
const CONFIRM_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of crashes sent to peers.
const MAX_SUSPECTS: usize = 32;
/// Time for which an answer that was completed clears the causes of its request.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Number of crashes after which requests with the same content are refused.
const MAX_CONTENT_CRASHES: usize = 2;
/// Number of crashes after which requests with the same prompt part are refused. More than for whole
/// requests, since unrelated requests share parts and one crash may hit several of them.
const MAX_PART_CRASHES: usize = 3;
/// Seed of the hashes of prompt parts, which sets them apart from hashes of contents.
const PART_SEED: u64 = 1;

/// A crash of a server on which a request with some cause was starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Hash of a request's content or of a prompt part.
    pub cause: u64,
    /// Hash of the server's id and the start of its process, which identifies the crash.
    pub crash: u64,
}

/// What of a request may crash servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SuspectCauses {
    /// Hash of its content and team.
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
            content: XxHash3_64::oneshot_with_seed(request.content_hash, team.as_bytes()),
            parts: shared
                .iter()
                .map(|part| XxHash3_64::oneshot_with_seed(PART_SEED, &part.id.to_le_bytes()))
                .collect(),
        }
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
    /// Time at which a crash was confirmed, by cause and crash.
    crashes: BTreeMap<(u64, u64), ClockTime>,
    /// Time at which an answer was last completed, by cause.
    answered: HashMap<u64, ClockTime>,
    /// Number of crashes by cause, over all instances and without those that were cleared.
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
    fn confirm_crash(&mut self, now: ClockTime, server: GatewayServerKey, crash: u64) -> bool {
        let confirmed: Vec<BrokenConnection> = self
            .broken
            .extract_if(.., |broken| broken.server == server)
            .filter(|broken| now.since(broken.time) < CONFIRM_WINDOW)
            .collect();
        for cause in confirmed.iter().flat_map(|broken| &broken.causes) {
            self.crashes.insert((*cause, crash), now);
        }
        !confirmed.is_empty()
    }

    /// Records that a request was answered completely.
    fn record_answer(&mut self, now: ClockTime, causes: &SuspectCauses) {
        for cause in causes.parts.iter().chain([&causes.content]) {
            self.answered.insert(*cause, now);
        }
    }

    fn is_cleared(&self, now: ClockTime, cause: u64) -> bool {
        self.answered
            .get(&cause)
            .is_some_and(|time| now.since(*time) < CLEARED_TIME)
    }

    /// Removes what is outdated.
    fn prune(&mut self, now: ClockTime) {
        self.crashes
            .retain(|_, time| now.since(*time) < CRASH_RETENTION);
        self.answered
            .retain(|_, time| now.since(*time) < CLEARED_TIME);
    }

    /// Confirmed crashes, newest first, to send to peers.
    fn newest_crashes(&self) -> Vec<CrashRecord> {
        let mut newest: Vec<(&(u64, u64), &ClockTime)> = self.crashes.iter().collect();
        newest.sort_by_key(|(_, time)| std::cmp::Reverse(**time));
        newest
            .into_iter()
            .take(MAX_SUSPECTS)
            .map(|((cause, crash), _)| CrashRecord {
                cause: *cause,
                crash: *crash,
            })
            .collect()
    }

    /// Whether requests with one of these causes are to be refused.
    pub(super) fn is_refused(&self, causes: &SuspectCauses) -> bool {
        let count = |cause: &u64| self.crash_counts.get(cause).copied().unwrap_or(0);
        count(&causes.content) >= MAX_CONTENT_CRASHES
            || causes
                .parts
                .iter()
                .any(|part| count(part) >= MAX_PART_CRASHES)
    }
}

impl GatewayReducer {
    /// Records that the connection of a request broke, and checks whether its server is down.
    ///
    /// A request whose answer has been under way for a while is not suspected for the parts of its
    /// prompt.
    pub(super) fn suspect_request(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        causes: &SuspectCauses,
        was_starting: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let mut suspected = vec![causes.content];
        if was_starting {
            suspected.extend(&causes.parts);
        }
        suspected.retain(|cause| !self.suspects.is_cleared(now, *cause));
        self.suspects
            .record_broken_connection(now, server, suspected);
        effects.push(GatewayEffect::CheckServer {
            server,
            address: self.servers.get(server).record.address,
        });
    }

    /// Records that a request was answered completely.
    pub(super) fn clear_request(&mut self, now: ClockTime, causes: &SuspectCauses) {
        self.suspects.record_answer(now, causes);
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
        let (id, crash) = (record.id.clone(), process_hash(&record.id, record.started));
        if self.suspects.confirm_crash(now, server, crash) {
            log_event(effects, "server_crashed", "", &format!("server={id}"));
            self.share_suspects(now);
            self.update_suspects(now, effects);
        }
    }

    /// Updates what this instance's record says about crashes.
    pub(super) fn share_suspects(&mut self, now: ClockTime) {
        self.suspects.prune(now);
        let crashes = self.suspects.newest_crashes();
        let causes: BTreeSet<u64> = self
            .members
            .crashes()
            .map(|record| record.cause)
            .chain(crashes.iter().map(|record| record.cause))
            .collect();
        let mut cleared: Vec<u64> = causes
            .into_iter()
            .filter(|cause| self.suspects.is_cleared(now, *cause))
            .collect();
        cleared.truncate(MAX_SUSPECTS);
        let local = self.members.local_mut();
        local.suspects = crashes;
        local.cleared = cleared;
    }

    /// Counts the crashes of all causes that instances have reported.
    pub(super) fn update_suspects(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let cleared: BTreeSet<u64> = self.members.cleared().collect();
        let crashes: BTreeSet<(u64, u64)> = self
            .members
            .crashes()
            .filter(|record| !cleared.contains(&record.cause))
            .filter(|record| !self.suspects.is_cleared(now, record.cause))
            .map(|record| (record.cause, record.crash))
            .collect();
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (cause, _) in crashes {
            *counts.entry(cause).or_default() += 1;
        }
        let known = std::mem::replace(&mut self.suspects.crash_counts, counts);
        let newly_refused: Vec<u64> = self
            .suspects
            .crash_counts
            .iter()
            .filter(|(cause, count)| {
                **count >= MAX_PART_CRASHES
                    && known.get(cause).copied().unwrap_or(0) < MAX_PART_CRASHES
            })
            .map(|(cause, _)| *cause)
            .collect();
        for cause in &newly_refused {
            log_event(effects, "cause_refused", "", &format!("cause={cause:016x}"));
        }
        if !newly_refused.is_empty() {
            self.spread_change(now, effects);
        }
    }
}
