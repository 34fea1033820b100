//! `alderway serve` with a control server in the operator's file: a version is applied, persisted, and started with when
//! that control server is gone.
mod common;
use alderway_control_plane::publisher::PublisherConfig;
use alderway_control_plane::version::Version;
use alderway_control_plane::version_sink::VersionSink;
use alderway_control_server::subscriptions::Subscriptions;
use alderway_lab::agent::Agent;
use alderway_lab::program::{Build, Program, Setting};
use common::{logged, until};
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread::{JoinHandle, spawn};
use tokio::sync::oneshot;

/// A control server that is given one version by hand.
struct ControlServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControlServer {
    fn with(settings: Value) -> ControlServer {
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = channel();
        let thread = spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let at = "127.0.0.1:0".parse().expect("an address");
                let listening = Subscriptions::listen("c1", 1, at, PublisherConfig::default());
                let mut subscriptions = listening.await.expect("a listener");
                let (proposal_id, author, reason) = ("p".into(), "a".into(), "w".into());
                let version = Version { number: 41, proposal_id, author, reason, at_unix_ms: 0, settings };
                subscriptions.committed(&version);
                subscriptions.freshness(0.0, true);
                tell.send(subscriptions.address()).expect("heard");
                let _ = stopped.await;
                subscriptions.stop();
            });
        });
        let address = told.recv().expect("it listens");
        ControlServer { address, stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.stop.take();
        drop(self.thread.take().map(JoinHandle::join));
    }
}

#[rstest]
#[case::on_one_core("")]
#[case::on_two_cores("cores(count = 2)\n")]
fn a_version_is_applied_and_started_with_when_no_control_server_can_be_reached(#[case] cores: &str) {
    let agent = Agent::start(vec![]).expect("discovery");
    let text = Setting::default().configuration(agent.address, &[]);
    let own: Value = serde_json::from_str(&text).expect("a configuration");
    let control = ControlServer::with(own["settings"].clone());
    let name = format!("alderway-persisted-{}-{}", std::process::id(), cores.len());
    let persist_path = std::env::temp_dir().join(name);
    let operator = format!(
        "{cores}subscription(control = {{\"c1\": (\"{}\", \"z1\")}}, zone = \"z1\", keep = \"{}\")\n",
        control.address,
        persist_path.display()
    );
    let build = Build { path: env!("CARGO_BIN_EXE_alderway").into(), operator: Some(operator) };
    let first = Program::begin(&build, &text).unwrap_or_else(|why| panic!("{why}"));
    logged(&first, "version 41 applied");
    until(&first, "its counters", |counters| counters.get("control_version") == Some(&41));
    until(&first, "its age", |counters| counters.contains_key("control_version_age_ms"));
    let persisted = || std::fs::read_to_string(&persist_path).unwrap_or_default();
    until(&first, "the persisted version", |_| persisted().starts_with("alderway-version 1 41 "));
    drop(first);
    drop(control);
    let second = Program::begin(&build, &text).unwrap_or_else(|why| panic!("{why}"));
    until(&second, "the persisted version", |counters| counters.get("control_version") == Some(&41));
    until(&second, "dials in vain", |counters| counters.get("control_dials").is_some_and(|n| *n > 1));
    drop(second);
    // A torn one is said, and the configuration's own settings hold.
    let torn = persisted().replace("site-search", "site-saerch");
    std::fs::write(&persist_path, torn).expect("written");
    let third = Program::begin(&build, &text).unwrap_or_else(|why| panic!("{why}"));
    logged(&third, "torn or not of this program; ignored");
    until(&third, "no version", |counters| counters.get("control_version") == Some(&0));
    drop(third);
    let _ = std::fs::remove_file(&persist_path);
}
