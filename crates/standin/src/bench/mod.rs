//! Benches. Each prints figures with their bounds, as a table or as one JSON object per line.
//!
//! | module | purpose |
//! |---|---|
//! | [`report`] | figures and their output formats |
//! | [`policy`] | routing policy compared with baselines, over real sockets |
//! | [`scenario`] | loads and injected faults over time |
//! | [`bound`] | upper bound of the served value and a central queue, for the same arrivals |
//! | [`latency`] | latency added by one entry VM |
//! | [`guarantees`] | at-most-once claims and complete responses under injected faults |
//! | [`config`] | time until an edit is in force on every entry VM |
//! | [`capacity`] | cost per entry VM, target, service, change and call |
//! | [`decision`] | processor time of one routing decision, by number of targets |

pub mod bound;
pub mod capacity;
pub mod config;
pub mod decision;
pub mod guarantees;
pub mod latency;
pub mod policy;

pub mod report;
pub mod scenario;
