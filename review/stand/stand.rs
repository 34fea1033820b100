//! Stand-ins of clients, data nodes and discovery's agent for the review's cases, and the start and end of the
//! project's programs. Standard library only. Every address is a loopback address.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Writes `record.txt`: what was sent, answered and run, each line with the seconds since the test's start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        Record(Arc::new((Mutex::new(File::create(path).expect("record.txt")), Instant::now())))
    }
    pub fn now(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.0.lock().unwrap(), "{:9.3} {text}", self.now());
    }
    /// A line of the verdict, also on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn pause_ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A free loopback port.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------------------------------------- data nodes

/// A part of a call, as a data node received it.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
    /// When the last byte of its frame had come.
    pub at: f64,
    pub node: String,
}

/// What a data node does with a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Answers `done` after so many milliseconds.
    Done(u64),
    /// Answers `failed` after so many milliseconds.
    Failed(u64),
    /// Takes the part and answers nothing.
    Silent,
}

type Decide = Arc<dyn Fn(&Part) -> Deed + Send + Sync>;

/// A data node: answers parts in the frames of the protocol page.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// All parts that it has received.
    pub parts: Arc<Mutex<Vec<Part>>>,
}

/// The value that a data node makes for a part.
pub fn value(text: &str, shard: u32) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes().chain(shard.to_be_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("{hash:016x}")
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

fn read_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).ok()?;
    let letter = *frame.first()?;
    Some((letter, frame[1..].to_vec()))
}

impl Node {
    pub fn start(record: &Record, name: &str, decide: impl Fn(&Part) -> Deed + Send + Sync + 'static) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let parts: Arc<Mutex<Vec<Part>>> = Arc::default();
        let (name_, parts_, record, decide) =
            (name.to_string(), parts.clone(), record.clone(), Arc::new(decide) as Decide);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, parts, record, decide) =
                    (name_.clone(), parts_.clone(), record.clone(), decide.clone());
                spawn(move || serve_node(stream, &name, &parts, &record, &decide));
            }
        });
        Node { name: name.into(), address, parts }
    }
}

fn serve_node(
    mut stream: TcpStream,
    name: &str,
    parts: &Arc<Mutex<Vec<Part>>>,
    record: &Record,
    decide: &Decide,
) {
    let _ = stream.set_nodelay(true);
    let out = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    // Parts that are not answered yet; a part that was given up is dropped.
    let waiting: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let taken = AtomicUsize::new(0);
    while let Some((letter, body)) = read_frame(&mut stream) {
        match letter {
            b'S' => {
                let mut rest = &body[..];
                while let Some(end) = rest.iter().position(|&b| b == b'\n') {
                    let line = String::from_utf8_lossy(&rest[..end]).to_string();
                    let words: Vec<&str> = line.split(' ').collect();
                    let length: usize = words[3].parse().unwrap();
                    let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).to_string();
                    rest = &rest[end + 1 + length..];
                    let part = Part {
                        id: words[0].into(),
                        shard: words[1].parse().unwrap(),
                        list: words[2].into(),
                        text,
                        at: record.now(),
                        node: name.into(),
                    };
                    record.line(&format!("node {name}: call {} {}", part.id, part.list));
                    let deed = decide(&part);
                    parts.lock().unwrap().push(part.clone());
                    let (delay, end) = match deed {
                        Deed::Done(ms) => (ms, "done"),
                        Deed::Failed(ms) => (ms, "failed"),
                        Deed::Silent => continue,
                    };
                    let number = taken.fetch_add(1, SeqCst);
                    waiting.lock().unwrap().insert(part.id.clone(), number);
                    let (out, waiting, record, name) =
                        (out.clone(), waiting.clone(), record.clone(), name.to_string());
                    spawn(move || {
                        pause_ms(delay);
                        let mut waiting = waiting.lock().unwrap();
                        if waiting.get(&part.id) != Some(&number) {
                            return;
                        }
                        waiting.remove(&part.id);
                        drop(waiting);
                        let value = if end == "done" { value(&part.text, part.shard) } else { String::new() };
                        let body = format!("{} {end} 0 -\n{value}", part.id);
                        record.line(&format!("node {name}: answers {} {end} {value}", part.id));
                        let _ = out.lock().unwrap().write_all(&frame(b'R', body.as_bytes()));
                    });
                }
            }
            b'C' => {
                let id = String::from_utf8_lossy(&body).to_string();
                record.line(&format!("node {name}: given up {id}"));
                waiting.lock().unwrap().remove(&id);
            }
            b'H' | b'M' => {
                let _ = out.lock().unwrap().write_all(&frame(letter, b"done"));
            }
            _ => return,
        }
    }
}

// ---------------------------------------------------------------------------------------- discovery's agent

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

#[derive(Default)]
struct AgentState {
    index: u64,
    list: Vec<Entry>,
    /// Changes with the version that made them.
    changes: Vec<(u64, Entry)>,
    /// So many watches that are opened next end before they tell anything.
    ends: usize,
    /// Rises when the open watches are to end.
    era: usize,
}

/// Discovery's agent on the machine of a query router.
#[derive(Clone)]
pub struct Agent {
    pub name: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
    record: Record,
    is_closed: Arc<AtomicBool>,
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

impl Agent {
    pub fn start(record: &Record, name: &'static str, index: u64, list: &[Entry]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = AgentState { index, list: list.to_vec(), ..AgentState::default() };
        let state = Arc::new(Mutex::new(state));
        let agent = Agent { name, address, state, record: record.clone(), is_closed: Arc::default() };
        let serving = agent.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_closed.load(SeqCst) {
                    return;
                }
                let agent = serving.clone();
                spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    /// Tells a change: the entry replaces that of its name, or leaves the list with `DELETED`.
    pub fn tell(&self, entry: Entry) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.list.retain(|old| old.name != entry.name);
        if entry.status != "DELETED" {
            state.list.push(entry.clone());
        }
        self.record.line(&format!("agent {}: version {index}: {} {}", self.name, entry.name, entry.status));
        state.changes.push((index, entry));
        self.record.now()
    }

    /// The open watches end, and so many of the next ones end before they tell anything.
    pub fn end_watches(&self, further: usize) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.ends = further;
        self.record.line(&format!("agent {}: the open watches end, {further} further ones too", self.name));
    }

    pub fn index(&self) -> u64 {
        self.state.lock().unwrap().index
    }

    /// As PROTOCOL has it at a new configuration: accepts no new connection, closes the open ones.
    pub fn close(&self) {
        self.is_closed.store(true, SeqCst);
        self.state.lock().unwrap().era += 1;
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_string();
        let request = head.lines().next().unwrap_or_default().to_string();
        let since = request.split(['?', '&', ' ']).find_map(|word| word.strip_prefix("since=")?.parse().ok());
        let mut told: u64;
        let era;
        let first;
        {
            let mut state = self.state.lock().unwrap();
            if state.ends > 0 {
                state.ends -= 1;
                self.record.line(&format!("agent {}: {request}: ends and tells nothing", self.name));
                return;
            }
            era = state.era;
            told = state.index;
            first = match since {
                // What changed after that version, or else the whole list.
                Some(since) if since <= state.index => {
                    let new: Vec<Entry> =
                        state.changes.iter().filter(|c| c.0 > since).map(|c| c.1.clone()).collect();
                    if since == state.index { None } else { Some(list_json(state.index, false, &new)) }
                }
                _ => Some(list_json(state.index, true, &state.list)),
            };
            let kind = match &first {
                None => "nothing new",
                Some(list) if list.contains("\"snapshot\":true") => "the whole list",
                Some(_) => "changes",
            };
            self.record.line(&format!("agent {}: {request}: {kind}, version {told}", self.name));
        }
        let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        let mut out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
        out += &first.map_or(chunk(""), |first| chunk(&first));
        if stream.write_all(out.as_bytes()).is_err() {
            return;
        }
        let mut quiet = Instant::now();
        loop {
            pause_ms(2);
            let news: Vec<(u64, Entry)> = {
                let state = self.state.lock().unwrap();
                if state.era != era {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                state.changes.iter().filter(|change| change.0 > told).cloned().collect()
            };
            if let Some((index, _)) = news.last() {
                told = *index;
                let entries: Vec<Entry> = news.into_iter().map(|change| change.1).collect();
                if stream.write_all(chunk(&list_json(told, false, &entries)).as_bytes()).is_err() {
                    return;
                }
                quiet = Instant::now();
            } else if quiet.elapsed() > Duration::from_millis(1900) {
                if stream.write_all(chunk("").as_bytes()).is_err() {
                    return;
                }
                quiet = Instant::now();
            }
        }
    }
}

// ------------------------------------------------------------------------------------------------- clients

/// A client's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 where the connection ended without one.
    pub status: u16,
    pub body: String,
    pub sent_at: f64,
    pub at: f64,
}

impl Answer {
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.body.contains("\"whole\":true")
    }
    /// Shards and values in the answer.
    pub fn results(&self) -> Vec<(u32, String)> {
        let mut found = vec![];
        for piece in self.body.split("{\"partition\":").skip(1) {
            let shard: String = piece.chars().take_while(char::is_ascii_digit).collect();
            let value = piece.split("\"value\":\"").nth(1).and_then(|rest| rest.split('"').next());
            found.push((shard.parse().unwrap_or(u32::MAX), value.unwrap_or_default().to_string()));
        }
        found
    }
}

/// A client with one connection, on which it asks one thing at a time.
pub struct Client {
    stream: Option<TcpStream>,
    address: SocketAddr,
    record: Record,
}

impl Client {
    pub fn new(record: &Record, address: SocketAddr) -> Client {
        Client { stream: None, address, record: record.clone() }
    }

    /// Asks, and waits for the answer for the time left and three seconds more.
    pub fn ask(&mut self, id: &str, class: &str, time_left_ms: u64, targets: &[(u32, String)], text: &str) -> Answer {
        let request = request(id, class, time_left_ms, targets, text);
        let body = request.rsplit("\r\n").next().unwrap_or_default();
        let body: String = body.chars().take(400).collect();
        self.record.line(&format!("client: asks {id} {class} {time_left_ms} ms {body}"));
        let sent_at = self.record.now();
        let mut answer = self.exchange(&request, time_left_ms);
        if answer.is_none() && self.stream.is_some() {
            // The close of a resting connection crossed the request: it is sent once more on a new one.
            self.stream = None;
            answer = self.exchange(&request, time_left_ms);
        }
        let (status, body) = answer.unwrap_or((0, String::new()));
        if status == 0 {
            self.stream = None;
        }
        let answer = Answer { status, body, sent_at, at: self.record.now() };
        self.record.line(&format!("client: {id} got {} {}", answer.status, answer.body.trim()));
        answer
    }

    fn exchange(&mut self, request: &str, time_left_ms: u64) -> Option<(u16, String)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.set_read_timeout(Some(Duration::from_millis(time_left_ms + 3000))).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        read_answer(stream)
    }
}

fn read_answer(stream: &mut TcpStream) -> Option<(u16, String)> {
    read_next_answer(stream, &mut Vec::new())
}

/// The text of a query's request.
pub fn request(id: &str, class: &str, time_left_ms: u64, targets: &[(u32, String)], text: &str) -> String {
    let targets: Vec<String> =
        targets.iter().map(|(shard, share)| format!("{{\"partition\":{shard},\"share\":{share}}}")).collect();
    let body = format!("{{\"targets\":[{}],\"query\":\"{text}\"}}", targets.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads an answer; `bytes` has what came before, and keeps what came behind it.
pub fn read_next_answer(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(u16, String)> {
    let mut buffer = [0; 65536];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            })?;
            if bytes.len() >= end + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).to_string();
                bytes.drain(..end + 4 + length);
                return Some((status, body));
            }
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// `GET path`: the status and the body; status 0 where nothing came.
pub fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let answer = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
        read_answer(&mut stream)
    };
    answer().unwrap_or((0, String::new()))
}

// ------------------------------------------------------------------------------------ the project's programs

/// A program of the project, ended with its process id when this is dropped.
pub struct Program {
    child: Child,
    pub name: String,
    record: Record,
}

impl Program {
    /// Starts `command` by `/bin/sh -c` from the root of the repository, as the deploy file has it.
    pub fn start(record: &Record, folder: &Path, name: &str, command: &str, config: &str) -> Program {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(command)
            .current_dir(root())
            .env("PROXY_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        // PR_SET_PDEATHSIG, SIGKILL: the program ends with the test, whatever ends the test.
        let ends_with_the_test = || {
            unsafe { prctl(1, 9, 0, 0, 0) };
            Ok(())
        };
        unsafe { shell.pre_exec(ends_with_the_test) };
        let child = shell
            .spawn()
            .unwrap_or_else(|why| cannot_run(record, &format!("{command}: {why}")));
        record.line(&format!("program {name} started: {command}"));
        Program { child, name: name.into(), record: record.clone() }
    }

    /// SIGHUP, as the platform sends it after it has replaced the configuration file.
    pub fn hang_up(&self) {
        self.record.line(&format!("program {}: SIGHUP", self.name));
        unsafe { kill(self.child.id() as i32, 1) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("program {}: killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The root of the repository, given by `run.sh`.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT").into()
}

/// The temporary folder of this run, made by `run.sh` and removed by it.
pub fn folder() -> PathBuf {
    std::env::var("REVIEW_FOLDER").expect("REVIEW_FOLDER").into()
}

/// Whether the run is to have its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(&format!("the case could not run: {why}"));
    std::panic::panic_any(CannotRun);
}

struct CannotRun;

/// Runs a case, and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. All
/// programs that it started have ended by then.
pub fn run_case(case: impl FnOnce(&Record, &Path) -> bool + std::panic::UnwindSafe) -> std::process::ExitCode {
    let record = Record::new(Path::new(&std::env::var("REVIEW_RECORD").expect("REVIEW_RECORD")));
    let folder = folder();
    record.say(if has_trouble() { "with the disruption" } else { "without the disruption" });
    let broken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record, &folder)));
    match broken {
        Ok(true) => {
            record.say("the rule was broken");
            std::process::ExitCode::from(1)
        }
        Ok(false) => {
            record.say("the rule held");
            std::process::ExitCode::from(0)
        }
        Err(_) => std::process::ExitCode::from(2),
    }
}

/// Waits until `GET /up` answers 200.
pub fn wait_up(record: &Record, address: SocketAddr) {
    for _ in 0..200 {
        if get(address, "/up").0 == 200 {
            return record.line(&format!("{address}: /up answers 200"));
        }
        pause_ms(50);
    }
    cannot_run(record, &format!("{address} is not up after 10 s"));
}
