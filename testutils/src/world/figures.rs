//! Figures of a run: load stalls, batch efficiency, the worst-served team, wrongful refusals.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;
use wasabistall_lib::{
    clock::ClockTime,
    error::{ErrorKind, RunState},
    limits::{LimitRate, LimitTotals},
};

use super::{DeploymentPlan, LimitObserver, RequestHistory, RequestId, World};

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered whole.
    pub answered: usize,
    /// Refusals of requests that were inside their team's rate.
    pub wrongful: usize,
    /// The same as a part of all requests inside their team's rate.
    pub wrongful_share: f64,
    /// Of these, refusals for the rate itself.
    pub wrongful_rate: usize,
    /// Requests whose adapter no server had when they arrived.
    pub stalls: usize,
    /// Of these, first requests ever for their adapter, which only a load can serve.
    pub first_stalls: usize,
    /// Stalls as a part of the answered requests.
    pub stall_share: f64,
    /// Sum of the time that these waited, in seconds.
    pub stall_seconds: f64,
    /// Adapter loads.
    pub loads: u64,
    /// Time of all requests on idle engines, as a part of the time that they took.
    pub batch_efficiency: f64,
    /// Tokens of the worst-served team, as a part of what it was entitled to.
    pub worst_team: f64,
    /// 95th percentile of the worst team's wait, as a multiple of the median team's.
    pub worst_wait: f64,
    /// 95th percentile of the wait of all answered requests, in milliseconds.
    pub wait_p95_ms: f64,
    /// Tokens over rate and burst.
    pub overdrawn: u64,
    /// Requests refused as not run that did run.
    pub broken_promises: usize,
    /// Adapters that were evicted in use.
    pub evicted_in_use: u64,
    /// Engines that fell over.
    pub crashes: u64,
    /// Loads that the store refused.
    pub store_refusals: u64,
    /// Messages of an instance a second.
    pub messages: f64,
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let position = (sorted.len() as f64 * part) as usize;
    sorted
        .get(position.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn wait(history: &RequestHistory) -> Option<Duration> {
    history.answered?;
    Some(history.sent?.since(history.arrived))
}

/// Teams that asked for no more than their rate.
///
/// Which requests of the others are refused is a matter of order; they are judged by their
/// part of what they were entitled to.
fn modest_teams(
    plan: &DeploymentPlan,
    histories: &[&RequestHistory],
    time: Duration,
) -> BTreeSet<usize> {
    let mut offered: BTreeMap<usize, f64> = BTreeMap::new();
    for history in histories {
        *offered.entry(history.team).or_default() += history.tokens as f64;
    }
    let rate = |team: usize| plan.teams[team].tokens_per_second as f64;
    offered
        .into_iter()
        .filter(|(team, tokens)| *tokens <= rate(*team) * time.as_secs_f64())
        .map(|(team, _)| team)
        .collect()
}

/// Collects the figures of the requests `sent` during `time`.
pub fn collect(
    world: &World,
    plan: &DeploymentPlan,
    sent: &BTreeSet<RequestId>,
    time: Duration,
) -> RunFigures {
    let histories: Vec<&RequestHistory> = world
        .histories()
        .filter(|(id, _)| sent.contains(id))
        .map(|(_, history)| history)
        .collect();
    let answered: Vec<&&RequestHistory> = histories
        .iter()
        .filter(|history| history.answered.is_some())
        .collect();
    let modest = modest_teams(plan, &histories, time);
    let is_inside =
        |history: &&&RequestHistory| history.within_rate && modest.contains(&history.team);
    let is_wrongful = |history: &&&RequestHistory| is_inside(history) && history.refused.is_some();
    let inside = histories.iter().filter(is_inside).count();
    let wrongful = histories.iter().filter(is_wrongful).count();
    let for_rate = |history: &&&RequestHistory| {
        is_wrongful(history)
            && history
                .refused
                .is_some_and(|(_, kind, _)| kind == ErrorKind::RateExceeded)
    };
    let stalled: Vec<&&&RequestHistory> = answered.iter().filter(|history| history.cold).collect();
    let stall_seconds = stalled
        .iter()
        .filter_map(|history| wait(history))
        .map(|wait| wait.as_secs_f64())
        .sum();
    let mut waits: Vec<f64> = answered
        .iter()
        .filter_map(|history| wait(history))
        .map(|wait| wait.as_secs_f64() * 1_000.0)
        .collect();
    waits.sort_by(f64::total_cmp);
    let engines: Vec<_> = world.engines().map(|(_, engine)| engine.counts).collect();
    let busy: f64 = engines.iter().map(|counts| counts.busy.as_secs_f64()).sum();
    let ideal: f64 = engines
        .iter()
        .map(|counts| counts.ideal.as_secs_f64())
        .sum();
    let (worst_team, worst_wait) = fairness(plan, &histories, time);
    let is_broken = |history: &&&RequestHistory| {
        matches!(history.refused, Some((_, _, RunState::NotRun))) && history.runs > 0
    };
    RunFigures {
        requests: histories.len(),
        answered: answered.len(),
        wrongful,
        wrongful_share: ratio(wrongful as f64, inside as f64),
        wrongful_rate: histories.iter().filter(for_rate).count(),
        stalls: stalled.len(),
        first_stalls: first_stalls(world, sent),
        stall_share: ratio(stalled.len() as f64, answered.len() as f64),
        stall_seconds,
        loads: engines.iter().map(|counts| counts.loads).sum(),
        batch_efficiency: ratio(ideal, busy),
        worst_team,
        worst_wait,
        wait_p95_ms: quantile(&waits, 0.95),
        overdrawn: world.overdrawn().iter().map(|(tokens, _)| *tokens).sum(),
        broken_promises: histories.iter().filter(is_broken).count(),
        evicted_in_use: engines.iter().map(|counts| counts.unloads_in_use).sum(),
        crashes: engines.iter().map(|counts| counts.crashes).sum(),
        store_refusals: world.store_refusals,
        messages: world.messages() as f64
            / plan.instances as f64
            / world.now().since(ClockTime::ZERO).as_secs_f64(),
    }
}

/// Stalled requests that are the first ever for their adapter.
fn first_stalls(world: &World, sent: &BTreeSet<RequestId>) -> usize {
    let mut all: Vec<(&RequestId, &RequestHistory)> = world.histories().collect();
    all.sort_by_key(|(_, history)| history.arrived);
    let mut seen = BTreeSet::new();
    let mut count = 0;
    for (id, history) in all {
        let is_first = seen.insert(&history.adapter);
        let stalled = history.cold && history.answered.is_some();
        count += usize::from(is_first && stalled && sent.contains(id));
    }
    count
}

/// Share of its entitlement and relative wait of the worst-served team.
fn fairness(plan: &DeploymentPlan, histories: &[&RequestHistory], time: Duration) -> (f64, f64) {
    let mut offered: BTreeMap<usize, f64> = BTreeMap::new();
    let mut served: BTreeMap<usize, f64> = BTreeMap::new();
    let mut waits: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for history in histories {
        *offered.entry(history.team).or_default() += history.tokens as f64;
        if let Some(wait) = wait(history) {
            *served.entry(history.team).or_default() += history.tokens as f64;
            waits
                .entry(history.team)
                .or_default()
                .push(wait.as_secs_f64());
        }
    }
    let entitled = |team: usize| {
        let rate = plan.teams[team].tokens_per_second as f64;
        offered[&team].min(rate * time.as_secs_f64())
    };
    let worst = offered
        .keys()
        .map(|team| ratio(served.get(team).copied().unwrap_or(0.0), entitled(*team)))
        .fold(f64::INFINITY, f64::min);
    // A team over its rate waits for its own allowance; that is no measure of fairness.
    let modest = modest_teams(plan, histories, time);
    let mut tails: Vec<f64> = waits
        .iter_mut()
        .filter(|(team, _)| modest.contains(team))
        .map(|(_, waits)| {
            waits.sort_by(f64::total_cmp);
            quantile(waits, 0.95)
        })
        .collect();
    tails.sort_by(f64::total_cmp);
    let median = quantile(&tails, 0.5);
    (worst, ratio(tails.last().copied().unwrap_or(0.0), median))
}

/// Wrongful refusals of a static split of each rate over the instances, for the same arrivals.
pub fn static_split_wrongful(
    world: &World,
    plan: &DeploymentPlan,
    sent: &BTreeSet<RequestId>,
    time: Duration,
) -> f64 {
    let rate_of = |team: usize, parts: u64| {
        let tokens = plan.teams[team].tokens_per_second;
        LimitRate {
            tokens: tokens / parts,
            burst_tokens: tokens * plan.burst_seconds / parts,
            requests: (tokens / 50).max(1) / parts,
            burst_requests: (tokens / 50).max(1) * plan.burst_seconds / parts,
        }
    };
    let parts = plan.instances as u64;
    let mut arrivals: Vec<(&RequestId, &RequestHistory)> = world
        .histories()
        .filter(|(id, _)| sent.contains(id))
        .collect();
    arrivals.sort_by_key(|(_, history)| history.arrived);
    let histories: Vec<&RequestHistory> = arrivals.iter().map(|(_, history)| *history).collect();
    let modest = modest_teams(plan, &histories, time);
    let mut whole: BTreeMap<usize, LimitObserver> = BTreeMap::new();
    let mut split: BTreeMap<(usize, usize), LimitObserver> = BTreeMap::new();
    let mut totals: BTreeMap<(usize, usize), LimitTotals> = BTreeMap::new();
    let (mut inside, mut wrongful) = (0_usize, 0_usize);
    for (id, history) in arrivals {
        let now = history.arrived;
        let key = (history.team, id.node);
        let bucket = split
            .entry(key)
            .or_insert_with(|| LimitObserver::new(rate_of(history.team, parts)));
        let admitted = bucket.allows(now, history.tokens);
        let observer = whole
            .entry(history.team)
            .or_insert_with(|| LimitObserver::new(rate_of(history.team, 1)));
        let within = observer.allows(now, history.tokens) && modest.contains(&history.team);
        inside += usize::from(within);
        wrongful += usize::from(within && !admitted);
        if admitted {
            let amount = wasabistall_lib::limits::LimitAmount::from_units(history.tokens, 1);
            let own = totals.entry(key).or_default();
            own.taken = own.taken.saturating_add(amount);
            split.get_mut(&key).unwrap().observe(now, *own);
            let sums = totals
                .iter()
                .filter(|((team, _), _)| *team == history.team)
                .fold(LimitTotals::default(), |mut sums, (_, totals)| {
                    sums.taken = sums.taken.saturating_add(totals.taken);
                    sums
                });
            whole.get_mut(&history.team).unwrap().observe(now, sums);
        }
    }
    ratio(wrongful as f64, inside as f64)
}
