//! The control thread: membership, configuration, the platform client and upkeep.
//!
//! One loop owns [`ControlState`]; every input is a message to it, and platform calls run as tasks
//! that answer with messages. What traffic threads need is published as immutable snapshots.
//!
//! | module | job |
//! |---|---|
//! | [`state`] | the tables that the loop owns |
//! | [`control_loop`] | the loop and its ticks |
//! | [`snapshots`] | services, homes and owners from documents, members and the VM list |
//! | [`messages`] | messages of other entry VMs |
//! | [`editing`] | edits of documents against the platform |
//! | [`platform_sync`] | reading the platform: VM list, documents |
//! | [`status`] | status as JSON, and its object in the platform |
//! | [`probe`] | probes within the measuring budget |

pub mod control_loop;
pub mod editing;
pub mod messages;
pub mod platform_sync;
pub mod probe;
pub mod snapshots;
pub mod state;
pub mod status;

pub use control_loop::{ControlEvent, ControlHandle, StopStage};
