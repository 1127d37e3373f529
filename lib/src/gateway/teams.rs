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
    catalog::{QuotaUnit, TeamRule},
    event::{GatewayEffect, RequestNumber},
    message::PeerCall,
    requests::RequestPhase,
};
use crate::{clock::ClockTime, error::ErrorKind};

/// Peers that one request asks at most.
const MAX_LENDERS: usize = 3;
/// Peers are not asked again for this long after all of them had too little.
const BORROW_PAUSE: Duration = Duration::from_millis(250);

impl GatewayReducer {
    fn team_rule(&self, name: &str) -> Option<TeamRule> {
        let config = self.config()?;
        config.teams.iter().find(|team| team.name == name).cloned()
    }

    fn team_shape(&self, now: ClockTime, team: &TeamRule) -> BucketShape {
        let mut bounds = self.plan.bounds.quota;
        if team.unit == QuotaUnit::Requests {
            bounds.slack = bounds.slack.min(team.burst);
        }
        BucketShape::of_team(team.rate, team.burst, &bounds, self.population(now))
    }

    fn team_bucket(&mut self, now: ClockTime, team: &TeamRule) -> (&mut TeamBucket, BucketShape) {
        let shape = self.team_shape(now, team);
        let first_start = self.plan.first_start;
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
        match bucket.take(now, shape, cost) {
            Ok(()) => self.admitted(now, number, effects),
            Err(wait) => {
                let is_paused = self
                    .borrow_pauses
                    .get(&team.name)
                    .is_some_and(|until| now < *until);
                if is_paused {
                    let kind = ErrorKind::RateExceeded;
                    self.refuse_until(now, number, kind, Some(wait), effects);
                } else {
                    self.choose_lenders(now, number);
                    self.borrow_next(now, number, &team, effects);
                }
            }
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

    fn choose_lenders(&mut self, now: ClockTime, number: RequestNumber) {
        let mut peers: Vec<_> = self.members.alive(now).map(|record| record.peers).collect();
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
        team: &TeamRule,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(record) = self.requests.get_mut(&number) else {
            return;
        };
        let (cost, lender) = (record.cost, record.lenders.pop());
        let (bucket, shape) = self.team_bucket(now, team);
        let wanted = bucket.missing(now, shape, cost);
        let Some(lender) = lender else {
            let wait = Duration::from_secs_f64((wanted / shape.rate.max(1e-9)).min(3_600.0));
            let until = now.after(BORROW_PAUSE);
            self.borrow_pauses.insert(team.name.clone(), until);
            let kind = ErrorKind::RateExceeded;
            self.refuse_until(now, number, kind, Some(wait), effects);
            return;
        };
        let message = PeerCall::Borrow {
            team: team.name.clone(),
            wanted,
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
        if bucket.take(now, shape, cost).is_ok() {
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
