//! Membership of the gateway's instances, by gossip.
//!
//! Every instance sends the records that it considers alive to a few random others and gets theirs
//! back. A record is alive while its heartbeat grows; nobody but its owner raises it. The cost of
//! an instance does not depend on the size of the fleet: fan-out and records a message are fixed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use super::catalog::HeldModel;
use crate::clock::ClockTime;

/// A member whose heartbeat stands still for this long is taken as gone; below the three seconds
/// within which the address answers must forget it.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Members that were alive this recently may still act, and count when limits are divided.
const POPULATION_MEMORY: Duration = Duration::from_secs(20);
/// A process that has just started may not know all members for this long.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Members silent for longer are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Peers that each gossip round talks to.
const GOSSIP_FANOUT: usize = 2;
/// Records that one message holds at most.
const RECORDS_PER_MESSAGE: usize = 40;
/// One round in this many also tries a peer that seems gone, so that a healed partition is found.
const PROBE_ROUNDS: u64 = 4;

/// What an instance is able to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberPhase {
    /// Has no configuration yet.
    Starting,
    /// Serves.
    Ready,
    /// Was told to stop; serves those that still come.
    Leaving,
}

/// An instance's claim to schedule a model server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerClaim {
    /// The server's id.
    pub server: SmolStr,
    /// Start of the server's process, in Unix milliseconds.
    pub started: u64,
    /// Whether the claimant may give orders already.
    pub active: bool,
    /// Largest fencing token of an order that the server accepted.
    pub fence: u64,
    /// Time until the server would begin with a new prompt, in milliseconds.
    pub backlog_ms: u32,
    /// What the server holds.
    pub models: Vec<HeldModel>,
    /// Adapters that made way lately and come back fast.
    pub recent: Vec<HeldModel>,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: SmolStr,
    /// Start of its process, in Unix milliseconds; larger than that of earlier ones of this name.
    pub life: u64,
    /// Grows while the process runs.
    pub heartbeat: u64,
    /// What it is able to do.
    pub phase: MemberPhase,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where it takes requests of callers.
    pub callers: SocketAddr,
    /// Where it takes messages of peers.
    pub peers: SocketAddr,
    /// Model servers that it schedules.
    pub claims: Vec<ServerClaim>,
    /// Requests that were running when their server broke down, by fingerprint, with the count.
    pub suspects: Vec<(u64, u32)>,
}

/// A record on its way, with the time since its heartbeat was seen to grow.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// The record.
    pub record: MemberRecord,
    /// Its age at the sender.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

#[derive(Debug)]
struct MemberState {
    record: MemberRecord,
    heard: ClockTime,
    /// Its host answered that nobody listens.
    refused: bool,
}

impl MemberState {
    fn is_alive(&self, now: ClockTime) -> bool {
        !self.refused && now.since(self.heard) < MEMBER_TIMEOUT
    }
}

/// A member that came or went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub name: SmolStr,
    /// Whether it is alive now.
    pub alive: bool,
}

/// All members known to an instance, and its own record.
#[derive(Debug)]
pub struct GossipTable {
    own: MemberRecord,
    others: BTreeMap<SmolStr, MemberState>,
    first_peers: Vec<SocketAddr>,
    least_population: usize,
    rounds: u64,
    last_heard: Option<ClockTime>,
    last_alive: BTreeMap<SmolStr, bool>,
}

impl GossipTable {
    /// A table that knows its own instance only.
    pub fn new(
        own: MemberRecord,
        first_peers: Vec<SocketAddr>,
        least_population: usize,
    ) -> GossipTable {
        let first_peers = first_peers
            .into_iter()
            .filter(|address| *address != own.peers)
            .collect();
        GossipTable {
            own,
            others: BTreeMap::new(),
            first_peers,
            least_population,
            rounds: 0,
            last_heard: None,
            last_alive: BTreeMap::new(),
        }
    }

    /// The own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The own record, to be changed before the next heartbeat.
    pub fn own_mut(&mut self) -> &mut MemberRecord {
        &mut self.own
    }

    /// Whether any peer was heard since the start.
    pub fn has_joined(&self) -> bool {
        self.last_heard.is_some()
    }

    /// Members alive, without the own instance.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = &MemberRecord> {
        self.others
            .values()
            .filter(move |member| member.is_alive(now))
            .map(|member| &member.record)
    }

    /// A member that is alive.
    pub fn member(&self, now: ClockTime, name: &str) -> Option<&MemberRecord> {
        let member = self.others.get(name)?;
        member.is_alive(now).then_some(&member.record)
    }

    /// Instances that may act now, here or out of sight; limits are divided by this.
    pub fn population(&self, now: ClockTime) -> usize {
        let recent = self
            .others
            .values()
            .filter(|member| now.since(member.heard) < POPULATION_MEMORY)
            .count();
        let known = recent + 1;
        if self.last_heard.is_none() || now.since(ClockTime::ZERO) < SETTLING_TIME {
            known.max(self.least_population)
        } else {
            known
        }
    }

    /// Whether most of the instances that may still run are in contact, the own one included.
    ///
    /// Instances that were alive lately count as running, unless their host says otherwise.
    pub fn has_quorum(&self, now: ClockTime) -> bool {
        let recent =
            |member: &&MemberState| !member.refused && now.since(member.heard) < POPULATION_MEMORY;
        let running = self.others.values().filter(recent).count() + 1;
        let in_contact = self.alive(now).count() + 1;
        in_contact * 2 > running
    }

    /// How many members reported a request with this fingerprint at a server's breakdown.
    pub fn suspicions(&self, fingerprint: u64) -> u32 {
        let records = self.others.values().map(|member| &member.record);
        records
            .chain([&self.own])
            .flat_map(|record| &record.suspects)
            .filter(|(suspect, _)| *suspect == fingerprint)
            .map(|(_, count)| *count)
            .sum()
    }

    /// Members that came or went since the last call.
    pub fn changes(&mut self, now: ClockTime) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for (name, member) in &self.others {
            let alive = member.is_alive(now);
            if self.last_alive.get(name).copied().unwrap_or(false) != alive {
                changes.push(MemberChange {
                    name: name.clone(),
                    alive,
                });
                self.last_alive.insert(name.clone(), alive);
            }
        }
        self.others
            .retain(|_, member| now.since(member.heard) < FORGET_AFTER);
        let others = &self.others;
        self.last_alive.retain(|name, _| others.contains_key(name));
        changes
    }

    /// Begins a round: raises the heartbeat and picks whom to talk to.
    pub fn begin_round(&mut self, now: ClockTime, random: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        self.own.heartbeat += 1;
        self.rounds += 1;
        let mut targets = Vec::new();
        let mut alive: Vec<SocketAddr> = self.alive(now).map(|record| record.peers).collect();
        while targets.len() < GOSSIP_FANOUT && !alive.is_empty() {
            targets.push(alive.swap_remove(random.random_range(0..alive.len())));
        }
        let probe = targets.is_empty() || self.rounds.is_multiple_of(PROBE_ROUNDS);
        if probe {
            let silent = self
                .others
                .values()
                .filter(|member| !member.is_alive(now))
                .map(|member| member.record.peers);
            let mut missing: Vec<SocketAddr> = silent.chain(self.unknown_first_peers()).collect();
            if !missing.is_empty() {
                targets.push(missing.swap_remove(random.random_range(0..missing.len())));
            }
        }
        targets
    }

    fn unknown_first_peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.first_peers.iter().copied().filter(|address| {
            !self
                .others
                .values()
                .any(|member| member.record.peers == *address)
        })
    }

    /// Records to send: the own one and those of members alive, the freshest first.
    pub fn records(&self, now: ClockTime) -> Vec<AgedRecord> {
        let mut members: Vec<&MemberState> = self
            .others
            .values()
            .filter(|member| member.is_alive(now))
            .collect();
        members.sort_by_key(|member| now.since(member.heard));
        let own = AgedRecord {
            record: self.own.clone(),
            age: Duration::ZERO,
        };
        let others = members.into_iter().map(|member| AgedRecord {
            record: member.record.clone(),
            age: now.since(member.heard),
        });
        [own]
            .into_iter()
            .chain(others)
            .take(RECORDS_PER_MESSAGE)
            .collect()
    }

    /// Takes in the records of a peer.
    pub fn merge(&mut self, now: ClockTime, records: Vec<AgedRecord>) {
        self.last_heard = Some(now);
        for aged in records {
            self.merge_record(now, aged);
        }
    }

    fn merge_record(&mut self, now: ClockTime, aged: AgedRecord) {
        let AgedRecord { record, age } = aged;
        if record.name == self.own.name {
            // An earlier process of this name started at a larger time of day.
            if record.life > self.own.life {
                self.own.life = record.life + 1;
            }
            return;
        }
        let heard = ClockTime::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        match self.others.get_mut(&record.name) {
            Some(member) => {
                let known = (member.record.life, member.record.heartbeat);
                if (record.life, record.heartbeat) > known {
                    member.heard = heard.max(member.heard);
                    member.record = record;
                    member.refused = false;
                }
            }
            None => {
                let name = record.name.clone();
                self.others.insert(
                    name,
                    MemberState {
                        record,
                        heard,
                        refused: false,
                    },
                );
            }
        }
    }

    /// Notes that nobody listens at a member's address.
    pub fn refuse(&mut self, address: SocketAddr) {
        for member in self.others.values_mut() {
            if member.record.peers == address {
                member.refused = true;
            }
        }
    }

    /// Gives every member a new timeout after the own process stood still.
    pub fn excuse_silence(&mut self, now: ClockTime) {
        for member in self.others.values_mut() {
            if !member.refused {
                member.heard = now;
            }
        }
        if self.last_heard.is_some() {
            self.last_heard = Some(now);
        }
    }
}
