//! Membership of the gateway's instances, by gossip.
//!
//! Every instance sends the records that it considers alive to a few random others and gets theirs
//! back. A record is alive while its heartbeat grows; nobody but its owner raises it. The cost of
//! an instance does not depend on the size of the fleet: fan-out and records a message are fixed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use super::catalog::LoadedModel;
use crate::{clock::ClockTime, rendezvous};

/// A member whose heartbeat stands still for this long is taken as gone; below the three seconds
/// within which the address answers must forget it.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Added to that for each member: a message carries a part of a large fleet's records.
const TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(30);
/// Longest such addition; a lost instance must leave the addresses within some seconds.
const MAX_TIMEOUT_ADDITION: Duration = Duration::from_millis(2_500);
/// Members that were alive this recently may still act, and count when limits are divided.
const POPULATION_MEMORY: Duration = Duration::from_secs(20);
/// A process that has just started may not know all members for this long.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Members silent for longer are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Peers that each gossip round talks to.
const GOSSIP_FANOUT: usize = 2;
/// Records that one message holds at most.
const RECORDS_PER_MESSAGE: usize = 32;
/// Claims are repeated for this long after a change, until everybody should know them.
const CLAIMS_REPEATED: Duration = Duration::from_secs(4);
/// In a fleet larger than this, most rounds stay within the own data centre.
const SMALL_FLEET: usize = 12;
/// One round in this many also goes to another data centre there.
const FAR_ROUNDS: u64 = 2;
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
    /// What the server holds.
    pub models: Vec<LoadedModel>,
    /// Adapters that made way lately and come back fast.
    #[serde(rename = "recent")]
    pub recently_evicted: Vec<LoadedModel>,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: SmolStr,
    /// Start of its process, in Unix milliseconds; larger than that of earlier ones of this name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows while the process runs.
    pub heartbeat: u64,
    /// What it is able to do.
    pub phase: MemberPhase,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where it takes requests of callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Where it takes messages of peers.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Grows when the claims change.
    pub claims_revision: u64,
    /// Model servers that it schedules; left out of messages while they have not changed lately.
    pub claims: Option<Arc<Vec<ServerClaim>>>,
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
    /// When its claims were last seen to change.
    claimed: ClockTime,
    /// Its host answered that nobody listens.
    refused: bool,
}

impl MemberState {
    fn is_alive(&self, now: ClockTime, timeout: Duration) -> bool {
        !self.refused && now.since(self.heard) < timeout
    }
}

impl MemberState {
    /// Takes in a newer record, whose claims may have been left out.
    fn take(&mut self, now: ClockTime, mut record: MemberRecord) {
        let known = (self.record.incarnation, self.record.claims_revision);
        if (record.incarnation, record.claims_revision) == known {
            if record.claims.is_none() {
                record.claims = self.record.claims.take();
            }
        } else {
            self.claimed = now;
        }
        self.record = record;
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
    own_claimed: ClockTime,
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
            .filter(|address| *address != own.peer_address)
            .collect();
        GossipTable {
            own,
            own_claimed: ClockTime::ZERO,
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

    /// Heartbeats take longer to reach everybody in a larger fleet.
    fn timeout(&self) -> Duration {
        let members = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        MEMBER_TIMEOUT + (TIMEOUT_PER_MEMBER.saturating_mul(members)).min(MAX_TIMEOUT_ADDITION)
    }

    /// Members alive, without the own instance.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = &MemberRecord> {
        let timeout = self.timeout();
        self.others
            .values()
            .filter(move |member| member.is_alive(now, timeout))
            .map(|member| &member.record)
    }

    /// A member that is alive.
    pub fn member(&self, now: ClockTime, name: &str) -> Option<&MemberRecord> {
        let member = self.others.get(name)?;
        member
            .is_alive(now, self.timeout())
            .then_some(&member.record)
    }

    /// Instances that may act now, here or out of sight; limits are divided by this.
    pub fn population(&self, now: ClockTime) -> usize {
        let known = self.recent(now).count() + 1;
        if self.last_heard.is_none() || now.since(ClockTime::ZERO) < SETTLING_TIME {
            known.max(self.least_population)
        } else {
            known
        }
    }

    fn recent(&self, now: ClockTime) -> impl Iterator<Item = &MemberState> {
        self.others
            .values()
            .filter(move |member| now.since(member.heard) < POPULATION_MEMORY)
    }

    /// Whether the own instance is among the `count` that hold parts of `key`.
    ///
    /// Instances out of contact count for a while, so that a partition does not make new holders.
    pub fn is_holder(&self, now: ClockTime, key: &str, count: usize) -> bool {
        let own = rendezvous::weight(key, &self.own.name);
        let better = self
            .recent(now)
            .filter(|member| rendezvous::weight(key, &member.record.name) > own)
            .count();
        better < count
    }

    /// Where holders of parts of `key` take messages.
    pub fn holders(&self, now: ClockTime, key: &str, count: usize) -> Vec<SocketAddr> {
        let mut members: Vec<(u64, &MemberState)> = self
            .recent(now)
            .map(|member| (rendezvous::weight(key, &member.record.name), member))
            .collect();
        members.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        members.truncate(count);
        members
            .into_iter()
            .filter(|(_, member)| member.is_alive(now, self.timeout()))
            .map(|(_, member)| member.record.peer_address)
            .collect()
    }

    /// Whether most of the instances that may still run are in contact, the own one included.
    ///
    /// Instances that were alive lately count as running, unless their host says otherwise.
    pub fn has_quorum(&self, now: ClockTime) -> bool {
        let recent =
            |member: &&MemberState| !member.refused && now.since(member.heard) < POPULATION_MEMORY;
        let mut running = self.others.values().filter(recent).count() + 1;
        if now.since(ClockTime::ZERO) < POPULATION_MEMORY {
            // A new process does not know whom it cannot reach.
            running = running.max(self.least_population / 2 + 1);
        }
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
        let timeout = self.timeout();
        for (name, member) in &self.others {
            let alive = member.is_alive(now, timeout);
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
        let is_small = self.others.len() < SMALL_FLEET;
        let own = &self.own.data_centre;
        let near: Vec<SocketAddr> = self
            .alive(now)
            .filter(|record| is_small || record.data_centre == *own)
            .map(|record| record.peer_address)
            .collect();
        let far: Vec<SocketAddr> = self
            .alive(now)
            .filter(|record| !is_small && record.data_centre != *own)
            .map(|record| record.peer_address)
            .collect();
        let far_count = usize::from(self.rounds.is_multiple_of(FAR_ROUNDS));
        let near_count = if is_small { GOSSIP_FANOUT } else { 1 };
        pick(near, near_count, random, &mut targets);
        pick(far, far_count, random, &mut targets);
        let probe = targets.is_empty() || self.rounds.is_multiple_of(PROBE_ROUNDS);
        if probe {
            let timeout = self.timeout();
            let silent = self
                .others
                .values()
                .filter(|member| !member.is_alive(now, timeout))
                .map(|member| member.record.peer_address);
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
                .any(|member| member.record.peer_address == *address)
        })
    }

    /// Records to send: the own one and those of members alive, some at random, then the freshest.
    ///
    /// Claims that have not changed lately are left out unless the receiver asked for `whole`
    /// records.
    pub fn records(&self, now: ClockTime, whole: bool, random: &mut ChaCha8Rng) -> Vec<AgedRecord> {
        let timeout = self.timeout();
        let mut members: Vec<&MemberState> = self
            .others
            .values()
            .filter(|member| member.is_alive(now, timeout))
            .collect();
        // Half of them at random, so that none is left to grow old.
        members.shuffle(random);
        let mut fresh = members.split_off(members.len().min(RECORDS_PER_MESSAGE / 2));
        fresh.sort_by_key(|member| now.since(member.heard));
        members.extend(fresh);
        let strip = |record: &MemberRecord, claimed: ClockTime| {
            let mut record = record.clone();
            if !whole && now.since(claimed) >= CLAIMS_REPEATED {
                record.claims = None;
            }
            record
        };
        let own = AgedRecord {
            record: strip(&self.own, self.own_claimed),
            age: Duration::ZERO,
        };
        let others = members.into_iter().map(|member| AgedRecord {
            record: strip(&member.record, member.claimed),
            age: now.since(member.heard),
        });
        [own]
            .into_iter()
            .chain(others)
            .take(RECORDS_PER_MESSAGE)
            .collect()
    }

    /// Whether the claims of a member alive are not known.
    pub fn lacks_claims(&self, now: ClockTime) -> bool {
        self.alive(now).any(|record| record.claims.is_none())
    }

    /// Changes the own claims.
    pub fn set_claims(&mut self, now: ClockTime, claims: Vec<ServerClaim>) {
        if self.own.claims.as_deref() != Some(&claims) {
            self.own.claims = Some(Arc::new(claims));
            self.own.claims_revision += 1;
            self.own_claimed = now;
        }
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
            if record.incarnation > self.own.incarnation {
                self.own.incarnation = record.incarnation + 1;
            }
            return;
        }
        let heard = ClockTime::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        match self.others.get_mut(&record.name) {
            Some(member) => {
                let known = (member.record.incarnation, member.record.heartbeat);
                if (record.incarnation, record.heartbeat) > known {
                    member.heard = heard.max(member.heard);
                    member.refused = false;
                    member.take(now, record);
                } else if record.incarnation == known.0 && member.record.claims.is_none() {
                    member.record.claims = record.claims;
                }
            }
            None => {
                let name = record.name.clone();
                self.others.insert(
                    name,
                    MemberState {
                        record,
                        heard,
                        claimed: now,
                        refused: false,
                    },
                );
            }
        }
    }

    /// Notes that nobody listens at a member's address.
    pub fn refuse(&mut self, address: SocketAddr) {
        for member in self.others.values_mut() {
            if member.record.peer_address == address {
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

/// Picks `count` of `addresses` at random.
fn pick(
    mut addresses: Vec<SocketAddr>,
    count: usize,
    random: &mut ChaCha8Rng,
    targets: &mut Vec<SocketAddr>,
) {
    for _ in 0..count.min(addresses.len()) {
        targets.push(addresses.swap_remove(random.random_range(0..addresses.len())));
    }
}
