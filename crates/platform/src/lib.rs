//! Client of the platform's object API.
//!
//! | module | job |
//! |---|---|
//! | [`api`] | the [`PlatformApi`] trait, objects, versions and errors |
//! | [`client`] | HTTP and JSON client |
//! | [`pace`] | call rate, backoff with full jitter, circuit breaking |

pub mod api;
pub mod client;
pub mod pace;

pub use api::{PlatformApi, PlatformError, Result};
pub use client::HttpPlatform;
pub use pace::CallPace;
