//! Metering: each request counted once, in records numbered within one process life.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::PriceClass;

/// Records kept for readers; older ones remain in the totals only.
const KEPT_RECORDS: usize = 65_536;

/// How a counted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageOutcome {
    /// The caller got the whole answer.
    Answered,
    /// The caller went away or the answer broke off; the tokens made so far are counted.
    Partial,
    /// The request may have run, but no answer came.
    Unknown,
}

/// What a request is billed by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageAccount {
    /// The owner who caused the request.
    pub owner: SmolStr,
    /// The team whose key came with it; empty on open routes.
    pub team: SmolStr,
    /// Adapter, base model or service.
    pub target: SmolStr,
    /// Price class.
    pub price: PriceClass,
}

/// One counted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Position within the process life, counted from 1 without gaps.
    pub sequence: u64,
    /// The request's number within the process life.
    pub request: u64,
    /// Who is billed for what.
    pub account: UsageAccount,
    /// How it ended.
    pub outcome: UsageOutcome,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// Sums over the requests of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotal {
    /// Requests counted.
    pub requests: u64,
    /// Of these, requests whose outcome is not known.
    pub unknown: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

impl UsageTotal {
    /// Adds another total to this one.
    pub fn add(&mut self, other: &UsageTotal) {
        self.requests += other.requests;
        self.unknown += other.unknown;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
    }
}

/// Totals and recent records of one process life.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    sequence: u64,
    records: VecDeque<UsageRecord>,
    totals: BTreeMap<UsageAccount, UsageTotal>,
}

impl UsageMeter {
    /// Counts one request.
    pub fn count(
        &mut self,
        request: u64,
        account: UsageAccount,
        outcome: UsageOutcome,
        prompt_tokens: u64,
        output_tokens: u64,
    ) {
        self.sequence += 1;
        let total = self.totals.entry(account.clone()).or_default();
        total.add(&UsageTotal {
            requests: 1,
            unknown: u64::from(outcome == UsageOutcome::Unknown),
            prompt_tokens,
            output_tokens,
        });
        if self.records.len() == KEPT_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(UsageRecord {
            sequence: self.sequence,
            request,
            account,
            outcome,
            prompt_tokens,
            output_tokens,
        });
    }

    /// Number of the last record; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Totals by account.
    pub fn totals(&self) -> &BTreeMap<UsageAccount, UsageTotal> {
        &self.totals
    }

    /// Kept records after `sequence`, oldest first, at most `limit`.
    ///
    /// A reader detects records that are no longer kept by the gap in their numbers.
    pub fn records_after(&self, sequence: u64, limit: usize) -> Vec<UsageRecord> {
        self.records
            .iter()
            .filter(|record| record.sequence > sequence)
            .take(limit)
            .cloned()
            .collect()
    }
}
