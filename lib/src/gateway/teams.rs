//! Admission within a team's limit over all instances.
//!
//! Each instance has a part of each limit. What is missing there for a request is borrowed from
//! peers, who give up what they lend: loans are never made twice, and lost answers waste
//! allowance but cannot create any.

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
};
use crate::{clock::ClockTime, error::ErrorKind};

/// Peers that one request asks at most.
const MAX_LENDERS: usize = 4;
/// Instances that hold parts of one team's limit: few enough that each part carries several
/// requests, and enough that the loss of some leaves most of the limit.
const MAX_HOLDERS: usize = 12;
/// Least that is borrowed, in units of the limit, as a multiple of a request without token counts.
const LEAST_LOAN: f64 = 5.0;
/// Longest time after which a refused caller is told to come back.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Peers are not asked again for this long after all of them had too little.
const BORROW_PAUSE: Duration = Duration::from_millis(250);

impl GatewayReducer {
    fn team_rule(&self, name: &str) -> Option<TeamConfig> {
        let config = self.config()?;
        config.teams.iter().find(|team| team.name == name).cloned()
    }

    /// Parts into which limits are divided.
    fn parts(&self, now: ClockTime) -> usize {
        self.instance_count(now).min(MAX_HOLDERS)
    }

    fn team_shape(&self, now: ClockTime, team: &TeamConfig) -> BucketShape {
        if !self.members.is_holder(now, &team.name, MAX_HOLDERS) {
            return BucketShape::EMPTY;
        }
        let mut bounds = self.options.bounds.quota;
        if team.unit == QuotaUnit::Requests {
            bounds.slack = bounds.slack.min(team.burst);
        }
        BucketShape::of_team(team.rate, team.burst, &bounds, self.parts(now))
    }

    /// Time until a part of the limit gains `missing`.
    fn wait_for(&self, now: ClockTime, team: &TeamConfig, missing: f64) -> Duration {
        let seconds = missing * self.parts(now) as f64 / team.rate.max(1e-9);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
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

    /// Takes a request's cost from its team's limit, borrows what is missing, or refuses it.
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
        let team = record.team.as_deref().and_then(|team| self.team_rule(team));
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
        let is_paused = self
            .borrow_pauses
            .get(&team.name)
            .is_some_and(|until| now < *until);
        if is_paused {
            let wait = self.wait_for(now, &team, missing);
            let kind = ErrorKind::RateExceeded;
            self.refuse_until(now, number, kind, Some(wait), effects);
        } else {
            self.choose_lenders(now, number, &team);
            self.borrow_next(now, number, &team, effects);
        }
    }

    fn admitted(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(record) = self.requests.get_mut(&number) {
            record.phase = RequestPhase::Choosing;
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
            let wait = self.wait_for(now, team, wanted);
            let until = now.after(BORROW_PAUSE);
            self.borrow_pauses.insert(team.name.clone(), until);
            let kind = ErrorKind::RateExceeded;
            self.refuse_until(now, number, kind, Some(wait), effects);
            return;
        };
        let message = PeerCall::Borrow {
            team: team.name.clone(),
            wanted: wanted.max(team.default_request_tokens * LEAST_LOAN),
        };
        self.call_peer(lender, message, CallPurpose::Borrow(number), effects);
    }

    /// A peer lent a part of its allowance, or nothing.
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
        let is_waiting = record.phase == RequestPhase::Admitting;
        let Some(team) = record.team.as_deref().and_then(|team| self.team_rule(team)) else {
            return;
        };
        let (bucket, shape) = self.team_bucket(now, &team);
        bucket.give_back(lent);
        if !is_waiting {
            return;
        }
        if bucket.take(now, shape, cost) {
            self.admitted(now, number, effects);
        } else {
            self.borrow_next(now, number, &team, effects);
        }
    }

    /// A peer asks for a part of this instance's allowance.
    pub(super) fn lend_quota(&mut self, now: ClockTime, team: &SmolStr, wanted: f64) -> f64 {
        let Some(team) = self.team_rule(team) else {
            return 0.0;
        };
        let (bucket, shape) = self.team_bucket(now, &team);
        bucket.lend(now, shape, wanted)
    }
}
