//! Benches: each prints figures with their bounds, as a table or as one JSON object a line.
//!
//! | module | job |
//! |---|---|
//! | [`report`] | figures and how they are printed |
//! | [`policy`] | the routing policy against baselines over real sockets |
//! | [`scenario`] | scenarios: loads and faults over time |
//! | [`bound`] | upper bounds from the same arrivals: value, and a central queue |
//! | [`latency`] | latency added by one entry VM |
//! | [`decision`] | processor time of one decision by number of targets |

pub mod bound;
pub mod decision;
pub mod latency;
pub mod policy;
pub mod report;
pub mod scenario;
