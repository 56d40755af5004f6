//! The `explain` command: prints the log lines of one request from the log files of any number of
//! entry VMs.

use crate::CommandOutcome;
use crate::args::ExplainArgs;
use anyhow::{Context, Result};
use serde_json::Value;
use std::path::Path;

/// A log line about the request.
#[derive(Debug)]
struct LogLine {
    /// Time as logged. Lines are sorted by this text.
    time: String,
    file: String,
    message: String,
}

/// Prints all log lines of a request in time order.
pub fn explain_request(args: &ExplainArgs) -> Result<CommandOutcome> {
    let mut matching_lines = Vec::new();
    let mut skipped_total = 0;
    for file in &args.files {
        let result = read_file(file, &args.request);
        match result {
            Ok((lines, skipped)) => {
                matching_lines.extend(lines);
                skipped_total += skipped;
            }
            Err(error) => {
                eprintln!("sniperelay: {error:#}");
                return Ok(CommandOutcome::Invalid);
            }
        }
    }
    if skipped_total > 0 {
        eprintln!("sniperelay: {skipped_total} lines are no JSON objects and were skipped");
    }
    matching_lines.sort_by(|left, right| left.time.cmp(&right.time));
    for line in &matching_lines {
        println!("{} {}: {}", line.time, line.file, line.message);
    }
    if matching_lines.is_empty() {
        eprintln!(
            "sniperelay: no log line found for request '{}'; only a sample of routine responses is logged",
            args.request
        );
        return Ok(CommandOutcome::Failed);
    }
    Ok(CommandOutcome::Success)
}

/// Returns the log lines of the request in one file, and the number of lines that are not valid JSON.
fn read_file(path: &Path, request: &str) -> Result<(Vec<LogLine>, usize)> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read log file {name}"))?;
    let mut skipped = 0;
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str::<Value>(line) {
            Ok(value) if value["attributes"]["request"] == request => lines.push(LogLine {
                time: value["time"].as_str().unwrap_or("").to_owned(),
                file: name.clone(),
                message: value["message"].as_str().unwrap_or("").to_owned(),
            }),
            Ok(_) => {}
            Err(_) => skipped += 1,
        }
    }
    Ok((lines, skipped))
}
