//! A caller's request on its way to servers: asks for grants, sends and repeats.

use std::{net::SocketAddr, time::Duration};

use rand::Rng;
use smol_str::SmolStr;

use super::{
    GatewayReducer, TimerKind,
    catalog::RetryPolicy,
    choice::EngineChoice,
    event::{
        AttemptEnd, AttemptStats, GatewayEffect, GatewayRequest, RequestNumber, ServerDispatch,
    },
    log_event,
    server_scheduler::{DeclineReason, GrantRelease, GrantReply},
    servers::{GatewayServerKey, ServerOutcome},
};
use crate::{clock::ClockTime, error::ErrorKind, usage::UsageOutcome};

/// A request with less time than this left is not sent any more.
const LEAST_TIME: Duration = Duration::from_millis(15);
/// Pause before a request that found no server looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Longest such pause, as a multiple of the first.
const MAX_LOOK_PAUSE: u32 = 2;
/// A server that has no place or turn for another adapter is not asked again for this long.
const LOAD_PAUSE: Duration = Duration::from_millis(60);
/// The same for one whose scheduler may not order yet, or that holds no base model.
const RIGHT_PAUSE: Duration = Duration::from_millis(300);
/// When a refused caller may come back if nothing better is known.
pub(super) const REFUSED_RETRY: Duration = Duration::from_millis(400);
/// Servers that may reject one request unrun, or be out of reach, before it is refused.
const MAX_SENDS: u32 = 5;
/// Answers that a server is busier than expected, after which a request waits wherever it is asked
/// for next; each costs a message to a peer and its answer.
const MAX_BUSY_ANSWERS: u32 = 4;
/// How much more backlog than expected a request puts up with: about the reading time of a prompt
/// whose shared parts are kept.
const BACKLOG_TOLERANCE: Duration = Duration::from_millis(100);
/// Servers tried in one go before a request waits a little.
const MAX_ASKS: usize = 4;
/// Part of the time left that an attempt may use while the request could go elsewhere.
const PATIENCE_PART: f64 = 0.5;
/// An attempt is given up after this many objectives, if the request could go elsewhere.
const PATIENCE_OBJECTIVES: f64 = 2.0;
/// Cost of a plain server in another data centre, as a share of its slots in use.
const CROSSING_COST: f64 = 0.15;
/// Cost of a plain server that fails every request, in the same unit.
const FAILURE_COST: f64 = 4.0;
/// Random part of that cost, so that instances do not all choose the same server.
const CHOICE_JITTER: f64 = 0.05;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// Waits for its team's allowance.
    Admitting,
    /// Looks for a server, or waits to look again.
    Choosing,
    /// Waits for a grant.
    Asking(GatewayServerKey),
    /// Has a grant and waits for the adapter.
    Placing(GatewayServerKey),
    /// Is at a server.
    Sent(GatewayServerKey),
}

/// A caller's request in progress.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) request: GatewayRequest,
    pub(super) service: SmolStr,
    pub(super) route: SmolStr,
    pub(super) repeat: RetryPolicy,
    pub(super) objective: Duration,
    pub(super) max_attempts: u32,
    pub(super) priority: u8,
    pub(super) team: Option<SmolStr>,
    pub(super) cost: f64,
    pub(super) arrived: ClockTime,
    /// When it gets its final answer at the latest.
    pub(super) deadline: ClockTime,
    pub(super) hold_until: ClockTime,
    /// Times that it found no server.
    pub(super) looks: u32,
    pub(super) phase: RequestPhase,
    /// Peers that can still be asked for allowance.
    pub(super) lenders: Vec<SocketAddr>,
    pub(super) has_grant: bool,
    /// Prompt tokens that the server has to read, as its scheduler says.
    pub(super) unread: u64,
    /// Servers that were busier than expected when they were asked.
    pub(super) busy_answers: u32,
    /// Servers not to try again.
    pub(super) excluded: Vec<GatewayServerKey>,
    /// Times that it was sent.
    pub(super) sends: u32,
    /// Times that a server may have run it.
    pub(super) runs: u32,
    pub(super) started: bool,
    pub(super) fingerprint: u64,
}

impl GatewayReducer {
    /// Goes on with a request that waits to be sent.
    pub(super) fn continue_request(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        match record.phase {
            RequestPhase::Choosing if record.request.model.is_some() && self.is_engine(number) => {
                let choice = if record.excluded.len() < MAX_ASKS {
                    self.choose_engine(now, number)
                } else {
                    None
                };
                match choice {
                    Some(EngineChoice::Scheduled { server, backlog }) => {
                        let patience = self.begin_asking(now, number, server, backlog);
                        self.request_grant(now, number, server, patience, effects);
                    }
                    Some(EngineChoice::Direct(server)) => self.send(now, number, server, effects),
                    None => self.look_again(now, number, effects),
                }
            }
            RequestPhase::Choosing => match self.choose_plain(now, number) {
                Some(server) => self.send(now, number, server, effects),
                None => self.look_again(now, number, effects),
            },
            RequestPhase::Placing(server) => self.send(now, number, server, effects),
            RequestPhase::Admitting | RequestPhase::Asking(_) | RequestPhase::Sent(_) => {}
        }
    }

    fn is_engine(&self, number: RequestNumber) -> bool {
        let service = self.requests.get(&number).map(|record| &record.service);
        service
            .and_then(|service| self.config()?.service(service))
            .is_some_and(|service| service.engine.is_some())
    }

    /// Notes that a scheduler is asked; returns how long the request would wait at its server.
    ///
    /// What is known of a server's backlog may be old, so that the first asks are conditional on it
    /// and the last one is not.
    fn begin_asking(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        backlog: Duration,
    ) -> Duration {
        let Some(record) = self.requests.get_mut(&number) else {
            return Duration::ZERO;
        };
        record.phase = RequestPhase::Asking(server);
        if record.busy_answers < MAX_BUSY_ANSWERS {
            backlog + BACKLOG_TOLERANCE
        } else {
            record.deadline.since(now)
        }
    }

    /// The least loaded server of a plain service.
    fn choose_plain(&mut self, now: ClockTime, number: RequestNumber) -> Option<GatewayServerKey> {
        let mut best: Option<(f64, GatewayServerKey)> = None;
        for key in self.candidates(now, number)? {
            let server = self.servers.get(key);
            let slots = f64::from(server.record.slots.max(1));
            let crossing = if server.record.data_centre == self.options.data_centre {
                0.0
            } else {
                CROSSING_COST
            };
            let jitter = self.random.random_range(0.0..CHOICE_JITTER);
            let cost = server.estimated_load(now) / slots
                + server.failure_share(now) * FAILURE_COST
                + crossing
                + jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn look_again(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        record.phase = RequestPhase::Choosing;
        if now >= record.hold_until {
            self.refuse(now, number, ErrorKind::NoServer, effects);
            return;
        }
        // Servers that declined may have room by then.
        record.excluded.clear();
        record.looks += 1;
        let pause = LOOK_AGAIN * record.looks.min(MAX_LOOK_PAUSE);
        self.set_timer(now.after(pause), TimerKind::Continue(number));
    }

    /// A scheduler answered, or did not.
    pub(super) fn grant_answered(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        reply: Option<&GrantReply>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_asking = self
            .requests
            .get(&number)
            .is_some_and(|record| record.phase == RequestPhase::Asking(server));
        match reply {
            Some(&GrantReply::Granted {
                wait,
                backlog,
                uncached_tokens: unread,
            }) => {
                self.record_backlog(now, server, backlog);
                if !is_asking {
                    self.release_grant(now, number, server, None, false, effects);
                    return;
                }
                if let Some(record) = self.requests.get_mut(&number) {
                    record.has_grant = true;
                    record.unread = unread;
                    record.phase = RequestPhase::Placing(server);
                }
                if wait.is_zero() {
                    self.send(now, number, server, effects);
                } else {
                    self.stats.stalls += 1;
                    self.set_timer(now.after(wait), TimerKind::Continue(number));
                }
            }
            Some(&GrantReply::Declined { reason, backlog }) => {
                self.record_backlog(now, server, backlog);
                if is_asking {
                    self.grant_declined(now, number, server, reason, effects);
                }
            }
            None if is_asking => self.try_elsewhere(now, number, server, effects),
            None => {}
        }
    }

    fn grant_declined(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        reason: DeclineReason,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if reason == DeclineReason::Busy
            && let Some(record) = self.requests.get_mut(&number)
            && record.busy_answers < MAX_BUSY_ANSWERS
        {
            // Its backlog is known now; it may still be the best choice.
            record.phase = RequestPhase::Choosing;
            record.busy_answers += 1;
            self.continue_request(now, number, effects);
            return;
        }
        let pause = match reason {
            DeclineReason::NoPlace | DeclineReason::LoadsBusy => Some(LOAD_PAUSE),
            DeclineReason::NoRight | DeclineReason::NoModel => Some(RIGHT_PAUSE),
            DeclineReason::NotScheduled | DeclineReason::Full | DeclineReason::Busy => None,
        };
        if let Some(pause) = pause {
            self.load_pauses.insert(server, now.after(pause));
        }
        // Later rounds of the same request say the same; its end counts them.
        if let Some(record) = self.requests.get(&number)
            && record.looks == 0
        {
            let id = &self.servers.get(server).record.id;
            let detail = format!("server={id} reason={reason:?}");
            log_event(effects, "grant_declined", &record.request.attempt, &detail);
        }
        self.try_elsewhere(now, number, server, effects);
    }

    fn try_elsewhere(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.get_mut(&number) {
            record.phase = RequestPhase::Choosing;
            record.excluded.push(server);
        }
        self.continue_request(now, number, effects);
    }

    fn send(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if !self.servers.is_in_service(server) {
            self.drop_grant(now, number, server, None, false, effects);
            self.try_elsewhere(now, number, server, effects);
            return;
        }
        let population = self.instance_count(now);
        let bounds = self.options.bounds.retry;
        let prompt_source = self.prompt_source(now, number, server);
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let left = record.deadline.since(now);
        if left < LEAST_TIME {
            self.drop_grant(now, number, server, None, false, effects);
            self.refuse(now, number, ErrorKind::DeadlineExceeded, effects);
            return;
        }
        let budget = self
            .retry_budgets
            .entry(record.service.clone())
            .or_default();
        if record.sends == 0 {
            budget.count_request(now);
        } else if !budget.take(now, &bounds, population) {
            let detail = format!("service={} sends={}", record.service, record.sends);
            log_event(
                effects,
                "retry_budget_empty",
                &record.request.attempt,
                &detail,
            );
            self.drop_grant(now, number, server, None, false, effects);
            self.refuse(now, number, ErrorKind::NoServer, effects);
            return;
        } else {
            self.stats.retries += 1;
        }
        record.sends += 1;
        record.phase = RequestPhase::Sent(server);
        let could_repeat =
            record.repeat.may_repeat() && record.runs + 1 < record.max_attempts && !record.started;
        let patience = if could_repeat {
            let objectives = record.objective.mul_f64(PATIENCE_OBJECTIVES);
            objectives.min(left.mul_f64(PATIENCE_PART))
        } else {
            left
        };
        let target = &self.servers.get(server).record;
        let dispatch = ServerDispatch {
            request: number,
            server,
            id: target.id.clone(),
            address: target.address,
            waited: (record.sends == 1).then(|| now.since(record.arrived)),
            time_left: left,
            timeout: patience,
            prompt_source,
            team: record.team.clone(),
            priority: record.request.model.as_ref().map(|_| record.priority),
            retry_failures: could_repeat,
            is_stream: record.repeat.is_stream(),
            resumable: record.repeat == RetryPolicy::ResumableStream,
            at_most_once: !record.repeat.may_repeat(),
        };
        let adapter = record.request.model.as_ref();
        let adapter = adapter.and_then(|model| model.adapter.as_deref());
        let detail = format!(
            "server={} adapter={} prompt={} sends={} waited_ms={} left_ms={}",
            dispatch.id,
            adapter.unwrap_or("-"),
            record.request.tokens.map_or(0, |(prompt, _)| prompt),
            record.sends,
            now.since(record.arrived).as_millis(),
            left.as_millis(),
        );
        log_event(effects, "request_sent", &record.request.attempt, &detail);
        self.servers.record_send(now, server);
        effects.push(GatewayEffect::Dispatch(dispatch));
    }

    pub(super) fn release_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        first_event: Option<Duration>,
        adapter_missing: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let release = GrantRelease {
            server: self.servers.get(server).record.id.clone(),
            key: self.grant_key(number),
            first_event,
            adapter_missing,
            ended: true,
        };
        self.send_grant_release(now, server, release, effects);
    }

    /// Returns the grant of a request, if it has one.
    fn drop_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        first_event: Option<Duration>,
        adapter_missing: bool,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let has_grant = self
            .requests
            .get_mut(&number)
            .is_some_and(|record| std::mem::take(&mut record.has_grant));
        if has_grant {
            self.release_grant(now, number, server, first_event, adapter_missing, effects);
        }
    }

    pub(super) fn answer_started(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        first_event: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        record.started = true;
        if let RequestPhase::Sent(server) = record.phase
            && record.has_grant
        {
            let release = GrantRelease {
                server: self.servers.get(server).record.id.clone(),
                key: self.grant_key(number),
                first_event: Some(first_event),
                adapter_missing: false,
                ended: false,
            };
            self.send_grant_release(now, server, release, effects);
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        end: AttemptEnd,
        sight: AttemptStats,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let RequestPhase::Sent(server) = record.phase else {
            return;
        };
        record.phase = RequestPhase::Choosing;
        let detail = format!(
            "server={} end={end:?} first_ms={:?} pause_ms={}",
            self.servers.get(server).record.id,
            sight.first_event.map(|time| time.as_millis()),
            sight.longest_pause.as_millis(),
        );
        log_event(effects, "attempt_ended", &record.request.attempt, &detail);
        let fingerprint = record.fingerprint;
        if let Some(load) = sight.load {
            self.servers.record_load(now, server, load);
        }
        let outcome = server_outcome(end);
        self.servers.record_end(now, server, outcome);
        self.note_breakdown(now, server, end, fingerprint);
        let missing = matches!(end, AttemptEnd::Rejected { misdirected: true });
        // Other answers say nothing about reading prompts or the adapter.
        let ran = matches!(
            end,
            AttemptEnd::Completed { success: true } | AttemptEnd::Interrupted
        );
        let first_event = sight.first_event.filter(|_| ran);
        self.drop_grant(now, number, server, first_event, missing, effects);
        self.decide_repeat(now, number, server, end, effects);
    }

    fn note_breakdown(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        end: AttemptEnd,
        fingerprint: u64,
    ) {
        let service = &self.servers.get(server).record.service;
        let cold_time = self
            .config()
            .and_then(|config| config.service(service))
            .map_or(Duration::ZERO, |service| service.cold_time);
        match end {
            AttemptEnd::NotConnected => {
                self.servers.mark_cold(now, server, cold_time);
                if self.suspects.confirm_crashes(now, server) {
                    self.share_suspects(now);
                }
            }
            AttemptEnd::Broken | AttemptEnd::Interrupted => {
                self.suspects
                    .record_broken_connection(now, server, fingerprint);
            }
            _ => {}
        }
    }

    fn decide_repeat(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        end: AttemptEnd,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let may_go_on = record.sends < MAX_SENDS;
        match end {
            AttemptEnd::Completed { .. } => {
                if let Some(record) = self.requests.remove(&number) {
                    self.count_usage(number, &record, UsageOutcome::Answered);
                }
                return;
            }
            AttemptEnd::NotConnected | AttemptEnd::Rejected { .. } if may_go_on => {}
            AttemptEnd::NotConnected | AttemptEnd::Rejected { .. } => {
                self.refuse(now, number, ErrorKind::NoServer, effects);
                return;
            }
            AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::Failed => {
                record.runs += 1;
                let may_repeat =
                    record.repeat.may_repeat() && record.runs < record.max_attempts && may_go_on;
                if !may_repeat {
                    self.refuse(now, number, ErrorKind::ServerLost, effects);
                    return;
                }
            }
            AttemptEnd::Interrupted => {
                record.runs += 1;
                let may_resume = record.repeat == RetryPolicy::ResumableStream
                    && record.runs < record.max_attempts.max(2)
                    && may_go_on;
                if !may_resume {
                    self.refuse(now, number, ErrorKind::AnswerBroken, effects);
                    return;
                }
            }
        }
        record.hold_until = record.hold_until.max(now.after(LOOK_AGAIN));
        self.try_elsewhere(now, number, server, effects);
    }
}

fn server_outcome(end: AttemptEnd) -> ServerOutcome {
    match end {
        AttemptEnd::NotConnected => ServerOutcome::Refused,
        AttemptEnd::Rejected { .. } => ServerOutcome::Neutral,
        AttemptEnd::Completed { success: true } => ServerOutcome::Answered,
        AttemptEnd::Completed { success: false }
        | AttemptEnd::Broken
        | AttemptEnd::Silent
        | AttemptEnd::Failed
        | AttemptEnd::Interrupted => ServerOutcome::Failed,
    }
}
