//! Rendezvous (highest random weight) hashing over names.
//!
//! Every instance computes the same order from the same names, without a directory to keep in
//! step; adding or removing one candidate moves only the keys that candidate wins.

use std::cmp::Reverse;

use twox_hash::XxHash3_64;

/// Separates the parts of a hashed key, so that `("ab", "c")` and `("a", "bc")` differ.
const PART_SEPARATOR: u8 = 0x1f;

/// Weight of `candidate` for `key`; the highest weight wins.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut input = Vec::with_capacity(key.len() + candidate.len() + 1);
    input.extend_from_slice(key.as_bytes());
    input.push(PART_SEPARATOR);
    input.extend_from_slice(candidate.as_bytes());
    XxHash3_64::oneshot(&input)
}

/// Sorts `candidates` by descending weight for `key`, ties broken by name.
pub fn rank<'n, T: Copy>(key: &str, candidates: &mut [T], name_of: impl Fn(T) -> &'n str) {
    candidates.sort_by_cached_key(|candidate| {
        let name = name_of(*candidate);
        (Reverse(weight(key, name)), name)
    });
}

/// The candidate with the highest weight for `key`.
pub fn best<'n, T: Copy>(
    key: &str,
    candidates: impl IntoIterator<Item = T>,
    name_of: impl Fn(T) -> &'n str,
) -> Option<T> {
    candidates.into_iter().min_by_key(|candidate| {
        let name = name_of(*candidate);
        (Reverse(weight(key, name)), name)
    })
}
