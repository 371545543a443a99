//! Charges: what each caller's answered requests cost, counted so that nothing counts twice.
//!
//! A broker run counts upwards only and reports totals, never differences. A report that comes
//! twice, late or out of order changes nothing in a [`ChargeLedger`], which keeps the largest
//! total of each run.

mod ledger;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::identifiers::{BrokerName, BrokerRun, CallerName, ClassName, ServiceName};

pub use ledger::ChargeLedger;

/// What a charge is counted under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChargeKey {
    /// Who pays.
    pub caller: CallerName,
    /// The service that was asked.
    pub service: ServiceName,
    /// The class that was paid for.
    pub class: ClassName,
}

/// Totals under one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeTotal {
    /// Answered requests.
    pub answered: u64,
    /// Their prices together, in the operators' unit.
    pub units: u64,
}

/// Totals of one broker run; they only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeCounters {
    totals: BTreeMap<ChargeKey, ChargeTotal>,
}

impl ChargeCounters {
    /// Counts one answered request.
    pub fn charge(&mut self, key: ChargeKey, price: u64) {
        let total = self.totals.entry(key).or_default();
        total.answered = total.answered.saturating_add(1);
        total.units = total.units.saturating_add(price);
    }

    /// The total under a key.
    pub fn total(&self, key: &ChargeKey) -> ChargeTotal {
        self.totals.get(key).copied().unwrap_or_default()
    }

    /// All totals, as the control tier takes them.
    pub fn report(&self, broker: BrokerName, run: BrokerRun) -> ChargeReport {
        let entry = |(key, total): (&ChargeKey, &ChargeTotal)| ChargeEntry {
            key: key.clone(),
            total: *total,
        };
        ChargeReport { broker, run, entries: self.totals.iter().map(entry).collect() }
    }
}

/// The total under one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeEntry {
    /// The key.
    pub key: ChargeKey,
    /// The total.
    pub total: ChargeTotal,
}

/// The totals of one broker run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeReport {
    /// The broker.
    pub broker: BrokerName,
    /// Its run.
    pub run: BrokerRun,
    /// Totals, by key.
    pub entries: Vec<ChargeEntry>,
}
