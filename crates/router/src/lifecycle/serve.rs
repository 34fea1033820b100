//! Runs a query router as it was started: on one core in this thread, or on several with this thread as their lead.
use super::control_settings;
use super::reload::Was;
use super::settings::Live;
use super::start::{Role, Station};
use super::{reload, stop};
use crate::control;
use crate::gossip::{self, Circle};
use crate::io::{arrival, clients, discovery, lead, rounds};
use crate::state::DispatcherHandle;
use crate::state::descriptors;
use crate::state::dispatcher::Dispatcher;
use crate::state::query_classes::ConfigGeneration;
use crate::state::shard_map::ShardMapView;
use crate::state::shared::{MulticoreConfig, SharedState};
use crate::tier::forwarder::Forwarder;
use crate::tier::{links, post};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use alderway_tier::members::Watch;
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Serves until SIGTERM has been seen through.
pub fn serve(station: Station, sharing: MulticoreConfig, clock: Clock) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    if station.role == Role::Planner {
        local.block_on(&runtime, post::run(station, clock))
    } else if sharing.cores > 1 {
        local.block_on(&runtime, lead::run(station, sharing, clock))
    } else {
        local.block_on(&runtime, alone(station, sharing, clock))
    }
}

async fn alone(station: Station, sharing: MulticoreConfig, clock: Clock) -> io::Result<()> {
    let Station {
        path, beside, name, listen, discovery, endpoints, seed, fixed, peers, role, control, ..
    } = station;
    // Before anybody can know that this program is up: unhandled, either of them would end it.
    let (terms, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let kept =
        peers.as_ref().map_or(0, Circle::descriptors) + control.as_ref().map_or(0, |_| control::DESCRIPTORS);
    let (for_clients, for_nodes) = descriptors::split(station.sockets - kept, station.memory, 1);
    let shared = SharedState::new(station.room.max_open, sharing, f64::INFINITY).0;
    let live = Live::new(shared.clone(), role.clone(), station.settings, station.began, None);
    let mut dispatcher =
        Dispatcher::for_core(shared.clone(), 0, clock, station.trunk, station.room, station.verticals);
    dispatcher.subscribe_config(live.news());
    dispatcher.endpoints = endpoints;
    dispatcher.shard_map = station.layouts.map(ShardMapView::new);
    dispatcher.work_ready.notify_one();
    let listener = TcpListener::bind(listen).await?;
    arrival::stamp(&listener)?;
    let (at, known) = (listener.local_addr()?, dispatcher.endpoints.nodes.len());
    tracing::info!(target: "start", "{name} listens at {at}: {known} data nodes known");
    let dispatcher = Rc::new(RefCell::new(dispatcher));
    let mut forwarder = None;
    if let Role::Forwarder { planners, beat, patience } = &role {
        let (watch, came) =
            (Watch { beat: *beat, patience: *patience }, dispatcher.borrow().work_ready.clone());
        let tier = Rc::new(RefCell::new(Forwarder::new(&name, post::incarnation(), watch, clock, came)));
        dispatcher.borrow_mut().metrics_sources.push(tier.clone());
        links::start(&dispatcher, &tier, planners, &for_nodes, post::incarnation());
        forwarder = Some(tier);
    }
    if let Some(circle) = peers {
        gossip::start(&dispatcher, circle, &name, post::incarnation()).await?;
    }
    let close = Rc::default();
    let rounds =
        spawn_local(rounds::run(dispatcher.clone(), forwarder, rounds::newest(&dispatcher, seed), for_nodes));
    spawn_local(wake(dispatcher.clone(), live.news()));
    let counts = dispatcher.clone();
    live.attach(Box::new(move |what| counts.borrow_mut().counters.increment(what)), None);
    let (agent, at) = watch::channel(discovery);
    spawn_local(discovery::run(dispatcher.clone(), at));
    // Where control machines tell the settings, a file at SIGHUP would undo a version unseen.
    let by_file = control.is_none().then(|| live.clone());
    if let Some(subscription) = control {
        let offer = control_settings::apply_to_running(live.clone());
        control::start(subscription, &name, post::incarnation(), offer, shared, clock);
    }
    spawn_local(reload::at_sighup(hangups, Was { path, beside, fixed }, agent, clock, by_file));
    let listening =
        spawn_local(clients::listen(dispatcher.clone(), listener, for_clients, Rc::clone(&close)));
    // A router whose module has failed must not go on as if it served.
    tokio::select! {
        () = stop::at_sigterm(terms, dispatcher.clone(), close, listening) => {}
        failed = rounds => return Err(io::Error::other(format!("the rounds ended: {failed:?}"))),
    }
    log::write_unlimited(&dispatcher.borrow().metrics_text());
    Ok(())
}

/// Has a round played for settings that are new, with nothing else to play it for.
async fn wake(dispatcher: DispatcherHandle, mut news: watch::Receiver<Arc<ConfigGeneration>>) {
    while news.changed().await.is_ok() {
        dispatcher.borrow().work_ready.notify_one();
    }
}
