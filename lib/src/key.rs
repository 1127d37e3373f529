//! Caller keys: parsing, hashing and constant-time comparison.
//!
//! A key reads `ws_ID_SECRET`. The id finds the record; only the SHA-256 digest of the whole key
//! is stored or compared. The secret has 256 random bits, so that a plain digest suffices.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

const KEY_PREFIX: &str = "ws_";
const SECRET_BYTES: usize = 32;
const MAX_KEY_BYTES: usize = 200;

/// SHA-256 digest of a key.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde_as(as = "Hex")] [u8; 32]);

impl KeyDigest {
    /// Digest of a clear key in any format.
    pub fn of(clear: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(clear).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({}…)", hex::encode(&self.0[..4]))
    }
}

/// What a request shows of its key: the id and the digest, never the clear key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HashedKey {
    /// Finds the key's record.
    pub id: SmolStr,
    /// Compared with the record's digest.
    pub digest: KeyDigest,
}

impl HashedKey {
    /// Parses a clear key; `None` when it does not read `ws_ID_SECRET`.
    pub fn parse(clear: &str) -> Option<HashedKey> {
        if clear.len() > MAX_KEY_BYTES {
            return None;
        }
        let (id, secret) = clear.strip_prefix(KEY_PREFIX)?.split_once('_')?;
        if id.is_empty() || secret.is_empty() {
            return None;
        }
        Some(HashedKey {
            id: id.into(),
            digest: KeyDigest(Sha256::digest(clear.as_bytes()).into()),
        })
    }
}

/// A freshly made key: the clear text for the team and the proof for the configuration.
pub struct GeneratedKey {
    /// Shown once, never stored.
    pub plaintext: String,
    /// Goes into the configuration.
    pub hashed: HashedKey,
}

impl GeneratedKey {
    /// Makes a key for `id` from random bytes supplied by the caller.
    ///
    /// Returns `None` when the id is empty or holds an underscore.
    pub fn generate(id: &str, random: [u8; SECRET_BYTES]) -> Option<GeneratedKey> {
        if id.contains('_') {
            return None;
        }
        let clear = format!("{KEY_PREFIX}{id}_{}", hex::encode(random));
        let proof = HashedKey::parse(&clear)?;
        Some(GeneratedKey {
            plaintext: clear,
            hashed: proof,
        })
    }
}
