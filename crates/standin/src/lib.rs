//! Stand-ins for the platform, targets and callers, with injected faults. For tests and benchmarks
//! only; not shipped.
//!
//! | module | job |
//! |---|---|
//! | [`platform`] | object API with versions and watches; simulates outages and lost responses |
//! | [`recent_states`] | states of the last moments, for calls that accept old data |
//! | [`hosted`] | the same objects, served through the API of the hosted platform |
//! | [`soak`] | fault soak of `sniperelay relay` processes, with targets and callers of its own |
//! | [`target`] | backend server for `sniperelay serve`, with slots, queue, load reports and faults |
//! | [`mod@bench`] | benchmarks |
//! | [`caller`] | caller for `sniperelay serve`; checks that responses are complete |
//! | [`content`] | control headers, and body content that is specific to one request |
//! | [`deployment`] | the two users' deployments at their current sizes |
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
pub mod recent_states;
pub mod soak;
pub mod target;
