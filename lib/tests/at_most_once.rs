//! A call that is not idempotent runs at most once, however often the caller repeats it.

mod common;

use std::time::Duration;

use insta::assert_snapshot;
use smol_str::SmolStr;
use wasabistall_lib::{
    engine::LoadReport,
    error::RunState,
    event::{CallTarget, CallerRequest, Event},
};

use self::common::{ReducerCluster, completion_request};

fn confirmation(number: u64, key: Option<SmolStr>) -> CallerRequest {
    CallerRequest {
        target: CallTarget::Service {
            service: "booking".into(),
            method: "POST".into(),
            path: "/confirmations".into(),
        },
        idempotency_key: key,
        ..completion_request(number)
    }
}

fn start_reducers(count: usize) -> ReducerCluster {
    let mut cluster = ReducerCluster::started(count);
    let config = cluster.reducers[0].config();
    let server = config.servers.key("booking-1").unwrap();
    for node in 0..count {
        let report = LoadReport {
            epoch: 1,
            age_ms: 0,
            running: 0,
            fence: 0,
            slots: Vec::new(),
        };
        let requested_at = cluster.now;
        cluster.deliver(
            node,
            Event::LoadReported {
                server,
                requested_at,
                report: Some(report),
            },
        );
    }
    cluster.take_effect_log();
    cluster
}

#[test]
fn a_key_runs_once_and_only_where_it_was_issued() {
    let mut cluster = start_reducers(2);
    let key = Some(cluster.reducers[0].issue_idempotency_key(1).key);
    cluster.deliver(0, Event::RequestArrived(confirmation(1, None)));
    cluster.deliver(
        0,
        Event::RequestArrived(confirmation(2, Some("nonsense".into()))),
    );
    cluster.deliver(1, Event::RequestArrived(confirmation(1, key.clone())));
    cluster.deliver(0, Event::RequestArrived(confirmation(3, key.clone())));
    cluster.deliver(0, Event::RequestArrived(confirmation(4, key.clone())));
    cluster.deliver(
        0,
        Event::ResponseFailed {
            request: 3,
            run: RunState::Unknown,
            output_tokens: 0,
        },
    );
    cluster.deliver(0, Event::RequestArrived(confirmation(5, key.clone())));
    cluster.run(Duration::from_secs(3_700));
    cluster.deliver(0, Event::RequestArrived(confirmation(6, key)));
    assert_snapshot!(cluster.take_effect_log());
}

#[test]
fn a_key_can_be_used_again_when_its_request_did_not_run() {
    let mut cluster = start_reducers(1);
    let key = Some(cluster.reducers[0].issue_idempotency_key(1).key);
    cluster.deliver(0, Event::RequestArrived(confirmation(1, key.clone())));
    for _ in 0..3 {
        cluster.deliver(
            0,
            Event::ResponseFailed {
                request: 1,
                run: RunState::NotRun,
                output_tokens: 0,
            },
        );
        cluster.run(Duration::from_secs(1));
    }
    cluster.deliver(0, Event::RequestArrived(confirmation(2, key)));
    assert_snapshot!(cluster.take_effect_log());
}

#[test]
fn a_later_incarnation_refuses_the_keys_of_an_earlier_one() {
    let cluster = start_reducers(1);
    let key = cluster.reducers[0].issue_idempotency_key(1).key;
    let mut registry = wasabistall_lib::idempotency::KeyRegistry::new("i1".into(), 2_000);
    let claimed = registry.claim(cluster.now, &key);
    assert_eq!(
        claimed,
        Err(wasabistall_lib::error::ErrorKind::IdempotencyKeyElsewhere)
    );
}
