//! Decision logic of an entry VM, without I/O, clocks or hidden randomness.
//!
//! The crate consists of typed tables (entities) and passes over them (systems). Time is passed in
//! as [`std::time::Instant`] arguments and randomness as a seed, so that the daemon, tests and
//! benchmarks run the same code by plain function calls.
//!
//! | module | contents |
//! |---|---|
//! | [`account`] | client accounts: API keys, priority, request limit |
//! | [`concurrency`] | number of requests at which a target completes most work |
//! | [`key_fence`] | acceptance of API keys by the age of the configuration |
//! | [`account_ledger`] | owner's part of accounts' request limits: token buckets that grant lots |
//! | [`account_quota`] | claimant's part: lots of tokens, admission of requests |
//! | [`account_terms`] | terms of accounts' request limits, from the tolerance that the platform states |
//! | [`document`] | typed configuration document of a service and its verifier |
//! | [`estimate`] | estimates of durations and sizes |
//! | [`evacuation`] | failure domains whose targets get no requests, by order of the operator |
//! | [`event_rate`] | rate of events |
//! | [`finding`] | findings of a verifier, with their location |
//! | [`reason`] | outcomes, refusal reasons and retry reasons |
//! | [`connection_table`] | caller connections: which are admitted, and which end for others |
//! | [`claim`] | idempotency keys that are bound to one process incarnation |
//! | [`fair_share`] | fair sharing of slot time between ranks |
//! | [`queue`] | bounded request queue of one rank |
//! | [`target`] | targets of one service: slot credits, failures, latency |
//! | [`pick`] | target selection |
//! | [`dispatch`] | admission, late binding, retries and hedges for one service |
//! | [`route`] | routes by host and path prefix, and the service documents derived from them |
//! | [`execution`] | what is known about the execution of a request, over all of its attempts |
//! | [`leaving`] | targets that have reported that they are leaving |
//! | [`rate_limit`] | request rate limits that targets state, and the use of a share of them |
//! | [`limit_ledger`] | division of these limits among entry VMs |
//! | [`reachability`] | whether this entry VM reaches any target |
//! | [`quarantine`] | requests under which targets have crashed, and their quarantine |
//! | [`memory_budget`] | memory for responses, shared so that endless ones leave room for others |
//! | [`budget`] | retry and hedge budgets, as a ratio to first attempts |
//! | [`probe_schedule`] | wall-clock schedule that keeps probes within their budget |
//! | [`ids`] | identifier types |
//! | [`home`] | assignment of services and targets to entry VMs |
//! | [`domain_homes`] | homes, cells and lookups where each failure domain has homes of its own |
//! | [`domain_overflow`] | whether a request leaves its failure domain |
//! | [`borrow`] | short-term loans of slots between entry VMs |
//! | [`digest`] | bucketed digests for anti-entropy |
//! | [`edit`] | state machine for one configuration edit against the platform |
//! | [`edition`] | accepted configuration editions, whose versions never decrease |
//! | [`member`] | entry VM membership by gossip, with suspicion and refutation |
//! | [`vm`] | virtual machines as listed by the platform |
//! | [`overlay`] | neighbour graph for heartbeats and gossip |

pub mod account;
pub mod account_ledger;
pub mod account_quota;
pub mod account_terms;
pub mod borrow;
pub mod budget;
pub mod claim;
pub mod concurrency;
pub mod connection_table;
pub mod digest;
pub mod dispatch;
pub mod document;
pub mod domain_homes;
pub mod domain_overflow;
pub mod edit;
pub mod edition;
pub mod estimate;
pub mod evacuation;
pub mod event_rate;
pub mod execution;
pub mod fair_share;
pub mod finding;
pub mod home;
pub mod ids;
pub mod key_fence;
pub mod leaving;
pub mod limit_ledger;
pub mod member;
pub mod memory_budget;
pub mod overlay;
pub mod pick;
pub mod probe_schedule;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod reachability;
pub mod reason;
pub mod route;
pub mod target;
pub mod vm;

pub use document::ServiceDocument;
pub use finding::{Finding, FindingList};
pub use ids::*;
pub use reason::{Outcome, RefusalReason, RetryReason};
