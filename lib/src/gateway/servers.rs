//! Backend servers as known to one instance: their published records and the outcomes of requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use la_arena::{Arena, Idx};
use smol_str::SmolStr;

use super::{
    allowance::{ColdBounds, ColdLimiter, cold_share},
    availability::{LeavingTable, ProcessHash, ServerPause, process_hash},
    catalog::ServerRecord,
    exclusion::ServerExclusion,
    plain_choice::{PlainLoad, ServiceLoad},
};
use crate::{clock::ClockTime, rendezvous};

/// Key of a backend server.
pub type GatewayServerKey = Idx<ServerState>;

/// Initial pause after a server refused a connection. Doubles with each consecutive refusal.
const FIRST_REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// Upper bound of this pause.
const MAX_REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in a server's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time after which a share of failures without new outcomes has halved.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Load that a server reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run at the same time, if reported.
    pub slots: Option<u32>,
    /// How long work currently takes on the server's machine, in percent of the usual time, if
    /// reported.
    pub pace: Option<u32>,
}

/// A backend server.
#[derive(Debug)]
pub struct ServerState {
    /// Published record of the server.
    pub record: ServerRecord,
    /// Whether the server is currently published.
    pub listed: bool,
    /// Time until which the server is cold, so that it takes few requests.
    pub cold_until: ClockTime,
    /// This instance's requests at the server.
    pub in_flight: u32,
    /// Whether its process has announced that it leaves.
    pub is_leaving: bool,
    /// Set once its process has turned this instance away for some time.
    pub pause: Option<ServerPause>,
    cold_limiter: ColdLimiter,
    /// Load and service time, as learned from its responses.
    pub load: PlainLoad,
    failures: f64,
    failures_updated: ClockTime,
    refusals: u32,
    paused_until: ClockTime,
}

impl ServerState {
    fn new(now: ClockTime, record: ServerRecord) -> ServerState {
        let cold_until = now.after(record.cold_for);
        ServerState {
            record,
            listed: true,
            cold_until,
            in_flight: 0,
            is_leaving: false,
            pause: None,
            cold_limiter: ColdLimiter::default(),
            load: PlainLoad::default(),
            failures: 0.0,
            failures_updated: now,
            refusals: 0,
            paused_until: ClockTime::ZERO,
        }
    }

    /// Share of failures among recent outcomes, from 0 to 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let age = now.since(self.failures_updated).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn count_outcome(&mut self, now: ClockTime, failed: bool) {
        let share = self.failure_share(now);
        let newest = if failed { 1.0 } else { 0.0 };
        self.failures = share + (newest - share) * FAILURE_WEIGHT;
        self.failures_updated = now;
    }

    /// Age of the load that the server reported last; `None` if it has reported none.
    pub fn load_age(&self, now: ClockTime) -> Option<Duration> {
        self.load.reported_at().map(|time| now.since(time))
    }

    /// Time since the last outcome that affected [`Self::failure_share`], or since the process was
    /// first seen.
    pub fn failures_age(&self, now: ClockTime) -> Duration {
        now.since(self.failures_updated)
    }
}

/// Determines how many requests one instance may send to a cold server.
#[derive(Clone, Copy, Debug)]
pub struct ColdShare<'n> {
    /// Bounds that hold over all instances.
    pub bounds: ColdBounds,
    /// Number of instances that may send requests.
    pub instance_count: usize,
    /// Name of this instance.
    pub instance: &'n str,
}

/// Outcome of an attempt with regard to the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered.
    Answered,
    /// The server failed, closed the connection early or sent an invalid response.
    Failed,
    /// The server refused the connection.
    Refused,
    /// The server rejected the request without running it, or the caller disconnected. Doesn't
    /// affect the server's health.
    Neutral,
}

/// All backend servers known to an instance.
#[derive(Debug, Default)]
pub struct GatewayServers {
    servers: Arena<ServerState>,
    by_id: BTreeMap<SmolStr, GatewayServerKey>,
    evacuated: BTreeSet<SmolStr>,
    leaving: LeavingTable,
    service_loads: BTreeMap<SmolStr, ServiceLoad>,
}

impl GatewayServers {
    /// Returns the server for a key.
    pub fn get(&self, key: GatewayServerKey) -> &ServerState {
        &self.servers[key]
    }

    /// Returns the server for a key, mutably.
    pub fn get_mut(&mut self, key: GatewayServerKey) -> &mut ServerState {
        &mut self.servers[key]
    }

    /// Returns the key of the server with this id.
    pub fn key(&self, id: &str) -> Option<GatewayServerKey> {
        self.by_id.get(id).copied()
    }

    /// Published servers, whether they accept requests or not.
    pub fn listed(&self) -> impl Iterator<Item = (GatewayServerKey, &ServerState)> {
        self.servers.iter().filter(|(_, server)| server.listed)
    }

    /// Published servers of a service, whether they accept requests or not.
    pub fn listed_in_service<'s>(
        &'s self,
        service: &'s str,
    ) -> impl Iterator<Item = (GatewayServerKey, &'s ServerState)> {
        self.listed()
            .filter(move |(_, server)| server.record.service == service)
    }

    /// Servers of a service that may receive requests.
    pub fn in_service<'s>(
        &'s self,
        service: &'s str,
    ) -> impl Iterator<Item = (GatewayServerKey, &'s ServerState)> {
        self.servers.iter().filter(move |(_, server)| {
            server.record.service == service && self.service_exclusion(server).is_none()
        })
    }

    /// Why the server receives no requests at all, if so.
    fn service_exclusion(&self, server: &ServerState) -> Option<ServerExclusion> {
        if !server.listed {
            Some(ServerExclusion::Unlisted)
        } else if server.record.draining {
            Some(ServerExclusion::Draining)
        } else if server.is_leaving {
            Some(ServerExclusion::Leaving)
        } else if self.evacuated.contains(&server.record.data_centre) {
            Some(ServerExclusion::Evacuated)
        } else {
            None
        }
    }

    /// Whether the process of a server that started at `started` is draining or no longer published.
    pub fn has_left(&self, id: &str, started: u64) -> bool {
        self.key(id).is_some_and(|key| {
            let server = &self.servers[key];
            server.record.started == started && (server.record.draining || !server.listed)
        })
    }

    /// Whether the server may receive requests.
    pub fn is_in_service(&self, key: GatewayServerKey) -> bool {
        self.service_exclusion(&self.servers[key]).is_none()
    }

    /// Whether another request may be selected for the server: it is not paused after refused
    /// connections or because it turned this instance away.
    pub fn is_available(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        self.availability_exclusion(now, key).is_none()
    }

    fn availability_exclusion(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
    ) -> Option<ServerExclusion> {
        let server = &self.servers[key];
        if now < server.paused_until {
            let time_left = server.paused_until.since(now);
            return Some(ServerExclusion::ConnectionsRefused { time_left });
        }
        let pause = server.pause.filter(|pause| !pause.has_room(now))?;
        Some(match pause.time_left(now) {
            Some(time_left) => ServerExclusion::Paused { time_left },
            None => ServerExclusion::Returning,
        })
    }

    /// Why no request may be selected for the server now, if so. `rate` is the number of requests per
    /// second that a cold server of its service can handle.
    pub fn exclusion(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        rate: f64,
        share: &ColdShare<'_>,
    ) -> Option<ServerExclusion> {
        self.service_exclusion(&self.servers[key])
            .or_else(|| self.availability_exclusion(now, key))
            .or_else(|| {
                self.is_cold_limit_reached(now, key, rate, share)
                    .then_some(ServerExclusion::ColdLimit)
            })
    }

    /// Whether the server has turned this instance away until later.
    pub fn is_paused(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        let pause = self.servers[key].pause;
        pause.is_some_and(|pause| pause.time_left(now).is_some())
    }

    /// Whether a request that was selected for the server may still be sent there.
    pub fn accepts_selected(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        self.is_in_service(key) && !self.is_paused(now, key)
    }

    /// Sends no requests to a server before `until`. Returns whether some could be sent until now.
    pub fn pause(&mut self, key: GatewayServerKey, now: ClockTime, until: ClockTime) -> bool {
        let server = &mut self.servers[key];
        match &mut server.pause {
            Some(pause) if pause.time_left(now).is_some() => {
                pause.prolong(until);
                false
            }
            pause => {
                *pause = Some(ServerPause::new(until));
                true
            }
        }
    }

    /// Applies a published record. Returns the server's key and whether its process is a new one.
    pub fn apply_record(
        &mut self,
        now: ClockTime,
        record: ServerRecord,
    ) -> (GatewayServerKey, bool) {
        let process = process_hash(&record.id, record.started);
        let is_leaving = self.leaving.contains(process);
        let Some(key) = self.key(&record.id) else {
            let id = record.id.clone();
            let key = self.servers.alloc(ServerState::new(now, record));
            self.servers[key].is_leaving = is_leaving;
            self.by_id.insert(id, key);
            return (key, true);
        };
        let server = &mut self.servers[key];
        let restarted = server.record.started != record.started;
        let cold_until = now.after(record.cold_for);
        if restarted {
            let in_flight = server.in_flight;
            *server = ServerState::new(now, record);
            server.in_flight = in_flight;
            server.is_leaving = is_leaving;
        } else {
            server.cold_until = server.cold_until.max(cold_until);
            server.record = record;
            server.listed = true;
        }
        (key, restarted)
    }

    /// Records that a process of a server has announced that it leaves. Returns the server if that is
    /// news of its current process.
    pub fn record_leaving(
        &mut self,
        now: ClockTime,
        process: ProcessHash,
    ) -> Option<GatewayServerKey> {
        if !self.leaving.insert(now, process) {
            return None;
        }
        let (key, server) = self.servers.iter_mut().find(|(_, server)| {
            process_hash(&server.record.id, server.record.started) == process
        })?;
        server.is_leaving = true;
        Some(key)
    }

    /// Processes of servers that recently announced that they leave, to tell other instances of.
    pub fn shared_leaving(&mut self, now: ClockTime) -> Vec<ProcessHash> {
        self.leaving.shared(now)
    }

    /// Marks a server as no longer published.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(key) = self.key(id) {
            self.servers[key].listed = false;
        }
    }

    /// Stops sending requests to the servers of a data centre.
    pub fn close_data_centre(&mut self, data_centre: &SmolStr) {
        self.evacuated.insert(data_centre.clone());
    }

    /// Resumes sending requests to the servers of a data centre, which may be cold for `cold_time`.
    pub fn reopen_data_centre(
        &mut self,
        now: ClockTime,
        data_centre: &SmolStr,
        cold_time: Duration,
    ) {
        if !self.evacuated.remove(data_centre) {
            return;
        }
        for (_, server) in self.servers.iter_mut() {
            if server.record.data_centre == *data_centre {
                server.cold_until = server.cold_until.max(now.after(cold_time));
            }
        }
    }

    /// Whether the server is cold and has received as many requests as this instance may send there
    /// now.
    pub fn is_cold_limit_reached(
        &self,
        now: ClockTime,
        key: GatewayServerKey,
        rate: f64,
        share: &ColdShare<'_>,
    ) -> bool {
        let server = &self.servers[key];
        if now >= server.cold_until {
            return false;
        }
        let rank = (rendezvous::weight(&server.record.id, share.instance) % 1_024) as usize
            * share.instance_count
            / 1_024;
        let limit = cold_share(rate, &share.bounds, share.instance_count, rank);
        !server.cold_limiter.has_room(now, limit)
    }

    /// Records that a request was sent to a server.
    pub fn record_send(&mut self, now: ClockTime, key: GatewayServerKey) {
        let server = &mut self.servers[key];
        server.in_flight += 1;
        server.cold_limiter.record_send(now);
    }

    /// Records the end of a request at a server.
    pub fn record_end(&mut self, now: ClockTime, key: GatewayServerKey, outcome: ServerOutcome) {
        let server = &mut self.servers[key];
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            ServerOutcome::Answered => {
                server.refusals = 0;
                server.count_outcome(now, false);
            }
            ServerOutcome::Failed => server.count_outcome(now, true),
            ServerOutcome::Refused => {
                server.refusals += 1;
                let pause = FIRST_REFUSED_PAUSE * 2_u32.saturating_pow(server.refusals.min(8) - 1);
                server.paused_until = now.after(pause.min(MAX_REFUSED_PAUSE));
            }
            ServerOutcome::Neutral => {}
        }
    }

    /// Marks a server as cold, because its process may have been replaced.
    pub fn mark_cold(&mut self, now: ClockTime, key: GatewayServerKey, cold_time: Duration) {
        let server = &mut self.servers[key];
        server.cold_until = server.cold_until.max(now.after(cold_time));
    }

    /// Records that a server began to answer a request, or that the request ended without an answer.
    pub fn record_answer(&mut self, now: ClockTime, key: GatewayServerKey) {
        if let Some(pause) = &mut self.servers[key].pause {
            pause.record_answer(now);
        }
    }

    /// Records the load that a server reported in a response at this time.
    pub fn record_load(&mut self, time: ClockTime, key: GatewayServerKey, load: ServerLoad) {
        let server = &mut self.servers[key];
        let service = server.record.service.clone();
        let service = self.service_loads.entry(service).or_default();
        let slots = server.record.slots;
        server
            .load
            .record_load(time, load, server.in_flight, slots, service);
    }

    /// Records the time from sending a request to the end of its successful response.
    pub fn record_response_time(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        time: Duration,
        load: Option<ServerLoad>,
    ) {
        let server = &mut self.servers[key];
        let service = server.record.service.clone();
        let service = self.service_loads.entry(service).or_default();
        let slots = server.record.slots;
        server.load.record_response(now, time, load, slots, service);
    }

    /// Mean load over the servers of a service.
    pub fn service_load(&self, service: &str) -> ServiceLoad {
        self.service_loads.get(service).copied().unwrap_or_default()
    }
}
