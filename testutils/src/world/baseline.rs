//! Baseline routers, run over the recorded arrivals of a simulation to compare load stalls.
//!
//! Each router assigns a request to one server on arrival. Servers load adapters on demand, evict
//! the least recently used idle adapter, and serve requests in order of arrival.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use wasabistall_lib::{clock::ClockTime, rendezvous};

use super::{DeploymentPlan, RequestHistory, RequestId, World};

const LOAD_TIME: Duration = Duration::from_millis(250);
const TOKEN_TIME: Duration = Duration::from_millis(2);
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(50);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// How a baseline chooses a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BaselineRouter {
    /// A random server.
    Random,
    /// The server with the fewest running requests.
    LeastLoad,
    /// The first server by rendezvous hash of the adapter.
    Rendezvous,
}

/// Figures of a baseline.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BaselineFigures {
    /// Requests whose adapter was not ready on the chosen server when they arrived.
    pub stalls: usize,
    /// Total time that these requests waited to start, in seconds.
    pub stall_seconds: f64,
    /// Adapter loads, also those for requests outside the measured ones.
    pub loads: u64,
}

/// An adapter slot of a server.
#[derive(Clone, Copy, Debug)]
struct BaselineSlot {
    ready: ClockTime,
    busy_until: ClockTime,
    used: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct BaselineServer {
    slots: BTreeMap<SmolStr, BaselineSlot>,
    /// End of the last request in each position of the batch.
    request_ends: Vec<ClockTime>,
}

impl BaselineServer {
    fn load(&self, now: ClockTime) -> usize {
        self.request_ends.iter().filter(|end| **end > now).count()
    }
}

/// Rate limit of the adapter store.
struct BaselineStore {
    /// Loads per second.
    rate: u64,
    next_start: ClockTime,
}

impl BaselineStore {
    /// Reserves a load requested at `now` and returns when it may start. After an idle time, the
    /// loads of one second may start at once.
    fn reserve(&mut self, now: ClockTime) -> ClockTime {
        let earliest = ClockTime::from_micros(now.as_micros().saturating_sub(MICROS_PER_SECOND));
        self.next_start = self
            .next_start
            .max(earliest)
            .after(Duration::from_micros(MICROS_PER_SECOND / self.rate));
        self.next_start.max(now)
    }
}

/// Routes all answered requests for adapters of a simulation; reports the stalls of those in
/// `sent`.
pub fn run(
    world: &World,
    plan: &DeploymentPlan,
    sent: &BTreeSet<RequestId>,
    router: BaselineRouter,
) -> BaselineFigures {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let names: Vec<SmolStr> = (0..plan.engines)
        .map(|number| format_smolstr!("e{number}"))
        .collect();
    let mut servers = vec![BaselineServer::default(); plan.engines];
    let mut store = BaselineStore {
        rate: plan.store_loads_per_second,
        next_start: ClockTime::ZERO,
    };
    let mut arrivals: Vec<(&RequestId, &RequestHistory)> = world
        .histories()
        .filter(|(_, history)| history.answered.is_some() && !history.adapter.is_empty())
        .collect();
    arrivals.sort_by_key(|(_, history)| history.arrived);
    let mut figures = BaselineFigures::default();
    for (id, history) in arrivals {
        let now = history.arrived;
        let chosen = match router {
            BaselineRouter::Random => random.random_range(0..servers.len()),
            BaselineRouter::LeastLoad => {
                let loads = servers.iter().map(|server| server.load(now)).enumerate();
                loads
                    .min_by_key(|(_, load)| *load)
                    .map_or(0, |(number, _)| number)
            }
            BaselineRouter::Rendezvous => {
                let numbers = 0..servers.len();
                rendezvous::best(&history.adapter, numbers, |number| &names[number]).unwrap_or(0)
            }
        };
        let (start, stalled, loaded) = serve(&mut servers[chosen], plan, &mut store, history);
        figures.loads += u64::from(loaded);
        if stalled && sent.contains(id) {
            figures.stalls += 1;
            figures.stall_seconds += start.since(now).as_secs_f64();
        }
    }
    figures
}

/// Serves a request; returns when it starts, whether it stalled on its adapter, and whether it
/// caused a load.
fn serve(
    server: &mut BaselineServer,
    plan: &DeploymentPlan,
    store: &mut BaselineStore,
    history: &RequestHistory,
) -> (ClockTime, bool, bool) {
    let now = history.arrived;
    let present = server.slots.get(&history.adapter).copied();
    let stalled = present.is_none_or(|slot| slot.ready > now);
    let ready = match present {
        Some(slot) => slot.ready,
        None => {
            let free = evict(server, plan.slots, now);
            store.reserve(free).after(LOAD_TIME)
        }
    };
    server.request_ends.sort();
    let position = if server.request_ends.len() < plan.concurrency {
        server.request_ends.push(ClockTime::ZERO);
        server.request_ends.len() - 1
    } else {
        0
    };
    let start = now.max(ready).max(server.request_ends[position]);
    let time = TOKEN_TIME.mul_f64(history.output_tokens as f64)
        + PROMPT_TOKEN_TIME.mul_f64(history.prompt_tokens as f64);
    let end = start.after(time);
    server.request_ends[position] = end;
    let slot = server
        .slots
        .entry(history.adapter.clone())
        .or_insert(BaselineSlot {
            ready,
            busy_until: end,
            used: start,
        });
    slot.busy_until = slot.busy_until.max(end);
    slot.used = slot.used.max(start);
    (start, stalled, present.is_none())
}

/// Evicts an adapter if all slots are taken; returns when a slot is free.
fn evict(server: &mut BaselineServer, slots: usize, now: ClockTime) -> ClockTime {
    if server.slots.len() < slots {
        return now;
    }
    let idle = server
        .slots
        .iter()
        .filter(|(_, slot)| slot.busy_until <= now && slot.ready <= now)
        .min_by_key(|(_, slot)| slot.used);
    let victim = idle.or_else(|| server.slots.iter().min_by_key(|(_, slot)| slot.busy_until));
    let Some((name, slot)) = victim.map(|(name, slot)| (name.clone(), *slot)) else {
        return now;
    };
    server.slots.remove(&name);
    now.max(slot.busy_until)
}
