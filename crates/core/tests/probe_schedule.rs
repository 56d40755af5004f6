//! Tests of the probe schedule: no second contains more probes than the budget allows, even if the
//! clocks of the holders differ.

use sniperelay_core::probe_schedule::{PROBE_RIGHT_COUNT, ProbeBudget, open_window};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

fn probe_times(budget: ProbeBudget, target: SocketAddr, clock_offset: impl Fn(u64) -> i64) -> Vec<u64> {
    let mut probed = HashSet::new();
    let mut times = Vec::new();
    for millis in 100_000u64..160_000 {
        for right in 0..PROBE_RIGHT_COUNT {
            let clock = Duration::from_millis(millis.saturating_add_signed(clock_offset(right)));
            let window = open_window(right, target, clock, budget);
            if window.is_some_and(|window| probed.insert((right, window))) {
                times.push(millis);
            }
        }
    }
    times
}

fn max_probes_per_second(times: &[u64]) -> usize {
    let in_second = |from: &u64| times.iter().filter(|at| (*from..*from + 1000).contains(at)).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

#[test]
fn probes_stay_within_the_budget_in_every_second_and_use_it() {
    let targets: [SocketAddr; 3] =
        ["10.0.0.1:80", "10.0.0.2:80", "10.9.9.9:8080"].map(|text| text.parse().unwrap());
    // Each row: calls per second, bytes per second, allowed calls.
    for (calls, bytes, allowed) in [(1, 100_000, 1), (2, 100_000, 2), (10, 100_000, 10), (10, 1024, 2)] {
        let budget = ProbeBudget { calls_per_second: calls, bytes_per_second: bytes, bytes_per_call: 512 };
        for target in targets {
            let times = probe_times(budget, target, |_| 0);
            assert!(
                max_probes_per_second(&times) <= allowed,
                "{budget:?}: {}",
                max_probes_per_second(&times)
            );
            assert!(times.len() * 2 >= allowed * 60, "{budget:?}: only {} probes in a minute", times.len());
        }
    }
}

#[test]
fn clock_offsets_up_to_the_guard_do_not_exceed_the_budget() {
    let budget = ProbeBudget { calls_per_second: 2, bytes_per_second: 100_000, bytes_per_call: 512 };
    let target = "10.0.0.1:80".parse().unwrap();
    // At 2 calls per second, a window lasts 650 ms and is open for the first 130 ms, so the guard is
    // 520 ms. With equal clocks, three probes span at least 2 * 650 - 130 = 1170 ms, so offsets of up
    // to (1170 - 1000) / 2 = 85 ms in either direction are tolerated. The test uses up to 50 ms.
    for seed in 0..20u64 {
        let offset = |right: u64| ((right * 37 + seed * 13) % 101) as i64 - 50;
        let times = probe_times(budget, target, offset);
        assert!(max_probes_per_second(&times) <= 2, "seed {seed}: {}", max_probes_per_second(&times));
    }
}

#[test]
fn no_probe_is_sent_without_a_budget() {
    let target = "10.0.0.1:80".parse().unwrap();
    for (calls, bytes) in [(0, 1000), (1, 0), (1, 511)] {
        let budget = ProbeBudget { calls_per_second: calls, bytes_per_second: bytes, bytes_per_call: 512 };
        assert_eq!(probe_times(budget, target, |_| 0), [0u64; 0]);
    }
}
