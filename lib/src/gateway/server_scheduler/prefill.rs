//! Estimates how long a model server takes to prefill a prompt, learned from first events.

use std::time::Duration;

/// Prior estimate: milliseconds per token, somewhat slower than the 38 tokens per millisecond of
/// published engines, and milliseconds per million pairs of tokens that attend to each other.
const PRIOR_TOKEN_MS: f64 = 1.0 / 33.0;
const PRIOR_PAIRS_MS: f64 = 0.5;
/// Prompt lengths, in tokens, for which the prior is weighted like measurements, and the weight of
/// each.
const PRIOR_PROMPTS: [f64; 2] = [4_000.0, 16_000.0];
const PRIOR_WEIGHT: f64 = 3.0;
/// Factor on the weight of earlier measurements with each new one, so that about thirty prompts
/// count.
const RETENTION: f64 = 0.97;
/// Lower bound of the estimated time per token, in milliseconds.
const MIN_TOKEN_MS: f64 = 1.0 / 200.0;
/// Prompt length, in tokens, for which the speed is stated.
const SPEED_PROMPT_TOKENS: u64 = 4_000;
/// Number of measurements from which on the speed is known.
const MIN_SPEED_MEASUREMENTS: u32 = 3;
const PAIRS_IN_A_MILLION: f64 = 1_000_000.0;

/// Prefill time as a function of the number of tokens and of token pairs, fitted by weighted least
/// squares.
#[derive(Clone, Debug)]
pub(super) struct PrefillModel {
    token_token: f64,
    token_pairs: f64,
    pairs_pairs: f64,
    token_ms: f64,
    pairs_ms: f64,
    /// Speed for which the prior is weighted, relative to nominal.
    prior_speed: f64,
    /// Measurements that the speed is based on, up to [`MIN_SPEED_MEASUREMENTS`].
    measurements: u32,
}

impl PrefillModel {
    /// Creates a model that consists of the prior only.
    pub(super) fn new() -> PrefillModel {
        PrefillModel::with_prior(1.0, 0)
    }

    /// Creates a model of a server whose speed relative to the prior is known from elsewhere.
    pub(super) fn with_speed(speed: f64) -> PrefillModel {
        PrefillModel::with_prior(speed, MIN_SPEED_MEASUREMENTS)
    }

    fn with_prior(prior_speed: f64, measurements: u32) -> PrefillModel {
        let mut model = PrefillModel {
            token_token: 0.0,
            token_pairs: 0.0,
            pairs_pairs: 0.0,
            token_ms: 0.0,
            pairs_ms: 0.0,
            prior_speed,
            measurements,
        };
        model.add_prior(1.0);
        model
    }

    fn add_prior(&mut self, part: f64) {
        for tokens in PRIOR_PROMPTS {
            let pairs = million_pairs(tokens, tokens);
            let millis = prior_millis(tokens, pairs) / self.prior_speed;
            self.add(tokens, pairs, millis, part * PRIOR_WEIGHT);
        }
    }

    /// Adds a measurement: `uncached` of `tokens` prompt tokens were prefilled in `time`.
    pub(super) fn record(&mut self, tokens: u64, uncached: u64, time: Duration) {
        for sum in [
            &mut self.token_token,
            &mut self.token_pairs,
            &mut self.pairs_pairs,
            &mut self.token_ms,
            &mut self.pairs_ms,
        ] {
            *sum *= RETENTION;
        }
        // The prior keeps its weight, so that prompts of a single length don't distort the fit.
        self.add_prior(1.0 - RETENTION);
        self.measurements = (self.measurements + 1).min(MIN_SPEED_MEASUREMENTS);
        let pairs = million_pairs(tokens as f64, uncached as f64);
        self.add(uncached as f64, pairs, time.as_secs_f64() * 1_000.0, 1.0);
    }

    /// Adds a measurement. Dividing by the squared length makes relative errors count alike for all
    /// lengths.
    fn add(&mut self, tokens: f64, pairs: f64, millis: f64, weight: f64) {
        let weight = weight / tokens.max(1.0).powi(2);
        self.token_token += weight * tokens * tokens;
        self.token_pairs += weight * tokens * pairs;
        self.pairs_pairs += weight * pairs * pairs;
        self.token_ms += weight * tokens * millis;
        self.pairs_ms += weight * pairs * millis;
    }

    /// Expected time to prefill `uncached` of `tokens` prompt tokens.
    pub(super) fn estimate(&self, tokens: u64, uncached: u64) -> Duration {
        let (token_ms, pairs_ms) = self.solve();
        let pairs = million_pairs(tokens as f64, uncached as f64);
        let millis = uncached as f64 * token_ms + pairs * pairs_ms;
        Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX)
    }

    /// Speed relative to the prior, or `None` before there are enough measurements.
    pub(super) fn speed(&self) -> Option<f64> {
        if self.measurements < MIN_SPEED_MEASUREMENTS {
            return None;
        }
        let tokens = SPEED_PROMPT_TOKENS as f64;
        let prior = prior_millis(tokens, million_pairs(tokens, tokens));
        let time = self.estimate(SPEED_PROMPT_TOKENS, SPEED_PROMPT_TOKENS);
        Some(prior / (time.as_secs_f64() * 1_000.0))
    }

    fn solve(&self) -> (f64, f64) {
        let determinant = self.token_token * self.pairs_pairs - self.token_pairs * self.token_pairs;
        // The two prompt lengths of the prior keep the determinant above zero.
        let pairs_ms = ((self.token_token * self.pairs_ms - self.token_pairs * self.token_ms)
            / determinant)
            .max(0.0);
        let token_ms = (self.token_ms - pairs_ms * self.token_pairs) / self.token_token;
        (token_ms.max(MIN_TOKEN_MS), pairs_ms)
    }
}

/// Time of the prior to prefill `tokens` tokens with `pairs` million pairs, in milliseconds.
fn prior_millis(tokens: f64, pairs: f64) -> f64 {
    tokens * PRIOR_TOKEN_MS + pairs * PRIOR_PAIRS_MS
}

/// Millions of token pairs that attend to each other while the last `uncached` of `tokens` are
/// prefilled.
fn million_pairs(tokens: f64, uncached: f64) -> f64 {
    uncached * (tokens - uncached / 2.0).max(0.0) / PAIRS_IN_A_MILLION
}
