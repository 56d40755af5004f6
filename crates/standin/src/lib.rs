//! Stand-ins of the platform, of targets and of callers, with faults on demand; not shipped.
//!
//! | module | job |
//! |---|---|
//! | [`platform`] | the object API with versions, watches, outages and lost answers |
//! | [`hosted`] | the same objects in the dialect of the users' platform |
//! | [`soak`] | fault soak of real entry VM processes |
//! | [`target`] | a backend server: slots, queue, load reports, faults, and the ledger of runs |
//! | [`bench`] | benches |
//! | [`caller`] | a caller: lookups, kept answers, keys, whole-answer check |
//! | [`content`] | body content that belongs to one request |
//! | [`deployment`] | the two users' services at today's sizes |
//! | [`cluster`] | platform, targets and entry VMs together in one process |
//! | [`certificates`] | a deployment's authority and certificates |
//! | [`load`] | open-loop load and its results per rank |
//! | [`demo`] | the main job on real sockets, with checks |

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
