//! Servers that announce in their answers that they leave.
//!
//! An announcement holds for one process of a server, whatever the store says of it later, and ends
//! with the process. Instances pass it on in gossip messages for some time.

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    time::Duration,
};

use twox_hash::XxHash3_64;

use super::{
    GatewayReducer, TimerKind,
    event::{GatewayEffect, RequestNumber},
    log_event,
    requests::RequestPhase,
    servers::GatewayServerKey,
    termination::RefusalReason,
};
use crate::{clock::ClockTime, error::ErrorKind};

/// Time for which an instance passes on an announcement, longer than gossip takes to reach all
/// instances of a large fleet.
const SHARE_TIME: Duration = Duration::from_secs(6);
/// Maximum number of announcements in a message.
const MAX_SHARED: usize = 32;

/// Retry delay while all servers of a service are leaving, about the time in which new ones register.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// What a server says about itself in an answer, besides the answer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is about to leave and wants no further requests.
    pub is_leaving: bool,
}

/// Hash of a server's id and the start of its process, which identifies the process.
pub type ProcessHash = u64;

/// Returns the hash that identifies a server's process.
pub fn process_hash(id: &str, started: u64) -> ProcessHash {
    XxHash3_64::oneshot_with_seed(started, id.as_bytes())
}

/// Processes of servers that have announced that they leave.
#[derive(Debug, Default)]
pub struct LeavingTable {
    processes: HashSet<ProcessHash>,
    /// Those that this instance passes on, each with the time at which it heard of them, oldest
    /// first.
    shared: VecDeque<(ClockTime, ProcessHash)>,
}

impl LeavingTable {
    /// Adds a process; returns whether it was new.
    pub fn insert(&mut self, now: ClockTime, process: ProcessHash) -> bool {
        let is_new = self.processes.insert(process);
        if is_new {
            self.shared.push_back((now, process));
        }
        is_new
    }

    /// Whether the process has announced that it leaves.
    pub fn contains(&self, process: ProcessHash) -> bool {
        self.processes.contains(&process)
    }

    /// Processes to tell other instances of, newest first.
    pub fn shared(&mut self, now: ClockTime) -> Vec<ProcessHash> {
        while let Some((time, _)) = self.shared.front()
            && now.since(*time) >= SHARE_TIME
        {
            self.shared.pop_front();
        }
        let newest = self.shared.iter().rev().take(MAX_SHARED);
        newest.map(|(_, process)| *process).collect()
    }
}

impl GatewayReducer {
    /// Handles what a server said about itself in an answer of the process that started at
    /// `started`.
    pub(super) fn server_noticed(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        started: u64,
        notice: ServerNotice,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if notice.is_leaving {
            let process = process_hash(&self.servers.get(server).record.id, started);
            self.process_leaves(now, process, "answer", effects);
        }
    }

    /// Handles announcements that a peer passed on.
    pub(super) fn leaving_heard(
        &mut self,
        now: ClockTime,
        processes: &[ProcessHash],
        effects: &mut Vec<GatewayEffect>,
    ) {
        for process in processes {
            self.process_leaves(now, *process, "peer", effects);
        }
    }

    fn process_leaves(
        &mut self,
        now: ClockTime,
        process: ProcessHash,
        source: &str,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(server) = self.servers.record_leaving(now, process) else {
            return;
        };
        self.stats.leaving_servers += 1;
        let record = &self.servers.get(server).record;
        let detail = format!(
            "server={} started={} source={source}",
            record.id, record.started
        );
        log_event(effects, "server_leaving", "", &detail);
        self.divert_requests(now, server, effects);
    }

    /// Selects other servers for the requests that wait to be sent to `server`.
    fn divert_requests(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let waiting: BTreeSet<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, record)| record.phase == RequestPhase::AwaitingAdapter(server))
            .map(|(number, _)| *number)
            .collect();
        // Their timers would send them before the adapter is loaded at the other server.
        self.timers.retain(|(_, kind)| match kind {
            TimerKind::Continue(number) => !waiting.contains(number),
            _ => true,
        });
        for number in waiting {
            self.continue_request(now, number, effects);
        }
    }

    /// Why a request is refused at once when its service has no servers left but leaving ones.
    pub(super) fn unavailability(&self, service: &str) -> Option<RefusalReason> {
        if self.servers.in_service(service).next().is_some() {
            return None;
        }
        let leaving = self
            .servers
            .listed()
            .filter(|(_, server)| server.record.service == service && server.is_leaving)
            .count();
        (leaving > 0).then(|| RefusalReason {
            kind: ErrorKind::NoServer,
            retry_after: Some(REPLACEMENT_DELAY),
            inputs: format!(" leaving={leaving}"),
        })
    }

    /// Records that a request is not sent to the server that was selected for it.
    pub(super) fn record_diversion(
        &mut self,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let target = self.servers.get(server);
        let Some(record) = self.requests.get(&number).filter(|_| target.is_leaving) else {
            return;
        };
        self.stats.diverted += 1;
        let detail = format!("server={} cause=leaving", target.record.id);
        log_event(
            effects,
            "request_diverted",
            &record.request.attempt,
            &detail,
        );
    }
}
