//! Chooses the model server for a request: the one with the least cost, which combines the expected
//! time to the first event with the price of loading an adapter.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    GatewayReducer,
    catalog::LoadedModel,
    event::{ModelName, RequestNumber},
    exclusion::ServerExclusion,
    requests::RequestRecord,
    server_status::{ServerCost, pick_server},
    servers::{ColdShare, GatewayServerKey},
};
use crate::{clock::ClockTime, rendezvous};

/// Expected time of a load from the weight store, in milliseconds.
const STORE_LOAD_MS: f64 = 260.0;
/// Expected time to load an adapter that the server evicted recently, in milliseconds.
const RECENT_LOAD_MS: f64 = 35.0;
/// Prompt tokens that a server is assumed to prefill per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 33.0;
/// Upper bound of the expected prefill time of one request. The number of tokens comes from the
/// caller and can be anything.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(60);
/// Cost of a millisecond until the first event.
const EARLY_WEIGHT: f64 = 0.2;
/// Additional cost of a millisecond that exceeds `EARLY_SHARE` of the objective.
const LATE_WEIGHT: f64 = 1.5;
/// Share of the objective within which a first event counts as early.
const EARLY_SHARE: f64 = 0.5;
/// Cost of a load from the weight store in addition to its time.
const STORE_LOAD_COST: f64 = 300.0;
/// Cost per rank in an adapter's rendezvous order, so that the servers at its head are preferred.
const RANK_COST: f64 = 10.0;
/// Cost of using a server in another data centre, whose traffic is slower and billed: per request,
/// per prompt token and per output token. An event of a stream takes more bytes than its tokens.
const CROSSING_COST: f64 = 10.0;
const CROSSING_PROMPT_TOKEN_COST: f64 = 0.02;
const CROSSING_OUTPUT_TOKEN_COST: f64 = 0.15;
/// Minimum length, in tokens, of prompts whose prefill stalls other streams noticeably.
const LONG_PROMPT_TOKENS: u64 = 2_000;
/// Share of a service's servers that are preferred for long prompts.
const PREFILL_SERVER_SHARE: f64 = 0.6;
/// Cost of sending a long prompt to a server not preferred for them, or another request to one that
/// is.
const MIXING_COST: f64 = 100.0;
/// Cost of a server that fails every request. Scaled by the share of failures.
const FAILURE_COST: f64 = 3_000.0;
/// Minimum number of shared tokens for which fetching the cache from another server pays off.
/// Prefilling 1,000 tokens takes 30 ms.
const MIN_FETCH_TOKENS: u64 = 1_000;
/// Share of failures from which on no prompt cache is fetched from a server.
const MAX_SOURCE_FAILURE_SHARE: f64 = 0.2;
/// Cost of a server that no instance schedules.
const UNSCHEDULED_COST: f64 = 150.0;
/// Maximum number of this instance's requests in flight at a server that no instance schedules.
const MAX_DIRECT_REQUESTS: u32 = 24;

/// Next step of a request to a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineChoice {
    /// Request a grant from the server's scheduler.
    Scheduled {
        /// The server.
        server: GatewayServerKey,
        /// Expected time until the server could start on another prompt.
        backlog: Duration,
    },
    /// Send the request directly: no instance schedules the server, but it has the adapter loaded.
    Direct(GatewayServerKey),
}

/// Cost of sending a request to a model server, by part. The unit is that of a millisecond until the
/// first event, times [`EARLY_WEIGHT`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EngineCost {
    /// Time until the first event.
    pub(super) time: f64,
    /// Load of the adapter from the weight store.
    pub(super) store_load: f64,
    /// Position in the adapter's rendezvous order, if the adapter has to be loaded.
    pub(super) rank: f64,
    /// Traffic between data centres.
    pub(super) crossing: f64,
    /// Long prompts and streams on one server.
    pub(super) mixing: f64,
    /// Recent failures of the server.
    pub(super) failures: f64,
    /// No instance schedules the server.
    pub(super) unscheduled: f64,
}

impl EngineCost {
    /// All parts with their names.
    pub(super) fn parts(&self) -> [(&'static str, f64); 7] {
        let EngineCost {
            time,
            store_load,
            rank,
            crossing,
            mixing,
            failures,
            unscheduled,
        } = self;
        [
            ("time", *time),
            ("store_load", *store_load),
            ("rank", *rank),
            ("crossing", *crossing),
            ("mixing", *mixing),
            ("failures", *failures),
            ("unscheduled", *unscheduled),
        ]
    }

    /// Sum of all parts.
    pub(super) fn total(&self) -> f64 {
        self.parts().iter().map(|(_, cost)| cost).sum()
    }
}

/// A model server that the request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RatedEngine {
    pub(super) cost: EngineCost,
    /// Next step of the request if the server is chosen.
    pub(super) choice: EngineChoice,
    /// Expected prefill time of the prompts that others have sent since the server's entry; `None`
    /// without an entry.
    other_work: Option<Duration>,
    /// Whether the server is likely to have the shared parts of the prompt in its cache.
    holds_prefix: bool,
}

/// Rating of a model server for a request, or why it cannot be chosen.
pub(super) type EngineRating = Result<RatedEngine, ServerExclusion>;

/// State of a model server with respect to a request.
pub(super) struct EngineView {
    pub(super) residency: AdapterResidency,
    /// Whether its scheduler may give orders.
    pub(super) active: bool,
    /// Whether an instance schedules it.
    pub(super) scheduled: bool,
    pub(super) backlog: Duration,
}

/// Where a server has an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterResidency {
    /// Loaded or loading.
    Loaded,
    /// Evicted recently and quick to load again.
    RecentlyEvicted,
    /// Has to be loaded from the weight store.
    Missing,
}

impl AdapterResidency {
    fn new(is_loaded: bool, is_recently_evicted: bool) -> AdapterResidency {
        if is_loaded {
            AdapterResidency::Loaded
        } else if is_recently_evicted {
            AdapterResidency::RecentlyEvicted
        } else {
            AdapterResidency::Missing
        }
    }
}

fn is_loaded(models: &[LoadedModel], wanted: &ModelName, version: u64) -> bool {
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
    /// Chooses the server with the least cost, or one at random of those that cost about as little.
    pub(super) fn choose_engine(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
    ) -> Option<EngineChoice> {
        let record = self.requests.get(&number)?;
        let ratings = self.rate_engines(now, record)?;
        let costs: Vec<ServerCost<EngineChoice>> = ratings
            .into_iter()
            .filter_map(|(_, rating)| {
                let RatedEngine {
                    cost,
                    choice,
                    other_work,
                    holds_prefix,
                } = rating.ok()?;
                // Loads and shared prompts are left to their rendezvous orders: a random choice
                // would load or prefill the same on several servers.
                let needs_load = cost.store_load > 0.0 || cost.rank > 0.0;
                let may_be_random = !needs_load && !holds_prefix;
                let other_work = other_work.filter(|_| may_be_random);
                let total = cost.total();
                Some(ServerCost {
                    cost: total,
                    fixed: total - cost.time,
                    other_work: other_work.map(|work| work.as_secs_f64() * 1_000.0 * EARLY_WEIGHT),
                    choice,
                })
            })
            .collect();
        pick_server(&mut self.random, &costs)
    }

    /// Rates each model server that the request may be sent to now.
    pub(super) fn rate_engines(
        &self,
        now: ClockTime,
        record: &RequestRecord,
    ) -> Option<Vec<(GatewayServerKey, EngineRating)>> {
        let wanted = record.request.model.as_ref()?;
        let version = self.min_version(wanted);
        let candidates = self.candidates_for(now, record)?;
        let name = wanted.to_string();
        let is_long = record
            .request
            .tokens
            .is_some_and(|(prompt, _)| prompt >= LONG_PROMPT_TOKENS);
        let prefix_name = match record.request.prompt_parts.get(1) {
            Some(part) => format!("{name}#{:x}", part.id),
            None => name.clone(),
        };
        let prefill_servers = self.prefill_servers(&record.service);
        let adapter_ranks = self.ranks(&name, &candidates);
        let prefix_ranks = self.ranks(&prefix_name, &candidates);
        let mut ratings = Vec::with_capacity(candidates.len());
        for (position, key) in candidates.iter().enumerate() {
            let ranks = (adapter_ranks[position], prefix_ranks[position]);
            let mixing_cost = if is_long == prefill_servers.contains(key) {
                0.0
            } else {
                MIXING_COST
            };
            let mut rating = self.engine_cost(now, *key, record, wanted, version, ranks);
            if let Ok(rated) = &mut rating {
                rated.cost.mixing = mixing_cost;
            }
            ratings.push((*key, rating));
        }
        Some(ratings)
    }

    /// Servers of the request's service that it may be sent to now.
    pub(super) fn candidates(
        &self,
        now: ClockTime,
        number: RequestNumber,
    ) -> Option<Vec<GatewayServerKey>> {
        self.candidates_for(now, self.requests.get(&number)?)
    }

    fn candidates_for(
        &self,
        now: ClockTime,
        record: &RequestRecord,
    ) -> Option<Vec<GatewayServerKey>> {
        let cold_rate = self.config()?.service(&record.service)?.cold_rate;
        let share = self.cold_share(now);
        let candidates = self
            .servers
            .in_service(&record.service)
            .map(|(key, _)| key)
            .filter(|key| {
                !record.excluded.contains(key)
                    && self
                        .servers
                        .exclusion(now, *key, cold_rate, &share)
                        .is_none()
            });
        Some(candidates.collect())
    }

    /// This instance's share of the requests to cold servers.
    pub(super) fn cold_share(&self, now: ClockTime) -> ColdShare<'_> {
        ColdShare {
            bounds: self.options.bounds.cold,
            instance_count: self.instance_count(now),
            instance: &self.options.instance,
        }
    }

    /// Servers of a service that are preferred for long prompts, whose prefill stalls the streams
    /// of the server.
    fn prefill_servers(&self, service: &str) -> Vec<GatewayServerKey> {
        let mut servers: Vec<(u64, GatewayServerKey)> = self
            .servers
            .in_service(service)
            .map(|(key, server)| (rendezvous::weight("reading", &server.record.id), key))
            .collect();
        servers.sort_unstable_by_key(|(weight, _)| *weight);
        servers.truncate((servers.len() as f64 * PREFILL_SERVER_SHARE).ceil() as usize);
        servers.into_iter().map(|(_, key)| key).collect()
    }

    /// Address of another server that is likely to have the shared prompt parts in its cache: the
    /// first in the adapter's rendezvous order among those that have the adapter loaded.
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
        if missing < MIN_FETCH_TOKENS {
            return None;
        }
        let wanted = record.request.model.as_ref()?;
        let version = self.min_version(wanted);
        let name = wanted.to_string();
        self.servers
            .in_service(&record.service)
            .filter(|(key, other)| {
                *key != server
                    && self.servers.is_available(now, *key)
                    && other.failure_share(now) < MAX_SOURCE_FAILURE_SHARE
                    && self.engine_view(now, *key, wanted, version).residency
                        == AdapterResidency::Loaded
            })
            .max_by_key(|(_, other)| rendezvous::weight(&name, &other.record.id))
            .map(|(_, other)| other.record.address)
    }

    /// Rank of each candidate in the rendezvous order of `name`.
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
        wanted: &ModelName,
        version: u64,
        (adapter_rank, prefix_rank): (usize, usize),
    ) -> EngineRating {
        let server = self.servers.get(key);
        let view = self.engine_view(now, key, wanted, version);
        let (tokens, output_tokens) = record.request.tokens.unwrap_or_default();
        let shared: u64 = match record.request.prompt_parts.split_last() {
            Some((_, shared)) if prefix_rank == 0 => {
                shared.iter().map(|part| u64::from(part.tokens)).sum()
            }
            _ => 0,
        };
        let needs_slot = view.residency != AdapterResidency::Loaded;
        let capacity = self.engine_capacity(now, key, needs_slot, view.backlog);
        let prefill_ms =
            tokens.saturating_sub(shared) as f64 / PREFILL_TOKENS_PER_MS / capacity.speed;
        let mut cost = EngineCost {
            failures: server.failure_share(now) * FAILURE_COST,
            ..EngineCost::default()
        };
        let load_ms = match view.residency {
            AdapterResidency::Loaded => 0.0,
            AdapterResidency::RecentlyEvicted if view.active => RECENT_LOAD_MS,
            AdapterResidency::Missing if view.active => {
                cost.store_load = STORE_LOAD_COST;
                STORE_LOAD_MS
            }
            AdapterResidency::RecentlyEvicted | AdapterResidency::Missing => {
                return Err(ServerExclusion::MayNotLoad {
                    is_scheduled: view.scheduled,
                });
            }
        };
        if view.residency != AdapterResidency::Loaded {
            if let Some(until) = self.load_pauses.get(&key).filter(|until| now < **until) {
                let time_left = until.since(now);
                return Err(ServerExclusion::LoadPause { time_left });
            }
            cost.rank = adapter_rank as f64 * RANK_COST;
        }
        if server.record.data_centre != self.options.data_centre {
            cost.crossing = CROSSING_COST
                + tokens as f64 * CROSSING_PROMPT_TOKEN_COST
                + output_tokens as f64 * CROSSING_OUTPUT_TOKEN_COST;
        }
        let slot_ms = capacity.slot_wait.as_secs_f64() * 1_000.0;
        let backlog_ms = capacity.backlog.as_secs_f64() * 1_000.0;
        let first_ms = backlog_ms.max(slot_ms + load_ms) + prefill_ms;
        let early_ms = record.objective.as_secs_f64() * 1_000.0 * EARLY_SHARE;
        cost.time = first_ms * EARLY_WEIGHT + (first_ms - early_ms).max(0.0) * LATE_WEIGHT;
        let choice = if view.scheduled {
            EngineChoice::Scheduled {
                server: key,
                backlog: capacity.backlog,
            }
        } else if server.in_flight < MAX_DIRECT_REQUESTS {
            cost.unscheduled = UNSCHEDULED_COST;
            EngineChoice::Direct(key)
        } else {
            return Err(ServerExclusion::DirectLimit);
        };
        Ok(RatedEngine {
            cost,
            choice,
            other_work: capacity.other_work,
            holds_prefix: prefix_rank == 0 && record.request.prompt_parts.len() > 1,
        })
    }

    /// Expected time to prefill a request's prompt at a server, and whether its adapter has to be
    /// loaded there.
    pub(super) fn expected_use(
        &self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
    ) -> Option<(Duration, bool)> {
        let request = &self.requests.get(&number)?.request;
        let wanted = request.model.as_ref()?;
        let view = self.engine_view(now, server, wanted, self.min_version(wanted));
        let needs_slot = view.residency != AdapterResidency::Loaded;
        let speed = self
            .engine_capacity(now, server, needs_slot, view.backlog)
            .speed;
        let (tokens, _) = request.tokens.unwrap_or_default();
        let shared = request.prompt_parts.split_last().map_or(0, |(_, shared)| {
            shared.iter().map(|part| u64::from(part.tokens)).sum()
        });
        let millis = tokens.saturating_sub(shared) as f64 / PREFILL_TOKENS_PER_MS / speed;
        let prefill_time = Duration::from_secs_f64(millis / 1_000.0);
        Some((prefill_time.min(MAX_PREFILL_TIME), needs_slot))
    }

    pub(super) fn engine_view(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        wanted: &ModelName,
        version: u64,
    ) -> EngineView {
        let record = &self.servers.get(key).record;
        if let Some(scheduler) = self.schedulers.get(&key) {
            let adapter = wanted.adapter.as_deref();
            EngineView {
                residency: AdapterResidency::new(
                    scheduler.holds(&wanted.model, adapter, version),
                    adapter.is_some_and(|adapter| {
                        scheduler.was_recently_evicted(&wanted.model, adapter)
                    }),
                ),
                active: scheduler.is_active(),
                scheduled: true,
                backlog: scheduler.backlog(now),
            }
        } else if let Some(view) = self.owners.get(&record.id) {
            EngineView {
                residency: AdapterResidency::new(
                    is_loaded(&view.claim.models, wanted, version),
                    is_loaded(&view.claim.recently_evicted, wanted, 0),
                ),
                active: view.claim.active,
                scheduled: true,
                backlog: view.prefill_until.since(now),
            }
        } else {
            EngineView {
                residency: AdapterResidency::new(is_loaded(&record.models, wanted, version), false),
                active: false,
                scheduled: false,
                backlog: Duration::ZERO,
            }
        }
    }
}
