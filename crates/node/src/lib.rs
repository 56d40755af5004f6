//! The entry VM daemon: turns bytes into events of `sniperelay-core` and its actions into bytes.
//!
//! One control thread owns membership, configuration, the platform client and the upkeep of the
//! dispatchers; it publishes immutable snapshots. Traffic threads run requests and never wait for
//! the control thread.
//!
//! | module | job |
//! |---|---|
//! | [`entry_vm`] | starts and stops the threads of one entry VM |
//! | [`shared_state`] | what traffic threads read: services, homes, claims, life phase |
//! | [`dispatcher_handle`] | a service's dispatcher behind a lock, and the channels of its requests |
//! | [`traffic`] | callers, lookups, requests, connections to targets |
//! | [`control`] | the control thread |
//! | [`peer`] | QUIC with mutual TLS between entry VMs |
//! | [`operator`] | HTTP interface for operators |
//! | [`metrics`] | counters and histograms |
//! | [`lifecycle`] | life cycle of the process |
//! | [`logs`] | logging set-up |
//! | [`boot_clock`] | time that goes on while the machine is suspended |
//! | [`wall_clock`] | wall-clock time |

pub mod boot_clock;
pub mod control;
pub mod dispatcher_handle;
pub mod entry_vm;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod shared_state;
pub mod traffic;
pub mod wall_clock;

pub use entry_vm::{EntryVm, run_until_signal};
