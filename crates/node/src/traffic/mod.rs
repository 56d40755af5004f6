//! Requests from callers: connections, lookups, and sending of requests to targets.
//!
//! | module | contents |
//! |---|---|
//! | [`caller_connection`] | connections from callers, their limits and their graceful shutdown |
//! | [`lookup`] | lookups: entry VMs for a service and tickets for idempotency keys |
//! | [`inbound_request`] | validation and classification of requests |
//! | [`claim_check`] | idempotency keys: claims, duplicates, keys of other entry VMs |
//! | [`request_handler`] | processing of one request up to its response |
//! | [`attempt`] | one attempt to send a request to a target |
//! | [`pool`] | connections to targets |
//! | [`connection_reuse`] | for how long an idle connection may be reused |
//! | [`body`] | request bodies |
//! | [`response_body`] | response bodies, their limits and their clean or broken ends |
//! | [`headers`] | header names and rules for forwarded headers |
//! | [`response`] | responses made by sniperelay itself |

pub mod attempt;
pub mod body;
pub mod caller_connection;
pub mod claim_check;
pub mod connection_reuse;
pub mod headers;
pub mod inbound_request;
pub mod lookup;
pub mod pool;
pub mod request_handler;
pub mod response;
pub mod response_body;
