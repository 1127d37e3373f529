//! Scheduling of model servers: which instance schedules which server, and grants between
//! instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use smol_str::SmolStr;

use super::{
    CallPurpose, GatewayReducer, JOIN_TIME, TimerKind,
    catalog::{EngineConfig, ServerRecord, ServerReport},
    claims::ServerClaim,
    event::{GatewayEffect, ModelName, RequestNumber},
    log_event,
    members::{MemberPhase, MemberRecord},
    message::PeerCall,
    requests::RequestRecord,
    server_scheduler::{
        DeclineReason, GrantCaller, GrantKey, GrantNumber, GrantRelease, GrantRequest,
        ServerOrderOutcome, ServerScheduler,
    },
    servers::GatewayServerKey,
};
use crate::{clock::ClockTime, rendezvous};

/// Minimum share of a service's servers with a base model, whatever their backlog.
const MIN_LOADED_SHARE: f64 = 0.6;
/// Mean backlog of the servers with a base model, in milliseconds, above which loading it on
/// another server from the weight store pays off.
const HIGH_BACKLOG_MS: f64 = 120.0;

/// The instance that schedules a model server, as known to this instance.
#[derive(Clone, Debug)]
pub(super) struct OwnerView {
    /// Name of the instance.
    pub(super) name: SmolStr,
    pub(super) peer: SocketAddr,
    /// Time at which the server could start on another prompt.
    pub(super) prefill_until: ClockTime,
    /// Time of the scheduler's last reply, which stated the backlog.
    pub(super) backlog_known_at: Option<ClockTime>,
    pub(super) claim: Arc<ServerClaim>,
}

impl OwnerView {
    pub(super) fn new(
        now: ClockTime,
        record: &MemberRecord,
        claim: &Arc<ServerClaim>,
    ) -> OwnerView {
        OwnerView {
            name: record.name.clone(),
            peer: record.peer_address,
            prefill_until: now,
            backlog_known_at: None,
            claim: claim.clone(),
        }
    }

    /// Whether this claim to `server` takes precedence over another.
    pub(super) fn outranks(&self, other: &OwnerView, server: &str) -> bool {
        self.rank(server) > other.rank(server)
    }

    /// Rank among claims to `server`. The largest takes precedence.
    fn rank(&self, server: &str) -> (bool, u64) {
        (self.claim.active, rendezvous::weight(server, &self.name))
    }
}

/// What a granted request has shown about its server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GrantOutcome {
    /// Time from sending to the first event.
    pub(super) first_event: Option<Duration>,
    /// Whether the server answered that the adapter is not loaded.
    pub(super) adapter_missing: bool,
    /// Whether a complete stream had a pause beyond its objective.
    pub(super) late_pause: Option<bool>,
}

impl GatewayReducer {
    pub(super) fn engine(&self, server: GatewayServerKey) -> Option<&EngineConfig> {
        let service = &self.servers.get(server).record.service;
        self.config()?.service(service)?.engine.as_ref()
    }

    pub(super) fn engine_config(&self, server: GatewayServerKey) -> Option<EngineConfig> {
        self.engine(server).cloned()
    }

    /// Oldest version of the adapter that a new request may run on.
    pub(super) fn min_version(&self, wanted: &ModelName) -> u64 {
        let Some(adapter) = &wanted.adapter else {
            return 0;
        };
        let key = (wanted.model.clone(), adapter.clone());
        self.adapter_versions.get(&key).copied().unwrap_or(0)
    }

    /// Creates and removes schedulers according to the listed servers and the claims of other
    /// instances.
    pub(super) fn sync_schedulers(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.check_quorum(now, effects);
        let Some(config) = self.config().cloned() else {
            return;
        };
        let engines: Vec<(GatewayServerKey, SmolStr, EngineConfig)> = self
            .servers
            .listed()
            .filter_map(|(key, server)| {
                let engine_config = config.service(&server.record.service)?.engine.clone()?;
                Some((key, server.record.id.clone(), engine_config))
            })
            .collect();
        self.load_pauses.retain(|_, until| now < *until);
        let is_listed = |key: &GatewayServerKey| engines.iter().any(|(listed, _, _)| listed == key);
        let unlisted = self.schedulers.keys().filter(|key| !is_listed(key));
        for key in unlisted.copied().collect::<Vec<_>>() {
            self.owners.remove(&self.servers.get(key).record.id);
            self.remove_scheduler(key, effects);
        }
        if self.is_leaving() {
            if !self.schedulers.is_empty() && self.members.alive(now).next().is_some() {
                for key in self.schedulers.keys().copied().collect::<Vec<_>>() {
                    self.remove_scheduler(key, effects);
                }
                log_event(effects, "desks_released", "", "reason=leaving");
            }
            return;
        }
        for (key, id, engine_config) in engines {
            self.sync_scheduler(now, key, &id, &engine_config, effects);
        }
    }

    fn sync_scheduler(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        id: &SmolStr,
        engine_config: &EngineConfig,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let own_weight = rendezvous::weight(id, &self.options.instance);
        if let Some(scheduler) = self.schedulers.get(&key) {
            let own_rank = (scheduler.is_active(), own_weight);
            let rival = self.owners.get(id).filter(|view| view.rank(id) > own_rank);
            if let Some(rival) = rival {
                let detail = format!("server={id} to={}", rival.name);
                log_event(effects, "desk_yielded", "", &detail);
                self.remove_scheduler(key, effects);
            }
            return;
        }
        if self.owners.contains_key(id) || !self.may_claim(now, id, own_weight) {
            return;
        }
        let models = self.servers.get(key).record.models.clone();
        let mut scheduler =
            ServerScheduler::new(now, self.options.bounds.order_lease, engine_config, &models);
        scheduler.set_may_order(self.has_quorum);
        if let Some(speed) = self
            .expected_status(now, key)
            .and_then(|known| known.status.speed)
        {
            scheduler.set_initial_speed(speed);
        }
        self.schedulers.insert(key, scheduler);
        log_event(effects, "desk_claimed", "", &format!("server={id}"));
    }

    /// Gives up a server, whose queued requests are declined.
    fn remove_scheduler(&mut self, key: GatewayServerKey, effects: &mut Vec<GatewayEffect>) {
        self.close_grant_queue(key, DeclineReason::NotScheduled, effects);
        self.schedulers.remove(&key);
    }

    fn may_claim(&self, now: ClockTime, id: &str, own_weight: u64) -> bool {
        let has_waited = now.since(ClockTime::ZERO) >= JOIN_TIME;
        (self.members.has_joined() || has_waited)
            && self
                .members
                .alive(now)
                .filter(|record| record.phase == MemberPhase::Ready)
                .all(|record| rendezvous::weight(id, &record.name) < own_weight)
    }

    /// Updates the quorum. Without a majority of the instances that may be running, none may give
    /// orders.
    fn check_quorum(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let quorum = self.members.quorum(now);
        let has_quorum = quorum.is_majority();
        if has_quorum == self.has_quorum {
            return;
        }
        self.has_quorum = has_quorum;
        let event = if has_quorum {
            "quorum_regained"
        } else {
            "quorum_lost"
        };
        let running = quorum
            .running
            .map_or("unknown".into(), |running| running.to_string());
        let detail = format!("reachable={} running={running}", quorum.reachable);
        log_event(effects, event, "", &detail);
        for scheduler in self.schedulers.values_mut() {
            scheduler.set_may_order(has_quorum);
            scheduler.suspend(now);
        }
    }

    /// Runs the scheduler of each server that this instance schedules.
    pub(super) fn run_schedulers(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let keys: Vec<GatewayServerKey> = self.schedulers.keys().copied().collect();
        for key in keys {
            self.run_scheduler(now, key, effects);
        }
    }

    /// Serves a server's queue, reads its report if that is due, and gives its next order.
    pub(super) fn run_scheduler(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(engine_config) = self.engine_config(key) else {
            self.close_grant_queue(key, DeclineReason::NotScheduled, effects);
            return;
        };
        if self.servers.get(key).is_leaving {
            self.close_grant_queue(key, DeclineReason::Leaving, effects);
            return;
        }
        self.serve_grant_queue(now, key, &engine_config, effects);
        let from_store = self.needs_model(now, key);
        let Some(scheduler) = self.schedulers.get_mut(&key) else {
            return;
        };
        let record = &self.servers.get(key).record;
        let (id, started, address) = (record.id.clone(), record.started, record.address);
        if let Some((fence_start, fence)) = self.fencing_tokens.get(&id)
            && *fence_start == scheduler.order_lease().known_start(started)
        {
            scheduler.raise_fence(*fence);
        }
        scheduler.load_model_if_missing(now, &engine_config, from_store);
        scheduler.check_slots(now);
        if scheduler.begin_report_read(now) {
            effects.push(GatewayEffect::ReadReport {
                server: key,
                id: id.clone(),
                started,
                address,
            });
        }
        let unix_millis = self.options.incarnation + now.as_micros() / 1_000;
        if let Some(order) = scheduler.next_order(now, &engine_config, unix_millis) {
            self.stats.orders += 1;
            let detail = format!(
                "server={id} action={:?} expected={} fence={}",
                order.action, order.expected, order.fence
            );
            log_event(effects, "order_sent", "", &detail);
            effects.push(GatewayEffect::Order {
                server: key,
                id,
                started,
                address,
                order,
            });
        } else if let Some(time) = scheduler.next_load_at()
            && time > now
        {
            self.set_timer(time, TimerKind::Order(key));
        }
    }

    /// Whether too few servers of the service have a base model for their load, so that loading one
    /// from the weight store pays off.
    fn needs_model(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        if self
            .schedulers
            .get(&key)
            .is_none_or(ServerScheduler::has_model)
        {
            return false;
        }
        let service = &self.servers.get(key).record.service;
        let (mut all, mut loaded_count, mut backlog_ms) = (0_usize, 0_usize, 0.0);
        for (other, server) in self.servers.in_service(service) {
            all += 1;
            let (is_loaded, backlog) = if let Some(scheduler) = self.schedulers.get(&other) {
                (scheduler.has_model(), scheduler.backlog(now))
            } else if let Some(view) = self.owners.get(&server.record.id) {
                (!view.claim.models.is_empty(), view.prefill_until.since(now))
            } else {
                (!server.record.models.is_empty(), Duration::ZERO)
            };
            if is_loaded {
                loaded_count += 1;
                backlog_ms += backlog.as_secs_f64() * 1_000.0;
            }
        }
        (loaded_count as f64) < all as f64 * MIN_LOADED_SHARE
            || backlog_ms > loaded_count as f64 * HIGH_BACKLOG_MS
    }

    pub(super) fn report_read(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        report: Option<&ServerReport>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = self.servers.get(server).record.id.clone();
        let Some(scheduler) = self.schedulers.get_mut(&server) else {
            return;
        };
        let was_active = scheduler.is_active();
        if scheduler.observe_report(now, report) {
            let sequence = report.map_or(0, |report| report.sequence);
            let detail = format!("server={id} sequence={sequence}");
            log_event(effects, "report_outdated", "", &detail);
        }
        let has_other_order = scheduler.take_other_order();
        if scheduler.is_active() != was_active {
            let detail = format!("server={id} active={}", !was_active);
            log_event(effects, "order_right", "", &detail);
        }
        if has_other_order {
            let sequence = report.map_or(0, |report| report.sequence);
            self.other_order_seen(now, &id, sequence, effects);
        }
        self.run_scheduler(now, server, effects);
    }

    pub(super) fn order_ended(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        outcome: ServerOrderOutcome,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = self.servers.get(server).record.id.clone();
        if !matches!(
            outcome,
            ServerOrderOutcome::Done | ServerOrderOutcome::Accepted
        ) {
            let detail = format!("server={id} outcome={outcome:?}");
            log_event(effects, "order_failed", "", &detail);
        }
        if let Some(scheduler) = self.schedulers.get_mut(&server) {
            scheduler.order_ended(now, outcome);
        }
        self.run_scheduler(now, server, effects);
    }

    /// Looks for orders of unknown instances in the published count of a server's accepted orders.
    pub(super) fn check_published_count(
        &mut self,
        now: ClockTime,
        record: &ServerRecord,
        effects: &mut Vec<GatewayEffect>,
    ) {
        // With the quorum this instance may have given the orders itself.
        let owner = self.owners.get(&record.id);
        if self.has_quorum || owner.is_some_and(|view| view.claim.active) {
            return;
        }
        let known = self.servers.key(&record.id);
        let has_moved = known.is_some_and(|key| {
            let known = &self.servers.get(key).record;
            known.started == record.started && known.sequence < record.sequence
        });
        if has_moved {
            self.other_order_seen(now, &record.id, record.sequence, effects);
        }
    }

    fn other_order_seen(
        &mut self,
        now: ClockTime,
        id: &SmolStr,
        sequence: u64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.members.record_unknown_order(now);
        let detail = format!("server={id} sequence={sequence}");
        log_event(effects, "other_order_seen", "", &detail);
    }

    pub(super) fn server_published(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        is_new: bool,
    ) {
        let Some(scheduler) = self.schedulers.get_mut(&server) else {
            return;
        };
        let record = &self.servers.get(server).record;
        if is_new {
            scheduler.server_restarted(now, record.started, &record.models);
        } else {
            scheduler.apply_published(now, &record.models);
        }
    }

    /// The server with this id, if this instance schedules it and decides on requests for it.
    ///
    /// # Errors
    ///
    /// Returns the reason why it does not.
    pub(super) fn scheduled_server(&self, id: &str) -> Result<GatewayServerKey, DeclineReason> {
        let key = self.servers.key(id);
        match key.filter(|key| self.engine(*key).is_some()) {
            Some(key) if self.servers.get(key).is_leaving => Err(DeclineReason::Leaving),
            Some(key) if self.schedulers.contains_key(&key) => Ok(key),
            _ => Err(DeclineReason::NotScheduled),
        }
    }

    pub(super) fn handle_grant_release(
        &mut self,
        now: ClockTime,
        release: &GrantRelease,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(key) = self.servers.key(&release.server) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&key) {
            if let Some(timing) = scheduler.release(now, release) {
                self.load_limiter.record_timing(now, timing);
            }
            if release.ended
                && let Some(answer) = scheduler.cancel_queued(now, &release.key)
            {
                self.answer_grant(Some(key), answer, effects);
            }
            self.run_scheduler(now, key, effects);
        }
    }

    /// Requests a grant from the scheduler of `server`. The reply arrives in `grant_answered`.
    pub(super) fn request_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        max_wait: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(request) = self.build_grant_request(now, number, server, max_wait) else {
            return;
        };
        if self.schedulers.contains_key(&server) {
            let caller = GrantCaller::Own {
                request: number,
                grant: request.key.number,
            };
            self.receive_grant_request(now, caller, request, effects);
            return;
        }
        let Some(peer) = self.owners.get(&request.server).map(|view| view.peer) else {
            return;
        };
        self.record_grant_request(now, number, server);
        let grant = request.key.number;
        self.call_peer(
            peer,
            PeerCall::Grant(request),
            CallPurpose::Grant {
                request: number,
                grant,
                server,
            },
            effects,
        );
    }

    fn build_grant_request(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        max_wait: Duration,
    ) -> Option<GrantRequest> {
        let grant = self.next_grant;
        self.next_grant += 1;
        let (hold, place_hold) = self.hold_times(now, number, max_wait);
        let record = self.requests.get(&number)?;
        let request = self.grant_request_for(now, record, grant, server, max_wait)?;
        let record = self.requests.get_mut(&number)?;
        record.grant = grant;
        record.granted_version = request.version;
        record.asked_at = now;
        Some(GrantRequest {
            hold,
            place_hold,
            ..request
        })
    }

    /// The request for a grant of number `grant` for a caller's request, which is to be decided at
    /// once.
    pub(super) fn grant_request_for(
        &self,
        now: ClockTime,
        record: &RequestRecord,
        grant: GrantNumber,
        server: GatewayServerKey,
        max_wait: Duration,
    ) -> Option<GrantRequest> {
        let wanted = record.request.model.as_ref()?;
        let (prompt_tokens, output_tokens) = record.request.tokens.unwrap_or_default();
        Some(GrantRequest {
            key: self.grant_key(grant),
            server: self.servers.get(server).record.id.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            version: self.min_version(wanted),
            prompt_tokens,
            output_tokens,
            parts: record.request.prompt_parts.clone(),
            max_wait,
            lifetime: record.deadline.since(now) + Duration::from_secs(1),
            priority: record.priority,
            team: record.team.clone(),
            objective_left: record.arrived.after(record.objective).since(now),
            hold: Duration::ZERO,
            place_hold: Duration::ZERO,
            waited: now.since(record.arrived),
        })
    }

    pub(super) fn grant_key(&self, number: GrantNumber) -> GrantKey {
        GrantKey {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            number,
        }
    }

    /// Updates the backlog of a server from a reply of its scheduler.
    pub(super) fn record_backlog(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        backlog: Duration,
    ) {
        let id = &self.servers.get(server).record.id;
        if let Some(view) = self.owners.get_mut(id) {
            view.prefill_until = now.after(backlog);
            view.backlog_known_at = Some(now);
        }
    }

    /// Builds the report of a grant's progress, or of its end if it has `ended`.
    pub(super) fn grant_release(
        &self,
        grant: GrantNumber,
        server: GatewayServerKey,
        outcome: GrantOutcome,
        ended: bool,
    ) -> GrantRelease {
        GrantRelease {
            server: self.servers.get(server).record.id.clone(),
            key: self.grant_key(grant),
            first_event: outcome.first_event,
            adapter_missing: outcome.adapter_missing,
            ended,
            late_pause: outcome.late_pause,
        }
    }

    /// Sends a grant's release to the server's scheduler.
    pub(super) fn send_grant_release(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        release: GrantRelease,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.schedulers.contains_key(&server) {
            self.handle_grant_release(now, &release, effects);
        } else if let Some(view) = self.owners.get(&release.server) {
            self.releases.entry(view.peer).or_default().push(release);
        }
    }
}
