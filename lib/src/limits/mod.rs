//! Fleet-wide rate limits, split into shares that instances hold and lend to each other.
//!
//! A limit is split into [`SHARE_COUNT`] equal shares. Rendezvous hashing over the configured
//! instances assigns each share to a holder, and only the holder refills it. Holders lend
//! allowance to other instances for [`LOAN_LIFETIME`]; outstanding loans count against the
//! holder's burst until they are spent, returned or expired. No message can therefore create
//! allowance: a lost message wastes some, and a duplicate is ignored.

mod activation;
mod bucket;
mod loans;
mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::{
    activation::ShareActivation,
    bucket::ShareBucket,
    loans::LoanReport,
    table::{LimitTable, LimitTotals, LoanAnswer, LoanRequest, LoanSettlement},
};
use crate::config::{RegionKey, TeamKey, TeamRate};

/// Number of shares that each limit is split into.
pub const SHARE_COUNT: usize = 8;
/// How long a loan is valid.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(1);
/// Micro-units per token or request.
pub const MICROS_PER_UNIT: u64 = 1_000_000;

/// Identifies a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// Token and request rate of a team.
    Team(TeamKey),
    /// Adapter loads from a region's weight store; each load counts as one request.
    Loads(RegionKey),
}

/// An amount of tokens and requests, in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAmount {
    /// Tokens, in micro-units.
    pub tokens: u64,
    /// Requests, in micro-units.
    pub requests: u64,
}

impl LimitAmount {
    /// No tokens and no requests.
    pub const ZERO: LimitAmount = LimitAmount {
        tokens: 0,
        requests: 0,
    };

    /// Converts whole tokens and requests to micro-units, saturating.
    pub fn from_units(tokens: u64, requests: u64) -> LimitAmount {
        LimitAmount {
            tokens: tokens.saturating_mul(MICROS_PER_UNIT),
            requests: requests.saturating_mul(MICROS_PER_UNIT),
        }
    }

    /// Whether both components are zero.
    pub fn is_zero(self) -> bool {
        self == LimitAmount::ZERO
    }

    fn zip(self, other: LimitAmount, combine: impl Fn(u64, u64) -> u64) -> LimitAmount {
        LimitAmount {
            tokens: combine(self.tokens, other.tokens),
            requests: combine(self.requests, other.requests),
        }
    }

    /// Component-wise sum, saturating at the largest value.
    pub fn saturating_add(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::saturating_add)
    }

    /// Component-wise difference, saturating at zero.
    pub fn saturating_sub(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::saturating_sub)
    }

    /// Component-wise minimum.
    pub fn component_min(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::min)
    }

    /// Component-wise maximum.
    pub fn component_max(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::max)
    }

    /// Rounds the requests down to whole requests; tokens are unchanged.
    pub fn round_requests_down(self) -> LimitAmount {
        LimitAmount {
            requests: self.requests / MICROS_PER_UNIT * MICROS_PER_UNIT,
            ..self
        }
    }

    /// Rounds the requests up to whole requests; tokens are unchanged.
    pub fn round_requests_up(self) -> LimitAmount {
        LimitAmount {
            requests: self.requests.div_ceil(MICROS_PER_UNIT) * MICROS_PER_UNIT,
            ..self
        }
    }

    /// Whether both components are at least those of `other`.
    pub fn covers(self, other: LimitAmount) -> bool {
        self.tokens >= other.tokens && self.requests >= other.requests
    }
}

/// Rate and burst of a limit, in whole tokens and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRate {
    /// Tokens per second.
    pub tokens: u64,
    /// Largest burst of tokens.
    pub burst_tokens: u64,
    /// Requests per second.
    pub requests: u64,
    /// Largest burst of requests.
    pub burst_requests: u64,
}

/// Smallest useful part of the burst for one holder, in requests.
const MIN_REQUESTS_PER_HOLDER: u64 = 8;
/// Smallest useful part of the burst for one holder, in tokens.
const MIN_TOKENS_PER_HOLDER: u64 = 2_048;
/// Shares are spread over at least this many holders, so that a failed holder costs at most about a
/// third of the limit. Limits with a burst of fewer requests have one holder per request.
const MIN_HOLDERS: usize = 3;

impl LimitRate {
    /// Number of holders that the shares are spread over.
    ///
    /// Small limits have few holders, so that each holder's part fits at least one request.
    pub fn holder_count(&self) -> usize {
        let by_requests = self.burst_requests / MIN_REQUESTS_PER_HOLDER;
        let by_tokens = match self.burst_tokens {
            0 => by_requests,
            burst => burst / MIN_TOKENS_PER_HOLDER,
        };
        let holders = usize::try_from(by_requests.min(by_tokens)).unwrap_or(SHARE_COUNT);
        let max_holders = usize::try_from(self.burst_requests).unwrap_or(SHARE_COUNT);
        holders
            .clamp(MIN_HOLDERS, SHARE_COUNT)
            .min(max_holders)
            .max(1)
    }
}

impl From<TeamRate> for LimitRate {
    fn from(rate: TeamRate) -> LimitRate {
        LimitRate {
            tokens: rate.tokens_per_second,
            burst_tokens: rate.burst_tokens,
            requests: rate.requests_per_second,
            burst_requests: rate.burst_requests,
        }
    }
}
