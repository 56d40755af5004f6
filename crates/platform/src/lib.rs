//! Client of the platform's object API.
//!
//! | module | contents |
//! |---|---|
//! | [`api`] | the [`PlatformApi`] trait, objects, versions and errors |
//! | [`client`] | client for the project's own JSON dialect of the API |
//! | [`transport`] | HTTP calls with timeouts and counters |
//! | [`content_coding`] | decoding of compressed responses |
//! | [`paged_list`] | assembly of a list from pages of different revisions |
//! | [`limiter`] | call rate limit, circuit breaker, backoff with full jitter |

pub mod api;
pub mod client;
pub mod content_coding;
pub mod limiter;
pub mod paged_list;
pub mod transport;

pub use api::{PlatformApi, PlatformError, Result};
pub use client::HttpPlatform;
pub use limiter::CallLimiter;
pub use transport::PlatformTransport;
