//! Charges of one broker run: what each caller's answered requests cost.
//!
//! The counters only grow and are reported as they are, never as differences, so that a report
//! which comes twice, late or out of order changes nothing in [`crate::cluster::Charges`].

use std::collections::BTreeMap;

use crate::cluster::{ChargeCounter, ChargeKey, ChargeReport};
use crate::identifiers::{BrokerName, BrokerRun};

/// Counters of one broker run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChargeCounters {
    counters: BTreeMap<ChargeKey, ChargeCounter>,
}

impl ChargeCounters {
    /// Counts one answered request.
    pub fn charge(&mut self, key: ChargeKey, price: u64) {
        let counter = self.counters.entry(key).or_default();
        counter.answered = counter.answered.saturating_add(1);
        counter.units = counter.units.saturating_add(price);
    }

    /// The counter under a key.
    pub fn counter(&self, key: &ChargeKey) -> ChargeCounter {
        self.counters.get(key).copied().unwrap_or_default()
    }

    /// All counters by key.
    pub fn counters(&self) -> &BTreeMap<ChargeKey, ChargeCounter> {
        &self.counters
    }

    /// The counters as the control tier takes them; `sequence` numbers the report in the run.
    pub fn report(&self, broker: BrokerName, run: BrokerRun, sequence: u64) -> ChargeReport {
        ChargeReport { broker, run: run.0, sequence, counters: self.counters.clone() }
    }
}
