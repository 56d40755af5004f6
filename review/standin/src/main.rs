//! Stand-ins and checks of the review's cases. See `../REPORT.md`.
//!
//! Usage: `review-standin CASE RECORD`, with `REVIEW_ROOT` and `TROUBLE` in the environment. Exits with 0 if the rule
//! held, 1 if it was broken, and 2 if the case could not run.

mod deployment;
mod frozen_follower;
mod http;
mod kept_connections;
mod large_bodies;
mod many_configurations;
mod memory;
mod moved_route;
mod queued_at_stop;
mod record;
mod stale_pages;
mod store;
mod target;
mod vm;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").is_ok_and(|value| value != "0");
    let record = Arc::new(Record::new());
    record.say(format!("case {case}, disruption: {is_troubled}"));
    let verdict = match case.as_str() {
        "queued-at-stop" => queued_at_stop::run(&record, is_troubled),
        "frozen-follower" => frozen_follower::run(&record, is_troubled),
        "large-bodies" => large_bodies::run(&record, is_troubled),
        "many-configurations" => many_configurations::run(&record, is_troubled),
        "moved-route" => moved_route::run(&record, is_troubled),
        "stale-pages" => stale_pages::run(&record, is_troubled),
        _ => Verdict::NotRun("unknown case".to_owned()),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::NotRun(reason) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
    };
    record.write(path);
    ExitCode::from(code)
}
