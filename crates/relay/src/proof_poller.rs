//! Polls of the store by which an entry VM proves that its configuration is current, while a watch of it waits.
//!
//! An entry VM that reads the store polls it whenever its last call is too old. A follower gets the proof of its reader, and polls
//! only if that has become too old: the reader may be of an earlier build, or have lost the store. While the store is known to
//! be away, nothing is polled. The bounds are those of [`sniperelay_core::key_fence`].

use crate::config_proof::{ConfigProof, ConfigReading};
use crate::replication::{StoreReplica, StoreSource};
use crate::shared_state::RelayState;
use sniperelay_core::key_fence::KeyFence;
use sniperelay_hosted::routes::CONFIG_PREFIX;
use sniperelay_hosted::store::ObjectStore;
use sniperelay_node::boot_clock::{self, BootTime};
use sniperelay_platform::api::{EventList, ObjectVersion, PlatformApi};
use sniperelay_platform::{PlatformError, Result};
use std::time::Duration;

/// Polls the configuration in the store.
pub(crate) struct ProofPoller<'a> {
    proof: &'a ConfigProof,
    store: &'a ObjectStore,
    replica: &'a StoreReplica,
    /// Whether requests are refused without a proof.
    is_needed: Box<dyn Fn() -> bool + Send + Sync + 'a>,
}

impl<'a> ProofPoller<'a> {
    /// Creates a poller for the proof of this process.
    pub(crate) fn new(state: &'a RelayState) -> Self {
        Self {
            proof: &state.config_proof,
            store: &state.store,
            replica: &state.replica,
            is_needed: Box::new(|| state.needs_config_proof()),
        }
    }

    /// Polls for changes of the configuration after `since`, while an object of this version is the latest one. Returns the
    /// changes that a poll finds, with the time at which it was sent. Does not return while there are none, or while no proof is
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store no longer has the changes since then, on an entry VM that reads the store.
    pub(crate) async fn find_changes(
        &self,
        object_version: Option<ObjectVersion>,
        mut since: u64,
    ) -> Result<(EventList, BootTime)> {
        let (Some(fence), Some(object_version)) = (self.proof.fence(), object_version) else {
            return std::future::pending().await;
        };
        loop {
            self.wait_until_due(fence).await;
            let asked_at = boot_clock::now();
            let poll = self.store.watch(CONFIG_PREFIX, since, Duration::ZERO);
            match tokio::time::timeout(fence.proof_interval(), poll).await {
                Ok(Ok(list)) if list.events.is_empty() => {
                    let reading = ConfigReading { object_version, config_version: 0, read_at: asked_at };
                    self.proof.record_reading(reading);
                    since = since.max(list.revision);
                    self.replica.copies().confirm(CONFIG_PREFIX, since, boot_clock::now());
                }
                Ok(Ok(list)) => return Ok((list, asked_at)),
                Ok(Err(PlatformError::WatchTooOld)) if self.is_direct() => {
                    return Err(PlatformError::WatchTooOld);
                }
                Ok(Err(error)) => log::info!("cannot prove that the configuration is current: {error}"),
                Err(_) => log::info!("cannot prove that the configuration is current: no response in time"),
            }
            // The proof stays as old as it was if the poll failed, or if the configuration is not in force.
            let elapsed = boot_clock::now().saturating_sub(asked_at);
            tokio::time::sleep(fence.proof_interval().saturating_sub(elapsed)).await;
        }
    }

    /// Waits until the proof is too old.
    async fn wait_until_due(&self, fence: &KeyFence) {
        loop {
            let max_age = if self.is_direct() { fence.proof_interval() } else { fence.max_follower_age() };
            let age = self.proof.age(boot_clock::now()).unwrap_or(max_age);
            if age < max_age {
                tokio::time::sleep(max_age - age).await;
            } else if !(self.is_needed)() || self.replica.is_store_unavailable() {
                tokio::time::sleep(fence.proof_interval()).await;
            } else {
                return;
            }
        }
    }

    fn is_direct(&self) -> bool {
        matches!(self.replica.source(), StoreSource::Direct)
    }
}
