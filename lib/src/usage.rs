//! Usage metering: one record per request, numbered within an incarnation of the instance.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::PriceClass;

/// Number of records retained for readers; older ones are kept in the totals only.
const MAX_RETAINED_RECORDS: usize = 65_536;

/// Outcome of a metered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageOutcome {
    /// The caller received the whole response.
    Answered,
    /// The caller disconnected or the response was interrupted; the tokens generated so far are
    /// counted.
    Partial,
    /// The request may have run, but no response arrived.
    Unknown,
}

/// The account that a request is billed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageAccount {
    /// Name of the team's owner; empty if there is no team.
    pub owner: SmolStr,
    /// Name of the team whose key was used; empty on routes that need no key.
    pub team: SmolStr,
    /// Name of the adapter, base model or service.
    pub target: SmolStr,
    /// Price class.
    pub price: PriceClass,
}

/// A metered request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Number of the record within the incarnation, counted from 1 without gaps.
    pub sequence: u64,
    /// Number of the request within the incarnation.
    pub request: u64,
    /// The account that is billed.
    pub account: UsageAccount,
    /// Outcome of the request.
    pub outcome: UsageOutcome,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
}

/// Sums over the requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotal {
    /// Number of requests.
    pub requests: u64,
    /// Number of these requests whose outcome is unknown.
    pub unknown: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
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

/// Usage totals and recent records of one incarnation.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    sequence: u64,
    records: VecDeque<UsageRecord>,
    totals: BTreeMap<UsageAccount, UsageTotal>,
}

impl UsageMeter {
    /// Adds a record for one request.
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
        if self.records.len() == MAX_RETAINED_RECORDS {
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

    /// Retained records after `sequence`, oldest first, at most `limit`.
    ///
    /// A gap in the numbers shows that records in between are no longer retained.
    pub fn records_after(&self, sequence: u64, limit: usize) -> Vec<UsageRecord> {
        self.records
            .iter()
            .filter(|record| record.sequence > sequence)
            .take(limit)
            .cloned()
            .collect()
    }
}
