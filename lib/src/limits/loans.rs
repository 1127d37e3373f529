//! Both sides of a loan: the holder's ledger and the borrower's purse.

use std::collections::{BTreeMap, VecDeque};

use super::{LOAN_TIME, LimitAmount};
use crate::{clock::ClockTime, config::InstanceKey, member::PeerLife};

/// What one holder has lent to one life of one borrower.
#[derive(Clone, Debug, Default)]
struct LoanAccount {
    life: u64,
    granted: LimitAmount,
    /// Granted amounts that are spent or have expired.
    ended: LimitAmount,
    /// Expiry times with the sum granted until then.
    expiries: VecDeque<(ClockTime, LimitAmount)>,
}

impl LoanAccount {
    fn outstanding(&self) -> LimitAmount {
        self.granted.minus(self.ended)
    }

    fn expire(&mut self, now: ClockTime) {
        while let Some((expires, granted)) = self.expiries.front() {
            if *expires > now {
                return;
            }
            self.ended = self.ended.at_least(*granted);
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
    /// Notes time and a borrower's report of what it spent; returns what has ended since.
    ///
    /// A borrower's newer life has forgotten its older loans; these still run until they expire.
    pub(super) fn settle(
        &mut self,
        now: ClockTime,
        borrower: PeerLife,
        spent: LimitAmount,
    ) -> LimitAmount {
        let account = self.accounts.entry(borrower.instance).or_default();
        if account.life == borrower.life {
            account.ended = account.ended.at_least(spent.at_most(account.granted));
        }
        self.expire(now)
    }

    /// Notes time; returns what has ended since.
    pub(super) fn expire(&mut self, now: ClockTime) -> LimitAmount {
        let mut outstanding = LimitAmount::ZERO;
        for account in self.accounts.values_mut() {
            account.expire(now);
            outstanding = outstanding.plus(account.outstanding());
        }
        let ended = self.outstanding.minus(outstanding);
        self.outstanding = outstanding;
        ended
    }

    /// Whether a loan may be made to this life of the borrower.
    ///
    /// An older life's loans must have ended, because both lives count from zero.
    pub(super) fn admits(&self, borrower: PeerLife) -> bool {
        let life = borrower.life;
        self.accounts.get(&borrower.instance).is_none_or(|account| {
            account.life == life || (account.life < life && account.outstanding().is_zero())
        })
    }

    /// Notes a loan.
    pub(super) fn lend(&mut self, now: ClockTime, borrower: PeerLife, amount: LimitAmount) {
        let account = self.accounts.entry(borrower.instance).or_default();
        if account.life != borrower.life {
            *account = LoanAccount {
                life: borrower.life,
                ..LoanAccount::default()
            };
        }
        account.granted = account.granted.plus(amount);
        account
            .expiries
            .push_back((now.after(LOAN_TIME), account.granted));
        self.outstanding = self.outstanding.plus(amount);
    }
}

/// Allowance borrowed from one holder.
#[derive(Clone, Copy, Debug)]
struct LoanCredit {
    holder: PeerLife,
    expires: ClockTime,
    left: LimitAmount,
}

/// What a borrower has spent of one holder's loans.
#[derive(Clone, Copy, Debug, Default)]
struct SpentAccount {
    life: u64,
    spent: LimitAmount,
    /// Part of it that the holder was told about.
    reported: LimitAmount,
}

/// What a borrower has, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanPurse {
    credits: VecDeque<LoanCredit>,
    spent: BTreeMap<InstanceKey, SpentAccount>,
}

impl LoanPurse {
    /// Puts a loan in.
    pub(super) fn put(&mut self, holder: PeerLife, expires: ClockTime, amount: LimitAmount) {
        let account = self.spent.entry(holder.instance).or_default();
        if account.life != holder.life {
            *account = SpentAccount {
                life: holder.life,
                ..SpentAccount::default()
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
        self.credits
            .iter()
            .fold(LimitAmount::ZERO, |sum, credit| sum.plus(credit.left))
    }

    /// Spends an amount that is available.
    pub(super) fn spend(&mut self, mut amount: LimitAmount) {
        for credit in &mut self.credits {
            let part = credit.left.at_most(amount);
            credit.left = credit.left.minus(part);
            amount = amount.minus(part);
            if let Some(account) = self.spent.get_mut(&credit.holder.instance)
                && account.life == credit.holder.life
            {
                account.spent = account.spent.plus(part);
            }
        }
        self.credits.retain(|credit| !credit.left.is_zero());
    }

    /// Sum spent of the loans of a holder's life, for its ledger; counts as reported.
    pub(super) fn report(&mut self, holder: InstanceKey) -> (u64, LimitAmount) {
        let Some(account) = self.spent.get_mut(&holder) else {
            return (0, LimitAmount::ZERO);
        };
        account.reported = account.spent;
        (account.life, account.spent)
    }

    /// Holders that do not know yet what was spent.
    pub(super) fn unreported(&self) -> Vec<InstanceKey> {
        self.spent
            .iter()
            .filter(|(_, account)| account.spent != account.reported)
            .map(|(holder, _)| *holder)
            .collect()
    }

    /// Drops everything.
    pub(super) fn clear(&mut self) {
        self.credits.clear();
    }
}
