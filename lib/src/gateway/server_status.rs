//! Capacity of model servers, as their schedulers publish it.
//!
//! Entries are passed on by gossip and with grant replies, so they are 50 ms to some seconds old.
//! [`StatusTable`] therefore subtracts their age from backlogs and adds the grants that this
//! instance has requested since.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use twox_hash::XxHash3_64;

use crate::clock::ClockTime;

/// Maximum number of entries in a gossip message.
pub const MAX_GOSSIP_STATUSES: usize = 64;
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

/// Newest known entry of each server that another instance schedules, and the grants that this
/// instance has requested there.
#[derive(Debug, Default)]
pub struct StatusTable {
    entries: BTreeMap<ServerHash, KnownStatus>,
    requested: BTreeMap<ServerHash, Vec<RequestedGrant>>,
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

    /// Records that this instance requests a grant for a prompt that takes `prefill_time`.
    /// `needs_slot` states whether its adapter has to be loaded.
    pub fn record_request(
        &mut self,
        now: ClockTime,
        server: ServerHash,
        prefill_time: Duration,
        needs_slot: bool,
    ) {
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
    pub fn expected(&self, now: ClockTime, server: ServerHash) -> Option<ServerStatus> {
        let known = self.entries.get(&server)?;
        let age = known.age(now);
        if age >= MAX_STATUS_AGE {
            return None;
        }
        let mut status = known.status;
        let mut previous = age;
        for grant in self.requested.get(&server).into_iter().flatten() {
            let since = now.since(grant.time);
            if since >= age {
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
        Some(status)
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
            grants.retain(|grant| now.since(grant.time) < age);
            !grants.is_empty()
        });
    }
}
