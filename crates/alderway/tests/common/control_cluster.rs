//! Five control servers as processes on loopback, with the lab's fault proxy between any two, and the
//! operators' commands.
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_server::admin::client;
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus};
use alderway_lab::program::Setting;
use alderway_lab::wires::Wires;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const ALDERWAY: &str = env!("CARGO_BIN_EXE_alderway");

/// A control server that runs as a child process, its log lines, and its address for `alderway config`.
pub struct ControlServer {
    pub child: Child,
    pub log: Receiver<String>,
    pub admin_address: SocketAddr,
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ControlServer {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signalled");
    }

    pub fn wait_for_log(&self, text: &str) -> String {
        let end = Instant::now() + TIMEOUT;
        loop {
            let line = self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("no log line contains `{text}`"));
            if line.contains(text) {
                return line;
            }
        }
    }
}

/// Five control servers, and the proxies through which they are connected to each other.
pub struct ControlCluster {
    pub directory: PathBuf,
    pub names: Vec<String>,
    pub wires: Wires,
    pub servers: BTreeMap<String, ControlServer>,
    pub admin_addresses: BTreeMap<String, SocketAddr>,
}

impl Drop for ControlCluster {
    fn drop(&mut self) {
        self.servers.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

impl ControlCluster {
    pub fn new() -> ControlCluster {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("alderway-control-{}-{count}", std::process::id()));
        fs::create_dir_all(&directory).expect("a directory");
        let names: Vec<String> = (1..=5).map(|n| format!("c{n}")).collect();
        let wires = Wires::between(&names).expect("ports");
        let (servers, admin_addresses) = Default::default();
        let mut cluster = ControlCluster { directory, names, wires, servers, admin_addresses };
        for name in cluster.names.clone() {
            cluster.start(&name);
        }
        wait_until("all servers agree on a leader", || cluster.leader().is_some());
        cluster
    }

    pub fn data_path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    pub fn command(&self, name: &str) -> Command {
        let members: Vec<String> = self
            .names
            .iter()
            .map(|other| {
                let at = if other == name {
                    "127.0.0.1:0".into()
                } else {
                    self.wires.address(name, other).to_string()
                };
                format!("\"{other}\": \"{at}\"")
            })
            .collect();
        let admin_addresses: Vec<String> =
            self.names.iter().map(|other| format!("\"{other}\": \"127.0.0.1:0\"")).collect();
        let text = format!(
            "control(name = \"{name}\", data = \"{}\", members = {{{}}}, doors = {{{}}})\n",
            self.data_path(name).display(),
            members.join(", "),
            admin_addresses.join(", ")
        );
        let file = self.directory.join(format!("{name}.star"));
        fs::write(&file, text).expect("written");
        // With SIGXFSZ ignored, a write past the file size limit fails with an error, as on a full disk.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\"", ALDERWAY, "control", "--operator"]).arg(file);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        command
    }

    pub fn start(&mut self, name: &str) {
        let mut child = self.command(name).spawn().expect("started");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut server = ControlServer { child, log, admin_address: ([127, 0, 0, 1], 0).into() };
        let address =
            |line: String| line.rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an address");
        self.wires.lead_to(name, address(server.wait_for_log("listens for replicas at")));
        server.admin_address = address(server.wait_for_log("listens for operators at"));
        self.admin_addresses.insert(name.into(), server.admin_address);
        self.servers.insert(name.into(), server);
    }

    pub fn kill(&mut self, name: &str) {
        self.servers.remove(name);
    }

    pub fn request(&self, name: &str, request: &AdminRequest) -> Result<AdminResponse, client::RequestError> {
        client::send(self.admin_addresses[name], request, Duration::from_secs(10))
    }

    pub fn status(&self, name: &str) -> Option<ClusterStatus> {
        match self.request(name, &AdminRequest::Status) {
            Ok(AdminResponse::Status(all)) => Some(*all),
            _ => None,
        }
    }

    pub fn latest_version(&self, name: &str) -> VersionNumber {
        match self.request(name, &AdminRequest::Show { number: None }) {
            Ok(AdminResponse::Version { version }) => version.number,
            _ => 0,
        }
    }

    /// The name of the leader. `None` unless all running servers have a quorum and report the same leader.
    pub fn leader(&self) -> Option<String> {
        let mut leaders = self.servers.keys().map(|name| {
            self.status(name)
                .filter(|all| all.replica.has_quorum && all.replica.unavailable_reason.is_none())?
                .replica
                .leader
        });
        let first = leaders.next()??;
        leaders.all(|leader| leader.as_ref() == Some(&first)).then_some(first)
    }

    /// A server that is not the leader.
    pub fn follower(&self) -> String {
        let leader = self.leader().expect("a leader");
        self.servers.keys().find(|name| **name != leader).expect("a follower").clone()
    }

    pub fn wait_until_all_have(&self, number: VersionNumber) {
        for name in self.servers.keys() {
            wait_until(&format!("{name} has {number}"), || self.latest_version(name) == number);
        }
    }

    /// Writes a file with settings that limit the streams of a connection.
    pub fn settings_file(&self, streams: usize) -> PathBuf {
        let path = self.directory.join(format!("settings-{streams}.json"));
        fs::write(&path, settings(streams).to_string()).expect("written");
        path
    }

    /// Runs `alderway config` against the given servers.
    pub fn config(&self, servers: &[&str], arguments: &[&str]) -> Output {
        let admin_addresses: Vec<String> =
            servers.iter().map(|name| self.admin_addresses[*name].to_string()).collect();
        let mut command = Command::new(ALDERWAY);
        command.arg("config").args(arguments).args(["--at", &admin_addresses.join(",")]);
        command.output().expect("run")
    }

    /// Runs `alderway config propose` for settings that limit the streams of a connection.
    pub fn propose(&self, servers: &[&str], streams: usize, arguments: &[&str]) -> Output {
        let file = self.settings_file(streams);
        let mut all = vec!["propose", file.to_str().expect("a path"), "--why", "a test", "--author", "ada"];
        all.extend(arguments);
        self.config(servers, &all)
    }
}

/// Settings with a limit of `streams` streams per connection. A router applies a new limit without a restart.
pub fn settings(streams: usize) -> Value {
    let setting = Setting { room: 100, ..Setting::default() };
    let text = setting.configuration(([127, 0, 0, 1], 1).into(), &[]);
    let mut all: Value = serde_json::from_str(&text).expect("JSON");
    all["settings"]["Limits"]["StreamsPerConn"] = streams.into();
    all["settings"].take()
}

pub fn proposal(id: &str, base: VersionNumber, streams: usize) -> Proposal {
    let (author, reason) = ("ada".into(), "a test".into());
    Proposal { id: id.into(), base, author, reason, at_unix_ms: 1, settings: settings(streams) }
}

/// Checks the exit code of a command and that its output contains each expected text.
#[track_caller]
pub fn assert_exit(output: &Output, code: i32, expected: &[&str]) {
    let text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{text}");
    for part in expected {
        assert!(text.contains(part), "no `{part}` in: {text}");
    }
}
