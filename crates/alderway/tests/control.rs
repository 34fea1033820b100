//! Control servers as processes: stopped, killed, cut off, replaced by empty ones, on full disks and torn logs; and the
//! operators' commands with what they print and their exit codes.
mod common;

use alderway_control_plane::content::MAX_SETTINGS_BYTES;
use alderway_control_plane::replica::ProposalOutcome;
use alderway_control_plane::version::Proposal;
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::client;
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, JsonFrame};
use alderway_transport::{Hello, encode_hello, encode_message};
use common::control_cluster::{
    ALDERWAY, ControlCluster, ControlServer, TIMEOUT, assert_exit, proposal, settings, until,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

#[rstest]
fn commands_print_what_was_done_and_exit_with_the_documented_codes() {
    let cluster = ControlCluster::new();
    let any = ["c2", "c4"];
    assert_exit(&cluster.config(&any, &["show"]), 1, &["there is no version yet"]);
    assert_exit(
        &cluster.propose(&any, 100, &[]),
        0,
        &["in order: version 1", "version 1: no routers are known"],
    );
    cluster.wait_until_all_have(1);
    // The same proposal sent twice counts once, wherever.
    assert_exit(
        &cluster.propose(&["c1"], 200, &["--id", "twice", "--base", "1"]),
        0,
        &["in order: version 2"],
    );
    assert_exit(
        &cluster.propose(&["c5"], 200, &["--id", "twice", "--base", "1"]),
        0,
        &["in order: version 2"],
    );
    assert_exit(
        &cluster.propose(&["c5"], 300, &["--id", "twice", "--base", "1"]),
        1,
        &["its id is already used by version 2"],
    );
    // The second of two operators is told what it would undo.
    let second = cluster.propose(&any, 300, &["--base", "1"]);
    assert_exit(
        &second,
        1,
        &[
            "version 2 is the newest, and 1 versions since the base would be undone",
            "2 by ada: a test [Limits]",
        ],
    );
    assert_exit(
        &cluster.propose(&any, 300, &["--base", "7"]),
        1,
        &["there is no version 7 yet, the newest is 2"],
    );
    cluster.wait_until_all_have(2);
    assert_exit(
        &cluster.config(&any, &["revert", "1", "--why", "back", "--author", "bea"]),
        0,
        &["in order: version 3"],
    );
    cluster.wait_until_all_have(3);
    assert_exit(
        &cluster.config(&any, &["revert", "9", "--why", "back"]),
        1,
        &["version 9 is not stored: versions 1 to 3 are"],
    );
    let shown = cluster.config(&any, &["show", "3"]);
    assert_exit(&shown, 0, &["version 3 by bea: back"]);
    assert_eq!(serde_json::from_slice::<Value>(&shown.stdout).expect("JSON"), settings(100));
    assert_exit(&cluster.config(&any, &["history"]), 0, &["bea: back  [Limits]", "ada: a test"]);
    let told = cluster.config(&any, &["history", "--json", "--count", "2"]);
    let told: Value = serde_json::from_slice(&told.stdout).expect("JSON");
    assert_eq!((told["newest"].as_u64(), told["versions"][0]["number"].as_u64()), (Some(3), Some(2)));
    assert_exit(&cluster.config(&any, &["status"]), 0, &["version: 3", "majority: stands", "routers: none"]);
    let status = cluster.config(&any, &["status", "--json"]);
    let status: ClusterStatus = serde_json::from_slice(&status.stdout).expect("JSON");
    assert!(status.unresponsive.is_empty() && status.versions.len() == 5, "{status:?}");
    // Faulty at the admin_address, by key and line; bad input; nobody there.
    let faulty = cluster.folder.join("faulty.json");
    let text = settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":\"x\"");
    fs::write(&faulty, &text).expect("written");
    let path = faulty.to_str().expect("a path");
    assert_exit(
        &cluster.config(&any, &["propose", path, "--why", "w"]),
        1,
        &["faulty.json:2: key `settings`", "`MaxOpen`"],
    );
    assert_exit(&cluster.config(&any, &["check", path]), 1, &["faulty.json:2: key `settings`", "`MaxOpen`"]);
    // Sound, but no router could take it over; and more than routers are told.
    fs::write(&faulty, settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":101"))
        .expect("written");
    let waits = "faulty.json:2: `Limits.MaxOpen` can't change while serving";
    assert_exit(&cluster.config(&any, &["propose", path, "--why", "w"]), 1, &[waits]);
    let mut long = settings(100);
    long["Note"] = "x".repeat(MAX_SETTINGS_BYTES).into();
    fs::write(&faulty, long.to_string()).expect("written");
    assert_exit(
        &cluster.config(&any, &["propose", path, "--why", "w"]),
        1,
        &["the settings are too large for routers"],
    );
    let Ok(AdminResponse::Invalid { reason }) =
        cluster.request("c3", &AdminRequest::Check { settings: serde_json::json!({}) })
    else {
        panic!("not refused at the admin_address")
    };
    assert!(reason.contains("key `settings`"), "{reason}");
    assert_exit(
        &cluster.config(&any, &["check", cluster.file(100).to_str().expect("a path")]),
        0,
        &["valid"],
    );
    fs::write(&faulty, "{").expect("written");
    assert_exit(&cluster.config(&any, &["propose", path, "--why", "w"]), 2, &["faulty.json:1: not JSON"]);
    let nobody =
        Command::new(ALDERWAY).args(["config", "status", "--at", "127.0.0.1:1"]).output().expect("run");
    assert_exit(&nobody, 3, &["no control server responded"]);
    cluster.wait_until_all_have(3);
}

#[rstest]
fn a_leader_stopped_during_a_change_resumes_as_a_follower_and_no_change_is_lost() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let (leader, follower) = (cluster.leader().expect("led"), cluster.follower());
    let (admin_address, ask) = (
        cluster.admin_addresses[&leader],
        AdminRequest::Propose { proposal: proposal("p", 1, 200), wait_s: 25.0 },
    );
    std::thread::scope(|scope| {
        // Cut from its followers it can't have the change ordered; then it is stopped with it.
        let others: Vec<&str> =
            cluster.names.iter().map(String::as_str).filter(|name| *name != leader).collect();
        cluster.wires.part(&others);
        let asked = scope.spawn(|| client::send(admin_address, &ask, TIMEOUT));
        cluster.programs[&leader].wait_for_log("p by ada on version 1");
        cluster.programs[&leader].signal(Signal::SIGSTOP);
        cluster.wires.heal();
        let stopped = Instant::now();
        until("another leads", || {
            let status = cluster.status(&follower);
            status
                .is_some_and(|all| all.replica.has_quorum && all.replica.leader.is_some_and(|l| l != leader))
        });
        // A stopped machine is passed over: it says no hello.
        assert_exit(
            &cluster.propose(&[&leader, &follower], 300, &["--base", "1"]),
            0,
            &["no hello", "in order: version 2"],
        );
        until("5 s are over", || stopped.elapsed() > Duration::from_secs(5));
        cluster.programs[&leader].signal(Signal::SIGCONT);
        let Ok(Ok(AdminResponse::Proposed { outcome, .. })) = asked.join() else { panic!("no answer") };
        assert!(
            matches!(outcome, ProposalOutcome::Rejected(ProposalError::WouldUndo { newest: 2, .. })),
            "{outcome:?}"
        );
    });
    cluster.wait_until_all_have(2);
}

#[rstest]
fn with_three_of_five_gone_proposals_are_refused_and_reads_served_until_they_are_back() {
    let mut cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c3"], 100, &[]), 0, &[]);
    cluster.kill("c1");
    cluster.kill("c2");
    until("three agree on a leader", || cluster.leader().is_some());
    assert_exit(&cluster.propose(&["c3"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    cluster.wait_until_all_have(2);
    cluster.kill("c3");
    until("it is known that no majority stands", || {
        ["c4", "c5"].iter().all(|name| cluster.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    let refused = cluster.propose(&["c4", "c5"], 300, &["--base", "2", "--wait", "2"]);
    assert_exit(&refused, 3, &["no majority is known for", "nothing was changed"]);
    assert_exit(
        &cluster.config(&["c4"], &["status"]),
        3,
        &["not responding, their routers not counted: c1, c2, c3"],
    );
    assert_exit(&cluster.config(&["c5"], &["show", "2"]), 0, &["version 2 by ada"]);
    for name in ["c1", "c2", "c3"] {
        cluster.start(name);
    }
    until("all agree on a leader", || cluster.leader().is_some());
    cluster.wait_until_all_have(2);
    assert_exit(&cluster.propose(&["c4"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
}

#[rstest]
fn a_side_cut_off_serves_its_version_refuses_proposals_and_catches_up_after_healing() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    cluster.wires.part(&["c1", "c2"]);
    until("the small side knows it", || {
        ["c1", "c2"].iter().all(|name| cluster.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    until("the large side is led", || cluster.status("c4").is_some_and(|all| all.replica.has_quorum));
    assert_exit(
        &cluster.propose(&["c1", "c2"], 200, &["--base", "1", "--wait", "2"]),
        3,
        &["nothing was changed"],
    );
    assert_exit(&cluster.propose(&["c4"], 300, &["--base", "1"]), 0, &["in order: version 2"]);
    assert_eq!((cluster.latest_version("c1"), cluster.latest_version("c2")), (1, 1));
    cluster.wires.heal();
    let healed = Instant::now();
    cluster.wait_until_all_have(2);
    assert!(healed.elapsed() < Duration::from_secs(16), "{:?}", healed.elapsed());
}

#[rstest]
fn an_empty_machine_replaces_a_lost_one_and_the_whole_cluster_may_restart() {
    let mut cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    for name in ["c4", "c5"] {
        cluster.kill(name);
        fs::remove_dir_all(cluster.data(name)).expect("its disk is gone");
    }
    assert_exit(&cluster.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    for name in ["c4", "c5"] {
        cluster.start(name);
    }
    let whole = |cluster: &ControlCluster| {
        cluster.programs.keys().all(|name| {
            cluster.status(name).is_some_and(|all| {
                !all.replica.membership_changing
                    && all.replica.unavailable_reason.is_none()
                    && all.replica.voters.len() == 5
            })
        })
    };
    until("they are taken in", || whole(&cluster));
    cluster.wait_until_all_have(2);
    // With two others gone they make the majority.
    cluster.kill("c1");
    cluster.kill("c2");
    until("three agree on a leader", || cluster.leader().is_some());
    assert_exit(&cluster.propose(&["c5"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
    cluster.programs.clear();
    for name in cluster.names.clone() {
        cluster.start(&name);
    }
    until("all agree on a leader", || cluster.leader().is_some());
    cluster.wait_until_all_have(3);
    assert_exit(&cluster.propose(&["c2"], 400, &["--base", "3"]), 0, &["in order: version 4"]);
}

fn limit(program: &ControlServer, bytes: &str) {
    let id = program.child.id().to_string();
    let done = Command::new("prlimit").args(["--pid", &id, &format!("--fsize={bytes}:unlimited")]).status();
    assert!(done.expect("run").success());
}

#[rstest]
fn a_full_disk_makes_a_machine_unavailable_until_there_is_room() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let leader = cluster.leader().expect("led");
    let other = cluster.follower();
    limit(&cluster.programs[&leader], "4096");
    let base = cluster.latest_version(&other);
    assert_exit(
        &cluster.propose(&[&other], 200, &["--id", "full", "--base", &base.to_string()]),
        0,
        &["version 2"],
    );
    let line = cluster.programs[&leader].wait_for_log("unavailable: ");
    assert!(line.contains("cannot be written"), "{line}");
    // Its reads go on, it says why, and takes no changes.
    assert_exit(&cluster.config(&[&leader], &["show", "1"]), 0, &["version 1"]);
    assert_exit(&cluster.config(&[&leader], &["status"]), 3, &["takes no part: its log cannot be written"]);
    assert_exit(&cluster.propose(&[&leader], 300, &["--base", "2", "--wait", "1"]), 3, &["it takes no part"]);
    limit(&cluster.programs[&leader], "unlimited");
    cluster.programs[&leader].wait_for_log("available again");
    cluster.wait_until_all_have(2);
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
fn a_torn_log_or_one_of_another_machine_is_refused_in_one_line_and_replaced_by_an_empty_one() {
    let mut cluster = ControlCluster::new();
    for n in 0..3 {
        assert_exit(&cluster.propose(&["c1"], 100 + n, &["--base", &n.to_string()]), 0, &[]);
    }
    cluster.wait_until_all_have(3);
    cluster.kill("c3");
    let (log, kept) = (cluster.data("c3").join("log.redb"), cluster.folder.join("kept"));
    fs::copy(&log, &kept).expect("copied");
    let refused = |cluster: &ControlCluster, says: &str| {
        let output = cluster.command("c3").output().expect("run");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let lines: Vec<&str> = text.lines().filter(|line| line.starts_with("alderway: ")).collect();
        assert_eq!((output.status.code(), lines.len()), (Some(1), 1), "{text}");
        assert!(lines[0].contains(says) && lines[0].contains("replace it by an empty one"), "{text}");
    };
    for how in ["half", "noise", "foreign"] {
        fs::copy(&kept, &log).expect("copied");
        spoil(&log, how);
        refused(&cluster, "log.redb");
    }
    cluster.kill("c5");
    fs::copy(cluster.data("c5").join("log.redb"), &log).expect("copied");
    refused(&cluster, "it belongs to replica `c5`, this one is `c3`");
    cluster.start("c5");
    fs::remove_dir_all(cluster.data("c3")).expect("moved away");
    cluster.start("c3");
    cluster.wait_until_all_have(3);
}

#[rstest]
fn six_hundred_and_fifty_sequential_changes_are_all_committed() {
    let cluster = ControlCluster::new();
    let from = Instant::now();
    let mut settings = settings(100);
    for n in 0..650 {
        settings["Limits"]["StreamsPerConn"] = (100 + n).into();
        let proposal = Proposal { settings: settings.clone(), ..proposal(&format!("p{n}"), n, 100) };
        let ask = AdminRequest::Propose { proposal, wait_s: 10.0 };
        // Whoever answers: each admin_address takes changes.
        let Ok(AdminResponse::Proposed { outcome, .. }) =
            cluster.request(&cluster.names[n as usize % 5], &ask)
        else {
            panic!("no answer")
        };
        assert_eq!(outcome, ProposalOutcome::Committed(n + 1));
    }
    println!("650 changes in {:.1} s", from.elapsed().as_secs_f64());
    assert!(from.elapsed() < Duration::from_secs(180));
    cluster.wait_until_all_have(650);
}

#[rstest]
fn malformed_input_at_an_admin_endpoint_or_replica_link_closes_the_connection_and_changes_nothing() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let member = cluster.wires.address("c2", "c1");
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
        for at in [cluster.admin_addresses["c1"], member] {
            let mut stream = TcpStream::connect(at).expect("connected");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
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
        let reply = cluster.request("c1", &AdminRequest::Propose { proposal, wait_s });
        assert!(matches!(reply, Ok(AdminResponse::BadRequest { .. })), "{reply:?}");
    }
    assert_exit(&cluster.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    cluster.wait_until_all_have(2);
}

#[rstest]
#[case::no_control("control", "log(form = \"text\")", "`control` is missing")]
#[case::two(
    "control",
    "control(name = \"a\", data = \"d\", members = {}, doors = {})",
    "`members` must have 1, 3, 5 or 7 entries, found 0"
)]
#[case::a_routers(
    "check",
    "control(name = \"a\", data = \"d\", members = {\"a\": \"1.1.1.1:1\"}, doors = {\"a\": \"1.1.1.1:2\"})",
    "it is for `alderway control`"
)]
fn an_operators_file_for_another_program_is_refused(
    #[case] verb: &str,
    #[case] text: &str,
    #[case] says: &str,
) {
    let name = format!("alderway-control-{}-{verb}-{}.star", std::process::id(), text.len());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, text).expect("written");
    let mut command = Command::new(ALDERWAY);
    let output = command.arg(verb).arg("--operator").arg(&file).env("PROXY_CONFIG", "none.json").output();
    assert_exit(&output.expect("run"), 2, &[says]);
    fs::remove_file(&file).expect("removed");
}
