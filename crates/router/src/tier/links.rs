//! The drivers of a forwarder's connections to planners: each is dialled again and again, with waits drawn by chance
//! that grow, so that forwarders do not come back all at once to a planner that has just started.
use super::Outbox;
use super::forwarder::Forwarder;
use crate::io::policy_loop::{self, DispatcherDecisionSink};
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use alderway_sockets::Sender;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Hello, Received, SessionEnd, exchange_hellos, keep_connected};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

pub type Tier = Rc<RefCell<Forwarder>>;

/// How often beats and silences are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Keeps up connections to all planners, for as long as the program runs.
pub fn start(
    dispatcher: &DispatcherHandle,
    tier: &Tier,
    planners: &[SocketAddr],
    share: &Arc<DescriptorPool>,
    seed: u64,
) {
    for (n, planner) in planners.iter().enumerate() {
        let (dispatcher, tier, share, planner) = (dispatcher.clone(), tier.clone(), share.clone(), *planner);
        spawn_local(async move { keep(dispatcher, tier, planner, share, seed ^ (n as u64) << 17).await });
    }
    let (tier, dispatcher) = (tier.clone(), dispatcher.clone());
    spawn_local(async move {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let index = dispatcher.borrow().endpoints.version.unwrap_or(0);
            let mut tier = tier.borrow_mut();
            tier.knows(index);
            tier.tick();
        }
    });
}

async fn keep(
    dispatcher: DispatcherHandle,
    tier: Tier,
    planner: SocketAddr,
    share: Arc<DescriptorPool>,
    seed: u64,
) {
    let session = async |stream: TcpStream| match speak(&dispatcher, &tier, &stream, &share).await {
        Ok(()) => SessionEnd::Established,
        Err(why) => {
            tracing::warn!(target: "tier", "planner at {planner}: {why}");
            SessionEnd::Unusable
        }
    };
    keep_connected(planner, seed, session).await;
}

/// Speaks until the connection ends; an error if it was of no use.
async fn speak(
    dispatcher: &DispatcherHandle,
    tier: &Tier,
    stream: &TcpStream,
    share: &Arc<DescriptorPool>,
) -> Result<(), String> {
    let mut first = Outbox::new(&tier.borrow().hello()).bytes;
    let (mut reader, mut space) = (FrameReader::default(), vec![0; 64 * 1024]);
    let hello =
        exchange_hellos(stream, &mut first, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    if !hello.is_planner {
        return Err("it is no planner".into());
    }
    let Some(wake) = tier.borrow_mut().greeted(&hello) else {
        return Err(format!("incarnation {} of {} is an earlier one", hello.incarnation, hello.name));
    };
    // The hello has gone out already.
    if let Some(outbox) = tier.borrow_mut().outbox(&hello) {
        outbox.bytes.clear();
    }
    let ended = talk(dispatcher, tier, stream, share, &hello, &wake, reader, space).await;
    tier.borrow_mut().ended(&hello);
    dispatcher.borrow().work_ready.notify_one();
    match ended {
        Some(why) => Err(why),
        None => Ok(()),
    }
}

/// Writes what waits and reads what comes; returns what was wrong with the peer, if anything.
#[allow(clippy::too_many_arguments)]
async fn talk(
    dispatcher: &DispatcherHandle,
    tier: &Tier,
    stream: &TcpStream,
    share: &Arc<DescriptorPool>,
    hello: &Hello,
    wake: &Rc<Notify>,
    mut reader: FrameReader<Message>,
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
            match reader.next_frame() {
                Ok(Some(Received::Message(message))) => {
                    called = true;
                    tier.borrow_mut().read(
                        hello,
                        message,
                        &mut DispatcherDecisionSink::for_planner_decisions(dispatcher),
                    );
                }
                Ok(Some(Received::Hello(_))) => return Some("it says hello twice".into()),
                Ok(None) => break,
                Err(why) => return Some(why.to_string()),
            }
        }
        if called {
            policy_loop::send_queued_attempts(dispatcher, share);
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
