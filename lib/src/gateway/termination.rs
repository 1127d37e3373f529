//! Ends callers' requests: refusals, disconnected callers and usage accounting.

use std::time::Duration;

use smol_str::ToSmolStr;

use super::{
    GatewayReducer,
    engines::GrantOutcome,
    event::{GatewayEffect, GatewayRefusal, RequestNumber},
    log_event,
    requests::{DEFAULT_RETRY_DELAY, RequestPhase, RequestRecord},
    servers::ServerOutcome,
    shutdown::SHUTDOWN_RETRY_DELAY,
};
use crate::{
    clock::ClockTime,
    config::PriceClass,
    error::ErrorKind,
    usage::{UsageAccount, UsageOutcome},
};

/// Requests with this or a more urgent priority are accounted at the premium price.
const PREMIUM_PRIORITY: u8 = 1;

/// Why a request is refused.
pub(super) struct RefusalReason {
    pub(super) kind: ErrorKind,
    /// When the caller should retry, if known.
    pub(super) retry_after: Option<Duration>,
    /// Inputs of the decision for the log, as `name=value` pairs that each follow a space.
    pub(super) inputs: String,
}

impl GatewayReducer {
    /// Ends a request without a server's response.
    pub(super) fn refuse(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        kind: ErrorKind,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let reason = RefusalReason {
            kind,
            retry_after: None,
            inputs: String::new(),
        };
        self.refuse_for(now, number, reason, effects);
    }

    /// Ends a request without a server's response for the given reason.
    pub(super) fn refuse_for(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        reason: RefusalReason,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let RefusalReason {
            kind,
            retry_after,
            inputs,
        } = reason;
        let Some(mut record) = self.requests.remove(&number) else {
            return;
        };
        self.stats.refusals += 1;
        let was_sent = matches!(record.phase, RequestPhase::Sent(_));
        let may_have_run = record.runs > 0 || was_sent;
        if may_have_run {
            let outcome = if record.started_at.is_some() {
                UsageOutcome::Partial
            } else {
                UsageOutcome::Unknown
            };
            self.count_usage(number, &record, outcome);
        }
        let kind = match kind {
            // `NoServer` and `ShuttingDown` state that the request did not run, so they are used only
            // in that case.
            ErrorKind::NoServer | ErrorKind::DeadlineExceeded if !may_have_run => {
                ErrorKind::NoServer
            }
            ErrorKind::NoServer | ErrorKind::ShuttingDown if may_have_run => ErrorKind::ServerLost,
            kind => kind,
        };
        if !may_have_run
            && record.phase != RequestPhase::AwaitingQuota
            && let Some(team) = &record.team
            && let Some(bucket) = self.team_buckets.get_mut(team)
        {
            bucket.deposit(record.cost);
        }
        let detail = format!(
            "kind={kind:?} route={} service={} sends={} runs={} looks={} held_ms={}{inputs}",
            record.route,
            record.service,
            record.sends,
            record.runs,
            record.failed_selections,
            now.since(record.arrived).as_millis(),
        );
        log_event(effects, "request_refused", &record.request.attempt, &detail);
        let default_retry_delay = match kind {
            ErrorKind::NoServer => Some(DEFAULT_RETRY_DELAY),
            ErrorKind::ShuttingDown => Some(SHUTDOWN_RETRY_DELAY),
            _ => None,
        };
        effects.push(GatewayEffect::Refuse(GatewayRefusal {
            request: number,
            kind,
            retry_after: retry_after.or(default_retry_delay),
            stages: record.stages.take(now, &record.route),
        }));
        self.close_attempt(now, &record, effects);
    }

    /// Accounts a request that a server ran, or may have run, to its team.
    pub(super) fn count_usage(
        &mut self,
        number: RequestNumber,
        record: &RequestRecord,
        outcome: UsageOutcome,
    ) {
        let team = record.team.clone().unwrap_or_default();
        let target = match &record.request.model {
            Some(name) => name.to_smolstr(),
            None => record.service.clone(),
        };
        let price = if record.priority <= PREMIUM_PRIORITY {
            PriceClass::Premium
        } else {
            PriceClass::Standard
        };
        let account = UsageAccount {
            // The platform publishes no owners above teams, so a team is its own owner.
            owner: team.clone(),
            team,
            target,
            price,
        };
        let (prompt, output) = record.request.tokens.unwrap_or_default();
        self.usage.count(number, account, outcome, prompt, output);
    }

    fn close_attempt(
        &mut self,
        now: ClockTime,
        record: &RequestRecord,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let server = match record.phase {
            RequestPhase::Sent(server) => {
                self.servers.record_end(now, server, ServerOutcome::Neutral);
                server
            }
            RequestPhase::AwaitingAdapter(server) => server,
            RequestPhase::AwaitingGrant(server) => {
                // The scheduler may have queued the request, or its grant may be on the way.
                self.release_grant(now, record.grant, server, GrantOutcome::default(), effects);
                return;
            }
            RequestPhase::AwaitingQuota | RequestPhase::Selecting => return,
        };
        if record.has_grant {
            self.release_grant(now, record.grant, server, GrantOutcome::default(), effects);
        }
    }

    pub(super) fn deadline_passed(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.refuse(now, number, ErrorKind::DeadlineExceeded, effects);
    }

    pub(super) fn caller_disconnected(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.remove(&number) {
            log_event(effects, "caller_gone", &record.request.attempt, "");
            if record.runs > 0 || matches!(record.phase, RequestPhase::Sent(_)) {
                self.count_usage(number, &record, UsageOutcome::Partial);
            }
            self.close_attempt(now, &record, effects);
        }
    }
}
