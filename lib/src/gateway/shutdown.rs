//! Which requests an instance accepts while it shuts down, and how it ends the rest.
//!
//! A request that is accepted during the grace period must end before the process does. Only its
//! timeout bounds how long it may take, so it is accepted if that ends in time. Callers whose
//! requests are refused know that they did not run and can go to another instance at once.

use std::time::Duration;

use super::{
    GatewayReducer,
    catalog::RetryPolicy,
    event::{GatewayEffect, RequestNumber},
    log_event,
    members::MemberPhase,
};
use crate::{clock::ClockTime, error::ErrorKind};

/// Fraction of the grace period after which the requests in progress are ended.
pub const END_GRACE_FRACTION: f64 = 0.94;
/// Fraction of the grace period during which streams are accepted. Other requests are also accepted
/// later if they end in time.
const STREAM_GRACE_FRACTION: f64 = 0.34;
/// Time during which requests with any timeout are accepted, if streams are. Callers learn of a
/// shutdown from the addresses within this time.
const MAX_OPEN_TIME: Duration = Duration::from_secs(3);
/// Retry delay that an instance gives while it shuts down; the caller can retry at another one
/// almost immediately.
pub(super) const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(10);

impl GatewayReducer {
    pub(super) fn shutdown_requested(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        self.leaving_since.get_or_insert(now);
        self.members.local_mut().phase = MemberPhase::Leaving;
        self.gossip(now, effects);
    }

    /// Whether the instance is shutting down and might end before a request that may take `timeout`.
    pub(super) fn is_closed_to(
        &self,
        now: ClockTime,
        retry: RetryPolicy,
        timeout: Duration,
    ) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let elapsed = now.since(since);
        let grace = self.options.grace_period;
        let stream_time = grace.mul_f64(STREAM_GRACE_FRACTION);
        if retry.is_stream() && elapsed >= stream_time {
            return true;
        }
        let ends_in_time = elapsed + timeout < grace.mul_f64(END_GRACE_FRACTION);
        elapsed >= stream_time.min(MAX_OPEN_TIME) && !ends_in_time
    }

    /// Ends the requests that are still in progress shortly before the process ends, so that their
    /// callers learn whether they may have run.
    pub(super) fn shutdown_expired(&mut self, now: ClockTime, effects: &mut Vec<GatewayEffect>) {
        let open: Vec<RequestNumber> = self.requests.keys().copied().collect();
        let detail = format!("requests={}", open.len());
        log_event(effects, "shutdown_expired", "", &detail);
        for number in open {
            self.refuse(now, number, ErrorKind::ShuttingDown, effects);
        }
    }
}
