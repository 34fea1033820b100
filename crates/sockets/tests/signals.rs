//! Signals whose taker is gone, in a process of its own with calls that are held up.
use alderway_fault_injection::{Plan, inject};
use alderway_sockets::signals::Signals;
use nix::sys::signal::{Signal, raise};
use rstest::rstest;
use std::process::Command;
use std::time::{Duration, Instant};

/// Tells the process in which [`takes_a_signal_whose_taker_is_gone`] does its work that it is that one.
const VARIABLE: &str = "ALDERWAY_TEST_SIGNALS";
/// Each call that the plan holds up takes 0.15 s; a few are allowed.
const HANDLED_WITHIN: Duration = Duration::from_millis(1000);

/// Not a test by itself: what another test has a process of its own do.
#[rstest]
fn takes_a_signal_whose_taker_is_gone() {
    if std::env::var_os(VARIABLE).is_none() {
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        drop(Signals::of(Signal::SIGHUP).expect("taken"));
        let raised = Instant::now();
        raise(Signal::SIGHUP).expect("raised");
        assert!(raised.elapsed() < HANDLED_WITHIN, "{:?}", raised.elapsed());
    });
}

/// Guards against a further signal of a series that keeps the process from ending in time.
#[rstest]
fn a_signal_whose_taker_is_gone_is_handled_with_few_calls() {
    let mut command = Command::new(std::env::current_exe().expect("this test"));
    command.args(["--exact", "takes_a_signal_whose_taker_is_gone"]).env(VARIABLE, "1");
    inject(&mut command, &Plan::parse("hold=1").expect("a plan")).expect("the library");
    let output = command.output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}
