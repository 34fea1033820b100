//! Clients of a soak: they ask on kept and new connections, and many of them misbehave.
use super::ledger::{Outcome, Request, Stalled};
use super::scenario::Effect;
use super::world::World;
use crate::value;
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a client looks for an answer after its time is over, to see a late one.
const AFTER: f64 = 0.8;
/// A client that never ends its request waits so long for its error or close.
const STALLED: f64 = 4.0;
/// About as long as a router keeps an idle connection.
const REST: (f64, f64) = (1.9, 2.1);
const REFUSED: Duration = Duration::from_millis(20);
/// Before a client of a crowd connects again.
const CROWD_PAUSE: Duration = Duration::from_millis(200);

/// Requests that a client sends at once which leaves with their answers unread.
const UNREAD: usize = 30;

/// What a client does with its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Usual,
    /// Closes, or resets, before its answer may come.
    Leaves,
    /// Writes in pieces.
    Slow,
    /// Sends a part of a request and stays.
    Stalls,
    /// Several requests at once.
    Pipelines,
    /// Waits on its connection for about as long as it may stand idle.
    Rests,
    /// Has very little time left.
    Hasty,
    /// Asks for a close with the answer.
    Last,
    /// Sends many requests at once, and closes with their answers unread.
    LeavesUnread,
    /// Leaves, and sends its request once more on another connection.
    ComesAgain,
}

const MANNERS: [(Manner, f64); 10] = [
    (Manner::Usual, 0.46),
    (Manner::Leaves, 0.12),
    (Manner::Slow, 0.08),
    (Manner::Stalls, 0.02),
    (Manner::Pipelines, 0.08),
    (Manner::Rests, 0.05),
    (Manner::Hasty, 0.08),
    (Manner::Last, 0.07),
    (Manner::LeavesUnread, 0.02),
    (Manner::ComesAgain, 0.02),
];

/// A connection with what has been read and not yet used.
struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    run: usize,
    connected: f64,
    used: bool,
}

impl Connection {
    /// Whether the router has ended it, or has said something that nobody asked for.
    fn has_ended(&self, world: &World) -> bool {
        let mut space = [0; 64];
        match self.stream.try_read(&mut space) {
            Ok(0) => true,
            Ok(_) => {
                world.ledger.borrow_mut().count("bytes that nobody asked for");
                true
            }
            Err(why) => why.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// One client of a router, until the last moment at which the router can be there.
pub async fn run(world: Rc<World>, router: usize, number: usize) {
    let mut kept: Option<Connection> = None;
    let mut asked = 0;
    while world.clock.now() < world.scenario.seconds + world.scenario.stop_limit() {
        let pause = world.chance.borrow_mut().between(0.0, 0.08);
        sleep(Duration::from_secs_f64(pause)).await;
        let manner = draw_manner(&world);
        if manner == Manner::Rests && kept.is_some() {
            let span = world.chance.borrow_mut().between(REST.0, REST.1);
            sleep(Duration::from_secs_f64(span)).await;
        }
        let connection = match kept.take().filter(|held| !held.has_ended(&world)) {
            Some(held) if manner != Manner::Stalls => held,
            _ => match connect(&world, router).await {
                Some(new) => new,
                None => {
                    sleep(REFUSED).await;
                    continue;
                }
            },
        };
        asked += 1;
        let name = format!("s{}r{router}c{number}q{asked}", world.scenario.seed);
        kept = ask(&world, connection, &name, manner).await;
    }
}

/// One client of a crowd: connects, says nothing, and comes again when its connection has ended, until the load is over.
pub async fn stay_idle(world: Rc<World>, router: usize) {
    let mut space = [0; 64];
    while world.clock.now() < world.scenario.seconds {
        if let Some(mut connection) = connect(&world, router).await {
            let left = world.scenario.seconds - world.clock.now();
            let ended = connection.stream.read(&mut space);
            let _ = timeout(Duration::from_secs_f64(left.max(0.0)), ended).await;
        }
        sleep(CROWD_PAUSE).await;
    }
}

fn draw_manner(world: &World) -> Manner {
    let mut left = world.chance.borrow_mut().draw();
    for (manner, share) in MANNERS {
        left -= share;
        if left <= 0.0 {
            return manner;
        }
    }
    Manner::Usual
}

async fn connect(world: &World, router: usize) -> Option<Connection> {
    let (address, run) = world.front(router)?;
    let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(Connection { stream, read: vec![], run, connected: world.clock.now(), used: false })
}

/// A request with what is needed to judge its answer.
struct Asked {
    text: String,
    request: Request,
}

fn compose(world: &World, connection: &Connection, id: &str, manner: Manner, pipelined: bool) -> Asked {
    let mut chance = world.chance.borrow_mut();
    let classes = &world.scenario.classes;
    // Only what may run once tells by its attempts whether it ran again.
    let once = classes.iter().position(|class| class.effect == Effect::AtMostOnce);
    let drawn = chance.below(classes.len());
    let class = once.filter(|_| manner == Manner::ComesAgain).unwrap_or(drawn);
    let (slo, deadline) = (world.scenario.classes[class].slo, world.scenario.classes[class].deadline);
    let count = 1 + chance.below(5);
    let mut parts = BTreeSet::new();
    while parts.len() < count {
        parts.insert(chance.below(world.scenario.shards as usize) as u32);
    }
    let patience = match manner {
        Manner::Hasty => chance.between(0.0, 0.05),
        _ if chance.happens(0.3) => chance.between(0.2 * slo, deadline),
        _ => deadline,
    };
    let left_ms = (patience * 1e3) as u64;
    let share = 1.0 / parts.len() as f64;
    let targets: Vec<String> =
        parts.iter().map(|part| format!(r#"{{"partition":{part},"share":{share}}}"#)).collect();
    let body = format!(r#"{{"targets":[{}],"query":"{id}"}}"#, targets.join(","));
    let close = if manner == Manner::Last { "Connection: close\r\n" } else { "" };
    let name = world.scenario.classes[class].name;
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {name}\r\n\
         X-Time-Left-Ms: {left_ms}\r\n{close}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let request = Request {
        id: id.to_string(),
        run: connection.run,
        class,
        parts: parts.into_iter().collect(),
        connected: connection.connected,
        reused: connection.used,
        pipelined,
        sent: 0.0,
        patience: left_ms as f64 / 1e3,
        in_order: 0.0,
        outcome: Outcome::Open,
    };
    Asked { text, request }
}

/// Asks in a manner; the connection comes back where it may be used again.
async fn ask(world: &World, mut connection: Connection, name: &str, manner: Manner) -> Option<Connection> {
    if manner == Manner::Stalls {
        stall(world, connection, name).await;
        return None;
    }
    let count = match manner {
        Manner::Pipelines => 2 + world.chance.borrow_mut().below(3),
        Manner::LeavesUnread => UNREAD,
        _ => 1,
    };
    let mut asked: Vec<Asked> = (0..count)
        .map(|number| compose(world, &connection, &format!("{name}.{number}"), manner, number > 0))
        .collect();
    let text: String = asked.iter().map(|asked| asked.text.as_str()).collect();
    if !write(world, &mut connection, &text, manner).await {
        // Not written whole, so not taken.
        world.ledger.borrow_mut().count("requests that could not be written");
        return None;
    }
    let sent = world.clock.now();
    asked.iter_mut().for_each(|asked| asked.request.sent = sent);
    if manner == Manner::LeavesUnread {
        leave_unread(world, connection, asked).await;
        return None;
    }
    let again = (manner == Manner::ComesAgain).then(|| (connection.run, name.to_string(), text));
    let (mut usable, mut in_order) = (true, 0.0f64);
    for asked in asked {
        let mut request = asked.request;
        in_order = in_order.max(request.patience);
        request.in_order = in_order;
        if usable {
            request.outcome = outcome(world, &mut connection, &request, manner).await;
            usable = matches!(request.outcome, Outcome::Answered { .. });
        } else {
            // What is behind a connection that has ended: its client asks again elsewhere.
            request.outcome = Outcome::Left { at: world.clock.now() };
        }
        connection.used = true;
        world.ledger.borrow_mut().requests.push(request);
    }
    if let Some((run, id, text)) = again {
        drop(connection);
        ask_again(world, run, format!("{id}.0"), &text).await;
        return None;
    }
    let stays = usable && manner != Manner::Last && !connection.closes();
    stays.then_some(connection)
}

/// Closes a connection a moment after its requests were sent, with the answers unread.
async fn leave_unread(world: &World, connection: Connection, asked: Vec<Asked>) {
    let pause = world.chance.borrow_mut().between(0.0, 0.1);
    sleep(Duration::from_secs_f64(pause)).await;
    drop(connection);
    let at = world.clock.now();
    let left = asked.into_iter().map(|asked| Request { outcome: Outcome::Left { at }, ..asked.request });
    world.ledger.borrow_mut().requests.extend(left);
}

/// Sends a request once more whose client has left, on a new connection of the same process, and waits for its answer.
async fn ask_again(world: &World, run: usize, id: String, text: &str) {
    let router = world.ledger.borrow().runs[run].router;
    let Some(mut connection) = connect(world, router).await.filter(|connection| connection.run == run) else {
        return;
    };
    world.ledger.borrow_mut().asked_again.insert(id, world.clock.now());
    if connection.stream.write_all(text.as_bytes()).await.is_ok() {
        let _ = timeout(Duration::from_secs_f64(AFTER), answer(&mut connection)).await;
    }
}

impl Connection {
    /// The last answer said that the connection ends.
    fn closes(&self) -> bool {
        !self.read.is_empty()
    }
}

async fn write(world: &World, connection: &mut Connection, text: &str, manner: Manner) -> bool {
    if manner != Manner::Slow {
        return connection.stream.write_all(text.as_bytes()).await.is_ok();
    }
    let pieces = 2 + world.chance.borrow_mut().below(5);
    for piece in text.as_bytes().chunks(text.len() / pieces + 1) {
        if connection.stream.write_all(piece).await.is_err() {
            return false;
        }
        let pause = world.chance.borrow_mut().between(0.0, 0.05);
        sleep(Duration::from_secs_f64(pause)).await;
    }
    true
}

/// Sends a part of a request, and waits for an error or the end.
async fn stall(world: &World, mut connection: Connection, name: &str) {
    let asked = compose(world, &connection, name, Manner::Stalls, false);
    let cut = 1 + world.chance.borrow_mut().below(asked.text.len() - 1);
    if connection.stream.write_all(&asked.text.as_bytes()[..cut]).await.is_err() {
        return;
    }
    let mut space = [0; 1024];
    let ended = timeout(Duration::from_secs_f64(STALLED), connection.stream.read(&mut space)).await;
    let ended = ended.is_ok().then(|| world.clock.now());
    let stalled = Stalled { run: connection.run, connected: connection.connected, ended };
    world.ledger.borrow_mut().stalled.push(stalled);
}

async fn outcome(world: &World, connection: &mut Connection, request: &Request, manner: Manner) -> Outcome {
    let limit = match manner {
        Manner::Leaves | Manner::ComesAgain => {
            let slo = world.scenario.classes[request.class].slo;
            world.chance.borrow_mut().between(0.0, 0.5 * slo)
        }
        _ => request.sent + request.in_order + AFTER - world.clock.now(),
    };
    let limit = Duration::from_secs_f64(limit.max(0.0));
    let came = timeout(limit, answer(connection)).await;
    let at = world.clock.now();
    match came {
        Ok(Ok((status, body))) => {
            let fault = judge(world, request, status, &body);
            Outcome::Answered { at, status, fault }
        }
        Ok(Err(reset)) => Outcome::Closed { at, reset },
        Err(_) if matches!(manner, Manner::Leaves | Manner::ComesAgain) => {
            if world.chance.borrow_mut().happens(0.5) {
                let _ = connection.stream.set_zero_linger();
            }
            let _ = connection.stream.shutdown().await;
            Outcome::Left { at: world.clock.now() }
        }
        Err(_) => Outcome::Open,
    }
}

/// The next answer: its status and its body; or whether the connection was reset.
async fn answer(connection: &mut Connection) -> Result<(u16, Vec<u8>), bool> {
    let mut space = [0; 4096];
    loop {
        if let Some((status, body, used)) = parse(&connection.read) {
            connection.read.drain(..used);
            return Ok((status, body));
        }
        match connection.stream.read(&mut space).await {
            Ok(0) => return Err(false),
            Ok(count) => connection.read.extend_from_slice(&space[..count]),
            Err(_) => return Err(true),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(u16, Vec<u8>, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]);
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.split("Content-Length: ").nth(1)?.lines().next()?.parse::<usize>().ok()?;
    let body = bytes.get(end..end + length)?;
    Some((status, body.to_vec(), end + length))
}

/// What is at fault in an answer.
fn judge(world: &World, request: &Request, status: u16, body: &[u8]) -> Option<String> {
    if status != 200 {
        return None;
    }
    let fault = |text: &str| Some(text.to_string());
    let Ok(body) = serde_json::from_slice::<Value>(body) else { return fault("not JSON") };
    let (Some(whole), Some(results)) = (body["whole"].as_bool(), body["results"].as_array()) else {
        return fault("not in form");
    };
    let mut seen = BTreeSet::new();
    for result in results {
        let part = result["partition"].as_u64().and_then(|part| u32::try_from(part).ok());
        let Some(part) = part.filter(|part| request.parts.contains(part)) else {
            return fault("a part that was not asked for");
        };
        if !seen.insert(part) {
            return fault("a part twice");
        }
        if result["value"].as_str() != Some(&value(&request.id, part)) {
            return fault("a value that no data node gave");
        }
    }
    let share = seen.len() as f64 / request.parts.len() as f64;
    if share < world.scenario.classes[request.class].floor - 1e-4 {
        return Some(format!("under its floor: {share:.2}"));
    }
    if whole && seen.len() < request.parts.len() {
        return fault("whole, and lacks a part");
    }
    None
}
