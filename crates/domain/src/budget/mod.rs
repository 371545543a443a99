//! Budgets of callers: one token bucket per account, in price units.

mod bucket;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::CallerAccount;
use crate::identifiers::CallerName;
use crate::time::Timestamp;
use bucket::TokenBucket;

/// Error of a payment from a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetError {
    /// The caller has no account.
    UnknownCaller,
    /// The budget does not cover the price; it will after this time.
    BudgetSpent(Duration),
}

/// Budgets of all callers on one broker.
#[derive(Debug, Default)]
pub struct Budgets {
    buckets: BTreeMap<CallerName, TokenBucket>,
}

impl Budgets {
    /// Applies changed accounts. A new account starts with its full burst; an existing one keeps
    /// its level, up to the new burst.
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

    /// Debits `price` for a query before its admission.
    ///
    /// # Errors
    /// [`BudgetError`] when the caller has no account or the budget is too low; nothing is debited.
    pub fn pay(
        &mut self,
        now: Timestamp,
        caller: &CallerName,
        price: u64,
    ) -> Result<(), BudgetError> {
        let bucket = self.buckets.get_mut(caller).ok_or(BudgetError::UnknownCaller)?;
        bucket.take(now, price).map_err(BudgetError::BudgetSpent)
    }

    /// Credits `price` for a query that was not answered.
    pub fn refund(&mut self, now: Timestamp, caller: &CallerName, price: u64) {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.refund(now, price);
        }
    }
}
