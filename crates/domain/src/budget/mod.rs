//! Budgets of callers: one token bucket for each account, in the unit of prices.

mod bucket;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::CallerAccount;
use crate::identifiers::CallerName;
use crate::time::Timestamp;
use bucket::TokenBucket;

/// Why a price was not paid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetError {
    /// The caller has no account.
    UnknownCaller,
    /// The budget is spent until this time has passed.
    BudgetSpent(Duration),
}

/// The budgets of all callers at one broker.
#[derive(Debug, Default)]
pub struct Budgets {
    buckets: BTreeMap<CallerName, TokenBucket>,
}

impl Budgets {
    /// Takes over changed accounts; a new bucket is full, one that remains keeps what it holds.
    pub fn reconfigure(&mut self, now: Timestamp, accounts: &BTreeMap<CallerName, CallerAccount>) {
        self.buckets.retain(|caller, _| accounts.contains_key(caller));
        for (caller, account) in accounts {
            match self.buckets.get_mut(caller) {
                Some(bucket) => bucket.reconfigure(now, account),
                None => {
                    self.buckets.insert(caller.clone(), TokenBucket::full(now, account));
                }
            }
        }
    }

    /// Pays `price` for a query that is about to be admitted.
    ///
    /// # Errors
    /// [`BudgetError`] when the caller has no account or too little in it; nothing is taken then.
    pub fn pay(
        &mut self,
        now: Timestamp,
        caller: &CallerName,
        price: u64,
    ) -> Result<(), BudgetError> {
        let bucket = self.buckets.get_mut(caller).ok_or(BudgetError::UnknownCaller)?;
        bucket.take(now, price).map_err(BudgetError::BudgetSpent)
    }

    /// Gives `price` back for a query that was not answered.
    pub fn refund(&mut self, now: Timestamp, caller: &CallerName, price: u64) {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.refund(now, price);
        }
    }
}
