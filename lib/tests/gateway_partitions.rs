//! Partitions that last, with the servers, the store and callers on both sides: only one side gives a
//! server orders.

mod gateway;

use std::time::Duration;

use gateway::world::GatewayWorld;
use rand::Rng;
use wasabistall_lib::clock::ClockTime;

const INSTANCES: usize = 6;
const SERVERS: usize = 3;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Seeds of the schedules.
const SEEDS: std::ops::Range<u64> = 0..12;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Sends requests for many adapters to all instances for `time`.
fn send_requests(world: &mut GatewayWorld, time: Duration) {
    send_requests_each(world, time, REQUEST_INTERVAL);
}

fn send_requests_each(world: &mut GatewayWorld, time: Duration, interval: Duration) {
    let end = world.now.after(time);
    while world.now < end {
        let index = world.random().random_range(0..INSTANCES);
        let adapter = format!("a{}", world.random().random_range(0..20));
        if world.is_up(index) {
            world.request(index, &adapter, 500);
        }
        world.run(interval);
        for server in 0..SERVERS {
            // Servers write their entries every second or so.
            if world.random().random_bool(interval.as_secs_f64().min(1.0)) {
                world.publish_server(server);
            }
        }
    }
}

fn check_servers(world: &GatewayWorld, case: &str) {
    for (index, engine) in world.engines.iter().enumerate() {
        let log = engine.log.join("\n");
        let conflict = &engine.holder_conflict;
        assert_eq!(*conflict, None, "{case}, server {index}\n{log}");
    }
}

/// Number of orders that all servers have accepted.
fn order_count(world: &GatewayWorld) -> u64 {
    let engines = world.engines.iter();
    engines.map(|engine| engine.report().sequence).sum()
}

fn partition(world: &mut GatewayWorld, cut: &[usize]) {
    for index in cut {
        world.nodes[*index].is_partitioned = true;
    }
}

/// Regression test for ONE: instances that had not heard of the others for 20 s no longer counted them, so
/// that each side of a partition was a majority of itself and gave orders.
#[test]
fn both_sides_of_a_long_partition_never_order() {
    for seed in SEEDS {
        for cut in [&[0, 1][..], &[5], &[0, 2, 4]] {
            let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
            send_requests(&mut world, secs(10));
            partition(&mut world, cut);
            send_requests(&mut world, secs(30));
            // Without orders for so long, each side may acquire the leases.
            world.run(secs(60));
            let before = order_count(&world);
            send_requests(&mut world, secs(30));
            check_servers(&world, &format!("seed {seed}, cut {cut:?}"));
            if cut.len() * 2 < INSTANCES {
                let count = order_count(&world) - before;
                assert!(count > 20, "the majority gave {count} orders");
            }
        }
    }
}

/// Processes that take the addresses of killed ones under other names take their place in the quorum.
#[test]
fn replaced_instances_do_not_count_beside_their_successors() {
    let mut world = GatewayWorld::new(2, INSTANCES, SERVERS);
    send_requests(&mut world, secs(10));
    for generation in 0..3 {
        for index in 0..INSTANCES - 1 {
            world.kill(index);
            world.nodes[index].name = format!("m-{generation}-{index}").into();
            world.start(index);
            send_requests(&mut world, secs(6));
        }
    }
    let before = order_count(&world);
    send_requests(&mut world, secs(20));
    assert!(order_count(&world) > before + 10);
}

/// The same with a partition of an hour, which regions may have.
#[test]
fn a_partition_of_an_hour_creates_no_second_scheduler() {
    let mut world = GatewayWorld::new(1, INSTANCES, SERVERS);
    send_requests(&mut world, secs(10));
    partition(&mut world, &[0, 1]);
    world.run(secs(3_500));
    send_requests(&mut world, secs(30));
    check_servers(&world, "an hour");
}

/// A partition may refuse connections, so that the other side looks as if its processes had ended.
#[test]
fn a_partition_that_refuses_connections_creates_no_second_scheduler() {
    for seed in SEEDS {
        for cut in [&[0, 1][..], &[0, 2, 4]] {
            let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
            world.partition_refuses = true;
            send_requests(&mut world, secs(10));
            partition(&mut world, cut);
            send_requests(&mut world, secs(10));
            world.run(secs(20));
            send_requests(&mut world, secs(20));
            check_servers(&world, &format!("seed {seed}, cut {cut:?}"));
        }
    }
}

/// Instances that restart on the smaller side know the others from their settings only.
#[test]
fn instances_that_restart_in_a_partition_do_not_order_alone() {
    for seed in SEEDS {
        for cut in [&[0, 1][..], &[3, 4], &[2]] {
            let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
            send_requests(&mut world, secs(10));
            partition(&mut world, cut);
            send_requests(&mut world, secs(5));
            for index in cut {
                world.kill(*index);
                world.start(*index);
            }
            send_requests(&mut world, secs(60));
            check_servers(&world, &format!("seed {seed}, cut {cut:?}"));
        }
    }
}

/// Regression test for ONE: a process that had started in a partition acquired leases between the orders
/// of instances of which it had never heard.
#[test]
fn unknown_instances_are_noticed_by_their_orders() {
    for seed in SEEDS {
        for cut in [&[0, 1][..], &[3, 4], &[2]] {
            let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
            send_requests(&mut world, secs(10));
            partition(&mut world, cut);
            for index in cut {
                world.kill(*index);
                world.start(*index);
            }
            // Each server gets an order every few seconds.
            send_requests_each(&mut world, secs(120), Duration::from_millis(1_500));
            check_servers(&world, &format!("seed {seed}, cut {cut:?}"));
        }
    }
}

/// Regression test: after a loss of power of all instances, published counts of earlier orders kept the new
/// processes from ordering until they had run for four seconds.
#[test]
fn counts_of_earlier_orders_do_not_delay_a_restart_of_all() {
    for seed in SEEDS {
        let mut world = GatewayWorld::new(seed, INSTANCES, SERVERS);
        send_requests(&mut world, secs(10));
        for index in 0..INSTANCES {
            world.kill(index);
        }
        let restarted = world.now;
        for starting in [0..2, 2..INSTANCES] {
            for index in starting {
                world.start(index);
            }
            for _ in 0..20 {
                world.run(Duration::from_millis(50));
                for server in 0..SERVERS {
                    world.engines[server].order_by_other_instance(world.now);
                    world.publish_server(server);
                }
            }
        }
        for index in 0..INSTANCES {
            let is_regained = |(time, node, event): &(ClockTime, usize, &str)| {
                *node == index && *event == "quorum_regained" && *time >= restarted
            };
            let is_ready = world.events.iter().any(is_regained);
            assert!(is_ready, "seed {seed}, instance {index}");
        }
    }
}

/// After the loss of most instances, the others order again once they know that the rest has stopped.
#[test]
fn the_rest_orders_again_after_most_instances_have_left() {
    let mut world = GatewayWorld::new(3, INSTANCES, SERVERS);
    send_requests(&mut world, secs(10));
    for index in 0..4 {
        world.shut_down(index);
    }
    send_requests(&mut world, secs(5));
    for index in 0..4 {
        world.kill(index);
    }
    send_requests(&mut world, secs(10));
    let before = order_count(&world);
    send_requests(&mut world, secs(20));
    assert!(order_count(&world) > before + 10);
    check_servers(&world, "most have left");
}
