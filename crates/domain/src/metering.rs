//! Charges of one broker run for the answered requests of each caller.
//!
//! The counters never decrease and are reported as totals, not as differences, so that a duplicate,
//! late or reordered report does not change [`crate::cluster::Charges`].

use std::collections::BTreeMap;

use crate::cluster::{ChargeCounter, ChargeKey, ChargeReport};
use crate::identifiers::{BrokerName, BrokerRun};

/// Charge counters of one broker run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeCounters {
    counters: BTreeMap<ChargeKey, ChargeCounter>,
}

impl ChargeCounters {
    /// Adds one answered request of the given price.
    pub fn charge(&mut self, key: ChargeKey, price: u64) {
        let counter = self.counters.entry(key).or_default();
        counter.answered = counter.answered.saturating_add(1);
        counter.units = counter.units.saturating_add(price);
    }

    /// Counter of a key; zero when nothing was charged.
    pub fn counter(&self, key: &ChargeKey) -> ChargeCounter {
        self.counters.get(key).copied().unwrap_or_default()
    }

    /// All counters, by caller, service and class.
    pub fn counters(&self) -> &BTreeMap<ChargeKey, ChargeCounter> {
        &self.counters
    }

    /// Report to the control tier; `sequence` is the number of the report within the broker run.
    pub fn report(&self, broker: BrokerName, run: BrokerRun, sequence: u64) -> ChargeReport {
        ChargeReport { broker, run: run.0, sequence, counters: self.counters.clone() }
    }
}
