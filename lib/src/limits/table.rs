//! All limits as one instance sees them: its own shares, its loans, what it can borrow.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use smol_str::format_smolstr;

use super::{
    LOAN_TIME, LimitAmount, LimitKey, LimitRate, SHARE_COUNT, ShareActivation, ShareBucket,
    loans::{CreditQueue, LoanLedger, LoanReport},
};
use crate::{
    clock::ClockTime,
    config::{ConfigState, InstanceKey},
    member::PeerIncarnation,
    rendezvous,
};

/// An ask without an answer for this long is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after all holders were asked in vain: until the first expects to have enough, in bounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(10);
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(400);
/// An answer below this part of what was asked for counts as given in vain.
const USEFUL_PARTS: u64 = 4;
/// A borrower asks for the demand of this part of a second at once.
const DEMAND_PARTS: u64 = 10;
/// Window over which demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Holder of each share.
type ShareHolders = [Option<InstanceKey>; SHARE_COUNT];

/// A share on its way to this instance.
#[derive(Clone, Copy, Debug)]
struct PendingShare {
    /// Sequence of the configuration that moved the share here.
    since: u64,
    /// When the former holder's loans have expired.
    ready_at: Option<ClockTime>,
}

/// An ask that was sent.
#[derive(Clone, Copy, Debug)]
struct SentAsk {
    holder: InstanceKey,
    number: u64,
    sent: ClockTime,
    amount: LimitAmount,
}

/// Whom to ask for how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BorrowPlan {
    /// The holder.
    pub holder: InstanceKey,
    /// Number of the ask; the grant repeats it.
    pub number: u64,
    /// How much.
    pub amount: LimitAmount,
    /// What the next request needs; less is of little use.
    pub least: LimitAmount,
    /// How long the next request has waited.
    pub waited: Duration,
    /// What was done with the holder's loans.
    pub report: LoanReport,
}

/// A holder's answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanAnswer {
    /// How much is lent.
    pub amount: LimitAmount,
    /// When nothing is lent, how long until the holder expects to have enough.
    pub wait: Duration,
}

impl LoanAnswer {
    /// Nothing is lent, and the holder cannot tell when it could.
    pub const NOTHING: LoanAnswer = LoanAnswer {
        amount: LimitAmount::ZERO,
        wait: MAX_ROUND_PAUSE,
    };
}

/// What a borrower has done with one holder's loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanSettlement {
    /// The limit.
    pub key: LimitKey,
    /// The holder.
    pub holder: InstanceKey,
    /// What was done.
    pub report: LoanReport,
}

/// One limit.
#[derive(Clone, Debug)]
struct LimitEntry {
    rate: LimitRate,
    holders: ShareHolders,
    /// All that ever held each share.
    formers: [BTreeSet<InstanceKey>; SHARE_COUNT],
    pending: BTreeMap<usize, PendingShare>,
    tokens: ShareBucket,
    requests: ShareBucket,
    ledger: LoanLedger,
    credits: CreditQueue,
    asked: Option<SentAsk>,
    next_holder: usize,
    empty_answers: usize,
    next_round: ClockTime,
    round_pause: Duration,
    window_start: ClockTime,
    window_taken: LimitAmount,
    last_taken: LimitAmount,
    totals: LimitTotals,
}

/// What one process has admitted of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTotals {
    /// Taken for requests.
    pub taken: LimitAmount,
    /// Given back after requests that used less.
    pub refunded: LimitAmount,
}

impl LimitEntry {
    fn new(now: ClockTime, rate: LimitRate) -> LimitEntry {
        LimitEntry {
            rate,
            holders: [None; SHARE_COUNT],
            formers: Default::default(),
            pending: BTreeMap::new(),
            tokens: ShareBucket::empty(now, rate.tokens, rate.burst_tokens, 0),
            requests: ShareBucket::empty(now, rate.requests, rate.burst_requests, 0),
            ledger: LoanLedger::default(),
            credits: CreditQueue::default(),
            asked: None,
            next_holder: 0,
            empty_answers: 0,
            next_round: ClockTime::ZERO,
            round_pause: MAX_ROUND_PAUSE,
            window_start: now,
            window_taken: LimitAmount::ZERO,
            last_taken: LimitAmount::ZERO,
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

    /// Takes in a borrower's report, unless it is about another life of this holder.
    fn settle(
        &mut self,
        now: ClockTime,
        own_life: u64,
        borrower: PeerIncarnation,
        report: &LoanReport,
    ) {
        if report.incarnation != own_life {
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

    fn count_demand(&mut self, now: ClockTime, amount: LimitAmount) {
        let elapsed = now.since(self.window_start);
        if elapsed >= DEMAND_WINDOW {
            let recent = elapsed < 2 * DEMAND_WINDOW;
            self.last_taken = if recent {
                self.window_taken
            } else {
                LimitAmount::ZERO
            };
            self.window_taken = LimitAmount::ZERO;
            self.window_start = now;
        }
        self.window_taken = self.window_taken.saturating_add(amount);
    }

    /// Demand of one part of a second.
    fn demand(&self) -> LimitAmount {
        let demand = self.window_taken.component_max(self.last_taken);
        LimitAmount {
            tokens: demand.tokens / DEMAND_PARTS,
            requests: demand.requests / DEMAND_PARTS,
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

    fn active_shares(&self, own: Option<InstanceKey>) -> u64 {
        let held = |(share, holder): (usize, &Option<InstanceKey>)| {
            holder.is_some() && *holder == own && !self.pending.contains_key(&share)
        };
        self.holders
            .iter()
            .enumerate()
            .filter(|entry| held(*entry))
            .count() as u64
    }

    /// What the shares held here must have before a part of a request's need is lent.
    ///
    /// Smaller parts would expire at borrowers that each wait for the rest.
    fn worth_lending(&self) -> LimitAmount {
        let part = |bucket: &ShareBucket| bucket.burst_micros() / 8 * 7;
        LimitAmount {
            tokens: part(&self.tokens),
            requests: part(&self.requests),
        }
    }

    /// How long until own shares can give an amount; `None` if never.
    fn wait_for(&mut self, now: ClockTime, amount: LimitAmount) -> Option<Duration> {
        let tokens = self.tokens.wait_for(now, amount.tokens)?;
        let requests = self.requests.wait_for(now, amount.requests)?;
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
    last_number: u64,
}

impl LimitTable {
    /// Takes in the instances of the configuration in force.
    pub fn configure(
        &mut self,
        own: Option<InstanceKey>,
        members: BTreeSet<InstanceKey>,
        sequence: u64,
    ) {
        self.own = own;
        self.activation.configure(own, members, sequence);
    }

    /// Takes in rate and name of a limit; its shares go to the best instances by rendezvous hash.
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
            let share_name = format_smolstr!("{name}/{}", share % rate.holders());
            let members = config.live_instances().map(|(member, _)| member);
            let name_of = |member: InstanceKey| config.instances[member].name.as_str();
            let holder = rendezvous::best(&share_name, members, name_of);
            let former = entry.holders[share];
            entry.holders[share] = holder;
            if holder == former && !is_new {
                continue;
            }
            entry.pending.remove(&share);
            entry.formers[share].extend(holder);
            if holder.is_some() && holder == own {
                let pending = PendingShare {
                    since: sequence,
                    ready_at: None,
                };
                entry.pending.insert(share, pending);
            }
        }
        let shares = entry.active_shares(own);
        entry.resize(now, shares);
    }

    /// Notes which configuration an instance follows.
    pub fn heard(&mut self, peer: PeerIncarnation, sequence: u64) {
        self.activation.heard(peer, sequence);
    }

    /// Gives up everything until other instances are heard again, as after a pause.
    pub fn suspend(&mut self, now: ClockTime) {
        self.activation.suspend();
        for entry in self.entries.values_mut() {
            entry.tokens.drain(now);
            entry.requests.drain(now);
            entry.credits.clear();
        }
    }

    /// Lets shares become active whose time has come.
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
            .filter(|entry| !entry.pending.is_empty())
        {
            for (share, pending) in &mut entry.pending {
                let formers = &entry.formers[*share];
                if pending.ready_at.is_none() && activation.is_released(pending.since, formers) {
                    pending.ready_at = Some(now.after(LOAN_TIME));
                }
            }
            let is_due =
                |pending: &PendingShare| pending.ready_at.is_some_and(|ready| ready <= now);
            entry.pending.retain(|_, pending| !is_due(pending));
            let shares = entry.active_shares(own);
            entry.resize(now, shares);
        }
    }

    /// Whether the instance may use its shares.
    pub fn is_active(&self, now: ClockTime) -> bool {
        self.activation.is_active(now)
    }

    /// Whether other instances must still be heard.
    pub fn wants_hearing(&self, now: ClockTime) -> bool {
        let waits = |entry: &LimitEntry| {
            let mut pending = entry.pending.values();
            pending.any(|pending| pending.ready_at.is_none())
        };
        !self.is_active(now) || self.entries.values().any(waits)
    }

    /// Takes an amount from own shares and loans, or returns what is missing.
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
        entry.count_demand(now, amount);
        entry.totals.taken = entry.totals.taken.saturating_add(amount);
        let from_loans = borrowed.component_min(amount);
        entry.credits.spend(from_loans);
        let rest = amount.saturating_sub(from_loans);
        entry.tokens.try_take(now, rest.tokens);
        entry.requests.try_take(now, rest.requests);
        Ok(())
    }

    /// Puts back an amount that was taken and not used, as far as own shares have room.
    pub fn give_back(&mut self, now: ClockTime, key: LimitKey, amount: LimitAmount) {
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

    /// What this process has admitted of a limit so far.
    pub fn totals(&self, key: LimitKey) -> LimitTotals {
        self.entries
            .get(&key)
            .map_or_else(LimitTotals::default, |entry| entry.totals)
    }

    /// How long until own shares alone can give an amount; `None` if never.
    pub fn own_wait(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        amount: LimitAmount,
    ) -> Option<Duration> {
        self.entries.get_mut(&key)?.wait_for(now, amount)
    }

    /// Plans whom to ask for a missing amount; `None` while an ask is on its way or all holders
    /// were asked in vain a moment ago.
    pub fn borrow(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        missing: LimitAmount,
        waited: Duration,
    ) -> Option<BorrowPlan> {
        let own = self.own;
        let entry = self.entries.get_mut(&key)?;
        if let Some(asked) = entry.asked {
            if now.since(asked.sent) < ASK_TIMEOUT {
                return None;
            }
            entry.asked = None;
            entry.empty_answers += 1;
        }
        let lenders = entry.lenders(own);
        if lenders.is_empty() || now < entry.next_round {
            return None;
        }
        if entry.empty_answers >= lenders.len() {
            entry.empty_answers = 0;
            entry.next_round = now.after(entry.round_pause);
            entry.round_pause = MAX_ROUND_PAUSE;
            return None;
        }
        let holder = lenders[entry.next_holder % lenders.len()];
        let amount = missing.component_max(entry.demand());
        self.last_number += 1;
        entry.asked = Some(SentAsk {
            holder,
            number: self.last_number,
            sent: now,
            amount: missing,
        });
        let report = entry.credits.report(holder);
        Some(BorrowPlan {
            holder,
            number: self.last_number,
            amount,
            least: missing,
            waited,
            report,
        })
    }

    /// What was done with loans and not reported to their holders, which cannot lend on until then.
    pub fn settlements(&mut self, now: ClockTime) -> Vec<LoanSettlement> {
        let mut settlements = Vec::new();
        for (key, entry) in &mut self.entries {
            entry.credits.return_expiring(now);
            for holder in entry.credits.unreported() {
                settlements.push(LoanSettlement {
                    key: *key,
                    holder,
                    report: entry.credits.report(holder),
                });
            }
        }
        settlements
    }

    /// Takes in what a borrower has spent.
    pub fn settle(
        &mut self,
        now: ClockTime,
        own_life: u64,
        borrower: PeerIncarnation,
        settlement: &LoanSettlement,
    ) {
        if let Some(entry) = self.entries.get_mut(&settlement.key) {
            entry.settle(now, own_life, borrower, &settlement.report);
        }
    }

    /// Answers a borrower's ask; returns how much is lent.
    ///
    /// `reserved` is kept back for requests that wait here.
    pub fn lend(
        &mut self,
        now: ClockTime,
        own_life: u64,
        borrower: PeerIncarnation,
        key: LimitKey,
        plan: &BorrowPlan,
        reserved: LimitAmount,
    ) -> LoanAnswer {
        let active = self.is_active(now);
        let Some(entry) = self.entries.get_mut(&key) else {
            return LoanAnswer::NOTHING;
        };
        entry.settle(now, own_life, borrower, &plan.report);
        if !active || !entry.ledger.admits(borrower) {
            return LoanAnswer::NOTHING;
        }
        // Requests are lent whole: parts would expire at borrowers that wait for the rest.
        let spare = entry
            .own_available(now)
            .saturating_sub(reserved)
            .whole_requests();
        let needs = plan
            .least
            .component_min(entry.worth_lending())
            .whole_requests_up();
        if !spare.covers(needs) {
            let wait = entry.wait_for(now, needs.saturating_add(reserved));
            return LoanAnswer {
                amount: LimitAmount::ZERO,
                wait: wait.unwrap_or(MAX_ROUND_PAUSE),
            };
        }
        let wanted = plan.amount.whole_requests_up().component_min(spare);
        let lent = LimitAmount {
            tokens: entry.tokens.lend(now, wanted.tokens),
            requests: entry.requests.lend(now, wanted.requests),
        };
        if !lent.is_zero() {
            entry.ledger.lend(now, borrower, lent);
        }
        LoanAnswer {
            amount: lent,
            wait: Duration::ZERO,
        }
    }

    /// Takes in the answer to an ask. Answers that are late or repeated are ignored.
    pub fn granted(
        &mut self,
        now: ClockTime,
        key: LimitKey,
        holder: PeerIncarnation,
        number: u64,
        loan: LoanAnswer,
    ) {
        let amount = loan.amount;
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let asked = entry
            .asked
            .filter(|asked| asked.holder == holder.instance && asked.number == number);
        let Some(asked) = asked else { return };
        entry.asked = None;
        let useful = LimitAmount {
            tokens: asked.amount.tokens / USEFUL_PARTS,
            requests: asked.amount.requests / USEFUL_PARTS,
        };
        if amount.is_zero() || !amount.covers(useful) {
            entry.empty_answers += 1;
            entry.next_holder = entry.next_holder.wrapping_add(1);
            let wait = loan.wait.clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE);
            entry.round_pause = entry.round_pause.min(wait);
        } else {
            entry.empty_answers = 0;
            entry.round_pause = MAX_ROUND_PAUSE;
        }
        if amount.is_zero() {
            return;
        }
        let expires = asked.sent.after(LOAN_TIME);
        if expires > now {
            entry.credits.put(holder, expires, amount);
        }
    }

    /// Turns to the next holder after an ask that did not arrive.
    pub fn ask_failed(&mut self, holder: InstanceKey) {
        for entry in self.entries.values_mut() {
            if entry.asked.is_some_and(|asked| asked.holder == holder) {
                entry.asked = None;
                entry.empty_answers += 1;
                entry.next_holder = entry.next_holder.wrapping_add(1);
            }
        }
    }

    /// When an ask that is on its way, or a pause between rounds, ends.
    pub fn next_ask(&self, now: ClockTime, key: LimitKey) -> ClockTime {
        let Some(entry) = self.entries.get(&key) else {
            return now.after(ASK_TIMEOUT);
        };
        match entry.asked {
            Some(asked) => asked.sent.after(ASK_TIMEOUT),
            None => entry.next_round.max(now.after(Duration::from_millis(1))),
        }
    }
}
