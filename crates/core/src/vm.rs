//! Virtual machines as the platform lists them. The list lags.

use crate::ids::{DomainName, ServiceName};
use crate::target::TargetLife;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a VM does.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// It serves requests of a service.
    Target(ServiceName),
    /// It runs an entry VM process; the address is the one for peers.
    EntryVm,
}

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// What it does.
    pub role: VmRole,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its state.
    pub state: VmState,
}

impl VmRecord {
    /// Life of the target that the record describes.
    pub fn life(&self) -> TargetLife {
        match self.state {
            VmState::Live => TargetLife::Live,
            VmState::Leaving => TargetLife::Leaving,
        }
    }
}

/// The list at one revision of the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the store.
    pub revision: u64,
    /// The VMs.
    pub records: Vec<VmRecord>,
}
