//! Requests of callers: listening, lookups, exchanges with targets.
//!
//! | module | job |
//! |---|---|
//! | [`listen`] | caller connections, their limits and their graceful end |
//! | [`lookup`] | which entry VMs a caller should use, and tickets for keys |
//! | [`inbound`] | checks and classes a request |
//! | [`claim_check`] | idempotency keys: claims, duplicates, keys of other entry VMs |
//! | [`exchange`] | carries one request to an answer |
//! | [`attempt`] | one attempt at one target |
//! | [`pool`] | connections to targets |
//! | [`body`] | request and answer bodies |
//! | [`headers`] | header names and rules |
//! | [`response`] | answers that the system makes itself |

pub mod attempt;
pub mod body;
pub mod claim_check;
pub mod exchange;
pub mod headers;
pub mod inbound;
pub mod listen;
pub mod lookup;
pub mod pool;
pub mod response;
