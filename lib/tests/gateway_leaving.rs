//! Servers that announce in their answers that they leave, or turn an instance away, in a fleet.

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

/// The server that loads an adapter.
fn loading_server(world: &GatewayWorld) -> usize {
    let is_loading = |engine: &usize| {
        let report = world.engines[*engine].report();
        !report.loading_adapters.is_empty()
    };
    let mut servers = 0..world.engines.len();
    servers.find(is_loading).expect("a server that loads")
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
        let leaving = loading_server(&world);
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

/// A server that turns one instance away gets the requests of the others.
#[test]
fn a_server_turns_only_one_instance_away() {
    for seed in 0..5 {
        let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
        world.run(Duration::from_secs(6));
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_secs(4));
        let server = busiest_server(&world);
        world.turn_away(0, server, Duration::from_secs(4));
        world.run(Duration::from_millis(500));
        let from = world.now;
        send_requests(&mut world, MANY_ADAPTERS, Duration::from_millis(3_500));
        let others: BTreeSet<usize> = (1..INSTANCES).collect();
        assert_eq!(senders(&world, server, from), others, "seed {seed}");
    }
}

/// Requests that left a draining server were counted as diverted by a pause that was over.
#[test]
fn a_pause_that_is_over_diverts_no_requests() {
    for seed in 0..5 {
        let mut world = GatewayWorld::new(seed, 3, 2);
        world.run(Duration::from_secs(6));
        for server in 0..2 {
            world.turn_away(0, server, Duration::from_millis(100));
        }
        world.run(Duration::from_secs(2));
        let number = world.request(0, "a1", 400);
        world.run(Duration::from_millis(50));
        let draining = loading_server(&world);
        world.drain_server(draining);
        world.run(Duration::from_secs(3));
        let diverted = world
            .events
            .iter()
            .filter(|(_, _, event)| *event == "request_diverted");
        assert_eq!(diverted.count(), 0, "seed {seed}");
        assert_eq!(served(&world, &BTreeSet::from([number])), 1, "seed {seed}");
    }
}
