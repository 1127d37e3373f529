//! Simple routers over the same arrivals, to compare load stalls and waits with.
//!
//! Each sends a request to one server on arrival. Servers load adapters on demand, evict the
//! least recently used idle one, and serve in order of arrival.

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

/// How a baseline picks a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BaselineRouter {
    /// Any server.
    Random,
    /// The server with the fewest requests.
    LeastLoad,
    /// The best server by rendezvous hash of the adapter.
    Rendezvous,
}

/// Figures of a baseline.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BaselineFigures {
    /// Requests whose adapter the chosen server did not have.
    pub stalls: usize,
    /// Sum of the time that these waited, in seconds.
    pub stall_seconds: f64,
    /// Adapter loads.
    pub loads: u64,
}

/// An adapter on a server.
#[derive(Clone, Copy, Debug)]
struct BaselineSlot {
    ready: ClockTime,
    busy_until: ClockTime,
    used: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct BaselineServer {
    slots: BTreeMap<SmolStr, BaselineSlot>,
    /// Ends of the running requests, one a place in the batch.
    ends: Vec<ClockTime>,
}

impl BaselineServer {
    fn load(&self, now: ClockTime) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }
}

/// A store that allows a number of loads a second.
struct BaselineStore {
    rate: u64,
    next: ClockTime,
}

impl BaselineStore {
    /// When a load asked for at `now` may begin; a second's worth may begin at once.
    fn begin(&mut self, now: ClockTime) -> ClockTime {
        let behind = ClockTime::from_micros(now.as_micros().saturating_sub(MICROS_PER_SECOND));
        self.next = self
            .next
            .max(behind)
            .after(Duration::from_micros(MICROS_PER_SECOND / self.rate));
        self.next.max(now)
    }
}

/// Routes all arrivals of a world and reports on those in `sent`.
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
        rate: plan.store_loads,
        next: ClockTime::ZERO,
    };
    let mut arrivals: Vec<(&RequestId, &RequestHistory)> = world
        .histories()
        .filter(|(_, history)| history.answered.is_some() && !history.adapter.is_empty())
        .collect();
    arrivals.sort_by_key(|(_, history)| history.arrived);
    let mut figures = BaselineFigures::default();
    for (id, history) in arrivals {
        let now = history.arrived;
        let choice = match router {
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
        let (start, stalled, loaded) = serve(&mut servers[choice], plan, &mut store, history);
        figures.loads += u64::from(loaded);
        if stalled && sent.contains(id) {
            figures.stalls += 1;
            figures.stall_seconds += start.since(now).as_secs_f64();
        }
    }
    figures
}

/// Serves a request; returns when it begins, whether its adapter was missing, and whether a load
/// was needed.
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
            store.begin(free).after(LOAD_TIME)
        }
    };
    server.ends.sort();
    let place = if server.ends.len() < plan.concurrency {
        server.ends.push(ClockTime::ZERO);
        server.ends.len() - 1
    } else {
        0
    };
    let start = now.max(ready).max(server.ends[place]);
    let time = TOKEN_TIME.mul_f64(history.output_tokens as f64)
        + PROMPT_TOKEN_TIME.mul_f64(history.prompt_tokens as f64);
    let end = start.after(time);
    server.ends[place] = end;
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

/// Makes room for an adapter; returns when there is room.
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
