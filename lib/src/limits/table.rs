//! The limits of one instance: its own shares, the loans it made, and the loans it received.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::format_smolstr;

use super::{
    LOAN_LIFETIME, LimitAmount, LimitKey, LimitRate, SHARE_COUNT, ShareActivation, ShareBucket,
    loans::{CreditQueue, LoanLedger, LoanReport},
};
use crate::{
    clock::ClockTime,
    config::{ConfigState, InstanceKey},
    member::PeerIncarnation,
    rendezvous,
};

/// A loan request without an answer for this long has failed.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Bounds of the delay after no holder had enough to lend. The delay lasts until the first holder
/// expects to have enough.
const MIN_ROUND_DELAY: Duration = Duration::from_millis(10);
const MAX_ROUND_DELAY: Duration = Duration::from_millis(400);
/// A loan of less than the missing amount divided by this counts as a failed request.
const USEFUL_LOAN_DIVISOR: u64 = 4;
/// A borrower asks for at least its recent demand per second divided by this.
const DEMAND_DIVISOR: u64 = 10;
/// Window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Holder of each share.
type ShareHolders = [Option<InstanceKey>; SHARE_COUNT];

/// A share that the configuration assigns to this instance but that is not active yet.
#[derive(Clone, Copy, Debug)]
struct PendingShare {
    /// Sequence of the configuration that moved the share to this instance.
    moved_sequence: u64,
    /// When all loans of past holders have expired; `None` until the share is released.
    ready_at: Option<ClockTime>,
}

/// A loan request that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    holder: InstanceKey,
    number: u64,
    sent_at: ClockTime,
    /// Amount that the next held request is missing.
    missing: LimitAmount,
}

/// A request for a loan from one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The holder asked.
    pub holder: InstanceKey,
    /// Number of the request; the answer repeats it.
    pub number: u64,
    /// Amount asked for.
    pub amount: LimitAmount,
    /// Amount that the next held request is missing; a smaller loan is of little use.
    pub minimum: LimitAmount,
    /// How long the next held request has waited.
    pub waited: Duration,
    /// What was done with the holder's earlier loans.
    pub report: LoanReport,
}

/// A holder's answer to a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAnswer {
    /// Amount lent.
    pub amount: LimitAmount,
    /// Time until the holder expects to have enough, if nothing is lent.
    pub retry_after: Duration,
}

impl LoanAnswer {
    /// Nothing is lent, and the holder cannot say when it will have enough.
    pub const NONE: LoanAnswer = LoanAnswer {
        amount: LimitAmount::ZERO,
        retry_after: MAX_ROUND_DELAY,
    };
}

/// A borrower's report on one holder's loans of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanSettlement {
    /// The limit.
    pub key: LimitKey,
    /// The holder.
    pub holder: InstanceKey,
    /// What was done with the loans.
    pub report: LoanReport,
}

/// State of one limit.
#[derive(Clone, Debug)]
struct LimitEntry {
    rate: LimitRate,
    holders: ShareHolders,
    /// Every instance that has ever held each share, including the current holder.
    past_holders: [BTreeSet<InstanceKey>; SHARE_COUNT],
    pending_shares: BTreeMap<usize, PendingShare>,
    tokens: ShareBucket,
    requests: ShareBucket,
    ledger: LoanLedger,
    credits: CreditQueue,
    sent_request: Option<SentRequest>,
    /// Index of the next holder to ask, modulo the number of lenders.
    next_lender: usize,
    /// Failed loan requests of the current round.
    failed_requests: usize,
    next_round_at: ClockTime,
    round_delay: Duration,
    window_start: ClockTime,
    window_taken: LimitAmount,
    last_window_taken: LimitAmount,
    totals: LimitTotals,
}

/// Amounts of a limit that one process has admitted, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTotals {
    /// Amount taken for requests.
    pub taken: LimitAmount,
    /// Amount refunded for requests that used less than they took.
    pub refunded: LimitAmount,
}

impl LimitEntry {
    fn new(now: ClockTime, rate: LimitRate) -> LimitEntry {
        LimitEntry {
            rate,
            holders: [None; SHARE_COUNT],
            past_holders: Default::default(),
            pending_shares: BTreeMap::new(),
            tokens: ShareBucket::empty(now, rate.tokens, rate.burst_tokens, 0),
            requests: ShareBucket::empty(now, rate.requests, rate.burst_requests, 0),
            ledger: LoanLedger::default(),
            credits: CreditQueue::default(),
            sent_request: None,
            next_lender: 0,
            failed_requests: 0,
            next_round_at: ClockTime::ZERO,
            round_delay: MAX_ROUND_DELAY,
            window_start: now,
            window_taken: LimitAmount::ZERO,
            last_window_taken: LimitAmount::ZERO,
            totals: LimitTotals::default(),
        }
    }

    fn own_available(&mut self, now: ClockTime) -> LimitAmount {
        let ended = self.ledger.expire(now);
        self.end_loans(now, ended);
        LimitAmount {
            tokens: self.tokens.available(now),
            requests: self.requests.available(now),
        }
    }

    /// Applies a borrower's report, unless it is about another incarnation of this holder.
    fn apply_report(
        &mut self,
        now: ClockTime,
        own_incarnation: u64,
        borrower: PeerIncarnation,
        report: &LoanReport,
    ) {
        if report.incarnation != own_incarnation {
            return;
        }
        let settled = self.ledger.settle(now, borrower, report);
        self.end_loans(now, settled.ended);
        self.tokens.refund(now, settled.returned.tokens);
        self.requests.refund(now, settled.returned.requests);
    }

    fn end_loans(&mut self, now: ClockTime, ended: LimitAmount) {
        self.tokens.end_loan(now, ended.tokens);
        self.requests.end_loan(now, ended.requests);
    }

    fn record_demand(&mut self, now: ClockTime, amount: LimitAmount) {
        let elapsed = now.since(self.window_start);
        if elapsed >= DEMAND_WINDOW {
            let is_recent = elapsed < 2 * DEMAND_WINDOW;
            self.last_window_taken = if is_recent {
                self.window_taken
            } else {
                LimitAmount::ZERO
            };
            self.window_taken = LimitAmount::ZERO;
            self.window_start = now;
        }
        self.window_taken = self.window_taken.saturating_add(amount);
    }

    /// Recent demand of one second, divided by [`DEMAND_DIVISOR`].
    fn demand(&self) -> LimitAmount {
        let demand = self.window_taken.component_max(self.last_window_taken);
        LimitAmount {
            tokens: demand.tokens / DEMAND_DIVISOR,
            requests: demand.requests / DEMAND_DIVISOR,
        }
    }

    /// Distinct holders other than `own`.
    fn lenders(&self, own: Option<InstanceKey>) -> Vec<InstanceKey> {
        let holders: BTreeSet<InstanceKey> = self.holders.iter().flatten().copied().collect();
        holders
            .into_iter()
            .filter(|holder| Some(*holder) != own)
            .collect()
    }

    fn active_share_count(&self, own: Option<InstanceKey>) -> u64 {
        let is_active = |(share, holder): (usize, &Option<InstanceKey>)| {
            holder.is_some() && *holder == own && !self.pending_shares.contains_key(&share)
        };
        self.holders
            .iter()
            .enumerate()
            .filter(|entry| is_active(*entry))
            .count() as u64
    }

    /// What own shares must have available before less than the missing amount is lent: 7/8 of
    /// their burst.
    ///
    /// Smaller loans would expire at borrowers that each wait for the rest.
    fn min_partial_loan(&self) -> LimitAmount {
        let part = |bucket: &ShareBucket| bucket.burst_micros() / 8 * 7;
        LimitAmount {
            tokens: part(&self.tokens),
            requests: part(&self.requests),
        }
    }

    /// Time until own shares alone cover an amount; `None` if never.
    fn time_until_available(&mut self, now: ClockTime, amount: LimitAmount) -> Option<Duration> {
        let tokens = self.tokens.time_until_available(now, amount.tokens)?;
        let requests = self.requests.time_until_available(now, amount.requests)?;
        Some(tokens.max(requests))
    }

    fn resize(&mut self, now: ClockTime, shares: u64) {
        let rate = self.rate;
        self.tokens
            .resize(now, rate.tokens, rate.burst_tokens, shares);
        self.requests
            .resize(now, rate.requests, rate.burst_requests, shares);
    }
}

/// The limits of one instance.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    own: Option<InstanceKey>,
    entries: BTreeMap<LimitKey, LimitEntry>,
    activation: ShareActivation,
    last_request_number: u64,
}

impl LimitTable {
    /// Sets the instances and the sequence of the current configuration.
    pub fn configure(
        &mut self,
        own: Option<InstanceKey>,
        members: BTreeSet<InstanceKey>,
        sequence: u64,
    ) {
        self.own = own;
        self.activation.configure(own, members, sequence);
    }

    /// Adds or updates a limit, and assigns its shares to instances by rendezvous hashing.
    pub fn set_limit(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        name: &str,
        rate: LimitRate,
        config: &ConfigState,
        sequence: u64,
    ) {
        let own = self.own;
        let is_new = !self.entries.contains_key(&key);
        let entry = self
            .entries
            .entry(key)
            .or_insert_with(|| LimitEntry::new(now, rate));
        entry.rate = rate;
        for share in 0..SHARE_COUNT {
            let share_name = format_smolstr!("{name}/{}", share % rate.holder_count());
            let members = config.live_instances().map(|(member, _)| member);
            let name_of = |member: InstanceKey| config.instances[member].name.as_str();
            let holder = rendezvous::best(&share_name, members, name_of);
            let previous = entry.holders[share];
            entry.holders[share] = holder;
            if holder == previous && !is_new {
                continue;
            }
            entry.pending_shares.remove(&share);
            entry.past_holders[share].extend(holder);
            if holder.is_some() && holder == own {
                let pending = PendingShare {
                    moved_sequence: sequence,
                    ready_at: None,
                };
                entry.pending_shares.insert(share, pending);
            }
        }
        let shares = entry.active_share_count(own);
        entry.resize(now, shares);
    }

    /// Records the configuration sequence that an instance follows.
    pub fn record_sequence(&mut self, peer: PeerIncarnation, sequence: u64) {
        self.activation.record_sequence(peer, sequence);
    }

    /// Discards all allowance until a majority of instances has reported again, for example after
    /// a pause of the process.
    pub fn suspend(&mut self, now: ClockTime) {
        self.activation.suspend();
        for entry in self.entries.values_mut() {
            entry.tokens.drain(now);
            entry.requests.drain(now);
            entry.credits.clear();
        }
    }

    /// Activates released shares once all loans of their past holders have expired.
    pub fn update(&mut self, now: ClockTime) {
        let was_active = self.activation.is_active(now);
        self.activation.update(now);
        if !was_active {
            for entry in self.entries.values_mut() {
                entry.tokens.drain(now);
                entry.requests.drain(now);
            }
        }
        let (own, activation) = (self.own, &self.activation);
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| !entry.pending_shares.is_empty())
        {
            for (share, pending) in &mut entry.pending_shares {
                let past_holders = &entry.past_holders[*share];
                if pending.ready_at.is_none()
                    && activation.is_released(pending.moved_sequence, past_holders)
                {
                    pending.ready_at = Some(now.after(LOAN_LIFETIME));
                }
            }
            let is_due =
                |pending: &PendingShare| pending.ready_at.is_some_and(|ready| ready <= now);
            entry.pending_shares.retain(|_, pending| !is_due(pending));
            let shares = entry.active_share_count(own);
            entry.resize(now, shares);
        }
    }

    /// Whether this instance may use its shares.
    pub fn is_active(&self, now: ClockTime) -> bool {
        self.activation.is_active(now)
    }

    /// Whether reports of other instances are still needed to activate shares.
    pub fn needs_peer_sequences(&self, now: ClockTime) -> bool {
        let is_blocked = |entry: &LimitEntry| {
            let mut pending = entry.pending_shares.values();
            pending.any(|pending| pending.ready_at.is_none())
        };
        !self.is_active(now) || self.entries.values().any(is_blocked)
    }

    /// Takes an amount from loans and own shares. The error is the missing amount.
    pub fn take(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        amount: LimitAmount,
    ) -> Result<(), LimitAmount> {
        let active = self.is_active(now);
        let Some(entry) = self.entries.get_mut(&key) else {
            return Err(amount);
        };
        let borrowed = entry.credits.available(now);
        let own = if active {
            entry.own_available(now)
        } else {
            LimitAmount::ZERO
        };
        let all = borrowed.saturating_add(own);
        if !all.covers(amount) {
            return Err(amount.saturating_sub(all));
        }
        entry.record_demand(now, amount);
        entry.totals.taken = entry.totals.taken.saturating_add(amount);
        let from_loans = borrowed.component_min(amount);
        entry.credits.spend(from_loans);
        let rest = amount.saturating_sub(from_loans);
        entry.tokens.try_take(now, rest.tokens);
        entry.requests.try_take(now, rest.requests);
        Ok(())
    }

    /// Puts back an amount that was taken but not used, up to the capacity of own shares.
    pub fn refund(&mut self, now: ClockTime, key: LimitKey, amount: LimitAmount) {
        let active = self.is_active(now);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.totals.refunded = entry.totals.refunded.saturating_add(amount);
        if active {
            entry.own_available(now);
            entry.tokens.refund(now, amount.tokens);
            entry.requests.refund(now, amount.requests);
        }
    }

    /// Amounts of a limit that this process has admitted so far.
    pub fn totals(&self, key: LimitKey) -> LimitTotals {
        self.entries
            .get(&key)
            .map_or_else(LimitTotals::default, |entry| entry.totals)
    }

    /// Time until own shares alone cover an amount; `None` if never.
    pub fn time_until_available(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        amount: LimitAmount,
    ) -> Option<Duration> {
        self.entries
            .get_mut(&key)?
            .time_until_available(now, amount)
    }

    /// Chooses a holder and an amount for the next loan request; `None` while a request is
    /// unanswered, during the delay after all holders failed, and where no other instance holds
    /// shares.
    pub fn request_loan(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        missing: LimitAmount,
        waited: Duration,
    ) -> Option<LoanRequest> {
        let own = self.own;
        let entry = self.entries.get_mut(&key)?;
        if let Some(sent_request) = entry.sent_request {
            if now.since(sent_request.sent_at) < LOAN_REQUEST_TIMEOUT {
                return None;
            }
            entry.sent_request = None;
            entry.failed_requests += 1;
        }
        let lenders = entry.lenders(own);
        if lenders.is_empty() || now < entry.next_round_at {
            return None;
        }
        if entry.failed_requests >= lenders.len() {
            entry.failed_requests = 0;
            entry.next_round_at = now.after(entry.round_delay);
            entry.round_delay = MAX_ROUND_DELAY;
            return None;
        }
        let holder = lenders[entry.next_lender % lenders.len()];
        let amount = missing.component_max(entry.demand());
        self.last_request_number += 1;
        entry.sent_request = Some(SentRequest {
            holder,
            number: self.last_request_number,
            sent_at: now,
            missing,
        });
        let report = entry.credits.take_report(holder);
        Some(LoanRequest {
            holder,
            number: self.last_request_number,
            amount,
            minimum: missing,
            waited,
            report,
        })
    }

    /// Returns loans that expire soon, and collects all reports not yet sent. Holders cannot lend
    /// the amounts again before they receive these reports.
    pub fn take_settlements(&mut self, now: ClockTime) -> Vec<LoanSettlement> {
        let mut settlements = Vec::new();
        for (key, entry) in &mut self.entries {
            entry.credits.return_expiring(now);
            for holder in entry.credits.unreported_holders() {
                settlements.push(LoanSettlement {
                    key: *key,
                    holder,
                    report: entry.credits.take_report(holder),
                });
            }
        }
        settlements
    }

    /// Applies a borrower's report on loans of this instance.
    pub fn apply_settlement(
        &mut self,
        now: ClockTime,
        own_incarnation: u64,
        borrower: PeerIncarnation,
        settlement: &LoanSettlement,
    ) {
        if let Some(entry) = self.entries.get_mut(&settlement.key) {
            entry.apply_report(now, own_incarnation, borrower, &settlement.report);
        }
    }

    /// Answers a borrower's loan request.
    ///
    /// `reserved` is kept back for requests held by this instance.
    pub fn lend(
        &mut self,
        now: ClockTime,
        own_incarnation: u64,
        borrower: PeerIncarnation,
        key: LimitKey,
        request: &LoanRequest,
        reserved: LimitAmount,
    ) -> LoanAnswer {
        let active = self.is_active(now);
        let Some(entry) = self.entries.get_mut(&key) else {
            return LoanAnswer::NONE;
        };
        entry.apply_report(now, own_incarnation, borrower, &request.report);
        if !active || !entry.ledger.may_lend_to(borrower) {
            return LoanAnswer::NONE;
        }
        // Only whole requests are lent: fractions would expire at borrowers that wait for the rest.
        let spare = entry
            .own_available(now)
            .saturating_sub(reserved)
            .round_requests_down();
        let needs = request
            .minimum
            .component_min(entry.min_partial_loan())
            .round_requests_up();
        if !spare.covers(needs) {
            let wait = entry.time_until_available(now, needs.saturating_add(reserved));
            return LoanAnswer {
                amount: LimitAmount::ZERO,
                retry_after: wait.unwrap_or(MAX_ROUND_DELAY),
            };
        }
        let wanted = request.amount.round_requests_up().component_min(spare);
        let lent = LimitAmount {
            tokens: entry.tokens.lend(now, wanted.tokens),
            requests: entry.requests.lend(now, wanted.requests),
        };
        if !lent.is_zero() {
            entry.ledger.record_loan(now, borrower, lent);
        }
        LoanAnswer {
            amount: lent,
            retry_after: Duration::ZERO,
        }
    }

    /// Applies the answer to a loan request. Late and repeated answers are ignored.
    pub fn receive_loan(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        holder: PeerIncarnation,
        number: u64,
        answer: LoanAnswer,
    ) {
        let amount = answer.amount;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let sent_request = entry.sent_request.filter(|sent_request| {
            sent_request.holder == holder.instance && sent_request.number == number
        });
        let Some(sent_request) = sent_request else {
            return;
        };
        entry.sent_request = None;
        let useful = LimitAmount {
            tokens: sent_request.missing.tokens / USEFUL_LOAN_DIVISOR,
            requests: sent_request.missing.requests / USEFUL_LOAN_DIVISOR,
        };
        if amount.is_zero() || !amount.covers(useful) {
            entry.failed_requests += 1;
            entry.next_lender = entry.next_lender.wrapping_add(1);
            let delay = answer.retry_after.clamp(MIN_ROUND_DELAY, MAX_ROUND_DELAY);
            entry.round_delay = entry.round_delay.min(delay);
        } else {
            entry.failed_requests = 0;
            entry.round_delay = MAX_ROUND_DELAY;
        }
        if amount.is_zero() {
            return;
        }
        let expires = sent_request.sent_at.after(LOAN_LIFETIME);
        if expires > now {
            entry.credits.add(holder, expires, amount);
        }
    }

    /// Moves on to the next holder after a loan request could not be delivered.
    pub fn loan_request_failed(&mut self, holder: InstanceKey) {
        for entry in self.entries.values_mut() {
            if entry
                .sent_request
                .is_some_and(|sent_request| sent_request.holder == holder)
            {
                entry.sent_request = None;
                entry.failed_requests += 1;
                entry.next_lender = entry.next_lender.wrapping_add(1);
            }
        }
    }

    /// When the next loan request can be made: after the timeout of the one sent, or after the
    /// delay between rounds.
    pub fn next_loan_request(&self, now: ClockTime, key: LimitKey) -> ClockTime {
        let Some(entry) = self.entries.get(&key) else {
            return now.after(LOAN_REQUEST_TIMEOUT);
        };
        match entry.sent_request {
            Some(sent_request) => sent_request.sent_at.after(LOAN_REQUEST_TIMEOUT),
            None => entry.next_round_at.max(now.after(Duration::from_millis(1))),
        }
    }
}
