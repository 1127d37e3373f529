//! Servers of the simulation that crash on a part of a prompt.

use std::{collections::BTreeMap, time::Duration};

use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        event::{AttemptEnd, AttemptStats, GatewayEvent, ServerDispatch},
        prompt::PromptPart,
    },
};

use super::{GatewayWorld, NETWORK_DELAY, RESPONSE_TIME, RequestEnd, WorldAction, engine_index};

/// Time from the arrival of a request until its server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Time until a crashed server is back.
const RESTART_TIME: Duration = Duration::from_millis(3_000);

/// A request on a server.
#[derive(Clone, Copy)]
pub(crate) struct ServerRun {
    engine: usize,
    node: usize,
    incarnation: u64,
    request: u64,
}

/// Which requests crash servers, and what has crashed.
#[derive(Default)]
pub(crate) struct CrashTable {
    /// Part of prompts on which servers crash.
    pub(crate) deadly_part: Option<u64>,
    parts: BTreeMap<u64, Vec<PromptPart>>,
    running: Vec<ServerRun>,
    down_until: BTreeMap<usize, ClockTime>,
    /// Time that servers take for requests, if not the usual one. Their answers then start early.
    pub(crate) response_time: Option<Duration>,
    /// Times of crashes.
    pub(crate) crashes: Vec<ClockTime>,
    /// Times at which requests with the deadly part arrived at servers.
    pub(crate) deadly_arrivals: Vec<ClockTime>,
}

impl CrashTable {
    /// Whether a server accepts connections.
    pub(super) fn is_up(&self, now: ClockTime, engine: usize) -> bool {
        self.down_until.get(&engine).is_none_or(|time| now >= *time)
    }

    pub(super) fn record_parts(&mut self, request: u64, parts: &[PromptPart]) {
        self.parts.insert(request, parts.to_vec());
    }

    fn is_deadly(&self, request: u64) -> bool {
        let parts = self.parts.get(&request);
        parts.is_some_and(|parts| parts.iter().any(|part| Some(part.id) == self.deadly_part))
    }
}

impl GatewayWorld {
    /// Runs a request on a server that may crash.
    pub(super) fn run_on_server(
        &mut self,
        node: usize,
        incarnation: u64,
        dispatch: &ServerDispatch,
        holds_adapter: bool,
    ) {
        let run = ServerRun {
            engine: engine_index(&dispatch.id),
            node,
            incarnation,
            request: dispatch.request,
        };
        if !self.crash_table.is_up(self.now, run.engine) {
            self.end_run(run, AttemptEnd::NotConnected);
            return;
        }
        let is_deadly = self.crash_table.is_deadly(run.request);
        if is_deadly {
            self.crash_table.deadly_arrivals.push(self.now);
        }
        if !holds_adapter {
            self.end_run(run, AttemptEnd::Rejected { misdirected: true });
            return;
        }
        self.crash_table.running.push(run);
        if is_deadly {
            self.push(self.now.after(CRASH_DELAY), WorldAction::Crash(run));
            return;
        }
        let response_time = self.crash_table.response_time;
        if response_time.is_some() {
            let event = GatewayEvent::ResponseStarted {
                request: run.request,
                first_event: RESPONSE_TIME,
            };
            self.schedule(RESPONSE_TIME, run.node, run.incarnation, event);
        }
        let end = self.now.after(response_time.unwrap_or(RESPONSE_TIME));
        self.push(end, WorldAction::EndRun(run));
    }

    fn end_run(&mut self, run: ServerRun, end: AttemptEnd) {
        let succeeded = end == AttemptEnd::Completed { success: true };
        if succeeded {
            self.outcomes
                .push((self.now, run.request, RequestEnd::Served));
        }
        let event = GatewayEvent::AttemptEnded {
            request: run.request,
            end,
            stats: AttemptStats {
                first_event: succeeded.then_some(Duration::from_millis(40)),
                ..AttemptStats::default()
            },
        };
        self.schedule(NETWORK_DELAY * 2, run.node, run.incarnation, event);
    }

    /// Takes a run off its server; returns whether it was still there.
    fn remove_run(&mut self, run: ServerRun) -> bool {
        let running = &mut self.crash_table.running;
        let count = running.len();
        running.retain(|other| other.request != run.request || other.engine != run.engine);
        running.len() < count
    }

    pub(super) fn complete_run(&mut self, run: ServerRun) {
        if self.remove_run(run) {
            self.end_run(run, AttemptEnd::Completed { success: true });
        }
    }

    pub(super) fn crash_server(&mut self, run: ServerRun) {
        if !self.remove_run(run) {
            return;
        }
        self.end_run(run, AttemptEnd::Broken);
        self.crash_engine(run.engine);
    }

    /// Crashes a server, whatever runs on it.
    pub(crate) fn crash_engine(&mut self, engine: usize) {
        let broken: Vec<ServerRun> = self
            .crash_table
            .running
            .extract_if(.., |run| run.engine == engine)
            .collect();
        for run in broken {
            self.end_run(run, AttemptEnd::Broken);
        }
        let back_at = self.now.after(RESTART_TIME);
        self.crash_table.crashes.push(self.now);
        self.crash_table.down_until.insert(engine, back_at);
        self.engines[engine].restart();
        self.push(back_at, WorldAction::Publish(engine));
    }
}
