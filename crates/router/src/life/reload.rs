//! A new configuration while the program runs, told by SIGHUP: what can move moves, what is faulty changes nothing.
use super::start::{self, Station};
use crate::memory::clock::Clock;
use std::net::SocketAddr;
use tokio::signal::unix::Signal;
use tokio::sync::watch::Sender;

/// Reads the configuration anew with every SIGHUP, by the code that read it at the start; discovery's address
/// goes to `agent`. Guards against a file that is missing, half written or faulty: the old one holds.
pub async fn at_sighup(mut hangups: Signal, fixed: start::Fixed, agent: Sender<SocketAddr>, clock: Clock) {
    while hangups.recv().await.is_some() {
        let station = match start::read(clock) {
            Ok(station) => station,
            Err(why) => {
                log::warn!(target: "reload", "{why}; the old configuration holds");
                continue;
            }
        };
        take(&station, &fixed, &agent);
    }
}

fn take(station: &Station, fixed: &start::Fixed, agent: &Sender<SocketAddr>) {
    for ((key, new), (_, held)) in station.fixed.iter().zip(fixed) {
        if new != held {
            log::warn!(target: "reload", "key `{key}`: its change waits for a start");
        }
    }
    let moved = agent.send_if_modified(|at| std::mem::replace(at, station.discovery) != station.discovery);
    let what = if moved { "moves to" } else { "stays at" };
    log::info!(target: "reload", "configuration read: discovery {what} {}", station.discovery);
}
