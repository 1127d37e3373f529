//! Size, load and network of the two simulated deployments.

use std::{collections::BTreeSet, time::Duration};

use rand::{
    Rng,
    distr::{Distribution, weighted::WeightedIndex},
};
use serde_json::{Value, json};
use smol_str::SmolStr;
use wasabistall_lib::{
    event::{CallTarget, CallerRequest},
    key::HashedKey,
};

use super::{RequestId, World};

/// Zipf exponent: the `n`th most popular adapter of a team has the weight `1 / n^exponent`.
const POPULARITY_EXPONENT: f64 = 1.6;
/// One request in this many has a long prompt, on average.
const LONG_PROMPT_INTERVAL: u32 = 10;
const SHORT_PROMPT_TOKENS: u64 = 60;
const LONG_PROMPT_TOKENS: u64 = 1_500;

/// Rate and load of a team.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// The team's name.
    pub name: &'static str,
    /// Rate limit in tokens per second.
    pub tokens_per_second: u64,
    /// Requests that it sends per second, on average.
    pub requests_per_second: f64,
    /// Number of its adapters.
    pub adapters: usize,
}

/// Size and load of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Name of the only region.
    pub region: &'static str,
    /// Data centres.
    pub data_centres: usize,
    /// Model servers.
    pub engines: usize,
    /// Servers of the service without models.
    pub services: usize,
    /// Instances.
    pub instances: usize,
    /// Adapter loads per second that the store allows.
    pub store_loads_per_second: u64,
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Requests that a warm engine runs at once.
    pub concurrency: usize,
    /// Burst of each team, in seconds of its rate.
    pub burst_seconds: u64,
    /// Teams.
    pub teams: Vec<TeamPlan>,
}

/// Five teams; the first sends several times its rate, the others about half of theirs.
///
/// `scale` multiplies rates and load; `adapters` is the number of adapters of all teams.
fn five_teams(names: [&'static str; 5], scale: f64, adapters: usize) -> Vec<TeamPlan> {
    // Tokens per second, requests per second, percentage of the adapters. A request reserves about
    // 264 tokens on average.
    let plans = [
        (1_000, 15.0, 40),
        (2_500, 5.0, 25),
        (1_500, 3.0, 15),
        (1_000, 2.0, 10),
        (600, 1.0, 10),
    ];
    names
        .into_iter()
        .zip(plans)
        .map(|(name, (tokens, requests, percent))| TeamPlan {
            name,
            tokens_per_second: (tokens as f64 * scale) as u64,
            requests_per_second: requests * scale,
            adapters: adapters * percent / 100,
        })
        .collect()
}

impl DeploymentPlan {
    /// The Sauti deployment.
    pub fn sauti() -> DeploymentPlan {
        DeploymentPlan {
            region: "dar-region",
            data_centres: 4,
            engines: 9,
            services: 4,
            instances: 6,
            store_loads_per_second: 2,
            slots: 32,
            concurrency: 16,
            burst_seconds: 3,
            teams: five_teams(
                ["clans", "elders", "researchers", "village", "archive"],
                1.0,
                3_000,
            ),
        }
    }

    /// The Dial Works deployment.
    pub fn dial_works() -> DeploymentPlan {
        DeploymentPlan {
            region: "rift-central",
            data_centres: 3,
            engines: 12,
            services: 3,
            instances: 7,
            store_loads_per_second: 3,
            slots: 32,
            concurrency: 16,
            burst_seconds: 3,
            teams: five_teams(
                ["estates", "architects", "schools", "carvers", "gardens"],
                1.3,
                3_000,
            ),
        }
    }

    /// Names of the instances.
    pub fn instance_names(&self) -> Vec<String> {
        (0..self.instances)
            .map(|number| format!("i{number}"))
            .collect()
    }

    /// Plaintext key of a team.
    pub fn key(&self, team: usize) -> String {
        format!("ws_{}_0123456789", self.teams[team].name)
    }

    /// Name of an adapter of a team by popularity rank; the most popular has rank 0.
    pub fn adapter(&self, team: usize, rank: usize) -> SmolStr {
        format!("{}-{rank}", self.teams[team].name).into()
    }

    /// Changes of the initial configuration.
    ///
    /// # Panics
    ///
    /// Panics when a key of the plan does not parse.
    pub fn initial_changes(&self) -> Value {
        let mut changes = vec![
            json!({ "op": "add_owner", "owner": "owner" }),
            json!({
                "op": "add_region", "region": self.region,
                "store_loads_per_second": self.store_loads_per_second, "loads_in_flight": 8,
            }),
            json!({ "op": "add_base", "base": "nyota" }),
            json!({
                "op": "add_service", "service": "desk", "calls": [
                    { "method": "GET", "path": "/lookups", "idempotent": true },
                    { "method": "POST", "path": "/deposits", "idempotent": false },
                ],
            }),
        ];
        for number in 0..self.data_centres {
            changes.push(json!({
                "op": "add_data_centre", "data_centre": format!("d{number}"),
                "region": self.region,
            }));
        }
        for (team, plan) in self.teams.iter().enumerate() {
            let hashed = HashedKey::parse(&self.key(team)).unwrap();
            let requests = (plan.tokens_per_second / 50).max(1);
            changes.push(json!({
                "op": "add_team", "team": plan.name, "owner": "owner",
                "rate": {
                    "tokens_per_second": plan.tokens_per_second,
                    "burst_tokens": plan.tokens_per_second * self.burst_seconds,
                    "requests_per_second": requests, "burst_requests": requests * self.burst_seconds,
                },
            }));
            changes.push(json!({
                "op": "grant_key", "key": plan.name, "team": plan.name, "sha256": hashed.digest,
            }));
            for rank in 0..plan.adapters {
                changes.push(json!({
                    "op": "add_adapter", "adapter": self.adapter(team, rank), "base": "nyota",
                    "team": plan.name, "version": 1,
                }));
            }
        }
        self.add_servers(&mut changes);
        Value::from(changes)
    }

    fn add_servers(&self, changes: &mut Vec<Value>) {
        for number in 0..self.engines {
            changes.push(json!({
                "op": "add_server", "server": format!("e{number}"),
                "data_centre": format!("d{}", number % self.data_centres),
                "address": format!("10.1.0.{}:80", number + 1), "concurrency": self.concurrency,
                "role": { "engine": {
                    "base": "nyota", "slots": self.slots, "enforces_fencing": true,
                } },
            }));
        }
        for number in 0..self.services {
            changes.push(json!({
                "op": "add_server", "server": format!("s{number}"),
                "data_centre": format!("d{}", number % self.data_centres),
                "address": format!("10.2.0.{}:80", number + 1), "concurrency": 32,
                "role": { "service": { "service": "desk" } },
            }));
        }
        for number in 0..self.instances {
            changes.push(json!({
                "op": "add_instance", "instance": format!("i{number}"),
                "data_centre": format!("d{}", number % self.data_centres),
                "caller_address": format!("10.0.0.{}:80", number + 1),
                "peer_address": format!("10.0.0.{}:81", number + 1),
            }));
        }
    }

    /// Starts a simulation of this deployment and runs it for 8 s to settle.
    pub fn start(&self, seed: u64) -> World {
        let names = self.instance_names();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut world = World::new(seed, &names, &self.initial_changes());
        world.run(Duration::from_secs(8));
        world
    }
}

/// Sends the load of a deployment: Poisson arrivals, with all choices from the simulation's seed.
pub struct LoadGenerator {
    plan: DeploymentPlan,
    ranks: Vec<WeightedIndex<f64>>,
    /// Whether all requests of a team enter at one instance, instead of a random one each.
    pub sticky: bool,
    /// Positions of the instances at which requests enter.
    pub entry_nodes: Vec<usize>,
}

impl LoadGenerator {
    /// Creates a load that enters at all instances.
    ///
    /// # Panics
    ///
    /// Panics when a team has no adapters.
    pub fn new(plan: &DeploymentPlan) -> LoadGenerator {
        let ranks = plan
            .teams
            .iter()
            .map(|team| {
                let weights =
                    (1..=team.adapters).map(|rank| (rank as f64).powf(-POPULARITY_EXPONENT));
                WeightedIndex::new(weights).unwrap()
            })
            .collect();
        LoadGenerator {
            plan: plan.clone(),
            ranks,
            sticky: false,
            entry_nodes: (0..plan.instances).collect(),
        }
    }

    /// Sends load for `time` and calls `after_request` after each request. Returns the requests
    /// that a running instance received.
    pub fn send(
        &self,
        world: &mut World,
        time: Duration,
        mut after_request: impl FnMut(&mut World),
    ) -> BTreeSet<RequestId> {
        let end = world.now().after(time);
        let rates: Vec<f64> = self
            .plan
            .teams
            .iter()
            .map(|team| team.requests_per_second)
            .collect();
        let total: f64 = rates.iter().sum();
        let teams = WeightedIndex::new(&rates).unwrap();
        let mut sent = BTreeSet::new();
        loop {
            let uniform: f64 = world.random().random_range(f64::MIN_POSITIVE..1.0);
            let gap = Duration::from_secs_f64(-uniform.ln() / total);
            if world.now().after(gap) > end {
                world.run(end.since(world.now()));
                return sent;
            }
            world.run(gap);
            let team = teams.sample(world.random());
            sent.extend(self.send_request(world, team));
            after_request(world);
        }
    }

    fn send_request(&self, world: &mut World, team: usize) -> Option<RequestId> {
        let rank = self.ranks[team].sample(world.random());
        let long = world.random().random_ratio(1, LONG_PROMPT_INTERVAL);
        let output_tokens = world.random().random_range(5..60);
        let entry = if self.sticky {
            team % self.entry_nodes.len()
        } else {
            world.random().random_range(0..self.entry_nodes.len())
        };
        let request = CallerRequest {
            number: 0,
            target: CallTarget::Model(format!("nyota:{}", self.plan.adapter(team, rank)).into()),
            key: Ok(HashedKey::parse(&self.plan.key(team))),
            prompt_tokens: if long {
                LONG_PROMPT_TOKENS
            } else {
                SHORT_PROMPT_TOKENS
            },
            max_tokens: 60,
            timeout: Duration::from_secs(20),
            idempotency_key: None,
            trace: SmolStr::default(),
        };
        world.request(self.entry_nodes[entry], request, team, output_tokens)
    }
}

/// Delay and loss of messages between instances, and delay of all other traffic.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Shortest delay.
    pub min_delay: Duration,
    /// Longest delay.
    pub max_delay: Duration,
    /// Messages lost per thousand.
    pub lost_per_mille: u32,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions {
            min_delay: Duration::from_micros(300),
            max_delay: Duration::from_micros(1_500),
            lost_per_mille: 0,
        }
    }
}
