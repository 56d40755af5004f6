//! Tests of what a caller may be told about a request without a response.

use proptest::prelude::*;
use sniperelay_core::dispatch::AttemptFailure;
use sniperelay_core::execution::ExecutionRecord;
use sniperelay_core::reason::Outcome;

/// How one attempt of a hedged or retried request ends.
#[derive(Debug, Clone, Copy)]
enum AttemptEnd {
    Unsent,
    Refused,
    Unconnected,
    Lost,
    ServerError,
    Responded,
    Cancelled,
    /// Still in flight when the caller is told.
    InFlight,
}

impl AttemptEnd {
    const ALL: [Self; 8] = [
        Self::Unsent,
        Self::Refused,
        Self::Unconnected,
        Self::Lost,
        Self::ServerError,
        Self::Responded,
        Self::Cancelled,
        Self::InFlight,
    ];

    fn apply(self, record: &mut ExecutionRecord) {
        match self {
            Self::Unsent => record.record_unsent(),
            Self::Refused => record.record_failure(AttemptFailure::Refused),
            Self::Unconnected => record.record_failure(AttemptFailure::Connect),
            Self::Lost => record.record_failure(AttemptFailure::ConnectionLost),
            Self::ServerError => record.record_failure(AttemptFailure::ServerError),
            Self::Responded => record.record_response(),
            Self::Cancelled => record.record_cancellation(),
            Self::InFlight => {}
        }
    }

    fn proves_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Refused | Self::Unconnected)
    }
}

/// A second attempt that is not sent any more because its deadline has passed says nothing about the
/// first one, which is still running.
#[test]
fn unsent_hedge_does_not_make_a_running_request_not_run() {
    let mut record = ExecutionRecord::default();
    record.record_start();
    record.record_start();
    record.record_unsent();
    assert!(record.has_attempt_in_flight());
    assert_eq!(record.outcome(), Outcome::Unknown);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn not_run_is_stated_only_if_every_attempt_proves_it(
        ends in prop::collection::vec(prop::sample::select(AttemptEnd::ALL.to_vec()), 0..6),
    ) {
        let mut record = ExecutionRecord::default();
        ends.iter().for_each(|_| record.record_start());
        ends.iter().for_each(|end| end.apply(&mut record));
        let is_not_run = ends.iter().all(|end| end.proves_not_run());
        prop_assert_eq!(record.outcome() == Outcome::NotRun, is_not_run);
        let has_open = ends.iter().any(|end| matches!(end, AttemptEnd::InFlight));
        prop_assert_eq!(record.has_attempt_in_flight(), has_open);
    }
}
