//! Benches: each prints figures with their bounds, as a table or as one JSON object a line.
//!
//! | module | job |
//! |---|---|
//! | [`report`] | figures and how they are printed |
//! | [`policy`] | the routing policy against baselines over real sockets |
//! | [`scenario`] | scenarios: loads and faults over time |
//! | [`bound`] | upper bounds from the same arrivals: value, and a central queue |
//! | [`latency`] | latency added by one entry VM |
//! | [`promises`] | claims at most once and whole answers, through faults |
//! | [`config`] | time until an edit is in force everywhere |
//! | [`capacity`] | slopes for the users' target |
//! | [`decision`] | processor time of one decision by number of targets |

pub mod bound;
pub mod capacity;
pub mod config;
pub mod decision;
pub mod latency;
pub mod policy;
pub mod promises;
pub mod report;
pub mod scenario;
