//! Starts one query router: reads its configuration, listens, reads it again with each SIGHUP, and runs until
//! SIGTERM has been seen through.
use alderway_router::drive::{arrival, clients, discovery, rounds};
use alderway_router::life::{logger, reload, start, stop};
use alderway_router::memory::clock::Clock;
use alderway_router::memory::descriptors;
use alderway_router::memory::desk::Desk;
use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

fn main() -> ExitCode {
    logger::start();
    let clock = Clock::default();
    let station = match start::read(clock) {
        Ok(station) => station,
        Err(why) => {
            eprintln!("alderway-router: {why}");
            return ExitCode::from(2);
        }
    };
    let ran = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run(station, clock)));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("alderway-router: {why}");
            ExitCode::FAILURE
        }
    }
}

async fn run(station: start::Station, clock: Clock) -> std::io::Result<()> {
    let start::Station { name, listen, discovery, roster, module, fixed, .. } = station;
    // Before anybody can know that this program is up: unhandled, either of them would end it.
    let (terms, hangups) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let (for_clients, for_nodes) = descriptors::shares(station.sockets, station.memory);
    let mut desk = Desk::new(clock, station.trunk, station.room, station.verticals);
    desk.roster = roster;
    desk.came.notify_one();
    let listener = TcpListener::bind(listen).await?;
    arrival::stamp(&listener)?;
    let (at, known) = (listener.local_addr()?, desk.roster.nodes.len());
    log::info!(target: "start", "{name} listens at {at}: {known} data nodes known");
    let desk = Rc::new(RefCell::new(desk));
    let close = Rc::default();
    let rounds = spawn_local(rounds::run(desk.clone(), module, for_nodes));
    let (agent, at) = watch::channel(discovery);
    spawn_local(discovery::run(desk.clone(), at));
    spawn_local(reload::at_sighup(hangups, fixed, agent, clock));
    spawn_local(clients::listen(desk.clone(), listener, for_clients, Rc::clone(&close)));
    // A router whose module has failed must not go on as if it served.
    tokio::select! {
        () = stop::at_sigterm(terms, desk.clone(), close) => {}
        failed = rounds => return Err(std::io::Error::other(format!("the rounds ended: {failed:?}"))),
    }
    logger::last_words(&desk.borrow().figures());
    Ok(())
}
