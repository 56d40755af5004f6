//! Tests logging while the output is blocked.

use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use sniperelay_node::logs::BufferedAppender;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// Output that blocks until it is released and then stores everything that is written.
struct BlockedOutput {
    release_receiver: Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.release_receiver.recv().unwrap();
            self.is_released = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start_appender() -> (BufferedAppender, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (release_sender, release_receiver) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput { release_receiver, is_released: false, written: written.clone() };
    (
        BufferedAppender::start(Box::new(PatternEncoder::new("{m}{n}")), output).unwrap(),
        release_sender,
        written,
    )
}

fn append(appender: &BufferedAppender, count: usize) {
    for number in 0..count {
        let text = format!("line {number}");
        appender.append(&Record::builder().args(format_args!("{text}")).level(Level::Info).build()).unwrap();
    }
}

#[test]
fn logging_never_blocks_and_every_dropped_line_is_counted() {
    const LINE_COUNT: usize = 20_000;
    let (appender, release_sender, written) = start_appender();
    append(&appender, LINE_COUNT);
    assert!(
        appender.dropped().load(std::sync::atomic::Ordering::Relaxed) > 0,
        "no line was dropped although the buffer was full"
    );
    release_sender.send(()).unwrap();
    // A flush returns once all earlier lines have been written. It must be repeated while the buffer is
    // still full.
    let count_lines = || {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        let dropped = text
            .lines()
            .filter_map(|line| line.split_once("\"dropped_lines\":"))
            .map(|(_, rest)| rest.trim_end_matches('}').parse::<usize>().unwrap());
        (text.lines().filter(|line| line.starts_with("line ")).count(), dropped.sum::<usize>())
    };
    let mut counted = count_lines();
    while counted.0 + counted.1 < LINE_COUNT {
        appender.flush();
        append(&appender, 0);
        std::thread::yield_now();
        counted = count_lines();
    }
    assert_eq!(counted.0 + counted.1, LINE_COUNT);
}
