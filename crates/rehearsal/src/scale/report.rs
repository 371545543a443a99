//! Slopes over the sizes of a scale run, its summary and its page.

use std::fs;
use std::path::Path;

use serde::Serialize;

use super::measure::SizeReport;
use crate::error::RehearsalError;
use crate::fit::Line;
use crate::plot::{Series, lines};
use crate::report_page::ReportPage;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// All sizes and the lines through them.
#[derive(Debug, Serialize)]
pub struct Summary {
    sizes: Vec<SizeReport>,
    /// How figures grow with the number of brokers.
    pub slopes: Slopes,
}

/// Lines over the number of hollow brokers; none with fewer than two sizes.
#[derive(Debug, Serialize)]
pub struct Slopes {
    kind: &'static str,
    control_cpu_ms_per_change: Option<Line>,
    control_resident_bytes: Option<Line>,
    control_idle_core_share: Option<Line>,
    hollow_resident_bytes: Option<Line>,
    in_force_p99_ms: Option<Line>,
}

impl Summary {
    /// Fits lines through the sizes.
    pub fn new(sizes: Vec<SizeReport>) -> Self {
        let line = |value: fn(&SizeReport) -> f64| Line::through(&points(&sizes, value));
        let slopes = Slopes {
            kind: "scale_slopes",
            control_cpu_ms_per_change: line(|size| size.control_cpu_ms_per_change),
            control_resident_bytes: line(|size| size.control_resident_bytes),
            control_idle_core_share: line(|size| size.idle.control_core_share),
            hollow_resident_bytes: line(|size| size.hollow_resident_bytes as f64),
            in_force_p99_ms: line(|size| size.in_force_ms.p99),
        };
        Self { sizes, slopes }
    }

    /// Writes `summary.json` and `report.html`.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), RehearsalError> {
        let path = folder.join("summary.json");
        let text = serde_json::to_string_pretty(self).expect("string keys only");
        fs::write(&path, text).map_err(|error| RehearsalError::resource(path.display(), error))?;
        self.page().write(&folder.join("report.html"))
    }

    fn page(&self) -> ReportPage {
        let mut page = ReportPage::new("Scale run: configuration feeds");
        page.paragraph(
            "Hollow brokers follow the catalog beside control processes and one real broker. Times \
             run from the start of the operator's command line until the change is in force, and \
             after a heal from its moment. The leader is frozen from three control processes on.",
        );
        let columns = [
            "controls",
            "brokers",
            "in force p50 ms",
            "p99 ms",
            "p100 ms",
            "bytes per change",
            "control CPU ms per change",
            "broker CPU ms per change",
            "hollow CPU ms per change",
            "control RSS MB",
            "leader frozen p100 ms",
            "after a heal p100 ms",
        ];
        page.table(&columns, &self.sizes.iter().map(row).collect::<Vec<_>>());
        self.plots(&mut page);
        page
    }

    fn plots(&self, page: &mut ReportPage) {
        let series = |name: &str, value: fn(&SizeReport) -> f64| {
            Series::new(name, points(&self.sizes, value))
        };
        let in_force = [
            series("p50", |size| size.in_force_ms.p50),
            series("p99", |size| size.in_force_ms.p99),
            series("p100", |size| size.in_force_ms.p100),
        ];
        page.plot(&lines("Accepted to in force", "hollow brokers", "ms", &in_force));
        let processor = [
            series("all control processes", |size| size.control_cpu_ms_per_change),
            series("one real broker", |size| size.broker_cpu_ms_per_change),
            series("one hollow broker", |size| size.hollow_cpu_ms_per_change),
        ];
        page.plot(&lines("Processor time per change", "hollow brokers", "ms", &processor));
        let memory = [
            series("one control process", |size| size.control_resident_bytes / MEGABYTE),
            series("one real broker", |size| size.broker_resident_bytes as f64 / MEGABYTE),
            series("all hollow brokers", |size| size.hollow_resident_bytes as f64 / MEGABYTE),
        ];
        page.plot(&lines("Resident memory", "hollow brokers", "MB", &memory));
    }
}

fn points(sizes: &[SizeReport], value: fn(&SizeReport) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (f64::from(size.brokers), value(size))).collect()
}

fn row(size: &SizeReport) -> Vec<String> {
    let figures = [
        size.in_force_ms.p50,
        size.in_force_ms.p99,
        size.in_force_ms.p100,
        size.bytes_per_change,
        size.control_cpu_ms_per_change,
        size.broker_cpu_ms_per_change,
        size.hollow_cpu_ms_per_change,
        size.control_resident_bytes / MEGABYTE,
        size.frozen.as_ref().map_or(f64::NAN, |frozen| frozen.in_force_ms.p100),
        size.healed.in_force_ms.p100,
    ];
    let numbers = figures.iter().map(|figure| format!("{figure:.2}"));
    [size.controls.to_string(), size.brokers.to_string()].into_iter().chain(numbers).collect()
}
