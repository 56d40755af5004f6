//! Tests of the `explain` command, and of the settings of `relay`.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run_sniperelay(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sniperelay")).args(args).output().unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sniperelay-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn log_line(time: &str, request: &str, message: &str) -> String {
    serde_json::json!({"time": time, "message": message, "attributes": {"request": request}}).to_string()
        + "\n"
}

#[test]
fn explain_prints_the_lines_of_all_files_in_time_order() {
    let one = write_file(
        "one.log",
        &(log_line("2", "r1", "second") + "not json\n" + &log_line("1", "r2", "other")),
    );
    let two = write_file("two.log", &(log_line("1", "r1", "first") + &log_line("3", "r1", "third")));
    let (one, two) = (one.to_str().unwrap(), two.to_str().unwrap());
    let output = run_sniperelay(&["explain", "--request", "r1", one, two]);
    let text = String::from_utf8(output.stdout).unwrap();
    let messages: Vec<&str> = text.lines().filter_map(|line| line.rsplit(' ').next()).collect();
    assert_eq!((output.status.code(), messages), (Some(0), vec!["first", "second", "third"]));
    assert!(String::from_utf8_lossy(&output.stderr).contains("1 lines are no JSON objects"));
    assert_eq!(run_sniperelay(&["explain", "--request", "r9", one]).status.code(), Some(1));
    assert_eq!(run_sniperelay(&["explain", "--request", "r1", "/nonexistent/file"]).status.code(), Some(2));
}

const SETTINGS: &str = "[entry-vm]\nname = vm-1\nfailure-domain = z\ncaller-address = 127.0.0.1:0\n\
    ready-address = 127.0.0.1:0\nlookup-address = 127.0.0.1:0\npeer-address = 127.0.0.1:0\n\
    control-address = 127.0.0.1:0\n\
    metrics-address = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n";

/// Each case replaces a text in valid settings and expects a message on stderr.
#[test]
fn relay_settings_errors_name_the_place_and_the_mistake() {
    let cases = [
        ("name = vm-1", "name = vm 1", ":2: [entry-vm] name: must be of letters"),
        ("failure-domain = z\n", "", "[entry-vm] failure-domain: is required"),
        (
            "caller-address = 127.0.0.1:0",
            "caller-address = here",
            ":4: [entry-vm] caller-address: 'here' is not an address",
        ),
        ("[platform]\naddress", "[platform]\nadress", "unknown key; did you mean 'address'?"),
        ("[platform]", "[platfrom]", "unknown section; did you mean 'platform'?"),
        ("[platform]", "[routing]\nhomes-per-host = 0\n[platform]", "homes-per-host: must be at least 1"),
        (
            "[platform]",
            "[routing]\nslot-fill-percent = 5\n[platform]",
            "slot-fill-percent: must be 10 to 100",
        ),
        ("[platform]", "[routing]\ncores = 0\n[platform]", "cores: must be above 0"),
        (
            "[platform]",
            "[routing]\ntolerated-domain-losses = -1\n[platform]",
            "tolerated-domain-losses: '-1' is not a whole number",
        ),
        ("[platform]", "[routing]\ndomain-hop-ms = 2000\n[platform]", "domain-hop-ms: must be 0 to 1000"),
        (
            "[platform]",
            "[routing]\nlate-response-bytes = 0\n[platform]",
            "late-response-bytes: must be at least 1",
        ),
        ("[platform]", "[limits]\nquarantine-ms = 10\n[platform]", "quarantine-ms: must be 1000 to 3600000"),
        (
            "[platform]",
            "[limits]\nrequest-memory-bytes = 33554432\n[platform]",
            "request-memory-bytes: must be at least body-bytes and 8388608: 41943040",
        ),
        ("[platform]", "[log]\nlevel = loud\n[platform]", "level: must be one of off, error"),
    ];
    for (index, (from, to, message)) in cases.into_iter().enumerate() {
        let text = SETTINGS.replace(from, to);
        assert_ne!(text, SETTINGS);
        let path = write_file(&format!("settings-{index}.ini"), &text);
        let output = run_sniperelay(&["relay", "--settings", path.to_str().unwrap()]);
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(stderr.contains(message), "{to}: {stderr}");
        assert_eq!(output.status.code(), Some(2), "{to}");
    }
}

#[test]
fn the_deploy_template_yields_valid_settings() {
    let template = include_str!("../../../deploy/entry-vm.ini");
    let values = [
        ("{{Node}}", "front-z-1"),
        ("{{Zone}}", "z"),
        ("{{Listen.Front}}", "127.0.0.1:1"),
        ("{{Listen.Ready}}", "127.0.0.1:2"),
        ("{{Listen.Directory}}", "127.0.0.1:3"),
        ("{{Listen.Control}}", "127.0.0.1:6"),
        ("{{Seeds}}", "127.0.0.1:6,127.0.0.2:6"),
        ("{{Ip}}", "127.0.0.1"),
        ("{{InternalPorts.0}}", "4"),
        ("{{Platform.Address}}", "127.0.0.1:5"),
        ("{{Bounds}}", "{\"Grace\":\"6s\",\"BudgetSlack\":\"60\"}"),
        ("{{Limits.CpuShare}}", "0.2"),
        ("{{Bootstrap}}", "true"),
        ("{{Limits.LinkMbps}}", "1000.0"),
        ("{{Limits.MaxFds}}", "4100"),
        ("{{Limits.MemoryMb}}", "260"),
        ("{{Tolerate.Zones}}", "1"),
    ];
    let filled = values.iter().fold(template.to_owned(), |text, (name, value)| text.replace(name, value));
    assert!(!filled.contains("{{"), "{filled}");
    let settings = sniperelay_config::parse_relay_settings("entry-vm.ini", &filled).unwrap();
    assert_eq!((settings.routing.capacity(), settings.entry.peer_address.port()), (120, 4));
    assert_eq!(settings.limits.caller_connections, 3047);
}
