//! Model servers: who schedules which, and where a request goes.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    CallPurpose, GatewayReducer, JOIN_TIME, TimerKind,
    catalog::{EngineConfig, LoadedModel, ServerReport},
    event::{GatewayEffect, ModelName, RequestNumber},
    log_event,
    members::{MemberPhase, MemberRecord, ServerClaim},
    message::PeerCall,
    server_scheduler::{
        DeclineReason, GrantKey, GrantRelease, GrantReply, GrantRequest, ServerOrderOutcome,
        ServerScheduler,
    },
    servers::GatewayServerKey,
};
use crate::{clock::ClockTime, rendezvous};

/// Part of a service's servers that hold a base model in any case.
const LEAST_HOLDERS: f64 = 0.6;
/// Mean backlog of the holders from which on another one is worth a load from the weight store.
const BUSY_BACKLOG_MS: f64 = 120.0;

/// Who schedules a model server, as this instance knows.
#[derive(Clone, Debug)]
pub(super) struct OwnerView {
    /// The instance.
    pub(super) name: SmolStr,
    pub(super) peer: SocketAddr,
    pub(super) active: bool,
    /// When the server would begin with another prompt.
    pub(super) prefill_until: ClockTime,
    pub(super) models: Vec<LoadedModel>,
    pub(super) recent: Vec<LoadedModel>,
}

impl OwnerView {
    pub(super) fn new(now: ClockTime, record: &MemberRecord, claim: &ServerClaim) -> OwnerView {
        OwnerView {
            name: record.name.clone(),
            peer: record.peer_address,
            active: claim.active,
            prefill_until: now,
            models: claim.models.clone(),
            recent: claim.recently_evicted.clone(),
        }
    }

    /// Whether this claim to `server` goes before another.
    pub(super) fn outranks(&self, other: &OwnerView, server: &str) -> bool {
        self.rank(server) > other.rank(server)
    }

    /// Rank among claims to `server`; the largest goes first.
    fn rank(&self, server: &str) -> (bool, u64) {
        (self.active, rendezvous::weight(server, &self.name))
    }
}

impl GatewayReducer {
    fn engine_rule(&self, server: GatewayServerKey) -> Option<EngineConfig> {
        let service = &self.servers.get(server).record.service;
        self.config()?.service(service)?.engine.clone()
    }

    /// Oldest version of the adapter that a new request may run on.
    pub(super) fn wanted_version(&self, wanted: &ModelName) -> u64 {
        let Some(adapter) = &wanted.adapter else {
            return 0;
        };
        let key = (wanted.model.clone(), adapter.clone());
        self.adapter_versions.get(&key).copied().unwrap_or(0)
    }

    /// Brings the desks in line with servers and members.
    pub(super) fn sync_schedulers(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.check_quorum(now, effects);
        let Some(config) = self.config().cloned() else {
            return;
        };
        let engines: Vec<(GatewayServerKey, SmolStr, EngineConfig)> = self
            .servers
            .listed()
            .filter_map(|(key, server)| {
                let rule = config.service(&server.record.service)?.engine.clone()?;
                Some((key, server.record.id.clone(), rule))
            })
            .collect();
        self.load_pauses.retain(|_, until| now < *until);
        self.schedulers.retain(|key, _| {
            let kept = engines.iter().any(|(listed, _, _)| listed == key);
            if !kept {
                // The server is gone; so is what was known of it.
                self.owners.remove(&self.servers.get(*key).record.id);
            }
            kept
        });
        if self.is_leaving() {
            if !self.schedulers.is_empty() && self.members.alive(now).next().is_some() {
                self.schedulers.clear();
                log_event(effects, "desks_released", "", "reason=leaving");
            }
            return;
        }
        for (key, id, rule) in engines {
            self.sync_desk(now, key, &id, &rule, effects);
        }
    }

    fn sync_desk(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        id: &SmolStr,
        rule: &EngineConfig,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let own_weight = rendezvous::weight(id, &self.options.instance);
        if let Some(desk) = self.schedulers.get(&key) {
            let own_rank = (desk.is_active(), own_weight);
            let rival = self.owners.get(id).filter(|view| view.rank(id) > own_rank);
            if let Some(rival) = rival {
                let detail = format!("server={id} to={}", rival.name);
                log_event(effects, "desk_yielded", "", &detail);
                self.schedulers.remove(&key);
            }
            return;
        }
        if self.owners.contains_key(id) || !self.may_claim(now, id, own_weight) {
            return;
        }
        let models = self.servers.get(key).record.models.clone();
        let mut desk = ServerScheduler::new(now, self.options.bounds.order_lease, rule, &models);
        desk.set_may_order(self.has_quorum);
        if let Some((started, fence)) = self.fencing_tokens.get(id)
            && *started == self.servers.get(key).record.started
        {
            desk.raise_fence(*fence);
        }
        self.schedulers.insert(key, desk);
        log_event(effects, "desk_claimed", "", &format!("server={id}"));
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

    /// Without most of the instances that may still run, none may order.
    fn check_quorum(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let has_quorum = self.members.has_quorum(now);
        if has_quorum == self.has_quorum {
            return;
        }
        self.has_quorum = has_quorum;
        let event = if has_quorum {
            "quorum_regained"
        } else {
            "quorum_lost"
        };
        log_event(effects, event, "", "");
        for desk in self.schedulers.values_mut() {
            desk.set_may_order(has_quorum);
            desk.suspend(now);
        }
    }

    /// Reads reports that are due and gives orders that wait.
    pub(super) fn run_schedulers(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let keys: Vec<GatewayServerKey> = self.schedulers.keys().copied().collect();
        for key in keys {
            self.run_scheduler(now, key, effects);
        }
    }

    /// Reads a server's report if it is due and gives its next order.
    pub(super) fn run_scheduler(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(rule) = self.engine_rule(key) else {
            return;
        };
        let from_store = self.needs_model(now, key);
        let Some(desk) = self.schedulers.get_mut(&key) else {
            return;
        };
        let record = &self.servers.get(key).record;
        let (id, address) = (record.id.clone(), record.address);
        desk.want_model(now, &rule, from_store);
        desk.check_places(now);
        if desk.begin_reading(now) {
            effects.push(GatewayEffect::ReadReport {
                server: key,
                id: id.clone(),
                address,
            });
        }
        let unix_millis = self.options.incarnation + now.as_micros() / 1_000;
        if let Some(order) = desk.next_order(now, &rule, unix_millis) {
            self.stats.orders += 1;
            let detail = format!(
                "server={id} action={:?} expected={}",
                order.action, order.expected
            );
            log_event(effects, "order_sent", "", &detail);
            effects.push(GatewayEffect::Order {
                server: key,
                id,
                address,
                order,
            });
        } else if let Some(time) = desk.next_load_at()
            && time > now
        {
            self.set_timer(time, TimerKind::Order(key));
        }
    }

    /// Whether the service is short of servers that hold a base model, so that a load from the
    /// weight store is worth its price.
    fn needs_model(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        if self
            .schedulers
            .get(&key)
            .is_none_or(ServerScheduler::has_model)
        {
            return false;
        }
        let service = &self.servers.get(key).record.service;
        let (mut all, mut holders, mut backlog_ms) = (0_usize, 0_usize, 0.0);
        for (other, server) in self.servers.in_service(service) {
            all += 1;
            let (holds_model, backlog) = if let Some(desk) = self.schedulers.get(&other) {
                (desk.has_model(), desk.backlog(now))
            } else if let Some(view) = self.owners.get(&server.record.id) {
                (!view.models.is_empty(), view.prefill_until.since(now))
            } else {
                (!server.record.models.is_empty(), Duration::ZERO)
            };
            if holds_model {
                holders += 1;
                backlog_ms += backlog.as_secs_f64() * 1_000.0;
            }
        }
        (holders as f64) < all as f64 * LEAST_HOLDERS
            || backlog_ms > holders as f64 * BUSY_BACKLOG_MS
    }

    pub(super) fn report_read(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        report: Option<&ServerReport>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = self.servers.get(server).record.id.clone();
        let Some(desk) = self.schedulers.get_mut(&server) else {
            return;
        };
        let was_active = desk.is_active();
        desk.observe(now, report);
        if desk.is_active() != was_active {
            let detail = format!("server={id} active={}", !was_active);
            log_event(effects, "order_right", "", &detail);
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
        if let Some(desk) = self.schedulers.get_mut(&server) {
            desk.order_ended(now, outcome);
        }
        self.run_scheduler(now, server, effects);
    }

    pub(super) fn server_published(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        is_new: bool,
    ) {
        let Some(desk) = self.schedulers.get_mut(&server) else {
            return;
        };
        let models = &self.servers.get(server).record.models;
        if is_new {
            desk.server_restarted(now, models);
        } else {
            desk.published(now, models);
        }
    }

    /// A peer asks to send a request to a server that this instance schedules.
    pub(super) fn handle_grant_request(
        &mut self,
        now: ClockTime,
        ask: &GrantRequest,
        effects: &mut Vec<GatewayEffect>,
    ) -> GrantReply {
        let declined = GrantReply::Declined {
            reason: DeclineReason::NotScheduled,
            backlog: Duration::ZERO,
        };
        let Some(key) = self.servers.key(&ask.server) else {
            return declined;
        };
        let Some(rule) = self.engine_rule(key) else {
            return declined;
        };
        self.load_limiter.resize(self.schedulers.len());
        let Some(desk) = self.schedulers.get_mut(&key) else {
            return declined;
        };
        let reply = desk.ask(now, &rule, ask, &mut self.load_limiter);
        self.run_scheduler(now, key, effects);
        reply
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
        if let Some(desk) = self.schedulers.get_mut(&key) {
            if desk.release(now, release) {
                self.load_limiter.note_late(now);
            }
            self.run_scheduler(now, key, effects);
        }
    }

    /// Asks the scheduler of `server` for a grant; the answer comes back as a reply.
    pub(super) fn request_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        patience: Duration,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(ask) = self.grant_ask(now, number, server, patience) else {
            return;
        };
        if self.schedulers.contains_key(&server) {
            let reply = self.handle_grant_request(now, &ask, effects);
            self.grant_answered(now, number, server, Some(&reply), effects);
            return;
        }
        let Some(peer) = self.owners.get(&ask.server).map(|view| view.peer) else {
            return;
        };
        self.call_peer(
            peer,
            PeerCall::Grant(ask),
            CallPurpose::Grant(number, server),
            effects,
        );
    }

    fn grant_ask(
        &self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        patience: Duration,
    ) -> Option<GrantRequest> {
        let record = self.requests.get(&number)?;
        let wanted = record.request.model.as_ref()?;
        let (prompt_tokens, output_tokens) = record.request.tokens.unwrap_or_default();
        Some(GrantRequest {
            key: self.grant_key(number),
            server: self.servers.get(server).record.id.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            version: self.wanted_version(wanted),
            prompt_tokens,
            output_tokens,
            parts: record.request.prompt_parts.clone(),
            max_wait: patience,
            lifetime: record.deadline.since(now) + Duration::from_secs(1),
        })
    }

    pub(super) fn grant_key(&self, request: RequestNumber) -> GrantKey {
        GrantKey {
            instance: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            request,
        }
    }

    /// Keeps what an answer says of a server's backlog.
    pub(super) fn record_backlog(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        backlog: Duration,
    ) {
        let id = &self.servers.get(server).record.id;
        if let Some(view) = self.owners.get_mut(id) {
            view.prefill_until = now.after(backlog);
        }
    }

    /// Gives a grant back to the server's scheduler.
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
