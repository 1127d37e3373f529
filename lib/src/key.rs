//! API keys of callers: parsing, hashing and constant-time comparison.
//!
//! A key has the form `ws_ID_SECRET`. The id identifies the credential record; only the SHA-256
//! digest of the whole key is stored and compared. The secret has 256 random bits, so an unsalted
//! digest is sufficient.

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
    /// Hashes a plaintext key of any format.
    pub fn of(plaintext: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(plaintext).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({}…)", hex::encode(&self.0[..4]))
    }
}

/// The id and digest of a key, without the plaintext.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HashedKey {
    /// Identifies the credential record.
    pub id: SmolStr,
    /// Digest of the whole key, compared with that of the record.
    pub digest: KeyDigest,
}

impl HashedKey {
    /// Parses and hashes a plaintext key; returns `None` if it is not of the form `ws_ID_SECRET`.
    pub fn parse(plaintext: &str) -> Option<HashedKey> {
        if plaintext.len() > MAX_KEY_BYTES {
            return None;
        }
        let (id, secret) = plaintext.strip_prefix(KEY_PREFIX)?.split_once('_')?;
        if id.is_empty() || secret.is_empty() {
            return None;
        }
        Some(HashedKey {
            id: id.into(),
            digest: KeyDigest(Sha256::digest(plaintext.as_bytes()).into()),
        })
    }
}

/// A newly generated key: the plaintext for the team and the hash for the configuration.
pub struct GeneratedKey {
    /// The plaintext key, which is shown once and never stored.
    pub plaintext: String,
    /// The id and digest to add to the configuration.
    pub hashed: HashedKey,
}

impl GeneratedKey {
    /// Generates a key for `id` from the given random bytes.
    ///
    /// Returns `None` if the id is empty or contains an underscore.
    pub fn generate(id: &str, random: [u8; SECRET_BYTES]) -> Option<GeneratedKey> {
        if id.contains('_') {
            return None;
        }
        let plaintext = format!("{KEY_PREFIX}{id}_{}", hex::encode(random));
        let hashed = HashedKey::parse(&plaintext)?;
        Some(GeneratedKey { plaintext, hashed })
    }
}
