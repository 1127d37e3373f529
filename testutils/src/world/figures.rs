//! Figures of a simulation run: load stalls, batch efficiency, fairness, wrongful refusals.

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
    /// Requests with a complete response.
    pub answered: usize,
    /// Refusals of requests that the rate limit of their team allowed.
    pub wrongful: usize,
    /// These refusals as a fraction of all requests that the rate limits allowed.
    pub wrongful_share: f64,
    /// Wrongful refusals whose reason was the rate limit.
    pub wrongful_rate: usize,
    /// Answered requests whose adapter was loaded on no server when they arrived.
    pub stalls: usize,
    /// Stalls of the first request for an adapter, which no cache can avoid.
    pub first_stalls: usize,
    /// Stalls as a fraction of the answered requests.
    pub stall_share: f64,
    /// Total waiting time of the stalled requests, in seconds.
    pub stall_seconds: f64,
    /// Adapter loads, warm-up included.
    pub loads: u64,
    /// Time of all requests on idle engines, as a fraction of the time that they took.
    pub batch_efficiency: f64,
    /// Smallest fraction of its entitlement that a team was served, in tokens. The entitlement is
    /// what the team requested, up to its rate.
    pub worst_team: f64,
    /// Largest 95th percentile of the wait among the teams within their rate, as a multiple of the
    /// median one.
    pub worst_wait: f64,
    /// 95th percentile of the wait of all answered requests, in milliseconds.
    pub wait_p95_ms: f64,
    /// Tokens admitted beyond rate and burst, summed over the teams.
    pub overdrawn: u64,
    /// Requests that were refused as not run although they started on a server.
    pub broken_promises: usize,
    /// Adapters unloaded while requests used them.
    pub evicted_in_use: u64,
    /// Engine crashes.
    pub crashes: u64,
    /// Adapter loads refused by the rate limit of the store.
    pub store_refusals: u64,
    /// Messages sent by an instance per second, on average.
    pub messages: f64,
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let position = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(position.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 0.0 }
}

fn wait(history: &RequestHistory) -> Option<Duration> {
    history.answered?;
    Some(history.sent?.since(history.arrived))
}

/// Teams that requested no more than their rate during `time`.
///
/// Which requests of the other teams are refused depends on the order of arrival, so their refusals
/// do not count as wrongful; `worst_team` measures them by their entitlement instead.
fn teams_within_rate(
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

/// Computes the figures of the requests in `sent`, which were sent over `time`.
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
    let compliant_teams = teams_within_rate(plan, &histories, time);
    let is_admissible =
        |history: &&&RequestHistory| history.within_rate && compliant_teams.contains(&history.team);
    let is_wrongful =
        |history: &&&RequestHistory| is_admissible(history) && history.refused.is_some();
    let admissible = histories.iter().filter(is_admissible).count();
    let wrongful = histories.iter().filter(is_wrongful).count();
    let is_rate_refusal = |history: &&&RequestHistory| {
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
    let is_misreported = |history: &&&RequestHistory| {
        matches!(history.refused, Some((_, _, RunState::NotRun))) && history.runs > 0
    };
    RunFigures {
        requests: histories.len(),
        answered: answered.len(),
        wrongful,
        wrongful_share: ratio(wrongful as f64, admissible as f64),
        wrongful_rate: histories.iter().filter(is_rate_refusal).count(),
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
        broken_promises: histories.iter().filter(is_misreported).count(),
        evicted_in_use: engines.iter().map(|counts| counts.unloads_in_use).sum(),
        crashes: engines.iter().map(|counts| counts.crashes).sum(),
        store_refusals: world.store_refusals,
        messages: world.messages() as f64
            / plan.instances as f64
            / world.now().since(ClockTime::ZERO).as_secs_f64(),
    }
}

/// Number of stalled requests that are the first for their adapter since the start.
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

/// `worst_team` and `worst_wait` of [`RunFigures`].
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
    let entitlement = |team: usize| {
        let rate = plan.teams[team].tokens_per_second as f64;
        offered[&team].min(rate * time.as_secs_f64())
    };
    let worst = offered
        .keys()
        .map(|team| ratio(served.get(team).copied().unwrap_or(0.0), entitlement(*team)))
        .fold(f64::INFINITY, f64::min);
    // A team over its rate waits for its own rate limit, which says nothing about fairness.
    let compliant_teams = teams_within_rate(plan, histories, time);
    let mut p95_waits: Vec<f64> = waits
        .iter_mut()
        .filter(|(team, _)| compliant_teams.contains(team))
        .map(|(_, waits)| {
            waits.sort_by(f64::total_cmp);
            quantile(waits, 0.95)
        })
        .collect();
    p95_waits.sort_by(f64::total_cmp);
    let median = quantile(&p95_waits, 0.5);
    (
        worst,
        ratio(p95_waits.last().copied().unwrap_or(0.0), median),
    )
}

/// Wrongful refusals for the same arrivals if each rate were split evenly over the instances, as a
/// fraction of the requests that the rate limits allowed.
pub fn static_split_wrongful(
    world: &World,
    plan: &DeploymentPlan,
    sent: &BTreeSet<RequestId>,
    time: Duration,
) -> f64 {
    let rate_of = |team: usize, instances: u64| {
        let tokens = plan.teams[team].tokens_per_second;
        LimitRate {
            tokens: tokens / instances,
            burst_tokens: tokens * plan.burst_seconds / instances,
            requests: (tokens / 50).max(1) / instances,
            burst_requests: (tokens / 50).max(1) * plan.burst_seconds / instances,
        }
    };
    let instances = plan.instances as u64;
    let mut arrivals: Vec<(&RequestId, &RequestHistory)> = world
        .histories()
        .filter(|(id, _)| sent.contains(id))
        .collect();
    arrivals.sort_by_key(|(_, history)| history.arrived);
    let histories: Vec<&RequestHistory> = arrivals.iter().map(|(_, history)| *history).collect();
    let compliant_teams = teams_within_rate(plan, &histories, time);
    let mut fleet_buckets: BTreeMap<usize, LimitObserver> = BTreeMap::new();
    let mut split_buckets: BTreeMap<(usize, usize), LimitObserver> = BTreeMap::new();
    let mut totals: BTreeMap<(usize, usize), LimitTotals> = BTreeMap::new();
    let (mut admissible, mut wrongful) = (0_usize, 0_usize);
    for (id, history) in arrivals {
        let now = history.arrived;
        let key = (history.team, id.node);
        let split_bucket = split_buckets
            .entry(key)
            .or_insert_with(|| LimitObserver::new(rate_of(history.team, instances)));
        let admitted = split_bucket.allows(now, history.tokens);
        let fleet_bucket = fleet_buckets
            .entry(history.team)
            .or_insert_with(|| LimitObserver::new(rate_of(history.team, 1)));
        let is_admissible =
            fleet_bucket.allows(now, history.tokens) && compliant_teams.contains(&history.team);
        admissible += usize::from(is_admissible);
        wrongful += usize::from(is_admissible && !admitted);
        if admitted {
            let amount = wasabistall_lib::limits::LimitAmount::from_units(history.tokens, 1);
            let own = totals.entry(key).or_default();
            own.taken = own.taken.saturating_add(amount);
            split_buckets.get_mut(&key).unwrap().observe(now, *own);
            let sums = totals
                .iter()
                .filter(|((team, _), _)| *team == history.team)
                .fold(LimitTotals::default(), |mut sums, (_, totals)| {
                    sums.taken = sums.taken.saturating_add(totals.taken);
                    sums
                });
            fleet_buckets
                .get_mut(&history.team)
                .unwrap()
                .observe(now, sums);
        }
    }
    ratio(wrongful as f64, admissible as f64)
}
