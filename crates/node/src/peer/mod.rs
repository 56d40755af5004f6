//! Messages between entry VMs over QUIC with mutual TLS.
//!
//! | module | contents |
//! |---|---|
//! | [`tls`] | certificates and keys, which can be reloaded at run time |
//! | [`link`] | connections, and sending and receiving of messages |

pub mod link;
pub mod tls;
