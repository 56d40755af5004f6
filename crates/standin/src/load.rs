//! Open-loop load generator: draws arrivals and service times from a seed, sends each request at its
//! arrival time regardless of earlier responses, and aggregates the results by service and rank.

use crate::caller::{CallEnd, CallSpec, CallerResult, CallerStandin};
use hdrhistogram::Histogram;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sniperelay_core::document::ServiceDocument;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Maximum lag of the load generator behind its schedule, at the 99th percentile of the arrivals. A
/// run with a larger lag is invalid.
pub const MAX_LAG: Duration = Duration::from_millis(20);

/// Load on one rank of a service.
#[derive(Debug, Clone)]
pub struct RankLoad {
    /// Name of the service.
    pub service: String,
    /// Index of the rank in the document.
    pub rank: usize,
    /// Mean number of arrivals per second.
    pub arrivals_per_second: f64,
    /// Mean service time.
    pub service_time: Duration,
    /// Size of a response, in bytes.
    pub response_bytes: usize,
    /// Time of the earliest possible arrival, relative to the start of the run.
    pub from: Duration,
    /// Time at which arrivals end, relative to the start of the run.
    pub until: Duration,
}

/// A scheduled request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time, relative to the start of the run.
    pub at: Duration,
    /// Index of the request's rank in the document.
    pub rank: usize,
    /// Parameters of the call.
    pub spec: CallSpec,
    /// Latency target of the rank.
    pub latency_target: Duration,
}

/// Result of one arrival.
#[derive(Debug, Clone)]
pub struct ArrivalResult {
    /// The arrival.
    pub arrival: Arrival,
    /// Result of the call.
    pub call: CallerResult,
    /// Lag of the load generator behind the arrival time when it sent the call.
    pub lag: Duration,
}

/// Draws the arrivals of each load as a Poisson process and returns them in order of arrival time.
/// Service times are uniformly distributed between 0.5 and 1.5 times their mean. Loads whose service
/// has no document are ignored.
pub fn generate_arrivals(loads: &[RankLoad], documents: &[ServiceDocument], seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals: Vec<Arrival> = Vec::new();
    for load in loads {
        let Some(document) = documents.iter().find(|document| document.name == load.service) else {
            continue;
        };
        let mut at = load.from;
        loop {
            let gap = -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / load.arrivals_per_second;
            at += Duration::from_secs_f64(gap);
            if at >= load.until {
                break;
            }
            arrivals.push(make_arrival(load, document, at, rng.random_range(0.5..1.5)));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    let first_id = seed.wrapping_mul(1_000_003) << 24;
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.spec.id = first_id.wrapping_add(index as u64 + 1);
    }
    arrivals
}

fn make_arrival(load: &RankLoad, document: &ServiceDocument, at: Duration, factor: f64) -> Arrival {
    let policy = &document.ranks[load.rank];
    let route = &policy.matches[0];
    let spec = CallSpec {
        service: load.service.clone(),
        method: route.method.parse().unwrap_or(Method::GET),
        path: route.path.replace('*', "item"),
        id: 0,
        service_time: load.service_time.mul_f64(factor),
        response_bytes: load.response_bytes,
        needs_key: !policy.idempotent,
    };
    Arrival { at, rank: load.rank, spec, latency_target: policy.latency }
}

/// Sends each request at its arrival time, in turn over `callers`, and returns the results after the
/// last call has ended. Results are in order of completion.
pub async fn send_arrivals(arrivals: Vec<Arrival>, callers: &[Arc<CallerStandin>]) -> Vec<ArrivalResult> {
    let start = Instant::now() + Duration::from_millis(50);
    let mut calls = JoinSet::new();
    let mut results = Vec::with_capacity(arrivals.len());
    for (index, arrival) in arrivals.into_iter().enumerate() {
        let due = start + arrival.at;
        tokio::time::sleep_until(due.into()).await;
        let lag = due.elapsed();
        let caller = callers[index % callers.len()].clone();
        calls.spawn(async move {
            let call = caller.call(&arrival.spec).await;
            ArrivalResult { arrival, call, lag }
        });
        while let Some(Ok(result)) = calls.try_join_next() {
            results.push(result);
        }
    }
    while let Some(joined) = calls.join_next().await {
        results.extend(joined.ok());
    }
    results
}

/// Aggregated results of one rank.
#[derive(Debug, Clone)]
pub struct RankStats {
    /// Number of arrivals.
    pub arrivals: u64,
    /// Complete responses whose head arrived within the latency target.
    pub on_time: u64,
    /// Complete responses whose head arrived after the latency target.
    pub late: u64,
    /// Responses cut off with a connection error.
    pub truncated: u64,
    /// Responses that ended normally, with content of another request or of the wrong length.
    pub wrong_content: u64,
    /// Error responses from targets.
    pub target_errors: u64,
    /// Calls without a response.
    pub no_response: u64,
    /// Refusals by outcome and reason.
    pub refusals: BTreeMap<(String, String), u64>,
    /// Time until the head of each complete response was received, in microseconds.
    pub head_latency_us: Histogram<u64>,
}

impl RankStats {
    fn new() -> Self {
        let bounds = Histogram::new_with_bounds(1, 120_000_000, 3);
        Self {
            arrivals: 0,
            on_time: 0,
            late: 0,
            truncated: 0,
            wrong_content: 0,
            target_errors: 0,
            no_response: 0,
            refusals: BTreeMap::new(),
            head_latency_us: bounds.unwrap_or_else(|error| panic!("invalid histogram bounds: {error}")),
        }
    }

    /// Returns the head latency at a quantile, from the histogram.
    pub fn latency_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.head_latency_us.value_at_quantile(quantile))
    }

    /// Returns the total number of refusals.
    pub fn refusal_count(&self) -> u64 {
        self.refusals.values().sum()
    }

    fn record(&mut self, result: &ArrivalResult) {
        self.arrivals += 1;
        match &result.call.end {
            CallEnd::Complete => self.record_complete(result),
            CallEnd::Truncated => self.truncated += 1,
            CallEnd::WrongContent => self.wrong_content += 1,
            CallEnd::TargetError(_) => self.target_errors += 1,
            CallEnd::NoResponse => self.no_response += 1,
            CallEnd::Refused { outcome, reason } => {
                *self.refusals.entry((outcome.clone(), reason.clone())).or_default() += 1;
            }
        }
    }

    fn record_complete(&mut self, result: &ArrivalResult) {
        let latency = result.call.head_latency;
        let is_on_time = latency <= result.arrival.latency_target;
        let counter = if is_on_time { &mut self.on_time } else { &mut self.late };
        *counter += 1;
        self.head_latency_us.saturating_record(latency.as_micros() as u64);
    }
}

/// Results by service and rank.
pub type StatsTable = BTreeMap<(String, usize), RankStats>;

/// Aggregates the results of requests that arrived at or after `from` and before `until`.
pub fn summarize(results: &[ArrivalResult], from: Duration, until: Duration) -> StatsTable {
    let mut table = StatsTable::new();
    for result in results.iter().filter(|result| (from..until).contains(&result.arrival.at)) {
        let key = (result.arrival.spec.service.clone(), result.arrival.rank);
        table.entry(key).or_insert_with(RankStats::new).record(result);
    }
    table
}

/// Returns the lag of the load generator at a quantile of the arrivals, or zero without arrivals.
pub fn lag_quantile(results: &[ArrivalResult], quantile: f64) -> Duration {
    let mut lags: Vec<Duration> = results.iter().map(|result| result.lag).collect();
    lags.sort_unstable();
    let index = ((lags.len() as f64 * quantile) as usize).min(lags.len().saturating_sub(1));
    lags.get(index).copied().unwrap_or_default()
}
