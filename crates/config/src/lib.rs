//! INI settings of an entry VM and INI documents of services.
//!
//! Both are read whole: every finding is reported with file, line, section and key, and unknown
//! keys with the nearest known one.
//!
//! | module | job |
//! |---|---|
//! | [`reader`] | typed access to INI sections, collecting findings |
//! | [`relay`] | settings of an entry VM on a hosted platform |
//! | [`service`] | service documents: parse and print |
//! | [`settings`] | settings of an entry VM |

pub mod reader;
pub mod relay;
pub mod service;
pub mod settings;

pub use relay::{RelaySettings, parse_relay_settings};
pub use service::{parse_document, print_document};
pub use settings::{NodeSettings, parse_settings};
