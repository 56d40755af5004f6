//! Order of the first reads of a process that starts.
//!
//! The list of entry VMs is read first, from the store. It shows the readers, and everything else is read from one of them
//! if it responds: a call to the store is far dearer than one to a reader, and a fleet that starts would send hundreds of
//! them at once. When no reader responds, or the list of entry VMs does not arrive, the store is read as before.
//!
//! Invariant: the other first reads begin at the latest after the limits of [`crate::replication::choose_first_source`].

use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;

/// Progress of the start of a process.
#[derive(Debug)]
pub struct StartOrder {
    has_entry_vms: watch::Sender<bool>,
    has_source: watch::Sender<bool>,
    has_predecessor: AtomicBool,
}

impl Default for StartOrder {
    fn default() -> Self {
        Self {
            has_entry_vms: watch::Sender::new(false),
            has_source: watch::Sender::new(false),
            has_predecessor: AtomicBool::new(false),
        }
    }
}

impl StartOrder {
    /// Records that the list of entry VMs has been read.
    pub fn record_entry_vms(&self) {
        self.has_entry_vms.send_if_modified(|has_entry_vms| !std::mem::replace(has_entry_vms, true));
    }

    /// Records that the list of entry VMs contains the registration of an earlier process of this entry VM.
    pub fn record_predecessor(&self) {
        self.has_predecessor.store(true, Ordering::Relaxed);
    }

    /// Returns whether the list of entry VMs contains the registration of an earlier process of this entry VM. It is then one
    /// of a fleet that has been at work before, and not one to which entry VMs are still being added.
    pub fn has_predecessor(&self) -> bool {
        self.has_predecessor.load(Ordering::Relaxed)
    }

    /// Waits until the list of entry VMs has been read.
    pub async fn wait_for_entry_vms(&self) {
        wait_until_set(&self.has_entry_vms).await;
    }

    /// Records that the source of the other first reads has been chosen.
    pub fn record_source(&self) {
        self.has_source.send_replace(true);
    }

    /// Waits until the source of the other first reads has been chosen.
    pub async fn wait_for_source(&self) {
        wait_until_set(&self.has_source).await;
    }
}

async fn wait_until_set(flag: &watch::Sender<bool>) {
    // The sender lives as long as `self`.
    drop(flag.subscribe().wait_for(|is_set| *is_set).await);
}
