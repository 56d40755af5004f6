//! Tests the call limiter in virtual time: the call rate is never exceeded, and clients do not
//! all retry at the same time after an outage.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sniperelay_platform::CallLimiter;
use std::time::{Duration, Instant};

const RATE: u32 = 5;

#[test]
fn any_second_admits_at_most_the_rate_plus_one_token() {
    let start = Instant::now();
    let mut limiter = CallLimiter::new(RATE);
    let taken: Vec<u64> = (0..20_000u64)
        .filter(|millis| limiter.try_acquire(start + Duration::from_millis(*millis)).is_ok())
        .collect();
    let max_calls =
        taken.iter().map(|from| taken.iter().filter(|at| (*from..from + 1000).contains(at)).count()).max();
    assert!(max_calls <= Some(RATE as usize + 1), "{max_calls:?} calls within one second");
    assert!(taken.len() >= 19 * RATE as usize, "only {} calls in 20 s", taken.len());
}

/// Simulates an outage of one hour in which each of 400 clients calls whenever its limiter permits.
#[test]
fn an_outage_causes_few_calls_and_recovery_no_thundering_herd() {
    let start = Instant::now();
    let outage = Duration::from_secs(3600);
    let step = Duration::from_millis(100);
    let mut calls_in_outage = 0;
    let mut first_calls_after_outage = Vec::new();
    for client in 0..400u64 {
        let mut rng = SmallRng::seed_from_u64(client);
        let mut limiter = CallLimiter::new(RATE);
        let mut now = start;
        while now < start + outage {
            if limiter.try_acquire(now).is_ok() {
                calls_in_outage += 1;
                limiter.record_failure(now, &mut rng);
            }
            now += step;
        }
        while limiter.try_acquire(now).is_err() {
            now += step;
        }
        first_calls_after_outage.push((now - start - outage).as_secs());
    }
    let calls_per_client_second = f64::from(calls_in_outage) / 400.0 / 3600.0;
    assert!(
        calls_per_client_second < 0.5,
        "{calls_per_client_second:.2} calls/s per client during the outage"
    );
    let busiest =
        (0..20).map(|second| first_calls_after_outage.iter().filter(|at| **at == second).count()).max();
    assert!(busiest <= Some(200), "{busiest:?} of 400 clients called in the same second");
    assert!(
        first_calls_after_outage.iter().all(|seconds| *seconds <= 10),
        "a client made its first call more than 10 s after the outage"
    );
}
