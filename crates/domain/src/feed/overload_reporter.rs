//! Overload reports of a broker: changes since the last report, and only while a service is
//! overloaded.

use std::collections::BTreeMap;

use crate::admission::{ADMIT_ALL, ClassPressure, OverloadReport};
use crate::identifiers::ServiceName;

#[derive(Debug, Clone)]
struct Reported {
    measured: OverloadReport,
    overloaded: bool,
}

/// Converts cumulative counters into reports per interval.
#[derive(Debug, Clone, Default)]
pub struct OverloadReporter {
    services: BTreeMap<ServiceName, Reported>,
}

impl OverloadReporter {
    /// The reports to send for the cumulative measurements `measured`: one for each service that is
    /// overloaded or was in the previous interval. `offered` and `refused` in them count from the
    /// previous call.
    pub fn reports(&mut self, measured: Vec<OverloadReport>) -> Vec<OverloadReport> {
        measured.into_iter().filter_map(|report| self.report(report)).collect()
    }

    fn report(&mut self, measured: OverloadReport) -> Option<OverloadReport> {
        let before = self.services.get(&measured.service);
        let interval = since(&measured, before.map(|before| &before.measured));
        let was_overloaded = before.is_some_and(|before| before.overloaded);
        let overloaded = is_overloaded(&interval);
        let service = measured.service.clone();
        self.services.insert(service, Reported { measured, overloaded });
        (overloaded || was_overloaded).then_some(interval)
    }
}

/// Whether the service is saturated, queries were refused, or a class is not admitted.
fn is_overloaded(interval: &OverloadReport) -> bool {
    let refused = interval.classes.iter().any(|class| class.refused > 0);
    refused || interval.is_saturated() || interval.lowest_admitted != ADMIT_ALL
}

fn since(measured: &OverloadReport, before: Option<&OverloadReport>) -> OverloadReport {
    let counted = |priority: u8| {
        let classes = before.into_iter().flat_map(|report| &report.classes);
        let found = classes.into_iter().find(|class| class.priority == priority);
        found.map_or((0, 0), |class| (class.offered, class.refused))
    };
    let classes = measured.classes.iter().map(|class| {
        let (offered, refused) = counted(class.priority);
        ClassPressure {
            offered: class.offered.saturating_sub(offered),
            refused: class.refused.saturating_sub(refused),
            ..*class
        }
    });
    OverloadReport { classes: classes.collect(), ..measured.clone() }
}
