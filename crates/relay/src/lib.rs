//! An entry VM on a platform that keeps configuration and targets.
//!
//! One thread runs everything: these machines have a fraction of a core. Entry VMs check their
//! neighbours and hand on what a few of them read from the platform's store; what has to be agreed
//! or kept goes through that store. Routing decisions are those of `sniperelay-core`.
//!
//! | module | job |
//! |---|---|
//! | [`run`] | start, running until a signal |
//! | [`stop`] | planned stop |
//! | [`state`] | what all tasks share: routes, services, entry VMs, phase |
//! | [`sync`] | the store's configuration, targets and entry VMs, kept up to date |
//! | [`feed`] | what entry VMs that read the store hand on to the others |
//! | [`neighbour`] | checks of neighbours; removal of entry VMs that are gone |
//! | [`listen`] | caller connections: reading, pipelining, answers in order |
//! | [`head`] | request heads |
//! | [`body`] | request bodies |
//! | [`reply`] | answers as bytes |
//! | [`exchange`] | one request from its route to its answer |
//! | [`attempt`] | one attempt at one target |
//! | [`probe`] | questions for targets' reports |
//! | [`decision`] | log lines of decisions on requests |
//! | [`side`] | lookups, readiness checks and metrics |

pub mod attempt;
pub mod body;
pub mod decision;
pub mod exchange;
pub mod feed;
pub mod head;
pub mod listen;
pub mod neighbour;
pub mod probe;
pub mod reply;
pub mod run;
pub mod side;
pub mod state;
pub mod stop;
pub mod sync;

pub use run::{RunningRelay, run_until_signal};
