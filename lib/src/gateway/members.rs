//! Membership of the gateway's instances, maintained by gossip.
//!
//! In each round, an instance exchanges the records that it considers alive with a few random
//! peers. A member is alive while its heartbeat, which only the member itself increments, keeps
//! growing. Fan-out and records per message are fixed, so the cost of an instance does not depend
//! on the size of the fleet. Members whose record has not changed but for its heartbeat are
//! mentioned in short form.

mod messages;
mod quorum;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::SmolStr;

use self::quorum::QuorumState;
pub use self::quorum::QuorumView;
use super::{
    claims::ClaimTable,
    digest::{MemberDigest, MemberKey},
};
use crate::{clock::ClockTime, rendezvous};

/// A member whose heartbeat has not grown for this long is considered dead. Less than the three
/// seconds within which a dead instance must disappear from address answers.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Added to the timeout for each known member, because a message carries only some of a large
/// fleet's records.
const TIMEOUT_PER_MEMBER: Duration = Duration::from_millis(30);
/// Maximum of that addition, so that a dead instance leaves the address answers within seconds in a
/// large fleet too.
const MAX_TIMEOUT_ADDITION: Duration = Duration::from_millis(2_500);
/// Members whose heartbeat has grown within this time may still be running and count when limits
/// are divided. A new process may not know which instances it cannot reach for as long.
const RECENT_TIME: Duration = Duration::from_secs(20);
/// Time after its start during which a process may not know all members.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Members whose heartbeat has not grown for this long are removed from the table.
const REMOVAL_TIME: Duration = Duration::from_secs(60);
/// Peers contacted in each gossip round.
const GOSSIP_FANOUT: usize = 2;
/// With at least this many other members, most gossip stays within the instance's data centre.
const LARGE_FLEET: usize = 12;
/// In such a fleet, one round in this many also contacts another data centre.
const REMOTE_ROUNDS: u64 = 2;
/// One round in this many also contacts a peer that seems dead, so that a healed partition is
/// detected.
const PROBE_ROUNDS: u64 = 4;

/// Lifecycle phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberPhase {
    /// Has no configuration yet.
    Starting,
    /// Serves requests.
    Ready,
    /// Is shutting down; still serves requests that arrive.
    Leaving,
}

/// An instance's record of itself, spread by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub name: SmolStr,
    /// Start of the process, in Unix milliseconds; larger than that of earlier processes with this
    /// name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Incremented by the instance in every gossip round.
    pub heartbeat: u64,
    /// Lifecycle phase.
    pub phase: MemberPhase,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address on which it accepts callers' requests.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address on which it accepts messages from peers.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Always empty; builds before [`super::crash_log`] exchange crashes in it.
    pub suspects: Vec<(u64, u64)>,
    /// Always empty, as `suspects`.
    pub cleared: Vec<u64>,
}

/// A record in a message, with the time since its heartbeat was last seen to grow.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// The record.
    pub record: MemberRecord,
    /// Time since the sender saw the heartbeat grow.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Revision of the member's claims that the sender holds; 0 if it has none.
    pub claims_revision: u64,
    /// In the first record of a message, what the sender knows of other members in short form.
    /// Earlier versions do not decode records with a digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<MemberDigest>,
}

#[derive(Debug)]
struct MemberState {
    record: MemberRecord,
    last_heartbeat: ClockTime,
    /// Time since which its host refuses connections: no process listens at its address, or a
    /// partition refuses them.
    refused_since: Option<ClockTime>,
    key: MemberKey,
    /// Local gossip round in which the content was learned.
    learned_in: u64,
    /// The process has sent a digest, so it also decodes them.
    sends_digests: bool,
    /// Time until which the process gets no digests, because it did not answer one.
    whole_records_until: Option<ClockTime>,
}

impl MemberState {
    fn new(record: MemberRecord, last_heartbeat: ClockTime, round: u64) -> MemberState {
        MemberState {
            key: MemberKey::new(&record),
            record,
            last_heartbeat,
            refused_since: None,
            learned_in: round,
            sends_digests: false,
            whole_records_until: None,
        }
    }

    fn is_alive(&self, now: ClockTime, timeout: Duration) -> bool {
        self.refused_since.is_none() && now.since(self.last_heartbeat) < timeout
    }
}

/// A member that is newly alive or newly dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the member.
    pub name: SmolStr,
    /// Whether it is alive now.
    pub alive: bool,
}

/// All members known to the local instance, and its own record.
#[derive(Debug)]
pub struct GossipTable {
    local: MemberRecord,
    others: BTreeMap<SmolStr, MemberState>,
    /// Members by key, including the local instance; `None` if several have the same key.
    keys: BTreeMap<MemberKey, Option<SmolStr>>,
    claims: ClaimTable,
    seed_peers: Vec<SocketAddr>,
    min_instances: usize,
    rounds: u64,
    last_message: Option<ClockTime>,
    last_alive: BTreeMap<SmolStr, bool>,
    quorum: QuorumState,
}

impl GossipTable {
    /// Creates a table that holds only the local instance's record.
    pub fn new(
        local: MemberRecord,
        seed_peers: Vec<SocketAddr>,
        min_instances: usize,
    ) -> GossipTable {
        let seed_peers = seed_peers
            .into_iter()
            .filter(|address| *address != local.peer_address)
            .collect();
        let mut table = GossipTable {
            local,
            others: BTreeMap::new(),
            keys: BTreeMap::new(),
            claims: ClaimTable::default(),
            seed_peers,
            min_instances,
            rounds: 0,
            last_message: None,
            last_alive: BTreeMap::new(),
            quorum: QuorumState::default(),
        };
        table.index_keys();
        table
    }

    fn index_keys(&mut self) {
        self.keys.clear();
        let members = self.others.values();
        let others = members.map(|member| (member.key, &member.record.name));
        let local = (MemberKey::new(&self.local), &self.local.name);
        for (key, name) in others.chain([local]) {
            self.keys
                .entry(key)
                .and_modify(|name| *name = None)
                .or_insert_with(|| Some(name.clone()));
        }
    }

    /// Name of the member with this key, unless several have it.
    fn name_of(&self, key: MemberKey) -> Option<&SmolStr> {
        self.keys.get(&key)?.as_ref()
    }

    /// Record with this key, unless several have it.
    fn record_of(&self, key: MemberKey) -> Option<&MemberRecord> {
        let name = self.name_of(key)?;
        let member = self.others.get(name);
        Some(member.map_or(&self.local, |member| &member.record))
    }

    /// Key of a member's record, unless several have it.
    fn key_of(&self, member: &str) -> Option<MemberKey> {
        let key = match self.others.get(member) {
            Some(member) => member.key,
            None => MemberKey::new(&self.local),
        };
        self.name_of(key).map(|_| key)
    }

    /// The local instance's record.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    /// The local instance's record, for changes that the next gossip round spreads.
    pub fn local_mut(&mut self) -> &mut MemberRecord {
        &mut self.local
    }

    /// Whether any message from a peer has been received since the start.
    pub fn has_joined(&self) -> bool {
        self.last_message.is_some()
    }

    /// Timeout after which a member is considered dead; longer in a larger fleet, where heartbeats
    /// take longer to spread.
    fn timeout(&self) -> Duration {
        let members = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        MEMBER_TIMEOUT + (TIMEOUT_PER_MEMBER.saturating_mul(members)).min(MAX_TIMEOUT_ADDITION)
    }

    /// Records of live members other than the local instance.
    pub fn alive(&self, now: ClockTime) -> impl Iterator<Item = &MemberRecord> {
        let timeout = self.timeout();
        self.others
            .values()
            .filter(move |member| member.is_alive(now, timeout))
            .map(|member| &member.record)
    }

    /// Record of a member, if it is alive.
    pub fn member(&self, now: ClockTime, name: &str) -> Option<&MemberRecord> {
        let member = self.others.get(name)?;
        member
            .is_alive(now, self.timeout())
            .then_some(&member.record)
    }

    /// Time since the heartbeat of another member was last seen to grow.
    pub fn heartbeat_age(&self, now: ClockTime, name: &str) -> Option<Duration> {
        let member = self.others.get(name)?;
        Some(now.since(member.last_heartbeat))
    }

    /// Number of instances that may be running, including unreachable ones; limits are divided by
    /// it.
    pub fn instance_count(&self, now: ClockTime) -> usize {
        let known = self.recent(now).count() + 1;
        if self.last_message.is_none() || now.since(ClockTime::ZERO) < SETTLING_TIME {
            known.max(self.min_instances)
        } else {
            known
        }
    }

    fn recent(&self, now: ClockTime) -> impl Iterator<Item = &MemberState> {
        self.others
            .values()
            .filter(move |member| now.since(member.last_heartbeat) < RECENT_TIME)
    }

    /// Whether the local instance is one of the `count` instances that hold shares of `key`.
    ///
    /// Unreachable instances still count for a while, so that a partition does not create
    /// additional holders.
    pub fn is_holder(&self, now: ClockTime, key: &str, count: usize) -> bool {
        let local_weight = rendezvous::weight(key, &self.local.name);
        let higher = self
            .recent(now)
            .filter(|member| rendezvous::weight(key, &member.record.name) > local_weight)
            .count();
        higher < count
    }

    /// Peer addresses of the other live instances that hold shares of `key`.
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

    /// Members that became alive or dead since the last call.
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
        let count = self.others.len();
        let quorum = &mut self.quorum;
        self.others.retain(|_, member| {
            let is_kept = now.since(member.last_heartbeat) < REMOVAL_TIME;
            if !is_kept {
                quorum.remember(member);
            }
            is_kept
        });
        if self.others.len() < count {
            self.index_keys();
        }
        let others = &self.others;
        self.last_alive.retain(|name, _| others.contains_key(name));
        self.claims.retain(|name| others.contains_key(name));
        changes
    }

    /// Begins a gossip round: increments the heartbeat and returns the peer addresses to contact.
    pub fn begin_round(&mut self, now: ClockTime, random: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        self.local.heartbeat += 1;
        self.rounds += 1;
        // The content of the local record may have changed.
        self.index_keys();
        let mut targets = Vec::new();
        let is_small = self.others.len() < LARGE_FLEET;
        let data_centre = &self.local.data_centre;
        let local_peers: Vec<SocketAddr> = self
            .alive(now)
            .filter(|record| is_small || record.data_centre == *data_centre)
            .map(|record| record.peer_address)
            .collect();
        let remote_peers: Vec<SocketAddr> = self
            .alive(now)
            .filter(|record| !is_small && record.data_centre != *data_centre)
            .map(|record| record.peer_address)
            .collect();
        let remote_count = usize::from(self.rounds.is_multiple_of(REMOTE_ROUNDS));
        let local_count = if is_small { GOSSIP_FANOUT } else { 1 };
        pick(local_peers, local_count, random, &mut targets);
        pick(remote_peers, remote_count, random, &mut targets);
        let probe = targets.is_empty() || self.rounds.is_multiple_of(PROBE_ROUNDS);
        if probe {
            let timeout = self.timeout();
            let dead = self
                .others
                .values()
                .filter(|member| !member.is_alive(now, timeout))
                .map(|member| member.record.peer_address);
            let mut missing: Vec<SocketAddr> = dead.chain(self.unknown_seed_peers()).collect();
            if !missing.is_empty() {
                targets.push(missing.swap_remove(random.random_range(0..missing.len())));
            }
        }
        targets
    }

    fn unknown_seed_peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.seed_peers.iter().copied().filter(|address| {
            !self
                .others
                .values()
                .any(|member| member.record.peer_address == *address)
        })
    }

    /// Marks the member at this address as dead, because its host refused a connection.
    pub fn mark_refused(&mut self, now: ClockTime, address: SocketAddr) {
        for member in self.others.values_mut() {
            if member.record.peer_address == address {
                member.refused_since.get_or_insert(now);
            }
        }
        if self.seed_peers.contains(&address) {
            self.quorum.mark_refused(now, address);
        }
    }

    /// Restarts every member's timeout after the local process was paused.
    pub fn restart_timeouts(&mut self, now: ClockTime) {
        for member in self.others.values_mut() {
            if member.refused_since.is_none() {
                member.last_heartbeat = now;
            }
        }
        if self.last_message.is_some() {
            self.last_message = Some(now);
        }
    }
}

/// Appends up to `count` random elements of `addresses` to `targets`.
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
