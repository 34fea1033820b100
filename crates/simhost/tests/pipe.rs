//! The process as the simulator runs it: batches on standard input, replies on standard output, and an error
//! message on standard error where a line is malformed.
use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Extra": {"Cells": 2, "Reach": 2, "Unknown": 1}, "Discovery": "automatic",
 "Limits": {"MayCancel": true, "ParallelTries": true, "MaxAttempts": 3}, "Obligations": {}, "New": [],
 "ReplicasOfMe": 2, "Services": [{"Name": "v", "PromiseUs": 2000000, "DeadlineUs": 6000000,
 "Effect": "idempotent", "Worth": 1, "LateShare": 0.3}]}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_alderway-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    // A malformed line may end the process before it has read all of its input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the process ends")
}

/// Input whose first batch starts `router_0` with two data nodes, followed by `rest`.
fn after_start(rest: &str) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        "frame 1000000 1\nto router_0\nboot 7 {settings}\nmanifest 0 2\nentry a z k healthy 1 - 0\n\
         entry b z k healthy 1 0 1\ndirectory_update 0 restored 4\neob\n{rest}"
    )
}

fn reply(input: &str) -> String {
    let output = run(input);
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(output.status.success(), "{errors}");
    String::from_utf8(output.stdout).expect("text")
}

const QUERY: &str = "req q v - - 7000000 - 3 -1 1 0\nreq p v 0 k 7000000 - 3 0 1 0\n";

#[rstest]
fn an_empty_batch_gets_a_reply_and_the_end_of_input_ends_the_process() {
    assert_eq!(reply("frame 5 1\neob\n"), "ready 1\n");
}

#[rstest]
fn decisions_are_written_under_the_id_of_their_router() {
    let rest = format!(
        "frame 1010000 2\nto router_0\n{QUERY}eob\n\
         frame 1110000 3\nto router_0\nfinished p 1 100000 0 pass a backlog:3,new:x\ntimeout_fired 1\neob\n"
    );
    let expected = "ready 1\nas router_0\ntransmit p a 5990000\nset_alarm 10000 1\nready 2\n\
                    as router_0\nwrap_up q 1\nready 3\n";
    assert_eq!(reply(&after_start(&rest)), expected);
}

#[rstest]
fn an_event_refers_to_the_latest_list_of_its_number_so_far() {
    let rest = format!(
        "frame 1010000 2\nto router_0\nmanifest 3 1\nentry a z k cordoned 1 - 0\n\
         directory_update 3 update 5\n\
         manifest 3 1\nentry b z k deregistered 1 - 1\ndirectory_update 3 update 6\n\
         manifest 3 1\nentry c z k healthy 1 - 1\ndirectory_update 3 update 7\n{QUERY}eob\n"
    );
    assert!(reply(&after_start(&rest)).contains("transmit p c "));
}

#[rstest]
fn a_restart_within_a_batch_drops_the_events_before_it() {
    let settings = SETTINGS.replace('\n', "");
    let rest = format!(
        "frame 1010000 2\nto router_0\n{QUERY}down\nboot 8 {settings}\ndirectory_update 0 restored 4\neob\n\
         frame 9010000 3\nto router_0\nfinished p 1 100000 0 pass a -\nvanished q\neob\n"
    );
    assert_eq!(reply(&after_start(&rest)), "ready 1\nready 2\nready 3\n");
}

#[rstest]
fn a_second_router_in_the_process_does_not_change_the_decisions() {
    let settings = SETTINGS.replace('\n', "");
    let second = format!("to router_1\nboot 7 {settings}\ndirectory_update 0 restored 4\neob\n");
    let both = after_start("").replace("eob\n", &second)
        + &format!("frame 1010000 2\nto router_0\n{QUERY}to router_1\n{QUERY}eob\n");
    let decisions = "transmit p a 5990000\nset_alarm 10000 1\n";
    let expected = format!("ready 1\nas router_0\n{decisions}as router_1\n{decisions}ready 2\n");
    assert_eq!(reply(&both), expected);
}

#[rstest]
#[case::unknown_message("frame 2000000 2\nto router_0\nhello 1\neob\n", "line 11: message `hello`")]
#[case::missing_value("frame 2000000 2\nto router_0\ntimeout_fired\neob\n", "field Tag")]
#[case::unreadable_value("frame 2000000 2\nto router_0\ntimeout_fired x\neob\n", "found `x`")]
#[case::absent_value("frame 2000000 2\nto router_0\nvanished -\neob\n", "field OpId")]
#[case::trailing_field("frame 2000000 2\nto router_0\nvanished q 1\neob\n", "the end of the line")]
#[case::unknown_query_class("frame 2000000 2\nto router_0\nreq q w - - 1 - 3 -1 1 0\neob\n", "field Type")]
#[case::unknown_outcome("frame 2000000 2\nto router_0\nfinished p 1 1 0 fine a -\neob\n", "field Reason")]
#[case::count_of_entries("frame 2000000 2\nmanifest 1 2\nentry a z k healthy 1 - 0\neob\n", "field Hosts")]
#[case::unknown_list("frame 2000000 2\nto router_0\ndirectory_update 9 update 1\neob\n", "field Buffer")]
#[case::no_router("frame 2000000 2\nvanished q\neob\n", "a `to` line")]
#[case::not_started("frame 2000000 2\nto router_5\nvanished q\neob\n", "a `boot` line before")]
#[case::no_frame("to router_0\neob\n", "`frame` at the start")]
#[case::not_json("frame 2000000 2\nto router_0\nboot 7 {oops\neob\n", "settings in JSON")]
#[case::missing_setting(
    "frame 2000000 2\nto router_0\nboot 7 {\"Extra\": {}}\neob\n",
    "setting `Limits`, which is absent"
)]
#[case::incomplete_batch("frame 2000000 2\nto router_0\n", "ended inside a batch")]
fn a_malformed_line_ends_the_process_with_one_error_line(#[case] rest: &str, #[case] expected: &str) {
    let output = run(&after_start(rest));
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(expected) && errors.contains("line "), "{errors}");
    assert_eq!(errors.lines().count(), 1);
}
