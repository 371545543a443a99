//! The rule that higher classes are served first.

use std::collections::BTreeMap;

use super::evidence::Evidence;
use super::violation::{Violation, ViolationKind};
use crate::record::CallerOutcome;

/// Queries that a class needs before its share of answers says anything.
const LEAST_QUERIES: u64 = 200;
/// Lead of a lower class in its share of answers that still is chance.
const TOLERANCE: f64 = 0.1;

#[derive(Debug, Default, Clone, Copy)]
struct Served {
    offered: u64,
    answered: u64,
}

impl Served {
    fn share(self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }
}

/// Checks that no lower class had a clearly larger share of its queries answered.
pub fn check(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut services: BTreeMap<&str, BTreeMap<u8, Served>> = BTreeMap::new();
    for record in &evidence.callers {
        let classes = services.entry(record.service.as_str()).or_default();
        let served = classes.entry(record.priority).or_default();
        served.offered += 1;
        served.answered += u64::from(record.outcome == CallerOutcome::Answered);
    }
    for (service, classes) in services {
        check_service(service, &classes, violations);
    }
}

fn check_service(service: &str, classes: &BTreeMap<u8, Served>, violations: &mut Vec<Violation>) {
    let mut measured = classes.iter().filter(|(_, served)| served.offered >= LEAST_QUERIES);
    let Some(mut higher) = measured.next() else {
        return;
    };
    for lower in measured {
        if lower.1.share() > higher.1.share() + TOLERANCE {
            let seen = format!(
                "priority {} had {:.3} answered, priority {} had {:.3}",
                higher.0,
                higher.1.share(),
                lower.0,
                lower.1.share()
            );
            violations.push(Violation::new(ViolationKind::PriorityInverted, service, seen));
        }
        higher = lower;
    }
}
