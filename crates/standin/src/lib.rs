//! Stand-ins for the platform, targets and callers, with faults on demand. For tests and benchmarks;
//! not shipped.
//!
//! | module | job |
//! |---|---|
//! | [`platform`] | object API with versions and watches; simulates outages and lost responses |
//! | [`hosted`] | the same objects, served through the API of the hosted platform |
//! | [`soak`] | fault soak of entry VM processes |
//! | [`target`] | backend server with slots, queue, load reports and faults; counts runs per request |
//! | [`mod@bench`] | benchmarks |
//! | [`caller`] | caller with cached lookups and idempotency keys; verifies that responses are complete |
//! | [`content`] | body content that is specific to one request |
//! | [`deployment`] | services of the two users' deployments at their current sizes |
//! | [`cluster`] | platform, targets and entry VMs in one process |
//! | [`certificates`] | certificate authority and certificates of a deployment |
//! | [`load`] | open-loop load generator with results per rank |
//! | [`demo`] | demonstration over real sockets, with checks |

pub mod bench;
pub mod caller;
pub mod certificates;
pub mod cluster;
pub mod content;
pub mod demo;
pub mod deployment;
pub mod hosted;
pub mod load;
pub mod platform;
pub mod soak;
pub mod target;
