//! The driver of discovery's watch: through losses and silences to a new watch, while the old list holds.
use super::until;
use crate::memory::Shared;
use crate::wire::buffer::Buffer;
use crate::wire::discovery::{self, Watch};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch::Receiver;
use tokio::time::timeout;

/// PROTOCOL: an empty line comes every 2 s while nothing changes. A watch that misses one by half is lost.
const SILENCE: f64 = 3.0;

/// Watches for as long as the program runs, at the address that `agent` holds. Where that changes the old watch
/// ends at once and the new one begins; until it tells something, the old list holds.
pub async fn run(desk: Shared, mut agent: Receiver<SocketAddr>) {
    let (follow, asked, pause) = {
        let desk = desk.borrow();
        (desk.room.follow, desk.follow.clone(), Duration::from_secs_f64(desk.trunk.dial))
    };
    let mut moved = false;
    loop {
        if follow && !moved {
            asked.notified().await;
        }
        let address = *agent.borrow_and_update();
        let why = tokio::select! {
            why = watch(&desk, address) => why,
            Ok(()) = agent.changed() => {
                moved = true;
                desk.borrow_mut().counters.one("discovery_moves");
                continue;
            }
        };
        moved = false;
        log::warn!(target: "discovery", "the watch is lost: {why}; the old list holds");
        desk.borrow_mut().counters.one("discovery_watches_lost");
        if follow {
            desk.borrow_mut().roster_failed();
        }
        let _ = timeout(pause, agent.changed()).await;
    }
}

/// One watch; returns why it ended.
async fn watch(desk: &Shared, address: SocketAddr) -> String {
    let (clock, limit, since) = {
        let desk = desk.borrow();
        (desk.clock, Duration::from_secs_f64(desk.trunk.dial), desk.roster.index)
    };
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(why)) => return format!("no connection ({why})"),
        Err(_) => return "no connection in time".into(),
    };
    let _ = stream.set_nodelay(true);
    let mut out = Vec::new();
    discovery::follow(&mut out, &address.to_string(), since);
    let (mut written, mut heard) = (0, clock.now());
    let (mut buffer, mut watch) = (Buffer::new(discovery::LONGEST), Watch::default());
    loop {
        if written < out.len() {
            match stream.try_write(&out[written..]) {
                Ok(count) => written += count,
                Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                Err(why) => return format!("not written ({why})"),
            }
        }
        tokio::select! {
            _ = stream.readable() => {}
            _ = stream.writable(), if written < out.len() => {}
            () = until(clock, heard + SILENCE) => return "silence".into(),
        }
        match stream.try_read(buffer.space()) {
            Ok(0) => return "it ended".into(),
            Ok(count) => {
                buffer.filled(count);
                heard = clock.now();
            }
            Err(why) if why.kind() == ErrorKind::WouldBlock => continue,
            Err(why) => return format!("not read ({why})"),
        }
        loop {
            match watch.line(&mut buffer) {
                Err(why) => return why.into(),
                Ok(None) => break,
                Ok(Some(end)) => {
                    if let Err(why) = take(desk, &buffer.data()[..end]) {
                        return why.into();
                    }
                    watch.done(&mut buffer);
                }
            }
        }
    }
}

/// One line of the watch: blank while nothing changes, else a list or a change.
fn take(desk: &Shared, line: &[u8]) -> Result<(), &'static str> {
    if line.trim_ascii().is_empty() {
        return Ok(());
    }
    let (index, whole) = discovery::version(line)?;
    let mut desk = desk.borrow_mut();
    if !whole && desk.roster.index.is_none_or(|held| index < held) {
        // Not a change to the list held: the next watch asks for the whole one.
        desk.roster.index = None;
        return Err("a change to an older list");
    }
    let clock = desk.clock;
    desk.roster.begin(index, whole);
    let mut entries = 0;
    discovery::entries(line, |name, address, cell, state, since| {
        entries += 1;
        desk.roster.entry(name, address, cell, state, clock.from_unix(since));
    })?;
    desk.roster_changed();
    let kind = if whole { "whole list" } else { "change" };
    log::info!(target: "roster", "{kind} {index}: {entries} entries");
    Ok(())
}
