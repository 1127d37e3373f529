//! When an instance may use the shares that the configuration gives it.
//!
//! A share that changes hands is used by its new holder only after all that held it before have
//! said that they follow the newer configuration, a majority of the instances has said so too,
//! and all loans of the former holders have expired. A process that starts, or was paused, first
//! hears from a majority of the instances, follows the newest configuration among theirs, and
//! waits out the loans that an earlier life of its own may have made.

use std::collections::{BTreeMap, BTreeSet};

use super::LOAN_TIME;
use crate::{clock::ClockTime, config::InstanceKey, member::PeerIncarnation};

/// What is known of the configuration that another instance follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeardSequence {
    life: u64,
    sequence: u64,
}

/// What one process has heard from the other instances.
#[derive(Clone, Debug, Default)]
pub struct ShareActivation {
    own: Option<InstanceKey>,
    members: BTreeSet<InstanceKey>,
    sequence: u64,
    heard: BTreeMap<InstanceKey, HeardSequence>,
    /// When the process as a whole may use its shares.
    active_at: Option<ClockTime>,
}

impl ShareActivation {
    /// Takes in the instances and the sequence of the configuration in force.
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

    /// Notes which configuration an instance follows.
    pub fn heard(&mut self, peer: PeerIncarnation, sequence: u64) {
        let life = peer.incarnation;
        let known = self
            .heard
            .entry(peer.instance)
            .or_insert(HeardSequence { life, sequence });
        if life > known.life || (life == known.life && sequence > known.sequence) {
            *known = HeardSequence { life, sequence };
        }
    }

    /// Forgets what was heard, as after a pause.
    pub fn suspend(&mut self) {
        self.heard.clear();
        self.active_at = None;
    }

    /// Number of instances that follow `sequence` or a later one, this one included.
    fn followers(&self, sequence: u64) -> usize {
        let own = self.own.filter(|_| self.sequence >= sequence);
        let follows =
            |member: &&InstanceKey| Some(**member) == own || self.has_said(**member, sequence);
        self.members.iter().filter(follows).count()
    }

    /// Whether another instance has said that it follows `sequence` or a later one.
    fn has_said(&self, member: InstanceKey, sequence: u64) -> bool {
        self.heard
            .get(&member)
            .is_some_and(|heard| heard.sequence >= sequence)
    }

    fn is_majority(&self, count: usize) -> bool {
        2 * count > self.members.len()
    }

    /// Looks whether the process may use its shares after the loan time.
    pub fn update(&mut self, now: ClockTime) {
        if self.active_at.is_some() {
            return;
        }
        let is_member = self.own.is_some_and(|own| self.members.contains(&own));
        let newest = self.heard.values().map(|heard| heard.sequence).max();
        let is_newest = newest.is_none_or(|newest| newest <= self.sequence);
        if is_member && is_newest && self.is_majority(self.followers(0)) {
            self.active_at = Some(now.after(LOAN_TIME));
        }
    }

    /// Whether the process as a whole may use its shares.
    pub fn is_active(&self, now: ClockTime) -> bool {
        self.active_at.is_some_and(|active_at| active_at <= now)
    }

    /// Whether a majority and all former holders follow the configuration that moved a share.
    ///
    /// Former holders that were removed from the configuration count as stopped.
    pub fn is_released(&self, since: u64, formers: &BTreeSet<InstanceKey>) -> bool {
        let follows = |former: &InstanceKey| {
            Some(*former) == self.own
                || !self.members.contains(former)
                || self.has_said(*former, since)
        };
        formers.iter().all(follows) && self.is_majority(self.followers(since))
    }
}
