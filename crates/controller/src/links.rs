//! Links among control machines: each dials every other one and speaks on what it dialled; what others dialled it only
//! reads. A link that is of no use is dialled anew after waits that are drawn and grow.
use crate::driver::{Held, Told};
use crate::listen::serve_each;
use alderway_control_plane::replica::{ReplicaMessage, ReplicaName};
use alderway_sockets::Sender;
use alderway_transport::{
    Backoff, CONNECT_TIMEOUT, FrameReader, Hello, Received, WireMessage, encode_hello, encode_message,
    exchange_hellos,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What waits for one machine at most; past that words are dropped, as the order stands it.
const WAITING: usize = 48 * 1024 * 1024;
/// A machine that takes nothing of what waits for so long is dialled anew.
const STUCK: Duration = Duration::from_secs(3);
/// Before another try, where the system has no descriptor for a connection.
pub const PAUSE: Duration = Duration::from_millis(10);
/// Connections that others may hold here at once.
const HEARD_MOST: usize = 64;
/// A link that lasted so long was of use.
const OF_USE: Duration = Duration::from_secs(1);

/// A word on the wire.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Said(pub ReplicaMessage);

impl WireMessage for Said {
    const PROTOCOL_ID: [u8; 4] = *b"ALDC";
    const VERSION: u16 = 1;
}

/// What waits to be written, by machine; nothing for one whose link is down.
pub struct Posts(BTreeMap<ReplicaName, Post>);

struct Post {
    up: bool,
    bytes: Vec<u8>,
    wake: Rc<Notify>,
}

impl Posts {
    pub fn to<'a>(names: impl Iterator<Item = &'a ReplicaName>) -> Posts {
        let post = || Post { up: false, bytes: vec![], wake: Rc::default() };
        Posts(names.map(|name| (name.clone(), post())).collect())
    }

    /// False where it was dropped.
    pub fn put(&mut self, to: &str, word: &ReplicaMessage) -> bool {
        let Some(post) = self.0.get_mut(to).filter(|post| post.up && post.bytes.len() < WAITING) else {
            return false;
        };
        let put = encode_message(&mut post.bytes, &Said(word.clone())).is_ok();
        post.wake.notify_one();
        put
    }

    fn set(&mut self, to: &str, up: bool) -> Option<Rc<Notify>> {
        let post = self.0.get_mut(to)?;
        post.up = up;
        post.bytes = vec![];
        Some(post.wake.clone())
    }

    fn take(&mut self, to: &str) -> Vec<u8> {
        self.0.get_mut(to).map(|post| std::mem::take(&mut post.bytes)).unwrap_or_default()
    }
}

pub fn start(held: &Held, listener: TcpListener, others: &BTreeMap<ReplicaName, SocketAddr>, seed: u64) {
    spawn_local(accept(held.clone(), listener));
    for (n, (name, at)) in others.iter().enumerate() {
        let (held, name, at, seed) = (held.clone(), name.clone(), *at, seed ^ (n as u64) << 17);
        spawn_local(async move { keep(held, name, at, seed).await });
    }
}

fn hello(held: &Held) -> Hello {
    let machine = &held.borrow().machine;
    Hello {
        version: Said::VERSION,
        is_planner: false,
        incarnation: machine.id(),
        name: machine.name().into(),
    }
}

/// Keeps up the link to another machine for as long as the program runs.
async fn keep(held: Held, name: ReplicaName, at: SocketAddr, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, alderway_sockets::dial(at)).await {
            let from = Instant::now();
            if let Err(why) = speak(&held, &name, &stream).await {
                tracing::warn!(target: "links", "{name} at {at}: {why}");
            }
            held.borrow_mut().posts.set(&name, false);
            if from.elapsed() > OF_USE {
                backoff.reset();
            }
        }
        backoff.wait().await;
    }
}

async fn speak(held: &Held, name: &str, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let mut sender = Sender::default();
    let (mut out, mut reader, mut space) = (vec![], FrameReader::<Said>::default(), vec![0; 1024]);
    encode_hello::<Said>(&mut out, &hello(held));
    let met =
        exchange_hellos(stream, &mut out, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    if met.name != name {
        return Err(format!("it is {}", met.name));
    }
    let wake = {
        let mut held = held.borrow_mut();
        let wake = held.posts.set(name, true).ok_or("not of the members")?;
        let first = held.machine.link_opened();
        held.posts.put(name, &first);
        wake
    };
    let mut moved = Instant::now();
    loop {
        if out.is_empty() {
            out = held.borrow_mut().posts.take(name);
            moved = Instant::now();
        }
        if !out.is_empty() {
            match sender.write(stream, &out) {
                Ok(count @ 1..) => {
                    drop(out.drain(..count));
                    moved = Instant::now();
                    continue;
                }
                Ok(_) => {}
                Err(_) => return Ok(()),
            }
        }
        tokio::select! {
            ready = stream.readable() => {
                if ready.is_err() {
                    return Ok(());
                }
                // Nobody answers on a link that was dialled: what can be read is its end.
                match alderway_sockets::read(stream, &mut space) {
                    Ok(None) => {}
                    Ok(Some(0)) | Err(_) => return Ok(()),
                    Ok(Some(_)) => return Err("it speaks on a link that it did not dial".into()),
                }
            }
            () = sender.ready(stream), if !out.is_empty() => {}
            () = wake.notified(), if out.is_empty() => {}
            () = sleep(STUCK), if !out.is_empty() => {}
        }
        if !out.is_empty() && moved.elapsed() > STUCK {
            return Err("it takes nothing of what it is sent".into());
        }
    }
}

async fn accept(held: Held, listener: TcpListener) {
    let newest = Rc::<Newest>::default();
    let hear = |stream| {
        let (held, newest) = (held.clone(), newest.clone());
        async move {
            if let Err(why) = hear(&held, &stream, &newest).await {
                tracing::warn!(target: "links", "one that dialled: {why}");
            }
        }
    };
    serve_each(listener, HEARD_MOST, PAUSE, hear).await;
}

/// The newest connection of each machine counts; an earlier one is read no further.
type Newest = std::cell::RefCell<BTreeMap<ReplicaName, u64>>;

async fn hear(held: &Held, stream: &TcpStream, newest: &Newest) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (mut out, mut reader, mut space) = (vec![], FrameReader::<Said>::default(), vec![0; 64 * 1024]);
    encode_hello::<Said>(&mut out, &hello(held));
    let met =
        exchange_hellos(stream, &mut out, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    let own = {
        let mut held = held.borrow_mut();
        if !held.doors.contains_key(&met.name) || met.name == held.machine.name() {
            return Err(format!("{} is not of the members here", met.name));
        }
        held.machine.link_replaced(&met.name);
        held.count()
    };
    newest.borrow_mut().insert(met.name.clone(), own);
    loop {
        let mut fed = false;
        loop {
            match reader.next_frame() {
                Ok(Some(Received::Message(Said(word)))) => {
                    if newest.borrow().get(&met.name) != Some(&own) {
                        return Ok(());
                    }
                    came(held, &met.name, word);
                    fed = true;
                }
                Ok(Some(Received::Hello(_))) => return Err("it says hello twice".into()),
                Ok(None) => break,
                Err(why) => return Err(why.to_string()),
            }
        }
        if fed {
            held.borrow_mut().run();
        }
        if stream.readable().await.is_err() {
            return Ok(());
        }
        match alderway_sockets::read(stream, &mut space) {
            Ok(Some(0)) | Err(_) => return Ok(()),
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
        }
    }
}

fn came(held: &Held, from: &str, word: ReplicaMessage) {
    let mut held = held.borrow_mut();
    match word {
        ReplicaMessage::SummaryRequest { request_id: question } => {
            let (version, out) =
                (held.machine.version_log().latest_number(), held.machine.unavailable_reason());
            let summary = held.outlet.summary();
            held.posts.put(
                from,
                &ReplicaMessage::SummaryResponse {
                    request_id: question,
                    version,
                    unavailable_reason: out.map(|reason| reason.to_string()),
                    summary,
                },
            );
        }
        ReplicaMessage::SummaryResponse {
            request_id: question,
            version,
            unavailable_reason: out,
            summary,
        } => {
            if let Some(asking) = held.asking.get(&question) {
                // One that has gone needs no answer.
                let _ = asking.send(Told { question, from: from.into(), version, out, summary });
            }
        }
        word => {
            let now = held.now();
            held.machine.receive(from, word, now);
        }
    }
}
