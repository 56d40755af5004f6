//! Logging when nobody reads.

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use sniperelay_node::logs::BufferedAppender;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// Takes nothing until it is released; then keeps everything.
struct HeldOutput {
    release: Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.release.recv().unwrap();
            self.is_released = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start() -> (BufferedAppender, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (released, release) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = HeldOutput { release, is_released: false, written: written.clone() };
    (BufferedAppender::start(Box::new(PatternEncoder::new("{m}{n}")), output).unwrap(), released, written)
}

fn append(appender: &BufferedAppender, count: usize) {
    for number in 0..count {
        let text = format!("line {number}");
        appender.append(&Record::builder().args(format_args!("{text}")).level(Level::Info).build()).unwrap();
    }
}

#[test]
fn whoever_logs_never_waits_and_every_dropped_line_is_counted() {
    const LINES: usize = 20_000;
    let (appender, released, written) = start();
    append(&appender, LINES);
    assert!(appender.dropped().load(std::sync::atomic::Ordering::Relaxed) > 0, "the buffer is bounded");
    released.send(()).unwrap();
    // All lines before the flush are written when it returns; it may have to be asked again while
    // the buffer is still full.
    let count = || {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        let dropped = text
            .lines()
            .filter_map(|line| line.split_once("\"dropped_lines\":"))
            .map(|(_, rest)| rest.trim_end_matches('}').parse::<usize>().unwrap());
        (text.lines().filter(|line| line.starts_with("line ")).count(), dropped.sum::<usize>())
    };
    let mut counted = count();
    while counted.0 + counted.1 < LINES {
        appender.flush();
        append(&appender, 0);
        std::thread::yield_now();
        counted = count();
    }
    assert_eq!(counted.0 + counted.1, LINES);
}
