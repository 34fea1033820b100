//! A router that subscribes to a control server: a settings version is applied, persisted, and used at the
//! next start when the control server is not reachable.
mod common;
use alderway_control_plane::publisher::PublisherConfig;
use alderway_control_plane::version::Version;
use alderway_control_plane::version_sink::VersionSink;
use alderway_control_server::subscriptions::Subscriptions;
use alderway_lab::agent::Agent;
use alderway_lab::program::{Build, Program, Setting};
use common::{wait_for_log, wait_until};
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread::{JoinHandle, spawn};
use tokio::sync::oneshot;

/// The subscription endpoint of a control server, with one committed version.
struct ControlServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControlServer {
    fn with(settings: Value) -> ControlServer {
        let (stop, stopped) = oneshot::channel();
        let (address_sender, address_receiver) = channel();
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
                address_sender.send(subscriptions.address()).expect("sent");
                let _ = stopped.await;
                subscriptions.stop();
            });
        });
        let address = address_receiver.recv().expect("an address");
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
    wait_for_log(&first, "version 41 applied");
    wait_until(&first, "the version is counted", |counters| counters.get("control_version") == Some(&41));
    wait_until(&first, "the age of the version is counted", |counters| {
        counters.contains_key("control_version_age_ms")
    });
    let persisted = || std::fs::read_to_string(&persist_path).unwrap_or_default();
    wait_until(&first, "the version is persisted", |_| persisted().starts_with("alderway-version 1 41 "));
    drop(first);
    drop(control);
    let second = Program::begin(&build, &text).unwrap_or_else(|why| panic!("{why}"));
    wait_until(&second, "the persisted version is used", |counters| {
        counters.get("control_version") == Some(&41)
    });
    wait_until(&second, "repeated connection attempts", |counters| {
        counters.get("control_dials").is_some_and(|n| *n > 1)
    });
    drop(second);
    // The router logs that the file is corrupted, and uses the settings of the configuration.
    let corrupted = persisted().replace("site-search", "site-saerch");
    std::fs::write(&persist_path, corrupted).expect("written");
    let third = Program::begin(&build, &text).unwrap_or_else(|why| panic!("{why}"));
    wait_for_log(&third, "torn or not of this program; ignored");
    wait_until(&third, "no version is in use", |counters| counters.get("control_version") == Some(&0));
    drop(third);
    let _ = std::fs::remove_file(&persist_path);
}
