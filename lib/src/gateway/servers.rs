//! Backend servers as one instance sees them: what is published, and how they answered.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use la_arena::{Arena, Idx};
use smol_str::SmolStr;

use super::{
    allowance::{ColdBounds, ColdLimiter, cold_share},
    catalog::ServerRecord,
};
use crate::{clock::ClockTime, rendezvous};

/// Key of a backend server.
pub type GatewayServerKey = Idx<ServerState>;

/// First pause after a server refused a connection; it doubles with each refusal in a row.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest outcome in a server's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which a share of failures without new outcomes halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Age at which a reported load has lost half of its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(400);

/// Load that a server put on an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    time: ClockTime,
    /// Requests there that are not from this instance.
    others: f64,
}

/// A backend server.
#[derive(Debug)]
pub struct ServerState {
    /// What is published of it.
    pub record: ServerRecord,
    /// Whether it is published at all.
    pub listed: bool,
    /// Until when it bears little.
    pub cold_until: ClockTime,
    /// Requests of this instance that it has.
    pub in_flight: u32,
    cold_gate: ColdLimiter,
    load: Option<LoadSample>,
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
            cold_gate: ColdLimiter::default(),
            load: None,
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

    /// Requests there, from this instance and, as far as it is known, from others.
    pub fn estimated_load(&self, now: ClockTime) -> f64 {
        let others = self.load.map_or(0.0, |sample| {
            let age = now.since(sample.time).as_secs_f64();
            sample.others * 0.5_f64.powf(age / LOAD_HALF_LIFE.as_secs_f64())
        });
        f64::from(self.in_flight) + others
    }
}

/// How much of a cold server one instance may use.
#[derive(Clone, Copy, Debug)]
pub struct ColdShare<'n> {
    /// Bounds over all instances.
    pub bounds: ColdBounds,
    /// Instances that may act.
    pub population: usize,
    /// This instance's name.
    pub instance: &'n str,
}

/// How an attempt ended, as far as the server's fitness is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It answered.
    Answered,
    /// It failed, broke off or sent nonsense.
    Failed,
    /// It refused the connection.
    Refused,
    /// It rejected the request unrun, or the caller went; says nothing about fitness.
    Neutral,
}

/// All backend servers known to an instance.
#[derive(Debug, Default)]
pub struct GatewayServers {
    servers: Arena<ServerState>,
    by_id: BTreeMap<SmolStr, GatewayServerKey>,
    evacuated: BTreeSet<SmolStr>,
}

impl GatewayServers {
    /// The server behind a key.
    pub fn get(&self, key: GatewayServerKey) -> &ServerState {
        &self.servers[key]
    }

    /// The server behind a key, to be changed.
    pub fn get_mut(&mut self, key: GatewayServerKey) -> &mut ServerState {
        &mut self.servers[key]
    }

    /// The server with that id.
    pub fn key(&self, id: &str) -> Option<GatewayServerKey> {
        self.by_id.get(id).copied()
    }

    /// Servers that are published, whether they take requests or not.
    pub fn listed(&self) -> impl Iterator<Item = (GatewayServerKey, &ServerState)> {
        self.servers.iter().filter(|(_, server)| server.listed)
    }

    /// Servers of a service that may get requests.
    pub fn in_service<'s>(
        &'s self,
        service: &'s str,
    ) -> impl Iterator<Item = (GatewayServerKey, &'s ServerState)> {
        self.servers
            .iter()
            .filter(move |(_, server)| server.record.service == service && self.takes(server))
    }

    fn takes(&self, server: &ServerState) -> bool {
        server.listed
            && !server.record.draining
            && !self.evacuated.contains(&server.record.data_centre)
    }

    /// Whether the server may get requests.
    pub fn is_in_service(&self, key: GatewayServerKey) -> bool {
        self.takes(&self.servers[key])
    }

    /// Whether requests to the server are worth trying now.
    pub fn is_open(&self, now: ClockTime, key: GatewayServerKey) -> bool {
        now >= self.servers[key].paused_until
    }

    /// Takes in a published record; returns whether the process behind it is a new one.
    pub fn apply_record(
        &mut self,
        now: ClockTime,
        record: ServerRecord,
    ) -> (GatewayServerKey, bool) {
        let Some(key) = self.key(&record.id) else {
            let id = record.id.clone();
            let key = self.servers.alloc(ServerState::new(now, record));
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
        } else {
            server.cold_until = server.cold_until.max(cold_until);
            server.record = record;
            server.listed = true;
        }
        (key, restarted)
    }

    /// Takes a server off the list.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(key) = self.key(id) {
            self.servers[key].listed = false;
        }
    }

    /// Sends nothing more to the servers of a data centre.
    pub fn close_data_centre(&mut self, data_centre: &SmolStr) {
        self.evacuated.insert(data_centre.clone());
    }

    /// Opens a data centre that was closed; its servers may be cold for `cold_time`.
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

    /// Whether the server is cold and has had its part of requests.
    pub fn is_cold_full(
        &mut self,
        now: ClockTime,
        key: GatewayServerKey,
        rate: f64,
        share: &ColdShare<'_>,
    ) -> bool {
        let server = &mut self.servers[key];
        if now >= server.cold_until {
            return false;
        }
        let rank = (rendezvous::weight(&server.record.id, share.instance) % 1_024) as usize
            * share.population
            / 1_024;
        let part = cold_share(rate, &share.bounds, share.population, rank);
        !server.cold_gate.has_room(now, part)
    }

    /// Counts a request sent to a server.
    pub fn record_send(&mut self, now: ClockTime, key: GatewayServerKey) {
        let server = &mut self.servers[key];
        server.in_flight += 1;
        server.cold_gate.record_send(now);
    }

    /// Counts the end of a request at a server.
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
                let pause = REFUSED_PAUSE * 2_u32.saturating_pow(server.refusals.min(8) - 1);
                server.paused_until = now.after(pause.min(MAX_REFUSED_PAUSE));
            }
            ServerOutcome::Neutral => {}
        }
    }

    /// Treats a server as cold: its process may have been replaced.
    pub fn mark_cold(&mut self, now: ClockTime, key: GatewayServerKey, cold_time: Duration) {
        let server = &mut self.servers[key];
        server.cold_until = server.cold_until.max(now.after(cold_time));
    }

    /// Takes in the load that a server put on an answer.
    pub fn record_load(&mut self, now: ClockTime, key: GatewayServerKey, load: ServerLoad) {
        let server = &mut self.servers[key];
        let total = f64::from(load.running + load.waiting);
        server.load = Some(LoadSample {
            time: now,
            others: (total - f64::from(server.in_flight)).max(0.0),
        });
    }
}
