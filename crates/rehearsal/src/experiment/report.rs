//! The summary and page of an experiment.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use serde::Serialize;

use super::figures::{CURVE, ClassFigures, RunFigures};
use super::settings::ExperimentSettings;
use crate::error::RehearsalError;
use crate::fleet::PolicyTopology;
use crate::plot::{Series, lines};
use crate::report_page::ReportPage;

/// All runs of an experiment.
#[derive(Debug, Serialize)]
pub struct ExperimentReport {
    name: String,
    question: String,
    runs: Vec<RunFigures>,
    /// Today's policy over the baseline.
    pub ratios: Vec<Ratio>,
}

/// Today's policy over the baseline, for one load and class.
#[derive(Debug, Clone, Serialize)]
pub struct Ratio {
    load: f64,
    class: String,
    p50: f64,
    p99: f64,
    p999: f64,
    goodput: f64,
    /// Extra load of today's policy, as a share.
    extra_load: f64,
}

impl ExperimentReport {
    /// A report on runs.
    pub fn new(settings: &ExperimentSettings, runs: Vec<RunFigures>) -> Self {
        let ratios = ratios(&runs);
        Self { name: settings.name.clone(), question: settings.question.clone(), runs, ratios }
    }

    /// Broken promises under today's policy; the baseline makes none.
    pub fn violations(&self) -> usize {
        self.of_policy(PolicyTopology::Standard).map(|run| run.violations).sum()
    }

    /// Writes `summary.json` and `report.html`.
    ///
    /// # Errors
    /// [`RehearsalError::Resource`] when a file cannot be written.
    pub fn write(&self, folder: &Path) -> Result<(), RehearsalError> {
        fs::create_dir_all(folder)
            .map_err(|error| RehearsalError::resource(folder.display(), error))?;
        let path = folder.join("summary.json");
        let text = serde_json::to_string_pretty(self).expect("string keys only");
        fs::write(&path, text).map_err(|error| RehearsalError::resource(path.display(), error))?;
        self.page().write(&folder.join("report.html"))
    }

    fn of_policy(&self, policy: PolicyTopology) -> impl Iterator<Item = &RunFigures> {
        self.runs.iter().filter(move |run| run.policy == policy.name())
    }

    fn classes(&self) -> BTreeSet<&String> {
        self.runs.iter().flat_map(|run| run.classes.keys()).collect()
    }

    fn page(&self) -> ReportPage {
        let mut page = ReportPage::new(&self.name);
        page.paragraph(&self.question);
        page.paragraph(
            "All runs shared one machine with whatever else ran on it: compare within the page.",
        );
        self.tables(&mut page);
        for run in &self.runs {
            page.plot(&latency_curves(run));
        }
        if self.of_policy(PolicyTopology::Standard).count() > 1 {
            self.plots_over_load(&mut page);
        }
        page
    }

    fn tables(&self, page: &mut ReportPage) {
        page.heading("Runs");
        let columns = ["policy", "load", "extra load", "coverage", "broken promises"];
        let rows: Vec<Vec<String>> = self.runs.iter().map(run_row).collect();
        page.table(&columns, &rows);
        page.heading("Classes");
        let columns = [
            "policy",
            "load",
            "class",
            "offered",
            "answered",
            "not run",
            "unknown",
            "goodput/s",
            "coverage",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
        ];
        let rows: Vec<Vec<String>> = self
            .runs
            .iter()
            .flat_map(|run| {
                run.classes.iter().map(move |(name, class)| class_row(run, name, class))
            })
            .collect();
        page.table(&columns, &rows);
        if self.ratios.is_empty() {
            return;
        }
        page.heading("Today's policy over the baseline");
        let columns = ["load", "class", "p50", "p99", "p99.9", "goodput", "extra load"];
        let rows: Vec<Vec<String>> = self.ratios.iter().map(ratio_row).collect();
        page.table(&columns, &rows);
    }

    fn plots_over_load(&self, page: &mut ReportPage) {
        for policy in [PolicyTopology::Standard, PolicyTopology::Baseline] {
            if self.of_policy(policy).next().is_none() {
                continue;
            }
            let title = format!("p99 latency, {} policy", policy.name());
            let series = self.over_load(policy, |class| class.p99_ms);
            page.plot(&lines(&title, "load", "ms", &series));
            let title = format!("Goodput, {} policy", policy.name());
            let series = self.over_load(policy, |class| class.goodput);
            page.plot(&lines(&title, "load", "answers/s", &series));
        }
    }

    fn over_load(&self, policy: PolicyTopology, value: fn(&ClassFigures) -> f64) -> Vec<Series> {
        let series = |class: &String| {
            let point =
                |run: &RunFigures| Some((run.load, value(run.classes.get(class.as_str())?)));
            Series::new(class, self.of_policy(policy).filter_map(point).collect())
        };
        self.classes().into_iter().map(series).collect()
    }
}

/// Latency by class; the axis counts nines, so that 99 in 100 is at 2.
fn latency_curves(run: &RunFigures) -> String {
    let nines = |quantile: f64| -(1.0 - quantile).log10();
    let curve = |class: &ClassFigures| {
        CURVE.iter().map(|quantile| nines(*quantile)).zip(class.curve_ms.iter().copied()).collect()
    };
    let series: Vec<Series> =
        run.classes.iter().map(|(name, class)| Series::new(name, curve(class))).collect();
    let title = format!("Latency, {} policy, load {}", run.policy, run.load);
    lines(&title, "nines of the percentile", "ms", &series)
}

fn ratios(runs: &[RunFigures]) -> Vec<Ratio> {
    let mut ratios = Vec::new();
    for run in runs.iter().filter(|run| run.policy == PolicyTopology::Standard.name()) {
        let same_load = |other: &&RunFigures| {
            other.load == run.load && other.policy == PolicyTopology::Baseline.name()
        };
        let Some(baseline) = runs.iter().find(same_load) else {
            continue;
        };
        for (name, class) in &run.classes {
            if let Some(other) = baseline.classes.get(name) {
                ratios.push(ratio(run, name, class, other));
            }
        }
    }
    ratios
}

fn ratio(run: &RunFigures, name: &str, class: &ClassFigures, baseline: &ClassFigures) -> Ratio {
    Ratio {
        load: run.load,
        class: name.to_owned(),
        p50: class.p50_ms / baseline.p50_ms,
        p99: class.p99_ms / baseline.p99_ms,
        p999: class.p999_ms / baseline.p999_ms,
        goodput: class.goodput / baseline.goodput,
        extra_load: run.extra_load,
    }
}

fn run_row(run: &RunFigures) -> Vec<String> {
    vec![
        run.policy.to_owned(),
        run.load.to_string(),
        format!("{:.4}", run.extra_load),
        format!("{:.5}", run.coverage_mean),
        run.violations.to_string(),
    ]
}

fn class_row(run: &RunFigures, name: &str, class: &ClassFigures) -> Vec<String> {
    vec![
        run.policy.to_owned(),
        run.load.to_string(),
        name.to_owned(),
        class.offered.to_string(),
        class.answered.to_string(),
        class.refused_not_run.to_string(),
        class.outcome_unknown.to_string(),
        format!("{:.1}", class.goodput),
        format!("{:.5}", class.coverage_mean),
        format!("{:.1}", class.p50_ms),
        format!("{:.1}", class.p99_ms),
        format!("{:.1}", class.p999_ms),
    ]
}

fn ratio_row(ratio: &Ratio) -> Vec<String> {
    let number = |value: f64| format!("{value:.3}");
    vec![
        ratio.load.to_string(),
        ratio.class.clone(),
        number(ratio.p50),
        number(ratio.p99),
        number(ratio.p999),
        number(ratio.goodput),
        format!("{:.4}", ratio.extra_load),
    ]
}
