//! Benchmarks. Each returns figures with their bounds, which are printed as a table or as one JSON
//! object per line.
//!
//! | module | purpose |
//! |---|---|
//! | [`report`] | figures and their output formats |
//! | [`policy`] | routing policy compared with baselines, over real sockets |
//! | [`scenario`] | loads and injected faults over time |
//! | [`bound`] | reference results for the same arrivals: upper bound of the served value, central queue |
//! | [`latency`] | latency added by one entry VM |
//! | [`guarantees`] | at-most-once claims and complete responses under injected faults |
//! | [`config`] | time until an edit is in force on every entry VM |
//! | [`capacity`] | cost per entry VM, target, service, change and call |
//! | [`decision`] | time that the dispatcher takes per request, by number of targets |

pub mod bound;
pub mod capacity;
pub mod config;
pub mod decision;
pub mod guarantees;
pub mod latency;
pub mod policy;

pub mod report;
pub mod scenario;
