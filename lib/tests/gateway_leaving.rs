//! Servers that announce in their answers that they leave, in a fleet.

mod gateway;

use std::{collections::BTreeSet, time::Duration};

use gateway::world::{GatewayWorld, RequestEnd};
use rand::Rng;
use wasabistall_lib::clock::ClockTime;

const INSTANCES: usize = 7;
const SERVERS: usize = 4;
/// Numbers of adapters for which all servers but one have places, and for which all are needed.
const FEW_ADAPTERS: u64 = 4;
const MANY_ADAPTERS: u64 = 12;
/// Time after which every instance knows of an announcement.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Sends one request for one of `adapters` to some instance every 20 ms.
fn send_requests(world: &mut GatewayWorld, adapters: u64, time: Duration) -> BTreeSet<u64> {
    let end = world.now.after(time);
    let mut sent = BTreeSet::new();
    while world.now < end {
        let index = world.random().random_range(0..INSTANCES);
        let adapter = format!("a{}", world.random().random_range(0..adapters));
        sent.insert(world.request(index, &adapter, 400));
        world.run(Duration::from_millis(20));
    }
    sent
}

/// Instances whose requests reached a server from a time on.
fn senders(world: &GatewayWorld, server: usize, from: ClockTime) -> BTreeSet<usize> {
    let arrivals = world.notice_table.arrivals.iter();
    arrivals
        .filter(|(time, _, engine)| *engine == server && *time >= from)
        .map(|(_, instance, _)| *instance)
        .collect()
}

/// The server that most requests have reached.
fn busiest_server(world: &GatewayWorld) -> usize {
    let count = |server: &usize| {
        let arrivals = world.notice_table.arrivals.iter();
        arrivals.filter(|(_, _, engine)| engine == server).count()
    };
    (0..SERVERS).max_by_key(count).expect("a server")
}

fn served(world: &GatewayWorld, sent: &BTreeSet<u64>) -> usize {
    let outcomes = world.outcomes.iter();
    outcomes
        .filter(|(_, number, end)| sent.contains(number) && *end == RequestEnd::Served)
        .count()
}

/// A server that leaves while the store is away got requests until it was gone, since only the store
/// was believed.
#[test]
fn a_server_that_leaves_while_the_store_is_away_gets_no_more_requests() {
    for seed in 0..10 {
        let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
        world.run(Duration::from_secs(6));
        send_requests(&mut world, FEW_ADAPTERS, Duration::from_secs(4));
        for node in &mut world.nodes {
            node.store_unavailable = true;
        }
        world.run(Duration::from_secs(1));
        let leaving = busiest_server(&world);
        world.notice_table.leaving.insert(leaving);
        let announced_at = world.now;
        let mut sent = send_requests(&mut world, FEW_ADAPTERS, SPREAD_TIME);
        let known_at = world.now;
        sent.append(&mut send_requests(
            &mut world,
            FEW_ADAPTERS,
            Duration::from_secs(8),
        ));
        world.run(Duration::from_secs(6));
        assert!(
            !senders(&world, leaving, announced_at).is_empty(),
            "seed {seed}: nothing was sent that the server could answer"
        );
        assert_eq!(
            senders(&world, leaving, known_at),
            BTreeSet::new(),
            "seed {seed}: instances that still send"
        );
        // Its adapters are loaded elsewhere.
        let count = served(&world, &sent);
        assert!(
            count * 100 >= sent.len() * 98,
            "seed {seed}: {count} of {} served",
            sent.len()
        );
    }
}

/// An announcement must not outlive the process that made it.
#[test]
fn a_server_that_starts_again_under_its_id_gets_requests() {
    for seed in 0..5 {
        let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
        world.run(Duration::from_secs(6));
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_secs(2));
        let leaving = busiest_server(&world);
        world.notice_table.leaving.insert(leaving);
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_secs(4));
        world.restart_server(leaving);
        // The instance that schedules the server may send orders after the time of a lease.
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_secs(5));
        let from = world.now;
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_secs(5));
        assert!(
            senders(&world, leaving, from).len() > INSTANCES / 2,
            "seed {seed}: {:?}",
            senders(&world, leaving, from)
        );
    }
}

/// A request that had a grant was sent once its adapter was loaded, although the server left meanwhile.
#[test]
fn a_request_that_waits_for_its_adapter_goes_elsewhere() {
    for seed in 0..5 {
        let mut world = GatewayWorld::new(seed, 3, 2);
        world.run(Duration::from_secs(6));
        let number = world.request(0, "a1", 400);
        world.run(Duration::from_millis(50));
        let is_loading = |engine: &usize| {
            let report = world.engines[*engine].report();
            !report.loading_adapters.is_empty()
        };
        let leaving = (0..2).find(is_loading).expect("a server that loads");
        world.announce(0, leaving);
        world.run(Duration::from_secs(2));
        assert_eq!(
            senders(&world, leaving, ClockTime::ZERO),
            BTreeSet::new(),
            "seed {seed}"
        );
        assert_eq!(served(&world, &BTreeSet::from([number])), 1, "seed {seed}");
    }
}
