//! Entry VM processes, started with the command and the settings template of the deploy file.

use crate::http::{ClientRequest, Outcome, send};
use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ports that are the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    internal: u16,
}

/// What all machines of a case have in common.
pub struct Fleet {
    record: Arc<Record>,
    root: PathBuf,
    folder: PathBuf,
    /// First three numbers of the machines' loopback addresses.
    network: String,
    ports: Ports,
    pub store: SocketAddr,
    bounds: String,
}

impl Fleet {
    pub fn new(record: &Arc<Record>, network: &str, store: SocketAddr, bounds: &[(&str, &str)]) -> Self {
        let free = || TcpListener::bind(format!("{network}.1:0")).and_then(|listener| listener.local_addr());
        let port = || free().expect("a free port").port();
        let ports =
            Ports { front: port(), ready: port(), control: port(), directory: port(), internal: port() };
        let folder = std::env::temp_dir().join(format!("sniperelay-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let pairs = bounds.iter().map(|(name, value)| match value.parse::<f64>() {
            Ok(_) => format!("\"{name}\":{value}"),
            Err(_) => format!("\"{name}\":\"{value}\""),
        });
        let bounds = format!("{{{}}}", pairs.collect::<Vec<_>>().join(","));
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT, set by run.sh"));
        Self { record: record.clone(), root, folder, network: network.to_owned(), ports, store, bounds }
    }

    fn settings(&self, number: usize, zone: &str) -> String {
        let template = std::fs::read_to_string(self.root.join("deploy/entry-vm.ini")).expect("the template");
        let ip = self.ip(number);
        let at = |port: u16| format!("{ip}:{port}");
        let seeds: Vec<String> = (1..=3).map(|n| format!("{}:{}", self.ip(n), self.ports.control)).collect();
        let fields = [
            ("Node", format!("front-{number}")),
            ("Zone", zone.to_owned()),
            ("Ip", ip.clone()),
            ("Listen.Front", at(self.ports.front)),
            ("Listen.Ready", at(self.ports.ready)),
            ("Listen.Control", at(self.ports.control)),
            ("Listen.Directory", at(self.ports.directory)),
            ("InternalPorts.0", self.ports.internal.to_string()),
            ("Seeds", seeds.join(",")),
            ("Platform.Address", self.store.to_string()),
            ("Bounds", self.bounds.clone()),
            ("Limits.CpuShare", "0.2".to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
        ];
        fields.iter().fold(template, |text, (name, value)| text.replace(&format!("{{{{{name}}}}}"), value))
    }

    fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.network)
    }

    /// Starts the process of a machine.
    pub fn start(&self, number: usize, zone: &str) -> Vm {
        let path = self.folder.join(format!("front-{number}.ini"));
        std::fs::write(&path, self.settings(number, zone)).expect("settings written");
        let log = self.folder.join(format!("front-{number}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(self.root.join("target/release/sniperelay"))
            .args(["relay", "--settings"])
            .arg(&path)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SNIPERELAY_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn()
            .expect("target/release/sniperelay, built by the deploy file");
        self.record.say(format!("front-{number} is started"));
        let at = |port: u16| format!("{}:{port}", self.ip(number)).parse().expect("an address");
        Vm {
            number,
            front: at(self.ports.front),
            ready: at(self.ports.ready),
            directory: at(self.ports.directory),
            child,
            record: self.record.clone(),
        }
    }
}

impl Fleet {
    /// Returns the lines of a machine's log that contain a text.
    pub fn log_lines(&self, number: usize, text: &str) -> Vec<String> {
        let log =
            std::fs::read_to_string(self.folder.join(format!("front-{number}.log"))).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    pub fn log_contains(&self, number: usize, text: &str) -> bool {
        !self.log_lines(number, text).is_empty()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(Path::new(&self.folder));
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// A running entry VM. It is killed on drop.
pub struct Vm {
    pub number: usize,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
    record: Arc<Record>,
}

impl Vm {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/api/ready").is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                self.record.say(format!("front-{} is ready", self.number));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Looks up the addresses for a host.
    pub fn resolve(&self, host: &str) -> Vec<SocketAddr> {
        let path = format!("/api/resolve?Name={host}&Region=r&Zone=z1");
        let Some((200, body)) = get(self.directory, &path) else { return Vec::new() };
        let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let addresses = value["Addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        self.record.say(format!("front-{} gets SIG{name}", self.number));
        let command = format!("kill -{name} {}", self.pid());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.is_ok_and(|status| status.success()), "cannot send a signal");
    }

    /// Waits for the end of the process, as the platform does, which kills it after `grace`.
    pub fn wait_for_end(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.say(format!("front-{} has ended: {status}", self.number));
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.record.say(format!("front-{} is killed", self.number));
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a GET request and returns status and body of the answer.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let request = ClientRequest {
        method: "GET",
        host: address.to_string(),
        path: path.to_owned(),
        id: "-".to_owned(),
        deadline: Duration::from_secs(1),
        body: Vec::new(),
    };
    match send(address, &request) {
        Outcome::Answered(message) => Some((message.status(), message.body)),
        _ => None,
    }
}
