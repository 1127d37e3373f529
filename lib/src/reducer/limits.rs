//! Admission within the team's fleet-wide rate and burst.
//!
//! A request that the rate does not allow at once is held for a short time while allowance is
//! borrowed or refilled. Requests of a team are admitted in the order they came.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use super::{Reducer, TimerKind};
use crate::{
    clock::ClockTime,
    config::{ConfigState, InstanceKey, RegionKey, TeamKey},
    error::ErrorKind,
    event::{Effect, RequestNumber},
    limits::{LimitAmount, LimitKey, LimitRate, LoanAnswer, LoanRequest},
    member::PeerIncarnation,
    message::{NamedLimit, PeerMessage},
};

/// How long a request is held for allowance before it is refused, at least.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);
/// A request is held for up to this many times what its tokens, and those held before it, take at
/// the team's rate.
const HOLD_FACTOR: u64 = 3;
const MAX_HOLD_TIME: Duration = Duration::from_secs(8);
/// Tokens held before a request may amount to this many seconds of the team's rate.
const HOLD_SECONDS: u64 = 3;
/// How often instances are asked which configuration they follow, while that matters.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// A gap between events longer than this means that the process was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(900);

/// Requests of one team that are held for allowance.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldQueue {
    requests: VecDeque<RequestNumber>,
    tokens: u64,
}

fn loads_rate(config: &ConfigState, key: RegionKey) -> LimitRate {
    let loads = config.regions[key].store_loads_per_second;
    LimitRate {
        tokens: 0,
        burst_tokens: 0,
        requests: loads,
        burst_requests: loads,
    }
}

impl Reducer {
    /// Takes in instances, teams and rates of the configuration in force.
    pub(super) fn configure_limits(&mut self, now: ClockTime, before: &ConfigState) {
        let config = self.config();
        let own = config.instances.key(&self.settings.instance);
        let members: BTreeSet<InstanceKey> = config.live_instances().map(|(key, _)| key).collect();
        let sequence = self.log.sequence();
        self.limits.configure(own, members, sequence);
        let unchanged = before.instances == config.instances
            && before.teams == config.teams
            && before.regions == config.regions;
        if unchanged {
            return;
        }
        let teams = config.teams.iter().map(|(team, record)| {
            let rate = LimitRate::from(record.rate);
            (LimitKey::Team(team), &record.name, rate)
        });
        let regions = config.regions.iter().map(|(region, record)| {
            let rate = loads_rate(&config, region);
            (LimitKey::Loads(region), &record.name, rate)
        });
        for (key, name, rate) in teams.chain(regions) {
            self.limits
                .set_limit(now, key, name, rate, &config, sequence);
        }
    }

    /// Notices a pause of the process: whatever was lent or held before may have been replaced.
    pub(super) fn notice_pause(&mut self, now: ClockTime) {
        if now.since(self.last_event) > PAUSE_LIMIT {
            self.limits.suspend(now);
        }
        self.last_event = now;
    }

    /// Holds a new request until its team's rate allows it.
    ///
    /// Returns why it is refused at once, if it is.
    pub(super) fn hold(
        &mut self,
        now: ClockTime,
        request: RequestNumber,
        team: TeamKey,
        tokens: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<(), (ErrorKind, Option<Duration>)> {
        let rate = self.config().teams[team].rate;
        if tokens > rate.burst_tokens {
            return Err((ErrorKind::RequestTooLarge, None));
        }
        let held = self.held.entry(team).or_default();
        let most_tokens = rate.tokens_per_second.saturating_mul(HOLD_SECONDS);
        let most_requests = rate.requests_per_second.saturating_mul(HOLD_SECONDS);
        if held.tokens > most_tokens || held.requests.len() as u64 >= most_requests {
            return Err((ErrorKind::RateExceeded, Some(MIN_HOLD_TIME)));
        }
        held.requests.push_back(request);
        held.tokens += tokens;
        let ahead = held.tokens;
        let hold_millis = ahead.saturating_mul(1_000 * HOLD_FACTOR) / rate.tokens_per_second;
        let hold_time = Duration::from_millis(hold_millis).clamp(MIN_HOLD_TIME, MAX_HOLD_TIME);
        self.set_timer(now.after(hold_time), TimerKind::HoldEnd(request));
        self.admit_held(now, team, effects);
        Ok(())
    }

    /// Admits held requests of a team as far as its allowance goes, and borrows for the rest.
    pub(super) fn admit_held(&mut self, now: ClockTime, team: TeamKey, effects: &mut Vec<Effect>) {
        let key = LimitKey::Team(team);
        loop {
            let Some(held) = self.held.get_mut(&team) else {
                return;
            };
            let Some(request) = held.requests.front().copied() else {
                return;
            };
            let Some(tokens) = self.reserved_tokens(request) else {
                self.pop_held(team, 0);
                continue;
            };
            let amount = LimitAmount::from_units(tokens, 1);
            if let Err(missing) = self.limits.take(now, key, amount) {
                self.borrow(now, key, missing, effects);
                self.plan_admission(now, team, amount);
                return;
            }
            self.pop_held(team, tokens);
            self.ask(now, request, effects);
        }
    }

    fn pop_held(&mut self, team: TeamKey, tokens: u64) {
        if let Some(held) = self.held.get_mut(&team) {
            held.requests.pop_front();
            held.tokens = held.tokens.saturating_sub(tokens);
            if held.requests.is_empty() {
                held.tokens = 0;
            }
        }
    }

    /// Takes a request out of its team's held queue.
    pub(super) fn drop_held(&mut self, team: TeamKey, request: RequestNumber, tokens: u64) {
        if let Some(held) = self.held.get_mut(&team) {
            held.requests.retain(|held| *held != request);
            held.tokens = held.tokens.saturating_sub(tokens);
        }
    }

    /// Plans the next look at a team's held requests.
    fn plan_admission(&mut self, now: ClockTime, team: TeamKey, amount: LimitAmount) {
        let key = LimitKey::Team(team);
        let mut next = self.limits.next_loan_request(now, key);
        if let Some(wait) = self.limits.time_until_available(now, key, amount) {
            next = next.min(now.after(wait.max(Duration::from_millis(1))));
        }
        self.timers
            .retain(|(_, kind)| *kind != TimerKind::Admit(team));
        self.set_timer(next, TimerKind::Admit(team));
    }

    /// Asks the next holder for a loan.
    pub(super) fn borrow(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        missing: LimitAmount,
        effects: &mut Vec<Effect>,
    ) {
        let waited = self.longest_wait(now, key);
        let Some(plan) = self.limits.request_loan(now, key, missing, waited) else {
            return;
        };
        let message = PeerMessage::LimitAsk {
            limit: NamedLimit::new(&self.config(), key),
            number: plan.number,
            amount: plan.amount,
            minimum: plan.minimum,
            waited: plan.waited,
            report: plan.report,
        };
        self.send(plan.holder, message, effects);
    }

    pub(super) fn limit_asked(
        &mut self,
        now: ClockTime,
        borrower: PeerIncarnation,
        limit: &NamedLimit,
        plan: &LoanRequest,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let answer = match limit.resolve(&config) {
            Some(key) => {
                // The request that has waited longest goes first; else holders that each keep
                // a part for their own would wait for one another.
                let reserved = if plan.waited > self.longest_wait(now, key) {
                    LimitAmount::ZERO
                } else {
                    self.reserved_for_held(key)
                };
                self.limits
                    .lend(now, self.settings.life, borrower, key, plan, reserved)
            }
            None => LoanAnswer::NONE,
        };
        let message = PeerMessage::LimitGrant {
            limit: limit.clone(),
            number: plan.number,
            amount: answer.amount,
            wait: answer.retry_after,
        };
        self.send(borrower.instance, message, effects);
    }

    /// How long the first of the requests held here has waited.
    fn longest_wait(&self, now: ClockTime, key: LimitKey) -> Duration {
        let LimitKey::Team(team) = key else {
            return Duration::ZERO;
        };
        let first = self.held.get(&team).and_then(|held| held.requests.front());
        first
            .and_then(|request| self.requests.get(request))
            .map_or(Duration::ZERO, |record| now.since(record.arrived()))
    }

    /// What the requests held here will need.
    fn reserved_for_held(&self, key: LimitKey) -> LimitAmount {
        let LimitKey::Team(team) = key else {
            return LimitAmount::ZERO;
        };
        self.held.get(&team).map_or(LimitAmount::ZERO, |held| {
            LimitAmount::from_units(held.tokens, held.requests.len() as u64)
        })
    }

    pub(super) fn limit_granted(
        &mut self,
        now: ClockTime,
        holder: PeerIncarnation,
        limit: &NamedLimit,
        number: u64,
        answer: LoanAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = limit.resolve(&self.config()) else {
            return;
        };
        self.limits.receive_loan(now, key, holder, number, answer);
        match key {
            LimitKey::Team(team) => self.admit_held(now, team, effects),
            LimitKey::Loads(_) => self.step_starved_pools(now, effects),
        }
    }

    /// Returns tokens that were reserved and not used.
    pub(super) fn give_back(&mut self, now: ClockTime, team: TeamKey, tokens: u64, requests: u64) {
        let amount = LimitAmount::from_units(tokens, requests);
        self.limits.refund(now, LimitKey::Team(team), amount);
    }

    /// Reports to holders what was done with their loans, and returns what expires soon.
    pub(super) fn settle_loans(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let config = self.config();
        for settlement in self.limits.take_settlements(now) {
            let message = PeerMessage::LoanReport {
                limit: NamedLimit::new(&config, settlement.key),
                report: settlement.report,
            };
            self.send(settlement.holder, message, effects);
        }
    }

    /// Lets shares become active, and asks other instances what that needs.
    pub(super) fn update_limits(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        self.limits.update(now);
        if !self.limits.needs_peer_sequences(now) || now.since(self.last_hello) < HELLO_INTERVAL {
            return;
        }
        self.last_hello = now;
        self.send_to_all(&PeerMessage::Hello, effects);
    }
}
