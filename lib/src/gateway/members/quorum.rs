//! Whether the local instance is on the larger side of a partition.
//!
//! Instances on both sides of a partition reach the model servers, so only one side may give orders.
//! No silence shows that an instance has stopped: an instance that was known and fell silent counts
//! as running for the longest partition that is expected. It has stopped if it announced that it
//! leaves, or if its host has refused connections for long enough.
//!
//! A process that starts within a partition knows the others from its settings only, which need not
//! name all of them. Until it has once reached a majority of the instances that a deployment of its
//! size has, it does not order while a server's count of accepted orders moves without its side.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use smol_str::SmolStr;

use super::{GossipTable, MemberPhase, MemberState, RECENT_TIME};
use crate::clock::ClockTime;

/// Longest partition. An instance that was silent for longer counts as stopped.
const MAX_PARTITION_TIME: Duration = Duration::from_secs(2 * 60 * 60);
/// Time after the first refused connection to an instance after which it counts as stopped. A
/// restart takes less, and partitions that refuse connections mostly do.
const REFUSAL_TIME: Duration = Duration::from_secs(60);
/// Time after an order of an unknown instance during which a process that has never reached a
/// majority does not order.
const UNKNOWN_ORDER_TIME: Duration = Duration::from_secs(60);

/// An instance that is no longer in the table of members but may be running.
#[derive(Debug)]
struct SilentMember {
    peer_address: SocketAddr,
    last_heartbeat: ClockTime,
    refused_since: Option<ClockTime>,
}

/// Numbers of instances, the local one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumView {
    /// Instances that can be reached.
    pub reachable: usize,
    /// Instances that may be running; `None` if unknown ones are.
    pub running: Option<usize>,
}

impl QuorumView {
    /// Whether a majority is reachable.
    pub fn is_majority(self) -> bool {
        self.running
            .is_some_and(|running| self.reachable * 2 > running)
    }
}

/// What is known of instances that cannot be reached.
#[derive(Debug, Default)]
pub(super) struct QuorumState {
    silent: BTreeMap<SmolStr, SilentMember>,
    /// Addresses of seed peers whose host refused connections, and since when.
    refused_seeds: BTreeMap<SocketAddr, ClockTime>,
    /// The process has reached a majority of the assumed number of instances.
    has_reached_majority: bool,
    /// Time of the newest order of an unknown instance.
    unknown_order_at: Option<ClockTime>,
}

impl QuorumState {
    /// Remembers a member that is removed from the table.
    pub(super) fn remember(&mut self, member: &MemberState) {
        if member.record.phase == MemberPhase::Leaving {
            return;
        }
        let silent = SilentMember {
            peer_address: member.record.peer_address,
            last_heartbeat: member.last_heartbeat,
            refused_since: member.refused_since,
        };
        self.silent.insert(member.record.name.clone(), silent);
    }

    /// Records that the host of a seed peer refused a connection.
    pub(super) fn mark_refused(&mut self, now: ClockTime, address: SocketAddr) {
        self.refused_seeds.entry(address).or_insert(now);
    }
}

/// Whether an instance with this last sign of life may be running.
fn may_run(now: ClockTime, last_heartbeat: ClockTime, refused_since: Option<ClockTime>) -> bool {
    now.since(last_heartbeat) < MAX_PARTITION_TIME
        && refused_since.is_none_or(|since| now.since(since) < REFUSAL_TIME)
}

impl GossipTable {
    /// Whether a majority of the instances that may be running is reachable, counting the local
    /// one.
    pub fn quorum(&mut self, now: ClockTime) -> QuorumView {
        let reachable = self.alive(now).count() + 1;
        let majority = self.min_instances / 2 + 1;
        self.quorum.has_reached_majority |= reachable >= majority;
        let is_recent = |time: ClockTime| now.since(time) < UNKNOWN_ORDER_TIME;
        if !self.quorum.has_reached_majority && self.quorum.unknown_order_at.is_some_and(is_recent)
        {
            return QuorumView {
                reachable,
                running: None,
            };
        }
        let mut running = reachable + self.unreachable_count(now);
        if now.since(ClockTime::ZERO) < RECENT_TIME {
            // A new process does not know which instances it cannot reach.
            running = running.max(majority);
        }
        QuorumView {
            reachable,
            running: Some(running),
        }
    }

    /// Number of instances that may be running and cannot be reached.
    fn unreachable_count(&mut self, now: ClockTime) -> usize {
        let others = &self.others;
        self.quorum.silent.retain(|name, member| {
            !others.contains_key(name) && may_run(now, member.last_heartbeat, member.refused_since)
        });
        // Another process took the place of an earlier one with its address.
        let mut reachable: BTreeSet<SocketAddr> =
            self.alive(now).map(|record| record.peer_address).collect();
        reachable.insert(self.local.peer_address);
        let timeout = self.timeout();
        let known = self.others.values().filter(|member| {
            !member.is_alive(now, timeout)
                && member.record.phase != MemberPhase::Leaving
                && may_run(now, member.last_heartbeat, member.refused_since)
        });
        let known = known.map(|member| member.record.peer_address);
        let silent = self.quorum.silent.values();
        let silent = silent.map(|member| member.peer_address);
        let unreachable: Vec<SocketAddr> = known
            .chain(silent)
            .filter(|address| !reachable.contains(address))
            .collect();
        let unknown_seeds = self.unknown_seed_peers().filter(|address| {
            let refused_since = self.quorum.refused_seeds.get(address).copied();
            !unreachable.contains(address) && may_run(now, ClockTime::ZERO, refused_since)
        });
        unreachable.len() + unknown_seeds.count()
    }

    /// Records that a server's count of accepted orders moved without an order of a known
    /// instance.
    pub fn record_unknown_order(&mut self, now: ClockTime) {
        self.quorum.unknown_order_at = Some(now);
    }
}
