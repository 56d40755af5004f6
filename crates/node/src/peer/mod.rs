//! QUIC with mutual TLS between entry VMs.
//!
//! | module | job |
//! |---|---|
//! | [`tls`] | certificates and keys, reloaded while running |
//! | [`link`] | connections, sending and receiving of messages |

pub mod link;
pub mod tls;
