//! Idempotency keys, which make calls that are not idempotent run at most once.
//!
//! Each key is bound to the incarnation of the instance that issued it. Only that process accepts
//! the call, and it remembers the used keys; other instances and later incarnations reject the key. A
//! call therefore runs at most once despite lost messages, pauses, restarts and resends, without
//! persistent state.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::{SmolStr, format_smolstr};

use crate::{clock::ClockTime, error::ErrorKind};

/// Time for which a key is valid after it was issued.
pub const KEY_LIFETIME: Duration = Duration::from_secs(3_600);

/// An idempotency key issued to a caller.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Value for the `Idempotency-Key` header.
    pub key: SmolStr,
    /// Name of the instance that accepts the key.
    pub instance: SmolStr,
    /// Time for which the key is valid; serialized in milliseconds.
    #[serde(rename = "lifetime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Idempotency keys used in one incarnation of an instance.
#[derive(Clone, Debug)]
pub struct KeyRegistry {
    instance: SmolStr,
    incarnation: u64,
    /// Used keys and their expiry times; an expired key is rejected without a lookup.
    used: BTreeMap<SmolStr, ClockTime>,
}

impl KeyRegistry {
    /// Creates an empty registry.
    pub fn new(instance: SmolStr, incarnation: u64) -> KeyRegistry {
        KeyRegistry {
            instance,
            incarnation,
            used: BTreeMap::new(),
        }
    }

    /// Issues a key; `random` distinguishes keys issued in the same millisecond.
    pub fn issue(&self, now: ClockTime, random: u64) -> IssuedKey {
        let issued = now.as_micros() / 1_000;
        IssuedKey {
            key: format_smolstr!(
                "{issued}-{random:016x}-{}-{}",
                self.incarnation,
                self.instance
            ),
            instance: self.instance.clone(),
            lifetime: KEY_LIFETIME,
        }
    }

    /// Marks a key as used.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the request if the key is malformed, was issued elsewhere,
    /// has expired or is already used.
    pub fn claim(&mut self, now: ClockTime, key: &str) -> Result<(), ErrorKind> {
        let issued = self.issue_time(now, key)?;
        let expires = issued.after(KEY_LIFETIME);
        if expires <= now {
            return Err(ErrorKind::IdempotencyKeyExpired);
        }
        if self.used.contains_key(key) {
            return Err(ErrorKind::IdempotencyKeyUsed);
        }
        self.used.retain(|_, expires| *expires > now);
        self.used.insert(key.into(), expires);
        Ok(())
    }

    /// Makes a key usable again after its request certainly did not run.
    pub fn release(&mut self, key: &str) {
        self.used.remove(key);
    }

    /// Parses the issue time of a key that was issued by this incarnation.
    fn issue_time(&self, now: ClockTime, key: &str) -> Result<ClockTime, ErrorKind> {
        let malformed = ErrorKind::MalformedRequest;
        let mut parts = key.splitn(4, '-');
        let mut next = || parts.next().ok_or(malformed);
        let issued: u64 = next()?.parse().map_err(|_| malformed)?;
        u64::from_str_radix(next()?, 16).map_err(|_| malformed)?;
        let incarnation: u64 = next()?.parse().map_err(|_| malformed)?;
        if next()? != self.instance || incarnation != self.incarnation {
            return Err(ErrorKind::IdempotencyKeyElsewhere);
        }
        let issued = ClockTime::from_micros(issued.saturating_mul(1_000));
        if issued > now {
            return Err(malformed);
        }
        Ok(issued)
    }
}
