//! The door for operators: one question a frame, as JSON, one answer for each, in order. A faulty change is refused here,
//! before anything is proposed, by the same checks as a router's at its start.
pub mod client;

use crate::listener::serve_each;
use crate::replica_links::ACCEPT_RETRY_DELAY;
use crate::server::{ServerState, SharedServer};
use alderway_control::history::differing;
use alderway_control::machine::{Answer, Name, Status, Word};
use alderway_control::outlet::Summary;
use alderway_control::version::{Number, Proposal, Version};
use alderway_router::tier::links::{greet, write_out};
use alderway_tier::frames::{self, Hello, Read, Reader, Speech};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Operators at once, and how long one may say nothing.
pub const MAX_OPERATOR_CONNECTIONS: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The longest that one may wait for an answer.
pub const MAX_WAIT_S: f64 = 120.0;
/// Versions told at once, without their settings.
pub const MAX_LISTED_VERSIONS: usize = 200;
/// How long the other machines have to tell of their routers.
const GATHER_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest author, reason and id.
const MAX_TEXT_BYTES: usize = 500;

/// A question or an answer on the wire: JSON.
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct JsonFrame(pub String);

impl Speech for JsonFrame {
    const WORD: [u8; 4] = *b"ALDO";
    const VERSION: u16 = 1;
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    Check {
        settings: Value,
    },
    Propose {
        proposal: Proposal,
        wait_s: f64,
    },
    /// The newest ones up to `before`.
    History {
        before: Option<Number>,
        count: usize,
    },
    /// The newest without a number.
    Show {
        number: Option<Number>,
    },
    Status,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminResponse {
    Sound,
    /// Refused by the checks; nothing was proposed.
    Faulty {
        why: String,
    },
    /// Of a proposal; with where else to ask.
    Answer {
        answer: Answer,
        doors: BTreeMap<Name, SocketAddr>,
    },
    History {
        newest: Number,
        versions: Vec<VersionSummary>,
    },
    Version {
        version: Version,
    },
    /// Not kept, or not there yet.
    NoSuch {
        oldest: Number,
        newest: Number,
    },
    Status(Box<ClusterStatus>),
    /// The question cannot be used.
    Wrong {
        why: String,
    },
}

/// A version without its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionSummary {
    pub number: Number,
    pub proposal: String,
    pub author: String,
    pub why: String,
    pub at_unix_ms: u64,
    /// Against the version before, where that is kept.
    pub keys: Vec<String>,
}

/// How all stands, as one machine gathered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    pub machine: Status,
    /// Of each machine that answered.
    pub versions: BTreeMap<Name, Number>,
    pub out: BTreeMap<Name, String>,
    /// Machines that did not answer; their routers are not counted.
    pub silent: BTreeSet<Name>,
    pub routers: Summary,
}

pub async fn accept(held: SharedServer, listener: TcpListener) {
    let serve = |stream| {
        let held = held.clone();
        async move {
            if let Err(why) = serve(&held, &stream).await {
                tracing::warn!(target: "door", "an operator: {why}");
            }
        }
    };
    serve_each(listener, MAX_OPERATOR_CONNECTIONS, ACCEPT_RETRY_DELAY, serve).await;
}

async fn serve(held: &SharedServer, stream: &TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (mut out, mut reader, mut space) = (vec![], Reader::<JsonFrame>::default(), vec![0; 64 * 1024]);
    let (incarnation, name) = (held.borrow().machine.id(), held.borrow().machine.name().to_string());
    frames::hello_of::<JsonFrame>(
        &mut out,
        &Hello { version: JsonFrame::VERSION, planner: false, incarnation, name },
    );
    greet(stream, &mut out, &mut reader, &mut space).await?;
    loop {
        let ask = match next(stream, &mut reader, &mut space).await? {
            Some(JsonFrame(text)) => serde_json::from_str(&text),
            None => return Ok(()),
        };
        let reply = match ask {
            Ok(ask) => answer(held, stream, ask).await,
            Err(why) => {
                Some(AdminResponse::Wrong { why: format!("not a question that this version knows: {why}") })
            }
        };
        let Some(reply) = reply else { return Ok(()) };
        let text = serde_json::to_string(&reply).map_err(|why| why.to_string())?;
        if !frames::message(&mut out, &JsonFrame(text)) {
            let why = AdminResponse::Wrong { why: "the answer is longer than a frame".into() };
            frames::message(&mut out, &JsonFrame(serde_json::to_string(&why).unwrap_or_default()));
        }
        timeout(IDLE_TIMEOUT, write_out(stream, &mut out))
            .await
            .map_err(|_| "it does not read".to_string())??;
    }
}

/// The next question; none at the connection's end.
async fn next(
    stream: &TcpStream,
    reader: &mut Reader<JsonFrame>,
    space: &mut [u8],
) -> Result<Option<JsonFrame>, String> {
    loop {
        match reader.read().map_err(|why| why.to_string())? {
            Some(Read::Message(text)) => return Ok(Some(text)),
            Some(Read::Hello(_)) => return Err("it says hello twice".into()),
            None => {}
        }
        let ready =
            timeout(IDLE_TIMEOUT, stream.readable()).await.map_err(|_| "it says nothing".to_string())?;
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
async fn answer(held: &SharedServer, stream: &TcpStream, ask: AdminRequest) -> Option<AdminResponse> {
    Some(match ask {
        AdminRequest::Check { settings } => match sound(&held.borrow(), &settings) {
            Ok(()) => AdminResponse::Sound,
            Err(why) => AdminResponse::Faulty { why },
        },
        AdminRequest::Propose { proposal, wait_s } => return propose(held, stream, &proposal, wait_s).await,
        AdminRequest::History { before, count } => history(&held.borrow(), before, count),
        AdminRequest::Show { number } => show(&held.borrow(), number),
        AdminRequest::Status => AdminResponse::Status(Box::new(overall(held).await)),
    })
}

fn sound(held: &ServerState, settings: &Value) -> Result<(), String> {
    let newest = held.machine.history().newest().map(|version| &version.settings);
    (held.check)(settings, newest)
}

async fn propose(
    held: &SharedServer,
    stream: &TcpStream,
    proposal: &Proposal,
    wait: f64,
) -> Option<AdminResponse> {
    let texts = [("id", &proposal.id), ("author", &proposal.author), ("why", &proposal.why)];
    for (name, text) in texts {
        if text.len() > MAX_TEXT_BYTES || (name != "author" && text.trim().is_empty()) {
            return Some(AdminResponse::Wrong {
                why: format!("`{name}` is 1 to {MAX_TEXT_BYTES} bytes long"),
            });
        }
    }
    if !(0.0..=MAX_WAIT_S).contains(&wait) {
        return Some(AdminResponse::Wrong { why: format!("`wait_s` is 0 to {MAX_WAIT_S}") });
    }
    if let Err(why) = sound(&held.borrow(), &proposal.settings) {
        return Some(AdminResponse::Faulty { why });
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
    Some(AdminResponse::Answer { answer, doors: held.borrow().doors.clone() })
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

fn history(held: &ServerState, before: Option<Number>, count: usize) -> AdminResponse {
    let history = held.machine.history();
    let line = |version: &Version| {
        let former = version.number.checked_sub(1).and_then(|number| history.at(number));
        let keys = former.map_or(vec![], |former| differing(&former.settings, &version.settings));
        let Version { number, proposal, author, why, at_unix_ms, .. } = version.clone();
        VersionSummary { number, proposal, author, why, at_unix_ms, keys }
    };
    let newest_first = history.versions().iter().rev();
    let asked = newest_first.filter(|version| before.is_none_or(|before| version.number < before));
    let mut versions: Vec<VersionSummary> = asked.take(count.min(MAX_LISTED_VERSIONS)).map(line).collect();
    versions.reverse();
    AdminResponse::History { newest: history.number(), versions }
}

fn show(held: &ServerState, number: Option<Number>) -> AdminResponse {
    let history = held.machine.history();
    match history.at(number.unwrap_or(history.number())) {
        Some(version) => AdminResponse::Version { version: version.clone() },
        None => {
            let oldest = history.versions().front().map_or(0, |version| version.number);
            AdminResponse::NoSuch { oldest, newest: history.number() }
        }
    }
}

/// Asks the other machines for their routers, and adds up what comes in time.
async fn overall(held: &SharedServer) -> ClusterStatus {
    let (sender, mut told) = mpsc::unbounded_channel();
    let (question, mut all) = {
        let mut held = held.borrow_mut();
        let (question, now) = (held.count(), held.now());
        let machine = held.machine.status(now);
        let others: Vec<Name> = held.doors.keys().filter(|name| **name != machine.name).cloned().collect();
        for name in &others {
            held.posts.put(name, &Word::Summarise { question });
        }
        held.asking.insert(question, sender);
        let all = ClusterStatus {
            versions: BTreeMap::from([(machine.name.clone(), machine.version)]),
            out: machine.out.iter().map(|why| (machine.name.clone(), why.clone())).collect(),
            silent: others.into_iter().collect(),
            routers: held.outlet.summary(),
            machine,
        };
        (question, all)
    };
    let end = Instant::now() + GATHER_TIMEOUT;
    while !all.silent.is_empty() {
        let Ok(Some(word)) = timeout_at(end, told.recv()).await else { break };
        if word.question == question && all.silent.remove(&word.from) {
            all.versions.insert(word.from.clone(), word.version);
            all.out.extend(word.out.map(|why| (word.from.clone(), why)));
            all.routers.add(&word.summary);
        }
    }
    held.borrow_mut().asking.remove(&question);
    all
}
