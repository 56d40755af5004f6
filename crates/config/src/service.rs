//! Parser and printer for service documents in INI format.

use crate::reader::{IniSource, Result, SectionReader};
use sniperelay_core::document::{
    ProbePolicy, RankPolicy, RetryPolicy, RouteMatch, ServiceDocument, verify_document,
};
use sniperelay_core::finding::FindingList;
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

/// Start of the names of sections that define ranks; the rest of the name is the name of the rank.
const RANK_PREFIX: &str = "rank ";
const KNOWN_SECTIONS: &[&str] = &["service", "retry", "measuring"];
/// Default `give-up-ms` of a rank, as a multiple of its `latency-ms`.
const DEFAULT_GIVE_UP_FACTOR: u32 = 4;
/// Default `queue-limit` of a rank.
const DEFAULT_QUEUE_LIMIT: usize = 1000;

/// One value of the `match` key: a method or `*`, and a path.
struct RouteText(RouteMatch);

impl FromStr for RouteText {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let (method, path) = text.split_once(char::is_whitespace).ok_or(())?;
        let is_method =
            method == "*" || (!method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase()));
        let path = path.trim();
        let is_path = !path.is_empty() && path.bytes().all(|byte| byte.is_ascii_graphic());
        if !(is_method && is_path) {
            return Err(());
        }
        Ok(Self(RouteMatch { method: method.to_owned(), path: path.to_owned() }))
    }
}

/// Parses and verifies a document; `file` is the file name used in findings.
///
/// # Errors
///
/// Returns all findings if there are any.
pub fn parse_document(file: &str, text: &str) -> Result<ServiceDocument> {
    let source = IniSource::parse(file, text)?;
    source.check_sections(KNOWN_SECTIONS, Some(RANK_PREFIX));
    let document = read_document(&source);
    let verified = verify_document(&document, &|section, key| source.location(section, key));
    let mut findings = source.into_findings();
    if let Err(additional) = verified {
        append_findings_at_new_locations(&mut findings, &additional);
    }
    findings.into_result(document)
}

/// Adds the findings at locations that have no finding yet.
fn append_findings_at_new_locations(findings: &mut FindingList, additional: &FindingList) {
    for finding in additional.as_slice() {
        let is_reported = findings.as_slice().iter().any(|other| other.location == finding.location);
        if !is_reported {
            findings.push(finding.location.clone(), finding.message.clone());
        }
    }
}

fn read_document(source: &IniSource) -> ServiceDocument {
    let service = source.section("service");
    let slots_per_target = service.parsed_required("slots-per-target", "a whole number", 1);
    let document = ServiceDocument {
        name: service.required("name"),
        team: service.required("team"),
        slots_per_target,
        connections_per_target: service.parsed_or(
            "connections-per-target",
            "a whole number",
            slots_per_target,
        ),
        home_count: service.parsed_or("home-count", "a whole number", 2),
        ramp: service.millis_or("ramp-ms", Duration::from_secs(2)),
        retry: read_retry(source.section("retry")),
        measuring: read_measuring(source.section("measuring")),
        ranks: read_ranks(source),
    };
    service.report_unknown_keys();
    document
}

fn read_retry(section: SectionReader<'_>) -> RetryPolicy {
    let policy = RetryPolicy {
        max_attempts: section.parsed_or("max-attempts", "a whole number", 2),
        retry_share: section.percent_or("retry-percent", 0.1),
        hedge_share: section.percent_or("hedge-percent", 0.05),
    };
    section.report_unknown_keys();
    policy
}

fn read_measuring(section: SectionReader<'_>) -> ProbePolicy {
    let policy = ProbePolicy {
        calls_per_second: section.parsed_or("calls-per-second", "a whole number", 1),
        bytes_per_second: section.parsed_or("bytes-per-second", "a whole number", 2048),
        path: section.optional("path").unwrap_or_else(|| "/load".to_owned()),
    };
    section.report_unknown_keys();
    policy
}

fn read_ranks(source: &IniSource) -> Vec<RankPolicy> {
    let names = source.section_names();
    let ranks = names.iter().filter_map(|name| name.strip_prefix(RANK_PREFIX).map(|rank| (name, rank)));
    ranks.map(|(section, rank)| read_rank(rank, source.section(section))).collect()
}

fn read_rank(name: &str, section: SectionReader<'_>) -> RankPolicy {
    let routes: Vec<RouteText> = section.list("match", "'METHOD /path' or 'METHOD /prefix*'");
    let latency = Duration::from_millis(section.parsed_required("latency-ms", "a whole number", 1000));
    let policy = RankPolicy {
        name: name.trim().to_owned(),
        matches: routes.into_iter().map(|route| route.0).collect(),
        worth: section.parsed_or("worth", "a number", 1.0),
        latency,
        give_up: section.millis_or("give-up-ms", latency.saturating_mul(DEFAULT_GIVE_UP_FACTOR)),
        on_time_share: section.percent_or("on-time-percent", 0.99),
        kept_share: section.percent_or("keep-percent", 0.0),
        idempotent: section.flag_or("idempotent", false),
        queue_limit: section.parsed_or("queue-limit", "a whole number", DEFAULT_QUEUE_LIMIT),
    };
    section.report_unknown_keys();
    policy
}

/// Prints a document as INI text; [`parse_document`] parses it to an equal document.
pub fn print_document(document: &ServiceDocument) -> String {
    let mut text = String::new();
    print_service(document, &mut text);
    document.ranks.iter().for_each(|rank| print_rank(rank, &mut text));
    text
}

fn print_service(document: &ServiceDocument, text: &mut String) {
    let retry = &document.retry;
    let measuring = &document.measuring;
    let _ = write!(
        text,
        "[service]\nname = {}\nteam = {}\nslots-per-target = {}\nconnections-per-target = {}\nhome-count = {}\n\
         ramp-ms = {}\n\n[retry]\nmax-attempts = {}\nretry-percent = {}\nhedge-percent = {}\n\n[measuring]\n\
         calls-per-second = {}\nbytes-per-second = {}\npath = {}\n",
        document.name,
        document.team,
        document.slots_per_target,
        document.connections_per_target,
        document.home_count,
        document.ramp.as_millis(),
        retry.max_attempts,
        to_percent(retry.retry_share),
        to_percent(retry.hedge_share),
        measuring.calls_per_second,
        measuring.bytes_per_second,
        measuring.path,
    );
}

fn print_rank(rank: &RankPolicy, text: &mut String) {
    let routes: Vec<String> =
        rank.matches.iter().map(|route| format!("{} {}", route.method, route.path)).collect();
    let _ = write!(
        text,
        "\n[rank {}]\nmatch = {}\nworth = {}\nlatency-ms = {}\ngive-up-ms = {}\non-time-percent = {}\nkeep-percent = {}\n\
         idempotent = {}\nqueue-limit = {}\n",
        rank.name,
        routes.join(", "),
        rank.worth,
        rank.latency.as_millis(),
        rank.give_up.as_millis(),
        to_percent(rank.on_time_share),
        to_percent(rank.kept_share),
        if rank.idempotent { "yes" } else { "no" },
        rank.queue_limit,
    );
}

/// Converts a fraction to a percentage, and removes the rounding error of the division by 100.
fn to_percent(share: f64) -> f64 {
    (share * 1e8).round() / 1e6
}
