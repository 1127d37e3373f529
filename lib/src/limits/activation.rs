//! Decides when an instance may use the shares that the configuration assigns to it.
//!
//! The new holder of a share uses it only after all past holders and a majority of the instances
//! have reported that they follow the configuration that moved the share, and all loans of the
//! past holders have expired. A process that starts or resumes after a pause first waits for
//! reports from a majority of the instances, catches up with the newest configuration among
//! them, and lets the loans expire that an earlier incarnation may have made.

use std::collections::{BTreeMap, BTreeSet};

use super::LOAN_LIFETIME;
use crate::{clock::ClockTime, config::InstanceKey, member::PeerIncarnation};

/// Last configuration sequence that another instance reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerSequence {
    incarnation: u64,
    sequence: u64,
}

/// Configuration sequences reported by the other instances, and whether shares are usable.
#[derive(Clone, Debug, Default)]
pub struct ShareActivation {
    own: Option<InstanceKey>,
    members: BTreeSet<InstanceKey>,
    sequence: u64,
    peer_sequences: BTreeMap<InstanceKey, PeerSequence>,
    /// When this process may start to use its shares; `None` until a majority has reported.
    active_at: Option<ClockTime>,
}

impl ShareActivation {
    /// Sets the instances and the sequence of the current configuration.
    pub fn configure(
        &mut self,
        own: Option<InstanceKey>,
        members: BTreeSet<InstanceKey>,
        sequence: u64,
    ) {
        self.own = own;
        self.members = members;
        self.sequence = sequence;
    }

    /// Records the configuration sequence that an instance follows; older reports are ignored.
    pub fn record_sequence(&mut self, peer: PeerIncarnation, sequence: u64) {
        let incarnation = peer.incarnation;
        let known = self
            .peer_sequences
            .entry(peer.instance)
            .or_insert(PeerSequence {
                incarnation,
                sequence,
            });
        if incarnation > known.incarnation
            || (incarnation == known.incarnation && sequence > known.sequence)
        {
            *known = PeerSequence {
                incarnation,
                sequence,
            };
        }
    }

    /// Discards all reports and deactivates the shares, for example after a pause of the process.
    pub fn suspend(&mut self) {
        self.peer_sequences.clear();
        self.active_at = None;
    }

    /// Number of instances, including this one, that follow `sequence` or a later one.
    fn follower_count(&self, sequence: u64) -> usize {
        let own = self.own.filter(|_| self.sequence >= sequence);
        let follows =
            |member: &&InstanceKey| Some(**member) == own || self.has_reported(**member, sequence);
        self.members.iter().filter(follows).count()
    }

    /// Whether another instance has reported that it follows `sequence` or a later one.
    fn has_reported(&self, member: InstanceKey, sequence: u64) -> bool {
        self.peer_sequences
            .get(&member)
            .is_some_and(|peer| peer.sequence >= sequence)
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.members.len()
    }

    /// Starts the activation delay of one loan lifetime once a majority has reported.
    pub fn update(&mut self, now: ClockTime) {
        if self.active_at.is_some() {
            return;
        }
        let is_member = self.own.is_some_and(|own| self.members.contains(&own));
        let newest = self.peer_sequences.values().map(|peer| peer.sequence).max();
        let is_newest = newest.is_none_or(|newest| newest <= self.sequence);
        if is_member && is_newest && self.is_majority(self.follower_count(0)) {
            self.active_at = Some(now.after(LOAN_LIFETIME));
        }
    }

    /// Whether this process may use its shares.
    pub fn is_active(&self, now: ClockTime) -> bool {
        self.active_at.is_some_and(|active_at| active_at <= now)
    }

    /// Whether a majority and all past holders follow the configuration that moved a share.
    ///
    /// Past holders that were removed from the configuration count as stopped.
    pub fn is_released(&self, moved_sequence: u64, past_holders: &BTreeSet<InstanceKey>) -> bool {
        let follows = |holder: &InstanceKey| {
            Some(*holder) == self.own
                || !self.members.contains(holder)
                || self.has_reported(*holder, moved_sequence)
        };
        past_holders.iter().all(follows) && self.is_majority(self.follower_count(moved_sequence))
    }
}
