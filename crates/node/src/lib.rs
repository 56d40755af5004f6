//! The entry VM daemon: the input and output around the logic in `sniperelay-core`.
//!
//! A single control thread owns the membership, the configuration, the platform client and the
//! periodic ticks of the dispatchers. It publishes immutable snapshots. Traffic threads serve requests
//! and never wait for the control thread.
//!
//! | module | contents |
//! |---|---|
//! | [`entry_threads`] | owners of the threads of an entry VM |
//! | [`entry_vm`] | start and stop of the threads of an entry VM |
//! | [`shared_state`] | state shared by the threads: services, membership, claims, lifecycle phase |
//! | [`dispatcher_handle`] | shared access to the dispatcher of a service, and signal channels of its requests |
//! | [`traffic`] | caller connections, lookups, requests, connections to targets |
//! | [`control`] | the control thread |
//! | [`peer`] | QUIC with mutual TLS between entry VMs |
//! | [`operator`] | HTTP interface for operators |
//! | [`metrics`] | counters and histograms |
//! | [`lifecycle`] | lifecycle phases of the process |
//! | [`stop_deadline`] | the end of the process in a planned stop, for requests in flight |
//! | [`logs`] | logging setup |
//! | [`boot_clock`] | time since boot, which includes time in suspension |
//! | [`wall_clock`] | wall-clock time |

pub mod boot_clock;
pub mod control;
pub mod dispatcher_handle;
pub mod entry_threads;
pub mod entry_vm;
pub mod lifecycle;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod shared_state;
pub mod stop_deadline;
pub mod traffic;
pub mod wall_clock;

pub use entry_vm::{EntryVm, run_until_signal};
