//! Golden tests: the reducer is deterministic, so the same events give exactly the same effects.

mod common;

use std::time::Duration;

use insta::assert_snapshot;
use wasabistall_lib::{
    engine::{EngineOrder, OrderKind},
    engine::{LoadReport, OrderOutcome, SlotReport},
    error::RunState,
    event::{CallTarget, CallerRequest, Event},
};

use self::common::{ReducerCluster, completion_request, log_entry};

fn load_report(epoch: u64, slots: &[(&str, u32)]) -> LoadReport {
    LoadReport {
        epoch,
        age_ms: 0,
        running: 0,
        fence: 0,
        slots: slots
            .iter()
            .map(|(adapter, version)| SlotReport {
                adapter: (*adapter).into(),
                version: *version,
                active: 0,
            })
            .collect(),
    }
}

/// Reports the load of both servers to all instances.
fn report_load(cluster: &mut ReducerCluster, slots: &[(&str, u32)]) {
    let config = cluster.reducers[0].config();
    for server in ["engine-1", "booking-1"] {
        let server = config.servers.key(server).unwrap();
        for node in 0..cluster.reducers.len() {
            let requested_at = cluster.now;
            let report = Some(load_report(7, slots));
            cluster.deliver(
                node,
                Event::LoadReported {
                    server,
                    requested_at,
                    report,
                },
            );
        }
    }
}

/// Reports the adapter load as done to all instances; those that did not order it ignore it.
fn finish_load(cluster: &mut ReducerCluster) {
    let config = cluster.reducers[0].config();
    let order = EngineOrder {
        server: config.servers.key("engine-1").unwrap(),
        kind: OrderKind::Load,
        adapter: config.adapters.key("clans").unwrap(),
        version: 1,
        fence: 0,
    };
    for node in 0..cluster.reducers.len() {
        cluster.deliver(node, Event::OrderDone(order, OrderOutcome::Done));
    }
}

fn served_session() -> String {
    let mut cluster = ReducerCluster::started(3);
    report_load(&mut cluster, &[]);
    cluster.deliver(0, Event::RequestArrived(completion_request(1)));
    cluster.run(Duration::from_millis(100));
    finish_load(&mut cluster);
    cluster.run(Duration::from_millis(100));
    cluster.deliver(0, Event::ResponseStarted(1));
    cluster.deliver(
        0,
        Event::ResponseFinished {
            request: 1,
            prompt_tokens: Some(9),
            output_tokens: 5,
        },
    );
    let usage = cluster.reducers[0].usage();
    let records = usage.records_after(0, 10);
    cluster.effect_log.push(format!("{records:?}"));
    cluster.take_effect_log()
}

#[test]
fn a_served_request() {
    assert_snapshot!(served_session());
}

#[test]
fn the_same_events_give_the_same_effects() {
    assert_eq!(served_session(), served_session());
}

#[test]
fn a_lost_server_is_retried_only_for_idempotent_calls() {
    let mut cluster = ReducerCluster::started(1);
    report_load(&mut cluster, &[("clans", 1)]);
    cluster.deliver(0, Event::RequestArrived(completion_request(1)));
    let key = cluster.reducers[0].issue_idempotency_key(7).key;
    let confirmation = CallerRequest {
        idempotency_key: Some(key),
        target: CallTarget::Service {
            service: "booking".into(),
            method: "POST".into(),
            path: "/confirmations".into(),
        },
        ..completion_request(2)
    };
    cluster.deliver(0, Event::RequestArrived(confirmation));
    for request in [1, 2] {
        cluster.deliver(
            0,
            Event::ResponseFailed {
                request,
                run: RunState::Unknown,
                output_tokens: 0,
            },
        );
    }
    cluster.run(Duration::from_secs(31));
    assert_snapshot!(cluster.take_effect_log());
}

#[test]
fn a_withdrawn_key_stops_waiting_requests() {
    let mut cluster = ReducerCluster::started(1);
    cluster.deliver(0, Event::RequestArrived(completion_request(1)));
    let changes = serde_json::json!([{ "op": "withdraw_key", "key": "elders-1" }]);
    cluster.deliver(0, Event::LogRead(vec![log_entry(2, 1, &changes)]));
    cluster.deliver(0, Event::RequestArrived(completion_request(2)));
    assert_snapshot!(cluster.take_effect_log());
}
