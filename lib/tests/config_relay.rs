//! An accepted configuration change takes effect on all instances within eight seconds, even on
//! those that cannot reach the configuration service.

use std::time::Duration;

use wasabistall_lib::{
    clock::ClockTime,
    error::{ErrorKind, RunState},
    event::{CallTarget, CallerRequest},
    key::HashedKey,
};
use wasabistall_testutils::world::{DeploymentPlan, World};

/// Time within which a change must take effect.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(100);

fn plan(instances: usize) -> DeploymentPlan {
    let mut plan = DeploymentPlan::sauti();
    plan.instances = instances;
    plan.teams.truncate(2);
    for team in &mut plan.teams {
        team.adapters = 2;
    }
    plan
}

fn withdraw(world: &mut World, plan: &DeploymentPlan) {
    let key = plan.teams[0].name;
    world.publish(
        1,
        &serde_json::json!([{ "op": "withdraw_key", "key": key }]),
    );
}

/// Runs the world until all instances in `nodes` have applied the log up to `sequence`.
///
/// Returns the time that this took, or `None` if it exceeds the limit.
fn time_to_apply(world: &mut World, nodes: &[usize], sequence: u64) -> Option<Duration> {
    let start = world.now();
    let has_applied = |world: &World, node: usize| {
        world
            .reducer(node)
            .is_some_and(|reducer| reducer.config_log().sequence() >= sequence)
    };
    while world.now().since(start) <= PROPAGATION_LIMIT {
        if nodes.iter().all(|node| has_applied(world, *node)) {
            return Some(world.now().since(start));
        }
        world.run(STEP);
    }
    None
}

fn request(plan: &DeploymentPlan) -> CallerRequest {
    CallerRequest {
        number: 0,
        target: CallTarget::Model(format!("nyota:{}", plan.adapter(0, 0)).into()),
        key: Ok(HashedKey::parse(&plan.key(0))),
        prompt_tokens: 10,
        max_tokens: 10,
        timeout: Duration::from_secs(20),
        idempotency_key: None,
        trace: "".into(),
    }
}

/// Whether a request with the withdrawn key is refused for that reason.
fn is_refused(world: &mut World, plan: &DeploymentPlan, node: usize) -> bool {
    let id = world.request(node, request(plan), 0, 5).unwrap();
    world.run(Duration::from_secs(1));
    let history = world.histories().find(|(other, _)| **other == id);
    matches!(
        history.and_then(|(_, history)| history.refused),
        Some((_, ErrorKind::KeyWithdrawn, RunState::NotRun))
    )
}

#[test]
fn a_withdrawal_read_by_one_instance_reaches_all() {
    for (seed, instances) in [(1, 6), (2, 6), (3, 48)] {
        let plan = plan(instances);
        let mut world = plan.start(seed);
        for node in 1..instances {
            world.set_platform_reachable(node, false);
        }
        withdraw(&mut world, &plan);
        let all: Vec<usize> = (0..instances).collect();
        let time = time_to_apply(&mut world, &all, 2);
        assert!(time.is_some(), "{instances} instances, seed {seed}");
        assert!(is_refused(&mut world, &plan, instances - 1));
    }
}

#[test]
fn an_instance_started_without_the_service_learns_from_peers() {
    let plan = plan(6);
    let mut world = plan.start(4);
    withdraw(&mut world, &plan);
    world.run(PROPAGATION_LIMIT);
    let peers = (1..=6).map(|number| format!("10.0.0.{number}:81").parse().unwrap());
    world.set_seed_peers(peers.collect());
    world.set_platform_reachable(3, false);
    world.start(3);
    assert!(time_to_apply(&mut world, &[3], 2).is_some());
    world.run(Duration::from_secs(4));
    assert!(is_refused(&mut world, &plan, 3));
}

#[test]
fn a_partitioned_instance_catches_up_when_reconnected() {
    let plan = plan(6);
    let mut world = plan.start(5);
    for other in 1..6 {
        world.set_disconnected(0, other, true);
    }
    world.set_platform_reachable(0, false);
    withdraw(&mut world, &plan);
    let others: Vec<usize> = (1..6).collect();
    assert!(time_to_apply(&mut world, &others, 2).is_some());
    assert_eq!(time_to_apply(&mut world, &[0], 2), None);
    for other in 1..6 {
        world.set_disconnected(0, other, false);
    }
    assert!(time_to_apply(&mut world, &[0], 2).is_some());
    assert!(is_refused(&mut world, &plan, 0));
}

#[test]
fn the_configuration_sequence_never_decreases() {
    let plan = plan(6);
    let mut world = plan.start(6);
    withdraw(&mut world, &plan);
    world.run(PROPAGATION_LIMIT);
    let mut highest = [0; 6];
    for step in 0..100 {
        if step == 30 {
            world.pause(2, Duration::from_secs(4));
        }
        world.run(STEP);
        for (node, highest) in highest.iter_mut().enumerate() {
            let sequence = world
                .reducer(node)
                .map_or(0, |reducer| reducer.config_log().sequence());
            assert!(sequence >= *highest, "instance {node} at {:?}", world.now());
            *highest = sequence;
        }
    }
    assert!(world.now() > ClockTime::ZERO);
}
