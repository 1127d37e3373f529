//! Fleet-wide limits, split into shares that instances hold and lend.
//!
//! A limit is split into [`SHARE_COUNT`] equal shares. Rendezvous hashing over the configured
//! instances gives each share a holder, which alone refills it. Holders lend what they have to
//! instances that need it, for [`LOAN_TIME`]; what is lent counts against the holder's burst
//! until it is spent or has expired. No message can therefore create allowance: a lost one
//! wastes some, and a repeated one is ignored.

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
    table::{BorrowPlan, LimitTable, LimitTotals, LoanAnswer, LoanSettlement},
};
use crate::config::{RegionKey, TeamKey, TeamRate};

/// Shares that each limit is split into.
pub const SHARE_COUNT: usize = 8;
/// How long a loan can be used.
pub const LOAN_TIME: Duration = Duration::from_secs(1);
/// Micro-units in one token or request.
pub const MICROS_PER_UNIT: u64 = 1_000_000;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// Tokens and requests of a team.
    Team(TeamKey),
    /// Adapter loads from a region's weight store, counted as requests.
    Loads(RegionKey),
}

/// Amounts of tokens and requests, in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAmount {
    /// Tokens.
    pub tokens: u64,
    /// Requests.
    pub requests: u64,
}

impl LimitAmount {
    /// Nothing.
    pub const ZERO: LimitAmount = LimitAmount {
        tokens: 0,
        requests: 0,
    };

    /// Whole tokens and requests.
    pub fn from_units(tokens: u64, requests: u64) -> LimitAmount {
        LimitAmount {
            tokens: tokens.saturating_mul(MICROS_PER_UNIT),
            requests: requests.saturating_mul(MICROS_PER_UNIT),
        }
    }

    /// Whether nothing is left.
    pub fn is_zero(self) -> bool {
        self == LimitAmount::ZERO
    }

    fn zip(self, other: LimitAmount, join: impl Fn(u64, u64) -> u64) -> LimitAmount {
        LimitAmount {
            tokens: join(self.tokens, other.tokens),
            requests: join(self.requests, other.requests),
        }
    }

    /// Sum, saturating.
    pub fn saturating_add(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::saturating_add)
    }

    /// Difference, not below zero.
    pub fn saturating_sub(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::saturating_sub)
    }

    /// The smaller of each.
    pub fn component_min(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::min)
    }

    /// The larger of each.
    pub fn component_max(self, other: LimitAmount) -> LimitAmount {
        self.zip(other, u64::max)
    }

    /// Requests rounded down to whole ones.
    pub fn whole_requests(self) -> LimitAmount {
        LimitAmount {
            requests: self.requests / MICROS_PER_UNIT * MICROS_PER_UNIT,
            ..self
        }
    }

    /// Requests rounded up to whole ones.
    pub fn whole_requests_up(self) -> LimitAmount {
        LimitAmount {
            requests: self.requests.div_ceil(MICROS_PER_UNIT) * MICROS_PER_UNIT,
            ..self
        }
    }

    /// Whether each is at least that of `other`.
    pub fn covers(self, other: LimitAmount) -> bool {
        self.tokens >= other.tokens && self.requests >= other.requests
    }
}

/// Rates a second and bursts of a limit, in whole units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRate {
    /// Tokens a second.
    pub tokens: u64,
    /// Tokens at once.
    pub burst_tokens: u64,
    /// Requests a second.
    pub requests: u64,
    /// Requests at once.
    pub burst_requests: u64,
}

/// A holder's part of the burst should be this many requests or more.
const LEAST_HOLDER_REQUESTS: u64 = 8;
/// A holder's part of the burst should be this many tokens or more.
const LEAST_HOLDER_TOKENS: u64 = 2_048;
/// A lost holder takes no more than this part of a limit, where whole requests allow it.
const LEAST_HOLDERS: usize = 3;

impl LimitRate {
    /// Holders that the shares are spread over.
    ///
    /// Small limits have few, so that the part of each can carry a whole request.
    pub fn holders(&self) -> usize {
        let by_requests = self.burst_requests / LEAST_HOLDER_REQUESTS;
        let by_tokens = match self.burst_tokens {
            0 => by_requests,
            burst => burst / LEAST_HOLDER_TOKENS,
        };
        let holders = usize::try_from(by_requests.min(by_tokens)).unwrap_or(SHARE_COUNT);
        let whole_parts = usize::try_from(self.burst_requests).unwrap_or(SHARE_COUNT);
        holders
            .clamp(LEAST_HOLDERS, SHARE_COUNT)
            .min(whole_parts)
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
