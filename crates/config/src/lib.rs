//! INI settings of an entry VM and INI documents of services.
//!
//! Parsing does not stop at the first error: all findings are reported together, with file, line,
//! section and key. For an unknown key, the finding suggests the most similar known one.
//!
//! | module | contents |
//! |---|---|
//! | [`reader`] | typed access to INI sections that collects findings |
//! | [`relay`] | settings of an entry VM on a hosted platform |
//! | [`service`] | parser and printer for service documents |
//! | [`settings`] | settings of an entry VM |

pub mod reader;
pub mod relay;
pub mod service;
pub mod settings;

pub use relay::{RelaySettings, parse_relay_settings};
pub use service::{parse_document, print_document};
pub use settings::{NodeSettings, parse_settings};
