//! Both sides of a loan: the holder's ledger and the borrower's credits.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{LOAN_TIME, LimitAmount};
use crate::{clock::ClockTime, config::InstanceKey, member::PeerIncarnation};

/// Loans are returned this long before they expire.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// What a borrower has done with the loans of one life of a holder, as sums since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The holder's life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Spent on requests.
    pub spent: LimitAmount,
    /// Returned before it expired.
    pub returned: LimitAmount,
}

/// What has become of loans since the last look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndedLoans {
    /// Spent, returned or expired.
    pub(super) ended: LimitAmount,
    /// Of that, returned.
    pub(super) returned: LimitAmount,
}

/// What one holder has lent to one life of one borrower.
#[derive(Clone, Debug, Default)]
struct LoanAccount {
    life: u64,
    granted: LimitAmount,
    /// Granted amounts that are spent, returned or have expired.
    ended: LimitAmount,
    returned: LimitAmount,
    /// Expiry times with the sum granted until then.
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

/// What a holder has lent, by borrower.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanLedger {
    accounts: BTreeMap<InstanceKey, LoanAccount>,
    outstanding: LimitAmount,
}

impl LoanLedger {
    /// Notes time and a borrower's report; returns what has ended since.
    ///
    /// A borrower's newer life has forgotten its older loans; these still run until they expire.
    pub(super) fn settle(
        &mut self,
        now: ClockTime,
        borrower: PeerIncarnation,
        report: &LoanReport,
    ) -> EndedLoans {
        let account = self.accounts.entry(borrower.instance).or_default();
        let mut returned = LimitAmount::ZERO;
        if account.life == borrower.incarnation {
            let most = account.granted.saturating_sub(report.spent);
            let sum = report.returned.component_min(most);
            returned = sum.saturating_sub(account.returned);
            account.returned = account.returned.component_max(sum);
            let used = report
                .spent
                .saturating_add(sum)
                .component_min(account.granted);
            account.ended = account.ended.component_max(used);
        }
        EndedLoans {
            ended: self.expire(now),
            returned,
        }
    }

    /// Notes time; returns what has ended since.
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

    /// Whether a loan may be made to this life of the borrower.
    ///
    /// An older life's loans must have ended, because both lives count from zero.
    pub(super) fn admits(&self, borrower: PeerIncarnation) -> bool {
        let life = borrower.incarnation;
        self.accounts.get(&borrower.instance).is_none_or(|account| {
            account.life == life || (account.life < life && account.outstanding().is_zero())
        })
    }

    /// Notes a loan.
    pub(super) fn lend(&mut self, now: ClockTime, borrower: PeerIncarnation, amount: LimitAmount) {
        let account = self.accounts.entry(borrower.instance).or_default();
        if account.life != borrower.incarnation {
            *account = LoanAccount {
                life: borrower.incarnation,
                ..LoanAccount::default()
            };
        }
        account.granted = account.granted.saturating_add(amount);
        account
            .expiries
            .push_back((now.after(LOAN_TIME), account.granted));
        self.outstanding = self.outstanding.saturating_add(amount);
    }
}

/// Allowance borrowed from one holder.
#[derive(Clone, Copy, Debug)]
struct LoanCredit {
    holder: PeerIncarnation,
    expires: ClockTime,
    left: LimitAmount,
}

/// What a borrower has spent of one holder's loans.
#[derive(Clone, Copy, Debug, Default)]
struct SpentAccount {
    report: LoanReport,
    /// Whether the holder was told all of it.
    reported: bool,
}

/// What a borrower has, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct CreditQueue {
    credits: VecDeque<LoanCredit>,
    spent: BTreeMap<InstanceKey, SpentAccount>,
}

impl CreditQueue {
    /// Puts a loan in.
    pub(super) fn put(&mut self, holder: PeerIncarnation, expires: ClockTime, amount: LimitAmount) {
        let account = self.spent.entry(holder.instance).or_default();
        if account.report.incarnation != holder.incarnation {
            account.report = LoanReport {
                incarnation: holder.incarnation,
                ..LoanReport::default()
            };
        }
        self.credits.push_back(LoanCredit {
            holder,
            expires,
            left: amount,
        });
    }

    /// What can be spent now.
    pub(super) fn available(&mut self, now: ClockTime) -> LimitAmount {
        self.credits.retain(|credit| credit.expires > now);
        self.credits.iter().fold(LimitAmount::ZERO, |sum, credit| {
            sum.saturating_add(credit.left)
        })
    }

    /// Spends an amount that is available.
    pub(super) fn spend(&mut self, mut amount: LimitAmount) {
        for credit in &mut self.credits {
            let part = credit.left.component_min(amount);
            credit.left = credit.left.saturating_sub(part);
            amount = amount.saturating_sub(part);
            if let Some(account) = self.spent.get_mut(&credit.holder.instance)
                && account.report.incarnation == credit.holder.incarnation
                && !part.is_zero()
            {
                account.report.spent = account.report.spent.saturating_add(part);
                account.reported = false;
            }
        }
        self.credits.retain(|credit| !credit.left.is_zero());
    }

    /// Returns what expires soon to its holders, which can lend it to others.
    pub(super) fn return_expiring(&mut self, now: ClockTime) {
        let soon = now.after(RETURN_MARGIN);
        for credit in self.credits.iter().filter(|credit| credit.expires <= soon) {
            if credit.expires > now
                && let Some(account) = self.spent.get_mut(&credit.holder.instance)
                && account.report.incarnation == credit.holder.incarnation
            {
                account.report.returned = account.report.returned.saturating_add(credit.left);
                account.reported = false;
            }
        }
        self.credits.retain(|credit| credit.expires > soon);
    }

    /// What was done with a holder's loans, for its ledger; counts as reported.
    pub(super) fn report(&mut self, holder: InstanceKey) -> LoanReport {
        let Some(account) = self.spent.get_mut(&holder) else {
            return LoanReport::default();
        };
        account.reported = true;
        account.report
    }

    /// Holders that do not know yet what was done with their loans.
    pub(super) fn unreported(&self) -> Vec<InstanceKey> {
        self.spent
            .iter()
            .filter(|(_, account)| !account.reported)
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// Drops everything.
    pub(super) fn clear(&mut self) {
        self.credits.clear();
    }
}
