//! How long a model server reads a prompt, learned from first events.

use std::time::Duration;

/// Assumed until it has been measured: milliseconds for a token, somewhat slower than the 38 tokens
/// a millisecond of published engines, and for a million pairs of tokens that attend to each other.
const FIRST_TOKEN_MS: f64 = 1.0 / 33.0;
const FIRST_PAIRS_MS: f64 = 0.5;
/// Prompt, in tokens, that the assumption counts for, and how often.
const ASSUMED_PROMPTS: [f64; 2] = [4_000.0, 16_000.0];
const ASSUMED_WEIGHT: f64 = 3.0;
/// Weight that a measurement keeps with each new one: some thirty prompts count.
const MEMORY: f64 = 0.97;
/// Least time for a token that is believed, in milliseconds.
const LEAST_TOKEN_MS: f64 = 1.0 / 200.0;
const PAIRS_IN_A_MILLION: f64 = 1_000_000.0;

/// Time to read a prompt by its tokens and by its pairs of tokens, fitted by weighted least squares.
#[derive(Clone, Debug)]
pub(super) struct ReadingModel {
    token_token: f64,
    token_pairs: f64,
    pairs_pairs: f64,
    token_ms: f64,
    pairs_ms: f64,
}

impl ReadingModel {
    /// A model that knows only the assumption.
    pub(super) fn new() -> ReadingModel {
        let mut model = ReadingModel {
            token_token: 0.0,
            token_pairs: 0.0,
            pairs_pairs: 0.0,
            token_ms: 0.0,
            pairs_ms: 0.0,
        };
        model.assume(1.0);
        model
    }

    fn assume(&mut self, part: f64) {
        for tokens in ASSUMED_PROMPTS {
            let pairs = million_pairs(tokens, tokens);
            let millis = tokens * FIRST_TOKEN_MS + pairs * FIRST_PAIRS_MS;
            self.add(tokens, pairs, millis, part * ASSUMED_WEIGHT);
        }
    }

    /// Takes in that `unread` of `tokens` prompt tokens were read in `time`.
    pub(super) fn learn(&mut self, tokens: u64, unread: u64, time: Duration) {
        for sum in [
            &mut self.token_token,
            &mut self.token_pairs,
            &mut self.pairs_pairs,
            &mut self.token_ms,
            &mut self.pairs_ms,
        ] {
            *sum *= MEMORY;
        }
        // The assumption keeps its weight, so that prompts of one length alone do not mislead.
        self.assume(1.0 - MEMORY);
        let pairs = million_pairs(tokens as f64, unread as f64);
        self.add(unread as f64, pairs, time.as_secs_f64() * 1_000.0, 1.0);
    }

    /// Adds a measurement; relative errors count alike, whatever the length.
    fn add(&mut self, tokens: f64, pairs: f64, millis: f64, weight: f64) {
        let weight = weight / tokens.max(1.0).powi(2);
        self.token_token += weight * tokens * tokens;
        self.token_pairs += weight * tokens * pairs;
        self.pairs_pairs += weight * pairs * pairs;
        self.token_ms += weight * tokens * millis;
        self.pairs_ms += weight * pairs * millis;
    }

    /// Expected time to read `unread` of `tokens` prompt tokens.
    pub(super) fn time(&self, tokens: u64, unread: u64) -> Duration {
        let (token_ms, pairs_ms) = self.solve();
        let pairs = million_pairs(tokens as f64, unread as f64);
        let millis = unread as f64 * token_ms + pairs * pairs_ms;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    fn solve(&self) -> (f64, f64) {
        let determinant = self.token_token * self.pairs_pairs - self.token_pairs * self.token_pairs;
        // The two lengths of the assumption keep it above zero.
        let pairs_ms = ((self.token_token * self.pairs_ms - self.token_pairs * self.token_ms)
            / determinant)
            .max(0.0);
        let token_ms = (self.token_ms - pairs_ms * self.token_pairs) / self.token_token;
        (token_ms.max(LEAST_TOKEN_MS), pairs_ms)
    }
}

/// Pairs of tokens that attend to each other while the last `unread` of `tokens` are read.
fn million_pairs(tokens: f64, unread: f64) -> f64 {
    unread * (tokens - unread / 2.0).max(0.0) / PAIRS_IN_A_MILLION
}
