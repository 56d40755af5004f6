//! Which requests with an API key may be started, by the age of the proof that the configuration was current.
//!
//! The proof is a moment at which the configuration in force was the latest one in the store. A key that is accepted was not
//! removed before that moment, so the age of the proof is a bound for how long ago it can have been removed.
//!
//! Invariant: without a proof that is younger than the bound for revoked keys, no request with a key is started.

use std::time::Duration;

/// Interval at which the configuration is proven to be current, as a share of the bound for revoked keys. Several proofs
/// may fail, and each may take a few hops, before the bound is reached.
const PROOF_INTERVAL_SHARE: f64 = 0.2;
/// Share of the bound for new configurations within which a key that nobody holds is certain to be unknown. The rest is for
/// the time that a request is on its way and read.
const CERTAIN_SHARE: f64 = 0.8;
/// Time after which a caller may retry while other entry VMs are likely to have a proof.
const RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time after which a caller may retry while the store is away for this entry VM and its readers, and so probably for all.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What is to be done with a request that carries an API key, or lacks one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict {
    /// An account holds the key, and it was not removed longer ago than the bound allows.
    Admitted,
    /// No account holds the key.
    Unknown,
    /// The configuration may be too old to decide.
    Outdated,
}

/// Bounds within which the configuration decides on API keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFence {
    /// Time after which a removed key is not accepted.
    revocation: Duration,
    /// Age of the proof up to which a key that nobody holds is unknown.
    certain_for: Duration,
}

impl KeyFence {
    /// Creates the fence for the time after which a removed key must not be accepted, and the time within which a new
    /// configuration must take effect.
    pub fn new(revocation: Duration, config_apply: Duration) -> Self {
        Self { revocation, certain_for: config_apply.mul_f64(CERTAIN_SHARE).min(revocation) }
    }

    /// Decides on a request. `is_known` states whether an account holds its key; `proof_age` is the age of the proof, `None`
    /// if there is none.
    pub fn judge(&self, is_known: bool, proof_age: Option<Duration>) -> KeyVerdict {
        let is_younger = |bound: Duration| proof_age.is_some_and(|age| age < bound);
        match is_known {
            true if is_younger(self.revocation) => KeyVerdict::Admitted,
            false if is_younger(self.certain_for) => KeyVerdict::Unknown,
            _ => KeyVerdict::Outdated,
        }
    }

    /// Returns the interval at which an entry VM that reads the store proves the configuration.
    pub fn proof_interval(&self) -> Duration {
        self.revocation.mul_f64(PROOF_INTERVAL_SHARE)
    }

    /// Returns the age of the proof from which on an entry VM that follows a reader asks the store itself.
    pub fn max_follower_age(&self) -> Duration {
        2 * self.proof_interval()
    }
}

/// Returns the time after which the caller of a request may retry that was refused because there is no recent proof. `is_store_away` states
/// whether neither the store nor a reader responds.
pub fn retry_after_outdated(is_store_away: bool) -> Duration {
    if is_store_away { OUTAGE_RETRY_AFTER } else { RETRY_AFTER }
}
