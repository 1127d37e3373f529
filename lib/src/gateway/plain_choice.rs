//! Chooses the server for a request to a service without model engines.
//!
//! An instance knows the load in each server's last response to it, and its own requests there. Other
//! instances choose at the same time from other responses, which are equally old.
//! docs/design/plain-services.md has the ways considered and the figures.

use std::time::Duration;

use rand::{Rng, seq::index};
use rand_chacha::ChaCha8Rng;

use super::{
    GatewayReducer,
    event::RequestNumber,
    servers::{GatewayServerKey, ServerLoad},
};
use crate::clock::ClockTime;

/// Age at which the weight of a reported load has halved, in mean service times. With 4, reports of
/// unknown delay gave longer waits.
const LOAD_HALF_LIFE: f64 = 2.0;
/// The same age while no service time is known, and its bounds.
const DEFAULT_HALF_LIFE: Duration = Duration::from_millis(400);
const MIN_HALF_LIFE: Duration = Duration::from_millis(20);
const MAX_HALF_LIFE: Duration = Duration::from_secs(4);
/// Age at which the weight of a reported pace has halved. The pace changes many times per second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(400);
/// Bounds of the pace, as a multiple of the usual one.
const MIN_PACE: f64 = 0.25;
const MAX_PACE: f64 = 8.0;
/// Upper bound of the requests at a server that a report may state, as a multiple of its slots, so
/// that a wrong report does not change the mean of the service for long.
const MAX_LOAD_PER_SLOT: f64 = 16.0;
/// Number of responses over which a server's service time is averaged.
const SERVER_WINDOW: f64 = 64.0;
/// Number of responses over which the means of a service are averaged.
const SERVICE_WINDOW: f64 = 64.0;
/// Weight of the service's mean in a server's service time, as a number of responses. Few responses
/// tell more of their requests than of the server.
const PRIOR_RESPONSES: f64 = 16.0;
/// Bound of a service time relative to the mean of its service, in both directions.
const MAX_TIME_RATIO: f64 = 8.0;
/// Maximum number of servers of the instance's data centre, and of others, that are compared for a
/// request. 64 gave no shorter waits.
const COMPARED_SERVERS: usize = 16;
/// Maximum weight of an own request relative to one that other instances are expected to have at the
/// server. If each instance spreads its own requests evenly, their sum is even whatever was reported.
const MAX_OWN_WEIGHT: f64 = 6.0;
/// Mean work that other instances are expected to add to the compared servers while they choose from
/// the same reports, in service times. It spreads the requests over servers of similar cost.
const CONCURRENT_WORK: f64 = 0.2;
/// Cost of choosing a server in another data centre, in service times per slot.
const REMOTE_COST: f64 = 0.15;
/// Cost of choosing a server that fails every request, in the same unit.
const FAILURE_COST: f64 = 4.0;

/// Weight of a value, which halves with each half-life of its age.
fn weight(now: ClockTime, time: ClockTime, half_life: Duration) -> f64 {
    0.5_f64.powf(now.since(time).as_secs_f64() / half_life.as_secs_f64())
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    time: ClockTime,
    /// Requests of other instances at the server.
    others: f64,
}

/// Means over the servers of a service, as seen by one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Service time at the usual pace, in milliseconds.
    service_time: f64,
    responses: f64,
    /// Time that a server takes for the requests of other instances at it, in service times.
    backlog: f64,
    reports: f64,
}

impl ServiceLoad {
    fn half_life(&self) -> Duration {
        if self.responses == 0.0 {
            return DEFAULT_HALF_LIFE;
        }
        Duration::try_from_secs_f64(self.service_time * LOAD_HALF_LIFE / 1_000.0)
            .unwrap_or(MAX_HALF_LIFE)
            .clamp(MIN_HALF_LIFE, MAX_HALF_LIFE)
    }

    fn record_service_time(&mut self, time: f64) {
        self.responses = (self.responses + 1.0).min(SERVICE_WINDOW);
        self.service_time += (time - self.service_time) / self.responses;
    }

    fn record_backlog(&mut self, backlog: f64) {
        self.reports = (self.reports + 1.0).min(SERVICE_WINDOW);
        self.backlog += (backlog - self.backlog) / self.reports;
    }
}

/// Load, service time and pace of a server, as learned from its responses.
#[derive(Clone, Debug, Default)]
pub struct PlainLoad {
    sample: Option<LoadSample>,
    /// Service time at the usual pace relative to the mean of the service.
    time_ratio: f64,
    responses: f64,
    /// Pace as a multiple of the usual one, and when it was last reported.
    pace: Option<(ClockTime, f64)>,
}

impl PlainLoad {
    /// Records the load that a server reported in a response at this time, while `in_flight` requests
    /// of this instance were at the server. A load that is older than the known one is ignored.
    pub fn record_load(
        &mut self,
        time: ClockTime,
        load: ServerLoad,
        in_flight: u32,
        slots: u32,
        service: &mut ServiceLoad,
    ) {
        if self.sample.is_some_and(|sample| sample.time > time) {
            return;
        }
        let total = f64::from(load.running) + f64::from(load.waiting);
        let others = (total - f64::from(in_flight)).max(0.0);
        self.sample = Some(LoadSample { time, others });
        if let Some(pace) = load.pace {
            let pace = (f64::from(pace) / 100.0).clamp(MIN_PACE, MAX_PACE);
            self.pace = Some((time, f64::midpoint(self.pace(time), pace)));
        }
        let slots = f64::from(slots.max(1));
        let turns = (others / slots).min(MAX_LOAD_PER_SLOT);
        service.record_backlog(turns * self.relative_time(time));
    }

    /// Records the time from sending a request to the end of its successful response.
    pub fn record_response(
        &mut self,
        now: ClockTime,
        time: Duration,
        load: Option<ServerLoad>,
        slots: u32,
        service: &mut ServiceLoad,
    ) {
        // The request has waited about as long as one that arrives when it ends.
        let waiting = load.map_or(0.0, |load| f64::from(load.waiting));
        let turns = 1.0 + (waiting / f64::from(slots.max(1))).min(MAX_LOAD_PER_SLOT);
        let mut time = time.as_secs_f64() * 1_000.0 / turns / self.pace(now);
        if service.service_time > 0.0 {
            let mean = service.service_time;
            time = time.clamp(mean / MAX_TIME_RATIO, mean * MAX_TIME_RATIO);
        }
        service.record_service_time(time);
        if service.service_time > 0.0 {
            self.responses = (self.responses + 1.0).min(SERVER_WINDOW);
            self.time_ratio += (time / service.service_time - self.time_ratio) / self.responses;
        }
    }

    /// When the newest load was reported.
    pub fn reported_at(&self) -> Option<ClockTime> {
        self.sample.map(|sample| sample.time)
    }

    /// Expected number of requests of other instances at the server.
    pub fn expected_others(&self, now: ClockTime, slots: u32, service: &ServiceLoad) -> f64 {
        let slots = f64::from(slots.max(1));
        self.others_work(now, slots, service) * slots / self.relative_time(now)
    }

    /// Time that the server is expected to take for the requests of other instances, in service
    /// times.
    ///
    /// Other instances send to servers that look idle and avoid those that look busy, so that the
    /// load approaches the mean of the service after a report.
    fn others_work(&self, now: ClockTime, slots: f64, service: &ServiceLoad) -> f64 {
        let capacity = slots / self.relative_time(now);
        self.sample.map_or(service.backlog, |sample| {
            let weight = weight(now, sample.time, service.half_life());
            let reported = sample.others.min(slots * MAX_LOAD_PER_SLOT) / capacity;
            service.backlog + (reported - service.backlog) * weight
        })
    }

    /// Pace as a multiple of the usual one, which an old report approaches.
    fn pace(&self, now: ClockTime) -> f64 {
        self.pace.map_or(1.0, |(time, pace)| {
            1.0 + (pace - 1.0) * weight(now, time, PACE_HALF_LIFE)
        })
    }

    /// Expected service time relative to the mean of the service.
    fn relative_time(&self, now: ClockTime) -> f64 {
        let learned = (self.time_ratio * self.responses + PRIOR_RESPONSES)
            / (self.responses + PRIOR_RESPONSES);
        learned * self.pace(now)
    }
}

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct PlainCandidate<'l> {
    /// What is known of its load.
    pub load: &'l PlainLoad,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// This instance's requests at the server.
    pub in_flight: u32,
    /// Whether it is in the instance's data centre.
    pub is_local: bool,
    /// Share of failures among recent outcomes, from 0 to 1.
    pub failure_share: f64,
}

/// A candidate with what the choice depends on.
#[derive(Clone, Copy)]
struct RatedServer {
    position: usize,
    /// Expected finish time of another request, in service times, and the cost of failures.
    finish: f64,
    /// The same with the weight of own requests, by which servers of one group are compared.
    cost: f64,
    /// Requests that the server completes in a service time.
    capacity: f64,
}

impl PlainCandidate<'_> {
    fn rate(
        &self,
        now: ClockTime,
        position: usize,
        service: &ServiceLoad,
        own_weight: f64,
    ) -> RatedServer {
        let slots = f64::from(self.slots.max(1));
        let relative_time = self.load.relative_time(now);
        let capacity = slots / relative_time;
        let others = self.load.others_work(now, slots, service);
        let own = f64::from(self.in_flight) / capacity;
        let finish = others + own + 1.0 / capacity + self.failure_share * FAILURE_COST;
        RatedServer {
            position,
            finish,
            cost: finish + own * (own_weight - 1.0),
            capacity,
        }
    }
}

/// Chooses one of the candidates, while `instances` instances choose at the same time; returns its
/// position.
pub fn choose_candidate(
    now: ClockTime,
    candidates: &[PlainCandidate<'_>],
    service: &ServiceLoad,
    instances: usize,
    random: &mut ChaCha8Rng,
) -> Option<usize> {
    let instances = instances.max(1) as f64;
    let own_weight = instances.min(MAX_OWN_WEIGHT);
    let work = CONCURRENT_WORK * (1.0 - 1.0 / instances);
    let mut draw = |is_local| {
        let group: Vec<usize> = (0..candidates.len())
            .filter(|position| candidates[*position].is_local == is_local)
            .collect();
        let compared = group.len().min(COMPARED_SERVERS);
        let rated = index::sample(random, group.len(), compared)
            .into_iter()
            .map(|index| {
                let position = group[index];
                candidates[position].rate(now, position, service, own_weight)
            })
            .collect();
        draw_server(rated, work, random.random_range(0.0..1.0))
    };
    // A service in one data centre has no local or no remote servers.
    let chosen = match (draw(true), draw(false)) {
        (Some(local), Some(remote)) if local.finish > remote.finish + REMOTE_COST => remote,
        (local, remote) => local.or(remote)?,
    };
    Some(chosen.position)
}

/// Chooses a server so that requests that bring `work` service times to each server on average would
/// fill those with the least cost to an equal level; `draw` is a random number from 0 to 1.
fn draw_server(mut rated: Vec<RatedServer>, work: f64, draw: f64) -> Option<RatedServer> {
    rated.sort_unstable_by(|one, other| one.cost.total_cmp(&other.cost));
    let volume = work * rated.iter().map(|server| server.capacity).sum::<f64>();
    let least = *rated.first()?;
    let mut level = least.cost;
    let (mut capacity, mut filled) = (0.0, volume);
    for (index, server) in rated.iter().enumerate() {
        if index > 0 && server.cost >= level {
            break;
        }
        capacity += server.capacity;
        filled += server.capacity * server.cost;
        level = filled / capacity;
    }
    let mut rest = draw * volume;
    let chosen = rated.into_iter().find(|server| {
        rest -= (level - server.cost).max(0.0) * server.capacity;
        rest <= 0.0
    });
    Some(chosen.unwrap_or(least))
}

impl GatewayReducer {
    /// Selects a server of a service without model engines.
    pub(super) fn choose_server(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
    ) -> Option<GatewayServerKey> {
        let keys = self.candidates(now, number)?;
        let service = &self.requests.get(&number)?.service;
        let candidates: Vec<PlainCandidate<'_>> = keys
            .iter()
            .map(|key| {
                let server = self.servers.get(*key);
                PlainCandidate {
                    load: &server.load,
                    slots: server.record.slots,
                    in_flight: server.in_flight,
                    is_local: server.record.data_centre == self.options.data_centre,
                    failure_share: server.failure_share(now),
                }
            })
            .collect();
        let service = self.servers.service_load(service);
        let instances = self.instance_count(now);
        let position = choose_candidate(now, &candidates, &service, instances, &mut self.random)?;
        Some(keys[position])
    }
}
