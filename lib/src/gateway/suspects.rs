//! Tracks requests that may have crashed the servers they ran on.

use std::{collections::BTreeMap, time::Duration};

use super::servers::GatewayServerKey;
use crate::clock::ClockTime;

/// Time within which a broken connection counts as a crash if the server is found to be down.
const CONFIRM_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of fingerprints sent to peers.
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
    /// Records that the connection of a request broke before its response.
    pub(super) fn record_broken_connection(
        &mut self,
        now: ClockTime,
        server: GatewayServerKey,
        fingerprint: u64,
    ) {
        self.pending
            .retain(|(_, _, time)| now.since(*time) < CONFIRM_WINDOW);
        self.pending.push((server, fingerprint, now));
    }

    /// Counts a crash for each request whose connection to `server` broke recently. Returns whether
    /// there was any.
    pub(super) fn confirm_crashes(&mut self, now: ClockTime, server: GatewayServerKey) -> bool {
        let mut confirmed = false;
        let pending = std::mem::take(&mut self.pending);
        for (broken, fingerprint, time) in pending {
            if now.since(time) >= CONFIRM_WINDOW {
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

    /// Crash counts by fingerprint, newest first, to send to peers.
    pub(super) fn crash_counts(&mut self, now: ClockTime) -> Vec<(u64, u32)> {
        self.crashes
            .retain(|_, record| now.since(record.last) < CRASH_RETENTION);
        let mut newest: Vec<(&u64, &CrashRecord)> = self.crashes.iter().collect();
        newest.sort_by_key(|(_, record)| std::cmp::Reverse(record.last));
        newest
            .into_iter()
            .take(MAX_SUSPECTS)
            .map(|(fingerprint, record)| (*fingerprint, record.count))
            .collect()
    }
}
