//! Requests that wait in the queues of schedulers: how long they may, and how they are answered.

use std::time::Duration;

use super::{
    GatewayReducer, TimerKind,
    catalog::EngineConfig,
    engines::GrantOutcome,
    event::{GatewayEffect, RequestNumber},
    exchange::GRANT_TIMEOUT,
    log_event,
    message::PeerAnswer,
    requests::RequestPhase,
    server_scheduler::{
        DeclineReason, GrantAnswer, GrantCaller, GrantNumber, GrantReply, GrantRequest,
        PRIORITY_COUNT,
    },
    servers::GatewayServerKey,
};
use crate::clock::ClockTime;

/// Share of the time to a request's deadline for which one scheduler queues it.
const HOLD_DEADLINE_FRACTION: f64 = 1.0 / 3.0;
/// Share of a request's objective for which it is queued at most behind other prompts.
const HOLD_OBJECTIVE_FRACTION: f64 = 0.75;
/// A grant request that is answered after this time was probably queued; most peers answer sooner.
const QUEUED_LOG_TIME: Duration = Duration::from_millis(30);
/// Minimum time between two log lines about requests that overtook others at a server.
const OVERTAKE_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl GatewayReducer {
    /// How long a scheduler may queue a request, and how long it may do so while the server has no
    /// place for the request. The first round of grant requests looks for a server that has one.
    ///
    /// A request that accepts `max_wait` for the prompts before it is queued for that long, within
    /// most of its objective: at another server it would often need a load.
    pub(super) fn hold_times(
        &self,
        now: ClockTime,
        number: RequestNumber,
        max_wait: Duration,
    ) -> (Duration, Duration) {
        let Some(record) = self.requests.get(&number) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let has_slots = self
            .config()
            .and_then(|config| config.service(&record.service)?.engine.as_ref())
            .is_some_and(|engine| engine.adapter_slots > 0);
        let max_hold = self.options.queue_hold;
        if !has_slots || max_hold.is_zero() {
            return (Duration::ZERO, Duration::ZERO);
        }
        // The call may fail only after its timeout, and the request must still be refused in time.
        let selection_left = record.selection_deadline.before(GRANT_TIMEOUT).since(now);
        let hold = record
            .deadline
            .since(now)
            .mul_f64(HOLD_DEADLINE_FRACTION)
            .min(selection_left)
            .min(max_hold.max(max_wait.min(record.objective.mul_f64(HOLD_OBJECTIVE_FRACTION))));
        let place_hold = if record.failed_selections > 0 {
            hold.min(max_hold)
        } else {
            Duration::ZERO
        };
        (hold, place_hold)
    }

    /// Records that a server has no place for a request, which is queued at the first such server if
    /// no other has one either.
    pub(super) fn record_full_server(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        reason: DeclineReason,
    ) {
        let (hold, _) = self.hold_times(now, number, Duration::ZERO);
        if hold.is_zero() || !matches!(reason, DeclineReason::NoPlace | DeclineReason::Full) {
            return;
        }
        if let Some(record) = self.requests.get_mut(&number) {
            record.full_server.get_or_insert(server);
        }
    }

    /// Queues a request at the server that was preferred in the first round. Returns whether it did.
    pub(super) fn queue_at_full_server(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) -> bool {
        let server = self.requests.get_mut(&number);
        let Some(server) = server.and_then(|record| record.full_server.take()) else {
            return false;
        };
        let id = &self.servers.get(server).record.id;
        let is_scheduled = self.schedulers.contains_key(&server) || self.owners.contains_key(id);
        let (hold, _) = self.hold_times(now, number, Duration::ZERO);
        if hold.is_zero() || !is_scheduled || !self.servers.accepts_selected(now, server) {
            return false;
        }
        let Some(record) = self.requests.get_mut(&number) else {
            return false;
        };
        record.enter_phase(now, RequestPhase::AwaitingGrant(server));
        let max_wait = record.deadline.since(now);
        self.request_grant(now, number, server, max_wait, effects);
        true
    }

    /// Selects other servers for the requests that wait for a grant of `server`, which accepts none.
    pub(super) fn move_queued_requests(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let waiting: Vec<(RequestNumber, GrantNumber)> = self
            .requests
            .iter()
            .filter(|(_, record)| record.phase == RequestPhase::AwaitingGrant(server))
            .map(|(number, record)| (*number, record.grant))
            .collect();
        for (number, grant) in waiting {
            self.release_grant(now, grant, server, GrantOutcome::default(), effects);
            if let Some(record) = self.requests.get_mut(&number) {
                record.enter_phase(now, RequestPhase::Selecting);
            }
            self.continue_request(now, number, effects);
        }
    }

    /// Logs the first time that a request was queued.
    pub(super) fn log_queued(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        reply: Option<&GrantReply>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let held = now.since(record.asked_at);
        if held < QUEUED_LOG_TIME || std::mem::replace(&mut record.was_queued, true) {
            return;
        }
        let id = &self.servers.get(server).record.id;
        let outcome = match reply {
            Some(GrantReply::Granted { .. }) => "Granted".into(),
            Some(GrantReply::Declined { reason, .. }) => format!("{reason:?}"),
            None => "NoAnswer".into(),
        };
        let detail = format!(
            "server={id} priority={} held_ms={} outcome={outcome}",
            record.priority,
            held.as_millis()
        );
        log_event(effects, "grant_queued", &record.request.attempt, &detail);
    }

    /// Handles a grant request; its answer is sent at once or after the request was queued.
    pub(super) fn receive_grant_request(
        &mut self,
        now: ClockTime,
        caller: GrantCaller,
        request: GrantRequest,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let scheduled = self.scheduled_server(&request.server);
        if let Ok(key) = scheduled
            && !request.hold.is_zero()
        {
            if let Some(scheduler) = self.schedulers.get_mut(&key)
                && let Err(answer) = scheduler.enqueue(now, request, caller)
            {
                self.answer_grant(Some(key), answer, effects);
            }
            self.run_scheduler(now, key, effects);
            return;
        }
        let reply = scheduled.and_then(|key| {
            self.decide_grant(now, key, &request, effects)
                .ok_or(DeclineReason::NotScheduled)
        });
        let reply = reply.unwrap_or_else(GrantReply::declined);
        let reply = self.with_statuses(now, &request.server, reply);
        let key = self.servers.key(&request.server);
        self.answer_grant(key, GrantAnswer { caller, reply }, effects);
    }

    /// Decides at once on a request for a server that this instance schedules.
    fn decide_grant(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        request: &GrantRequest,
        effects: &mut Vec<GatewayEffect>,
    ) -> Option<GrantReply> {
        let engine_config = self.engine_config(key)?;
        self.load_limiter.set_server_count(self.schedulers.len());
        let scheduler = self.schedulers.get_mut(&key)?;
        let reply = scheduler.decide(now, &engine_config, request, &mut self.load_limiter);
        self.run_scheduler(now, key, effects);
        Some(reply)
    }

    /// Grants the requests in a server's queue that can start now.
    pub(super) fn serve_grant_queue(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        engine_config: &EngineConfig,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let server_count = self.schedulers.len();
        let Some(scheduler) = self.schedulers.get_mut(&key) else {
            return;
        };
        if scheduler.queued_count() == 0 {
            return;
        }
        self.load_limiter.set_server_count(server_count);
        let answers = scheduler.serve_queue(now, engine_config, &mut self.load_limiter);
        let next = scheduler.next_queue_time(now, engine_config, &self.load_limiter);
        let queued = scheduler.queued_count();
        if let Some(counts) = scheduler.take_overtakes(now, OVERTAKE_LOG_INTERVAL) {
            let id = &self.servers.get(key).record.id;
            let detail = format!(
                "server={id} grants={} overtaken={} queued={queued}",
                counts.grants, counts.overtaken
            );
            log_event(effects, "grant_overtaken", "", &detail);
        }
        if let Some(time) = next {
            self.set_timer(time, TimerKind::Order(key));
        }
        let id = self.servers.get(key).record.id.clone();
        for mut answer in answers {
            answer.reply = self.with_statuses(now, &id, answer.reply);
            self.answer_grant(Some(key), answer, effects);
        }
    }

    /// Declines all requests in a server's queue.
    pub(super) fn close_grant_queue(
        &mut self,
        key: GatewayServerKey,
        reason: DeclineReason,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(scheduler) = self.schedulers.get_mut(&key) else {
            return;
        };
        for answer in scheduler.close_queue(reason) {
            self.answer_grant(Some(key), answer, effects);
        }
    }

    /// Sends an answer to a peer, or keeps it for a request of this instance until the event has been
    /// processed.
    pub(super) fn answer_grant(
        &mut self,
        server: Option<GatewayServerKey>,
        answer: GrantAnswer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match (answer.caller, server) {
            (GrantCaller::Peer { call }, _) => effects.push(GatewayEffect::AnswerPeer {
                call,
                answer: PeerAnswer::Grant(answer.reply),
            }),
            (GrantCaller::Own { request, grant }, Some(server)) => {
                let reply = answer.reply;
                self.own_grants.push_back((request, grant, server, reply));
            }
            (GrantCaller::Own { .. }, None) => {}
        }
    }

    /// Continues the requests of this instance whose grants were answered by its own schedulers.
    pub(super) fn deliver_own_grants(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        while let Some((request, grant, server, reply)) = self.own_grants.pop_front() {
            self.grant_answered(now, request, grant, server, Some(&reply), effects);
        }
    }

    /// Number of requests in the queues of this instance's schedulers, by priority; those of the
    /// least urgent priority include all that are less urgent.
    pub fn queued_grants(&self) -> [usize; PRIORITY_COUNT] {
        let mut counts = [0; PRIORITY_COUNT];
        for scheduler in self.schedulers.values() {
            scheduler.count_queued(&mut counts);
        }
        counts
    }
}
