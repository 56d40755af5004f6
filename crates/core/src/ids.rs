//! Identifier types shared by all tables.

use slotmap::new_key_type;

/// Random ID of one run of an entry VM process; never reused.
pub type IncarnationId = u64;
/// ID of a request, unique within one process.
pub type RequestId = u64;
/// Index of a rank in its service document; 0 is the most urgent.
pub type RankId = usize;
/// Name of a service, as given in its document.
pub type ServiceName = String;
/// Name of one process run of a target, as given in its registration.
pub type InstanceName = String;
/// Name of a failure domain.
pub type DomainName = String;
/// Name of a team that owns service documents.
pub type TeamName = String;
/// Configuration version of one service; never decreases.
pub type Generation = u64;

new_key_type! {
    /// Key of a target in a [`crate::target::TargetTable`].
    pub struct TargetKey;
    /// Key of a queued request in a [`crate::queue::RankQueue`].
    pub struct QueuedKey;
}
