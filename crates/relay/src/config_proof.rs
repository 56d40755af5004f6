//! The proof that the configuration in force was current at some time, on which the acceptance of API keys depends.
//!
//! A proof is the time at which the store was asked by a call whose response is up to date. [`copy_status`](crate::copy_status)
//! is no proof: it counts the time of the receipt, and takes stale responses.
//!
//! Invariants:
//!
//! - The proof never decreases. Its age is measured by the boot clock, which counts the time in which the VM is frozen.
//! - A reading of the configuration counts only once an object of the version that it names, or of a later one, is in force.
//! - A proof that is passed to a follower only becomes older: a reader states its age when the check arrived, which the follower
//!   subtracts from the earlier time at which it sent the check.
//!
//! Time is passed in; see [`sniperelay_node::boot_clock`].

use serde::{Deserialize, Serialize};
use sniperelay_core::key_fence::{KeyFence, KeyVerdict};
use sniperelay_core::reason::RefusalReason;
use sniperelay_core::route::RouteVersion;
use sniperelay_node::boot_clock::BootTime;
use sniperelay_platform::api::{ObjectVersion, StoredObject};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Key of the statement of a proof among the latest changes that a reader states. It is no prefix of objects.
const STATEMENT_KEY: &str = "sniperelay-config-proof";
/// Maximum number of readings that wait for their configuration: more than followers make within the bounds.
const MAX_READINGS: usize = 64;

/// An up-to-date reading of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigReading {
    /// Version of the configuration's object.
    pub object_version: ObjectVersion,
    /// Lowest version of the configuration for which the reading counts; 0 for any.
    pub config_version: RouteVersion,
    /// Time at which the store was asked, or a later bound that is no later than that.
    pub read_at: BootTime,
}

/// Statement of a reader that its configuration was current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofStatement {
    /// Version of the object of the configuration in force at the reader.
    pub object_version: ObjectVersion,
    /// Version of that configuration.
    pub config_version: RouteVersion,
    /// Age of the proof when the follower's check arrived.
    pub age: Duration,
}

/// Value of the item that contains a [`ProofStatement`].
#[derive(Debug, Serialize, Deserialize)]
struct StatementValue {
    age_ms: u64,
    config_version: RouteVersion,
}

impl ProofStatement {
    /// Encodes the statement as an item of a list.
    pub fn encode(&self) -> StoredObject {
        // Rounded up, so that the age does not shrink.
        let age_ms = self.age.as_millis() as u64 + 1;
        let value = StatementValue { age_ms, config_version: self.config_version };
        StoredObject {
            key: STATEMENT_KEY.to_owned(),
            version: self.object_version,
            value: serde_json::to_string(&value).unwrap_or_default(),
        }
    }

    /// Finds the statement among the items of a list. Readers of earlier builds state nothing.
    pub fn find(items: &[StoredObject]) -> Option<Self> {
        let item = items.iter().find(|item| item.key == STATEMENT_KEY)?;
        let value: StatementValue = serde_json::from_str(&item.value).ok()?;
        Some(Self {
            object_version: item.version,
            config_version: value.config_version,
            age: Duration::from_millis(value.age_ms),
        })
    }

    /// Returns what the statement proves to a follower that sent its check at `sent_at`.
    pub fn to_reading(self, sent_at: BootTime) -> ConfigReading {
        ConfigReading {
            object_version: self.object_version,
            config_version: self.config_version,
            read_at: sent_at.saturating_sub(self.age),
        }
    }
}

/// The configuration in force.
#[derive(Debug, Clone, Copy)]
struct ConfigInForce {
    object_version: ObjectVersion,
    config_version: RouteVersion,
}

#[derive(Debug, Default)]
struct ProofState {
    in_force: Option<ConfigInForce>,
    proven_at: Option<BootTime>,
    /// Readings of configurations that are not in force yet.
    readings: VecDeque<ConfigReading>,
    /// Whether the refusal of requests has been reported.
    is_refusing: bool,
}

impl ProofState {
    /// Takes the readings of the configuration in force, and drops those that prove nothing more.
    fn settle(&mut self) {
        let Some(in_force) = self.in_force else { return };
        let is_settled = |reading: &ConfigReading| {
            reading.object_version <= in_force.object_version
                && reading.config_version <= in_force.config_version
        };
        let settled = self.readings.iter().filter(|reading| is_settled(reading));
        self.proven_at = settled.map(|reading| reading.read_at).chain(self.proven_at).max();
        let proven_at = self.proven_at;
        self.readings.retain(|reading| !is_settled(reading) && Some(reading.read_at) > proven_at);
    }
}

/// The proof of this process, and the bounds within which it counts.
#[derive(Debug)]
pub struct ConfigProof {
    fence: Option<KeyFence>,
    state: Mutex<ProofState>,
}

impl ConfigProof {
    /// Creates a proof that proves nothing yet. Without a fence, API keys are accepted without one.
    pub fn new(fence: Option<KeyFence>) -> Self {
        Self { fence, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, ProofState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bounds; `None` if API keys are accepted without a proof.
    pub fn fence(&self) -> Option<&KeyFence> {
        self.fence.as_ref()
    }

    /// Records an up-to-date reading.
    pub fn record_reading(&self, reading: ConfigReading) {
        let mut state = self.lock();
        if state.readings.len() >= MAX_READINGS {
            state.readings.pop_front();
        }
        state.readings.push_back(reading);
        state.settle();
    }

    /// Records that an object with a configuration has been decoded, and which configuration is in force since: this one,
    /// or a later one.
    pub fn record_in_force(&self, object_version: ObjectVersion, config_version: RouteVersion) {
        let mut state = self.lock();
        state.in_force = Some(ConfigInForce { object_version, config_version });
        state.settle();
    }

    /// Returns the age of the proof; `None` if there is none.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.lock().proven_at.map(|at| now.saturating_sub(at))
    }

    /// Returns what a reader states to a follower whose check arrived at `received_at`.
    pub fn state_proof(&self, received_at: BootTime) -> Option<ProofStatement> {
        let state = self.lock();
        let ConfigInForce { object_version, config_version } = state.in_force?;
        let age = received_at.saturating_sub(state.proven_at?);
        Some(ProofStatement { object_version, config_version, age })
    }

    /// Begins the check of a request's API key. Must be called before the configuration is read that decides on the key, so
    /// that the proof is no later than it.
    pub fn begin_check(&self, now: BootTime) -> KeyCheck {
        KeyCheck { fence: self.fence, proof_age: self.fence.and_then(|_| self.age(now)) }
    }

    /// Returns whether requests with keys are refused since the last call, or not any more; `None` if nothing has changed.
    pub fn take_transition(&self, now: BootTime) -> Option<bool> {
        let is_refusing = self.begin_check(now).judge(true).is_err();
        let was_refusing = std::mem::replace(&mut self.lock().is_refusing, is_refusing);
        (is_refusing != was_refusing).then_some(is_refusing)
    }
}

/// Check of one request's API key.
#[derive(Debug, Clone, Copy)]
pub struct KeyCheck {
    fence: Option<KeyFence>,
    proof_age: Option<Duration>,
}

impl KeyCheck {
    /// Decides on the request. `is_known` states whether an account holds its key.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn judge(&self, is_known: bool) -> Result<(), RefusalReason> {
        let verdict = match &self.fence {
            Some(fence) => fence.judge(is_known, self.proof_age),
            None if is_known => KeyVerdict::Admitted,
            None => KeyVerdict::Unknown,
        };
        match verdict {
            KeyVerdict::Admitted => Ok(()),
            KeyVerdict::Unknown => Err(RefusalReason::ApiKeyUnknown),
            KeyVerdict::Outdated => Err(RefusalReason::ConfigurationOutdated),
        }
    }
}
