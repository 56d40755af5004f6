//! Logging to standard output through `log4rs`, with a level that can be changed at run time.
//!
//! Lines go through a bounded buffer to a writer thread, so that a slow or blocked reader of standard
//! output never blocks the logging threads. Lines that do not fit into the buffer are dropped and
//! counted. The writer thread reports the count with its next write.

use anyhow::{Context, Result};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use sniperelay_config::settings::LogSettings;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)}Z {l} {t}: {m}{n}";
/// Maximum number of buffered messages that are combined with the first one into a single write.
const MAX_BATCH_LINES: usize = 256;
/// Capacity of the buffer, in lines.
const BUFFER_LINES: usize = 4096;
/// Timeout for flushing the buffer when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Message to the writer thread.
#[derive(Debug)]
enum LogMessage {
    /// An encoded line.
    Line(Vec<u8>),
    /// Requests a notification once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Appender that never blocks on the writer thread, except in [`Append::flush`].
#[derive(Debug)]
pub struct BufferedAppender {
    encoder: Box<dyn Encode>,
    sender: SyncSender<LogMessage>,
    dropped: Arc<AtomicU64>,
}

impl BufferedAppender {
    /// Creates an appender and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(encoder: Box<dyn Encode>, output: impl Write + Send + 'static) -> Result<Self> {
        let (sender, receiver) = sync_channel(BUFFER_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread
            .spawn(move || write_lines(&receiver, output, &counter))
            .context("cannot start the log thread")?;
        Ok(Self { encoder, sender, dropped })
    }

    /// Returns the counter of dropped lines that have not been reported yet.
    pub fn dropped(&self) -> &Arc<AtomicU64> {
        &self.dropped
    }
}

impl Append for BufferedAppender {
    fn append(&self, record: &Record<'_>) -> Result<()> {
        let mut writer = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut writer, record)?;
        match self.sender.try_send(LogMessage::Line(writer.0)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) {
        let (flushed_sender, flushed_receiver) = sync_channel(1);
        if self.sender.try_send(LogMessage::Flush(flushed_sender)).is_ok() {
            // After a timeout the output is presumably blocked, and the remaining lines are lost.
            let (Ok(()) | Err(_)) = flushed_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(receiver: &Receiver<LogMessage>, mut output: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        let mut batch = Vec::new();
        let mut flush_requests = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter().take(MAX_BATCH_LINES)) {
            match message {
                LogMessage::Line(line) => batch.extend_from_slice(&line),
                LogMessage::Flush(flushed_sender) => flush_requests.push(flushed_sender),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.extend_from_slice(format!("{{\"level\":\"WARN\",\"dropped_lines\":{count}}}\n").as_bytes());
        }
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            // The failure cannot be reported, because standard output is where errors are logged.
            return;
        }
        // The requesting thread may have timed out.
        for flushed_sender in flush_requests {
            let (Ok(()) | Err(_)) = flushed_sender.try_send(());
        }
    }
}

/// Handle for changing the log level. Flushes the log on drop.
#[derive(Debug)]
pub struct LogControl {
    handle: log4rs::Handle,
    is_json: bool,
}

impl Drop for LogControl {
    fn drop(&mut self) {
        log::logger().flush();
    }
}

impl LogControl {
    /// Installs the global logger.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed or the level is unknown.
    pub fn start(settings: &LogSettings) -> Result<Self> {
        let level = settings.level.parse().context("unknown log level")?;
        let handle =
            log4rs::init_config(make_config(level, settings.is_json)?).context("cannot start logging")?;
        Ok(Self { handle, is_json: settings.is_json })
    }

    /// Changes the log level.
    ///
    /// # Errors
    ///
    /// Returns an error if the level is unknown.
    pub fn change_level(&self, level: &str) -> Result<()> {
        let level: LevelFilter = level.parse().context("unknown log level")?;
        self.handle.set_config(make_config(level, self.is_json)?);
        Ok(())
    }
}

fn make_config(level: LevelFilter, is_json: bool) -> Result<Config> {
    let encoder: Box<dyn Encode> =
        if is_json { Box::new(JsonEncoder::new()) } else { Box::new(PatternEncoder::new(LINE_PATTERN)) };
    let appender = BufferedAppender::start(encoder, std::io::stdout())?;
    let appender = Appender::builder().build("stdout", Box::new(appender));
    let config =
        Config::builder().appender(appender).build(Root::builder().appender("stdout").build(level))?;
    Ok(config)
}
