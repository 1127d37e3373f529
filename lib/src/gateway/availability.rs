//! Servers that announce in their answers that they leave, or that want no requests for some time.
//!
//! Both hold for one process of a server, whatever the store says of it later. Instances pass on in
//! gossip messages that a server leaves; a server that turns a request away addresses one instance.

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    time::Duration,
};

use rand::Rng;
use twox_hash::XxHash3_64;

use super::{
    GatewayReducer, TimerKind,
    event::{GatewayEffect, RequestNumber},
    log_event,
    requests::{RequestPhase, RequestRecord},
    server_scheduler::DeclineReason,
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

/// Maximum of the random time that is added to a pause, so that the instances do not all return to a
/// server at once, as a share of the pause and altogether.
const PAUSE_JITTER_SHARE: f64 = 0.25;
const MAX_PAUSE_JITTER: Duration = Duration::from_secs(1);
/// Time after a pause during which the requests to its server grow from one at a time.
const RAMP_TIME: Duration = Duration::from_secs(3);
/// Number of requests that may be sent in that time for each one that was answered.
const RAMP_GROWTH: u32 = 2;

/// Time for which a server wants no requests from an instance that it has turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// This long.
    Time(Duration),
    /// The value is not a number of seconds, or is negative.
    Unreadable,
}

/// Bounds on the time for which a server can turn an instance away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseBounds {
    /// Longest pause; a longer time counts as this.
    pub max: Duration,
    /// Pause after a value that cannot be read.
    pub unreadable: Duration,
}

impl PauseBounds {
    /// The pause that follows from a server's value, and whether it differs from that value.
    fn apply(&self, retry_after: RetryAfter) -> (Duration, bool) {
        match retry_after {
            RetryAfter::Time(time) => (time.min(self.max), time > self.max),
            RetryAfter::Unreadable => (self.unreadable.min(self.max), true),
        }
    }
}

/// The time for which a server has turned this instance away, and the return to it.
#[derive(Clone, Copy, Debug)]
pub struct ServerPause {
    until: ClockTime,
    /// Requests that were sent since, and those of them that were answered.
    sent: u32,
    answered: u32,
    /// Requests that the server turned away, or that were about to be sent when it did.
    diverted: u32,
}

impl ServerPause {
    /// Creates a pause that ends at `until`.
    pub fn new(until: ClockTime) -> ServerPause {
        ServerPause {
            until,
            sent: 0,
            answered: 0,
            diverted: 0,
        }
    }

    /// Prolongs the pause; it never gets shorter.
    pub fn prolong(&mut self, until: ClockTime) {
        self.until = self.until.max(until);
        self.sent = 0;
        self.answered = 0;
    }

    /// Time until the pause ends, if it has not.
    pub fn time_left(&self, now: ClockTime) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Whether another request may be sent.
    pub fn has_room(&self, now: ClockTime) -> bool {
        now >= self.until && (self.is_over(now) || self.sent <= self.answered * RAMP_GROWTH)
    }

    /// Whether the pause and the return are over.
    fn is_over(&self, now: ClockTime) -> bool {
        now >= self.until.after(RAMP_TIME)
    }

    /// Records that a request was sent; returns whether it is the first one after the pause.
    pub fn record_send(&mut self) -> bool {
        self.sent += 1;
        self.sent == 1
    }

    /// Records that an answer began, or that a request ended without one.
    pub fn record_answer(&mut self, now: ClockTime) {
        if now >= self.until {
            self.answered = (self.answered + 1).min(self.sent);
        }
    }
}

/// What a server says about itself in an answer, besides the answer itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether the server is about to leave and wants no further requests.
    pub is_leaving: bool,
    /// Set if it turned a request away for some time.
    pub retry_after: Option<RetryAfter>,
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
        if let Some(retry_after) = notice.retry_after
            && started == self.servers.get(server).record.started
        {
            self.pause_server(now, server, retry_after, effects);
        }
    }

    fn pause_server(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        retry_after: RetryAfter,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let (time, is_bounded) = self.options.pause_bounds.apply(retry_after);
        if time.is_zero() {
            return;
        }
        let jitter = time.mul_f64(PAUSE_JITTER_SHARE).min(MAX_PAUSE_JITTER);
        let pause = time + jitter.mul_f64(self.random.random_range(0.0..1.0));
        let is_new = self.servers.pause(server, now, now.after(pause));
        let id = &self.servers.get(server).record.id;
        if is_new {
            self.stats.pauses += 1;
        }
        if is_new || is_bounded {
            let detail = format!(
                "server={id} pause_ms={} asked={retry_after:?} bounded={is_bounded}",
                pause.as_millis()
            );
            log_event(effects, "server_paused", "", &detail);
        }
        if is_new {
            self.divert_requests(now, server, effects);
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
        self.close_grant_queue(server, DeclineReason::Leaving, effects);
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
        self.move_queued_requests(now, server, effects);
    }

    /// Why a request is refused at once: each server of its service leaves, or wants no requests for
    /// longer than the request can wait.
    pub(super) fn unavailability(
        &self,
        now: ClockTime,
        record: &RequestRecord,
    ) -> Option<RefusalReason> {
        let service = &record.service;
        let (mut paused, mut time_left) = (0, None);
        for (_, server) in self.servers.in_service(service) {
            let left = server
                .pause
                .and_then(|pause| pause.time_left(now))
                .filter(|left| now.after(*left) > record.selection_deadline)?;
            paused += 1;
            time_left = Some(time_left.map_or(left, |least: Duration| least.min(left)));
        }
        let leaving = self
            .servers
            .listed()
            .filter(|(_, server)| server.record.service == *service && server.is_leaving)
            .count();
        (paused + leaving > 0).then(|| RefusalReason {
            kind: ErrorKind::NoServer,
            retry_after: Some(time_left.unwrap_or(REPLACEMENT_DELAY)),
            inputs: format!(" leaving={leaving} paused={paused}"),
        })
    }

    /// Records that a request is sent to a server.
    pub(super) fn record_return(
        &mut self,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let target = self.servers.get_mut(server);
        if let Some(pause) = &mut target.pause
            && pause.record_send()
        {
            let detail = format!("server={} diverted={}", target.record.id, pause.diverted);
            log_event(effects, "server_resumed", "", &detail);
        }
    }

    /// Records that a request goes elsewhere than to the server that was selected for it, because
    /// that server leaves or turns this instance away.
    pub(super) fn record_diversion(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        let target = self.servers.get_mut(server);
        let cause = if target.is_leaving {
            "leaving"
        } else if let Some(pause) = &mut target.pause
            && pause.time_left(now).is_some()
        {
            pause.diverted += 1;
            "paused"
        } else {
            return;
        };
        self.stats.diverted += 1;
        let detail = format!("server={} cause={cause}", target.record.id);
        log_event(
            effects,
            "request_diverted",
            &record.request.attempt,
            &detail,
        );
    }
}
