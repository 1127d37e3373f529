//! Decides whether a request can start at the server now, and books it.

use std::time::Duration;

use super::{
    AdapterSlot, DeclineReason, GrantKey, GrantRecord, GrantReply, GrantRequest,
    LONG_PREFILL_TOKENS, LoadLimiter, MEMORY_SHARE, ORDER_LATENCY, RECENT_LOAD_TIME,
    ServerScheduler, event_interval, load_limiter::MAX_LOAD_WAIT,
};
use crate::{
    clock::ClockTime,
    gateway::{catalog::EngineConfig, server_status::StatusList},
};

/// Longest time until the start of a request that could be queued instead. It covers the way of the
/// grant to the requesting instance and of the request to the server.
pub(super) const START_TOLERANCE: Duration = Duration::from_millis(30);

/// How long a request may wait once it is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartBounds {
    /// Longest wait for the prompts before it.
    pub(super) prefill: Duration,
    /// Longest wait until its adapter starts to load.
    pub(super) load: Duration,
    /// Whether a request that waits for its adapter leaves the time before to other prompts.
    pub(super) fills_gaps: bool,
}

impl StartBounds {
    /// Bounds of a request that could be queued instead, so that requests that come later can still
    /// go first.
    pub(super) const NOW: StartBounds = StartBounds {
        prefill: START_TOLERANCE,
        load: START_TOLERANCE,
        fills_gaps: true,
    };

    /// Bounds of a request that cannot be queued.
    fn of_unqueued(request: &GrantRequest) -> StartBounds {
        StartBounds {
            prefill: request.max_wait,
            load: MAX_LOAD_WAIT,
            fills_gaps: false,
        }
    }
}

/// A prompt that is prefilled once its adapter is loaded; other prompts may go before it.
#[derive(Clone, Debug)]
pub(super) struct LaterPrefill {
    pub(super) key: GrantKey,
    start: ClockTime,
    time: Duration,
}

impl ServerScheduler {
    /// Decides immediately on a request to send a prompt to the server.
    ///
    /// `load_limiter` is the instance's limiter for loads from the weight store.
    pub fn decide(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        request: &GrantRequest,
        load_limiter: &mut LoadLimiter,
    ) -> GrantReply {
        self.expire_grants(now);
        // Bookings far ahead would go before the requests that are queued.
        let bounds = if self.grant_queue.is_empty() {
            StartBounds::of_unqueued(request)
        } else {
            StartBounds::NOW
        };
        self.start(now, config, request, bounds, load_limiter)
            .unwrap_or_else(|reason| self.declined(now, reason))
    }

    pub(super) fn declined(&self, now: ClockTime, reason: DeclineReason) -> GrantReply {
        GrantReply::Declined {
            reason,
            backlog: self.backlog(now),
            statuses: StatusList::default(),
        }
    }

    /// Grants a request if it can start within `bounds`.
    pub(super) fn start(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        request: &GrantRequest,
        bounds: StartBounds,
        load_limiter: &mut LoadLimiter,
    ) -> Result<GrantReply, DeclineReason> {
        self.begin_later_prefills(now);
        let uncached_tokens = self.prefix_cache.uncached_tokens(request);
        let ready_at = if bounds.fills_gaps {
            self.expected_ready_at(now, request, load_limiter)
        } else {
            now
        };
        if self
            .prefill_start(ready_at, config, uncached_tokens)
            .since(ready_at)
            > bounds.prefill
        {
            return Err(DeclineReason::Busy);
        }
        let load_wait = self.admit(now, config, request, bounds, load_limiter)?;
        let prefill_time = self
            .prefill_model
            .estimate(request.prompt_tokens, uncached_tokens);
        let prefill_start = self.prefill_start(ready_at, config, uncached_tokens);
        let start = now.after(load_wait).max(prefill_start);
        let prefill_end = if bounds.fills_gaps {
            self.later_prefill_end(start).max(start).after(prefill_time)
        } else {
            self.prefill_until.max(start).after(prefill_time)
        };
        let is_later = bounds.fills_gaps
            && start.since(now.max(self.prefill_until)) > event_interval(config) + START_TOLERANCE;
        if is_later {
            self.add_later_prefill(request.key.clone(), start, prefill_time);
        } else {
            self.prefill_until = self.prefill_until.max(start).after(prefill_time);
        }
        self.prefix_cache.insert(request);
        let tokens = request.prompt_tokens.saturating_add(request.output_tokens);
        self.grant_queue.record_served(now, &request.team, tokens);
        self.grants.insert(
            request.key.clone(),
            GrantRecord {
                model: request.model.clone(),
                adapter: request.adapter.clone(),
                tokens,
                prompt_tokens: request.prompt_tokens,
                uncached_tokens,
                sent_at: start,
                prefill_time,
                first_event_at: prefill_end.after(event_interval(config)),
                has_first_event: false,
                expires_at: now.after(request.lifetime),
            },
        );
        Ok(GrantReply::Granted {
            wait: start.since(now),
            backlog: self.backlog(now),
            uncached_tokens,
            statuses: StatusList::default(),
        })
    }

    /// Earliest time from `ready_at` on at which a prompt with `uncached_tokens` may be sent.
    fn prefill_start(
        &self,
        ready_at: ClockTime,
        config: &EngineConfig,
        uncached_tokens: u64,
    ) -> ClockTime {
        if uncached_tokens >= LONG_PREFILL_TOKENS {
            self.later_prefill_end(ready_at)
                .after(self.prefill_gap(config))
                .max(ready_at)
        } else {
            ready_at
        }
    }

    /// Gap between the end of a long prefill and the start of the next.
    pub(super) fn prefill_gap(&self, config: &EngineConfig) -> Duration {
        self.prefill_pacer.gap(event_interval(config))
    }

    /// Whether a prompt with `uncached_tokens` could start now, if its adapter is loaded.
    pub(super) fn can_prefill(
        &self,
        now: ClockTime,
        config: &EngineConfig,
        uncached_tokens: u64,
    ) -> bool {
        self.prefill_start(now, config, uncached_tokens).since(now) <= START_TOLERANCE
    }

    /// Time at which the prompts that start before `time` are prefilled.
    fn later_prefill_end(&self, time: ClockTime) -> ClockTime {
        let mut end = self.prefill_until;
        for prefill in &self.later_prefills {
            if prefill.start <= end.max(time) {
                end = end.max(prefill.start).after(prefill.time);
            }
        }
        end
    }

    fn add_later_prefill(&mut self, key: GrantKey, start: ClockTime, time: Duration) {
        let position = self
            .later_prefills
            .partition_point(|prefill| prefill.start <= start);
        let prefill = LaterPrefill { key, start, time };
        self.later_prefills.insert(position, prefill);
    }

    /// Counts the prompts whose adapter should be loaded by now to those that are being prefilled.
    pub(super) fn begin_later_prefills(&mut self, now: ClockTime) {
        while let Some(prefill) = self.later_prefills.first()
            && prefill.start <= now.max(self.prefill_until)
        {
            let prefill = self.later_prefills.remove(0);
            self.prefill_until = self.prefill_until.max(prefill.start).after(prefill.time);
        }
    }

    /// Time at which the adapter would be loaded if its load started now.
    fn expected_ready_at(
        &self,
        now: ClockTime,
        request: &GrantRequest,
        load_limiter: &LoadLimiter,
    ) -> ClockTime {
        let Some(adapter) = &request.adapter else {
            return now;
        };
        match self.find_slot(&request.model, adapter) {
            Some(slot) if slot.version >= request.version => slot.ready_at.max(now),
            None if self.is_recently_evicted(&request.model, adapter) => {
                now.after(RECENT_LOAD_TIME + ORDER_LATENCY)
            }
            _ => {
                let load_time = load_limiter.load_time().mul_f64(self.load_time_factor);
                now.after(load_time + ORDER_LATENCY)
            }
        }
    }

    /// Cache memory that is left for requests, in tokens. A request of any size fits an idle server.
    pub(super) fn free_tokens(&self, config: &EngineConfig) -> u64 {
        if self.grants.is_empty() {
            return u64::MAX;
        }
        let used = self
            .grants
            .values()
            .fold(0_u64, |sum, grant| sum.saturating_add(grant.tokens));
        let limit = (config.cache_tokens as f64 * MEMORY_SHARE) as u64;
        limit.saturating_sub(used)
    }

    fn admit(
        &mut self,
        now: ClockTime,
        config: &EngineConfig,
        request: &GrantRequest,
        bounds: StartBounds,
        load_limiter: &mut LoadLimiter,
    ) -> Result<Duration, DeclineReason> {
        if !self.models.contains(&request.model) {
            return Err(DeclineReason::NoModel);
        }
        let tokens = request.prompt_tokens.saturating_add(request.output_tokens);
        let is_full = self.grants.len() >= config.slots as usize
            || request.prompt_tokens > config.cache_tokens
            || tokens > self.free_tokens(config);
        if is_full {
            return Err(DeclineReason::Full);
        }
        let Some(adapter) = &request.adapter else {
            return Ok(Duration::ZERO);
        };
        let ready_at = self.allocate_slot(now, config, request, adapter, bounds, load_limiter)?;
        if let Some(slot) = self.slot(&request.model, adapter) {
            slot.record_use(now);
        }
        Ok(ready_at.since(now))
    }

    pub(super) fn find_slot(&self, model: &str, adapter: &str) -> Option<&AdapterSlot> {
        self.adapter_slots
            .iter()
            .find(|slot| slot.matches_adapter(model, adapter))
    }
}
