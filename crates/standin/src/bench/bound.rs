//! Reference results computed from the arrivals and service times of a run: an upper bound of the
//! served value, and a central queue.

use crate::load::Arrival;
use sniperelay_core::document::ServiceDocument;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// What the reference scheduler knows in advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Foresight {
    /// Every arrival and its service time.
    All,
    /// Every arrival, but only the mean service time of its rank.
    MeanTimes,
}

/// Returns an upper bound of the value that any scheduler can serve if it always grants each rank the
/// kept share of the document. The value is the sum of the worths of the served requests.
///
/// Each rank first receives its kept share of the slot time within `span`, or its whole demand if
/// that is less. The remaining slot time goes to the requests with the highest worth per slot time;
/// fractions of requests are allowed. A rank may use slots beyond the end of the span for as long as
/// its latency target. The order of arrivals is ignored, so no real scheduler can exceed the bound.
pub fn value_bound(
    arrivals: &[Arrival],
    document: &ServiceDocument,
    slots: usize,
    span: Duration,
    foresight: Foresight,
) -> f64 {
    let capacity = slots as f64 * span.as_secs_f64();
    let mut times: Vec<Vec<f64>> = vec![Vec::new(); document.ranks.len()];
    arrivals.iter().for_each(|arrival| times[arrival.rank].push(arrival.spec.service_time.as_secs_f64()));
    if foresight == Foresight::MeanTimes {
        times.iter_mut().for_each(|rank| replace_with_mean(rank));
    }
    times.iter_mut().for_each(|rank| rank.sort_by(|left, right| right.total_cmp(left)));
    let mut remaining = capacity;
    let mut value = 0.0;
    for (rank, policy) in document.ranks.iter().enumerate() {
        let kept = policy.kept_share * capacity;
        remaining -= take_shortest(&mut times[rank], kept, policy.worth, &mut value);
    }
    let tails: Vec<f64> =
        document.ranks.iter().map(|rank| slots as f64 * rank.latency.as_secs_f64()).collect();
    value + take_densest(&mut times, document, remaining, &tails)
}

fn replace_with_mean(times: &mut [f64]) {
    let mean = times.iter().sum::<f64>() / times.len().max(1) as f64;
    times.fill(mean);
}

/// Takes requests of one rank from the end of a descending list, the shortest first, until `budget`
/// seconds of slot time are used. Adds their worth to `value` and returns the slot time used.
fn take_shortest(times: &mut Vec<f64>, budget: f64, worth: f64, value: &mut f64) -> f64 {
    let mut used = 0.0;
    while let Some(time) = times.pop() {
        let available = budget - used;
        if time > available {
            *value += worth * available / time;
            // The rest of the request remains available to `take_densest`.
            times.push(time - available);
            return budget;
        }
        used += time;
        *value += worth;
    }
    used
}

/// Takes requests of all ranks, those with the highest worth per slot time first, and returns their
/// value.
///
/// `free` is the slot time left within the span, and `tails[r]` the slot time after the span that rank
/// `r` may use, in seconds. All ranks whose latency target does not exceed that of rank `r` can
/// together use `free + tails[r]`.
fn take_densest(times: &mut [Vec<f64>], document: &ServiceDocument, free: f64, tails: &[f64]) -> f64 {
    let mut value = 0.0;
    let mut used = vec![0.0; times.len()];
    loop {
        let available = |rank: usize| {
            let limits = (0..used.len()).filter(|other| tails[*other] >= tails[rank]).map(|other| {
                let sharing = (0..used.len()).filter(|third| tails[*third] <= tails[other]);
                free + tails[other] - sharing.map(|third| used[third]).sum::<f64>()
            });
            limits.fold(f64::INFINITY, f64::min)
        };
        let candidates = (0..times.len()).filter(|rank| available(*rank) > 1e-9);
        let densities = candidates
            .filter_map(|rank| times[rank].last().map(|time| (rank, document.ranks[rank].worth / time)));
        let Some((rank, density)) = densities.max_by(|left, right| left.1.total_cmp(&right.1)) else {
            return value;
        };
        let taken = times[rank].pop().unwrap_or(0.0).min(available(rank));
        used[rank] += taken;
        value += density * taken;
    }
}

/// Simulates a central queue that knows the state of every slot without delay and gives the next free
/// slot to the waiting request of the most urgent rank, in order of arrival within a rank. Returns the
/// latencies of the requests of `rank`.
pub fn central_queue(arrivals: &[Arrival], rank: usize, slots: usize) -> Vec<Duration> {
    let ranks = arrivals.iter().map(|arrival| arrival.rank).max().unwrap_or(0) + 1;
    let mut queues: Vec<VecDeque<&Arrival>> = vec![VecDeque::new(); ranks];
    let mut busy: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let mut latencies = Vec::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    loop {
        while busy.len() < slots {
            let Some(queue) = queues.iter_mut().find(|queue| !queue.is_empty()) else { break };
            let Some(arrival) = queue.pop_front() else { break };
            let end = now + arrival.spec.service_time;
            busy.push(Reverse(end));
            if arrival.rank == rank {
                latencies.push(end - arrival.at);
            }
        }
        let arrival_at = arrivals.get(next).map(|arrival| arrival.at);
        let free_at = busy.peek().map(|Reverse(end)| *end);
        match (arrival_at, free_at) {
            (Some(at), free) if free.is_none_or(|free| at <= free) => {
                now = at;
                queues[arrivals[next].rank].push_back(&arrivals[next]);
                next += 1;
            }
            (_, Some(free)) => {
                now = free;
                busy.pop();
            }
            (None, None) => return latencies,
            (Some(_), None) => unreachable!("the first arm handles arrivals while no slot is busy"),
        }
    }
}

/// Returns a quantile of `values` by the nearest-rank method: the smallest value that at least this
/// share of the values does not exceed. Returns zero without values.
pub fn nearest_rank_quantile(mut values: Vec<Duration>, quantile: f64) -> Duration {
    values.sort_unstable();
    let index = ((values.len() as f64 * quantile).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or_default()
}
