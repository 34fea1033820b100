//! The drivers of a forwarder's connections to planners: each is dialled again and again, with waits drawn by chance
//! that grow, so that forwarders do not come back all at once to a planner that has just started.
use super::Outbox;
use super::forwarder::Forwarder;
use crate::io::rounds::{self, Pen};
use crate::state::Shared;
use crate::state::descriptors::Share;
use alderway_sockets::Sender;
use alderway_tier::frames::{Hello, Read, Reader, Speech};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

pub type Tier = Rc<RefCell<Forwarder>>;

/// Waits between two dials: from the least, doubled each time up to the most, each drawn between half of it and all.
const LEAST: f64 = 0.05;
const MOST: f64 = 1.0;
/// For a dial and the hello.
pub const PATIENCE: Duration = Duration::from_millis(500);
/// How often beats and silences are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Keeps up connections to all planners, for as long as the program runs.
pub fn start(desk: &Shared, tier: &Tier, planners: &[SocketAddr], share: &Arc<Share>, seed: u64) {
    for (n, planner) in planners.iter().enumerate() {
        let (desk, tier, share, planner) = (desk.clone(), tier.clone(), share.clone(), *planner);
        spawn_local(async move { keep(desk, tier, planner, share, seed ^ (n as u64) << 17).await });
    }
    let (tier, desk) = (tier.clone(), desk.clone());
    spawn_local(async move {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let index = desk.borrow().roster.index.unwrap_or(0);
            let mut tier = tier.borrow_mut();
            tier.knows(index);
            tier.tick();
        }
    });
}

/// Waits between dials, each drawn between half of the last doubled and all of it.
pub struct Waits {
    chance: Pcg32,
    wait: f64,
}

impl Waits {
    pub fn new(seed: u64) -> Self {
        Waits { chance: Pcg32::new(seed, 1), wait: LEAST }
    }

    /// The peer was met: the next dial comes soon.
    pub fn met(&mut self) {
        self.wait = LEAST;
    }

    pub async fn wait(&mut self) {
        let part = 0.5 + f64::from(self.chance.next_u32()) / 8_589_934_592.0;
        sleep(Duration::from_secs_f64(self.wait * part)).await;
        self.wait = (2.0 * self.wait).min(MOST);
    }
}

async fn keep(desk: Shared, tier: Tier, planner: SocketAddr, share: Arc<Share>, seed: u64) {
    let mut waits = Waits::new(seed);
    loop {
        if let Ok(Ok(stream)) = timeout(PATIENCE, alderway_sockets::dial(planner)).await {
            let _ = stream.set_nodelay(true);
            match speak(&desk, &tier, &stream, &share).await {
                Ok(()) => waits.met(),
                Err(why) => tracing::warn!(target: "tier", "planner at {planner}: {why}"),
            }
        }
        waits.wait().await;
    }
}

/// Speaks until the connection ends; an error if it was of no use.
async fn speak(desk: &Shared, tier: &Tier, stream: &TcpStream, share: &Arc<Share>) -> Result<(), String> {
    let mut first = Outbox::new(&tier.borrow().hello()).bytes;
    let (mut reader, mut space) = (Reader::default(), vec![0; 64 * 1024]);
    let hello = greet(stream, &mut first, &mut reader, &mut space).await?;
    if !hello.planner {
        return Err("it is no planner".into());
    }
    let Some(wake) = tier.borrow_mut().greeted(&hello) else {
        return Err(format!("incarnation {} of {} is an earlier one", hello.incarnation, hello.name));
    };
    // The hello has gone out already.
    if let Some(outbox) = tier.borrow_mut().outbox(&hello) {
        outbox.bytes.clear();
    }
    let ended = talk(desk, tier, stream, share, &hello, &wake, reader, space).await;
    tier.borrow_mut().ended(&hello);
    desk.borrow().came.notify_one();
    match ended {
        Some(why) => Err(why),
        None => Ok(()),
    }
}

/// Writes all that waits.
pub async fn write_out(stream: &TcpStream, out: &mut Vec<u8>) -> Result<(), String> {
    let mut sender = Sender::default();
    while !out.is_empty() {
        sender.ready(stream).await;
        match sender.write(stream, out) {
            Ok(count) => drop(out.drain(..count)),
            Err(why) => return Err(why.to_string()),
        }
    }
    Ok(())
}

/// Writes what waits, the own hello, and reads the other side's, which has to come in time.
pub async fn greet<M: Speech>(
    stream: &TcpStream,
    out: &mut Vec<u8>,
    reader: &mut Reader<M>,
    space: &mut [u8],
) -> Result<Hello, String> {
    let met = timeout(PATIENCE, async {
        write_out(stream, out).await?;
        read_hello(stream, reader, space).await
    });
    met.await.map_err(|_| "no hello in time".to_string())?
}

async fn read_hello<M: Speech>(
    stream: &TcpStream,
    reader: &mut Reader<M>,
    space: &mut [u8],
) -> Result<Hello, String> {
    loop {
        match reader.read().map_err(|why| why.to_string())? {
            Some(Read::Hello(hello)) => return Ok(hello),
            Some(Read::Message(_)) => return Err("no hello came first".into()),
            None => {}
        }
        stream.readable().await.map_err(|why| why.to_string())?;
        match alderway_sockets::read(stream, space) {
            Ok(Some(0)) => return Err("it ended before its hello".into()),
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
            Err(why) => return Err(why.to_string()),
        }
    }
}

/// Writes what waits and reads what comes; returns what was wrong with the peer, if anything.
#[allow(clippy::too_many_arguments)]
async fn talk(
    desk: &Shared,
    tier: &Tier,
    stream: &TcpStream,
    share: &Arc<Share>,
    hello: &Hello,
    wake: &Rc<Notify>,
    mut reader: Reader,
    mut space: Vec<u8>,
) -> Option<String> {
    let mut sender = Sender::default();
    loop {
        let mut waits = false;
        {
            let mut tier = tier.borrow_mut();
            // Lost, replaced by a later self, or too slow: this connection decides nothing more.
            let outbox = tier.outbox(hello)?;
            if !outbox.bytes.is_empty() {
                match sender.write(stream, &outbox.bytes) {
                    Ok(count) => drop(outbox.bytes.drain(..count)),
                    Err(_) => return None,
                }
                waits = !outbox.bytes.is_empty();
            }
        }
        let mut called = false;
        loop {
            match reader.read() {
                Ok(Some(Read::Message(message))) => {
                    called = true;
                    tier.borrow_mut().read(hello, message, &mut Pen::bare(desk));
                }
                Ok(Some(Read::Hello(_))) => return Some("it says hello twice".into()),
                Ok(None) => break,
                Err(why) => return Some(why.to_string()),
            }
        }
        if called {
            rounds::post(desk, share);
            continue;
        }
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { return None },
            () = sender.ready(stream), if waits => continue,
            () = wake.notified() => continue,
        }
        match alderway_sockets::read(stream, &mut space) {
            Ok(Some(0)) | Err(_) => return None,
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
        }
    }
}
