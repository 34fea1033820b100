//! The door for operators: one question a frame, as JSON, one answer for each, in order. A faulty change is refused here,
//! before anything is proposed, by the same checks as a router's at its start.
use crate::driver::{Controller, Held};
use crate::links::PAUSE;
use crate::listen::serve_each;
use alderway_control_plane::replica::{ProposalOutcome, ReplicaMessage, ReplicaName, ReplicaStatus};
use alderway_control_plane::version::{Proposal, Version, VersionNumber};
use alderway_control_plane::version_log::changed_keys;
use alderway_control_plane::version_sink::RouterSummary;
use alderway_transport::{
    FrameReader, Hello, Received, WireMessage, encode_hello, encode_message, exchange_hellos, write_all,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Operators at once, and how long one may say nothing.
pub const OPERATORS_MOST: usize = 32;
const IDLE: Duration = Duration::from_secs(60);
/// The longest that one may wait for an answer.
pub const WAIT_MOST: f64 = 120.0;
/// Versions told at once, without their settings.
pub const TOLD_MOST: usize = 200;
/// How long the other machines have to tell of their routers.
const GATHER: Duration = Duration::from_millis(700);
/// The longest author, reason and id.
const TEXT_MOST: usize = 500;

/// A question or an answer on the wire: JSON.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Text(pub String);

impl WireMessage for Text {
    const PROTOCOL_ID: [u8; 4] = *b"ALDO";
    const VERSION: u16 = 1;
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    Check {
        settings: Value,
    },
    Propose {
        proposal: Proposal,
        wait_s: f64,
    },
    /// The newest ones up to `before`.
    History {
        before: Option<VersionNumber>,
        count: usize,
    },
    /// The newest without a number.
    Show {
        number: Option<VersionNumber>,
    },
    Status,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    Sound,
    /// Refused by the checks; nothing was proposed.
    Faulty {
        why: String,
    },
    /// Of a proposal; with where else to ask.
    Answer {
        answer: ProposalOutcome,
        doors: BTreeMap<ReplicaName, SocketAddr>,
    },
    History {
        newest: VersionNumber,
        versions: Vec<Line>,
    },
    Version {
        version: Version,
    },
    /// Not kept, or not there yet.
    NoSuch {
        oldest: VersionNumber,
        newest: VersionNumber,
    },
    Status(Box<Overall>),
    /// The question cannot be used.
    Wrong {
        why: String,
    },
}

/// A version without its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub number: VersionNumber,
    pub proposal: String,
    pub author: String,
    pub why: String,
    pub at_unix_ms: u64,
    /// Against the version before, where that is kept.
    pub keys: Vec<String>,
}

/// How all stands, as one machine gathered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overall {
    pub machine: ReplicaStatus,
    /// Of each machine that answered.
    pub versions: BTreeMap<ReplicaName, VersionNumber>,
    pub out: BTreeMap<ReplicaName, String>,
    /// Machines that did not answer; their routers are not counted.
    pub silent: BTreeSet<ReplicaName>,
    pub routers: RouterSummary,
}

pub async fn accept(held: Held, listener: TcpListener) {
    let serve = |stream| {
        let held = held.clone();
        async move {
            if let Err(why) = serve(&held, &stream).await {
                tracing::warn!(target: "door", "an operator: {why}");
            }
        }
    };
    serve_each(listener, OPERATORS_MOST, PAUSE, serve).await;
}

async fn serve(held: &Held, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (mut out, mut reader, mut space) = (vec![], FrameReader::<Text>::default(), vec![0; 64 * 1024]);
    let (incarnation, name) = (held.borrow().machine.id(), held.borrow().machine.name().to_string());
    encode_hello::<Text>(&mut out, &Hello { version: Text::VERSION, is_planner: false, incarnation, name });
    exchange_hellos(stream, &mut out, &mut reader, &mut space).await.map_err(|why| why.to_string())?;
    loop {
        let ask = match next(stream, &mut reader, &mut space).await? {
            Some(Text(text)) => serde_json::from_str(&text),
            None => return Ok(()),
        };
        let reply = match ask {
            Ok(ask) => answer(held, stream, ask).await,
            Err(why) => Some(Reply::Wrong { why: format!("not a question that this version knows: {why}") }),
        };
        let Some(reply) = reply else { return Ok(()) };
        let text = serde_json::to_string(&reply).map_err(|why| why.to_string())?;
        if encode_message(&mut out, &Text(text)).is_err() {
            let why = Reply::Wrong { why: "the answer is longer than a frame".into() };
            let _ = encode_message(&mut out, &Text(serde_json::to_string(&why).unwrap_or_default()));
        }
        let written = timeout(IDLE, write_all(stream, &mut out)).await;
        written.map_err(|_| "it does not read".to_string())?.map_err(|why| why.to_string())?;
    }
}

/// The next question; none at the connection's end.
async fn next(
    stream: &TcpStream,
    reader: &mut FrameReader<Text>,
    space: &mut [u8],
) -> Result<Option<Text>, String> {
    loop {
        match reader.next_frame().map_err(|why| why.to_string())? {
            Some(Received::Message(text)) => return Ok(Some(text)),
            Some(Received::Hello(_)) => return Err("it says hello twice".into()),
            None => {}
        }
        let ready = timeout(IDLE, stream.readable()).await.map_err(|_| "it says nothing".to_string())?;
        if ready.is_err() {
            return Ok(None);
        }
        match alderway_sockets::read(stream, space) {
            Ok(Some(0)) | Err(_) => return Ok(None),
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
        }
    }
}

/// None where whoever asked is gone.
async fn answer(held: &Held, stream: &TcpStream, ask: Ask) -> Option<Reply> {
    Some(match ask {
        Ask::Check { settings } => match sound(&held.borrow(), &settings) {
            Ok(()) => Reply::Sound,
            Err(why) => Reply::Faulty { why },
        },
        Ask::Propose { proposal, wait_s } => return propose(held, stream, &proposal, wait_s).await,
        Ask::History { before, count } => history(&held.borrow(), before, count),
        Ask::Show { number } => show(&held.borrow(), number),
        Ask::Status => Reply::Status(Box::new(overall(held).await)),
    })
}

fn sound(held: &Controller, settings: &Value) -> Result<(), String> {
    let newest = held.machine.version_log().latest().map(|version| &version.settings);
    (held.check)(settings, newest)
}

async fn propose(held: &Held, stream: &TcpStream, proposal: &Proposal, wait: f64) -> Option<Reply> {
    let texts = [("id", &proposal.id), ("author", &proposal.author), ("why", &proposal.reason)];
    for (name, text) in texts {
        if text.len() > TEXT_MOST || (name != "author" && text.trim().is_empty()) {
            return Some(Reply::Wrong { why: format!("`{name}` is 1 to {TEXT_MOST} bytes long") });
        }
    }
    if !(0.0..=WAIT_MOST).contains(&wait) {
        return Some(Reply::Wrong { why: format!("`wait_s` is 0 to {WAIT_MOST}") });
    }
    if let Err(why) = sound(&held.borrow(), &proposal.settings) {
        return Some(Reply::Faulty { why });
    }
    let (asker, answer) = held.borrow_mut().propose(proposal, wait);
    let answer = tokio::select! {
        answer = answer => answer.ok(),
        () = gone(stream) => None,
    };
    let Some(answer) = answer else {
        held.borrow_mut().forget(asker);
        return None;
    };
    Some(Reply::Answer { answer, doors: held.borrow().doors.clone() })
}

/// Ends when the other side has left.
async fn gone(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // More questions wait; that it leaves behind them is seen when they are read.
            Ok(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

fn history(held: &Controller, before: Option<VersionNumber>, count: usize) -> Reply {
    let history = held.machine.version_log();
    let line = |version: &Version| {
        let former = version.number.checked_sub(1).and_then(|number| history.get(number));
        let keys = former.map_or(vec![], |former| changed_keys(&former.settings, &version.settings));
        let Version { number, proposal_id: proposal, author, reason: why, at_unix_ms, .. } = version.clone();
        Line { number, proposal, author, why, at_unix_ms, keys }
    };
    let newest_first = history.versions().iter().rev();
    let asked = newest_first.filter(|version| before.is_none_or(|before| version.number < before));
    let mut versions: Vec<Line> = asked.take(count.min(TOLD_MOST)).map(line).collect();
    versions.reverse();
    Reply::History { newest: history.latest_number(), versions }
}

fn show(held: &Controller, number: Option<VersionNumber>) -> Reply {
    let history = held.machine.version_log();
    match history.get(number.unwrap_or(history.latest_number())) {
        Some(version) => Reply::Version { version: version.clone() },
        None => {
            let oldest = history.versions().front().map_or(0, |version| version.number);
            Reply::NoSuch { oldest, newest: history.latest_number() }
        }
    }
}

/// Asks the other machines for their routers, and adds up what comes in time.
async fn overall(held: &Held) -> Overall {
    let (sender, mut told) = mpsc::unbounded_channel();
    let (question, mut all) = {
        let mut held = held.borrow_mut();
        let (question, now) = (held.count(), held.now());
        let machine = held.machine.status(now);
        let others: Vec<ReplicaName> =
            held.doors.keys().filter(|name| **name != machine.name).cloned().collect();
        for name in &others {
            held.posts.put(name, &ReplicaMessage::SummaryRequest { request_id: question });
        }
        held.asking.insert(question, sender);
        let all = Overall {
            versions: BTreeMap::from([(machine.name.clone(), machine.version)]),
            out: machine.unavailable_reason.iter().map(|why| (machine.name.clone(), why.clone())).collect(),
            silent: others.into_iter().collect(),
            routers: held.outlet.summary(),
            machine,
        };
        (question, all)
    };
    let end = Instant::now() + GATHER;
    while !all.silent.is_empty() {
        let Ok(Some(word)) = timeout_at(end, told.recv()).await else { break };
        if word.question == question && all.silent.remove(&word.from) {
            all.versions.insert(word.from.clone(), word.version);
            all.out.extend(word.out.map(|why| (word.from.clone(), why)));
            all.routers.merge(&word.summary);
        }
    }
    held.borrow_mut().asking.remove(&question);
    all
}
