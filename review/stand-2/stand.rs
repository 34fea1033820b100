//! Small stand-ins for the cases of the second review: discovery's agent, data nodes, clients and processes, as
//! the protocol page describes them. No crates.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a case: what was sent, answered and run, each with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn open() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(path).unwrap_or_else(|error| could_not_run(&format!("record: {error}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// Whether the case is to be played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder with the built programs.
pub fn programs() -> PathBuf {
    std::env::var("PROGRAMS").map_or_else(|_| could_not_run("PROGRAMS is not set"), PathBuf::from)
}

/// A temporary folder of this case, removed with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| could_not_run(&error.to_string()));
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap_or_else(|error| could_not_run(&error.to_string()));
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
    listener.local_addr().unwrap()
}

/// A process of the project. It is killed when this value is dropped, or when this program ends.
pub struct Process {
    child: Child,
    pub name: String,
    pub log: PathBuf,
    record: Record,
}

impl Process {
    /// Starts a program with its standard error in a file. To be called on the main thread.
    pub fn start(
        record: &Record,
        folder: &Folder,
        name: &str,
        program: &str,
        arguments: &[&str],
        environment: &[(&str, &Path)],
    ) -> Process {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let log = folder.0.join(format!("{name}.{}.log", COUNT.fetch_add(1, SeqCst)));
        let file = File::create(&log).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let mut command = Command::new(programs().join(program));
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        for (key, value) in environment {
            command.env(key, value);
        }
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| could_not_run(&format!("{program}: {error}")));
        record.say(&format!("started {name}: {program} {}", arguments.join(" ")));
        Process { child, name: name.into(), log, record: record.clone() }
    }

    pub fn signal(&self, signal: i32) {
        self.record.say(&format!("signal {signal} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the end of the process; its exit code, if it ended in time.
    pub fn wait(&mut self, limit: Duration) -> Option<Option<i32>> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.say(&format!("{} ended: {status}", self.name));
                return Some(status.code());
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log has this text so many times.
    pub fn wait_for_log(&self, text: &str, times: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.log_text().matches(text).count() >= times {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        unsafe { kill(self.child.id() as i32, SIGCONT) };
        self.kill();
    }
}

/// One entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { name, address, group, status, since_ms } = self;
        format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{group},\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{since_ms}}}"
        )
    }
}

pub fn list_object(index: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}", entries.join(","))
}

struct AgentState {
    index: u64,
    list: Vec<Entry>,
    watches: Vec<TcpStream>,
}

/// Discovery's agent: the list, and watches on it.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
}

fn write_chunk(stream: &mut TcpStream, line: &str) -> bool {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok()
}

impl Agent {
    pub fn start(list: Vec<Entry>) -> Agent {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(AgentState { index: 41, list, watches: vec![] }));
        let accepted = state.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let state = accepted.clone();
                thread::spawn(move || Agent::serve(stream, &state));
            }
        });
        let ticking = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_secs(1));
                ticking.lock().unwrap().watches.retain_mut(|watch| write_chunk(watch, ""));
            }
        });
        Agent { address, state }
    }

    fn serve(mut stream: TcpStream, state: &Arc<Mutex<AgentState>>) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut lines = BufReader::new(reader).lines();
        let Some(Ok(first)) = lines.next() else { return };
        while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
        let mut state = state.lock().unwrap();
        let object = list_object(state.index, true, &state.list);
        if first.contains("follow=1") {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head).is_ok() && write_chunk(&mut stream, &object) {
                state.watches.push(stream);
            }
        } else {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{object}", object.len());
        }
    }

    /// Tells every watch these changed entries.
    pub fn change(&self, entries: &[Entry]) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        for entry in entries {
            state.list.retain(|held| held.name != entry.name);
            if entry.status != "DELETED" {
                state.list.push(entry.clone());
            }
        }
        let object = list_object(state.index, false, entries);
        state.watches.retain_mut(|watch| write_chunk(watch, &object));
    }

    /// How many watches are open.
    pub fn watch_count(&self) -> usize {
        self.state.lock().unwrap().watches.len()
    }
}

/// One part of a call, as it came to a data node.
#[derive(Clone, Debug)]
pub struct Part {
    pub node: String,
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
    /// Which part this data node gets, from 1.
    pub number: u64,
}

impl Part {
    /// The value that a data node makes for the part.
    pub fn value(&self) -> String {
        format!("{}-of-{}", self.text, self.shard)
    }
}

/// What a data node does with a part.
#[derive(Clone, Debug)]
pub enum Act {
    /// Runs it, and answers after so many milliseconds.
    Done(u64),
    /// Runs it, and answers that it failed, after so many milliseconds.
    Failed(u64),
    /// Turns it away without running it.
    Full,
    /// Runs it and says nothing.
    Silent,
    /// Runs it, and closes the connection after so many milliseconds.
    Close(u64),
}

/// Parts that data nodes have run, in order.
pub type Runs = Arc<Mutex<Vec<(f64, Part)>>>;

/// A data node.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub runs: Runs,
}

impl Node {
    pub fn start(
        record: &Record,
        name: &str,
        act: impl Fn(&Part) -> Act + Send + Sync + 'static,
    ) -> Node {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let runs = Runs::default();
        let (act, number) = (Arc::new(act), Arc::new(AtomicU64::new(0)));
        let (kept, named, record) = (runs.clone(), name.to_string(), record.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (act, number, runs, name, record) =
                    (act.clone(), number.clone(), kept.clone(), named.clone(), record.clone());
                thread::spawn(move || serve_node(stream, &name, &*act, &number, &runs, &record));
            }
        });
        Node { name: name.into(), address, runs }
    }

    pub fn entry(&self, group: u32) -> Entry {
        Entry { name: self.name.clone(), address: self.address, group, status: "SERVING", since_ms: 0 }
    }
}

fn serve_node(
    mut stream: TcpStream,
    name: &str,
    act: &(dyn Fn(&Part) -> Act + Send + Sync),
    number: &AtomicU64,
    runs: &Runs,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length).is_err() {
            return;
        }
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() || frame.is_empty() {
            return;
        }
        match frame[0] {
            b'S' => {}
            b'C' => {
                record.say(&format!("{name}: given up {}", String::from_utf8_lossy(&frame[1..])));
                continue;
            }
            _ => continue,
        }
        let mut rest = &frame[1..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            let [id, shard, list, length] = fields[..] else { return };
            let length: usize = length.parse().unwrap_or(0);
            let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
            rest = &rest[end + 1 + length..];
            let part = Part {
                node: name.into(),
                id: id.into(),
                shard: shard.parse().unwrap_or(0),
                list: list.into(),
                text,
                number: number.fetch_add(1, SeqCst) + 1,
            };
            let doing = act(&part);
            record.say(&format!("{name}: part {} query {} ({}): {doing:?}", part.id, part.text, part.list));
            if !matches!(doing, Act::Full) {
                runs.lock().unwrap().push((record.now(), part.clone()));
            }
            let Ok(mut stream) = stream.try_clone() else { return };
            thread::spawn(move || answer_part(&mut stream, &part, &doing));
        }
    }
}

fn answer_part(stream: &mut TcpStream, part: &Part, act: &Act) {
    let (end, value, after) = match act {
        Act::Done(ms) => ("done", part.value(), *ms),
        Act::Failed(ms) => ("failed", String::new(), *ms),
        Act::Full => ("full", String::new(), 0),
        Act::Silent => return,
        Act::Close(ms) => {
            thread::sleep(Duration::from_millis(*ms));
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
    };
    thread::sleep(Duration::from_millis(after));
    let score = if end == "done" { "1" } else { "0" };
    let body = format!("R{} {end} {score} -\n{value}", part.id);
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body.as_bytes());
    let _ = stream.write_all(&frame);
}

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// None: the connection ended without a whole answer, or none came in time.
    pub status: Option<u16>,
    pub body: String,
    /// Seconds from the last byte of the request.
    pub after_s: f64,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub time_left_ms: u64,
    pub shards: Vec<u32>,
    pub text: String,
}

impl Request {
    fn bytes(&self) -> Vec<u8> {
        let count = self.shards.len();
        let share = |n: usize| if n + 1 < count { format!("{:.6}", 1.0 / count as f64) } else {
            let others: f64 = (0..n).map(|_| format!("{:.6}", 1.0 / count as f64).parse::<f64>().unwrap()).sum();
            format!("{:.6}", 1.0 - others)
        };
        let targets: Vec<String> = self
            .shards
            .iter()
            .enumerate()
            .map(|(n, shard)| format!("{{\"partition\":{shard},\"share\":{}}}", share(n)))
            .collect();
        let body = format!("{{\"targets\":[{}],\"query\":\"{}\"}}", targets.join(","), self.text);
        format!(
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {}\r\nX-Service-Class: {}\r\n\
             X-Time-Left-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.class,
            self.time_left_ms,
            body.len()
        )
        .into_bytes()
    }
}

/// Sends a request on a connection of its own, and waits up to `patience` for the answer.
pub fn ask(record: &Record, to: SocketAddr, request: &Request, patience: Duration) -> Answer {
    record.say(&format!("client: {request:?}"));
    let started = Instant::now();
    let answer = exchange(to, &request.bytes(), patience);
    let (status, body, sent) = answer.unwrap_or((None, String::new(), started));
    let answer = Answer { status, body, after_s: sent.elapsed().as_secs_f64() };
    record.say(&format!("client: {} is answered {answer:?}", request.id));
    answer
}

fn exchange(
    to: SocketAddr,
    request: &[u8],
    patience: Duration,
) -> Option<(Option<u16>, String, Instant)> {
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).ok()?;
    let sent = Instant::now();
    let (mut bytes, mut buffer) = (vec![], [0; 4096]);
    loop {
        if let Some((status, body)) = parse_response(&bytes) {
            return Some((Some(status), body, sent));
        }
        let left = patience.saturating_sub(sent.elapsed());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Some((None, "no answer in time".into(), sent));
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Some((None, "the connection ended".into(), sent)),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return Some((None, error.to_string(), sent)),
        }
    }
}

fn parse_response(bytes: &[u8]) -> Option<(u16, String)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    })?;
    (body.len() >= length).then(|| (status, body[..length].to_string()))
}

/// An answer to a plain request, as of `/up` or `/counters`.
pub fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    let (status, body, _) = exchange(to, request.as_bytes(), Duration::from_secs(2))?;
    Some((status?, body))
}

/// Waits until `GET /up` says 200.
pub fn wait_until_up(to: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(20);
    while get(to, "/up").is_none_or(|(status, _)| status != 200) {
        if Instant::now() > until {
            could_not_run(&format!("{to} is not ready in time"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// The counters of a router.
pub fn counters(to: SocketAddr) -> BTreeMap<String, u64> {
    let text = get(to, "/counters").map(|(_, body)| body).unwrap_or_default();
    let pair = |line: &str| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_string(), value.parse().ok()?))
    };
    text.lines().filter_map(pair).collect()
}

/// Waits until a counter has at least this value.
pub fn wait_for_counter(to: SocketAddr, name: &str, least: u64) {
    let until = Instant::now() + Duration::from_secs(20);
    while counters(to).get(name).copied().unwrap_or(0) < least {
        if Instant::now() > until {
            could_not_run(&format!("{name} of {to} did not come to {least}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}
