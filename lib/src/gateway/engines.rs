//! Model servers: who schedules which, and where a request goes.

use std::{net::SocketAddr, time::Duration};

use smol_str::SmolStr;

use super::{
    CallPurpose, GatewayReducer, JOIN_TIME, TimerKind,
    catalog::{EngineRule, HeldModel, ServerReport},
    desk::{
        DeclineReason, GrantAsk, GrantKey, GrantRelease, GrantReply, LoadSignal, ServerDesk,
        ServerOrderOutcome,
    },
    event::{GatewayEffect, ModelName, RequestNumber},
    members::{MemberPhase, MemberRecord, ServerClaim},
    message::PeerCall,
    note,
    requests::RequestRecord,
    servers::{ColdShare, GatewayServerKey},
};
use crate::{clock::ClockTime, rendezvous};

/// Expected time of a load from the weight store, in milliseconds.
const LOAD_MS: f64 = 260.0;
/// Expected time of a load of an adapter that the server held lately, in milliseconds.
const RECENT_LOAD_MS: f64 = 35.0;
/// Prompt tokens that a server reads in a millisecond, for choosing.
const READ_RATE: f64 = 33.0;
/// Weight of a millisecond until the first event while the objective is far.
const EARLY_WEIGHT: f64 = 0.2;
/// Additional weight of a millisecond in the last part of the objective and beyond.
const LATE_WEIGHT: f64 = 1.5;
/// Part of the objective that is not late in this sense.
const EARLY_PART: f64 = 0.5;
/// Cost of a load from the weight store beyond its time.
const STORE_LOAD_COST: f64 = 150.0;
/// Preference for servers that come early in an adapter's order, for each place.
const RANK_COST: f64 = 10.0;
/// Cost of sending a prompt token to another data centre.
const CROSSING_COST: f64 = 0.004;
/// Prompts of at least this many tokens hold up other streams for long.
const LONG_PROMPT: u64 = 2_000;
/// Part of a service's servers that long prompts go to first.
const READING_PART: f64 = 0.6;
/// Cost of a long prompt elsewhere, and of other requests there.
const MIXING_COST: f64 = 100.0;
/// Cost of a server that fails every request.
const FAILURE_COST: f64 = 3_000.0;
/// Cost of a server that nobody schedules.
const UNSCHEDULED_COST: f64 = 150.0;
/// Adapters on their way at first, for each server scheduled here; the number grows with each one
/// that is in place in time and shrinks with each that is not, since the weight store slows down
/// under many.
pub(super) const FIRST_LOAD_WINDOW: f64 = 1.0;
const LOAD_WINDOW_STEP: f64 = 0.03;
const LOAD_WINDOW_CUT: f64 = 0.85;
const MIN_LOAD_WINDOW: f64 = 0.5;
const MAX_LOAD_WINDOW: f64 = 2.0;
/// Part of a service's servers that hold a base model in any case.
const LEAST_HOLDERS: f64 = 0.6;
/// Mean backlog of the holders from which on another one is worth a load from the weight store.
const BUSY_BACKLOG_MS: f64 = 120.0;
/// Requests that this instance has at most at a server that nobody schedules.
const DIRECT_GRANT_LIMIT: u32 = 24;

/// Who schedules a model server, as this instance knows.
#[derive(Clone, Debug)]
pub(super) struct OwnerView {
    /// The instance.
    pub(super) name: SmolStr,
    peer: SocketAddr,
    active: bool,
    /// When the server would begin with another prompt.
    pub(super) read_until: ClockTime,
    models: Vec<HeldModel>,
    recent: Vec<HeldModel>,
}

impl OwnerView {
    pub(super) fn new(now: ClockTime, record: &MemberRecord, claim: &ServerClaim) -> OwnerView {
        OwnerView {
            name: record.name.clone(),
            peer: record.peers,
            active: claim.active,
            read_until: now,
            models: claim.models.clone(),
            recent: claim.recent.clone(),
        }
    }

    /// Whether this claim to `server` goes before another.
    pub(super) fn goes_before(&self, other: &OwnerView, server: &str) -> bool {
        let rank = |view: &OwnerView| (view.active, rendezvous::weight(server, &view.name));
        rank(self) > rank(other)
    }
}

/// Whether a server has an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceView {
    /// It is in place, or will soon be.
    Held,
    /// It made way lately and comes back fast.
    Recent,
    /// It must come from the weight store.
    Missing,
}

/// A model server as a request sees it.
struct EngineView {
    place: PlaceView,
    /// Whether its scheduler may order.
    active: bool,
    /// Whether it has a scheduler.
    scheduled: bool,
    backlog: Duration,
}

fn place_of(
    models: &[HeldModel],
    recent: &[HeldModel],
    wanted: &ModelName,
    version: u64,
) -> PlaceView {
    if holds(models, wanted, version) {
        PlaceView::Held
    } else if holds(recent, wanted, 0) {
        PlaceView::Recent
    } else {
        PlaceView::Missing
    }
}

fn holds(models: &[HeldModel], wanted: &ModelName, version: u64) -> bool {
    let Some(model) = models.iter().find(|model| model.name == wanted.model) else {
        return false;
    };
    wanted.adapter.as_ref().is_none_or(|adapter| {
        model
            .adapters
            .iter()
            .any(|held| held.name == *adapter && held.version >= version)
    })
}

/// Where a request to a model server goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineChoice {
    /// Ask the server's scheduler.
    Ask(GatewayServerKey),
    /// Nobody schedules the server, but it holds the adapter.
    Direct(GatewayServerKey),
}

impl GatewayReducer {
    fn engine_rule(&self, server: GatewayServerKey) -> Option<EngineRule> {
        let service = &self.servers.get(server).record.service;
        self.config()?.service(service)?.engine.clone()
    }

    /// Oldest version of the adapter that a new request may run on.
    fn wanted_version(&self, wanted: &ModelName) -> u64 {
        let Some(adapter) = &wanted.adapter else {
            return 0;
        };
        let key = (wanted.model.clone(), adapter.clone());
        self.adapter_versions.get(&key).copied().unwrap_or(0)
    }

    /// Brings the desks in line with servers and members.
    pub(super) fn sync_desks(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.check_quorum(now, effects);
        let Some(config) = self.config().cloned() else {
            return;
        };
        let engines: Vec<(GatewayServerKey, SmolStr, EngineRule)> = self
            .servers
            .listed()
            .filter_map(|(key, server)| {
                let rule = config.service(&server.record.service)?.engine.clone()?;
                Some((key, server.record.id.clone(), rule))
            })
            .collect();
        self.desks.retain(|key, _| {
            let kept = engines.iter().any(|(listed, _, _)| listed == key);
            if !kept {
                // The server is gone; so is what was known of it.
                self.owners.remove(&self.servers.get(*key).record.id);
            }
            kept
        });
        if self.is_leaving() {
            if !self.desks.is_empty() && self.members.alive(now).next().is_some() {
                self.desks.clear();
                note(effects, "desks_released", "", "reason=leaving");
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
        rule: &EngineRule,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let own_weight = rendezvous::weight(id, &self.plan.instance);
        if let Some(desk) = self.desks.get(&key) {
            let own_rank = (desk.right().is_active(), own_weight);
            let rival = self
                .owners
                .get(id)
                .filter(|view| (view.active, rendezvous::weight(id, &view.name)) > own_rank);
            if let Some(rival) = rival {
                let detail = format!("server={id} to={}", rival.name);
                note(effects, "desk_yielded", "", &detail);
                self.desks.remove(&key);
            }
            return;
        }
        if self.owners.contains_key(id) || !self.may_claim(now, id, own_weight) {
            return;
        }
        let models = self.servers.get(key).record.models.clone();
        let mut desk = ServerDesk::new(now, self.plan.bounds.order_lease, rule, &models);
        if let Some((started, fence)) = self.fences.get(id)
            && *started == self.servers.get(key).record.started
        {
            desk.raise_fence(*fence);
        }
        self.desks.insert(key, desk);
        note(effects, "desk_claimed", "", &format!("server={id}"));
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
        note(effects, event, "", "");
        for desk in self.desks.values_mut() {
            desk.suspend(now);
        }
    }

    /// Reads reports that are due and gives orders that wait.
    pub(super) fn pump_desks(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let keys: Vec<GatewayServerKey> = self.desks.keys().copied().collect();
        for key in keys {
            self.pump_desk(now, key, effects);
        }
    }

    fn pump_desk(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if !self.has_quorum {
            return;
        }
        let Some(rule) = self.engine_rule(key) else {
            return;
        };
        let from_store = self.needs_model(now, key);
        let Some(desk) = self.desks.get_mut(&key) else {
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
        let holder_bits = rendezvous::weight("holder", &self.plan.instance) as u16;
        if let Some(order) = desk.next_order(now, &rule, holder_bits) {
            self.stats.orders += 1;
            let detail = format!(
                "server={id} action={:?} expected={}",
                order.action, order.expected
            );
            note(effects, "order_sent", "", &detail);
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

    pub(super) fn order_due(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.pump_desk(now, key, effects);
    }

    /// Whether the service is short of servers that hold a base model, so that a load from the
    /// weight store is worth its price.
    fn needs_model(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        if self.desks.get(&key).is_none_or(ServerDesk::has_model) {
            return false;
        }
        let service = &self.servers.get(key).record.service;
        let (mut all, mut holders, mut backlog_ms) = (0_usize, 0_usize, 0.0);
        for (other, server) in self.servers.in_service(service) {
            all += 1;
            let (holds_model, backlog) = if let Some(desk) = self.desks.get(&other) {
                (desk.has_model(), desk.backlog(now))
            } else if let Some(view) = self.owners.get(&server.record.id) {
                (!view.models.is_empty(), view.read_until.since(now))
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
        let Some(desk) = self.desks.get_mut(&server) else {
            return;
        };
        let was_active = desk.right().is_active();
        desk.observe(now, report);
        if desk.right().is_active() != was_active {
            let detail = format!("server={id} active={}", !was_active);
            note(effects, "order_right", "", &detail);
        }
        self.pump_desk(now, server, effects);
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
            note(effects, "order_failed", "", &detail);
        }
        if let Some(desk) = self.desks.get_mut(&server) {
            desk.order_ended(now, outcome);
        }
        self.pump_desk(now, server, effects);
    }

    pub(super) fn server_published(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        is_new: bool,
        models: &[HeldModel],
    ) {
        let Some(desk) = self.desks.get_mut(&server) else {
            return;
        };
        if is_new {
            desk.server_restarted(now, models);
        } else {
            desk.published(now, models);
        }
    }

    /// A peer asks to send a request to a server that this instance schedules.
    pub(super) fn grant_asked(
        &mut self,
        now: ClockTime,
        ask: &GrantAsk,
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
        let lanes = (self.load_window * self.desks.len() as f64).round();
        self.load_lanes.resize(lanes as usize);
        let Some(desk) = self.desks.get_mut(&key) else {
            return declined;
        };
        let reply = desk.ask(now, &rule, ask, &mut self.load_lanes);
        self.pump_desk(now, key, effects);
        reply
    }

    pub(super) fn grant_released(
        &mut self,
        now: ClockTime,
        release: &GrantRelease,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(key) = self.servers.key(&release.server) else {
            return;
        };
        if let Some(desk) = self.desks.get_mut(&key) {
            match desk.release(now, release) {
                Some(LoadSignal::InTime) => {
                    self.load_window = (self.load_window + LOAD_WINDOW_STEP).min(MAX_LOAD_WINDOW);
                }
                Some(LoadSignal::Late) => {
                    self.load_window = (self.load_window * LOAD_WINDOW_CUT).max(MIN_LOAD_WINDOW);
                }
                None => {}
            }
            self.pump_desk(now, key, effects);
        }
    }

    /// Picks the server with the least expected time to the first event.
    pub(super) fn choose_engine(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
    ) -> Option<EngineChoice> {
        let record = self.requests.get(&number)?;
        let service = record.service.clone();
        let wanted = record.request.model.clone()?;
        let version = self.wanted_version(&wanted);
        let cold_rate = self.config()?.service(&service)?.cold_rate;
        let population = self.population(now);
        let mut candidates: Vec<GatewayServerKey> = self
            .servers
            .in_service(&service)
            .map(|(key, _)| key)
            .filter(|key| !record.excluded.contains(key) && self.servers.is_open(now, *key))
            .collect();
        let share = ColdShare {
            bounds: self.plan.bounds.cold,
            population,
            instance: &self.plan.instance,
        };
        candidates.retain(|key| !self.servers.is_cold_full(now, *key, cold_rate, &share));
        let name = match &wanted.adapter {
            Some(adapter) => format!("{}/{adapter}", wanted.model),
            None => wanted.model.to_string(),
        };
        let record = self.requests.get(&number)?;
        let is_long = record
            .request
            .tokens
            .is_some_and(|(prompt, _)| prompt >= LONG_PROMPT);
        let part_name = match record.request.parts.get(1) {
            Some(part) => format!("{name}#{:x}", part.id),
            None => name.clone(),
        };
        let readers = self.reading_servers(&service);
        let by_adapter = self.ranks(&name, &candidates);
        let by_parts = self.ranks(&part_name, &candidates);
        let mut best: Option<(f64, EngineChoice)> = None;
        for (position, key) in candidates.iter().enumerate() {
            let ranks = (by_adapter[position], by_parts[position]);
            let apart = if is_long == readers.contains(key) {
                0.0
            } else {
                MIXING_COST
            };
            if let Some((cost, choice)) = self.engine_cost(now, *key, record, version, ranks)
                && let cost = cost + apart
                && best.is_none_or(|(least, _)| cost < least)
            {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Servers of a service that long prompts go to first: reading one holds up the streams that
    /// run beside it.
    fn reading_servers(&self, service: &str) -> Vec<GatewayServerKey> {
        let mut servers: Vec<(u64, GatewayServerKey)> = self
            .servers
            .in_service(service)
            .map(|(key, server)| (rendezvous::weight("reading", &server.record.id), key))
            .collect();
        servers.sort_unstable_by_key(|(weight, _)| *weight);
        servers.truncate((servers.len() as f64 * READING_PART).ceil() as usize);
        servers.into_iter().map(|(_, key)| key).collect()
    }

    /// Place of each candidate in the rendezvous order of `name`.
    fn ranks(&self, name: &str, candidates: &[GatewayServerKey]) -> Vec<usize> {
        let weights: Vec<u64> = candidates
            .iter()
            .map(|key| rendezvous::weight(name, &self.servers.get(*key).record.id))
            .collect();
        weights
            .iter()
            .map(|weight| weights.iter().filter(|other| *other > weight).count())
            .collect()
    }

    fn engine_cost(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        record: &RequestRecord,
        version: u64,
        (adapter_rank, part_rank): (usize, usize),
    ) -> Option<(f64, EngineChoice)> {
        let wanted = record.request.model.as_ref()?;
        let server = self.servers.get(key);
        let view = self.engine_view(now, key, wanted, version);
        let tokens = record.request.tokens.map_or(0, |(prompt, _)| prompt);
        let shared: u64 = match record.request.parts.split_last() {
            Some((_, shared)) if part_rank == 0 => {
                shared.iter().map(|part| u64::from(part.tokens)).sum()
            }
            _ => 0,
        };
        let read_ms = tokens.saturating_sub(shared) as f64 / READ_RATE;
        let mut cost = server.failure_share(now) * FAILURE_COST;
        let load_ms = match view.place {
            PlaceView::Held => 0.0,
            PlaceView::Recent if view.active => RECENT_LOAD_MS,
            PlaceView::Missing if view.active => {
                cost += STORE_LOAD_COST;
                LOAD_MS
            }
            PlaceView::Recent | PlaceView::Missing => return None,
        };
        if view.place != PlaceView::Held {
            cost += adapter_rank as f64 * RANK_COST;
        }
        if server.record.data_centre != self.plan.data_centre {
            cost += tokens as f64 * CROSSING_COST;
        }
        let first_ms = (view.backlog.as_secs_f64() * 1_000.0).max(load_ms) + read_ms;
        let early_ms = record.objective.as_secs_f64() * 1_000.0 * EARLY_PART;
        cost += first_ms * EARLY_WEIGHT + (first_ms - early_ms).max(0.0) * LATE_WEIGHT;
        if view.scheduled {
            return Some((cost, EngineChoice::Ask(key)));
        }
        (server.in_flight < DIRECT_GRANT_LIMIT)
            .then_some((cost + UNSCHEDULED_COST, EngineChoice::Direct(key)))
    }

    fn engine_view(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        wanted: &ModelName,
        version: u64,
    ) -> EngineView {
        let record = &self.servers.get(key).record;
        if let Some(desk) = self.desks.get(&key) {
            EngineView {
                place: place_of(&desk.holdings(), &desk.recent_holdings(), wanted, version),
                active: desk.right().is_active(),
                scheduled: true,
                backlog: desk.backlog(now),
            }
        } else if let Some(view) = self.owners.get(&record.id) {
            EngineView {
                place: place_of(&view.models, &view.recent, wanted, version),
                active: view.active,
                scheduled: true,
                backlog: view.read_until.since(now),
            }
        } else {
            EngineView {
                place: place_of(&record.models, &[], wanted, version),
                active: false,
                scheduled: false,
                backlog: Duration::ZERO,
            }
        }
    }

    /// Asks the scheduler of `server` for a grant; the answer comes back as a reply.
    pub(super) fn ask_grant(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(ask) = self.grant_ask(now, number, server) else {
            return;
        };
        if self.desks.contains_key(&server) {
            let reply = self.grant_asked(now, &ask, effects);
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
    ) -> Option<GrantAsk> {
        let record = self.requests.get(&number)?;
        let wanted = record.request.model.as_ref()?;
        let (prompt_tokens, output_tokens) = record.request.tokens.unwrap_or_default();
        Some(GrantAsk {
            key: self.grant_key(number),
            server: self.servers.get(server).record.id.clone(),
            model: wanted.model.clone(),
            adapter: wanted.adapter.clone(),
            version: self.wanted_version(wanted),
            prompt_tokens,
            output_tokens,
            parts: record.request.parts.clone(),
            lifetime: record.ends_at.since(now) + Duration::from_secs(1),
        })
    }

    pub(super) fn grant_key(&self, request: RequestNumber) -> GrantKey {
        GrantKey {
            entry: self.plan.instance.clone(),
            life: self.plan.life,
            request,
        }
    }

    /// Keeps what an answer says of a server's backlog.
    pub(super) fn note_backlog(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        backlog: Duration,
    ) {
        let id = &self.servers.get(server).record.id;
        if let Some(view) = self.owners.get_mut(id) {
            view.read_until = now.after(backlog);
        }
    }

    /// Gives a grant back to the server's scheduler.
    pub(super) fn return_grant(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        release: GrantRelease,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if self.desks.contains_key(&server) {
            self.grant_released(now, &release, effects);
        } else if let Some(view) = self.owners.get(&release.server) {
            self.releases.entry(view.peer).or_default().push(release);
        }
    }
}
