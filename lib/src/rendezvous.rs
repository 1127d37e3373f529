//! Rendezvous (highest random weight) hashing of names.
//!
//! Every instance computes the same order from the same names, without shared state. Adding or
//! removing a candidate moves only the keys for which that candidate has the highest weight.

use std::cmp::Reverse;

use twox_hash::XxHash3_64;

/// Separates key and candidate in the hash input, so that `("ab", "c")` and `("a", "bc")` differ.
const NAME_SEPARATOR: u8 = 0x1f;

/// Longest hash input that is built without a heap allocation, in bytes.
const MAX_STACK_BYTES: usize = 256;

/// Weight of `candidate` for `key`; the highest weight wins.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let (key, candidate) = (key.as_bytes(), candidate.as_bytes());
    let length = key.len() + 1 + candidate.len();
    let mut stack = [0; MAX_STACK_BYTES];
    let mut heap = Vec::new();
    let input = if length <= MAX_STACK_BYTES {
        &mut stack[..length]
    } else {
        heap.resize(length, 0);
        &mut heap[..]
    };
    input[..key.len()].copy_from_slice(key);
    input[key.len()] = NAME_SEPARATOR;
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
