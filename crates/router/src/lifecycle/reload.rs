//! A new configuration while the program runs, told by SIGHUP: what can move moves, what is faulty changes nothing.
use super::settings::{Live, Outcome};
use super::start::{self, Station};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::sync::watch::Sender;

/// Reads the configuration anew with every SIGHUP, by the code that read it at the start; discovery's address
/// goes to `agent`. Guards against a file that is missing, half written or faulty: the old one holds. To a router that
/// can take over its settings the file's are offered when they are others than it had when they were last taken from it:
/// a reload for another reason does not undo what was brought another way since.
pub async fn at_sighup(
    mut hangups: Signals,
    mut was: Was,
    agent: Sender<SocketAddr>,
    clock: Clock,
    live: Option<Live>,
) {
    loop {
        hangups.recv().await;
        let beside = was.beside.as_ref().map_or(Ok(false), |read| read());
        let read = start::read_at(&was.path, clock).and_then(|station| Ok((station, beside?)));
        match read {
            Ok((station, changed)) => {
                if changed {
                    tracing::warn!(target: "reload", "operator's file: its change waits for a start");
                }
                take(&station, &was.fixed, &agent, live.is_some());
                let held = was.fixed.iter_mut().find(|(key, _)| *key == "settings");
                if let (Some(live), Some((_, held))) = (&live, held)
                    && *held != station.settings
                    && let Outcome::InForce | Outcome::Unchanged =
                        live.offer(station.settings.clone(), None).await
                {
                    *held = station.settings;
                }
            }
            Err(why) => {
                tracing::warn!(target: "reload", "{why}; the old configuration holds");
                if let (true, Some(live)) = (why.starts_with("key `settings`"), &live) {
                    live.count_refused();
                }
            }
        }
    }
}

/// What the program was started by.
pub struct Was {
    pub path: PathBuf,
    pub beside: Option<start::Beside>,
    pub fixed: start::Fixed,
}

fn take(station: &Station, fixed: &start::Fixed, agent: &Sender<SocketAddr>, live: bool) {
    for ((key, new), (_, held)) in station.fixed.iter().zip(fixed) {
        if new != held && !(live && *key == "settings") {
            tracing::warn!(target: "reload", "key `{key}`: its change waits for a start");
        }
    }
    let moved = agent.send_if_modified(|at| std::mem::replace(at, station.discovery) != station.discovery);
    let what = if moved { "moves to" } else { "stays at" };
    tracing::info!(target: "reload", "configuration read: discovery {what} {}", station.discovery);
}
