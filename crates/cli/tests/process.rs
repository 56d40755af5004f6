//! The binary as a process: exit codes, error messages, stop, pause and kill signals.

use sniperelay_core::vm::{VmRole, VmState};
use sniperelay_standin::caller::CallerStandin;
use sniperelay_standin::certificates::{Validity, write_certificate_files};
use sniperelay_standin::cluster::{put_document, register_vm};
use sniperelay_standin::deployment::cooperative;
use sniperelay_standin::platform::PlatformStandin;
use sniperelay_standin::target::{RunLedger, TargetStandin};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_sniperelay");
const PATIENCE: Duration = Duration::from_secs(30);

fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sniperelay-process-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn write(name: &str, text: &str) -> String {
    let path = directory("files").join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn commands_end_with_their_codes_and_say_what_to_do() {
    let valid = write("valid.ini", include_str!("../../../examples/services/rota-board.ini"));
    let invalid = write("invalid.ini", "[service]\nname = x\nteem = y\n");
    let settings = write("settings.ini", "[entry-vm]\n");
    let token = write("token", "secret\n");
    let nobody = "127.0.0.1:9";
    // Each row: arguments, exit code, part of what is printed.
    let rows: Vec<(Vec<&str>, i32, &str)> = vec![
        (vec!["config", "check", &valid], 0, "service rota-board is valid"),
        (vec!["config", "check", &valid, &invalid], 2, "[service] teem: unknown key; did you mean 'team'?"),
        (vec!["config", "check"], 2, "name at least one file"),
        (vec!["config", "check", "/nonexistent.ini"], 1, "cannot read /nonexistent.ini"),
        (
            vec!["config", "put", "--operator", nobody, "--base", "1", "--token-file", &token, &invalid],
            2,
            "teem",
        ),
        (
            vec!["config", "put", "--operator", nobody, "--base", "1", "--token-file", &token, &valid],
            1,
            "cannot connect to 127.0.0.1:9",
        ),
        (vec!["config", "get", "--operator", nobody, "rota-board"], 1, "is an entry VM running there?"),
        (vec!["status", "--operator", nobody], 1, "cannot connect"),
        (vec!["status"], 2, "--operator"),
        (vec!["lookup", "--address", nobody, "x"], 1, "cannot connect"),
        (vec!["serve", "--settings", &settings], 2, "[entry-vm] failure-domain: is required"),
        (vec!["serve", "--settings", "/nonexistent.ini"], 1, "cannot read settings"),
    ];
    for (args, code, expected) in rows {
        let output = run(&args);
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: expected {expected:?} in {text}");
    }
}

/// An entry VM process with a platform and one target of the claim desk; killed when dropped.
struct ProcessStandin {
    child: Child,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    target: Arc<TargetStandin>,
    ledger: Arc<RunLedger>,
    _platform: Arc<PlatformStandin>,
}

impl Drop for ProcessStandin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address of its own, which neither another test nor an outgoing connection takes meanwhile.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let host = [127, 77, 0, NEXT_HOST.fetch_add(1, Ordering::Relaxed)];
    TcpListener::bind(SocketAddr::from((host, 0))).unwrap().local_addr().unwrap()
}

async fn start_process(name: &str) -> ProcessStandin {
    let platform = PlatformStandin::start().await.unwrap();
    let ledger = Arc::new(RunLedger::default());
    let target = TargetStandin::start(4, 64, ledger.clone()).await.unwrap();
    put_document(&platform, "claim-desk", &cooperative().services[1].text);
    register_vm(
        &platform,
        VmRole::Target("claim-desk".to_owned()),
        target.address(),
        "erie-shore",
        VmState::Live,
    );
    let files = write_certificate_files(&directory(name), Validity::Current).unwrap();
    let [caller_address, peer_address, operator_address] = [free_address(), free_address(), free_address()];
    let text = format!(
        "[entry-vm]\nfailure-domain = erie-shore\ncaller-address = {caller_address}\npeer-address = {peer_address}\n\
         operator-address = {operator_address}\nlookup-keep-ms = 100\n[platform]\naddress = {}\n[peers]\n\
         ca-file = {}\ncertificate-file = {}\nkey-file = {}\n[operators]\nadmin = process-test\n[log]\nlevel = info\n",
        platform.address(),
        files.ca.display(),
        files.certificate.display(),
        files.key.display(),
    );
    let settings = directory(name).join("entry-vm.ini");
    std::fs::write(&settings, text).unwrap();
    let child = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let process =
        ProcessStandin { child, caller_address, operator_address, target, ledger, _platform: platform };
    process.wait_ready().await;
    process
}

impl ProcessStandin {
    async fn wait_ready(&self) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while self.ticket().await.is_none() || self.call("GET /claims/x", "").await.status != 200 {
            assert!(tokio::time::Instant::now() < deadline, "the process never served");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn ticket(&self) -> Option<String> {
        let caller = CallerStandin::new(vec![self.caller_address], None);
        caller.addresses("claim-desk").await.first().map(|address| address.ticket.clone())
    }

    async fn call(&self, line: &str, headers: &str) -> RawAnswer {
        let Ok(mut stream) = TcpStream::connect(self.caller_address).await else {
            return RawAnswer::default();
        };
        let request = format!(
            "{line} HTTP/1.1\r\nHost: claim-desk\r\nContent-Length: 0\r\nConnection: close\r\n{headers}\r\n"
        );
        let _ = stream.write_all(request.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        RawAnswer { status, text }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    async fn wait_end(&mut self) -> Option<i32> {
        for _ in 0..PATIENCE.as_millis() / 20 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not end");
    }
}

#[derive(Debug, Default)]
struct RawAnswer {
    status: u16,
    text: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_the_request_in_flight_and_exits_with_0() {
    let mut process = start_process("stop").await;
    let accepted = process.target.control.accepted.load(Ordering::Relaxed);
    let slow = process.call("GET /claims/slow", "standin-micros: 1800000\r\n");
    let stop = async {
        while process.target.control.accepted.load(Ordering::Relaxed) == accepted {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        process.signal("-TERM");
        process.signal("-TERM");
    };
    let (answer, ()) = tokio::join!(slow, stop);
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(process.wait_end().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_the_operator_ends_the_process() {
    let mut process = start_process("drain").await;
    let token = write("drain-token", "process-test\n");
    let wrong = write("wrong-token", "somebody-else\n");
    let operator = process.operator_address.to_string();
    let status = run(&["status", "--operator", &operator]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("claim-desk"), "{status:?}");
    let versions = run(&["config", "status", "--operator", &operator, "claim-desk"]);
    let versions = String::from_utf8_lossy(&versions.stdout).into_owned();
    assert!(
        versions.contains(&process.caller_address.to_string()) && versions.contains("        1  "),
        "{versions}"
    );
    assert_eq!(run(&["drain", "--operator", &operator, "--token-file", &wrong]).status.code(), Some(3));
    assert_eq!(run(&["drain", "--operator", &operator, "--token-file", &token]).status.code(), Some(0));
    assert_eq!(process.wait_end().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_sends_no_claim_after_its_deadline() {
    let process = start_process("pause").await;
    let ticket = process.ticket().await.unwrap();
    let mut stream = TcpStream::connect(process.caller_address).await.unwrap();
    let head = format!(
        "POST /claims HTTP/1.1\r\nHost: claim-desk\r\nIdempotency-Key: {ticket}-paused\r\nExpect: 100-continue\r\n\
         Sniperelay-Deadline-Ms: 300\r\nContent-Length: 1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The interim answer proves that the claim has arrived and its time runs.
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert!(interim.starts_with(b"HTTP/1.1 100"));
    let accepted = process.target.control.accepted.load(Ordering::Relaxed);
    process.signal("-STOP");
    stream.write_all(b"x").await.unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    process.signal("-CONT");
    let mut bytes = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
    let answer = String::from_utf8_lossy(&bytes);
    assert_eq!(process.ledger.key_count(), 0, "a claim ran after its deadline: {answer}");
    assert!(answer.contains("sniperelay-outcome: not-run"), "{answer}");
    // The target would have refused it too; it must not even get there.
    assert_eq!(
        process.target.control.accepted.load(Ordering::Relaxed),
        accepted,
        "an overdue claim was sent"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn after_a_kill_and_a_restart_an_old_key_is_unknown_and_does_not_run() {
    let mut process = start_process("kill").await;
    let key = format!("Idempotency-Key: {}-old\r\n", process.ticket().await.unwrap());
    assert_eq!(process.call("POST /claims", &key).await.status, 200);
    process.child.kill().unwrap();
    process.child.wait().unwrap();
    let settings = directory("kill").join("entry-vm.ini");
    process.child = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    process.wait_ready().await;
    let answer = process.call("POST /claims", &key).await;
    assert!(answer.text.contains("sniperelay-outcome: unknown"), "{}", answer.text);
    assert_eq!((process.ledger.key_count(), process.ledger.duplicated_keys()), (1, 0));
}
