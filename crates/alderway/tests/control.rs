//! Control machines as processes on loopback, with the lab's relay between any two: stopped, killed, cut off, replaced by
//! empty ones, on full disks and torn logs; and the operators' commands with what they say and how they end.
use alderway_control_plane::content::MAX_SETTINGS_BYTES;
use alderway_control_plane::replica::ProposalOutcome;
use alderway_control_plane::version::{Proposal, VersionNumber};
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::client;
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, JsonFrame};
use alderway_lab::program::Setting;
use alderway_lab::wires::Wires;
use alderway_transport::{Hello, encode_hello, encode_message};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);
const ALDERWAY: &str = env!("CARGO_BIN_EXE_alderway");

struct Program {
    child: Child,
    log: Receiver<String>,
    door: SocketAddr,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signalled");
    }

    fn says(&self, what: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let line = self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| panic!("no line says `{what}`"));
            if line.contains(what) {
                return line;
            }
        }
    }
}

struct House {
    folder: PathBuf,
    names: Vec<String>,
    wires: Wires,
    programs: BTreeMap<String, Program>,
    doors: BTreeMap<String, SocketAddr>,
}

impl Drop for House {
    fn drop(&mut self) {
        self.programs.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

impl House {
    fn new() -> House {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("alderway-control-{}-{count}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let names: Vec<String> = (1..=5).map(|n| format!("c{n}")).collect();
        let wires = Wires::between(&names).expect("ports");
        let (programs, doors) = Default::default();
        let mut house = House { folder, names, wires, programs, doors };
        for name in house.names.clone() {
            house.start(&name);
        }
        until("all agree on a leader", || house.leader().is_some());
        house
    }

    fn data(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn command(&self, name: &str) -> Command {
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
        let doors: Vec<String> =
            self.names.iter().map(|other| format!("\"{other}\": \"127.0.0.1:0\"")).collect();
        let text = format!(
            "control(name = \"{name}\", data = \"{}\", members = {{{}}}, doors = {{{}}})\n",
            self.data(name).display(),
            members.join(", "),
            doors.join(", ")
        );
        let file = self.folder.join(format!("{name}.star"));
        fs::write(&file, text).expect("written");
        // A write past a limit is an error then, as on a full disk, and no signal.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\"", ALDERWAY, "control", "--operator"]).arg(file);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        command
    }

    fn start(&mut self, name: &str) {
        let mut child = self.command(name).spawn().expect("started");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut program = Program { child, log, door: ([127, 0, 0, 1], 0).into() };
        let at = |line: String| line.rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an address");
        self.wires.lead_to(name, at(program.says("hears members at")));
        program.door = at(program.says("hears operators at"));
        self.doors.insert(name.into(), program.door);
        self.programs.insert(name.into(), program);
    }

    fn kill(&mut self, name: &str) {
        self.programs.remove(name);
    }

    fn ask(&self, name: &str, ask: &AdminRequest) -> Result<AdminResponse, client::RequestError> {
        client::send(self.doors[name], ask, Duration::from_secs(10))
    }

    fn status(&self, name: &str) -> Option<ClusterStatus> {
        match self.ask(name, &AdminRequest::Status) {
            Ok(AdminResponse::Status(all)) => Some(*all),
            _ => None,
        }
    }

    fn has(&self, name: &str) -> VersionNumber {
        match self.ask(name, &AdminRequest::Show { number: None }) {
            Ok(AdminResponse::Version { version }) => version.number,
            _ => 0,
        }
    }

    /// Whom those that run and know of a majority agree on.
    fn leader(&self) -> Option<String> {
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
    fn follower(&self) -> String {
        let leader = self.leader().expect("led");
        self.programs.keys().find(|name| **name != leader).expect("of several").clone()
    }

    fn all_have(&self, number: VersionNumber) {
        for name in self.programs.keys() {
            until(&format!("{name} has {number}"), || self.has(name) == number);
        }
    }

    fn file(&self, room: usize) -> PathBuf {
        let path = self.folder.join(format!("settings-{room}.json"));
        fs::write(&path, settings(room).to_string()).expect("written");
        path
    }

    fn config(&self, at: &[&str], words: &[&str]) -> Output {
        let doors: Vec<String> = at.iter().map(|name| self.doors[*name].to_string()).collect();
        let mut command = Command::new(ALDERWAY);
        command.arg("config").args(words).args(["--at", &doors.join(",")]);
        command.output().expect("run")
    }

    fn propose(&self, at: &[&str], room: usize, words: &[&str]) -> Output {
        let file = self.file(room);
        let mut all = vec!["propose", file.to_str().expect("a path"), "--why", "a story", "--author", "ada"];
        all.extend(words);
        self.config(at, &all)
    }
}

/// Settings that differ in a key which a router takes over while it serves.
fn settings(streams: usize) -> Value {
    let setting = Setting { room: 100, ..Setting::default() };
    let text = setting.configuration(([127, 0, 0, 1], 1).into(), &[]);
    let mut all: Value = serde_json::from_str(&text).expect("JSON");
    all["settings"]["Limits"]["StreamsPerConn"] = streams.into();
    all["settings"].take()
}

fn proposal(id: &str, base: VersionNumber, room: usize) -> Proposal {
    let (author, why) = ("ada".into(), "a story".into());
    Proposal { id: id.into(), base, author, reason: why, at_unix_ms: 1, settings: settings(room) }
}

#[track_caller]
fn ends(output: &Output, code: i32, says: &[&str]) {
    let text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{text}");
    for what in says {
        assert!(text.contains(what), "no `{what}` in: {text}");
    }
}

#[rstest]
fn the_commands_say_what_was_done_and_end_so_for_scripts() {
    let house = House::new();
    let any = ["c2", "c4"];
    ends(&house.config(&any, &["show"]), 1, &["there is no version yet"]);
    ends(&house.propose(&any, 100, &[]), 0, &["in order: version 1", "version 1: no routers are known"]);
    house.all_have(1);
    // The same proposal sent twice counts once, wherever.
    ends(&house.propose(&["c1"], 200, &["--id", "twice", "--base", "1"]), 0, &["in order: version 2"]);
    ends(&house.propose(&["c5"], 200, &["--id", "twice", "--base", "1"]), 0, &["in order: version 2"]);
    ends(
        &house.propose(&["c5"], 300, &["--id", "twice", "--base", "1"]),
        1,
        &["its id was used for version 2"],
    );
    // The second of two operators is told what it would undo.
    let second = house.propose(&any, 300, &["--base", "1"]);
    ends(&second, 1, &["version 2 is the newest, 1 were made since", "2 by ada: a story [Limits]"]);
    ends(&house.propose(&any, 300, &["--base", "7"]), 1, &["there is no version 7 yet, the newest is 2"]);
    house.all_have(2);
    ends(
        &house.config(&any, &["revert", "1", "--why", "back", "--author", "bea"]),
        0,
        &["in order: version 3"],
    );
    house.all_have(3);
    ends(
        &house.config(&any, &["revert", "9", "--why", "back"]),
        1,
        &["version 9 is not kept: there are 1 to 3"],
    );
    let shown = house.config(&any, &["show", "3"]);
    ends(&shown, 0, &["version 3 by bea: back"]);
    assert_eq!(serde_json::from_slice::<Value>(&shown.stdout).expect("JSON"), settings(100));
    ends(&house.config(&any, &["history"]), 0, &["bea: back  [Limits]", "ada: a story"]);
    let told = house.config(&any, &["history", "--json", "--count", "2"]);
    let told: Value = serde_json::from_slice(&told.stdout).expect("JSON");
    assert_eq!((told["newest"].as_u64(), told["versions"][0]["number"].as_u64()), (Some(3), Some(2)));
    ends(&house.config(&any, &["status"]), 0, &["version: 3", "majority: stands", "routers: none"]);
    let status = house.config(&any, &["status", "--json"]);
    let status: ClusterStatus = serde_json::from_slice(&status.stdout).expect("JSON");
    assert!(status.unresponsive.is_empty() && status.versions.len() == 5, "{status:?}");
    // Faulty at the door, by key and line; bad input; nobody there.
    let faulty = house.folder.join("faulty.json");
    let text = settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":\"x\"");
    fs::write(&faulty, &text).expect("written");
    let path = faulty.to_str().expect("a path");
    ends(
        &house.config(&any, &["propose", path, "--why", "w"]),
        1,
        &["faulty.json:2: key `settings`", "`MaxOpen`"],
    );
    ends(&house.config(&any, &["check", path]), 1, &["faulty.json:2: key `settings`", "`MaxOpen`"]);
    // Sound, but no router could take it over; and more than routers are told.
    fs::write(&faulty, settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":101"))
        .expect("written");
    let waits = "faulty.json:2: `Limits.MaxOpen` can't change while serving";
    ends(&house.config(&any, &["propose", path, "--why", "w"]), 1, &[waits]);
    let mut long = settings(100);
    long["Note"] = "x".repeat(MAX_SETTINGS_BYTES).into();
    fs::write(&faulty, long.to_string()).expect("written");
    ends(&house.config(&any, &["propose", path, "--why", "w"]), 1, &["settings are larger than"]);
    let Ok(AdminResponse::Invalid { reason }) =
        house.ask("c3", &AdminRequest::Check { settings: serde_json::json!({}) })
    else {
        panic!("not refused at the door")
    };
    assert!(reason.contains("key `settings`"), "{reason}");
    ends(&house.config(&any, &["check", house.file(100).to_str().expect("a path")]), 0, &["sound"]);
    fs::write(&faulty, "{").expect("written");
    ends(&house.config(&any, &["propose", path, "--why", "w"]), 2, &["faulty.json:1: not JSON"]);
    let nobody =
        Command::new(ALDERWAY).args(["config", "status", "--at", "127.0.0.1:1"]).output().expect("run");
    ends(&nobody, 3, &["no control machine answers"]);
    house.all_have(3);
}

#[rstest]
fn a_leader_stopped_in_the_midst_of_a_change_goes_on_and_no_change_is_lost() {
    let house = House::new();
    ends(&house.propose(&["c1"], 100, &[]), 0, &[]);
    house.all_have(1);
    let (leader, follower) = (house.leader().expect("led"), house.follower());
    let (door, ask) =
        (house.doors[&leader], AdminRequest::Propose { proposal: proposal("p", 1, 200), wait_s: 25.0 });
    std::thread::scope(|scope| {
        // Cut from its followers it can't have the change ordered; then it is stopped with it.
        let others: Vec<&str> =
            house.names.iter().map(String::as_str).filter(|name| *name != leader).collect();
        house.wires.part(&others);
        let asked = scope.spawn(|| client::send(door, &ask, PATIENCE));
        house.programs[&leader].says("p by ada on version 1");
        house.programs[&leader].signal(Signal::SIGSTOP);
        house.wires.heal();
        let stopped = Instant::now();
        until("another leads", || {
            let status = house.status(&follower);
            status
                .is_some_and(|all| all.replica.has_quorum && all.replica.leader.is_some_and(|l| l != leader))
        });
        // A stopped machine is passed over: it says no hello.
        ends(
            &house.propose(&[&leader, &follower], 300, &["--base", "1"]),
            0,
            &["no hello", "in order: version 2"],
        );
        until("5 s are over", || stopped.elapsed() > Duration::from_secs(5));
        house.programs[&leader].signal(Signal::SIGCONT);
        let Ok(Ok(AdminResponse::Proposed { outcome, .. })) = asked.join() else { panic!("no answer") };
        assert!(
            matches!(outcome, ProposalOutcome::Rejected(ProposalError::WouldUndo { newest: 2, .. })),
            "{outcome:?}"
        );
    });
    house.all_have(2);
}

#[rstest]
fn with_three_of_five_gone_changes_are_refused_and_reads_go_on_until_they_are_back() {
    let mut house = House::new();
    ends(&house.propose(&["c3"], 100, &[]), 0, &[]);
    house.kill("c1");
    house.kill("c2");
    until("three agree on a leader", || house.leader().is_some());
    ends(&house.propose(&["c3"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    house.all_have(2);
    house.kill("c3");
    until("it is known that no majority stands", || {
        ["c4", "c5"].iter().all(|name| house.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    let refused = house.propose(&["c4", "c5"], 300, &["--base", "2", "--wait", "2"]);
    ends(&refused, 3, &["no majority is known for", "nothing was changed"]);
    ends(
        &house.config(&["c4"], &["status"]),
        3,
        &["not answering, and their routers not counted: c1, c2, c3"],
    );
    ends(&house.config(&["c5"], &["show", "2"]), 0, &["version 2 by ada"]);
    for name in ["c1", "c2", "c3"] {
        house.start(name);
    }
    until("all agree on a leader", || house.leader().is_some());
    house.all_have(2);
    ends(&house.propose(&["c4"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
}

#[rstest]
fn a_side_cut_off_serves_its_version_and_takes_no_changes_and_is_at_the_others_after_healing() {
    let house = House::new();
    ends(&house.propose(&["c1"], 100, &[]), 0, &[]);
    house.all_have(1);
    house.wires.part(&["c1", "c2"]);
    until("the small side knows it", || {
        ["c1", "c2"].iter().all(|name| house.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    until("the large side is led", || house.status("c4").is_some_and(|all| all.replica.has_quorum));
    ends(&house.propose(&["c1", "c2"], 200, &["--base", "1", "--wait", "2"]), 3, &["nothing was changed"]);
    ends(&house.propose(&["c4"], 300, &["--base", "1"]), 0, &["in order: version 2"]);
    assert_eq!((house.has("c1"), house.has("c2")), (1, 1));
    house.wires.heal();
    let healed = Instant::now();
    house.all_have(2);
    assert!(healed.elapsed() < Duration::from_secs(16), "{:?}", healed.elapsed());
}

#[rstest]
fn an_empty_machine_takes_a_lost_ones_place_and_all_may_be_started_anew() {
    let mut house = House::new();
    ends(&house.propose(&["c1"], 100, &[]), 0, &[]);
    for name in ["c4", "c5"] {
        house.kill(name);
        fs::remove_dir_all(house.data(name)).expect("its disk is gone");
    }
    ends(&house.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    for name in ["c4", "c5"] {
        house.start(name);
    }
    let whole = |house: &House| {
        house.programs.keys().all(|name| {
            house.status(name).is_some_and(|all| {
                !all.replica.membership_changing
                    && all.replica.unavailable_reason.is_none()
                    && all.replica.voters.len() == 5
            })
        })
    };
    until("they are taken in", || whole(&house));
    house.all_have(2);
    // With two others gone they make the majority.
    house.kill("c1");
    house.kill("c2");
    until("three agree on a leader", || house.leader().is_some());
    ends(&house.propose(&["c5"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
    house.programs.clear();
    for name in house.names.clone() {
        house.start(&name);
    }
    until("all agree on a leader", || house.leader().is_some());
    house.all_have(3);
    ends(&house.propose(&["c2"], 400, &["--base", "3"]), 0, &["in order: version 4"]);
}

fn limit(program: &Program, bytes: &str) {
    let id = program.child.id().to_string();
    let done = Command::new("prlimit").args(["--pid", &id, &format!("--fsize={bytes}:unlimited")]).status();
    assert!(done.expect("run").success());
}

#[rstest]
fn a_full_disk_takes_a_machine_out_and_room_brings_it_back() {
    let house = House::new();
    ends(&house.propose(&["c1"], 100, &[]), 0, &[]);
    house.all_have(1);
    let leader = house.leader().expect("led");
    let other = house.follower();
    limit(&house.programs[&leader], "4096");
    let base = house.has(&other);
    ends(&house.propose(&[&other], 200, &["--id", "full", "--base", &base.to_string()]), 0, &["version 2"]);
    let line = house.programs[&leader].says("takes no part");
    assert!(line.contains("cannot be written"), "{line}");
    // Its reads go on, it says why, and takes no changes.
    ends(&house.config(&[&leader], &["show", "1"]), 0, &["version 1"]);
    ends(&house.config(&[&leader], &["status"]), 3, &["takes no part: what it keeps cannot be written"]);
    ends(&house.propose(&[&leader], 300, &["--base", "2", "--wait", "1"]), 3, &["it takes no part"]);
    limit(&house.programs[&leader], "unlimited");
    house.programs[&leader].says("takes part again");
    house.all_have(2);
}

fn spoil(path: &Path, how: &str) {
    let mut bytes = fs::read(path).expect("read");
    match how {
        "half" => bytes.truncate(bytes.len() / 2),
        "noise" => bytes.iter_mut().skip(64).step_by(97).for_each(|byte| *byte ^= 0x5a),
        _ => bytes = b"#!/bin/sh\n".repeat(1000),
    }
    fs::write(path, bytes).expect("written");
}

#[rstest]
fn a_torn_log_or_one_of_another_machine_is_refused_in_one_line_and_an_empty_one_takes_its_place() {
    let mut house = House::new();
    for n in 0..3 {
        ends(&house.propose(&["c1"], 100 + n, &["--base", &n.to_string()]), 0, &[]);
    }
    house.all_have(3);
    house.kill("c3");
    let (log, kept) = (house.data("c3").join("log.redb"), house.folder.join("kept"));
    fs::copy(&log, &kept).expect("copied");
    let refused = |house: &House, says: &str| {
        let output = house.command("c3").output().expect("run");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let lines: Vec<&str> = text.lines().filter(|line| line.starts_with("alderway: ")).collect();
        assert_eq!((output.status.code(), lines.len()), (Some(1), 1), "{text}");
        assert!(lines[0].contains(says) && lines[0].contains("replace it by an empty one"), "{text}");
    };
    for how in ["half", "noise", "foreign"] {
        fs::copy(&kept, &log).expect("copied");
        spoil(&log, how);
        refused(&house, "log.redb");
    }
    house.kill("c5");
    fs::copy(house.data("c5").join("log.redb"), &log).expect("copied");
    refused(&house, "it belongs to control machine `c5`, this one is `c3`");
    house.start("c5");
    fs::remove_dir_all(house.data("c3")).expect("moved away");
    house.start("c3");
    house.all_have(3);
}

#[rstest]
fn six_hundred_and_fifty_changes_one_after_the_other_are_all_kept() {
    let house = House::new();
    let from = Instant::now();
    let mut settings = settings(100);
    for n in 0..650 {
        settings["Limits"]["StreamsPerConn"] = (100 + n).into();
        let proposal = Proposal { settings: settings.clone(), ..proposal(&format!("p{n}"), n, 100) };
        let ask = AdminRequest::Propose { proposal, wait_s: 10.0 };
        // Whoever answers: each door takes changes.
        let Ok(AdminResponse::Proposed { outcome, .. }) = house.ask(&house.names[n as usize % 5], &ask)
        else {
            panic!("no answer")
        };
        assert_eq!(outcome, ProposalOutcome::Committed(n + 1));
    }
    println!("650 changes in {:.1} s", from.elapsed().as_secs_f64());
    assert!(from.elapsed() < Duration::from_secs(180));
    house.all_have(650);
}

#[rstest]
fn nonsense_at_a_door_or_on_a_link_ends_its_connection_and_changes_nothing() {
    let house = House::new();
    ends(&house.propose(&["c1"], 100, &[]), 0, &[]);
    house.all_have(1);
    let member = house.wires.address("c2", "c1");
    let mut hello = vec![];
    let word = Hello { version: 1, is_planner: false, incarnation: 1, name: "c9".into() };
    encode_hello::<JsonFrame>(&mut hello, &word);
    let mut long = hello.clone();
    long.extend([0xff; 64]);
    let mut unread = hello.clone();
    encode_message(&mut unread, &JsonFrame("{}".repeat(9))).expect("it fits a frame");
    let spoken: [(&[u8], &str); 4] =
        [(b"GET / HTTP/1.1\r\n\r\n", ""), (&long, ""), (&[0xff; 4096], ""), (&unread, "not a question")];
    for (bytes, says) in spoken {
        for at in [house.doors["c1"], member] {
            let mut stream = TcpStream::connect(at).expect("connected");
            stream.set_read_timeout(Some(PATIENCE)).expect("set");
            // It may be refused before all is written.
            let _ = stream.write_all(bytes);
            let _ = stream.shutdown(Shutdown::Write);
            let mut text = vec![];
            let _ = stream.read_to_end(&mut text);
            assert!(at == member || String::from_utf8_lossy(&text).contains(says), "{text:?}");
        }
    }
    let wrong = Proposal { reason: " ".into(), ..proposal("p", 1, 200) };
    for (proposal, wait_s) in [(wrong, 1.0), (proposal("p", 1, 200), 1e9)] {
        let reply = house.ask("c1", &AdminRequest::Propose { proposal, wait_s });
        assert!(matches!(reply, Ok(AdminResponse::BadRequest { .. })), "{reply:?}");
    }
    ends(&house.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    house.all_have(2);
}

#[rstest]
#[case::no_control("control", "log(form = \"text\")", "it says nothing of `control`")]
#[case::two(
    "control",
    "control(name = \"a\", data = \"d\", members = {}, doors = {})",
    "`members` are 1, 3, 5 or 7, found 0"
)]
#[case::a_routers(
    "check",
    "control(name = \"a\", data = \"d\", members = {\"a\": \"1.1.1.1:1\"}, doors = {\"a\": \"1.1.1.1:2\"})",
    "it is for `alderway control`"
)]
fn a_file_that_is_for_something_else_is_refused(#[case] verb: &str, #[case] text: &str, #[case] says: &str) {
    let name = format!("alderway-control-{}-{verb}-{}.star", std::process::id(), text.len());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, text).expect("written");
    let mut command = Command::new(ALDERWAY);
    let output = command.arg(verb).arg("--operator").arg(&file).env("PROXY_CONFIG", "none.json").output();
    ends(&output.expect("run"), 2, &[says]);
    fs::remove_file(&file).expect("removed");
}
