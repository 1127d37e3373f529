//! Rendezvous (highest random weight) hashing over names.
//!
//! Every instance computes the same order from the same names, without a directory to keep in
//! step; adding or removing one candidate moves only the keys that candidate wins.

use std::cmp::Reverse;

use twox_hash::XxHash3_64;

/// Separates the parts of a hashed key, so that `("ab", "c")` and `("a", "bc")` differ.
const PART_SEPARATOR: u8 = 0x1f;

/// Longest input that is put together without allocating, in bytes.
const STACK_BYTES: usize = 256;

/// Weight of `candidate` for `key`; the highest weight wins.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let (key, candidate) = (key.as_bytes(), candidate.as_bytes());
    let length = key.len() + 1 + candidate.len();
    let mut stack = [0; STACK_BYTES];
    let mut heap = Vec::new();
    let input = if length <= STACK_BYTES {
        &mut stack[..length]
    } else {
        heap.resize(length, 0);
        &mut heap[..]
    };
    input[..key.len()].copy_from_slice(key);
    input[key.len()] = PART_SEPARATOR;
    input[key.len() + 1..].copy_from_slice(candidate);
    XxHash3_64::oneshot(input)
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
