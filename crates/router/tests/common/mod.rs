//! Stand-ins of clients, data nodes and discovery that speak to the program over loopback.
#![allow(dead_code)] // Each file of stories uses what it needs.
pub mod dispatcher;
pub mod tier;

use alderway_fault_injection::{Plan, inject};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(20);

/// Settings of two verticals, one cell in which every data node holds every shard.
pub fn settings(slo_ms: u64, room: usize) -> String {
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","PromiseUs":{0},"DeadlineUs":5000000,"Effect":"idempotent","Worth":1,
                "LateShare":0.3}}"#,
            slo_ms * 1000
        )
    };
    format!(
        r#"{{"Extra":{{"Cells":1,"Reach":1,"Slices":40,"BundleMax":8,"PerCallWorkUs":57000}},
        "Discovery":"automatic","TickUs":5000,"OverShareWorth":0.1,"Tenants":[],"ReplicasOfMe":2,
        "Limits":{{"MayCancel":true,"ParallelTries":true,"MaxAttempts":3,"MaxOpen":{room},
                  "StreamsPerConn":32,"DialTimeoutUs":250000,"KeepaliveUs":15000000}},
        "Obligations":{{}},"Services":[{},{}]}}"#,
        service("site-search"),
        service("region-report")
    )
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn object(index: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

pub fn soon<T>(events: &Receiver<T>, what: &str) -> T {
    events.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("nothing came: {what}"))
}

/// Stand-ins of data nodes: they hand over every frame with the node and the connection that it came to.
pub struct Nodes {
    pub addresses: Vec<SocketAddr>,
    pub frames: Receiver<Came>,
}

pub struct Came {
    pub node: usize,
    pub letter: char,
    pub text: String,
    pub stream: TcpStream,
}

impl Nodes {
    pub fn new(count: usize) -> Nodes {
        let (sender, frames) = channel();
        let mut addresses = vec![];
        for node in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            let sender = sender.clone();
            thread::spawn(move || {
                while let Ok((stream, _)) = listener.accept() {
                    let sender = sender.clone();
                    thread::spawn(move || Self::listen(node, stream, &sender));
                }
            });
        }
        Nodes { addresses, frames }
    }

    pub fn listen(node: usize, mut stream: TcpStream, sender: &Sender<Came>) {
        let mut length = [0; 4];
        while stream.read_exact(&mut length).is_ok() {
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut frame).expect("a whole frame");
            let text = String::from_utf8(frame[1..].to_vec()).expect("text");
            let (letter, stream) = (char::from(frame[0]), stream.try_clone().expect("a handle"));
            if sender.send(Came { node, letter, text, stream }).is_err() {
                return;
            }
        }
    }

    /// The next frame at any node, of that letter.
    pub fn next(&self, letter: char) -> Came {
        let came = soon(&self.frames, "a frame at a data node");
        assert_eq!(came.letter, letter, "{}", came.text);
        came
    }

    /// Answers every part of the next call; returns its parts and the node.
    pub fn serve(&self) -> (Vec<String>, usize) {
        let mut came = self.next('S');
        let ids = parts(&came.text);
        for id in &ids {
            reply(&mut came.stream, &format!("{id} done 17 -\nvalue of {id}"));
        }
        (ids, came.node)
    }
}

/// The ids of a call's parts, whose text is always `c41e77d0` here.
pub fn parts(call: &str) -> Vec<String> {
    call.split("c41e77d0").filter_map(|part| Some(part.split_once(' ')?.0.to_string())).collect()
}

pub fn reply(stream: &mut TcpStream, text: &str) {
    let mut frame = (text.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(b'R');
    frame.extend_from_slice(text.as_bytes());
    // The router may have closed the connection already.
    let _ = stream.write_all(&frame);
}

/// A stand-in of discovery's agent: tells of every watch as it is asked for, with the connection to write to.
pub struct Agent {
    pub address: SocketAddr,
    pub watches: Receiver<(String, TcpStream)>,
}

impl Agent {
    pub fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, watches) = channel();
        thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let mut line = String::new();
                let mut head = BufReader::new(stream.try_clone().expect("a handle"));
                head.read_line(&mut line).expect("a request");
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                if sender.send((line, stream)).is_err() {
                    return;
                }
            }
        });
        Agent { address, watches }
    }

    pub fn watch(&self) -> (String, TcpStream) {
        soon(&self.watches, "a watch")
    }
}

pub fn tell(watch: &mut TcpStream, line: &str) {
    write!(watch, "{:x}\r\n{line}\n\r\n", line.len() + 1).expect("written");
}

/// A configuration that knows the data nodes from the start.
pub fn configuration(nodes: &[SocketAddr], agent: SocketAddr, settings: &str, limits: &str) -> String {
    let serving = |(i, address): (usize, &SocketAddr)| entry(&format!("s-{i}"), *address, "SERVING");
    let known: Vec<String> = nodes.iter().enumerate().map(serving).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{agent}","seed":"8c1f30d27a5be964",
        "limits":{limits},"known":{},"settings":{settings}}}"#,
        object(41, true, &known)
    )
}

/// The program under test, with its log as it comes.
pub struct Program {
    pub child: Child,
    pub log: Receiver<String>,
    pub address: SocketAddr,
    pub config: PathBuf,
}

impl Program {
    pub fn start(nodes: &[SocketAddr], agent: SocketAddr, settings: &str, limits: &str) -> Program {
        Program::configured(&configuration(nodes, agent, settings, limits))
    }

    pub fn configured(config: &str) -> Program {
        Program::read(spawn(config))
    }

    /// The same with system calls and clocks that fail by a plan.
    pub fn with_faults(nodes: &[SocketAddr], agent: SocketAddr, settings: &str, faults: &str) -> Program {
        let plan = Plan::parse(faults).expect("a plan");
        let config = configuration(nodes, agent, settings, r#"{"sockets":256}"#);
        Program::read(spawn_with(&config, |command| inject(command, &plan).expect("the library")))
    }

    fn read((mut child, path): (Child, PathBuf)) -> Program {
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let first = soon(&log, "the first line of the log");
        let address = first.split("listens at ").nth(1).and_then(|rest| rest.split(": ").next());
        let address = address.and_then(|a| a.parse().ok()).unwrap_or_else(|| panic!("{first}"));
        Program { child, log, address, config: path }
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Client(BufReader::new(stream))
    }

    /// Waits for a line of the log that holds `text`.
    pub fn says(&self, text: &str) -> String {
        loop {
            let line = soon(&self.log, text);
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut client = self.connect();
        client.send("GET /counters HTTP/1.1\r\n\r\n");
        figures(client.answer().1.lines())
    }

    /// Waits for the program's end; returns how it ended and its counters at exit.
    pub fn ends(mut self) -> (ExitStatus, BTreeMap<String, u64>) {
        let status = self.child.wait().expect("it ends");
        let mut lines = vec![];
        while let Ok(line) = self.log.recv_timeout(PATIENCE) {
            lines.push(line);
        }
        (status, figures(lines.iter().map(String::as_str)))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn spawn(config: &str) -> (Child, PathBuf) {
    spawn_with(config, |_| {})
}

pub fn spawn_with(config: &str, prepare: impl FnOnce(&mut Command)) -> (Child, PathBuf) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("alderway-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_alderway-router"));
    let command = command.env("PROXY_CONFIG", &path).stderr(Stdio::piped()).stdin(Stdio::null());
    prepare(command);
    (command.spawn().expect("it starts"), path)
}

pub fn figures<'a>(lines: impl Iterator<Item = &'a str>) -> BTreeMap<String, u64> {
    let figure = |line: &str| {
        let (name, figure) = line.rsplit_once(' ')?;
        Some((name.to_string(), figure.parse().ok()?))
    };
    lines.filter_map(figure).collect()
}

/// The sum of all counters whose name starts so.
pub fn sum(figures: &BTreeMap<String, u64>, start: &str) -> u64 {
    figures.iter().filter(|(name, _)| name.starts_with(start)).map(|(_, figure)| figure).sum()
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    pub fn ask(&mut self, id: &str, shards: &[u32], left_ms: u64) {
        self.send(&post(id, "site-search", shards, left_ms));
    }

    /// The next answer: its head and its body.
    pub fn answer(&mut self) -> (String, String) {
        let (mut head, mut body) = (String::new(), vec![]);
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(self.0.read_line(&mut head).expect("an answer"), 0, "ended after {head:?}");
        }
        let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
        body.resize(length.expect("a length").parse().expect("a number"), 0);
        self.0.read_exact(&mut body).expect("a body");
        (head, String::from_utf8(body).expect("text"))
    }

    pub fn status(&mut self) -> String {
        self.answer().0.split(' ').nth(1).expect("a status").to_string()
    }

    /// Waits for the router to end the connection.
    pub fn ended(mut self) {
        let mut rest = vec![];
        // A reset is an end as well.
        let _ = self.0.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
    }
}

pub fn post(id: &str, vertical: &str, shards: &[u32], left_ms: u64) -> String {
    let share = 1.0 / shards.len() as f64;
    let targets: Vec<String> =
        shards.iter().map(|s| format!(r#"{{"partition":{s},"share":{share},"est_us":9000}}"#)).collect();
    let body = format!(r#"{{"targets":[{}],"query":"c41e77d0"}}"#, targets.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {vertical}\r\n\
         X-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A router over `count` data nodes, with discovery's agent silent but for what a story tells.
pub fn started(count: usize) -> (Program, Nodes, Agent) {
    limited(count, 1000, 180, r#"{"sockets":256}"#)
}

pub fn limited(count: usize, slo_ms: u64, room: usize, limits: &str) -> (Program, Nodes, Agent) {
    let (nodes, agent) = (Nodes::new(count), Agent::new());
    let program = Program::start(&nodes.addresses, agent.address, &settings(slo_ms, room), limits);
    (program, nodes, agent)
}
