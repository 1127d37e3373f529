//! Times of requests in the stages before they are sent. A stage that is missing or counted twice
//! would hide where requests wait.

mod gateway;

use std::{collections::BTreeMap, time::Duration};

use gateway::{
    desk::server,
    instance::{InstanceHarness, dispatched, refused},
    world::GatewayWorld,
};
use wasabistall_lib::gateway::{
    catalog::PublishedItem,
    event::AttemptEnd,
    stages::{RequestStage, StageTimes},
};

/// Stages with their times in milliseconds.
fn stage_millis(stages: &StageTimes) -> Vec<(&'static str, u128)> {
    let times = stages.times.iter();
    times
        .map(|(stage, time)| (stage.name(), time.as_millis()))
        .collect()
}

#[test]
fn a_request_that_waits_for_a_server_spends_the_time_in_selection() {
    let mut harness = InstanceHarness::new(0);
    assert_eq!(dispatched(&harness.request("/once/x")), None);
    harness.advance(Duration::from_millis(100));
    harness.publish("servers/s-1", PublishedItem::Server(server(1, false)));
    let effects = harness.advance(Duration::from_millis(200));
    let dispatch = dispatched(&effects).expect("the request is sent");
    assert_eq!(dispatch.stages.route, "/once/");
    let waited = dispatch.waited.expect("a first send").as_millis();
    assert!(waited > 100);
    assert_eq!(
        stage_millis(&dispatch.stages),
        [("quota", 0), ("selection", waited)]
    );
}

/// The time at a server belongs to no stage before the next send, and the stages before the first
/// send are not counted again.
#[test]
fn stages_of_a_repeated_send_begin_when_the_attempt_ended() {
    let mut harness = InstanceHarness::new(3);
    harness.request("/safe/x");
    harness.advance(Duration::from_millis(400));
    let effects = harness.end(AttemptEnd::Broken);
    let dispatch = dispatched(&effects).expect("the request is sent again");
    assert_eq!(stage_millis(&dispatch.stages), [("selection", 0)]);
}

#[test]
fn a_refusal_has_the_stages_before_it() {
    let mut harness = InstanceHarness::new(0);
    let mut effects = harness.request("/once/x");
    effects.extend(harness.advance(Duration::from_millis(3_100)));
    let refusal = refused(&effects).expect("the request is refused");
    assert_eq!(refusal.stages.route, "/once/");
    let stages = stage_millis(&refusal.stages);
    assert_eq!(stages.len(), 2);
    assert!(
        stages[1].0 == "selection" && stages[1].1 >= 700,
        "{stages:?}"
    );
    // It waited for nothing after it was sent.
    let mut sent = InstanceHarness::new(1);
    sent.request("/once/x");
    let refusal = refused(&sent.end(AttemptEnd::Broken)).expect("the request is refused");
    assert_eq!(stage_millis(&refusal.stages), [("selection", 0)]);
    let unknown = refused(&sent.request("/nowhere/x")).expect("the request is refused");
    assert_eq!(unknown.stages, StageTimes::default());
}

/// Requests for adapters that have to be loaded wait for grants and adapters, on the instance that
/// schedules the server as well as on the others.
#[test]
fn requests_for_adapters_pass_all_stages() {
    let mut world = GatewayWorld::new(1, 3, 2);
    world.run(Duration::from_secs(6));
    for step in 0..30 {
        world.request(step % 3, &format!("a{}", step % 10), 200);
        world.run(Duration::from_millis(200));
    }
    world.run(Duration::from_secs(3));
    let mut longest: BTreeMap<&str, Duration> = BTreeMap::new();
    for (stage, time) in world.stage_table.sends.iter().flat_map(|send| &send.times) {
        let longest = longest.entry(stage.name()).or_default();
        *longest = (*longest).max(*time);
    }
    let stages = [
        RequestStage::Quota,
        RequestStage::Selection,
        RequestStage::Grant,
        RequestStage::Adapter,
    ];
    for stage in stages {
        let time = longest.get(stage.name()).copied();
        assert!(time.is_some(), "{stage:?} of {longest:?}");
    }
    // A grant of another instance takes a round trip, and a load takes a quarter of a second.
    assert!(longest["grant"] >= Duration::from_millis(2), "{longest:?}");
    assert!(
        longest["adapter"] >= Duration::from_millis(200),
        "{longest:?}"
    );
}
