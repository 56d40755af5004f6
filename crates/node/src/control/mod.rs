//! The control thread: membership, configuration, the platform client and periodic ticks.
//!
//! A single loop owns [`ControlState`](control_state::ControlState). It receives every input as a
//! message; calls to the platform run in separate tasks that report their results as messages. The
//! data that traffic threads need is published as immutable snapshots.
//!
//! | module | contents |
//! |---|---|
//! | [`control_state`] | state owned by the loop |
//! | [`control_loop`] | the loop and its ticks |
//! | [`snapshots`] | services, homes and slot owners, derived from documents, members and the VM list |
//! | [`messages`] | messages from other entry VMs and events from traffic threads |
//! | [`editing`] | edits of documents in the platform's store |
//! | [`platform_sync`] | synchronization of the VM list and the documents with the platform |
//! | [`status`] | status as JSON, for operators and the platform |
//! | [`probe`] | probes of targets within the measuring budget |

pub mod control_loop;
pub mod control_state;
pub mod editing;
pub mod messages;
pub mod platform_sync;
pub mod probe;
pub mod snapshots;
pub mod status;

pub use control_loop::{ControlEvent, ControlHandle, StopStage};
