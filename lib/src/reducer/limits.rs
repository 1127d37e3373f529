//! Admission within the fleet-wide rate and burst of a team.
//!
//! A request that exceeds the available allowance is held for a short time while allowance is
//! borrowed or refilled. Requests of a team are admitted in order of arrival.

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

/// Shortest time that a request is held before it is refused.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);
/// A request is held for up to this many times as long as its tokens and those held before it
/// take at the team's rate.
const HOLD_FACTOR: u64 = 3;
/// Longest time that a request is held before it is refused.
const MAX_HOLD_TIME: Duration = Duration::from_secs(8);
/// A request is refused at once if the requests already held take more than this many seconds of
/// the team's rate.
const MAX_HELD_SECONDS: u64 = 3;
/// Interval of requests for the configuration sequence of peers, while shares are inactive.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// A longer gap between events means that the process was paused.
const MAX_EVENT_GAP: Duration = Duration::from_millis(900);

/// Requests of one team that are held until allowance is available.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldQueue {
    requests: VecDeque<RequestNumber>,
    tokens: u64,
}

fn load_limit_rate(config: &ConfigState, key: RegionKey) -> LimitRate {
    let loads = config.regions[key].store_loads_per_second;
    LimitRate {
        tokens: 0,
        burst_tokens: 0,
        requests: loads,
        burst_requests: loads,
    }
}

impl Reducer {
    /// Applies the instances and limits of the current configuration.
    pub(super) fn configure_limits(&mut self, now: ClockTime, previous: &ConfigState) {
        let config = self.config();
        let own = config.instances.key(&self.settings.instance);
        let members: BTreeSet<InstanceKey> = config.live_instances().map(|(key, _)| key).collect();
        let sequence = self.log.sequence();
        self.limits.configure(own, members, sequence);
        let unchanged = previous.instances == config.instances
            && previous.teams == config.teams
            && previous.regions == config.regions;
        if unchanged {
            return;
        }
        let teams = config.teams.iter().map(|(team, record)| {
            let rate = LimitRate::from(record.rate);
            (LimitKey::Team(team), &record.name, rate)
        });
        let regions = config.regions.iter().map(|(region, record)| {
            let rate = load_limit_rate(&config, region);
            (LimitKey::Loads(region), &record.name, rate)
        });
        for (key, name, rate) in teams.chain(regions) {
            self.limits
                .set_limit(now, key, name, rate, &config, sequence);
        }
    }

    /// Suspends limits after a pause of the process, because shares may have moved and loans may
    /// have expired meanwhile.
    pub(super) fn detect_pause(&mut self, now: ClockTime) {
        if now.since(self.last_event) > MAX_EVENT_GAP {
            self.limits.suspend(now);
        }
        self.last_event = now;
    }

    /// Holds a new request until its team's rate allows it.
    ///
    /// The error is the reason for refusing the request at once, with the advised retry delay.
    pub(super) fn hold_request(
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
        let max_held_tokens = rate.tokens_per_second.saturating_mul(MAX_HELD_SECONDS);
        let max_held_requests = rate.requests_per_second.saturating_mul(MAX_HELD_SECONDS);
        if held.tokens > max_held_tokens || held.requests.len() as u64 >= max_held_requests {
            return Err((ErrorKind::RateExceeded, Some(MIN_HOLD_TIME)));
        }
        held.requests.push_back(request);
        held.tokens += tokens;
        let held_tokens = held.tokens;
        let hold_millis = held_tokens.saturating_mul(1_000 * HOLD_FACTOR) / rate.tokens_per_second;
        let hold_time = Duration::from_millis(hold_millis).clamp(MIN_HOLD_TIME, MAX_HOLD_TIME);
        self.set_timer(now.after(hold_time), TimerKind::HoldExpired(request));
        self.admit_held(now, team, effects);
        Ok(())
    }

    /// Admits held requests of a team while allowance lasts, then requests a loan for the next one.
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
                self.request_loan(now, key, missing, effects);
                self.schedule_admission(now, team, amount);
                return;
            }
            self.pop_held(team, tokens);
            self.request_permit(now, request, effects);
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

    /// Removes a request from its team's queue of held requests.
    pub(super) fn remove_held(&mut self, team: TeamKey, request: RequestNumber, tokens: u64) {
        if let Some(held) = self.held.get_mut(&team) {
            held.requests.retain(|held| *held != request);
            held.tokens = held.tokens.saturating_sub(tokens);
        }
    }

    /// Sets the timer for the next attempt to admit held requests of a team.
    fn schedule_admission(&mut self, now: ClockTime, team: TeamKey, amount: LimitAmount) {
        let key = LimitKey::Team(team);
        let mut retry_at = self.limits.next_loan_request(now, key);
        if let Some(wait) = self.limits.time_until_available(now, key, amount) {
            retry_at = retry_at.min(now.after(wait.max(Duration::from_millis(1))));
        }
        self.timers
            .retain(|(_, kind)| *kind != TimerKind::AdmitHeld(team));
        self.set_timer(retry_at, TimerKind::AdmitHeld(team));
    }

    /// Sends a loan request to the next holder.
    pub(super) fn request_loan(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        missing: LimitAmount,
        effects: &mut Vec<Effect>,
    ) {
        let waited = self.longest_held_wait(now, key);
        let Some(request) = self.limits.request_loan(now, key, missing, waited) else {
            return;
        };
        let message = PeerMessage::LimitAsk {
            limit: NamedLimit::new(&self.config(), key),
            number: request.number,
            amount: request.amount,
            minimum: request.minimum,
            waited: request.waited,
            report: request.report,
        };
        self.send(request.holder, message, effects);
    }

    pub(super) fn loan_requested(
        &mut self,
        now: ClockTime,
        borrower: PeerIncarnation,
        limit: &NamedLimit,
        request: &LoanRequest,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.config();
        let answer = match limit.resolve(&config) {
            Some(key) => {
                // The request that has waited longest goes first. Otherwise holders that each
                // reserve allowance for their own requests would wait for each other.
                let reserved = if request.waited > self.longest_held_wait(now, key) {
                    LimitAmount::ZERO
                } else {
                    self.reserved_for_held(key)
                };
                self.limits.lend(
                    now,
                    self.settings.incarnation,
                    borrower,
                    key,
                    request,
                    reserved,
                )
            }
            None => LoanAnswer::NONE,
        };
        let message = PeerMessage::LimitGrant {
            limit: limit.clone(),
            number: request.number,
            amount: answer.amount,
            wait: answer.retry_after,
        };
        self.send(borrower.instance, message, effects);
    }

    /// How long the oldest request held by this instance has waited.
    fn longest_held_wait(&self, now: ClockTime, key: LimitKey) -> Duration {
        let LimitKey::Team(team) = key else {
            return Duration::ZERO;
        };
        let first = self.held.get(&team).and_then(|held| held.requests.front());
        first
            .and_then(|request| self.requests.get(request))
            .map_or(Duration::ZERO, |record| now.since(record.arrived()))
    }

    /// Amount that all requests held by this instance need.
    fn reserved_for_held(&self, key: LimitKey) -> LimitAmount {
        let LimitKey::Team(team) = key else {
            return LimitAmount::ZERO;
        };
        self.held.get(&team).map_or(LimitAmount::ZERO, |held| {
            LimitAmount::from_units(held.tokens, held.requests.len() as u64)
        })
    }

    pub(super) fn loan_received(
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
            LimitKey::Loads(_) => self.step_load_limited_pools(now, effects),
        }
    }

    /// Refunds tokens and requests that were taken from a team's limit but not used.
    pub(super) fn refund(&mut self, now: ClockTime, team: TeamKey, tokens: u64, requests: u64) {
        let amount = LimitAmount::from_units(tokens, requests);
        self.limits.refund(now, LimitKey::Team(team), amount);
    }

    /// Reports spent loans to their holders, and returns loans that expire soon.
    pub(super) fn report_loans(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        let config = self.config();
        for settlement in self.limits.take_settlements(now) {
            let message = PeerMessage::LoanReport {
                limit: NamedLimit::new(&config, settlement.key),
                report: settlement.report,
            };
            self.send(settlement.holder, message, effects);
        }
    }

    /// Activates shares, and requests the configuration sequence of peers while that needs it.
    pub(super) fn update_limits(&mut self, now: ClockTime, effects: &mut Vec<Effect>) {
        self.limits.update(now);
        if !self.limits.needs_peer_sequences(now) || now.since(self.last_hello) < HELLO_INTERVAL {
            return;
        }
        self.last_hello = now;
        self.send_to_all(&PeerMessage::Hello, effects);
    }
}
