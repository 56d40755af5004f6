//! An entry VM on a platform that keeps configuration and targets.
//!
//! One thread runs everything: these machines have a fraction of a core. Entry VMs check their
//! neighbours and hand on what a few of them read from the platform's store; what has to be agreed
//! or kept goes through that store. Routing decisions are those of `sniperelay-core`.
//!
//! | module | job |
//! |---|---|
//! | [`startup`] | start, running until a signal |
//! | [`shutdown`] | planned stop |
//! | [`shared_state`] | what all tasks share: routes, services, entry VMs, phase |
//! | [`store_sync`] | the store's configuration, targets and entry VMs, kept up to date |
//! | [`replication`] | what entry VMs that read the store hand on to the others |
//! | [`failure_detector`] | checks of neighbours; removal of entry VMs that are gone |
//! | [`listen`] | caller connections: reading, pipelining, answers in order |
//! | [`head`] | request heads |
//! | [`body`] | request bodies |
//! | [`reply`] | answers as bytes |
//! | [`exchange`] | one request from its route to its answer |
//! | [`attempt`] | one attempt at one target |
//! | [`load_probe`] | questions for targets' reports |
//! | [`decision`] | log lines of decisions on requests |
//! | [`http_api`] | lookups, readiness checks and metrics |

pub mod attempt;
pub mod body;
pub mod decision;
pub mod exchange;
pub mod failure_detector;
pub mod head;
pub mod http_api;
pub mod listen;
pub mod load_probe;
pub mod replication;
pub mod reply;
pub mod shared_state;
pub mod shutdown;
pub mod startup;
pub mod store_sync;

pub use startup::{RunningRelay, run_until_signal};
