//! Clients: they send queries on a schedule, whatever the router does, or in a loop as fast as answers come, and check
//! every answer. In a schedule latency counts from the moment at which a query was due, so that a router that stands
//! still is not flattered, and a generator that falls behind says by how much.
use crate::{Clock, draw, inventory, value};
use alderway_layouts::KeyRange;
use hdrhistogram::Histogram;
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep_until, timeout};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// So many queries a second over all threads, arrivals by chance (Poisson).
    Open(f64),
    /// One query after the other on each connection.
    Closed,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub pace: Pace,
    /// Seconds of sending; answers are waited for a deadline longer.
    pub span: f64,
    pub threads: usize,
    /// Most connections, over all threads; in a loop so many are kept busy.
    pub connections: usize,
    pub parts: usize,
    pub shards: u32,
    /// Queries ask for ranges of so many keys, not for shards: `parts` ranges at the most, each of so many keys at most.
    pub keys: Option<(u32, u32)>,
    pub vertical: String,
    /// Milliseconds that a client waits.
    pub patience: u64,
    pub seed: u64,
}

/// What came of the queries sent.
pub struct Outcome {
    /// Microseconds, from when a query was due to the last byte of its answer; merged answers only.
    pub latency: Histogram<u64>,
    /// The same with the moment it was due, in seconds since the load began.
    pub over_time: Vec<(f64, f64)>,
    pub statuses: BTreeMap<u16, u64>,
    pub sent: u64,
    /// Answers with a value that no data node gave, that lack a part though whole, or that came after another one.
    pub wrong: u64,
    /// Keys that counted twice, and keys that an answer said to be whole lacked.
    pub double: u64,
    pub missing: u64,
    /// Answers said not to be whole.
    pub in_part: u64,
    /// Connections that ended without an answer.
    pub lost: u64,
    /// Queries without an answer when their client's time and half a second were over.
    pub late: u64,
    /// Most seconds by which a query left after it was due, for want of time or of connections.
    pub behind: f64,
    pub seconds: f64,
}

impl Default for Outcome {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds that hold");
        Outcome {
            latency,
            over_time: vec![],
            statuses: BTreeMap::new(),
            sent: 0,
            wrong: 0,
            double: 0,
            missing: 0,
            in_part: 0,
            lost: 0,
            late: 0,
            behind: 0.0,
            seconds: 0.0,
        }
    }
}

impl Outcome {
    pub fn join(&mut self, other: Outcome) {
        let _ = self.latency.add(&other.latency);
        self.over_time.extend(other.over_time);
        other.statuses.iter().for_each(|(s, n)| *self.statuses.entry(*s).or_insert(0) += n);
        self.sent += other.sent;
        self.wrong += other.wrong;
        self.double += other.double;
        self.missing += other.missing;
        self.in_part += other.in_part;
        self.lost += other.lost;
        self.late += other.late;
        self.behind = self.behind.max(other.behind);
        self.seconds = self.seconds.max(other.seconds);
    }

    pub fn merged(&self) -> u64 {
        self.statuses.get(&200).copied().unwrap_or(0)
    }

    pub fn rate(&self) -> f64 {
        self.merged() as f64 / self.seconds.max(1e-9)
    }

    /// Milliseconds at a share of the merged answers.
    pub fn quantile(&self, share: f64) -> f64 {
        self.latency.value_at_quantile(share) as f64 / 1e3
    }
}

/// Sends the load and waits for its end.
pub fn send(to: SocketAddr, load: &Load, clock: Clock) -> Outcome {
    let threads: Vec<_> = (0..load.threads.max(1))
        .map(|thread| {
            let load = load.clone();
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.expect("a runtime");
                LocalSet::new().block_on(&runtime, run(to, load, thread, clock))
            })
        })
        .collect();
    let mut all = Outcome::default();
    threads.into_iter().for_each(|t| all.join(t.join().expect("the generator does not panic")));
    all
}

/// What a query asks for.
enum Asked {
    Shards(Vec<u32>),
    Keys(Vec<KeyRange>),
}

struct Line {
    load: Load,
    thread: usize,
    clock: Clock,
    began: f64,
    chance: RefCell<Pcg32>,
    number: Cell<u64>,
    due: RefCell<VecDeque<f64>>,
    wake: Notify,
    /// Connections that wait for something to send, and all of them.
    idle: Cell<usize>,
    open: Cell<usize>,
    over: Cell<bool>,
    outcome: RefCell<Outcome>,
}

async fn run(to: SocketAddr, load: Load, thread: usize, clock: Clock) -> Outcome {
    let (threads, began) = (load.threads.max(1), clock.now());
    let most = load.connections.div_ceil(threads);
    let line = Rc::new(Line {
        chance: RefCell::new(Pcg32::new(load.seed, thread as u64)),
        thread,
        clock,
        began,
        number: Cell::new(0),
        due: RefCell::default(),
        wake: Notify::new(),
        idle: Cell::new(0),
        open: Cell::new(0),
        over: Cell::new(false),
        outcome: RefCell::default(),
        load,
    });
    let mut tasks = vec![];
    let end = began + line.load.span;
    match line.load.pace {
        Pace::Closed => (0..most).for_each(|_| tasks.push(spawn_local(client(line.clone(), to)))),
        Pace::Open(rate) => {
            let mut next = began;
            loop {
                next += -(1.0 - draw(&mut line.chance.borrow_mut())).ln() / (rate / threads as f64);
                if next >= end {
                    break;
                }
                sleep_until(clock.at(next)).await;
                line.due.borrow_mut().push_back(next);
                if line.idle.get() < line.due.borrow().len() && line.open.get() < most {
                    line.open.set(line.open.get() + 1);
                    tasks.push(spawn_local(client(line.clone(), to)));
                }
                line.wake.notify_one();
            }
        }
    }
    sleep_until(clock.at(end)).await;
    line.over.set(true);
    line.wake.notify_waiters();
    for task in tasks {
        let _ = task.await;
    }
    let mut outcome = line.outcome.take();
    outcome.seconds = line.load.span;
    outcome
}

impl Line {
    /// When the next query is due, once there is one; none when all is sent.
    async fn next(&self) -> Option<f64> {
        loop {
            if self.load.pace == Pace::Closed {
                return (!self.over.get()).then(|| self.clock.now());
            }
            if let Some(due) = self.due.borrow_mut().pop_front() {
                return Some(due);
            }
            if self.over.get() {
                return None;
            }
            self.idle.set(self.idle.get() + 1);
            let woken = self.wake.notified();
            if !self.over.get() {
                woken.await;
            }
            self.idle.set(self.idle.get() - 1);
            // One wake for several queries: the next idle connection looks as well.
            if !self.due.borrow().is_empty() {
                self.wake.notify_one();
            }
        }
    }

    /// What a query asks for, its id, and the bytes that ask for it.
    fn query(&self, left: u64) -> (Asked, String, Vec<u8>) {
        self.number.set(self.number.get() + 1);
        let text = format!("{:x}-{:x}-{:x}", self.load.seed, self.thread, self.number.get());
        if let Some((keys, most)) = self.load.keys {
            let ranges = self.ranges(keys, most);
            let (share, rest) = (1000 / ranges.len(), 1000 % ranges.len());
            let targets = ranges.iter().enumerate().map(|(i, keys)| {
                let share = (share + usize::from(i < rest)) as f64 / 1e3;
                format!(r#"{{"keys":[{},{}],"share":{share}}}"#, keys.from, keys.to)
            });
            let request = self.request(&text, &targets.collect::<Vec<_>>(), left);
            return (Asked::Keys(ranges), text, request);
        }
        let first = (draw(&mut self.chance.borrow_mut()) * f64::from(self.load.shards)) as u32;
        let shards: Vec<u32> =
            (0..self.load.parts as u32).map(|part| (first + part) % self.load.shards).collect();
        // Shares in thousandths that add up to 1.
        let (share, rest) = (1000 / shards.len(), 1000 % shards.len());
        let targets: Vec<String> = shards
            .iter()
            .enumerate()
            .map(|(i, shard)| {
                let thousandths = share + usize::from(i < rest);
                format!(r#"{{"partition":{shard},"share":{}}}"#, thousandths as f64 / 1e3)
            })
            .collect();
        let request = self.request(&text, &targets, left);
        (Asked::Shards(shards), text, request)
    }

    /// Ranges that do not meet.
    fn ranges(&self, keys: u32, most: u32) -> Vec<KeyRange> {
        let mut chance = self.chance.borrow_mut();
        let parts = 1 + (draw(&mut chance) * self.load.parts as f64) as u32;
        let each = keys / parts;
        (0..parts)
            .map(|part| {
                let span = 1 + (draw(&mut chance) * f64::from(most.clamp(1, each) - 1)) as u32;
                let from = part * each + (draw(&mut chance) * f64::from(each - span + 1)) as u32;
                KeyRange::new(from, from + span)
            })
            .collect()
    }

    fn request(&self, text: &str, targets: &[String], left: u64) -> Vec<u8> {
        let body = format!(r#"{{"targets":[{}],"query":"{text}"}}"#, targets.join(","));
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {text}\r\nX-Service-Class: {}\r\n\
             X-Time-Left-Ms: {left}\r\nContent-Length: {}\r\n\r\n{body}",
            self.load.vertical,
            body.len()
        );
        request.into_bytes()
    }
}

/// One connection: a query at a time, each waited for; a connection that fails is opened anew.
async fn client(line: Rc<Line>, to: SocketAddr) {
    let (mut stream, mut buffer) = (None, Vec::new());
    while let Some(due) = line.next().await {
        let behind = line.clock.now() - due;
        {
            let mut outcome = line.outcome.borrow_mut();
            outcome.sent += 1;
            outcome.behind = outcome.behind.max(behind);
        }
        let patience = Duration::from_millis(line.load.patience);
        let left = patience.saturating_sub(Duration::from_secs_f64(behind.max(0.0)));
        let (asked_for, text, request) = line.query(left.as_millis().max(1) as u64);
        // The users' protocol: where a router's close of a kept connection crosses a request that it has not read, the client
        // sends that once more on a new connection. Once read, an end without an answer is a loss.
        let asked = timeout(left + Duration::from_millis(500), async {
            let kept = stream.is_some();
            match ask(&mut stream, to, &mut buffer, &request).await {
                None if kept && buffer.is_empty() => {
                    stream = None;
                    ask(&mut stream, to, &mut buffer, &request).await
                }
                answer => answer,
            }
        })
        .await;
        let now = line.clock.now();
        let mut outcome = line.outcome.borrow_mut();
        match asked {
            Ok(Some(status)) => {
                *outcome.statuses.entry(status).or_insert(0) += 1;
                if status == 200 {
                    let micros = ((now - due) * 1e6).max(1.0);
                    let _ = outcome.latency.record(micros as u64);
                    outcome.over_time.push((due - line.began, micros / 1e3));
                    match &asked_for {
                        Asked::Shards(shards) if is_right(&buffer, shards, &text) => {}
                        Asked::Shards(_) => outcome.wrong += 1,
                        Asked::Keys(keys) => {
                            let (faults, counted) = inventory::check(&buffer, keys, &text);
                            outcome.wrong += faults.wrong;
                            outcome.double += faults.double;
                            outcome.missing += faults.missing;
                            let all: u64 = keys.iter().map(KeyRange::len).sum();
                            outcome.in_part += u64::from(counted < all);
                        }
                    }
                }
                // Nothing follows an answer.
                let mut more = [0];
                if stream.as_ref().is_some_and(|s: &TcpStream| matches!(s.try_read(&mut more), Ok(1))) {
                    outcome.wrong += 1;
                }
            }
            Ok(None) => {
                outcome.lost += 1;
                stream = None;
            }
            Err(_) => {
                outcome.late += 1;
                stream = None;
            }
        }
    }
}

/// Sends a request and reads its answer's body into `buffer`; none where the connection ends instead.
async fn ask(
    stream: &mut Option<TcpStream>,
    to: SocketAddr,
    buffer: &mut Vec<u8>,
    request: &[u8],
) -> Option<u16> {
    if stream.is_none() {
        let made = TcpStream::connect(to).await.ok()?;
        made.set_nodelay(true).ok()?;
        *stream = Some(made);
    }
    let on = stream.as_mut()?;
    on.write_all(request).await.ok()?;
    buffer.clear();
    loop {
        if on.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
        let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = std::str::from_utf8(&buffer[..end]).ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
        let length: usize = field("Content-Length: ")?.parse().ok()?;
        let closes = field("Connection: close").is_some();
        while buffer.len() < end + 4 + length {
            if on.read_buf(buffer).await.ok()? == 0 {
                return None;
            }
        }
        buffer.drain(..end + 4);
        if closes {
            *stream = None;
        }
        return Some(status);
    }
}

/// Whether a merged answer has the value of each of its parts, each once, and all of them if it says so.
fn is_right(body: &[u8], shards: &[u32], text: &str) -> bool {
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(body) else { return false };
    let (Some(whole), Some(results)) = (body["whole"].as_bool(), body["results"].as_array()) else {
        return false;
    };
    let mut left: Vec<u32> = shards.to_vec();
    let good = results.iter().all(|part| {
        let shard = part["partition"].as_u64().and_then(|s| u32::try_from(s).ok());
        let at = shard.and_then(|shard| left.iter().position(|l| *l == shard));
        let Some(at) = at else { return false };
        let shard = left.swap_remove(at);
        part["value"].as_str() == Some(&value(text, shard))
    });
    good && (left.is_empty() || !whole) && !results.is_empty()
}
