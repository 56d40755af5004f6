//! Every decision of an entry VM, without I/O, clocks or hidden randomness.
//!
//! The crate holds typed tables (entities) and passes over them (systems). Time comes in as
//! [`std::time::Instant`] arguments and randomness as a seed, so that the daemon, a focused test
//! and a bench drive the same code by plain function calls.
//!
//! | module | table or pass |
//! |---|---|
//! | [`document`] | the typed configuration document of one service and its verifier |
//! | [`estimate`] | means and quantiles of durations |
//! | [`finding`] | findings that a verifier collects, with their place |
//! | [`reason`] | outcomes, refusal reasons and retry reasons |
//! | [`claim`] | idempotency keys bound to one process incarnation |
//! | [`share`] | slot time owed to each rank |
//! | [`queue`] | bounded waiting requests of one rank |
//! | [`target`] | targets of one service: credits, failures, latency |
//! | [`pick`] | choice of a target |
//! | [`dispatch`] | admission, late binding, retries and hedges of one service |
//! | [`route`] | routes by host and prefix, and the documents that follow from them |
//! | [`budget`] | retry and hedge budgets as a share of traffic |
//! | [`measuring`] | wall-clock schedule that keeps probes within their budget |
//! | [`home`] | entry VMs responsible for a service, and owners of targets |
//! | [`borrow`] | short loans of slots between entry VMs |
//! | [`digest`] | bucketed digests for anti-entropy |
//! | [`edit`] | one configuration edit against the platform, to a certain result |
//! | [`edition`] | accepted configuration editions; versions only rise |
//! | [`member`] | entry VM membership: suspicion, refutation, incarnations |
//! | [`vm`] | virtual machines as the platform lists them |
//! | [`overlay`] | fixed-degree neighbour graph for heartbeats and rumours |

pub mod borrow;
pub mod budget;
pub mod claim;
pub mod digest;
pub mod dispatch;
pub mod document;
pub mod edit;
pub mod edition;
pub mod estimate;
pub mod finding;
pub mod home;
pub mod ids;
pub mod measuring;
pub mod member;
pub mod overlay;
pub mod pick;
pub mod queue;
pub mod reason;
pub mod route;
pub mod share;
pub mod target;
pub mod vm;

pub use document::ServiceDocument;
pub use finding::{Finding, FindingList};
pub use ids::*;
pub use reason::{Outcome, RefusalReason, RetryReason};
