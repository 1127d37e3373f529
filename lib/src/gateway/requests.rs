//! Forwards an admitted request: selects a server, asks its scheduler for a grant, sends and
//! retries.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    GatewayReducer, TimerKind,
    catalog::RetryPolicy,
    choice::EngineChoice,
    engines::GrantOutcome,
    event::{
        AttemptEnd, AttemptStats, GatewayEffect, GatewayRequest, RequestNumber, ServerDispatch,
    },
    log_event,
    server_scheduler::{DeclineReason, GrantNumber, GrantReply},
    servers::{GatewayServerKey, ServerOutcome},
    stages::StageClock,
    suspects::SuspectCauses,
};
use crate::{clock::ClockTime, error::ErrorKind, usage::UsageOutcome};

/// A request with less time left than this is not sent.
const MIN_SEND_TIME: Duration = Duration::from_millis(15);
/// Delay before server selection is repeated for a request that found no server.
const SELECTION_DELAY: Duration = Duration::from_millis(40);
/// Maximum of that delay, as a multiple of [`SELECTION_DELAY`].
const MAX_SELECTION_DELAYS: u32 = 2;
/// How long a server is not asked to load another adapter after it had no free adapter slot or the
/// limit on concurrent loads was reached.
const LOAD_PAUSE: Duration = Duration::from_millis(60);
/// The same for a server whose scheduler may not send orders yet, or that has no base model loaded.
const NOT_READY_PAUSE: Duration = Duration::from_millis(300);
/// Default retry delay that a refused caller is given.
pub(super) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of sends of one request, including those that failed to connect or that the
/// server rejected without running the request.
const MAX_SENDS: u32 = 5;
/// Number of busy replies to a request after which it accepts any wait at the next server that is
/// asked; each reply costs a round trip to a peer.
const MAX_BUSY_REPLIES: u32 = 4;
/// How much longer than expected a server's backlog may be: about the prefill time of a prompt
/// whose shared parts are cached.
pub(super) const BACKLOG_TOLERANCE: Duration = Duration::from_millis(100);
/// Number of servers that are tried before a request waits for [`SELECTION_DELAY`].
pub(super) const MAX_TRIED_SERVERS: usize = 4;
/// Fraction of the remaining time that one attempt may use if the request can be retried at another
/// server.
const ATTEMPT_TIME_FRACTION: f64 = 0.5;
/// An attempt times out after this multiple of the route's objective if the request can be retried
/// at another server.
const ATTEMPT_OBJECTIVES: f64 = 2.0;
/// Time after the beginning of a response for which the request may still crash its server.
const STARTING_TIME: Duration = Duration::from_millis(500);

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// Waits for its team's quota.
    AwaitingQuota,
    /// Selects a server, or waits before the next selection.
    Selecting,
    /// Waits for a grant from the scheduler of this server.
    AwaitingGrant(GatewayServerKey),
    /// Has a grant for this server and waits until the adapter is loaded there.
    AwaitingAdapter(GatewayServerKey),
    /// Was sent to this server.
    Sent(GatewayServerKey),
}

/// A caller's request in progress.
#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) request: GatewayRequest,
    pub(super) service: SmolStr,
    pub(super) route: SmolStr,
    pub(super) retry: RetryPolicy,
    pub(super) objective: Duration,
    pub(super) pause_objective: Option<Duration>,
    pub(super) max_attempts: u32,
    pub(super) priority: u8,
    pub(super) team: Option<SmolStr>,
    pub(super) cost: f64,
    pub(super) arrived: ClockTime,
    /// Time by which the request has ended.
    pub(super) deadline: ClockTime,
    pub(super) selection_deadline: ClockTime,
    /// Number of selections that found no server.
    pub(super) failed_selections: u32,
    /// Changed by [`RequestRecord::enter_phase`] only.
    pub(super) phase: RequestPhase,
    pub(super) stages: StageClock,
    /// Peers that can still be asked to lend quota.
    pub(super) lenders: Vec<SocketAddr>,
    /// Number of the newest grant that was requested.
    pub(super) grant: GrantNumber,
    pub(super) has_grant: bool,
    /// Oldest version of the adapter that was acceptable when the grant was requested.
    pub(super) granted_version: u64,
    /// Prompt tokens that the server has to prefill, according to its scheduler.
    pub(super) uncached_tokens: u64,
    /// Number of schedulers' replies that their server is busier than expected.
    pub(super) busy_replies: u32,
    /// Time at which the newest grant was requested.
    pub(super) asked_at: ClockTime,
    /// Whether a scheduler has queued the request.
    pub(super) was_queued: bool,
    /// First server that had no place for the request.
    pub(super) full_server: Option<GatewayServerKey>,
    /// Servers that are not tried again before the next delay.
    pub(super) excluded: Vec<GatewayServerKey>,
    /// Server that last rejected the request because it lacked the adapter.
    pub(super) late_server: Option<GatewayServerKey>,
    /// Number of sends.
    pub(super) sends: u32,
    /// Number of sends after which a server may have run the request.
    pub(super) runs: u32,
    /// Time of the newest send.
    pub(super) sent_at: ClockTime,
    /// Time at which the beginning of the response was forwarded to the caller.
    pub(super) started_at: Option<ClockTime>,
    pub(super) causes: SuspectCauses,
    /// Whether it was admitted in spite of its causes, for one send.
    pub(super) is_trial: bool,
}

impl RequestRecord {
    pub(super) fn enter_phase(&mut self, now: ClockTime, phase: RequestPhase) {
        self.stages.enter(now, phase);
        self.phase = phase;
    }
}

impl GatewayReducer {
    /// Takes the next step for a request that has not been sent.
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
            RequestPhase::Selecting
                if record.request.model.is_some() && self.has_model_servers(number) =>
            {
                // Each scheduler that is asked may take the whole timeout of the call.
                let may_ask = now < record.selection_deadline || record.excluded.is_empty();
                let choice = if may_ask && record.excluded.len() < MAX_TRIED_SERVERS {
                    self.choose_engine(now, number)
                } else {
                    None
                };
                match choice {
                    Some(EngineChoice::Scheduled { server, backlog }) => {
                        let max_wait = self.begin_grant_request(now, number, server, backlog);
                        self.request_grant(now, number, server, max_wait, effects);
                    }
                    Some(EngineChoice::Direct(server)) => self.send(now, number, server, effects),
                    None => self.select_later(now, number, effects),
                }
            }
            RequestPhase::Selecting => match self.choose_server(now, number) {
                Some(server) => self.send(now, number, server, effects),
                None => self.select_later(now, number, effects),
            },
            RequestPhase::AwaitingAdapter(server) => self.send(now, number, server, effects),
            RequestPhase::AwaitingQuota
            | RequestPhase::AwaitingGrant(_)
            | RequestPhase::Sent(_) => {}
        }
    }

    fn has_model_servers(&self, number: RequestNumber) -> bool {
        let service = self.requests.get(&number).map(|record| &record.service);
        service
            .and_then(|service| self.config()?.service(service))
            .is_some_and(|service| service.engine.is_some())
    }

    /// Marks the request as waiting for a grant; returns the longest wait at the server that it
    /// accepts.
    ///
    /// The known backlog may be out of date, so the first grant requests accept little more than
    /// that backlog. After [`MAX_BUSY_REPLIES`], any wait up to the deadline is accepted.
    fn begin_grant_request(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        backlog: Duration,
    ) -> Duration {
        let Some(record) = self.requests.get_mut(&number) else {
            return Duration::ZERO;
        };
        record.enter_phase(now, RequestPhase::AwaitingGrant(server));
        if record.busy_replies < MAX_BUSY_REPLIES {
            backlog + BACKLOG_TOLERANCE
        } else {
            record.deadline.since(now)
        }
    }

    fn select_later(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        record.enter_phase(now, RequestPhase::Selecting);
        let record = self.requests.get(&number);
        if let Some(reason) = record.and_then(|record| self.unavailability(now, record)) {
            self.refuse_for(now, number, reason, effects);
            return;
        }
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        if now >= record.selection_deadline {
            self.refuse(now, number, ErrorKind::NoServer, effects);
            return;
        }
        // Servers that declined may have capacity by then.
        record.excluded.clear();
        record.failed_selections += 1;
        if self.queue_at_full_server(now, number, effects) {
            return;
        }
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        let pause = SELECTION_DELAY * record.failed_selections.min(MAX_SELECTION_DELAYS);
        // The last round of grant requests starts by this time, as schedulers may not answer.
        let next = now.after(pause).min(record.selection_deadline);
        self.set_timer(next, TimerKind::Continue(number));
    }

    /// Handles the reply of a server's scheduler; `None` if there was no answer.
    pub(super) fn grant_answered(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        grant: GrantNumber,
        server: GatewayServerKey,
        reply: Option<&GrantReply>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let is_waiting = self.requests.get(&number).is_some_and(|record| {
            record.phase == RequestPhase::AwaitingGrant(server) && record.grant == grant
        });
        if is_waiting {
            self.log_queued(now, number, server, reply, effects);
        }
        match reply {
            Some(&GrantReply::Granted {
                wait,
                backlog,
                uncached_tokens,
                ..
            }) => {
                self.record_backlog(now, server, backlog);
                if !is_waiting {
                    self.release_grant(now, grant, server, GrantOutcome::default(), effects);
                    return;
                }
                if let Some(record) = self.requests.get_mut(&number) {
                    record.has_grant = true;
                    record.uncached_tokens = uncached_tokens;
                    record.enter_phase(now, RequestPhase::AwaitingAdapter(server));
                }
                if wait.is_zero() || !self.servers.accepts_selected(now, server) {
                    self.send(now, number, server, effects);
                } else {
                    self.stats.stalls += 1;
                    self.set_timer(now.after(wait), TimerKind::Continue(number));
                }
            }
            Some(&GrantReply::Declined {
                reason, backlog, ..
            }) => {
                self.record_backlog(now, server, backlog);
                if is_waiting {
                    self.grant_declined(now, number, server, reason, effects);
                }
            }
            None => {
                // The scheduler may have granted the request and its reply may be lost.
                self.release_grant(now, grant, server, GrantOutcome::default(), effects);
                if is_waiting {
                    self.try_another_server(now, number, server, effects);
                }
            }
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
            && record.busy_replies < MAX_BUSY_REPLIES
        {
            // The server's backlog is known now; it may still be the best choice.
            record.enter_phase(now, RequestPhase::Selecting);
            record.busy_replies += 1;
            self.continue_request(now, number, effects);
            return;
        }
        let pause = match reason {
            DeclineReason::NoPlace | DeclineReason::LoadsBusy => Some(LOAD_PAUSE),
            DeclineReason::NoRight | DeclineReason::NoModel => Some(NOT_READY_PAUSE),
            DeclineReason::NotScheduled
            | DeclineReason::Full
            | DeclineReason::Busy
            | DeclineReason::Leaving => None,
        };
        self.record_full_server(now, number, server, reason);
        if let Some(pause) = pause {
            self.load_pauses.insert(server, now.after(pause));
        }
        // Logged only before the first delay: later declines repeat the same, and the line at the
        // request's end has the number of selections.
        if let Some(record) = self.requests.get(&number)
            && record.failed_selections == 0
        {
            let id = &self.servers.get(server).record.id;
            let detail = format!("server={id} reason={reason:?}");
            log_event(effects, "grant_declined", &record.request.attempt, &detail);
        }
        self.try_another_server(now, number, server, effects);
    }

    fn try_another_server(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.get_mut(&number) {
            record.enter_phase(now, RequestPhase::Selecting);
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
        if !self.servers.accepts_selected(now, server) {
            self.record_diversion(now, number, server, effects);
            self.release_held_grant(now, number, server, GrantOutcome::default(), effects);
            self.try_another_server(now, number, server, effects);
            return;
        }
        let instances = self.instance_count(now);
        let bounds = self.options.bounds.retry;
        let prompt_source = self.prompt_source(now, number, server);
        let min_version = self.requests.get(&number).map_or(0, |record| {
            let wanted = record.request.model.as_ref();
            wanted.map_or(0, |wanted| self.min_version(wanted))
        });
        let expected_version = (min_version > 0).then_some(min_version);
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        // A newer version may have been announced while the request waited with its grant.
        if record.has_grant && min_version > record.granted_version {
            record.enter_phase(now, RequestPhase::Selecting);
            self.release_held_grant(now, number, server, GrantOutcome::default(), effects);
            self.continue_request(now, number, effects);
            return;
        }
        let trial_since = record.is_trial.then_some(record.arrived);
        let is_tried = record.is_trial && record.runs > 0;
        if is_tried || self.suspects.is_refused(&record.causes, trial_since) {
            self.release_held_grant(now, number, server, GrantOutcome::default(), effects);
            self.refuse(now, number, ErrorKind::NoServer, effects);
            return;
        }
        let time_left = record.deadline.since(now);
        if time_left < MIN_SEND_TIME {
            self.release_held_grant(now, number, server, GrantOutcome::default(), effects);
            self.refuse(now, number, ErrorKind::DeadlineExceeded, effects);
            return;
        }
        let budget = self
            .retry_budgets
            .entry(record.service.clone())
            .or_default();
        if record.sends == 0 {
            budget.count_request(now);
        } else if !budget.take(now, &bounds, instances) {
            let detail = format!("service={} sends={}", record.service, record.sends);
            log_event(
                effects,
                "retry_budget_empty",
                &record.request.attempt,
                &detail,
            );
            self.release_held_grant(now, number, server, GrantOutcome::default(), effects);
            self.refuse(now, number, ErrorKind::NoServer, effects);
            return;
        } else {
            self.stats.retries += 1;
        }
        record.sends += 1;
        record.sent_at = now;
        record.enter_phase(now, RequestPhase::Sent(server));
        let can_retry = record.retry.may_retry()
            && record.runs + 1 < record.max_attempts
            && record.started_at.is_none();
        let timeout = if can_retry {
            let objectives = record.objective.mul_f64(ATTEMPT_OBJECTIVES);
            objectives.min(time_left.mul_f64(ATTEMPT_TIME_FRACTION))
        } else {
            time_left
        };
        let target = &self.servers.get(server).record;
        let dispatch = ServerDispatch {
            request: number,
            server,
            id: target.id.clone(),
            started: target.started,
            address: target.address,
            waited: (record.sends == 1).then(|| now.since(record.arrived)),
            time_left,
            timeout,
            prompt_source,
            expected_version,
            team: record.team.clone(),
            priority: record.request.model.as_ref().map(|_| record.priority),
            retry_failures: can_retry,
            is_stream: record.retry.is_stream(),
            resumable: record.retry == RetryPolicy::ResumableStream,
            at_most_once: !record.retry.may_retry(),
            stages: record.stages.take(now, &record.route),
        };
        let adapter = record.request.model.as_ref();
        let adapter = adapter.and_then(|model| model.adapter.as_deref());
        let detail = format!(
            "server={} team={} cost={} adapter={} prompt={} sends={} waited_ms={} left_ms={}",
            dispatch.id,
            record.team.as_deref().unwrap_or("-"),
            record.cost,
            adapter.unwrap_or("-"),
            record.request.tokens.map_or(0, |(prompt, _)| prompt),
            record.sends,
            now.since(record.arrived).as_millis(),
            time_left.as_millis(),
        );
        log_event(effects, "request_sent", &record.request.attempt, &detail);
        self.servers.record_send(now, server);
        self.record_return(server, effects);
        effects.push(GatewayEffect::Dispatch(dispatch));
    }

    pub(super) fn release_grant(
        &mut self,
        now: ClockTime,
        grant: GrantNumber,
        server: GatewayServerKey,
        outcome: GrantOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let release = self.grant_release(grant, server, outcome, true);
        self.send_grant_release(now, server, release, effects);
    }

    /// Releases the grant of a request, if it has one.
    fn release_held_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        outcome: GrantOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.get_mut(&number)
            && std::mem::take(&mut record.has_grant)
        {
            let grant = record.grant;
            self.release_grant(now, grant, server, outcome, effects);
        }
    }

    pub(super) fn response_started(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        first_event: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        record.started_at.get_or_insert(now);
        let RequestPhase::Sent(server) = record.phase else {
            return;
        };
        self.servers.record_answer(now, server);
        if record.has_grant {
            let grant = record.grant;
            let outcome = GrantOutcome {
                first_event: Some(first_event),
                ..GrantOutcome::default()
            };
            let release = self.grant_release(grant, server, outcome, false);
            self.send_grant_release(now, server, release, effects);
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        end: AttemptEnd,
        stats: AttemptStats,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let RequestPhase::Sent(server) = record.phase else {
            return;
        };
        record.enter_phase(now, RequestPhase::Selecting);
        let detail = format!(
            "server={} end={end:?} first_ms={:?} pause_ms={}",
            self.servers.get(server).record.id,
            stats.first_event.map(|time| time.as_millis()),
            stats.longest_pause.as_millis(),
        );
        log_event(effects, "attempt_ended", &record.request.attempt, &detail);
        let causes = record.causes.clone();
        let pause_objective = record.pause_objective;
        let sent_at = record.sent_at;
        let was_starting = record
            .started_at
            .is_none_or(|time| now.since(time) < STARTING_TIME);
        if record.started_at.is_none() {
            self.servers.record_answer(now, server);
        }
        if let Some(load) = stats.load {
            // The head of a stream came at about the time of its first event.
            let began = stats.first_event.map(|time| sent_at.after(time));
            let reported = began.map_or(now, |time| time.min(now));
            self.servers.record_load(reported, server, load);
        }
        if end == (AttemptEnd::Completed { success: true }) {
            let time = now.since(sent_at);
            self.servers
                .record_response_time(now, server, time, stats.load);
        }
        let outcome = server_outcome(end);
        self.servers.record_end(now, server, outcome);
        match end {
            AttemptEnd::NotConnected => self.record_refusal(now, server, effects),
            AttemptEnd::Broken | AttemptEnd::Interrupted => {
                self.suspect_request(now, server, &causes, was_starting, effects);
            }
            AttemptEnd::Completed { success: true } => {
                self.clear_request(now, &causes, effects);
            }
            AttemptEnd::Rejected { .. } if self.servers.is_paused(now, server) => {
                self.record_diversion(now, number, server, effects);
            }
            _ => {}
        }
        // The time to the first event of any other response depends neither on prefill nor on the
        // adapter.
        let ran = matches!(
            end,
            AttemptEnd::Completed { success: true } | AttemptEnd::Interrupted
        );
        let is_complete = matches!(end, AttemptEnd::Completed { success: true });
        let outcome = GrantOutcome {
            first_event: stats.first_event.filter(|_| ran),
            adapter_missing: matches!(end, AttemptEnd::Rejected { misdirected: true }),
            late_pause: pause_objective
                .filter(|_| is_complete)
                .map(|objective| stats.longest_pause > objective),
        };
        if let Some(first_event) = outcome.first_event {
            self.record_hold_time(now, number, first_event);
        }
        self.release_held_grant(now, number, server, outcome, effects);
        self.decide_retry(now, number, server, end, effects);
    }

    /// Handles a server that refused a connection.
    fn record_refusal(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let service = &self.servers.get(server).record.service;
        let cold_time = self
            .config()
            .and_then(|config| config.service(service))
            .map_or(Duration::ZERO, |service| service.cold_time);
        self.servers.mark_cold(now, server, cold_time);
        self.confirm_crash(now, server, effects);
    }

    fn decide_retry(
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
        let may_send = record.sends < MAX_SENDS;
        match end {
            AttemptEnd::Completed { .. } => {
                if let Some(record) = self.requests.remove(&number) {
                    self.count_usage(number, &record, UsageOutcome::Answered);
                }
                return;
            }
            AttemptEnd::NotConnected | AttemptEnd::Rejected { .. } if may_send => {}
            AttemptEnd::NotConnected | AttemptEnd::Rejected { .. } => {
                self.refuse(now, number, ErrorKind::NoServer, effects);
                return;
            }
            AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::Failed => {
                record.runs += 1;
                let may_retry =
                    record.retry.may_retry() && record.runs < record.max_attempts && may_send;
                if !may_retry {
                    self.refuse(now, number, ErrorKind::ServerLost, effects);
                    return;
                }
            }
            AttemptEnd::Interrupted => {
                record.runs += 1;
                let may_resume = record.retry == RetryPolicy::ResumableStream
                    && record.runs < record.max_attempts.max(2)
                    && may_send;
                if !may_resume {
                    self.refuse(now, number, ErrorKind::AnswerBroken, effects);
                    return;
                }
            }
        }
        record.selection_deadline = record.selection_deadline.max(now.after(SELECTION_DELAY));
        let is_late = matches!(end, AttemptEnd::Rejected { misdirected: true })
            && record.request.model.is_some();
        if is_late && record.late_server.replace(server) != Some(server) {
            // The adapter is probably still loading there. Its scheduler knows by now and says how
            // long to wait; another server would have to load it as well.
            self.continue_request(now, number, effects);
        } else {
            self.try_another_server(now, number, server, effects);
        }
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
