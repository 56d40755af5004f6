//! Entry VMs whose build does not know rate limits of targets, and that therefore own none.
//!
//! The owner of a limit is computed by each entry VM from the shared lists, which do not say what a build knows. An
//! owner that does not know claims refuses them in a way of its own; its claimants then leave it out, and say so in their
//! claims to the next owner, so that it leaves it out as well. A process that replaces it is asked again.

use sniperelay_core::ids::IncarnationId;
use sniperelay_hosted::registration::EntryVmRecord;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Candidate id of an entry VM, and the id of its process.
pub type UnawareVm = (IncarnationId, IncarnationId);

/// Entry VMs that are known not to know rate limits.
#[derive(Debug, Default)]
pub struct UnawareVms {
    processes: Mutex<HashMap<IncarnationId, IncarnationId>>,
}

impl UnawareVms {
    fn lock(&self) -> MutexGuard<'_, HashMap<IncarnationId, IncarnationId>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an entry VM. Returns whether it was not known before.
    pub fn record(&self, (home, process): UnawareVm) -> bool {
        self.lock().insert(home, process) != Some(process)
    }

    /// Returns whether this process of an entry VM is known not to know rate limits.
    pub fn contains(&self, record: &EntryVmRecord) -> bool {
        self.lock().get(&record.home_candidate().incarnation) == Some(&record.incarnation)
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<UnawareVm> {
        self.lock().iter().map(|(home, process)| (*home, *process)).collect()
    }
}
