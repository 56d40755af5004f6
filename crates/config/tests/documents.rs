//! Tests parsing and printing of service documents, and the findings for faulty documents.

use proptest::prelude::*;
use sniperelay_config::{parse_document, parse_settings, print_document};

const EXAMPLES: &[&str] = &[
    include_str!("../../../examples/services/rota-board.ini"),
    include_str!("../../../examples/services/claim-desk.ini"),
    include_str!("../../../examples/services/ledger-vault.ini"),
    include_str!("../../../examples/services/slip-lookup.ini"),
    include_str!("../../../examples/services/slip-issue.ini"),
    include_str!("../../../examples/services/archive-pull.ini"),
];

#[test]
fn examples_are_valid_and_round_trip() {
    for text in EXAMPLES {
        let document = parse_document("example.ini", text).unwrap();
        let printed = print_document(&document);
        assert_eq!(parse_document("printed.ini", &printed).unwrap(), document);
    }
    parse_settings("entry-vm.ini", include_str!("../../../examples/entry-vm.ini")).unwrap();
}

/// Faults in an example document: the text to replace, its replacement, and the expected finding.
const FAULTS: &[(&str, &str, &str)] = &[
    ("worth = 100", "wroth = 100", "bad.ini:31: [rank dawn-read] wroth: unknown key; did you mean 'worth'?"),
    ("worth = 100", "worth = many", "bad.ini:31: [rank dawn-read] worth: 'many' is not a number"),
    ("worth = 100", "worth = -1", "bad.ini:31: [rank dawn-read] worth: must be a number above 0"),
    ("team = growers", "", "[service] team: is required"),
    ("team = growers", "team = The Growers", "bad.ini:6: [service] team: must be 1 to 63 of a-z"),
    ("[measuring]", "[mesuring]", "[mesuring]: unknown section; did you mean 'measuring'?"),
    ("keep-percent = 50", "keep-percent = 90", "sums to 125, above 100"),
    ("GET /rota/*", "/rota/*", "'/rota/*' is not 'METHOD /path'"),
    ("idempotent = yes", "idempotent = true", "'true' is not 'yes' or 'no'"),
    ("latency-ms = 250", "latency-ms = 0", "[rank dawn-read] latency-ms: must be 1 to 3600000"),
    ("latency-ms = 250", "latency-ms = 2000", "[rank dawn-read] give-up-ms: must be at least latency-ms"),
    ("slots-per-target = 4", "slots-per-target = 0", "slots-per-target: must be 1 to 1024"),
    ("connections-per-target = 250", "connections-per-target = 3", "must be at least slots-per-target"),
    ("[rank member-read]", "[rank dawn-read]", "section is defined twice"),
    ("home-count = 2", "home-count = 2\nhome-count = 5", "key is defined twice"),
    ("home-count = 2", "home-count = 0", "home-count: must be at least 1"),
];

#[test]
fn each_fault_is_reported_with_its_location() {
    for (from, to, expected) in FAULTS {
        let text = EXAMPLES[0].replacen(from, to, 1);
        let findings = parse_document("bad.ini", &text).expect_err(to).to_string();
        assert!(findings.contains(expected), "{to}: expected {expected:?} in:\n{findings}");
    }
}

#[test]
fn all_findings_are_reported_together() {
    let text = EXAMPLES[0]
        .replace("team = growers", "")
        .replace("worth = 100", "worth = x")
        .replace("max-attempts = 3", "max-attempts = 9");
    let findings = parse_document("bad.ini", &text).unwrap_err();
    assert_eq!(findings.as_slice().len(), 3, "{findings}");
}

#[test]
fn settings_report_missing_and_unknown_keys() {
    let findings =
        parse_settings("s.ini", "[entry-vm]\ncaller-adress = 1.2.3.4:5\n").unwrap_err().to_string();
    assert!(
        findings.contains("s.ini:2: [entry-vm] caller-adress: unknown key; did you mean 'caller-address'?")
    );
    assert!(findings.contains("[entry-vm] peer-address: is required"));
    assert!(findings.contains("[platform] address: is required"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsers_never_panic(text in "(\\[[a-z ]{0,9}\\]|[a-z-]{0,12}|=|:|\n|;|#|[0-9.,*/ ]|\\PC){0,60}") {
        let _ = parse_document("any.ini", &text);
        let _ = parse_settings("any.ini", &text);
    }

    #[test]
    fn documents_round_trip(
        slots in 1u32..1000, latency in 1u64..100_000, kept in 0u32..=100, worth in 0.001f64..1e6, limit in 1usize..10_000
    ) {
        let text = format!(
            "[service]\nname = s\nteam = t\nslots-per-target = {slots}\n[rank r]\nmatch = GET /*\nworth = {worth}\n\
             latency-ms = {latency}\nkeep-percent = {kept}\nqueue-limit = {limit}\n"
        );
        let document = parse_document("a.ini", &text).unwrap();
        prop_assert_eq!(parse_document("b.ini", &print_document(&document)).unwrap(), document);
    }
}
