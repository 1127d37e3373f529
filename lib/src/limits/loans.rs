//! Both sides of a loan: the holder's ledger and the borrower's credit.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{LOAN_LIFETIME, LimitAmount};
use crate::{clock::ClockTime, config::InstanceKey, member::PeerIncarnation};

/// Borrowers return unspent loans this long before they expire.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// What a borrower has done with the loans of one incarnation of a holder.
///
/// Amounts are cumulative, so that a lost or repeated report does no harm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The holder's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Amount spent on requests.
    pub spent: LimitAmount,
    /// Amount returned before it expired.
    pub returned: LimitAmount,
}

/// Loans that have ended since the last settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndedLoans {
    /// Amount spent, returned or expired.
    pub(super) ended: LimitAmount,
    /// The part of `ended` that was returned.
    pub(super) returned: LimitAmount,
}

/// Loans of one holder to one incarnation of a borrower, as cumulative amounts.
#[derive(Clone, Debug, Default)]
struct LoanAccount {
    incarnation: u64,
    granted: LimitAmount,
    /// The part of `granted` that was spent, returned or has expired.
    ended: LimitAmount,
    returned: LimitAmount,
    /// Expiry time of each loan, with the value of `granted` after it.
    expiries: VecDeque<(ClockTime, LimitAmount)>,
}

impl LoanAccount {
    fn outstanding(&self) -> LimitAmount {
        self.granted.saturating_sub(self.ended)
    }

    fn expire(&mut self, now: ClockTime) {
        while let Some((expires, granted)) = self.expiries.front() {
            if *expires > now {
                return;
            }
            self.ended = self.ended.component_max(*granted);
            self.expiries.pop_front();
        }
    }
}

/// Loans made by a holder, by borrower.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanLedger {
    accounts: BTreeMap<InstanceKey, LoanAccount>,
    outstanding: LimitAmount,
}

impl LoanLedger {
    /// Applies a borrower's report and expires loans; returns what has ended since the last call.
    ///
    /// A restarted borrower no longer knows its earlier loans; these stay outstanding until they
    /// expire.
    pub(super) fn settle(
        &mut self,
        now: ClockTime,
        borrower: PeerIncarnation,
        report: &LoanReport,
    ) -> EndedLoans {
        let account = self.accounts.entry(borrower.instance).or_default();
        let mut returned = LimitAmount::ZERO;
        if account.incarnation == borrower.incarnation {
            let max_returned = account.granted.saturating_sub(report.spent);
            let total_returned = report.returned.component_min(max_returned);
            returned = total_returned.saturating_sub(account.returned);
            account.returned = account.returned.component_max(total_returned);
            let used = report
                .spent
                .saturating_add(total_returned)
                .component_min(account.granted);
            account.ended = account.ended.component_max(used);
        }
        EndedLoans {
            ended: self.expire(now),
            returned,
        }
    }

    /// Expires loans; returns the amount that has ended since the last call.
    pub(super) fn expire(&mut self, now: ClockTime) -> LimitAmount {
        let mut outstanding = LimitAmount::ZERO;
        for account in self.accounts.values_mut() {
            account.expire(now);
            outstanding = outstanding.saturating_add(account.outstanding());
        }
        let ended = self.outstanding.saturating_sub(outstanding);
        self.outstanding = outstanding;
        ended
    }

    /// Whether a loan may be made to this incarnation of the borrower.
    ///
    /// All loans to an older incarnation must have ended, because each incarnation reports amounts
    /// from zero.
    pub(super) fn may_lend_to(&self, borrower: PeerIncarnation) -> bool {
        let incarnation = borrower.incarnation;
        self.accounts.get(&borrower.instance).is_none_or(|account| {
            account.incarnation == incarnation
                || (account.incarnation < incarnation && account.outstanding().is_zero())
        })
    }

    /// Records a loan.
    pub(super) fn record_loan(
        &mut self,
        now: ClockTime,
        borrower: PeerIncarnation,
        amount: LimitAmount,
    ) {
        let account = self.accounts.entry(borrower.instance).or_default();
        if account.incarnation != borrower.incarnation {
            *account = LoanAccount {
                incarnation: borrower.incarnation,
                ..LoanAccount::default()
            };
        }
        account.granted = account.granted.saturating_add(amount);
        account
            .expiries
            .push_back((now.after(LOAN_LIFETIME), account.granted));
        self.outstanding = self.outstanding.saturating_add(amount);
    }
}

/// The unspent part of one loan.
#[derive(Clone, Copy, Debug)]
struct LoanCredit {
    holder: PeerIncarnation,
    expires: ClockTime,
    remaining: LimitAmount,
}

/// What a borrower has done with one holder's loans.
#[derive(Clone, Copy, Debug, Default)]
struct HolderAccount {
    report: LoanReport,
    /// Whether `report` was sent to the holder since it last changed.
    reported: bool,
}

/// Loans that a borrower can spend, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct CreditQueue {
    credits: VecDeque<LoanCredit>,
    accounts: BTreeMap<InstanceKey, HolderAccount>,
}

impl CreditQueue {
    /// Adds a loan.
    pub(super) fn add(&mut self, holder: PeerIncarnation, expires: ClockTime, amount: LimitAmount) {
        let account = self.accounts.entry(holder.instance).or_default();
        if account.report.incarnation != holder.incarnation {
            account.report = LoanReport {
                incarnation: holder.incarnation,
                ..LoanReport::default()
            };
        }
        self.credits.push_back(LoanCredit {
            holder,
            expires,
            remaining: amount,
        });
    }

    /// Amount that can be spent now; drops expired loans.
    pub(super) fn available(&mut self, now: ClockTime) -> LimitAmount {
        self.credits.retain(|credit| credit.expires > now);
        self.credits.iter().fold(LimitAmount::ZERO, |sum, credit| {
            sum.saturating_add(credit.remaining)
        })
    }

    /// Spends an amount, which must be available.
    pub(super) fn spend(&mut self, mut amount: LimitAmount) {
        for credit in &mut self.credits {
            let part = credit.remaining.component_min(amount);
            credit.remaining = credit.remaining.saturating_sub(part);
            amount = amount.saturating_sub(part);
            if let Some(account) = self.accounts.get_mut(&credit.holder.instance)
                && account.report.incarnation == credit.holder.incarnation
                && !part.is_zero()
            {
                account.report.spent = account.report.spent.saturating_add(part);
                account.reported = false;
            }
        }
        self.credits.retain(|credit| !credit.remaining.is_zero());
    }

    /// Marks loans that expire soon as returned, so that their holders can lend the amount again.
    pub(super) fn return_expiring(&mut self, now: ClockTime) {
        let cutoff = now.after(RETURN_MARGIN);
        for credit in self
            .credits
            .iter()
            .filter(|credit| credit.expires <= cutoff)
        {
            if credit.expires > now
                && let Some(account) = self.accounts.get_mut(&credit.holder.instance)
                && account.report.incarnation == credit.holder.incarnation
            {
                account.report.returned = account.report.returned.saturating_add(credit.remaining);
                account.reported = false;
            }
        }
        self.credits.retain(|credit| credit.expires > cutoff);
    }

    /// The report for a holder's ledger; marks it as sent.
    pub(super) fn take_report(&mut self, holder: InstanceKey) -> LoanReport {
        let Some(account) = self.accounts.get_mut(&holder) else {
            return LoanReport::default();
        };
        account.reported = true;
        account.report
    }

    /// Holders whose report has changed since it was last sent.
    pub(super) fn unreported_holders(&self) -> Vec<InstanceKey> {
        self.accounts
            .iter()
            .filter(|(_, account)| !account.reported)
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// Drops all unspent loans.
    pub(super) fn clear(&mut self) {
        self.credits.clear();
    }
}
