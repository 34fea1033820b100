//! Control servers as processes that are stopped, killed, partitioned, replaced by empty ones, or have full
//! disks and corrupted logs. The tests also check the output and exit codes of the operators' commands.
mod common;

use alderway_control_plane::content::MAX_SETTINGS_BYTES;
use alderway_control_plane::replica::ProposalOutcome;
use alderway_control_plane::version::Proposal;
use alderway_control_plane::version_log::ProposalError;
use alderway_control_server::admin::client;
use alderway_control_server::admin::{AdminRequest, AdminResponse, ClusterStatus, JsonFrame};
use alderway_transport::{Hello, encode_hello, encode_message};
use common::control_cluster::{
    ALDERWAY, ControlCluster, ControlServer, TIMEOUT, assert_exit, proposal, settings, wait_until,
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
fn commands_print_their_outcome_and_exit_with_the_documented_codes() {
    let cluster = ControlCluster::new();
    let any = ["c2", "c4"];
    assert_exit(&cluster.config(&any, &["show"]), 1, &["no settings version has been committed yet"]);
    assert_exit(
        &cluster.propose(&any, 100, &[]),
        0,
        &["in order: version 1", "version 1: no routers are known"],
    );
    cluster.wait_until_all_have(1);
    // A proposal that is sent to two servers with the same id is committed once.
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
        &["the id of the proposal is already used by version 2"],
    );
    // A change that is based on version 1 is rejected after version 2 is committed. The error lists version
    // 2.
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
        &["the base version 7 does not exist, the newest version is 2"],
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
        &["settings version 9 is not stored; versions 1 to 3 are stored"],
    );
    let shown = cluster.config(&any, &["show", "3"]);
    assert_exit(&shown, 0, &["version 3 by bea: back"]);
    assert_eq!(serde_json::from_slice::<Value>(&shown.stdout).expect("JSON"), settings(100));
    assert_exit(&cluster.config(&any, &["history"]), 0, &["bea: back  [Limits]", "ada: a test"]);
    let history = cluster.config(&any, &["history", "--json", "--count", "2"]);
    let history: Value = serde_json::from_slice(&history.stdout).expect("JSON");
    assert_eq!((history["newest"].as_u64(), history["versions"][0]["number"].as_u64()), (Some(3), Some(2)));
    assert_exit(&cluster.config(&any, &["status"]), 0, &["version: 3", "majority: stands", "routers: none"]);
    let status = cluster.config(&any, &["status", "--json"]);
    let status: ClusterStatus = serde_json::from_slice(&status.stdout).expect("JSON");
    assert!(status.unresponsive.is_empty() && status.versions.len() == 5, "{status:?}");
    // The errors for invalid settings contain the key and the line number. Further below, the admin endpoint
    // rejects invalid settings, a file is not JSON, and no server listens at an address.
    let file = cluster.directory.join("invalid.json");
    let text = settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":\"x\"");
    fs::write(&file, &text).expect("written");
    let path = file.to_str().expect("a path");
    assert_exit(
        &cluster.config(&any, &["propose", path, "--why", "w"]),
        1,
        &["invalid.json:2: key `settings`", "`MaxOpen`"],
    );
    assert_exit(&cluster.config(&any, &["check", path]), 1, &["invalid.json:2: key `settings`", "`MaxOpen`"]);
    // Settings that are valid at startup but change a key that needs a restart, and settings that are too
    // large for routers.
    fs::write(&file, settings(100).to_string().replace("\"MaxOpen\":100", "\n\"MaxOpen\":101"))
        .expect("written");
    let needs_restart = "invalid.json:2: `Limits.MaxOpen` can't change while serving";
    assert_exit(&cluster.config(&any, &["propose", path, "--why", "w"]), 1, &[needs_restart]);
    let mut large = settings(100);
    large["Note"] = "x".repeat(MAX_SETTINGS_BYTES).into();
    fs::write(&file, large.to_string()).expect("written");
    assert_exit(
        &cluster.config(&any, &["propose", path, "--why", "w"]),
        1,
        &["the settings are too large for routers"],
    );
    let Ok(AdminResponse::Invalid { reason }) =
        cluster.request("c3", &AdminRequest::Check { settings: serde_json::json!({}) })
    else {
        panic!("not rejected by the admin endpoint")
    };
    assert!(reason.contains("key `settings`"), "{reason}");
    assert_exit(
        &cluster.config(&any, &["check", cluster.settings_file(100).to_str().expect("a path")]),
        0,
        &["valid"],
    );
    fs::write(&file, "{").expect("written");
    assert_exit(&cluster.config(&any, &["propose", path, "--why", "w"]), 2, &["invalid.json:1: not JSON"]);
    let unreachable =
        Command::new(ALDERWAY).args(["config", "status", "--at", "127.0.0.1:1"]).output().expect("run");
    assert_exit(&unreachable, 3, &["no control server responded"]);
    cluster.wait_until_all_have(3);
}

#[rstest]
fn a_leader_stopped_during_a_change_resumes_as_a_follower_and_no_change_is_lost() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let (leader, follower) = (cluster.leader().expect("a leader"), cluster.follower());
    let (admin_address, request) = (
        cluster.admin_addresses[&leader],
        AdminRequest::Propose { proposal: proposal("p", 1, 200), wait_s: 25.0 },
    );
    std::thread::scope(|scope| {
        // The leader is partitioned from its followers, so that it can't commit the proposal. Then the
        // leader's process is paused by SIGSTOP while the proposal is pending.
        let others: Vec<&str> =
            cluster.names.iter().map(String::as_str).filter(|name| *name != leader).collect();
        cluster.wires.part(&others);
        let response = scope.spawn(|| client::send(admin_address, &request, TIMEOUT));
        cluster.servers[&leader].wait_for_log("p by ada on version 1");
        cluster.servers[&leader].signal(Signal::SIGSTOP);
        cluster.wires.heal();
        let stopped = Instant::now();
        wait_until("another server leads", || {
            let status = cluster.status(&follower);
            status
                .is_some_and(|all| all.replica.has_quorum && all.replica.leader.is_some_and(|l| l != leader))
        });
        // The paused server sends no hello message on the connection, so the command sends the proposal to
        // the next server.
        assert_exit(
            &cluster.propose(&[&leader, &follower], 300, &["--base", "1"]),
            0,
            &["no hello", "in order: version 2"],
        );
        wait_until("5 s have passed", || stopped.elapsed() > Duration::from_secs(5));
        cluster.servers[&leader].signal(Signal::SIGCONT);
        let Ok(Ok(AdminResponse::Proposed { outcome, .. })) = response.join() else { panic!("no response") };
        assert!(
            matches!(outcome, ProposalOutcome::Rejected(ProposalError::WouldUndo { newest: 2, .. })),
            "{outcome:?}"
        );
    });
    cluster.wait_until_all_have(2);
}

#[rstest]
fn without_a_quorum_proposals_are_rejected_and_reads_served() {
    let mut cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c3"], 100, &[]), 0, &[]);
    cluster.kill("c1");
    cluster.kill("c2");
    wait_until("three servers agree on a leader", || cluster.leader().is_some());
    assert_exit(&cluster.propose(&["c3"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    cluster.wait_until_all_have(2);
    cluster.kill("c3");
    wait_until("the remaining servers know that there is no quorum", || {
        ["c4", "c5"].iter().all(|name| cluster.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    let rejected = cluster.propose(&["c4", "c5"], 300, &["--base", "2", "--wait", "2"]);
    assert_exit(&rejected, 3, &["no majority is known for", "nothing was changed"]);
    assert_exit(
        &cluster.config(&["c4"], &["status"]),
        3,
        &["not responding, their routers not counted: c1, c2, c3"],
    );
    assert_exit(&cluster.config(&["c5"], &["show", "2"]), 0, &["version 2 by ada"]);
    for name in ["c1", "c2", "c3"] {
        cluster.start(name);
    }
    wait_until("all servers agree on a leader", || cluster.leader().is_some());
    cluster.wait_until_all_have(2);
    assert_exit(&cluster.propose(&["c4"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
}

#[rstest]
fn a_partitioned_minority_serves_its_version_rejects_proposals_and_catches_up() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    cluster.wires.part(&["c1", "c2"]);
    wait_until("the minority knows that it has no quorum", || {
        ["c1", "c2"].iter().all(|name| cluster.status(name).is_some_and(|all| !all.replica.has_quorum))
    });
    wait_until("the majority has a leader", || {
        cluster.status("c4").is_some_and(|all| all.replica.has_quorum)
    });
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
fn an_empty_server_replaces_a_lost_one_and_the_whole_cluster_can_restart() {
    let mut cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    for name in ["c4", "c5"] {
        cluster.kill(name);
        fs::remove_dir_all(cluster.data_path(name)).expect("removed");
    }
    assert_exit(&cluster.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    for name in ["c4", "c5"] {
        cluster.start(name);
    }
    let is_complete = |cluster: &ControlCluster| {
        cluster.servers.keys().all(|name| {
            cluster.status(name).is_some_and(|all| {
                !all.replica.membership_changing
                    && all.replica.unavailable_reason.is_none()
                    && all.replica.voters.len() == 5
            })
        })
    };
    wait_until("the replacements are members", || is_complete(&cluster));
    cluster.wait_until_all_have(2);
    // After two other servers are killed, a quorum needs the replacements.
    cluster.kill("c1");
    cluster.kill("c2");
    wait_until("three servers agree on a leader", || cluster.leader().is_some());
    assert_exit(&cluster.propose(&["c5"], 300, &["--base", "2"]), 0, &["in order: version 3"]);
    cluster.servers.clear();
    for name in cluster.names.clone() {
        cluster.start(&name);
    }
    wait_until("all servers agree on a leader", || cluster.leader().is_some());
    cluster.wait_until_all_have(3);
    assert_exit(&cluster.propose(&["c2"], 400, &["--base", "3"]), 0, &["in order: version 4"]);
}

/// Limits the size of the files that a server writes, in bytes, so that larger writes fail.
fn limit_file_size(server: &ControlServer, bytes: &str) {
    let id = server.child.id().to_string();
    let status = Command::new("prlimit").args(["--pid", &id, &format!("--fsize={bytes}:unlimited")]).status();
    assert!(status.expect("run").success());
}

#[rstest]
fn a_full_disk_makes_a_server_unavailable_until_space_is_freed() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let leader = cluster.leader().expect("a leader");
    let other = cluster.follower();
    limit_file_size(&cluster.servers[&leader], "4096");
    let base = cluster.latest_version(&other);
    assert_exit(
        &cluster.propose(&[&other], 200, &["--id", "full", "--base", &base.to_string()]),
        0,
        &["version 2"],
    );
    let line = cluster.servers[&leader].wait_for_log("unavailable: ");
    assert!(line.contains("cannot be written"), "{line}");
    // The server still serves reads, reports the reason, and rejects proposals.
    assert_exit(&cluster.config(&[&leader], &["show", "1"]), 0, &["version 1"]);
    assert_exit(&cluster.config(&[&leader], &["status"]), 3, &["takes no part: its log cannot be written"]);
    assert_exit(&cluster.propose(&[&leader], 300, &["--base", "2", "--wait", "1"]), 3, &["it takes no part"]);
    limit_file_size(&cluster.servers[&leader], "unlimited");
    cluster.servers[&leader].wait_for_log("available again");
    cluster.wait_until_all_have(2);
}

/// Corrupts a file: truncates it, flips bytes, or replaces it by another kind of file.
fn corrupt(path: &Path, how: &str) {
    let mut bytes = fs::read(path).expect("read");
    match how {
        "half" => bytes.truncate(bytes.len() / 2),
        "noise" => bytes.iter_mut().skip(64).step_by(97).for_each(|byte| *byte ^= 0x5a),
        _ => bytes = b"#!/bin/sh\n".repeat(1000),
    }
    fs::write(path, bytes).expect("written");
}

#[rstest]
fn a_corrupted_log_or_one_of_another_server_is_rejected_with_one_line_and_can_be_replaced() {
    let mut cluster = ControlCluster::new();
    for n in 0..3 {
        assert_exit(&cluster.propose(&["c1"], 100 + n, &["--base", &n.to_string()]), 0, &[]);
    }
    cluster.wait_until_all_have(3);
    cluster.kill("c3");
    let (log, backup) = (cluster.data_path("c3").join("log.redb"), cluster.directory.join("backup"));
    fs::copy(&log, &backup).expect("copied");
    let assert_rejected = |cluster: &ControlCluster, reason: &str| {
        let output = cluster.command("c3").output().expect("run");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let lines: Vec<&str> = text.lines().filter(|line| line.starts_with("alderway: ")).collect();
        assert_eq!((output.status.code(), lines.len()), (Some(1), 1), "{text}");
        assert!(lines[0].contains(reason) && lines[0].contains("replace it by an empty one"), "{text}");
    };
    for how in ["half", "noise", "foreign"] {
        fs::copy(&backup, &log).expect("copied");
        corrupt(&log, how);
        assert_rejected(&cluster, "log.redb");
    }
    cluster.kill("c5");
    fs::copy(cluster.data_path("c5").join("log.redb"), &log).expect("copied");
    assert_rejected(&cluster, "it belongs to replica `c5`, this one is `c3`");
    cluster.start("c5");
    fs::remove_dir_all(cluster.data_path("c3")).expect("removed");
    cluster.start("c3");
    cluster.wait_until_all_have(3);
}

#[rstest]
fn six_hundred_and_fifty_sequential_changes_are_all_committed() {
    let cluster = ControlCluster::new();
    let start = Instant::now();
    let mut settings = settings(100);
    for n in 0..650 {
        settings["Limits"]["StreamsPerConn"] = (100 + n).into();
        let proposal = Proposal { settings: settings.clone(), ..proposal(&format!("p{n}"), n, 100) };
        let request = AdminRequest::Propose { proposal, wait_s: 10.0 };
        // The proposals are sent to all servers in turn, also to those that are not the leader.
        let Ok(AdminResponse::Proposed { outcome, .. }) =
            cluster.request(&cluster.names[n as usize % 5], &request)
        else {
            panic!("no response")
        };
        assert_eq!(outcome, ProposalOutcome::Committed(n + 1));
    }
    println!("650 changes in {:.1} s", start.elapsed().as_secs_f64());
    assert!(start.elapsed() < Duration::from_secs(180));
    cluster.wait_until_all_have(650);
}

#[rstest]
fn malformed_input_at_an_admin_endpoint_or_replica_link_closes_the_connection_and_changes_nothing() {
    let cluster = ControlCluster::new();
    assert_exit(&cluster.propose(&["c1"], 100, &[]), 0, &[]);
    cluster.wait_until_all_have(1);
    let member = cluster.wires.address("c2", "c1");
    let mut hello = vec![];
    let sender = Hello { version: 1, is_planner: false, incarnation: 1, name: "c9".into() };
    encode_hello::<JsonFrame>(&mut hello, &sender);
    let mut long = hello.clone();
    long.extend([0xff; 64]);
    let mut unreadable = hello.clone();
    encode_message(&mut unreadable, &JsonFrame("{}".repeat(9))).expect("it fits a frame");
    let inputs: [(&[u8], &str); 4] =
        [(b"GET / HTTP/1.1\r\n\r\n", ""), (&long, ""), (&[0xff; 4096], ""), (&unreadable, "not a question")];
    for (bytes, reply) in inputs {
        for at in [cluster.admin_addresses["c1"], member] {
            let mut stream = TcpStream::connect(at).expect("connected");
            stream.set_read_timeout(Some(TIMEOUT)).expect("set");
            // The server may close the connection after the first malformed bytes, before all bytes are
            // written.
            let _ = stream.write_all(bytes);
            let _ = stream.shutdown(Shutdown::Write);
            let mut text = vec![];
            let _ = stream.read_to_end(&mut text);
            assert!(at == member || String::from_utf8_lossy(&text).contains(reply), "{text:?}");
        }
    }
    let without_reason = Proposal { reason: " ".into(), ..proposal("p", 1, 200) };
    for (proposal, wait_s) in [(without_reason, 1.0), (proposal("p", 1, 200), 1e9)] {
        let response = cluster.request("c1", &AdminRequest::Propose { proposal, wait_s });
        assert!(matches!(response, Ok(AdminResponse::BadRequest { .. })), "{response:?}");
    }
    assert_exit(&cluster.propose(&["c1"], 200, &["--base", "1"]), 0, &["in order: version 2"]);
    cluster.wait_until_all_have(2);
}

#[rstest]
#[case::no_control("control", "log(form = \"text\")", "the section `control` is missing")]
#[case::no_members(
    "control",
    "control(name = \"a\", data = \"d\", members = {}, doors = {})",
    "`members` must have 1, 3, 5 or 7 entries, found 0"
)]
#[case::control_section_for_a_router(
    "check",
    "control(name = \"a\", data = \"d\", members = {\"a\": \"1.1.1.1:1\"}, doors = {\"a\": \"1.1.1.1:2\"})",
    "the section `control`, which is only valid for `alderway control`"
)]
fn an_operators_file_for_another_command_is_rejected(
    #[case] verb: &str,
    #[case] text: &str,
    #[case] expected: &str,
) {
    let name = format!("alderway-control-{}-{verb}-{}.star", std::process::id(), text.len());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, text).expect("written");
    let mut command = Command::new(ALDERWAY);
    let output = command.arg(verb).arg("--operator").arg(&file).env("PROXY_CONFIG", "none.json").output();
    assert_exit(&output.expect("run"), 2, &[expected]);
    fs::remove_file(&file).expect("removed");
}
