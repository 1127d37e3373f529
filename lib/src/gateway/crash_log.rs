//! Crashes of servers and what may have caused them, replicated to all instances by gossip.
//!
//! An entry says that a cause was present at a crash. Entries belong to the fleet: every instance keeps
//! them and passes them on, whichever of them met the crash, and only their age ends them. Messages have
//! the entries that were learned recently. A receiver whose entries differ gets others too, so a new
//! process has the most important ones after its first exchange.

use std::{cmp::Reverse, collections::BTreeMap, ops::RangeInclusive, time::Duration};

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};
use twox_hash::XxHash3_64;

use super::crash_causes::{CauseHash, CrashHash};
use crate::clock::ClockTime;

/// Time for which an entry is kept after its crash, or after the last request that was refused for
/// its cause.
const ENTRY_RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of entries.
const MAX_ENTRIES: usize = 1_024;
/// Maximum number of entries in a message.
const MAX_NEWS: usize = 48;
/// Number of gossip rounds in which an entry is mentioned after it was learned or has changed.
const SPREAD_ROUNDS: u64 = 3;

/// Presence of a cause at a crash, in a message.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The cause.
    pub cause: CauseHash,
    /// The crash.
    pub crash: CrashHash,
    /// Time since the crash or a later refusal, rounded up.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub age: Duration,
    /// Whether an answer that was completed on the cause shows that it did not crash the server.
    pub is_cleared: bool,
}

/// What the sender of a message knows of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Hash of all entries of the sender without their ages; 0 if it has none.
    pub digest: u64,
    /// Some of the entries.
    pub records: Vec<CrashRecord>,
}

impl CrashNews {
    /// Whether the sender knows of no crash.
    pub fn is_empty(&self) -> bool {
        self.digest == 0 && self.records.is_empty()
    }
}

/// Presence of a cause at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CrashKey {
    cause: CauseHash,
    crash: CrashHash,
}

#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    expires_at: ClockTime,
    is_cleared: bool,
    /// Gossip round in which the entry was learned or cleared.
    changed_in: u64,
}

/// Crashes and their possible causes, as known to this instance.
#[derive(Debug, Default)]
pub(super) struct CrashLog {
    entries: BTreeMap<CrashKey, CrashEntry>,
    rounds: u64,
    digest: u64,
}

impl CrashLog {
    /// Records that `cause` was present at `crash`.
    pub(super) fn record(&mut self, now: ClockTime, cause: CauseHash, crash: CrashHash) {
        let record = CrashRecord {
            cause,
            crash,
            age: Duration::ZERO,
            is_cleared: false,
        };
        self.merge_record(now, &record);
        self.limit_entries();
    }

    /// Records that `cause` has not crashed any server so far. Returns whether this is new.
    pub(super) fn clear(&mut self, cause: CauseHash) -> bool {
        let (rounds, mut digest) = (self.rounds, self.digest);
        let mut changed = false;
        for (key, entry) in self.entries.range_mut(entries_of(cause)) {
            if !entry.is_cleared {
                digest ^= entry_hash(*key, false) ^ entry_hash(*key, true);
                entry.is_cleared = true;
                entry.changed_in = rounds;
                changed = true;
            }
        }
        self.digest = digest;
        changed
    }

    /// Keeps the entries of a cause for which a request was refused.
    pub(super) fn refresh(&mut self, now: ClockTime, cause: CauseHash) {
        for (_, entry) in self.entries.range_mut(entries_of(cause)) {
            entry.expires_at = now.after(ENTRY_RETENTION);
        }
    }

    /// Removes outdated entries. Returns whether there were any.
    pub(super) fn prune(&mut self, now: ClockTime) -> bool {
        let count = self.entries.len();
        self.entries.retain(|_, entry| now < entry.expires_at);
        let changed = self.entries.len() < count;
        if changed {
            self.update_digest();
        }
        changed
    }

    /// Each cause that is not cleared, with a crash at which it was present, in order of the causes.
    pub(super) fn blamed(&self) -> impl Iterator<Item = (CauseHash, CrashHash)> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_cleared)
            .map(|(key, _)| (key.cause, key.crash))
    }

    /// Begins a gossip round.
    pub(super) fn begin_round(&mut self) {
        self.rounds += 1;
    }

    /// What to tell a peer: entries that changed recently and, if the peer has sent the `digest` of
    /// its entries and they differ, others, half of them those whose causes were present at most crashes.
    pub(super) fn news(
        &self,
        now: ClockTime,
        digest: Option<u64>,
        random: &mut ChaCha8Rng,
    ) -> CrashNews {
        let differs = digest.is_some_and(|digest| digest != self.digest);
        let is_changed = |entry: &CrashEntry| self.rounds - entry.changed_in < SPREAD_ROUNDS;
        let mut entries: Vec<(&CrashKey, &CrashEntry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| differs || is_changed(entry))
            .collect();
        if entries.len() > MAX_NEWS {
            let counts = self.crash_counts();
            entries.sort_by_key(|(key, entry)| {
                Reverse((counts[&key.cause], is_changed(entry), entry.expires_at))
            });
            entries[MAX_NEWS / 2..].shuffle(random);
            entries.truncate(MAX_NEWS);
        }
        let records = entries.into_iter().map(|(key, entry)| CrashRecord {
            cause: key.cause,
            crash: key.crash,
            age: whole_seconds(ENTRY_RETENTION.saturating_sub(entry.expires_at.since(now))),
            is_cleared: entry.is_cleared,
        });
        CrashNews {
            digest: self.digest,
            records: records.collect(),
        }
    }

    /// Merges what a peer has told. Returns whether any of it was new.
    pub(super) fn merge(&mut self, now: ClockTime, news: &CrashNews) -> bool {
        let mut changed = false;
        for record in &news.records {
            changed |= self.merge_record(now, record);
        }
        self.limit_entries();
        changed
    }

    fn merge_record(&mut self, now: ClockTime, record: &CrashRecord) -> bool {
        let time_left = ENTRY_RETENTION.saturating_sub(record.age);
        if time_left.is_zero() {
            return false;
        }
        let expires_at = now.after(time_left);
        let key = CrashKey {
            cause: record.cause,
            crash: record.crash,
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            let entry = CrashEntry {
                expires_at,
                is_cleared: record.is_cleared,
                changed_in: self.rounds,
            };
            self.digest ^= entry_hash(key, record.is_cleared);
            self.entries.insert(key, entry);
            return true;
        };
        entry.expires_at = entry.expires_at.max(expires_at);
        if record.is_cleared && !entry.is_cleared {
            self.digest ^= entry_hash(key, false) ^ entry_hash(key, true);
            entry.is_cleared = true;
            entry.changed_in = self.rounds;
            return true;
        }
        false
    }

    /// Number of crashes at which each cause was present, cleared or not.
    fn crash_counts(&self) -> BTreeMap<CauseHash, usize> {
        let mut counts = BTreeMap::new();
        for key in self.entries.keys() {
            *counts.entry(key.cause).or_default() += 1;
        }
        counts
    }

    /// Drops entries beyond the maximum: of causes that were present at fewest crashes first, and the
    /// oldest of these.
    fn limit_entries(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let counts = self.crash_counts();
        let mut entries: Vec<(CrashKey, ClockTime)> = self
            .entries
            .iter()
            .map(|(key, entry)| (*key, entry.expires_at))
            .collect();
        entries.sort_by_key(|(key, expires_at)| Reverse((counts[&key.cause], *expires_at)));
        for (key, _) in entries.drain(MAX_ENTRIES..) {
            self.entries.remove(&key);
        }
        self.update_digest();
    }

    fn update_digest(&mut self) {
        let hashes = self.entries.iter();
        self.digest = hashes.fold(0, |digest, (key, entry)| {
            digest ^ entry_hash(*key, entry.is_cleared)
        });
    }
}

fn entries_of(cause: CauseHash) -> RangeInclusive<CrashKey> {
    let first = CrashKey { cause, crash: 0 };
    let last = CrashKey {
        cause,
        crash: CrashHash::MAX,
    };
    first..=last
}

fn entry_hash(key: CrashKey, is_cleared: bool) -> u64 {
    let seed = u64::from(key.crash) << 1 | u64::from(is_cleared);
    XxHash3_64::oneshot_with_seed(seed, &key.cause.value().to_le_bytes())
}

/// The duration rounded up to seconds. Rounded down, an entry that goes back and forth would not age.
fn whole_seconds(duration: Duration) -> Duration {
    Duration::from_secs(duration.as_secs() + u64::from(duration.subsec_nanos() > 0))
}
