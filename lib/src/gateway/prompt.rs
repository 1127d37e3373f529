//! Which shared parts of prompts a model server still keeps.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::server_scheduler::GrantRequest;

/// Part of a server's memory that is taken to keep prompts; the rest holds running requests.
const KEPT_PART: f64 = 0.7;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of its text.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// Estimates what a server keeps from what was sent there; least recently used parts yield.
#[derive(Debug)]
pub struct PartCache {
    capacity: u64,
    used: u64,
    clock: u64,
    /// Tokens and last use of each chain of parts.
    chains: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

impl PartCache {
    /// The cache of a server with that much memory, in tokens.
    pub fn new(memory: u64) -> PartCache {
        PartCache {
            capacity: (memory as f64 * KEPT_PART) as u64,
            used: 0,
            clock: 0,
            chains: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Prompt tokens that the server would have to read.
    pub fn unread(&self, ask: &GrantRequest) -> u64 {
        let mut kept = 0;
        for (chain, tokens) in chains(ask) {
            if !self.chains.contains_key(&chain) {
                break;
            }
            kept += u64::from(tokens);
        }
        ask.prompt_tokens.saturating_sub(kept)
    }

    /// Notes that the server reads the prompt.
    pub fn remember(&mut self, ask: &GrantRequest) {
        for (chain, tokens) in chains(ask) {
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.used = 0;
        self.chains.clear();
        self.by_use.clear();
    }
}

/// Identity and tokens of each part together with all parts before it.
fn chains(ask: &GrantRequest) -> impl Iterator<Item = (u64, u32)> + '_ {
    let mut chain = XxHash3_64::oneshot(ask.model.as_bytes());
    if let Some(adapter) = &ask.adapter {
        chain = XxHash3_64::oneshot_with_seed(chain, adapter.as_bytes());
    }
    ask.parts.iter().map(move |part| {
        chain = XxHash3_64::oneshot_with_seed(chain, &part.id.to_le_bytes());
        (chain, part.tokens)
    })
}
