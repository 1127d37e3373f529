//! Requests that seem to crash the servers that run them.

use std::{collections::BTreeMap, time::Duration};

use super::servers::GatewayServerKey;
use crate::clock::ClockTime;

/// A broken connection counts as a crash if the server is seen down within this time.
const CONFIRM_WITHIN: Duration = Duration::from_millis(1_500);
/// How long a crash is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Most fingerprints kept.
const MAX_SUSPECTS: usize = 32;

#[derive(Debug)]
struct CrashRecord {
    count: u32,
    last: ClockTime,
}

/// Fingerprints of requests that were running when their server crashed.
#[derive(Debug, Default)]
pub(super) struct SuspectList {
    pending: Vec<(GatewayServerKey, u64, ClockTime)>,
    crashes: BTreeMap<u64, CrashRecord>,
}

impl SuspectList {
    /// Notes that a request's connection broke before its answer.
    pub(super) fn record_broken_connection(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        fingerprint: u64,
    ) {
        self.pending
            .retain(|(_, _, time)| now.since(*time) < CONFIRM_WITHIN);
        self.pending.push((server, fingerprint, now));
    }

    /// Counts the requests whose connections to `server` broke lately; returns whether any did.
    pub(super) fn confirm_crashes(&mut self, now: ClockTime, server: GatewayServerKey) -> bool {
        let mut confirmed = false;
        let pending = std::mem::take(&mut self.pending);
        for (broken, fingerprint, time) in pending {
            if now.since(time) >= CONFIRM_WITHIN {
                continue;
            }
            if broken != server {
                self.pending.push((broken, fingerprint, time));
                continue;
            }
            let record = self.crashes.entry(fingerprint).or_insert(CrashRecord {
                count: 0,
                last: now,
            });
            record.count += 1;
            record.last = now;
            confirmed = true;
        }
        confirmed
    }

    /// What to tell peers.
    pub(super) fn crash_counts(&mut self, now: ClockTime) -> Vec<(u64, u32)> {
        self.crashes
            .retain(|_, record| now.since(record.last) < REMEMBERED);
        let mut newest: Vec<(&u64, &CrashRecord)> = self.crashes.iter().collect();
        newest.sort_by_key(|(_, record)| std::cmp::Reverse(record.last));
        newest
            .into_iter()
            .take(MAX_SUSPECTS)
            .map(|(fingerprint, record)| (*fingerprint, record.count))
            .collect()
    }
}
