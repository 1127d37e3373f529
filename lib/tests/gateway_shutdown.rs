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
