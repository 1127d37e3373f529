//! Short forms of membership records and claim revisions in gossip messages.
//!
//! A receiver resolves a short form by the key of the member's record. Forms of records that it does
//! not hold with this content have no effect; their whole records follow.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use twox_hash::XxHash3_64;

use super::members::MemberRecord;

/// Size of an encoded heartbeat: key, low bytes of the heartbeat, and age.
const HEARTBEAT_BYTES: usize = 6;
/// Size of an encoded revision: key and low byte of the revision.
const REVISION_BYTES: usize = 4;
/// Unit of ages. The largest age that fits exceeds the timeout of members.
const AGE_UNIT: Duration = Duration::from_millis(25);

/// Hash of a record without its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u32", into = "u32")]
pub struct MemberKey([u8; 3]);

impl From<u32> for MemberKey {
    fn from(key: u32) -> MemberKey {
        let [first, second, third, _] = key.to_le_bytes();
        MemberKey([first, second, third])
    }
}

impl From<MemberKey> for u32 {
    fn from(key: MemberKey) -> u32 {
        let MemberKey([first, second, third]) = key;
        u32::from_le_bytes([first, second, third, 0])
    }
}

impl MemberKey {
    /// Key of a record.
    pub fn new(record: &MemberRecord) -> MemberKey {
        let MemberRecord {
            name,
            incarnation,
            heartbeat: _,
            phase,
            data_centre,
            caller_address,
            peer_address,
            suspects,
            cleared,
        } = record;
        let addresses = (caller_address, peer_address);
        let content = (name, phase, data_centre, addresses, suspects, cleared);
        // Plain values always serialize.
        let input = rmp_serde::to_vec(&content).unwrap_or_default();
        let hash = XxHash3_64::oneshot_with_seed(*incarnation, &input);
        let [first, second, third, ..] = hash.to_le_bytes();
        MemberKey([first, second, third])
    }
}

/// A member's heartbeat in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatForm {
    /// The member.
    pub member: MemberKey,
    /// Low bytes of its heartbeat.
    pub heartbeat: u16,
    /// Time since the sender saw the heartbeat grow, rounded up to 25 ms and limited to 6.4 s.
    pub age: Duration,
}

/// The revision of a member's claims in short form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionForm {
    /// The member.
    pub member: MemberKey,
    /// Low byte of the revision.
    pub revision: u8,
}

impl RevisionForm {
    /// The revision that is meant, by a receiver that holds the revision `known`.
    ///
    /// Wrong if they are 128 or more apart. Records, which have whole revisions, then correct it.
    pub fn resolve(self, known: u64) -> u64 {
        if known == 0 {
            return u64::from(self.revision).max(1);
        }
        let difference = self.revision.wrapping_sub(known as u8).cast_signed();
        known.saturating_add_signed(difference.into()).max(1)
    }
}

/// What the sender of a message knows of members, in short form.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    #[serde_as(as = "Bytes")]
    heartbeats: Vec<u8>,
    #[serde_as(as = "Bytes")]
    revisions: Vec<u8>,
}

impl MemberDigest {
    /// Appends a heartbeat.
    pub fn push_heartbeat(&mut self, form: HeartbeatForm) {
        let units = form.age.as_micros().div_ceil(AGE_UNIT.as_micros());
        self.heartbeats.extend(form.member.0);
        self.heartbeats.extend(form.heartbeat.to_le_bytes());
        self.heartbeats.push(u8::try_from(units).unwrap_or(u8::MAX));
    }

    /// Appends a revision.
    pub fn push_revision(&mut self, form: RevisionForm) {
        self.revisions.extend(form.member.0);
        self.revisions.push(form.revision);
    }

    /// The heartbeats.
    pub fn heartbeats(&self) -> impl Iterator<Item = HeartbeatForm> {
        let (forms, _) = self.heartbeats.as_chunks::<HEARTBEAT_BYTES>();
        forms.iter().map(|form| {
            let [k0, k1, k2, h0, h1, units] = *form;
            HeartbeatForm {
                member: MemberKey([k0, k1, k2]),
                heartbeat: u16::from_le_bytes([h0, h1]),
                age: AGE_UNIT * u32::from(units),
            }
        })
    }

    /// The revisions of claims.
    pub fn revisions(&self) -> impl Iterator<Item = RevisionForm> {
        let (forms, _) = self.revisions.as_chunks::<REVISION_BYTES>();
        forms.iter().map(|form| {
            let [k0, k1, k2, revision] = *form;
            RevisionForm {
                member: MemberKey([k0, k1, k2]),
                revision,
            }
        })
    }
}
