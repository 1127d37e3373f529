//! Caller requests: admission, permits, dispatch, retries and usage accounting.

use std::{collections::BTreeMap, time::Duration};

use smol_str::{SmolStr, format_smolstr};

use super::{
    Reducer, TimerKind,
    admission::{AdmittedCall, admit_call},
};
use crate::{
    clock::ClockTime,
    config::{ConfigState, CredentialKey, InstanceKey, PriceClass, ServerKey, TeamKey},
    error::{ErrorKind, RunState},
    event::{CallerRequest, DispatchOrder, Effect, RequestNumber, RequestRefusal},
    message::{NamedTarget, PeerMessage, PermitError, PermitHolding, PermitOutcome, PermitRequest},
    pool::{PoolKey, WorkTarget},
    usage::{UsageAccount, UsageOutcome},
};

/// A grant that arrives later than this after the permit request is returned unused.
pub(super) const MAX_GRANT_DELAY: Duration = Duration::from_secs(2);
/// Interval at which an unanswered permit request is repeated.
const PERMIT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a permit request is retried after no scheduler was found or reached.
const SCHEDULER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of servers that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;
/// Interval at which the permits of running requests are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
enum RequestPhase {
    /// Waits until its team's rate allows it.
    Held,
    /// Waits for a permit; the last permit request was sent at `requested_at`.
    AwaitingPermit {
        scheduler: Option<InstanceKey>,
        requested_at: ClockTime,
    },
    /// Sent to a server.
    Running { server: ServerKey },
}

#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    credential: Option<CredentialKey>,
    team: Option<TeamKey>,
    target: WorkTarget,
    price: PriceClass,
    idempotent: bool,
    prompt_tokens: u64,
    reserved: u64,
    arrived: ClockTime,
    deadline: ClockTime,
    pool: PoolKey,
    phase: RequestPhase,
    attempts: u32,
    avoid: Vec<ServerKey>,
    refused_pools: Vec<PoolKey>,
    /// Whether a server may have run the request.
    may_have_run: bool,
    /// Whether the caller has received part of the response.
    started: bool,
    idempotency_key: Option<SmolStr>,
    trace: SmolStr,
}

impl RequestRecord {
    pub(super) fn arrived(&self) -> ClockTime {
        self.arrived
    }
}

impl Reducer {
    pub(super) fn request_arrived(
        &mut self,
        now: ClockTime,
        request: &CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        let number = request.number;
        if let Err((kind, retry_after)) = self.admit(now, request, effects) {
            if let Some(record) = self.requests.remove(&number) {
                self.release_idempotency_key(&record);
            }
            // This instance cannot tell whether an earlier request with the key ran.
            let run = match kind {
                ErrorKind::IdempotencyKeyUsed
                | ErrorKind::IdempotencyKeyElsewhere
                | ErrorKind::IdempotencyKeyExpired => RunState::Unknown,
                _ => RunState::NotRun,
            };
            effects.push(Effect::Refuse(RequestRefusal {
                request: number,
                kind,
                run,
                retry_after,
            }));
        }
    }

    fn admit(
        &mut self,
        now: ClockTime,
        request: &CallerRequest,
        effects: &mut Vec<Effect>,
    ) -> Result<(), (ErrorKind, Option<Duration>)> {
        if !self.is_configured() || self.superseded {
            return Err((ErrorKind::NotReady, None));
        }
        let config = self.config();
        let call = admit_call(&config, request).map_err(|kind| (kind, None))?;
        let pool = *self
            .candidate_pools(call.target)
            .first()
            .ok_or((ErrorKind::NoServer, Some(SCHEDULER_RETRY_DELAY)))?;
        let idempotency_key = self.claim_idempotency_key(now, request, &call)?;
        let reserved = request.prompt_tokens + request.max_tokens;
        let deadline = now.after(request.timeout);
        let record = RequestRecord {
            credential: call.credential,
            team: call.team,
            target: call.target,
            price: call
                .team
                .map_or(PriceClass::Standard, |team| config.teams[team].price),
            idempotent: call.idempotent,
            prompt_tokens: request.prompt_tokens,
            reserved,
            arrived: now,
            deadline,
            pool,
            phase: RequestPhase::Held,
            attempts: 0,
            avoid: Vec::new(),
            refused_pools: Vec::new(),
            may_have_run: false,
            started: false,
            idempotency_key,
            trace: request.trace.clone(),
        };
        self.requests.insert(request.number, record);
        self.set_timer(deadline, TimerKind::Deadline(request.number));
        match call.team {
            Some(team) => self.hold_request(now, request.number, team, reserved, effects)?,
            None => self.request_permit(now, request.number, effects),
        }
        Ok(())
    }

    /// Claims the idempotency key of a call that is not idempotent.
    fn claim_idempotency_key(
        &mut self,
        now: ClockTime,
        request: &CallerRequest,
        call: &AdmittedCall,
    ) -> Result<Option<SmolStr>, (ErrorKind, Option<Duration>)> {
        if call.idempotent {
            return Ok(None);
        }
        let key = request.idempotency_key.clone();
        let key = key.ok_or((ErrorKind::IdempotencyKeyRequired, None))?;
        self.idempotency
            .claim(now, &key)
            .map_err(|kind| (kind, None))?;
        Ok(Some(key))
    }

    /// Releases the idempotency key of a request that did not run, so that it can be used again.
    fn release_idempotency_key(&mut self, record: &RequestRecord) {
        if let Some(key) = &record.idempotency_key {
            self.idempotency.release(key);
        }
    }

    /// Prompt and output tokens that a request reserves.
    pub(super) fn reserved_tokens(&self, request: RequestNumber) -> Option<u64> {
        let record = self.requests.get(&request)?;
        Some(record.reserved)
    }

    /// Refuses a held request that its team's rate has not allowed in time.
    pub(super) fn hold_expired(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        let is_held = self
            .requests
            .get(&request)
            .is_some_and(|record| record.phase == RequestPhase::Held);
        if is_held {
            // Without active shares this instance cannot tell whether the rate is exceeded.
            let kind = if self.limits.is_active(now) {
                ErrorKind::RateExceeded
            } else {
                ErrorKind::NotReady
            };
            self.refuse(now, request, kind, Some(SCHEDULER_RETRY_DELAY), effects);
        }
    }

    fn candidate_pools(&self, target: WorkTarget) -> Vec<PoolKey> {
        let config = self.config();
        let local = config
            .instances
            .key(&self.settings.instance)
            .map(|key| config.instances[key].data_centre);
        self.pools.candidates(&config, target, local)
    }

    /// Requests a permit from the scheduler of the request's pool, and sets the retry timer.
    pub(super) fn request_permit(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let pool = self.pools.record(record.pool);
        let scheduler = self
            .members
            .scheduler(&config, &pool.name, pool.data_centre);
        let message = PermitRequest {
            request,
            pool: pool.name.clone(),
            team: record.team.map(|team| config.teams[team].name.clone()),
            target: NamedTarget::new(&config, record.target),
            tokens: record.reserved,
            time_left: record.deadline.since(now),
            avoid: record
                .avoid
                .iter()
                .map(|server| config.servers[*server].name.clone())
                .collect(),
            trace: record.trace.clone(),
        };
        if let Some(record) = self.requests.get_mut(&request) {
            record.phase = RequestPhase::AwaitingPermit {
                scheduler,
                requested_at: now,
            };
        }
        let retry_delay = match scheduler {
            Some(scheduler) => {
                self.send(scheduler, PeerMessage::PermitRequest(message), effects);
                PERMIT_REQUEST_INTERVAL
            }
            None => SCHEDULER_RETRY_DELAY,
        };
        self.set_timer(now.after(retry_delay), TimerKind::RetryPermit(request));
    }

    pub(super) fn retry_permit(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestPhase::AwaitingPermit { requested_at, .. } = record.phase else {
            return;
        };
        if now.since(requested_at) >= SCHEDULER_RETRY_DELAY {
            self.request_permit(now, request, effects);
        }
    }

    pub(super) fn permit_granted(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        pool: &str,
        server: &str,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let Some(server) = config.servers.key(server) else {
            return;
        };
        let unused = PeerMessage::PermitRelease {
            request,
            pool: pool.into(),
            outcome: PermitOutcome::Unused,
        };
        let Some(record) = self.requests.get_mut(&request) else {
            self.send_to_scheduler(pool, unused, effects);
            return;
        };
        let requested_at = match record.phase {
            RequestPhase::AwaitingPermit { requested_at, .. } => requested_at,
            // A duplicate grant of the permit in use.
            RequestPhase::Running { .. } | RequestPhase::Held => return,
        };
        if self.pools.key(pool) != Some(record.pool) || now.since(requested_at) > MAX_GRANT_DELAY {
            self.send_to_scheduler(pool, unused, effects);
            return;
        }
        if let Some(kind) = withdrawal_error(&config, record) {
            self.send_to_scheduler(pool, unused, effects);
            self.refuse(now, request, kind, None, effects);
            return;
        }
        record.phase = RequestPhase::Running { server };
        record.attempts += 1;
        let order = DispatchOrder {
            request,
            server: config.servers[server].name.clone(),
            address: config.servers[server].address,
            model: engine_model(&config, record.target),
            price: record.price,
            time_left: record.deadline.since(now),
        };
        effects.push(Effect::Dispatch(order));
    }

    pub(super) fn permit_refused(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        pool: &str,
        fault: PermitError,
        retry_after: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let is_awaiting_permit = matches!(record.phase, RequestPhase::AwaitingPermit { .. });
        if !is_awaiting_permit || self.pools.key(pool) != Some(record.pool) {
            return;
        }
        let kind = match fault {
            PermitError::NotScheduler | PermitError::Behind => {
                let time = now.after(SCHEDULER_RETRY_DELAY);
                self.set_timer(time, TimerKind::RetryPermit(request));
                return;
            }
            PermitError::Refused(kind) => kind,
        };
        record.refused_pools.push(record.pool);
        if self.try_next_pool(now, request, effects) {
            return;
        }
        self.refuse(now, request, kind, Some(retry_after), effects);
    }

    /// Moves the request to the next pool that has not refused it; returns false if there is none.
    fn try_next_pool(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(record) = self.requests.get(&request) else {
            return false;
        };
        let (target, refused) = (record.target, record.refused_pools.clone());
        let next = self
            .candidate_pools(target)
            .into_iter()
            .find(|pool| !refused.contains(pool));
        let Some(pool) = next else { return false };
        if let Some(record) = self.requests.get_mut(&request) {
            record.pool = pool;
        }
        self.request_permit(now, request, effects);
        true
    }

    pub(super) fn response_started(&mut self, request: RequestNumber) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.started = true;
            record.may_have_run = true;
        }
    }

    pub(super) fn response_finished(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        prompt_tokens: Option<u64>,
        output_tokens: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.requests.remove(&request) else {
            return;
        };
        self.release_permit(request, &record, PermitOutcome::Answered, effects);
        let prompt_tokens = prompt_tokens.unwrap_or(record.prompt_tokens);
        self.record_usage(
            now,
            request,
            &record,
            UsageOutcome::Answered,
            prompt_tokens,
            output_tokens,
        );
    }

    pub(super) fn response_failed(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        run: RunState,
        output_tokens: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut record) = self.requests.remove(&request) else {
            return;
        };
        let RequestPhase::Running { server } = record.phase else {
            self.requests.insert(request, record);
            return;
        };
        record.may_have_run |= run == RunState::Unknown;
        self.release_permit(request, &record, PermitOutcome::Failed, effects);
        let can_retry = !record.started && (record.idempotent || !record.may_have_run);
        if can_retry && record.attempts < MAX_ATTEMPTS && now < record.deadline {
            record.avoid.push(server);
            self.requests.insert(request, record);
            self.request_permit(now, request, effects);
            return;
        }
        let kind = if record.started {
            ErrorKind::AnswerBroken
        } else if record.may_have_run {
            ErrorKind::ServerLost
        } else {
            ErrorKind::ServerRefused
        };
        self.fail_request(now, request, &record, kind, None, output_tokens, effects);
    }

    pub(super) fn caller_disconnected(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.requests.remove(&request) else {
            return;
        };
        self.withdraw_request(request, &record, effects);
        let running = matches!(record.phase, RequestPhase::Running { .. });
        if running || record.may_have_run {
            let prompt_tokens = record.prompt_tokens;
            let outcome = UsageOutcome::Partial;
            self.record_usage(now, request, &record, outcome, prompt_tokens, 0);
        } else {
            self.refund_unused(now, &record);
        }
    }

    /// Returns the idempotency key and the allowance taken for a request that did not run.
    fn refund_unused(&mut self, now: ClockTime, record: &RequestRecord) {
        self.release_idempotency_key(record);
        if let Some(team) = record.team
            && record.phase != RequestPhase::Held
        {
            self.refund(now, team, record.reserved, 1);
        }
    }

    pub(super) fn deadline_passed(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        self.refuse(now, request, ErrorKind::DeadlineExceeded, None, effects);
    }

    /// Refuses waiting requests whose API key was withdrawn or whose team was removed.
    pub(super) fn refuse_withdrawn(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let config = self.config();
        let refused: Vec<(RequestNumber, ErrorKind)> = self
            .requests
            .iter()
            .filter(|(_, record)| !matches!(record.phase, RequestPhase::Running { .. }))
            .filter_map(|(number, record)| Some((*number, withdrawal_error(&config, record)?)))
            .collect();
        for (request, kind) in refused {
            self.refuse(now, request, kind, None, effects);
        }
    }

    /// Withdraws a request from its queue or server, and refuses it.
    fn refuse(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut record) = self.requests.remove(&request) else {
            return;
        };
        record.may_have_run |= matches!(record.phase, RequestPhase::Running { .. });
        self.withdraw_request(request, &record, effects);
        self.fail_request(now, request, &record, kind, retry_after, 0, effects);
    }

    /// Withdraws a request from its queue or aborts it on its server.
    fn withdraw_request(
        &mut self,
        request: RequestNumber,
        record: &RequestRecord,
        effects: &mut Vec<Effect>,
    ) {
        match record.phase {
            RequestPhase::Held => {
                if let Some(team) = record.team {
                    self.remove_held(team, request, record.reserved);
                }
            }
            RequestPhase::Running { .. } => {
                effects.push(Effect::Abort(request));
                self.release_permit(request, record, PermitOutcome::Unused, effects);
            }
            RequestPhase::AwaitingPermit {
                scheduler: Some(scheduler),
                ..
            } => {
                let pool = self.pools.record(record.pool).name.clone();
                let message = PeerMessage::PermitCancel { request, pool };
                self.send(scheduler, message, effects);
            }
            RequestPhase::AwaitingPermit {
                scheduler: None, ..
            } => {}
        }
    }

    /// Records the usage of a failed request, or refunds it if it did not run, and refuses it.
    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is a separate part of the refusal"
    )]
    fn fail_request(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        record: &RequestRecord,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        output_tokens: u64,
        effects: &mut Vec<Effect>,
    ) {
        let run = if record.may_have_run {
            let outcome = if record.started {
                UsageOutcome::Partial
            } else {
                UsageOutcome::Unknown
            };
            let prompt_tokens = record.prompt_tokens;
            self.record_usage(now, request, record, outcome, prompt_tokens, output_tokens);
            RunState::Unknown
        } else {
            self.refund_unused(now, record);
            RunState::NotRun
        };
        effects.push(Effect::Refuse(RequestRefusal {
            request,
            kind,
            run,
            retry_after,
        }));
    }

    fn release_permit(
        &mut self,
        request: RequestNumber,
        record: &RequestRecord,
        outcome: PermitOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let pool = self.pools.record(record.pool).name.clone();
        let message = PeerMessage::PermitRelease {
            request,
            pool: pool.clone(),
            outcome,
        };
        self.send_to_scheduler(&pool, message, effects);
    }

    /// Records the usage of a request and refunds the tokens that it did not use.
    fn record_usage(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        record: &RequestRecord,
        outcome: UsageOutcome,
        prompt_tokens: u64,
        output_tokens: u64,
    ) {
        let config = self.config();
        if let Some(team) = record.team {
            let used = prompt_tokens + output_tokens;
            self.refund(now, team, record.reserved.saturating_sub(used), 0);
        }
        let (owner, team) = match record.team {
            Some(team) => {
                let team = &config.teams[team];
                (config.owners[team.owner].name.clone(), team.name.clone())
            }
            None => (SmolStr::default(), SmolStr::default()),
        };
        let account = UsageAccount {
            owner,
            team,
            target: record.target.name(&config).clone(),
            price: record.price,
        };
        self.usage
            .count(request, account, outcome, prompt_tokens, output_tokens);
    }

    /// Reports to each scheduler which requests run on the servers of its pool.
    pub(super) fn renew_permits(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        if now.since(self.last_renewal) < RENEW_INTERVAL {
            return;
        }
        self.last_renewal = now;
        let config = self.config();
        let mut by_pool: BTreeMap<PoolKey, Vec<PermitHolding>> = BTreeMap::new();
        for (request, record) in &self.requests {
            if let RequestPhase::Running { server } = record.phase {
                by_pool.entry(record.pool).or_default().push(PermitHolding {
                    request: *request,
                    server: config.servers[server].name.clone(),
                    target: NamedTarget::new(&config, record.target),
                });
            }
        }
        for (pool, holdings) in by_pool {
            let pool = self.pools.record(pool).name.clone();
            let message = PeerMessage::PermitRenew {
                pool: pool.clone(),
                holdings,
            };
            self.send_to_scheduler(&pool, message, effects);
        }
    }

    /// Retries permit requests whose scheduler could not be reached.
    pub(super) fn scheduler_lost(&mut self, now: ClockTime, instance: InstanceKey) {
        let waiting: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, record)| {
                matches!(record.phase, RequestPhase::AwaitingPermit { scheduler, .. }
                    if scheduler == Some(instance))
            })
            .map(|(number, _)| *number)
            .collect();
        for request in waiting {
            self.set_timer(
                now.after(SCHEDULER_RETRY_DELAY),
                TimerKind::RetryPermit(request),
            );
        }
    }
}

/// Why an admitted request may no longer be sent to a server, if so.
fn withdrawal_error(config: &ConfigState, record: &RequestRecord) -> Option<ErrorKind> {
    if record
        .credential
        .is_some_and(|credential| config.keys[credential].withdrawn)
    {
        return Some(ErrorKind::KeyWithdrawn);
    }
    if record.team.is_some_and(|team| config.teams[team].removed) {
        return Some(ErrorKind::KeyWithdrawn);
    }
    None
}

/// Model name of the target on an engine.
fn engine_model(config: &ConfigState, target: WorkTarget) -> SmolStr {
    match target {
        WorkTarget::Adapter { adapter, version } => {
            let record = &config.adapters[adapter];
            let base = &config.bases[record.base].name;
            format_smolstr!("{base}:{}@{version}", record.name)
        }
        WorkTarget::Base(_) | WorkTarget::Service(_) => target.name(config).clone(),
    }
}
