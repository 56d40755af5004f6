//! INI settings of an entry VM and INI documents of services.
//!
//! Both are read whole: every finding is reported with file, line, section and key, and unknown
//! keys with the nearest known one.
//!
//! | module | job |
//! |---|---|
//! | [`reader`] | typed access to INI sections, collecting findings |
//! | [`service`] | service documents: parse and print |
//! | [`settings`] | settings of an entry VM |

pub mod reader;
pub mod service;
pub mod settings;

pub use service::{parse_document, print_document};
pub use settings::{NodeSettings, parse_settings};
