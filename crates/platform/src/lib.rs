//! Client of the platform's object API.
//!
//! | module | job |
//! |---|---|
//! | [`api`] | the [`PlatformApi`] trait, objects, versions and errors |
//! | [`client`] | objects in the project's own JSON dialect |
//! | [`transport`] | calls over HTTP: time limits, counters |
//! | [`limiter`] | call rate, backoff with full jitter, circuit breaking |

pub mod api;
pub mod client;
pub mod limiter;
pub mod transport;

pub use api::{PlatformApi, PlatformError, Result};
pub use client::HttpPlatform;
pub use limiter::CallLimiter;
pub use transport::PlatformTransport;
