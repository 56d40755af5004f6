//! The entry VMs that can own the request limits of client accounts, and the accounts, as this entry VM sees them.

use crate::unaware_vms::UnawareVm;
use sniperelay_core::account::{AccountId, AccountLimit};
use sniperelay_core::home::AccountOwners;
use sniperelay_core::ids::IncarnationId;
use sniperelay_core::route::RouteVersion;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An entry VM that can own accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Candidate id, which stays the same when it restarts.
    pub home: IncarnationId,
    /// Id of its process.
    pub process: IncarnationId,
    /// Address at which it serves entry VMs.
    pub address: SocketAddr,
}

impl OwnerCandidate {
    /// Returns the ids of the entry VM and of its process.
    pub fn ids(&self) -> UnawareVm {
        (self.home, self.process)
    }
}

/// The entry VMs and accounts as this entry VM sees them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountFleet {
    /// Candidate id of this entry VM.
    pub own: IncarnationId,
    /// Entry VMs that can own accounts, this one included.
    pub candidates: Vec<OwnerCandidate>,
    /// Version of the configuration that the limits are from.
    pub version: RouteVersion,
    /// Limits of the accounts that have one.
    pub limits: HashMap<AccountId, AccountLimit>,
}

impl AccountFleet {
    /// Returns the owner and the stand-in of an account.
    pub fn owners_of(&self, account: AccountId) -> Option<AccountOwners> {
        AccountOwners::choose(account, self.candidates.iter().map(|candidate| candidate.home))
    }

    /// Returns the entry VM with this candidate id.
    pub fn find(&self, home: IncarnationId) -> Option<&OwnerCandidate> {
        self.candidates.iter().find(|candidate| candidate.home == home)
    }
}
