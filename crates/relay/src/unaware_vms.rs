//! Entry VMs whose build does not know rate limits of targets, and that therefore own none.
//!
//! Each entry VM computes the owner of a limit from the shared lists, which do not contain the build of an entry VM. An
//! owner of a build without claims responds to them with status 404 or 503. Its claimants then leave it out, and name it
//! in their claims to the next owner, which leaves it out as well. A process that replaces it is asked again.

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
