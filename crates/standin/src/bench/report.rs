//! Figures of the benchmarks and their output formats.

use serde::Serialize;
use serde_json::Value;

/// A measured figure, with a bound if one applies.
#[derive(Debug, Clone, Serialize)]
pub struct BenchFigure {
    /// Name of the figure.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Bound derived from the users' requirements.
    pub bound: Option<f64>,
    /// Whether the value respects the bound; `None` without a bound.
    pub holds: Option<bool>,
    /// Seed of the random choices of the run.
    pub seed: u64,
    /// Additional data, such as counts by reason; omitted from JSON if null.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub detail: Value,
}

/// Direction of a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundSide {
    /// The value must not exceed the bound.
    AtMost,
    /// The value must not fall below the bound.
    AtLeast,
}

impl BenchFigure {
    /// Creates a figure without a bound.
    pub fn plain(name: impl Into<String>, value: f64, unit: &'static str, seed: u64) -> Self {
        Self { name: name.into(), value, unit, bound: None, holds: None, seed, detail: Value::Null }
    }

    /// Adds a bound.
    pub fn with_bound(mut self, side: BoundSide, bound: f64) -> Self {
        let holds = match side {
            BoundSide::AtMost => self.value <= bound,
            BoundSide::AtLeast => self.value >= bound,
        };
        self.bound = Some(bound);
        self.holds = Some(holds);
        self
    }

    /// Adds additional data.
    pub fn with_detail(mut self, detail: Value) -> Self {
        self.detail = detail;
        self
    }
}

/// Prints figures, as JSON lines if `is_json` is set, else as a table. Returns whether every bound
/// holds.
pub fn print_figures(figures: &[BenchFigure], is_json: bool) -> bool {
    for figure in figures {
        if is_json {
            println!("{}", serde_json::to_string(figure).unwrap_or_default());
        } else {
            print_row(figure);
        }
    }
    figures.iter().all(|figure| figure.holds != Some(false))
}

fn print_row(figure: &BenchFigure) {
    let bound = figure.bound.map_or(String::new(), |bound| format!("bound {bound:.3}"));
    let holds = match figure.holds {
        Some(true) => "holds",
        Some(false) => "DOES NOT HOLD",
        None => "",
    };
    println!("{:<62}{:>16.6} {:<8}{bound:<18}{holds}", figure.name, figure.value, figure.unit);
}
