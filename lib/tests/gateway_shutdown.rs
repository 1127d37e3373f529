//! An instance that shuts down: which requests it accepts, and how it ends the rest.

mod gateway;

use std::{sync::Arc, time::Duration};

use gateway::{
    desk::serving_config,
    instance::{InstanceHarness, dispatched, refused},
};
use insta::assert_snapshot;
use wasabistall_lib::gateway::{
    catalog::PublishedItem,
    event::{AttemptEnd, GatewayEffect, GatewayEvent},
};

/// Grace period of [`InstanceHarness`].
const GRACE: Duration = Duration::from_secs(8);

/// Regression test: requests were accepted for three quarters of the grace period whatever their
/// timeouts were, and cut off at its end.
#[test]
fn no_accepted_request_may_outlast_the_grace_period() {
    for timeout in [500, 1_500, 2_700, 5_000, 20_000].map(Duration::from_millis) {
        let mut harness = InstanceHarness::new(1);
        let mut config = serving_config(2, &[b"key"]);
        for route in &mut config.routes {
            route.timeout = timeout;
        }
        harness.publish("op/config", PublishedItem::Config(Arc::new(config)));
        harness.deadline = None;
        harness.handle(GatewayEvent::ShutdownRequested);
        let stopped = harness.now;
        let mut last_accepted = Duration::ZERO;
        while harness.now.since(stopped) < GRACE {
            let elapsed = harness.now.since(stopped);
            if dispatched(&harness.request("/once/x")).is_some() {
                let is_open = elapsed < Duration::from_secs(3);
                assert!(
                    is_open || elapsed + timeout < GRACE,
                    "{timeout:?} at {elapsed:?}"
                );
                last_accepted = elapsed;
                harness.end(AttemptEnd::Completed { success: true });
            }
            harness.advance(Duration::from_millis(20));
        }
        let expected = GRACE.mul_f64(0.9).saturating_sub(timeout);
        assert!(
            last_accepted >= expected,
            "{timeout:?} until {last_accepted:?}"
        );
    }
}

/// Regression test: requests in progress at the end of the grace period got no answer. Now those that
/// were not sent are refused as not run, and the others promise nothing.
#[test]
fn requests_in_progress_are_answered_at_the_end_of_the_grace_period() {
    let mut harness = InstanceHarness::new(1);
    harness.deadline = Some(Duration::from_secs(20));
    let effects = harness.request("/once/x");
    assert!(dispatched(&effects).is_some());
    let sent = harness.number;
    harness.publish(
        "servers/s-1",
        PublishedItem::Server(gateway::desk::server(1, true)),
    );
    let waiting = harness.request("/safe/x");
    assert_eq!((dispatched(&waiting), refused(&waiting)), (None, None));
    harness.handle(GatewayEvent::ShutdownRequested);
    let effects = harness.handle(GatewayEvent::ShutdownExpired);
    let mut lines = Vec::new();
    for effect in &effects {
        if let GatewayEffect::Refuse(refusal) = effect {
            let name = if refusal.request == sent {
                "sent"
            } else {
                "waiting"
            };
            lines.push(format!(
                "{name}: {:?}, retry after {:?}",
                refusal.kind, refusal.retry_after
            ));
        }
    }
    assert_snapshot!(lines.join("\n"), @r"
    sent: ServerLost, retry after None
    waiting: ShuttingDown, retry after Some(10ms)
    ");
    assert_eq!(harness.reducer.open_requests(), 0);
}
