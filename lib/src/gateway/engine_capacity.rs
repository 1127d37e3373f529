//! Capacity of model servers in the choice of a server, and its exchange between instances.

use std::{collections::BTreeMap, time::Duration};

use smol_str::SmolStr;

use super::{
    GatewayReducer,
    event::RequestNumber,
    requests::RequestRecord,
    server_scheduler::GrantReply,
    server_status::{
        ExpectedStatus, MAX_GOSSIP_STATUSES, MAX_REPLY_STATUSES, ServerHash, StatusList,
        StatusTable, max_gossip_statuses,
    },
    servers::GatewayServerKey,
};
use crate::clock::ClockTime;

/// Time for which a request is assumed to hold an adapter slot before any was measured.
const INITIAL_HOLD_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest measurement in the mean hold time.
const HOLD_TIME_WEIGHT: f64 = 0.05;

/// Published capacity of model servers, and what is needed to interpret it.
#[derive(Debug, Default)]
pub(super) struct CapacityView {
    pub(super) statuses: StatusTable,
    /// Per service, the mean time for which a request holds an adapter slot.
    hold_times: BTreeMap<SmolStr, Duration>,
}

/// Expected capacity of a model server for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EngineCapacity {
    /// Time until the server could start on the prompt.
    pub(super) backlog: Duration,
    /// Time until an adapter slot is free.
    pub(super) slot_wait: Duration,
    /// Prefill speed relative to nominal.
    pub(super) speed: f64,
    /// Expected prefill time of the prompts that others have sent since the server's entry; `None`
    /// without an entry.
    pub(super) other_work: Option<Duration>,
}

impl GatewayReducer {
    /// Expected state of a server: that of its scheduler if it runs here, or else what is known
    /// from others.
    pub(super) fn expected_status(
        &self,
        now: ClockTime,
        server: GatewayServerKey,
    ) -> Option<ExpectedStatus> {
        if let Some(scheduler) = self.schedulers.get(&server) {
            let status = scheduler.status(now, self.engine(server)?);
            return Some(ExpectedStatus::current(status));
        }
        let id = &self.servers.get(server).record.id;
        self.capacity.statuses.expected(now, ServerHash::new(id))
    }

    /// Expected capacity of a server for a request, which `needs_slot` if its adapter has to be
    /// loaded. `known_backlog` is used if nothing was published about the server.
    pub(super) fn engine_capacity(
        &self,
        now: ClockTime,
        server: GatewayServerKey,
        needs_slot: bool,
        known_backlog: Duration,
    ) -> EngineCapacity {
        let Some(expected) = self.expected_status(now, server) else {
            return EngineCapacity {
                backlog: known_backlog,
                slot_wait: Duration::ZERO,
                speed: 1.0,
                other_work: None,
            };
        };
        let slot_wait = if needs_slot {
            expected.slot_wait(self.slot_interval(server))
        } else {
            Duration::ZERO
        };
        EngineCapacity {
            backlog: expected.status.backlog,
            slot_wait,
            speed: expected.status.speed.unwrap_or(1.0),
            other_work: Some(expected.other_work),
        }
    }

    /// Mean time between two ends of requests that hold the adapter slots of a server, while all are
    /// in use.
    fn slot_interval(&self, server: GatewayServerKey) -> Duration {
        let service = &self.servers.get(server).record.service;
        let slots = self.engine(server).map_or(1, |engine| engine.adapter_slots);
        let hold_time = self.capacity.hold_times.get(service);
        hold_time
            .copied()
            .unwrap_or(INITIAL_HOLD_TIME)
            .div_f64(slots.max(1) as f64)
    }

    /// Records how long a successful request held an adapter slot, which responded `first_event`
    /// after it was sent.
    pub(super) fn record_hold_time(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        first_event: Duration,
    ) {
        let Some(record) = self.requests.get(&number).filter(|record| record.has_grant) else {
            return;
        };
        let has_adapter = |record: &RequestRecord| {
            let model = record.request.model.as_ref();
            model.is_some_and(|model| model.adapter.is_some())
        };
        let Some(started_at) = record.started_at.filter(|_| has_adapter(record)) else {
            return;
        };
        let held = now.since(started_at) + first_event;
        let mean = self
            .capacity
            .hold_times
            .entry(record.service.clone())
            .or_insert(held);
        *mean = mean.mul_f64(1.0 - HOLD_TIME_WEIGHT) + held.mul_f64(HOLD_TIME_WEIGHT);
    }

    /// Counts a grant that this instance requests from the scheduler of a server, so that further
    /// choices take it into account before an entry shows it.
    pub(super) fn record_grant_request(
        &mut self,
        now: ClockTime,
        number: RequestNumber,
        server: GatewayServerKey,
    ) {
        if self.schedulers.contains_key(&server) {
            return;
        }
        let Some((prefill_time, needs_slot)) = self.expected_use(now, number, server) else {
            return;
        };
        let id = ServerHash::new(&self.servers.get(server).record.id);
        self.capacity
            .statuses
            .record_request(now, id, prefill_time, needs_slot);
    }

    /// Entries of the servers scheduled here, that of `first` before all others.
    fn own_statuses(
        &self,
        now: ClockTime,
        first: Option<&str>,
        limit: usize,
    ) -> (Option<ServerHash>, StatusList) {
        let mut list = StatusList::default();
        let first_key = first.and_then(|id| self.servers.key(id));
        let others = self.schedulers.keys().copied();
        let keys = first_key
            .filter(|key| self.schedulers.contains_key(key))
            .into_iter()
            .chain(others.filter(|key| Some(*key) != first_key));
        for key in keys.take(limit) {
            if let Some(status) = self.expected_status(now, key) {
                let id = &self.servers.get(key).record.id;
                list.push(ServerHash::new(id), &status.status);
            }
        }
        (first.map(ServerHash::new), list)
    }

    /// Entries for a gossip message: those of the servers scheduled here, then the most recent
    /// others.
    pub(super) fn gossip_statuses(&self, now: ClockTime) -> StatusList {
        let limit = max_gossip_statuses(self.instance_count(now));
        let (_, mut list) = self.own_statuses(now, None, limit);
        let statuses = &self.capacity.statuses;
        statuses.append_newest(now, None, limit, &mut list);
        list
    }

    /// Adds entries to the reply to a grant request for the server `id`: its own first.
    pub(super) fn with_statuses(
        &self,
        now: ClockTime,
        id: &str,
        mut reply: GrantReply,
    ) -> GrantReply {
        let (first, mut list) = self.own_statuses(now, Some(id), MAX_REPLY_STATUSES);
        let statuses = &self.capacity.statuses;
        statuses.append_newest(now, first, MAX_REPLY_STATUSES, &mut list);
        match &mut reply {
            GrantReply::Granted { statuses, .. } | GrantReply::Declined { statuses, .. } => {
                *statuses = list;
            }
        }
        reply
    }

    /// Applies the entries of a grant reply.
    pub(super) fn reply_statuses_received(&mut self, now: ClockTime, reply: &GrantReply) {
        let (GrantReply::Granted { statuses, .. } | GrantReply::Declined { statuses, .. }) = reply;
        self.capacity
            .statuses
            .merge(now, statuses, MAX_REPLY_STATUSES);
    }

    /// Applies the entries of a gossip message.
    pub(super) fn gossip_statuses_received(&mut self, now: ClockTime, statuses: &StatusList) {
        let others = self.instance_count(now).saturating_sub(1);
        let servers = self.owners.len() + self.schedulers.len();
        let table = &mut self.capacity.statuses;
        table.set_fleet(others, servers);
        table.merge(now, statuses, MAX_GOSSIP_STATUSES);
        table.expire(now);
    }
}
