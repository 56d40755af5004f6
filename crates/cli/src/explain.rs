//! `explain`: the story of one request, from the log files of any number of entry VMs.

use crate::CommandEnd;
use crate::args::ExplainArgs;
use anyhow::{Context, Result};
use serde_json::Value;
use std::path::Path;

/// One log line that names the request.
#[derive(Debug)]
struct StoryLine {
    time: String,
    file: String,
    message: String,
}

/// Prints all lines on a request, in order of time.
pub fn explain_request(args: &ExplainArgs) -> Result<CommandEnd> {
    let mut story = Vec::new();
    let mut unreadable = 0;
    for file in &args.files {
        let read = read_file(file, &args.request);
        match read {
            Ok((lines, skipped)) => {
                story.extend(lines);
                unreadable += skipped;
            }
            Err(error) => {
                eprintln!("sniperelay: {error:#}");
                return Ok(CommandEnd::Invalid);
            }
        }
    }
    if unreadable > 0 {
        eprintln!("sniperelay: {unreadable} lines are no JSON objects and were passed over");
    }
    story.sort_by(|left, right| left.time.cmp(&right.time));
    for line in &story {
        println!("{} {}: {}", line.time, line.file, line.message);
    }
    if story.is_empty() {
        eprintln!(
            "sniperelay: no line names request '{}'; routine answers are logged as a sample",
            args.request
        );
        return Ok(CommandEnd::Failed);
    }
    Ok(CommandEnd::Done)
}

fn read_file(path: &Path, request: &str) -> Result<(Vec<StoryLine>, usize)> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read log file {name}"))?;
    let mut skipped = 0;
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str::<Value>(line) {
            Ok(value) if value["attributes"]["request"] == request => lines.push(StoryLine {
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
