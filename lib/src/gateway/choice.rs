//! Which model server a request goes to: the one with the least expected time to its first event,
//! at the price of what has to be loaded.

use std::{net::SocketAddr, time::Duration};

use super::{
    GatewayReducer,
    catalog::LoadedModel,
    event::{ModelName, RequestNumber},
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
const STORE_LOAD_COST: f64 = 300.0;
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
/// Shared tokens that are worth a transfer from another server; a thousand take 30 ms to read.
const LEAST_FETCH: u64 = 1_000;
/// Share of failures from which on nothing is fetched from a server.
const DOUBTFUL_SHARE: f64 = 0.2;
/// Cost of a server that nobody schedules.
const UNSCHEDULED_COST: f64 = 150.0;
/// Requests that this instance has at most at a server that nobody schedules.
const DIRECT_GRANT_LIMIT: u32 = 24;

/// Where a request to a model server goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineChoice {
    /// Ask the server's scheduler.
    Scheduled {
        /// The server.
        server: GatewayServerKey,
        /// Time until it would begin with another prompt, as far as it is known.
        backlog: Duration,
    },
    /// Nobody schedules the server, but it holds the adapter.
    Direct(GatewayServerKey),
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

impl PlaceView {
    fn new(is_held: bool, is_recent: bool) -> PlaceView {
        if is_held {
            PlaceView::Held
        } else if is_recent {
            PlaceView::Recent
        } else {
            PlaceView::Missing
        }
    }
}

fn holds(models: &[LoadedModel], wanted: &ModelName, version: u64) -> bool {
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

impl GatewayReducer {
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
        let candidates = self.candidates(now, number)?;
        let name = wanted.to_string();
        let record = self.requests.get(&number)?;
        let is_long = record
            .request
            .tokens
            .is_some_and(|(prompt, _)| prompt >= LONG_PROMPT);
        let part_name = match record.request.prompt_parts.get(1) {
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

    /// Servers of a request's service that it may be sent to now.
    pub(super) fn candidates(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
    ) -> Option<Vec<GatewayServerKey>> {
        let record = self.requests.get(&number)?;
        let cold_rate = self.config()?.service(&record.service)?.cold_rate;
        let mut candidates: Vec<GatewayServerKey> = self
            .servers
            .in_service(&record.service)
            .map(|(key, _)| key)
            .filter(|key| !record.excluded.contains(key) && self.servers.is_open(now, *key))
            .collect();
        let share = ColdShare {
            bounds: self.options.bounds.cold,
            population: self.instance_count(now),
            instance: &self.options.instance,
        };
        candidates.retain(|key| !self.servers.is_cold_full(now, *key, cold_rate, &share));
        Some(candidates)
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

    /// Another server that likely keeps the shared parts of a prompt: the first in the adapter's
    /// order of those that hold the adapter.
    pub(super) fn prompt_source(
        &self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
    ) -> Option<SocketAddr> {
        let record = self
            .requests
            .get(&number)
            .filter(|record| record.has_grant)?;
        let service = self.config()?.service(&record.service)?;
        if !service.engine.as_ref()?.fetches_prompts {
            return None;
        }
        let (prompt, _) = record.request.tokens?;
        let (_, shared) = record.request.prompt_parts.split_last()?;
        let shared: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
        let missing = record
            .uncached_tokens
            .saturating_sub(prompt.saturating_sub(shared));
        if missing < LEAST_FETCH {
            return None;
        }
        let wanted = record.request.model.as_ref()?;
        let version = self.wanted_version(wanted);
        let name = wanted.to_string();
        self.servers
            .in_service(&record.service)
            .filter(|(key, other)| {
                *key != server
                    && self.servers.is_open(now, *key)
                    && other.failure_share(now) < DOUBTFUL_SHARE
                    && self.engine_view(now, *key, wanted, version).place == PlaceView::Held
            })
            .max_by_key(|(_, other)| rendezvous::weight(&name, &other.record.id))
            .map(|(_, other)| other.record.address)
    }

    /// Place of each candidate in the rendezvous order of `name`.
    fn ranks(&self, name: &str, candidates: &[GatewayServerKey]) -> Vec<usize> {
        let mut order: Vec<(u64, usize)> = candidates
            .iter()
            .enumerate()
            .map(|(position, key)| {
                let id = &self.servers.get(*key).record.id;
                (rendezvous::weight(name, id), position)
            })
            .collect();
        order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let mut ranks = vec![0; candidates.len()];
        for (rank, (_, position)) in order.into_iter().enumerate() {
            ranks[position] = rank;
        }
        ranks
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
        let shared: u64 = match record.request.prompt_parts.split_last() {
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
            if self.load_pauses.get(&key).is_some_and(|until| now < *until) {
                return None;
            }
            cost += adapter_rank as f64 * RANK_COST;
        }
        if server.record.data_centre != self.options.data_centre {
            cost += tokens as f64 * CROSSING_COST;
        }
        let first_ms = (view.backlog.as_secs_f64() * 1_000.0).max(load_ms) + read_ms;
        let early_ms = record.objective.as_secs_f64() * 1_000.0 * EARLY_PART;
        cost += first_ms * EARLY_WEIGHT + (first_ms - early_ms).max(0.0) * LATE_WEIGHT;
        if view.scheduled {
            let choice = EngineChoice::Scheduled {
                server: key,
                backlog: view.backlog,
            };
            return Some((cost, choice));
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
        if let Some(desk) = self.schedulers.get(&key) {
            let adapter = wanted.adapter.as_deref();
            EngineView {
                place: PlaceView::new(
                    desk.holds(&wanted.model, adapter, version),
                    adapter.is_some_and(|adapter| desk.held_lately(&wanted.model, adapter)),
                ),
                active: desk.is_active(),
                scheduled: true,
                backlog: desk.backlog(now),
            }
        } else if let Some(view) = self.owners.get(&record.id) {
            EngineView {
                place: PlaceView::new(
                    holds(&view.models, wanted, version),
                    holds(&view.recent, wanted, 0),
                ),
                active: view.active,
                scheduled: true,
                backlog: view.prefill_until.since(now),
            }
        } else {
            EngineView {
                place: PlaceView::new(holds(&record.models, wanted, version), false),
                active: false,
                scheduled: false,
                backlog: Duration::ZERO,
            }
        }
    }
}
