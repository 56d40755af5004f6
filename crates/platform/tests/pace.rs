//! Pace of calls, in virtual time: the rate is never exceeded and nobody returns in a herd.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sniperelay_platform::CallPace;
use std::time::{Duration, Instant};

const RATE: u32 = 5;

#[test]
fn no_second_holds_more_calls_than_the_rate_and_its_savings() {
    let start = Instant::now();
    let mut pace = CallPace::new(RATE);
    let taken: Vec<u64> = (0..20_000u64)
        .filter(|millis| pace.try_take(start + Duration::from_millis(*millis)).is_ok())
        .collect();
    let most =
        taken.iter().map(|from| taken.iter().filter(|at| (*from..from + 1000).contains(at)).count()).max();
    assert!(most <= Some(RATE as usize + 1), "{most:?} calls in one second");
    assert!(taken.len() >= 19 * RATE as usize, "only {} calls in 20 s", taken.len());
}

/// An outage of an hour: each of 400 clients keeps trying whenever it may.
#[test]
fn an_outage_costs_few_calls_and_its_end_brings_no_herd() {
    let start = Instant::now();
    let outage = Duration::from_secs(3600);
    let step = Duration::from_millis(100);
    let mut calls_in_outage = 0;
    let mut first_calls_after = Vec::new();
    for client in 0..400u64 {
        let mut rng = SmallRng::seed_from_u64(client);
        let mut pace = CallPace::new(RATE);
        let mut now = start;
        while now < start + outage {
            if pace.try_take(now).is_ok() {
                calls_in_outage += 1;
                pace.record_failure(now, &mut rng);
            }
            now += step;
        }
        while pace.try_take(now).is_err() {
            now += step;
        }
        first_calls_after.push((now - start - outage).as_secs());
    }
    let per_client_second = f64::from(calls_in_outage) / 400.0 / 3600.0;
    assert!(per_client_second < 0.5, "{per_client_second:.2} calls/s per client in the outage");
    let busiest = (0..20).map(|second| first_calls_after.iter().filter(|at| **at == second).count()).max();
    assert!(busiest <= Some(200), "{busiest:?} of 400 clients called in the same second");
    assert!(
        first_calls_after.iter().all(|seconds| *seconds <= 10),
        "a client came back after more than 10 s"
    );
}
