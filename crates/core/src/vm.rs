//! Virtual machines as listed by the platform. The list lags behind their actual state.

use crate::ids::{DomainName, ServiceName};
use crate::target::TargetLifecycle;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Serves requests of a service.
    Target(ServiceName),
    /// Runs an entry VM process; the record holds its peer address.
    EntryVm,
}

/// State of a VM according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// Entry of one VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Role of the VM.
    pub role: VmRole,
    /// Address of the VM.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: DomainName,
    /// State of the VM.
    pub state: VmState,
}

impl VmRecord {
    /// Returns the lifecycle state of the target that the record describes.
    pub fn lifecycle(&self) -> TargetLifecycle {
        match self.state {
            VmState::Live => TargetLifecycle::Live,
            VmState::Leaving => TargetLifecycle::Leaving,
        }
    }
}

/// VM list at one revision of the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the store.
    pub revision: u64,
    /// Records of the VMs.
    pub records: Vec<VmRecord>,
}
