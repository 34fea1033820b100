//! Five control servers as processes on loopback, with the testbed's fault proxy between any two, and the operators' commands.
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

    pub fn wait_for_log(&self, what: &str) -> String {
        let end = Instant::now() + TIMEOUT;
        loop {
            let line = self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("no line says `{what}`"));
            if line.contains(what) {
                return line;
            }
        }
    }
}

pub struct ControlCluster {
    pub folder: PathBuf,
    pub names: Vec<String>,
    pub wires: Wires,
    pub programs: BTreeMap<String, ControlServer>,
    pub admin_addresses: BTreeMap<String, SocketAddr>,
}

impl Drop for ControlCluster {
    fn drop(&mut self) {
        self.programs.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

impl ControlCluster {
    pub fn new() -> ControlCluster {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("alderway-control-{}-{count}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let names: Vec<String> = (1..=5).map(|n| format!("c{n}")).collect();
        let wires = Wires::between(&names).expect("ports");
        let (programs, admin_addresses) = Default::default();
        let mut cluster = ControlCluster { folder, names, wires, programs, admin_addresses };
        for name in cluster.names.clone() {
            cluster.start(&name);
        }
        until("all agree on a leader", || cluster.leader().is_some());
        cluster
    }

    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.join(name)
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
            self.data(name).display(),
            members.join(", "),
            admin_addresses.join(", ")
        );
        let file = self.folder.join(format!("{name}.star"));
        fs::write(&file, text).expect("written");
        // A write past a limit is an error then, as on a full disk, and no signal.
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
        let mut program = ControlServer { child, log, admin_address: ([127, 0, 0, 1], 0).into() };
        let at = |line: String| line.rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an address");
        self.wires.lead_to(name, at(program.wait_for_log("listens for replicas at")));
        program.admin_address = at(program.wait_for_log("listens for operators at"));
        self.admin_addresses.insert(name.into(), program.admin_address);
        self.programs.insert(name.into(), program);
    }

    pub fn kill(&mut self, name: &str) {
        self.programs.remove(name);
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

    /// Whom those that run and know of a majority agree on.
    pub fn leader(&self) -> Option<String> {
        let mut leaders = self.programs.keys().map(|name| {
            self.status(name)
                .filter(|all| all.replica.has_quorum && all.replica.unavailable_reason.is_none())?
                .replica
                .leader
        });
        let first = leaders.next()??;
        leaders.all(|leader| leader.as_ref() == Some(&first)).then_some(first)
    }

    /// One that does not lead.
    pub fn follower(&self) -> String {
        let leader = self.leader().expect("led");
        self.programs.keys().find(|name| **name != leader).expect("of several").clone()
    }

    pub fn wait_until_all_have(&self, number: VersionNumber) {
        for name in self.programs.keys() {
            until(&format!("{name} has {number}"), || self.latest_version(name) == number);
        }
    }

    pub fn file(&self, room: usize) -> PathBuf {
        let path = self.folder.join(format!("settings-{room}.json"));
        fs::write(&path, settings(room).to_string()).expect("written");
        path
    }

    pub fn config(&self, at: &[&str], words: &[&str]) -> Output {
        let admin_addresses: Vec<String> =
            at.iter().map(|name| self.admin_addresses[*name].to_string()).collect();
        let mut command = Command::new(ALDERWAY);
        command.arg("config").args(words).args(["--at", &admin_addresses.join(",")]);
        command.output().expect("run")
    }

    pub fn propose(&self, at: &[&str], room: usize, words: &[&str]) -> Output {
        let file = self.file(room);
        let mut all = vec!["propose", file.to_str().expect("a path"), "--why", "a test", "--author", "ada"];
        all.extend(words);
        self.config(at, &all)
    }
}

/// Settings that differ in a key which a router takes over while it serves.
pub fn settings(streams: usize) -> Value {
    let setting = Setting { room: 100, ..Setting::default() };
    let text = setting.configuration(([127, 0, 0, 1], 1).into(), &[]);
    let mut all: Value = serde_json::from_str(&text).expect("JSON");
    all["settings"]["Limits"]["StreamsPerConn"] = streams.into();
    all["settings"].take()
}

pub fn proposal(id: &str, base: VersionNumber, room: usize) -> Proposal {
    let (author, why) = ("ada".into(), "a test".into());
    Proposal { id: id.into(), base, author, reason: why, at_unix_ms: 1, settings: settings(room) }
}

#[track_caller]
pub fn assert_exit(output: &Output, code: i32, says: &[&str]) {
    let text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{text}");
    for what in says {
        assert!(text.contains(what), "no `{what}` in: {text}");
    }
}
