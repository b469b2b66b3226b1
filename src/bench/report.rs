use serde::Serialize;
use smol_str::SmolStr;

/// A measured value. `bound` and `ok` are missing if it has no bound.
#[derive(Clone, Debug, Serialize)]
pub struct Metric {
    pub experiment: SmolStr,
    pub variant: SmolStr,
    pub seed: u64,
    pub metric: SmolStr,
    pub value: f64,
    pub unit: SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bound: Option<SmolStr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ok: Option<bool>,
}

/// A bound that a metric must meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    AtMost(f64),
    AtLeast(f64),
}

impl Bound {
    fn is_met_by(self, value: f64) -> bool {
        match self {
            Bound::AtMost(most) => value <= most,
            Bound::AtLeast(least) => value >= least,
        }
    }

    fn text(self) -> SmolStr {
        match self {
            Bound::AtMost(most) => smol_str::format_smolstr!("<= {most}"),
            Bound::AtLeast(least) => smol_str::format_smolstr!(">= {least}"),
        }
    }
}

/// Prints and collects the metrics of an experiment.
#[derive(Clone, Debug)]
pub struct Report {
    experiment: SmolStr,
    seed: u64,
    is_json: bool,
    metrics: Vec<Metric>,
}

/// Names of the variants that all experiments use.
pub const PRODUCT: &str = "almondroad";
pub const BASELINE: &str = "baseline";

impl Report {
    pub fn new(experiment: &str, seed: u64, is_json: bool) -> Report {
        Report { experiment: experiment.into(), seed, is_json, metrics: Vec::new() }
    }

    /// Adds a value of the product with a bound.
    pub fn bounded(&mut self, metric: &str, value: f64, unit: &str, bound: Bound) {
        self.add(PRODUCT, metric, value, unit, Some(bound));
    }

    /// Adds a value without a bound.
    pub fn value(&mut self, variant: &str, metric: &str, value: f64, unit: &str) {
        self.add(variant, metric, value, unit, None);
    }

    fn add(&mut self, variant: &str, metric: &str, value: f64, unit: &str, bound: Option<Bound>) {
        let metric = Metric {
            experiment: self.experiment.clone(),
            variant: variant.into(),
            seed: self.seed,
            metric: metric.into(),
            value,
            unit: unit.into(),
            bound: bound.map(Bound::text),
            ok: bound.map(|bound| bound.is_met_by(value)),
        };
        self.print(&metric);
        self.metrics.push(metric);
    }

    /// Prints progress to standard error, also with JSON on standard output: a rarely missed bound
    /// can be explained only by the output of the run that missed it.
    pub fn progress(&self, text: &str) {
        eprintln!("{}: {text}", self.experiment);
    }

    pub fn metrics(&self) -> &[Metric] {
        &self.metrics
    }

    /// Whether all bounds were met.
    pub fn is_ok(&self) -> bool {
        self.metrics.iter().all(|metric| metric.ok != Some(false))
    }

    fn print(&self, metric: &Metric) {
        if self.is_json {
            println!("{}", serde_json::to_string(metric).unwrap_or_default());
            return;
        }
        let verdict = match metric.ok {
            None => "",
            Some(true) => "ok",
            Some(false) => "MISSED",
        };
        let Metric { experiment, variant, metric: name, value, unit, bound, .. } = metric;
        let bound = bound.as_deref().unwrap_or_default();
        println!(
            "{experiment:14} {variant:12} {name:36} {value:>12.3} {unit:10} {bound:>12} {verdict}"
        );
    }
}
