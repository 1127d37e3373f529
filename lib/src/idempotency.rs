//! Idempotency keys: each names the one process life that may run its request, once.
//!
//! A call that may not be repeated carries a key that an instance issued. Only that life of that
//! instance runs it, and remembers that it did; any other instance, and any later life, refuses
//! it. A request therefore runs at most once whatever is lost, paused, restarted or sent again,
//! without any state that outlives a process.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smol_str::{SmolStr, format_smolstr};

use crate::{clock::ClockTime, error::ErrorKind};

/// How long a key can be used after it was issued.
pub const KEY_LIFETIME: Duration = Duration::from_secs(3_600);

/// A key that was issued.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedKey {
    /// Value for the `Idempotency-Key` header.
    pub key: SmolStr,
    /// The instance that must get the request.
    pub instance: SmolStr,
    /// How long the key can be used, in milliseconds.
    #[serde(rename = "lifetime_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

/// Keys used by one process life.
#[derive(Clone, Debug)]
pub struct KeyRegistry {
    instance: SmolStr,
    life: u64,
    /// Used keys with the time after which they are refused anyway.
    used: BTreeMap<SmolStr, ClockTime>,
}

impl KeyRegistry {
    /// A register without used keys.
    pub fn new(instance: SmolStr, life: u64) -> KeyRegistry {
        KeyRegistry {
            instance,
            life,
            used: BTreeMap::new(),
        }
    }

    /// Issues a key; `random` tells it from others of the same millisecond.
    pub fn issue(&self, now: ClockTime, random: u64) -> IssuedKey {
        let issued = now.as_micros() / 1_000;
        IssuedKey {
            key: format_smolstr!("{issued}-{random:016x}-{}-{}", self.life, self.instance),
            instance: self.instance.clone(),
            lifetime: KEY_LIFETIME,
        }
    }

    /// Marks a key as used, or returns why the request may not run.
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

    /// Lets a key be used again after its request provably did not run.
    pub fn release(&mut self, key: &str) {
        self.used.remove(key);
    }

    /// When a key of this life was issued.
    fn issue_time(&self, now: ClockTime, key: &str) -> Result<ClockTime, ErrorKind> {
        let malformed = ErrorKind::MalformedRequest;
        let mut parts = key.splitn(4, '-');
        let mut next = || parts.next().ok_or(malformed);
        let issued: u64 = next()?.parse().map_err(|_| malformed)?;
        u64::from_str_radix(next()?, 16).map_err(|_| malformed)?;
        let life: u64 = next()?.parse().map_err(|_| malformed)?;
        if next()? != self.instance || life != self.life {
            return Err(ErrorKind::IdempotencyKeyElsewhere);
        }
        let issued = ClockTime::from_micros(issued.saturating_mul(1_000));
        if issued > now {
            return Err(malformed);
        }
        Ok(issued)
    }
}
