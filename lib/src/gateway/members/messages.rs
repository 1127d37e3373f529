//! What instances tell each other of members and claims, and what they take from it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::{AgedRecord, GossipTable, MemberRecord, MemberState, SETTLING_TIME};
use crate::{
    clock::ClockTime,
    gateway::{
        claims::{ClaimVersion, MemberClaims, MissingClaims, ServerClaim, WantedClaims},
        digest::{HeartbeatForm, MemberDigest, MemberKey, RevisionForm},
    },
};

/// Maximum number of records in a message.
const RECORDS_PER_MESSAGE: usize = 32;
/// Maximum number of heartbeats in short form in a message.
const HEARTBEATS_PER_MESSAGE: usize = 64;
/// Maximum number of revisions of claims in short form in a message, besides those of members
/// chosen at random.
const REVISIONS_PER_MESSAGE: usize = 256;
/// Number of revisions of claims of members chosen at random in a message.
const RANDOM_REVISIONS_PER_MESSAGE: usize = 8;
/// Number of gossip rounds for which an instance mentions a change in every message, from the round
/// in which it learned of it. Fewer leave more instances to the random part of messages.
const SPREAD_ROUNDS: u64 = 3;
/// Time for which a member that did not answer a message with a digest gets whole records alone.
const WHOLE_RECORDS_TIME: Duration = Duration::from_secs(30);
/// The same during the first [`SETTLING_TIME`] of a process. After a restart of all instances, each
/// has to know the claims of all others before the first of them may send orders.
const SETTLING_RECORDS_PER_MESSAGE: usize = 128;

impl GossipTable {
    /// Records to send, with a digest in the first: the local instance's, those of members whose
    /// content was learned recently, and one at random.
    ///
    /// The digest has the heartbeats of other live members, of which half are chosen at random and
    /// the rest are the most recent ones, and the revisions of claims that were learned recently or
    /// belong to a few of the random half. During the settling time of the process, whole records
    /// are sent alone.
    pub fn records(&self, now: ClockTime, random: &mut ChaCha8Rng) -> Vec<AgedRecord> {
        if now.since(ClockTime::ZERO) < SETTLING_TIME {
            return self.whole_records(now, random);
        }
        let mut members = self.alive_members(now);
        members.shuffle(random);
        let mut whole: Vec<&MemberState> = members.pop().into_iter().collect();
        let (mut changed, mut others): (Vec<&MemberState>, Vec<&MemberState>) =
            members.into_iter().partition(|member| {
                self.is_spreading(member.learned_in) || self.name_of(member.key).is_none()
            });
        changed.sort_by_key(|member| std::cmp::Reverse(member.learned_in));
        changed.truncate(RECORDS_PER_MESSAGE - 2);
        whole.extend(changed);
        let mut recent = others.split_off(others.len().min(HEARTBEATS_PER_MESSAGE / 2));
        recent.sort_by_key(|member| now.since(member.last_heartbeat));
        recent.truncate(HEARTBEATS_PER_MESSAGE / 2);

        let mut digest = MemberDigest::default();
        for member in others.iter().chain(&recent) {
            digest.push_heartbeat(HeartbeatForm {
                member: member.key,
                heartbeat: member.record.heartbeat as u16,
                age: now.since(member.last_heartbeat),
            });
        }
        let mut spreading: Vec<(u64, &MemberState)> = self
            .claims
            .learned()
            .filter(|(_, round)| self.is_spreading(*round))
            .filter_map(|(name, round)| Some((round, self.others.get(name)?)))
            .filter(|(_, member)| whole.iter().all(|other| other.key != member.key))
            .collect();
        spreading.sort_by_key(|(round, _)| std::cmp::Reverse(*round));
        spreading.truncate(REVISIONS_PER_MESSAGE);
        let mut mentioned: BTreeMap<MemberKey, &MemberState> = BTreeMap::new();
        let at_random = others.iter().take(RANDOM_REVISIONS_PER_MESSAGE);
        for member in spreading.iter().map(|(_, member)| member).chain(at_random) {
            mentioned.insert(member.key, member);
        }
        for (key, member) in mentioned {
            let revision = self.claims.revision(&self.local, &member.record);
            if revision > 0 && self.name_of(key).is_some() {
                digest.push_revision(RevisionForm {
                    member: key,
                    revision: revision as u8,
                });
            }
        }
        let mut records = self.aged_records(now, whole);
        if let Some(first) = records.first_mut() {
            first.digest = Some(digest);
        }
        records
    }

    /// Records to send to an instance that may not decode digests: the local instance's, then those
    /// of live members, of which half are chosen at random and the rest are those with the most
    /// recent heartbeats.
    pub fn whole_records(&self, now: ClockTime, random: &mut ChaCha8Rng) -> Vec<AgedRecord> {
        let limit = if now.since(ClockTime::ZERO) < SETTLING_TIME {
            SETTLING_RECORDS_PER_MESSAGE
        } else {
            RECORDS_PER_MESSAGE
        };
        let mut members = self.alive_members(now);
        // The random half ensures that every record is eventually refreshed everywhere.
        members.shuffle(random);
        let mut recent = members.split_off(members.len().min(limit / 2));
        recent.sort_by_key(|member| now.since(member.last_heartbeat));
        members.extend(recent);
        members.truncate(limit - 1);
        self.aged_records(now, members)
    }

    fn alive_members(&self, now: ClockTime) -> Vec<&MemberState> {
        let timeout = self.timeout();
        self.others
            .values()
            .filter(|member| member.is_alive(now, timeout))
            .collect()
    }

    /// Whether a change that was learned in this round is still mentioned in every message.
    fn is_spreading(&self, learned_in: u64) -> bool {
        self.rounds - learned_in < SPREAD_ROUNDS
    }

    /// The local instance's record, then those of `members`.
    fn aged_records(&self, now: ClockTime, members: Vec<&MemberState>) -> Vec<AgedRecord> {
        let local = AgedRecord {
            record: self.local.clone(),
            age: Duration::ZERO,
            claims_revision: self.claims.revision(&self.local, &self.local),
            digest: None,
        };
        let others = members.into_iter().map(|member| AgedRecord {
            record: member.record.clone(),
            age: now.since(member.last_heartbeat),
            claims_revision: self.claims.revision(&self.local, &member.record),
            digest: None,
        });
        [local].into_iter().chain(others).collect()
    }

    /// Whether a message to this address may have a digest. Members are expected to decode them
    /// until they fail to answer.
    pub fn may_send_digest(&self, now: ClockTime, address: SocketAddr) -> bool {
        self.others
            .values()
            .find(|member| member.record.peer_address == address)
            .is_some_and(|member| member.whole_records_until.is_none_or(|time| time <= now))
    }

    /// Records that a message with a digest was not answered. Returns whether the member may be of
    /// a version that does not decode it, and is to be sent whole records instead.
    pub fn digest_unanswered(&mut self, now: ClockTime, address: SocketAddr) -> bool {
        let member = self
            .others
            .values_mut()
            .find(|member| member.record.peer_address == address && !member.sends_digests);
        if let Some(member) = member {
            member.whole_records_until = Some(now.after(WHOLE_RECORDS_TIME));
            return true;
        }
        false
    }

    /// Sets the local instance's claims.
    pub fn set_claims(&mut self, claims: Vec<ServerClaim>) {
        self.claims.set_local(claims);
    }

    /// Claims of a member's current process.
    pub fn claims(&self, record: &MemberRecord) -> &[Arc<ServerClaim>] {
        self.claims.claims(record)
    }

    /// Versions of claims that the sender of `records` holds, as far as they say.
    fn stated_versions(&self, records: &[AgedRecord]) -> Vec<(SmolStr, ClaimVersion)> {
        let whole = records.iter().map(|aged| {
            let version = ClaimVersion::new(aged.record.incarnation, aged.claims_revision);
            (aged.record.name.clone(), version)
        });
        let digest = records.first().and_then(|aged| aged.digest.as_ref());
        let forms = digest.into_iter().flat_map(MemberDigest::revisions);
        let short = forms.filter_map(|form| {
            let record = self.record_of(form.member)?;
            let revision = form.resolve(self.claims.revision(&self.local, record));
            let version = ClaimVersion::new(record.incarnation, revision);
            Some((record.name.clone(), version))
        });
        whole.chain(short).collect()
    }

    /// Claims that the sender of `records` lacks; whole ones if the records have no digest.
    pub fn claims_newer_than(&self, records: &[AgedRecord]) -> Vec<MemberClaims> {
        let takes_changes = has_digest(records);
        let missing = |(member, version): &(SmolStr, ClaimVersion)| {
            if self.claims.version(&self.local, member) <= *version {
                return None;
            }
            let base = if takes_changes {
                self.key_of(member).map(|key| (key, *version))
            } else {
                None
            };
            self.claims
                .missing(&self.local, MissingClaims { member, base })
        };
        let stated = self.stated_versions(records);
        stated.iter().filter_map(missing).collect()
    }

    /// Claims of which the sender of `records` has newer ones; whole ones if the records have no
    /// digest.
    pub fn claims_older_than(&self, records: &[AgedRecord]) -> Vec<WantedClaims> {
        let takes_changes = has_digest(records);
        let wanted = |(member, version): (SmolStr, ClaimVersion)| {
            let known = self.claims.version(&self.local, &member);
            if member == self.local.name || known >= version {
                return None;
            }
            let changes = self
                .key_of(&member)
                .filter(|_| takes_changes && known.is_same_process(version))
                .map(|key| WantedClaims::Changes(key, known.revision()));
            Some(changes.unwrap_or(WantedClaims::Whole(member)))
        };
        let stated = self.stated_versions(records);
        stated.into_iter().filter_map(wanted).collect()
    }

    /// The wanted claims, as far as they are known.
    pub fn claims_of(&self, wanted: &[WantedClaims]) -> Vec<MemberClaims> {
        let missing = |wanted: &WantedClaims| match wanted {
            WantedClaims::Whole(member) => self
                .claims
                .missing(&self.local, MissingClaims { member, base: None }),
            WantedClaims::Changes(key, revision) => {
                let record = self.record_of(*key)?;
                let version = ClaimVersion::new(record.incarnation, *revision);
                let missing = MissingClaims {
                    member: &record.name,
                    base: Some((*key, version)),
                };
                self.claims.missing(&self.local, missing)
            }
        };
        wanted.iter().filter_map(missing).collect()
    }

    /// Merges claims received from a peer; returns whether any of them were new.
    pub fn merge_claims(&mut self, received: &[MemberClaims]) -> bool {
        let mut changed = false;
        for claims in received {
            changed |= match claims {
                MemberClaims::Whole(claims) => {
                    self.claims.merge_whole(&self.local, self.rounds, claims)
                }
                MemberClaims::Changes(changes) => match self.record_of(changes.member) {
                    Some(record) => {
                        let record = record.clone();
                        self.claims.merge_changes(&record, self.rounds, changes)
                    }
                    None => false,
                },
            };
        }
        changed
    }

    /// Merges the records received from a peer.
    pub fn merge(&mut self, now: ClockTime, records: &[AgedRecord]) {
        self.last_message = Some(now);
        let mut is_reindexed = false;
        for aged in records {
            is_reindexed |= self.merge_record(now, aged);
        }
        if is_reindexed {
            self.index_keys();
        }
        let Some((sender, digest)) = records
            .first()
            .and_then(|aged| Some((&aged.record.name, aged.digest.as_ref()?)))
        else {
            return;
        };
        if let Some(member) = self.others.get_mut(sender) {
            member.sends_digests = true;
            member.whole_records_until = None;
        }
        for form in digest.heartbeats() {
            self.merge_heartbeat(now, form);
        }
    }

    /// Merges a record; returns whether its content is new.
    fn merge_record(&mut self, now: ClockTime, aged: &AgedRecord) -> bool {
        let AgedRecord { record, age, .. } = aged;
        if record.name == self.local.name {
            // By its clock, an earlier process with this name started later than this one.
            if record.incarnation > self.local.incarnation {
                self.local.incarnation = record.incarnation + 1;
                return true;
            }
            return false;
        }
        let last_heartbeat = before(now, *age);
        let member = match self.others.get_mut(&record.name) {
            Some(member) if member.record.incarnation >= record.incarnation => member,
            known => {
                let last_heartbeat = known.map_or(last_heartbeat, |known| {
                    last_heartbeat.max(known.last_heartbeat)
                });
                let member = MemberState::new(record.clone(), last_heartbeat, self.rounds);
                self.others.insert(record.name.clone(), member);
                return true;
            }
        };
        let known = (member.record.incarnation, member.record.heartbeat);
        if (record.incarnation, record.heartbeat) > known {
            member.last_heartbeat = last_heartbeat.max(member.last_heartbeat);
            member.refused_since = None;
            let key = MemberKey::new(record);
            let is_changed = key != member.key;
            if is_changed {
                member.key = key;
                member.learned_in = self.rounds;
            }
            member.record = record.clone();
            return is_changed;
        }
        false
    }

    fn merge_heartbeat(&mut self, now: ClockTime, form: HeartbeatForm) {
        let Some(Some(name)) = self.keys.get(&form.member) else {
            return;
        };
        let Some(member) = self.others.get_mut(name) else {
            return;
        };
        let growth = form
            .heartbeat
            .wrapping_sub(member.record.heartbeat as u16)
            .cast_signed();
        if growth > 0 {
            member.record.heartbeat += u64::from(growth.unsigned_abs());
            member.last_heartbeat = before(now, form.age).max(member.last_heartbeat);
            member.refused_since = None;
        }
    }
}

/// Whether the records of a message have a digest.
fn has_digest(records: &[AgedRecord]) -> bool {
    records.first().is_some_and(|aged| aged.digest.is_some())
}

/// The time `age` before `now`.
fn before(now: ClockTime, age: Duration) -> ClockTime {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    ClockTime::from_micros(now.as_micros().saturating_sub(age))
}
