//! Logging to the console by `log4rs`; the level can be changed while running.

use anyhow::{Context, Result};
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use sniperelay_config::settings::LogSettings;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {t}: {m}{n}";

/// Handle to change the level.
#[derive(Debug)]
pub struct LogControl {
    handle: log4rs::Handle,
    is_json: bool,
}

impl LogControl {
    /// Starts logging.
    ///
    /// # Errors
    ///
    /// When a logger is installed already or the level is unknown.
    pub fn start(settings: &LogSettings) -> Result<Self> {
        let level = settings.level.parse().context("unknown log level")?;
        let handle =
            log4rs::init_config(make_config(level, settings.is_json)?).context("cannot start logging")?;
        Ok(Self { handle, is_json: settings.is_json })
    }

    /// Changes the level.
    ///
    /// # Errors
    ///
    /// When the level is unknown.
    pub fn change_level(&self, level: &str) -> Result<()> {
        let level: LevelFilter = level.parse().context("unknown log level")?;
        self.handle.set_config(make_config(level, self.is_json)?);
        Ok(())
    }
}

fn make_config(level: LevelFilter, is_json: bool) -> Result<Config> {
    let encoder: Box<dyn Encode> =
        if is_json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(PATTERN)) };
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let appender = Appender::builder().build("console", Box::new(console));
    let config =
        Config::builder().appender(appender).build(Root::builder().appender("console").build(level))?;
    Ok(config)
}
