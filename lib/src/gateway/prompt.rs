//! Estimates which shared prompt parts are in a model server's prefix cache.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::server_scheduler::GrantRequest;

/// Share of a server's cache memory that holds cached prefixes. The rest holds running requests.
const CACHE_SHARE: f64 = 0.7;

/// Part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash that identifies the text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Estimated content of a server's prefix cache, based on the requests sent there. Evicts the least
/// recently used parts.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    /// Token count and last use of each chain of parts.
    chains: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for a server with `memory_tokens` of cache memory.
    pub fn new(memory_tokens: u64) -> PrefixCache {
        PrefixCache {
            capacity: (memory_tokens as f64 * CACHE_SHARE) as u64,
            used: 0,
            clock: 0,
            chains: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Prompt tokens that the server would have to prefill.
    pub fn uncached_tokens(&self, request: &GrantRequest) -> u64 {
        let mut cached = 0;
        for (chain, tokens) in chains(request) {
            if !self.chains.contains_key(&chain) {
                break;
            }
            cached += u64::from(tokens);
        }
        request.prompt_tokens.saturating_sub(cached)
    }

    /// Adds the parts of a prompt and marks them as used.
    pub fn insert(&mut self, request: &GrantRequest) {
        for (chain, tokens) in chains(request) {
            self.clock += 1;
            match self.chains.insert(chain, (tokens, self.clock)) {
                Some((_, last)) => {
                    self.by_use.remove(&last);
                }
                None => self.used += u64::from(tokens),
            }
            self.by_use.insert(self.clock, chain);
        }
        while self.used > self.capacity {
            let Some((_, chain)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.chains.remove(&chain) {
                self.used -= u64::from(tokens);
            }
        }
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.used = 0;
        self.chains.clear();
        self.by_use.clear();
    }
}

/// Hash of each part combined with all parts before it, and the tokens of the part.
fn chains(request: &GrantRequest) -> impl Iterator<Item = (u64, u32)> + '_ {
    let mut chain = XxHash3_64::oneshot(request.model.as_bytes());
    if let Some(adapter) = &request.adapter {
        chain = XxHash3_64::oneshot_with_seed(chain, adapter.as_bytes());
    }
    request.parts.iter().map(move |part| {
        chain = XxHash3_64::oneshot_with_seed(chain, &part.id.to_le_bytes());
        (chain, part.tokens)
    })
}
