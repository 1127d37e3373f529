//! Team rates: what each instance may admit of a team's fleet-wide rate and burst.

use std::time::Duration;

use super::Reducer;
use crate::{
    clock::ClockTime,
    config::{TeamKey, TeamRate},
    error::ErrorKind,
    limit::RateBucket,
};

/// The buckets of one team on one instance.
#[derive(Clone, Debug)]
pub(super) struct TeamLimits {
    tokens: RateBucket,
    requests: RateBucket,
}

impl TeamLimits {
    fn new(now: ClockTime, rate: &TeamRate, parts: u64) -> TeamLimits {
        TeamLimits {
            tokens: RateBucket::empty(now, rate.tokens_per_second, rate.burst_tokens, parts),
            requests: RateBucket::empty(now, rate.requests_per_second, rate.burst_requests, parts),
        }
    }
}

impl Reducer {
    fn limit_parts(&self) -> u64 {
        self.config().live_instances().count().max(1) as u64
    }

    /// Adds buckets for new teams and resizes the others.
    pub(super) fn resize_limits(&mut self, now: ClockTime) {
        let config = self.config();
        let parts = self.limit_parts();
        for (team, record) in config.teams.iter() {
            let rate = &record.rate;
            match self.limits.get_mut(&team) {
                Some(limits) => {
                    let (tokens, requests) = (&mut limits.tokens, &mut limits.requests);
                    tokens.resize(now, rate.tokens_per_second, rate.burst_tokens, parts);
                    requests.resize(now, rate.requests_per_second, rate.burst_requests, parts);
                }
                None => {
                    self.limits.insert(team, TeamLimits::new(now, rate, parts));
                }
            }
        }
    }

    /// Takes one request and `tokens` tokens from the team's share.
    pub(super) fn take_rate(
        &mut self,
        now: ClockTime,
        team: TeamKey,
        tokens: u64,
    ) -> Result<(), (ErrorKind, Option<Duration>)> {
        if tokens > self.config().teams[team].rate.burst_tokens {
            return Err((ErrorKind::RequestTooLarge, None));
        }
        let Some(limits) = self.limits.get_mut(&team) else {
            return Err((ErrorKind::NotReady, None));
        };
        let exceeded = |wait| Err((ErrorKind::RateExceeded, Some(wait)));
        if let Err(wait) = limits.requests.take(now, 1) {
            return exceeded(wait);
        }
        if let Err(wait) = limits.tokens.take(now, tokens) {
            limits.requests.give_back(now, 1);
            return exceeded(wait);
        }
        Ok(())
    }

    /// Returns tokens that were reserved and not used.
    pub(super) fn give_back_tokens(&mut self, now: ClockTime, team: TeamKey, tokens: u64) {
        if let Some(limits) = self.limits.get_mut(&team) {
            limits.tokens.give_back(now, tokens);
        }
    }

    /// Returns everything taken for a request that did not run.
    pub(super) fn give_back_request(&mut self, now: ClockTime, team: TeamKey, tokens: u64) {
        self.give_back_tokens(now, team, tokens);
        if let Some(limits) = self.limits.get_mut(&team) {
            limits.requests.give_back(now, 1);
        }
    }
}
