//! Enforces teams' limits across all instances.
//!
//! Up to [`MAX_HOLDERS`] instances hold equal shares of a team's limit. An instance whose share is
//! too small for a request borrows the rest from peers, which deduct what they lend. A loan is
//! granted only once, so a lost answer wastes quota but cannot create any.

use std::time::Duration;

use rand::Rng;
use smol_str::SmolStr;

use super::{
    CallPurpose, GatewayReducer,
    allowance::{BucketShape, TeamBucket},
    catalog::{QuotaUnit, TeamConfig},
    event::{GatewayEffect, RequestNumber},
    message::PeerCall,
    requests::RequestPhase,
    termination::RefusalReason,
};
use crate::{clock::ClockTime, error::ErrorKind};

/// Maximum number of peers that are asked to lend for one request.
const MAX_LENDERS: usize = 4;
/// Maximum number of instances that hold shares of one team's limit: few enough that each share
/// covers several requests, and enough that most of the limit remains when some of them are lost.
const MAX_HOLDERS: usize = 12;
/// Minimum loan, as a multiple of the cost of a request without token counts.
const MIN_LOAN_REQUESTS: f64 = 5.0;
/// Maximum retry delay that a refused caller is given.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// How long an instance asks no peer for a team's quota after those it asked lent too little.
const BORROW_PAUSE: Duration = Duration::from_millis(250);

/// Whether a team's quota covers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QuotaOutlook {
    /// It does, or the team has no limit.
    Covered,
    /// This instance's share does not.
    Exceeded {
        /// Missing units.
        missing: f64,
        /// Number of peers that would be asked to lend them.
        lenders: usize,
        /// Retry delay if they lend too little.
        retry_after: Duration,
    },
}

impl GatewayReducer {
    pub(super) fn team_config(&self, name: &str) -> Option<TeamConfig> {
        let config = self.config()?;
        config.teams.iter().find(|team| team.name == name).cloned()
    }

    /// Number of shares into which a limit is divided.
    fn share_count(&self, now: ClockTime) -> usize {
        self.instance_count(now).min(MAX_HOLDERS)
    }

    fn team_shape(&self, now: ClockTime, team: &TeamConfig) -> BucketShape {
        if !self.members.is_holder(now, &team.name, MAX_HOLDERS) {
            return BucketShape::EMPTY;
        }
        self.share_shape(now, team)
    }

    /// Shape of one share of a team's limit.
    fn share_shape(&self, now: ClockTime, team: &TeamConfig) -> BucketShape {
        let mut bounds = self.options.bounds.quota;
        if team.unit == QuotaUnit::Requests {
            bounds.slack = bounds.slack.min(team.burst);
        }
        BucketShape::for_team(team.rate, team.burst, &bounds, self.share_count(now))
    }

    /// Time in which one share of the limit is refilled by `missing` units.
    pub(super) fn refill_time(&self, now: ClockTime, team: &TeamConfig, missing: f64) -> Duration {
        let shape = self.share_shape(now, team);
        let seconds = missing / shape.rate.max(1e-9);
        Duration::from_secs_f64(seconds.min(MAX_RETRY_DELAY.as_secs_f64()))
    }

    fn team_bucket(&mut self, now: ClockTime, team: &TeamConfig) -> (&mut TeamBucket, BucketShape) {
        let shape = self.team_shape(now, team);
        let first_start = self.options.first_start;
        let bucket = self
            .team_buckets
            .entry(team.name.clone())
            .or_insert_with(|| TeamBucket::new(now, shape, first_start));
        (bucket, shape)
    }

    /// Charges a request to its team's share, borrows what is missing, or refuses the request.
    pub(super) fn take_quota(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        let cost = record.cost;
        let team = record
            .team
            .as_deref()
            .and_then(|team| self.team_config(team));
        let Some(team) = team.filter(|team| team.rate > 0.0) else {
            self.admitted(now, number, effects);
            return;
        };
        let (bucket, shape) = self.team_bucket(now, &team);
        if bucket.take(now, shape, cost) {
            self.admitted(now, number, effects);
            return;
        }
        let missing = bucket.missing(now, shape, cost);
        if self.is_borrowing_paused(now, &team) {
            self.refuse_over_quota(now, number, &team, missing, effects);
        } else {
            self.choose_lenders(now, number, &team);
            self.borrow_next(now, number, &team, effects);
        }
    }

    fn is_borrowing_paused(&self, now: ClockTime, team: &TeamConfig) -> bool {
        let until = self.borrow_pauses.get(&team.name);
        until.is_some_and(|until| now < *until)
    }

    /// Whether this instance's share covers a request of the team, without charging it.
    pub(super) fn quota_outlook(
        &self,
        now: ClockTime,
        team: &TeamConfig,
        cost: f64,
    ) -> QuotaOutlook {
        if team.rate <= 0.0 {
            return QuotaOutlook::Covered;
        }
        let shape = self.team_shape(now, team);
        let mut bucket = self
            .team_buckets
            .get(&team.name)
            .cloned()
            .unwrap_or_else(|| TeamBucket::new(now, shape, self.options.first_start));
        if bucket.take(now, shape, cost) {
            return QuotaOutlook::Covered;
        }
        let missing = bucket.missing(now, shape, cost);
        let lenders = if self.is_borrowing_paused(now, team) {
            0
        } else {
            let holders = self.members.holders(now, &team.name, MAX_HOLDERS);
            holders.len().min(MAX_LENDERS)
        };
        QuotaOutlook::Exceeded {
            missing,
            lenders,
            retry_after: self.refill_time(now, team, missing),
        }
    }

    fn admitted(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.get_mut(&number) {
            record.enter_phase(now, RequestPhase::Selecting);
        }
        self.continue_request(now, number, effects);
    }

    fn choose_lenders(&mut self, now: ClockTime, number: RequestNumber, team: &TeamConfig) {
        let mut peers = self.members.holders(now, &team.name, MAX_HOLDERS);
        let mut lenders = Vec::new();
        while lenders.len() < MAX_LENDERS && !peers.is_empty() {
            lenders.push(peers.swap_remove(self.random.random_range(0..peers.len())));
        }
        if let Some(record) = self.requests.get_mut(&number) {
            record.lenders = lenders;
        }
    }

    fn borrow_next(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        team: &TeamConfig,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let (cost, lender) = (record.cost, record.lenders.pop());
        let (bucket, shape) = self.team_bucket(now, team);
        let wanted = bucket.missing(now, shape, cost);
        let Some(lender) = lender else {
            let until = now.after(BORROW_PAUSE);
            self.borrow_pauses.insert(team.name.clone(), until);
            self.refuse_over_quota(now, number, team, wanted, effects);
            return;
        };
        let message = PeerCall::Borrow {
            team: team.name.clone(),
            wanted: wanted.max(team.default_request_tokens * MIN_LOAN_REQUESTS),
        };
        self.call_peer(lender, message, CallPurpose::Borrow(number), effects);
    }

    /// Refuses a request whose team has used up the quota that this instance can reach; `missing`
    /// units would cover it.
    fn refuse_over_quota(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        team: &TeamConfig,
        missing: f64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        let retry_after = self.refill_time(now, team, missing);
        let (bucket, shape) = (
            self.team_buckets.get(&team.name),
            self.team_shape(now, team),
        );
        let inputs = format!(
            " team={} cost={} missing={missing:.0} wait_ms={} rate={} burst={} config={} \
             level={:.0} share={:.0} shares={}",
            team.name,
            record.cost,
            retry_after.as_millis(),
            team.rate,
            team.burst,
            self.config_version(),
            bucket.map_or(0.0, TeamBucket::level),
            shape.size,
            self.share_count(now),
        );
        let reason = RefusalReason {
            kind: ErrorKind::RateExceeded,
            retry_after: Some(retry_after),
            inputs,
        };
        self.refuse_for(now, number, reason, effects);
    }

    /// Handles the answer to a loan request; `lent` is 0 if the peer lent nothing or failed to
    /// answer.
    pub(super) fn quota_lent(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        lent: f64,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get(&number) else {
            return;
        };
        let cost = record.cost;
        let is_waiting = record.phase == RequestPhase::AwaitingQuota;
        let Some(team) = record
            .team
            .as_deref()
            .and_then(|team| self.team_config(team))
        else {
            return;
        };
        let (bucket, shape) = self.team_bucket(now, &team);
        bucket.deposit(lent);
        if !is_waiting {
            return;
        }
        if bucket.take(now, shape, cost) {
            self.admitted(now, number, effects);
        } else {
            self.borrow_next(now, number, &team, effects);
        }
    }

    /// Lends up to `wanted` units of this instance's share to a peer; returns the units lent.
    pub(super) fn lend_quota(&mut self, now: ClockTime, team: &SmolStr, wanted: f64) -> f64 {
        let Some(team) = self.team_config(team) else {
            return 0.0;
        };
        let (bucket, shape) = self.team_bucket(now, &team);
        bucket.lend(now, shape, wanted)
    }
}
