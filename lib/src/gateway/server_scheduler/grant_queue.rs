//! Queue of the requests that the server cannot start yet.
//!
//! A queued request occupies neither an adapter slot nor a place among the loads; both are taken when
//! it is granted. The queue is served whenever the server may have become able to start a request.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    DeclineReason, GrantKey, GrantReply, GrantRequest, LONG_PREFILL_TOKENS, LoadLimiter,
    MAX_LOADING, ServerScheduler,
    admission::{START_TOLERANCE, StartBounds},
    wait_queue::{WaitQueue, WaitTerms, WaitTicket},
};
use crate::{
    clock::ClockTime,
    gateway::{catalog::EngineConfig, event::RequestNumber, server_scheduler::GrantNumber},
};

/// Upper bound of the time for which a request is queued, whatever it asks for.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// Number of attempts in a row that may fail before the queue is left until the next event. Each
/// failure usually excludes all requests that wait for the same.
const MAX_FAILED_ATTEMPTS: usize = 8;
/// Number of priorities that callers can have.
pub const PRIORITY_COUNT: usize = 10;

/// Who waits for the answer to a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantCaller {
    /// A peer, whose call is kept open.
    Peer {
        /// Number of the call.
        call: u64,
    },
    /// This instance itself.
    Own {
        /// The caller's request.
        request: RequestNumber,
        /// Number of the grant.
        grant: GrantNumber,
    },
}

/// Answer to a queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantAnswer {
    /// Who waits for it.
    pub caller: GrantCaller,
    /// The answer.
    pub reply: GrantReply,
}

/// How often requests were granted ahead of others that had been queued before them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OvertakeCounts {
    /// Number of requests that were granted ahead of others.
    pub grants: u64,
    /// Sum over them of the number of requests that they overtook.
    pub overtaken: u64,
}

#[derive(Clone, Debug)]
struct QueuedGrant {
    request: GrantRequest,
    caller: GrantCaller,
    queued_at: ClockTime,
    /// Whether its prompt waits for those before it.
    is_long: bool,
    prefill_time: Duration,
    /// Why it could not start when that was last checked; `None` before the first check.
    reason: Option<DeclineReason>,
    /// Number of the pass over the queue in which an attempt to start it failed last.
    failed_pass: u64,
}

impl QueuedGrant {
    /// Time at which the request is declined.
    fn expires_at(&self) -> ClockTime {
        let reason = self.reason.unwrap_or(DeclineReason::Busy);
        let hold = self.request.hold_for(reason).min(MAX_HOLD);
        self.queued_at.after(hold)
    }
}

/// Queued requests of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantQueue {
    queue: WaitQueue<QueuedGrant>,
    overtakes: OvertakeCounts,
    overtakes_taken_at: ClockTime,
    /// Number of the last pass over the queue.
    pass: u64,
    /// Time at which the queue is to be served next, if no event comes before.
    wake_at: Option<ClockTime>,
}

impl GrantQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Prefill time of the requests that wait for other prompts.
    pub(super) fn prefill_time(&self) -> Duration {
        self.queue
            .iter()
            .filter(|(_, _, queued)| queued.reason == Some(DeclineReason::Busy))
            .fold(Duration::ZERO, |sum, (_, _, queued)| {
                sum.saturating_add(queued.prefill_time)
            })
    }

    pub(super) fn record_served(&mut self, now: ClockTime, team: &Option<SmolStr>, tokens: u64) {
        self.queue.record_served(now, team, tokens);
    }
}

/// What the server can start at one time, as found by checks and failed attempts.
#[derive(Clone, Debug)]
struct ServableWork {
    /// Why requests cannot start whose adapter has no slot and must come from the weight store.
    store_loads: Option<DeclineReason>,
    /// The same for adapters that the server has in its local cache.
    recent_loads: Option<DeclineReason>,
    can_prefill_long: bool,
    has_request_slot: bool,
    /// Cache memory that is left; `u64::MAX` if the server is idle.
    free_tokens: u64,
}

impl ServerScheduler {
    /// Queues a request; the caller must serve the queue next.
    ///
    /// # Errors
    ///
    /// Returns the answer if the queue is full.
    pub fn enqueue(
        &mut self,
        now: ClockTime,
        request: GrantRequest,
        caller: GrantCaller,
    ) -> Result<(), GrantAnswer> {
        let uncached_tokens = self.prefix_cache.uncached_tokens(&request);
        let prefill_time = self
            .prefill_model
            .estimate(request.prompt_tokens, uncached_tokens);
        let terms = WaitTerms {
            priority: request.priority,
            team: request.team.clone(),
            objective_at: now.after(request.objective_left),
            service_time: prefill_time,
            waiting_since: now.before(request.waited),
        };
        let queued = QueuedGrant {
            request,
            caller,
            queued_at: now,
            is_long: uncached_tokens >= LONG_PREFILL_TOKENS,
            prefill_time,
            reason: None,
            failed_pass: 0,
        };
        match self.grant_queue.queue.push(terms, queued) {
            Ok(_) => Ok(()),
            Err(queued) => Err(GrantAnswer {
                caller: queued.caller,
                reply: self.declined(now, DeclineReason::Full),
            }),
        }
    }

    /// Grants the queued requests that can start now, in order, and declines those that were queued
    /// for as long as they allow.
    pub fn serve_queue(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        load_limiter: &mut LoadLimiter,
    ) -> Vec<GrantAnswer> {
        let mut answers = Vec::new();
        if self.grant_queue.is_empty() {
            return answers;
        }
        self.expire_grants(now);
        self.begin_later_prefills(now);
        // After a pause of the process, the callers of these no longer wait.
        self.decline_expired(now, &mut answers);
        self.grant_queue.pass += 1;
        let mut work = self.servable_work(now, config);
        let mut failed_attempts = 0;
        while failed_attempts < MAX_FAILED_ATTEMPTS
            && let Some(ticket) = self.first_servable(now, &work)
            && let Some(queued) = self.grant_queue.queue.get(ticket)
        {
            let request = queued.request.clone();
            match self.start(now, config, &request, StartBounds::NOW, load_limiter) {
                Ok(reply) => {
                    self.answer_queued(ticket, reply, &mut answers);
                    work = ServableWork {
                        store_loads: work.store_loads,
                        recent_loads: work.recent_loads,
                        ..self.servable_work(now, config)
                    };
                }
                Err(reason) => {
                    self.record_failure(now, ticket, &request, reason, &mut work);
                    failed_attempts += 1;
                }
            }
        }
        self.update_reasons(now, &work);
        self.decline_expired(now, &mut answers);
        answers
    }

    fn servable_work(&self, now: ClockTime, config: &EngineConfig) -> ServableWork {
        ServableWork {
            store_loads: None,
            recent_loads: None,
            can_prefill_long: self.can_prefill(now, config, LONG_PREFILL_TOKENS),
            has_request_slot: self.grants.len() < config.slots as usize,
            free_tokens: self.free_tokens(config),
        }
    }

    fn first_servable(&self, now: ClockTime, work: &ServableWork) -> Option<WaitTicket> {
        let pass = self.grant_queue.pass;
        self.grant_queue.queue.first(now, |queued| {
            queued.failed_pass != pass && self.blocked_by(now, queued, work).is_none()
        })
    }

    /// Why a queued request cannot start, according to what is known of the server at this time.
    fn blocked_by(
        &self,
        now: ClockTime,
        queued: &QueuedGrant,
        work: &ServableWork,
    ) -> Option<DeclineReason> {
        let request = &queued.request;
        let tokens = request.prompt_tokens.saturating_add(request.output_tokens);
        if !work.has_request_slot || tokens > work.free_tokens {
            return Some(DeclineReason::Full);
        }
        if let Some(adapter) = &request.adapter {
            match self.find_slot(&request.model, adapter) {
                Some(slot) if slot.ready_at.since(now) > START_TOLERANCE => return None,
                Some(_) => {}
                None if self.is_recently_evicted(&request.model, adapter) => {
                    return work.recent_loads;
                }
                None => return work.store_loads,
            }
        }
        (queued.is_long && !work.can_prefill_long).then_some(DeclineReason::Busy)
    }

    /// Records that a request could not start, which excludes those that need the same.
    fn record_failure(
        &mut self,
        now: ClockTime,
        ticket: WaitTicket,
        request: &GrantRequest,
        reason: DeclineReason,
        work: &mut ServableWork,
    ) {
        let needs_slot = request
            .adapter
            .as_ref()
            .is_some_and(|adapter| self.find_slot(&request.model, adapter).is_none());
        if needs_slot && matches!(reason, DeclineReason::NoPlace | DeclineReason::LoadsBusy) {
            work.store_loads = Some(reason);
            // Loads from the server's local cache need no capacity of the weight store.
            if reason == DeclineReason::NoPlace || self.loading_count(now) >= MAX_LOADING {
                work.recent_loads = Some(reason);
            }
        }
        let pass = self.grant_queue.pass;
        if let Some(queued) = self.grant_queue.queue.get_mut(ticket) {
            queued.failed_pass = pass;
            queued.reason = Some(reason);
        }
    }

    /// Updates why the requests wait that were not attempted.
    fn update_reasons(&mut self, now: ClockTime, work: &ServableWork) {
        let pass = self.grant_queue.pass;
        let reasons: Vec<(WaitTicket, DeclineReason)> = self
            .grant_queue
            .queue
            .iter()
            .filter(|(_, _, queued)| queued.failed_pass != pass)
            .filter_map(|(ticket, _, queued)| Some((ticket, self.blocked_by(now, queued, work)?)))
            .collect();
        for (ticket, reason) in reasons {
            if let Some(queued) = self.grant_queue.queue.get_mut(ticket) {
                queued.reason = Some(reason);
            }
        }
    }

    fn answer_queued(
        &mut self,
        ticket: WaitTicket,
        reply: GrantReply,
        answers: &mut Vec<GrantAnswer>,
    ) {
        let Some((queued, overtaken)) = self.grant_queue.queue.remove(ticket) else {
            return;
        };
        if overtaken > 0 && matches!(reply, GrantReply::Granted { .. }) {
            self.grant_queue.overtakes.grants += 1;
            self.grant_queue.overtakes.overtaken += overtaken as u64;
        }
        answers.push(GrantAnswer {
            caller: queued.caller,
            reply,
        });
    }

    fn decline_expired(&mut self, now: ClockTime, answers: &mut Vec<GrantAnswer>) {
        let is_expired = |queued: &QueuedGrant| queued.expires_at() <= now;
        while let Some(ticket) = self.grant_queue.queue.find(is_expired) {
            let queued = self.grant_queue.queue.get(ticket);
            let reason = queued.and_then(|queued| queued.reason);
            let reply = self.declined(now, reason.unwrap_or(DeclineReason::Busy));
            self.answer_queued(ticket, reply, answers);
        }
    }

    /// Removes a queued request whose caller no longer waits for it, and returns the answer that
    /// ends its call.
    pub fn cancel_queued(&mut self, now: ClockTime, key: &GrantKey) -> Option<GrantAnswer> {
        let ticket = self
            .grant_queue
            .queue
            .find(|queued| queued.request.key == *key)?;
        let reason = self.grant_queue.queue.get(ticket)?.reason;
        let reply = self.declined(now, reason.unwrap_or(DeclineReason::Busy));
        let mut answers = Vec::new();
        self.answer_queued(ticket, reply, &mut answers);
        answers.pop()
    }

    /// Declines all queued requests because the instance no longer schedules the server.
    pub fn close_queue(&mut self, reason: DeclineReason) -> Vec<GrantAnswer> {
        let reply = GrantReply::declined(reason);
        let queued = self.grant_queue.queue.drain().into_iter();
        queued
            .map(|queued| GrantAnswer {
                caller: queued.caller,
                reply: reply.clone(),
            })
            .collect()
    }

    /// Returns the time at which the queue is to be served if no event comes before, unless it was
    /// returned before.
    pub fn next_queue_time(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        load_limiter: &LoadLimiter,
    ) -> Option<ClockTime> {
        let prefill_at = self
            .prefill_until
            .after(self.prefill_gap(config))
            .before(START_TOLERANCE);
        let load_at = load_limiter
            .next_free_at()
            .map(|time| time.before(START_TOLERANCE));
        let next_load = self.next_load_at();
        let mut next: Option<ClockTime> = None;
        for (_, _, queued) in self.grant_queue.queue.iter() {
            let times = match queued.reason {
                Some(DeclineReason::Busy) => [Some(prefill_at), None],
                Some(DeclineReason::LoadsBusy) => [load_at, next_load],
                _ => [None, None],
            };
            let times = times.into_iter().flatten().filter(|time| *time > now);
            let time = times.fold(queued.expires_at(), ClockTime::min);
            next = Some(next.map_or(time, |next| next.min(time)));
        }
        let next = next?;
        let is_set = |time: ClockTime| time > now && time <= next;
        if self.grant_queue.wake_at.is_some_and(is_set) {
            return None;
        }
        self.grant_queue.wake_at = Some(next);
        Some(next)
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.grant_queue.queue.len()
    }

    /// Adds the number of queued requests to `counts`, which are by priority.
    pub fn count_queued(&self, counts: &mut [usize; PRIORITY_COUNT]) {
        for (_, terms, _) in self.grant_queue.queue.iter() {
            counts[usize::from(terms.priority).min(PRIORITY_COUNT - 1)] += 1;
        }
    }

    /// Returns how often requests overtook others since the last call that returned counts, at most
    /// once in `interval`.
    pub fn take_overtakes(&mut self, now: ClockTime, interval: Duration) -> Option<OvertakeCounts> {
        let queue = &mut self.grant_queue;
        if queue.overtakes.grants == 0 || now.since(queue.overtakes_taken_at) < interval {
            return None;
        }
        queue.overtakes_taken_at = now;
        Some(std::mem::take(&mut queue.overtakes))
    }
}
