//! Gossip of large fleets, on the tables alone: bytes, and the time until a change is known to all.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use wasabistall_lib::{
    clock::ClockTime,
    gateway::{
        catalog::{LoadedAdapter, LoadedModel},
        claims::{MemberClaims, ServerClaim},
        members::{AgedRecord, GossipTable, MemberPhase, MemberRecord},
        server_status::{ServerHash, ServerStatus, StatusList, max_gossip_statuses},
    },
};

/// Interval of gossip rounds, and that of the first two seconds of a process.
const ROUND: Duration = Duration::from_millis(400);
const STARTUP_ROUND: Duration = Duration::from_millis(100);
const STARTUP_TIME: Duration = Duration::from_secs(2);
const DATA_CENTRES: usize = 6;
/// Bytes that a node may send each second for all control traffic.
const CONTROL_BYTES: usize = 14_000;
/// Time between orders of two instances to one server, by which the claims have to be known.
const LEASE: Duration = Duration::from_secs(3);

struct Fleet {
    now: ClockTime,
    random: ChaCha8Rng,
    tables: Vec<GossipTable>,
    /// Bytes sent for records and claims.
    bytes: usize,
}

fn address(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], port))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[2] as usize * 250 + ip.octets()[3] as usize,
        std::net::IpAddr::V6(_) => unreachable!("all instances have IPv4 addresses"),
    }
}

/// Claims to one server with seven adapters loaded and 32 evicted.
fn server_claims(index: usize, generation: u64) -> Vec<ServerClaim> {
    let models = |first: u64, count: u64| {
        vec![LoadedModel {
            name: "m0".into(),
            adapters: (first..first + count)
                .map(|number| LoadedAdapter {
                    name: format_smolstr!("a{}", number % 24_000),
                    version: 1,
                })
                .collect(),
        }]
    };
    vec![ServerClaim {
        server: format_smolstr!("i-{index:010x}"),
        started: 1_770_000_000_000,
        active: true,
        fence: generation,
        models: models(generation, 7),
        recently_evicted: models(generation + 7, 32),
    }]
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let tables = (0..count)
            .map(|index| {
                let local = MemberRecord {
                    name: format_smolstr!("front-dar-{}-{index}", index % DATA_CENTRES),
                    incarnation: 1_770_000_000_000,
                    heartbeat: 0,
                    phase: MemberPhase::Ready,
                    data_centre: format_smolstr!("dar-{}", index % DATA_CENTRES),
                    caller_address: address(index, 8_221),
                    peer_address: address(index, 8_229),
                    suspects: Vec::new(),
                    cleared: Vec::new(),
                };
                let seeds = vec![address(0, 8_229), address(1, 8_229), address(2, 8_229)];
                GossipTable::new(local, seeds, 12)
            })
            .collect();
        Fleet {
            now: ClockTime::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            tables,
            bytes: 0,
        }
    }

    fn count_records(&mut self, records: &[AgedRecord]) {
        self.bytes += rmp_serde::to_vec(records).unwrap().len();
    }

    fn count_claims(&mut self, claims: &[MemberClaims]) {
        self.bytes += rmp_serde::to_vec(claims).unwrap().len();
    }

    /// One gossip call with its answer and the exchange of claims that follows.
    fn exchange(&mut self, caller: usize, called: usize) {
        let now = self.now;
        let call = self.tables[caller].records(now, &mut self.random);
        let answer = self.tables[called].records(now, &mut self.random);
        let newer = self.tables[called].claims_newer_than(&call);
        let wanted_there = self.tables[called].claims_older_than(&call);
        self.tables[called].merge(now, &call);
        self.tables[caller].merge(now, &answer);
        self.tables[caller].merge_claims(&newer);
        let sent = self.tables[caller].claims_of(&wanted_there);
        let wanted_here = self.tables[caller].claims_older_than(&answer);
        self.tables[called].merge_claims(&sent);
        let returned = self.tables[called].claims_of(&wanted_here);
        self.tables[caller].merge_claims(&returned);
        for records in [call, answer] {
            self.count_records(&records);
        }
        for claims in [newer, sent, returned] {
            self.count_claims(&claims);
        }
        // The call and the answer carry the capacity of model servers.
        let mut statuses = StatusList::default();
        for _ in 0..max_gossip_statuses(self.tables.len()) {
            statuses.push(ServerHash::new("i"), &ServerStatus::default());
        }
        self.bytes += 2 * rmp_serde::to_vec(&("statuses", statuses)).unwrap().len();
    }

    fn round(&mut self) {
        let is_starting = self.now.since(ClockTime::ZERO) < STARTUP_TIME;
        self.now = self
            .now
            .after(if is_starting { STARTUP_ROUND } else { ROUND });
        for caller in 0..self.tables.len() {
            let peers = self.tables[caller].begin_round(self.now, &mut self.random);
            for peer in peers {
                self.exchange(caller, index_of(peer));
            }
        }
    }

    /// Instances that hold the newest claims of instance `index`.
    fn informed(&self, index: usize, generation: u64) -> usize {
        let record = self.tables[index].local().clone();
        let others = self.tables.iter().enumerate().filter(|(other, table)| {
            *other != index
                && table
                    .claims(&record)
                    .first()
                    .is_some_and(|claim| claim.fence >= generation)
        });
        others.count()
    }
}

/// Starts a fleet and returns the time after which every instance has the claims of every other.
fn time_to_converge(count: usize) -> Duration {
    let mut fleet = Fleet::new(count, 7);
    for (index, table) in fleet.tables.iter_mut().enumerate() {
        table.set_claims(server_claims(index, 1));
    }
    loop {
        fleet.round();
        let all = (0..count).all(|index| fleet.informed(index, 1) == count - 1);
        if all || fleet.now.since(ClockTime::ZERO) > Duration::from_secs(60) {
            return fleet.now.since(ClockTime::ZERO);
        }
    }
}

/// Pattern: cold start of all. Two instances that each believe to be first in line for a server hear
/// of each other's claim before either may order.
#[test]
fn cold_start_of_all_spreads_claims_within_the_lease() {
    for count in [200, 400] {
        let time = time_to_converge(count);
        println!("{count}: all claims known after {time:?}");
        assert!(time <= LEASE, "{count} instances: {time:?}");
    }
}

/// A fleet in which every tenth instance loads an adapter in each round, from 20 s after its start.
/// Returns the time until a change is known to all, and the bytes that a node sends each second.
fn run_busy_fleet(count: usize) -> (Option<Duration>, usize) {
    let mut fleet = Fleet::new(count, 11);
    for (index, table) in fleet.tables.iter_mut().enumerate() {
        table.set_claims(server_claims(index, 1));
    }
    for _ in 0..65 {
        fleet.round();
    }
    fleet.bytes = 0;
    let changed = 17;
    let generation = 1_000_000;
    fleet.tables[changed].set_claims(server_claims(changed, generation));
    let mut known_after = None;
    for round in 1..=20_u32 {
        for index in 0..count {
            if index != changed && fleet.random.random_bool(0.1) {
                fleet.tables[index].set_claims(server_claims(index, 1_000 + u64::from(round)));
            }
        }
        fleet.round();
        if known_after.is_none() && fleet.informed(changed, generation) == count - 1 {
            known_after = Some(ROUND * round);
        }
    }
    let seconds = ROUND.as_secs_f64() * 20.0;
    let bytes = fleet.bytes as f64 / seconds / count as f64;
    (known_after, bytes as usize)
}

#[test]
fn changes_of_claims_reach_200_instances_within_the_lease() {
    let (known_after, _) = run_busy_fleet(200);
    assert!(
        known_after.is_some_and(|time| time <= LEASE),
        "{known_after:?}"
    );
}

#[test]
fn changes_of_claims_reach_400_instances_within_the_lease() {
    let (known_after, _) = run_busy_fleet(400);
    assert!(
        known_after.is_some_and(|time| time <= LEASE),
        "{known_after:?}"
    );
}

#[test]
fn gossip_of_a_large_fleet_fits_the_control_budget() {
    for count in [100, 200, 340, 400] {
        let (_, bytes) = run_busy_fleet(count);
        println!("{count}: {bytes} B/s a node");
        assert!(
            bytes <= CONTROL_BYTES,
            "{count} instances: {bytes} B/s a node"
        );
    }
}

/// Regression: messages had records of so few members that heartbeats of live ones came too late.
#[test]
fn live_instances_of_a_large_fleet_seldom_seem_dead() {
    for (count, per_thousand) in [(200, 1), (340, 5)] {
        let mut fleet = Fleet::new(count, 11);
        for _ in 0..65 {
            fleet.round();
        }
        let mut missing = 0;
        for _ in 0..10 {
            fleet.round();
            for table in &fleet.tables {
                missing += count - 1 - table.alive(fleet.now).count();
            }
        }
        let pairs = 10 * count * (count - 1);
        println!("{count}: {missing} of {pairs} views of members");
        assert!(
            missing * 1_000 <= pairs * per_thousand,
            "{count} instances: {missing} of {pairs} views of members"
        );
    }
}
