//! Capacity of model servers, as their schedulers publish it.
//!
//! Entries are passed on by gossip and with grant replies, so they are 50 ms to some seconds old.
//! [`StatusTable`] therefore subtracts their age from backlogs and adds the grants that this
//! instance has requested since.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use twox_hash::XxHash3_64;

use crate::clock::ClockTime;

/// Maximum number of entries in a gossip message.
pub const MAX_GOSSIP_STATUSES: usize = 64;
/// Number of instances from which on gossip messages have fewer entries, so that all messages of an
/// instance stay within 14 KB/s.
const FULL_GOSSIP_INSTANCES: usize = 100;
/// Maximum number of entries in a grant reply.
pub const MAX_REPLY_STATUSES: usize = 16;
/// Age from which on an entry is dropped.
pub const MAX_STATUS_AGE: Duration = Duration::from_secs(3);

/// Size of an encoded entry: hash, age, free slots, queued requests, backlog and speed.
const STATUS_BYTES: usize = 8;
/// Units of the encoded durations.
const AGE_UNIT: Duration = Duration::from_millis(25);
const BACKLOG_UNIT: Duration = Duration::from_millis(10);
/// Encoded value of nominal speed.
const NOMINAL_SPEED: f64 = 64.0;
/// Bounds of speeds relative to nominal. Values beyond them are treated as errors of measurement.
const MIN_SPEED: f64 = 0.125;
const MAX_SPEED: f64 = 3.98;
/// Maximum number of servers in a table. It bounds the memory that unknown hashes can take.
const MAX_TABLE_ENTRIES: usize = 4_096;

/// Servers whose cost exceeds the least by at most this factor are considered equal.
const EQUAL_COST_FACTOR: f64 = 1.1;
/// Difference of fixed costs up to which servers are considered equal.
const MAX_FIXED_DIFFERENCE: f64 = 1.0;
/// Upper bound of the work of others over which requests are spread. Trials with prompts of 76 ms and
/// entries of 50 ms to 1 s had the shortest waits at 60 to 120 ms.
const MAX_SPREAD_WORK: Duration = Duration::from_millis(120);
/// Time over which the rates of requests are averaged.
const RATE_TIME: Duration = Duration::from_secs(2);

/// Maximum number of entries in a gossip message between this many instances.
pub fn max_gossip_statuses(instances: usize) -> usize {
    let excess = instances.max(FULL_GOSSIP_INSTANCES).pow(2);
    MAX_GOSSIP_STATUSES * FULL_GOSSIP_INSTANCES.pow(2) / excess
}

/// Hash of a server's id.
///
/// Of 1,200 servers, two share a hash in one of 23 deployments. Their entries then replace each
/// other, which costs declined grants like any incorrect entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerHash([u8; 3]);

impl ServerHash {
    /// Hash of the server with this id.
    pub fn new(id: &str) -> ServerHash {
        let [first, second, third, ..] = XxHash3_64::oneshot(id.as_bytes()).to_le_bytes();
        ServerHash([first, second, third])
    }
}

/// Capacity of a model server at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatus {
    /// Time since the values were current.
    pub age: Duration,
    /// Adapters that could start to load, into slots that are free or can be evicted.
    pub free_slots: u32,
    /// Requests that the scheduler holds until it can grant them.
    pub queued: u32,
    /// Time until the server could start on another prompt.
    pub backlog: Duration,
    /// Measured prefill speed relative to nominal, if known.
    pub speed: Option<f64>,
}

/// Expected state of a server, from an entry and what happened since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedStatus {
    /// The entry, less its age, plus the grants that this instance has requested since.
    pub status: ServerStatus,
    /// Expected number of loads that others have requested since.
    pub other_loads: f64,
    /// Expected prefill time of the prompts that others have sent since, up to 120 ms.
    pub other_work: Duration,
}

impl ExpectedStatus {
    /// State of a server that is known completely.
    pub fn current(status: ServerStatus) -> ExpectedStatus {
        ExpectedStatus {
            status,
            other_loads: 0.0,
            other_work: Duration::ZERO,
        }
    }

    /// Expected time until an adapter can start to load. `slot_interval` is the mean time between
    /// two slots that become free while all are in use.
    ///
    /// Others request loads independently of each other, so their number since the entry has a
    /// Poisson distribution, which gives the probability that they have taken all free slots.
    pub fn slot_wait(&self, slot_interval: Duration) -> Duration {
        let mut term = (-self.other_loads).exp();
        let mut some_free = 0.0;
        for taken in 0..self.status.free_slots {
            some_free += term;
            term *= self.other_loads / f64::from(taken + 1);
        }
        let wait = slot_interval * self.status.queued.saturating_add(1);
        wait.mul_f64((1.0 - some_free).clamp(0.0, 1.0))
    }
}

/// Cost of a server for a request, for [`pick_server`].
#[derive(Clone, Copy, Debug)]
pub struct ServerCost<T> {
    /// The cost.
    pub cost: f64,
    /// Part of the cost that does not depend on the server's backlog and speed.
    pub fixed: f64,
    /// Expected cost of the work that others have sent to the server since its entry, or `None` if it
    /// must not be chosen at random.
    pub other_work: Option<f64>,
    /// The server.
    pub choice: T,
}

/// Chooses a server: the cheapest, or one at random in proportion to its room below a common level.
///
/// Many instances choose by the same entries, and would all choose the same server otherwise. The
/// level is such that the room below it equals the work that others have sent since the entries:
/// the older the entries and the higher the load, the more servers share the requests. Only servers
/// with about the fixed cost of the cheapest take part, so that no data centre is crossed for it.
/// Servers within 10 % of the cheapest are always considered equal.
pub fn pick_server<T: Copy>(random: &mut ChaCha8Rng, costs: &[ServerCost<T>]) -> Option<T> {
    let cheapest = costs
        .iter()
        .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
    if cheapest.other_work.is_none() {
        return Some(cheapest.choice);
    }
    let mut equals: Vec<(f64, f64, T)> = costs
        .iter()
        .filter(|server| server.fixed <= cheapest.fixed + MAX_FIXED_DIFFERENCE)
        .filter_map(|server| Some((server.cost, server.other_work?, server.choice)))
        .collect();
    equals.sort_by(|left, right| left.0.total_cmp(&right.0));
    let room: f64 = equals.iter().map(|(_, other_work, _)| other_work).sum();
    let (mut sum, mut level) = (0.0, cheapest.cost);
    for (position, (cost, _, _)) in equals.iter().enumerate() {
        if position > 0 && level <= *cost {
            break;
        }
        sum += cost;
        level = (room + sum) / (position + 1) as f64;
    }
    let level = level.max(cheapest.cost * EQUAL_COST_FACTOR + f64::MIN_POSITIVE);
    let weight = |cost: f64| (level - cost).max(0.0);
    let total: f64 = equals.iter().map(|(cost, _, _)| weight(*cost)).sum();
    let mut left = random.random_range(0.0..1.0) * total;
    for (cost, _, choice) in &equals {
        left -= weight(*cost);
        if left < 0.0 {
            return Some(*choice);
        }
    }
    Some(cheapest.choice)
}

/// Encoded entries of a message.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatusList(#[serde_as(as = "Bytes")] Vec<u8>);

impl StatusList {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.0.len() / STATUS_BYTES
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends an entry. The age is rounded up, so that no entry looks newer with each instance that
    /// passes it on. Values that exceed their byte are clamped.
    pub fn push(&mut self, server: ServerHash, status: &ServerStatus) {
        let age = status.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        let backlog = status.backlog.saturating_add(BACKLOG_UNIT / 2).as_micros();
        let backlog = backlog / BACKLOG_UNIT.as_micros();
        let speed = status.speed.filter(|speed| speed.is_finite());
        let speed = speed.map_or(0.0, |speed| {
            (speed.clamp(MIN_SPEED, MAX_SPEED) * NOMINAL_SPEED).round()
        });
        self.0.extend(server.0);
        self.0.extend([
            u8::try_from(age).unwrap_or(u8::MAX),
            u8::try_from(status.free_slots).unwrap_or(u8::MAX),
            u8::try_from(status.queued).unwrap_or(u8::MAX),
            u8::try_from(backlog).unwrap_or(u8::MAX),
            speed as u8,
        ]);
    }

    /// The entries. Incomplete bytes at the end are ignored, and speeds out of range are clamped.
    pub fn iter(&self) -> impl Iterator<Item = (ServerHash, ServerStatus)> {
        let (entries, _) = self.0.as_chunks::<STATUS_BYTES>();
        entries.iter().map(|entry| {
            let [h0, h1, h2, age, free_slots, queued, backlog, speed] = *entry;
            let relative = (f64::from(speed) / NOMINAL_SPEED).clamp(MIN_SPEED, MAX_SPEED);
            let status = ServerStatus {
                age: AGE_UNIT * u32::from(age),
                free_slots: free_slots.into(),
                queued: queued.into(),
                backlog: BACKLOG_UNIT * u32::from(backlog),
                speed: (speed > 0).then_some(relative),
            };
            (ServerHash([h0, h1, h2]), status)
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownStatus {
    /// The entry as it was received.
    status: ServerStatus,
    received_at: ClockTime,
}

impl KnownStatus {
    fn age(&self, now: ClockTime) -> Duration {
        self.status.age + now.since(self.received_at)
    }
}

/// A grant that this instance has requested.
#[derive(Clone, Copy, Debug)]
struct RequestedGrant {
    time: ClockTime,
    prefill_time: Duration,
    needs_slot: bool,
}

/// Rate of requests of this instance, averaged over [`RATE_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct RequestRate {
    /// Amount per second.
    value: f64,
    updated: ClockTime,
}

impl RequestRate {
    fn value(&self, now: ClockTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.value * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: ClockTime, amount: f64) {
        self.value = self.value(now) + amount / RATE_TIME.as_secs_f64();
        self.updated = now;
    }
}

/// Newest known entry of each server that another instance schedules, and the grants that this
/// instance has requested there.
#[derive(Debug, Default)]
pub struct StatusTable {
    entries: BTreeMap<ServerHash, KnownStatus>,
    requested: BTreeMap<ServerHash, Vec<RequestedGrant>>,
    /// Requested loads.
    load_rate: RequestRate,
    /// Requested prefill time, in seconds.
    work_rate: RequestRate,
    /// Number of other instances per server.
    others_per_server: f64,
}

impl StatusTable {
    /// Applies the entries of a message, of which at most `limit` count.
    pub fn merge(&mut self, now: ClockTime, list: &StatusList, limit: usize) {
        for (server, status) in list.iter().take(limit) {
            if status.age >= MAX_STATUS_AGE {
                continue;
            }
            let received = KnownStatus {
                status,
                received_at: now,
            };
            let is_full = self.entries.len() >= MAX_TABLE_ENTRIES;
            match self.entries.entry(server) {
                Entry::Occupied(mut known) => {
                    if status.age <= known.get().age(now) {
                        known.insert(received);
                    }
                }
                Entry::Vacant(vacant) => {
                    if !is_full {
                        vacant.insert(received);
                    }
                }
            }
        }
    }

    /// Sets the number of other instances, and of the servers that they send to. They are assumed to
    /// send as much as this instance, to all servers alike.
    pub fn set_fleet(&mut self, other_instances: usize, servers: usize) {
        self.others_per_server = other_instances as f64 / servers.max(1) as f64;
    }

    /// Records that this instance requests a grant for a prompt that takes `prefill_time`.
    /// `needs_slot` states whether its adapter has to be loaded.
    pub fn record_request(
        &mut self,
        now: ClockTime,
        server: ServerHash,
        prefill_time: Duration,
        needs_slot: bool,
    ) {
        self.work_rate.add(now, prefill_time.as_secs_f64());
        if needs_slot {
            self.load_rate.add(now, 1.0);
        }
        self.requested
            .entry(server)
            .or_default()
            .push(RequestedGrant {
                time: now,
                prefill_time,
                needs_slot,
            });
    }

    /// Expected state of a server now: the newest entry, less its age, plus the grants requested by
    /// this instance since. `None` without an entry.
    pub fn expected(&self, now: ClockTime, server: ServerHash) -> Option<ExpectedStatus> {
        let known = self.entries.get(&server)?;
        let age = known.age(now);
        if age >= MAX_STATUS_AGE {
            return None;
        }
        let others = self.others_per_server * age.as_secs_f64();
        let other_work = Duration::try_from_secs_f64(self.work_rate.value(now) * others);
        let other_work = other_work.unwrap_or(MAX_STATUS_AGE).min(age);
        let mut status = known.status;
        // While the server has a backlog, the work of others adds to it.
        status.backlog = status
            .backlog
            .saturating_add(other_work.min(status.backlog));
        let mut previous = age;
        for grant in self.requested.get(&server).into_iter().flatten() {
            let since = now.since(grant.time);
            if since > age {
                continue;
            }
            let drained = previous.saturating_sub(since);
            let left = status.backlog.saturating_sub(drained);
            status.backlog = left.saturating_add(grant.prefill_time);
            previous = since;
            if grant.needs_slot && status.free_slots > 0 {
                status.free_slots -= 1;
            } else if grant.needs_slot {
                status.queued += 1;
            }
        }
        status.backlog = status.backlog.saturating_sub(previous);
        status.age = age;
        Some(ExpectedStatus {
            status,
            other_loads: self.load_rate.value(now) * others,
            other_work: other_work.min(MAX_SPREAD_WORK),
        })
    }

    /// Appends the most recent entries to `list`, up to `limit` entries in the list. `except` is left
    /// out.
    pub fn append_newest(
        &self,
        now: ClockTime,
        except: Option<ServerHash>,
        limit: usize,
        list: &mut StatusList,
    ) {
        let mut entries: Vec<(Duration, ServerHash, ServerStatus)> = self
            .entries
            .iter()
            .map(|(server, known)| (known.age(now), *server, known.status))
            .filter(|(age, server, _)| *age < MAX_STATUS_AGE && Some(*server) != except)
            .collect();
        entries.sort_unstable_by_key(|(age, server, _)| (*age, *server));
        for (age, server, status) in entries.into_iter().take(limit.saturating_sub(list.len())) {
            list.push(server, &ServerStatus { age, ..status });
        }
    }

    /// Drops entries and requested grants that no longer count.
    pub fn expire(&mut self, now: ClockTime) {
        let entries = &mut self.entries;
        entries.retain(|_, known| known.age(now) < MAX_STATUS_AGE);
        self.requested.retain(|server, grants| {
            let age = entries
                .get(server)
                .map_or(MAX_STATUS_AGE, |known| known.age(now));
            grants.retain(|grant| now.since(grant.time) <= age);
            !grants.is_empty()
        });
    }
}
