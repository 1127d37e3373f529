//! Property test: no team gets more than its rate and burst across all instances, whatever fails.

use std::time::Duration;

use proptest::{prelude::*, test_runner::Config};
use wasabistall_lib::clock::ClockTime;
use wasabistall_lib::limits::{LimitAmount, LimitRate, LimitTotals};
use wasabistall_testutils::world::{
    DeploymentPlan, LimitObserver, LoadGenerator, NetworkConditions, World,
};

/// A fault injected into the simulated fleet. Times are in milliseconds, losses per mille.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Disconnect(usize, usize),
    Reconnect(usize, usize),
    MessageLoss(u32),
    Isolate(usize),
    PlatformUnreachable(usize),
    PlatformReachable(usize),
    ListInstances(u8),
    RemoveInstance(usize),
    AddInstance(usize),
}

const INSTANCES: usize = 5;

fn arbitrary_fault() -> impl Strategy<Value = Fault> {
    let node = 0..INSTANCES;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        (node.clone(), 100..6_000_u64).prop_map(|(node, millis)| Fault::Pause(node, millis)),
        (node.clone(), node.clone()).prop_map(|(one, other)| Fault::Disconnect(one, other)),
        (node.clone(), node.clone()).prop_map(|(one, other)| Fault::Reconnect(one, other)),
        (0..300_u32).prop_map(Fault::MessageLoss),
        node.clone().prop_map(Fault::Isolate),
        node.clone().prop_map(Fault::PlatformUnreachable),
        node.clone().prop_map(Fault::PlatformReachable),
        any::<u8>().prop_map(Fault::ListInstances),
        node.clone().prop_map(Fault::RemoveInstance),
        node.prop_map(Fault::AddInstance),
    ]
}

fn plan() -> DeploymentPlan {
    let mut plan = DeploymentPlan::sauti();
    plan.instances = INSTANCES;
    plan.data_centres = 2;
    plan.engines = 2;
    plan.services = 1;
    plan.burst_seconds = 1;
    plan.teams.truncate(2);
    for team in &mut plan.teams {
        team.adapters = 3;
        team.tokens_per_second = 1_000;
        team.requests_per_second = 40.0;
    }
    plan
}

/// Version of the configuration that the next patch applies to, and the removed instances.
struct ConfigTracker {
    version: u64,
    removed: Vec<usize>,
}

fn inject_fault(world: &mut World, tracker: &mut ConfigTracker, fault: &Fault) {
    match *fault {
        Fault::Kill(node) => world.kill(node),
        Fault::Restart(node) => {
            if !tracker.removed.contains(&node) {
                world.start(node);
            }
        }
        Fault::Pause(node, millis) => world.pause(node, Duration::from_millis(millis)),
        Fault::Disconnect(one, other) => world.set_disconnected(one, other, true),
        Fault::Reconnect(one, other) => world.set_disconnected(one, other, false),
        Fault::MessageLoss(lost_per_mille) => world.set_network(NetworkConditions {
            max_delay: Duration::from_millis(80),
            lost_per_mille,
            ..NetworkConditions::default()
        }),
        Fault::Isolate(node) => {
            for other in (0..INSTANCES).filter(|other| *other != node) {
                world.set_disconnected(node, other, true);
            }
            world.set_platform_reachable(node, false);
        }
        Fault::PlatformUnreachable(node) => world.set_platform_reachable(node, false),
        Fault::PlatformReachable(node) => world.set_platform_reachable(node, true),
        Fault::ListInstances(bits) => {
            let live: Vec<usize> = (0..INSTANCES)
                .filter(|node| bits >> node & 1 == 1)
                .collect();
            world.set_instance_list(&live, &[]);
        }
        Fault::RemoveInstance(node) => {
            // An instance is removed permanently only after its process has ended.
            if tracker.removed.contains(&node) || tracker.removed.len() + 1 == INSTANCES {
                return;
            }
            world.kill(node);
            let name = format!("i{node}");
            let change = serde_json::json!([{ "op": "remove_instance", "instance": name }]);
            world.publish(tracker.version, &change);
            tracker.version += 1;
            tracker.removed.push(node);
        }
        Fault::AddInstance(node) => {
            // No process runs under the new name, so the shares that move to it stay unused.
            let name = format!("new-{}-{node}", tracker.version);
            let change = serde_json::json!([{
                "op": "add_instance", "instance": name, "data_centre": "d0",
                "caller_address": "10.9.0.1:80", "peer_address": "10.9.0.1:81",
            }]);
            world.publish(tracker.version, &change);
            tracker.version += 1;
        }
    }
}

/// A fault after some time. In quiet times no requests are sent, so that allowance accumulates.
#[derive(Clone, Debug)]
struct Step {
    millis: u64,
    is_quiet: bool,
    fault: Fault,
}

fn arbitrary_step() -> impl Strategy<Value = Step> {
    (50..2_000_u64, any::<bool>(), arbitrary_fault()).prop_map(|(millis, is_quiet, fault)| Step {
        millis,
        is_quiet,
        fault,
    })
}

fn run_schedule(seed: u64, sticky: bool, schedule: &[Step]) -> World {
    let plan = plan();
    let mut world = plan.start(seed);
    let mut load = LoadGenerator::new(&plan);
    load.sticky = sticky;
    let mut tracker = ConfigTracker {
        version: 1,
        removed: Vec::new(),
    };
    for step in schedule {
        let time = Duration::from_millis(step.millis);
        if step.is_quiet {
            world.run(time);
        } else {
            load.send(&mut world, time, |_| {});
        }
        inject_fault(&mut world, &mut tracker, &step.fault);
    }
    load.send(&mut world, Duration::from_secs(2), |_| {});
    world
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5a57_1001),
        ..Config::default()
    })]

    #[test]
    fn no_schedule_overdraws_a_team(
        seed: u64,
        sticky: bool,
        schedule in proptest::collection::vec(arbitrary_step(), 0..14),
    ) {
        let world = run_schedule(seed, sticky, &schedule);
        prop_assert_eq!(world.overdrawn(), vec![(0, 0); 2]);
        for (name, engine) in world.engines() {
            prop_assert_eq!(engine.counts.unloads_in_use, 0, "{}", name);
        }
        for (id, history) in world.histories() {
            if let Some((_, kind, wasabistall_lib::error::RunState::NotRun)) = history.refused {
                prop_assert_eq!(history.runs, 0, "{:?} ran and was refused as {:?}", id, kind);
            }
        }
    }
}

#[test]
fn the_observer_sees_a_team_that_gets_too_much() {
    let rate = LimitRate {
        tokens: 10,
        burst_tokens: 20,
        requests: 10,
        burst_requests: 20,
    };
    let mut observer = LimitObserver::new(rate);
    let totals = |tokens| LimitTotals {
        taken: LimitAmount::from_units(tokens, 1),
        refunded: LimitAmount::ZERO,
    };
    observer.observe(ClockTime::from_millis(0), totals(20));
    observer.observe(ClockTime::from_millis(1_000), totals(30));
    assert!(observer.overdrawn.is_zero());
    observer.observe(ClockTime::from_millis(1_500), totals(36));
    assert_eq!(observer.overdrawn, LimitAmount::from_units(1, 0));
}
