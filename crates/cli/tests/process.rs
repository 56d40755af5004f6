//! Tests of the `sniperelay` binary as a process: exit codes, error messages, drain, and stop, pause and
//! kill signals.

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
/// Timeout for a start, a response and an exit of the process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

fn run_sniperelay(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

fn make_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sniperelay-process-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn write_file(name: &str, text: &str) -> String {
    let path = make_directory("files").join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn commands_exit_with_their_codes_and_print_helpful_messages() {
    let valid = write_file("valid.ini", include_str!("../../../examples/services/rota-board.ini"));
    let invalid = write_file("invalid.ini", "[service]\nname = x\nteem = y\n");
    let settings = write_file("settings.ini", "[entry-vm]\n");
    let token = write_file("token", "secret\n");
    let unused = "127.0.0.1:9";
    // Arguments, exit code, and a part of the output.
    let rows: Vec<(Vec<&str>, i32, &str)> = vec![
        (vec!["config", "check", &valid], 0, "service rota-board is valid"),
        (vec!["config", "check", &valid, &invalid], 2, "[service] teem: unknown key; did you mean 'team'?"),
        (vec!["config", "check"], 2, "name at least one file"),
        (vec!["config", "check", "/nonexistent.ini"], 1, "cannot read /nonexistent.ini"),
        (
            vec!["config", "put", "--operator", unused, "--base", "1", "--token-file", &token, &invalid],
            2,
            "teem",
        ),
        (
            vec!["config", "put", "--operator", unused, "--base", "1", "--token-file", &token, &valid],
            1,
            "cannot connect to 127.0.0.1:9",
        ),
        (vec!["config", "get", "--operator", unused, "rota-board"], 1, "is an entry VM running there?"),
        (vec!["status", "--operator", unused], 1, "cannot connect"),
        (vec!["status"], 2, "--operator"),
        (vec!["lookup", "--address", unused, "x"], 1, "cannot connect"),
        (vec!["serve", "--settings", &settings], 2, "[entry-vm] failure-domain: is required"),
        (vec!["serve", "--settings", "/nonexistent.ini"], 1, "cannot read settings"),
    ];
    for (args, code, expected) in rows {
        let output = run_sniperelay(&args);
        let text =
            format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert_eq!(output.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: expected {expected:?} in {text}");
    }
}

/// An entry VM process with a platform and one target of the `claim-desk` service. Drop kills it.
struct EntryVmProcess {
    child: Child,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    target: Arc<TargetStandin>,
    ledger: Arc<RunLedger>,
    _platform: Arc<PlatformStandin>,
}

impl Drop for EntryVmProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free loopback address. Each call uses a new host address, which also depends on the process
/// ID, so that no other test, copy of this program or outgoing connection takes the port before the process
/// binds it.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = [127, 64 | (high & 0x3f), low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)];
    TcpListener::bind(SocketAddr::from((host, 0))).unwrap().local_addr().unwrap()
}

async fn start_process(name: &str) -> EntryVmProcess {
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
    let files = write_certificate_files(&make_directory(name), Validity::Current).unwrap();
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
    let settings = make_directory(name).join("entry-vm.ini");
    std::fs::write(&settings, text).unwrap();
    let child = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let process =
        EntryVmProcess { child, caller_address, operator_address, target, ledger, _platform: platform };
    process.wait_ready().await;
    process
}

impl EntryVmProcess {
    /// Waits until the process issues tickets and serves requests.
    async fn wait_ready(&self) {
        let deadline = tokio::time::Instant::now() + PROCESS_TIMEOUT;
        while self.ticket().await.is_none() || self.send_request("GET /claims/x", "").await.status != 200 {
            assert!(
                tokio::time::Instant::now() < deadline,
                "process did not become ready within {PROCESS_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a claim ticket from a lookup response.
    async fn ticket(&self) -> Option<String> {
        let caller = CallerStandin::new(vec![self.caller_address], None);
        caller.entry_vm_addresses("claim-desk").await.first().map(|address| address.ticket.clone())
    }

    /// Sends a request without a body. Returns status 0 if the process does not respond.
    async fn send_request(&self, request_line: &str, headers: &str) -> RawResponse {
        let Ok(mut stream) = TcpStream::connect(self.caller_address).await else {
            return RawResponse::default();
        };
        let request = format!(
            "{request_line} HTTP/1.1\r\nHost: claim-desk\r\nContent-Length: 0\r\nConnection: close\r\n{headers}\r\n"
        );
        let _ = stream.write_all(request.as_bytes()).await;
        let mut bytes = Vec::new();
        let _ = tokio::time::timeout(PROCESS_TIMEOUT, stream.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        RawResponse { status, text }
    }

    /// Sends a signal, such as `-TERM`, to the process.
    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Stops the process and waits until each of its threads has stopped. The signal only asks for that: on a
    /// busy machine, threads run on for a while after it has been sent.
    async fn pause(&self) {
        self.signal("-STOP");
        let deadline = tokio::time::Instant::now() + PROCESS_TIMEOUT;
        while !self.thread_states().iter().all(|state| state == "T") {
            assert!(tokio::time::Instant::now() < deadline, "the process did not stop");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the state letter of each thread, from `/proc`.
    fn thread_states(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let stat = tasks.map(|task| std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap());
        // The state follows the name, which is in parentheses and may contain spaces.
        let state = |stat: String| {
            let (_, fields) = stat.rsplit_once(')').unwrap();
            fields.split_whitespace().next().unwrap().to_owned()
        };
        stat.map(state).collect()
    }

    /// Returns the exit code, or `None` if a signal ended the process.
    async fn wait_exit(&mut self) -> Option<i32> {
        for _ in 0..PROCESS_TIMEOUT.as_millis() / 20 {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("process did not exit within {PROCESS_TIMEOUT:?}");
    }
}

#[derive(Debug, Default)]
struct RawResponse {
    status: u16,
    text: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_the_request_in_flight_and_exits_with_0() {
    let mut process = start_process("stop").await;
    let accepted = process.target.control.accepted.load(Ordering::Relaxed);
    let slow = process.send_request("GET /claims/slow", "standin-micros: 1800000\r\n");
    let stop = async {
        while process.target.control.accepted.load(Ordering::Relaxed) == accepted {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        process.signal("-TERM");
        process.signal("-TERM");
    };
    let (response, ()) = tokio::join!(slow, stop);
    assert_eq!(response.status, 200, "{}", response.text);
    assert_eq!(process.wait_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_drain_ends_the_process() {
    let mut process = start_process("drain").await;
    let token = write_file("drain-token", "process-test\n");
    let wrong_token = write_file("wrong-token", "somebody-else\n");
    let operator = process.operator_address.to_string();
    let status = run_sniperelay(&["status", "--operator", &operator]);
    assert!(String::from_utf8_lossy(&status.stdout).contains("claim-desk"), "{status:?}");
    let versions = run_sniperelay(&["config", "status", "--operator", &operator, "claim-desk"]);
    let versions = String::from_utf8_lossy(&versions.stdout).into_owned();
    assert!(
        versions.contains(&process.caller_address.to_string()) && versions.contains("        1  "),
        "{versions}"
    );
    assert_eq!(
        run_sniperelay(&["drain", "--operator", &operator, "--token-file", &wrong_token]).status.code(),
        Some(3)
    );
    assert_eq!(
        run_sniperelay(&["drain", "--operator", &operator, "--token-file", &token]).status.code(),
        Some(0)
    );
    assert_eq!(process.wait_exit().await, Some(0));
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
    // The interim response proves that the claim has arrived and its deadline is running.
    let mut interim_response = [0; 25];
    stream.read_exact(&mut interim_response).await.unwrap();
    assert!(interim_response.starts_with(b"HTTP/1.1 100"));
    let accepted = process.target.control.accepted.load(Ordering::Relaxed);
    process.pause().await;
    stream.write_all(b"x").await.unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    process.signal("-CONT");
    let mut bytes = Vec::new();
    let _ = tokio::time::timeout(PROCESS_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let response = String::from_utf8_lossy(&bytes);
    assert_eq!(process.ledger.key_count(), 0, "claim ran after its deadline: {response}");
    assert!(response.contains("sniperelay-outcome: not-run"), "{response}");
    // The target would also have refused the claim, but the claim must not even be sent to it.
    assert_eq!(
        process.target.control.accepted.load(Ordering::Relaxed),
        accepted,
        "claim was sent after its deadline"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_process_reports_an_old_key_as_unknown_and_does_not_run_it() {
    let mut process = start_process("kill").await;
    let key = format!("Idempotency-Key: {}-old\r\n", process.ticket().await.unwrap());
    assert_eq!(process.send_request("POST /claims", &key).await.status, 200);
    process.child.kill().unwrap();
    process.child.wait().unwrap();
    let settings = make_directory("kill").join("entry-vm.ini");
    process.child = Command::new(BINARY)
        .args(["serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    process.wait_ready().await;
    let response = process.send_request("POST /claims", &key).await;
    assert!(response.text.contains("sniperelay-outcome: unknown"), "{}", response.text);
    assert_eq!((process.ledger.key_count(), process.ledger.duplicated_key_count()), (1, 0));
}
