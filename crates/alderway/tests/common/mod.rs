//! What stories over sockets share: a client of a router, and waiting for what its counters say.
#![allow(dead_code)]
pub mod control_cluster;

use alderway_lab::load::{Load, Pace};
use alderway_lab::program::{Program, figures};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn until(program: &Program, what: &str, holds: impl Fn(&BTreeMap<String, u64>) -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds(&program.counters()) {
        assert!(Instant::now() < end, "{what}: {:?}", program.counters());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits for a line of the log. Where a core hangs this is what to wait by: a connection that asks for the counters
/// could come to that core, and wait until the hang is over.
pub fn logged(program: &Program, what: &str) {
    let until = Instant::now() + PATIENCE;
    loop {
        let line = program.log.recv_timeout(until.saturating_duration_since(Instant::now()));
        if line.unwrap_or_else(|_| panic!("no line says `{what}`")).contains(what) {
            return;
        }
    }
}

/// Queries of three parts, so many a second for so many seconds.
pub fn load(rate: f64, span: f64) -> Load {
    Load {
        pace: Pace::Open(rate),
        span,
        threads: 1,
        connections: 64,
        parts: 3,
        shards: 64,
        keys: None,
        vertical: "site-search".into(),
        patience: 2000,
        seed: 5,
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn to(program: &Program) -> Client {
        let stream = TcpStream::connect(program.address).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    pub fn query(&mut self, id: &str, left_ms: u64) {
        self.ask(id, left_ms, r#"{"partition":3,"share":1}"#);
    }

    /// A query for some targets; its text is its id.
    pub fn ask(&mut self, id: &str, left_ms: u64, targets: &str) {
        let body = format!(r#"{{"targets":[{targets}],"query":"{id}"}}"#);
        self.send(&format!(
            "POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: site-search\r\n\
             X-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Has the core of this connection hang or fail at its next beat; a plain request carries the word.
    pub fn fault(&mut self, fault: &str) {
        self.send(&format!("GET /up HTTP/1.1\r\nX-Fault: {fault}\r\n\r\n"));
        assert_eq!(self.answer().0, 200);
    }

    pub fn answer(&mut self) -> (u16, String) {
        let (mut status, mut length, mut line) = (0, 0, String::new());
        loop {
            line.clear();
            self.0.read_line(&mut line).expect("an answer");
            let text = line.trim_end();
            if let Some(rest) = text.strip_prefix("HTTP/1.1 ") {
                status = rest.split(' ').next().and_then(|s| s.parse().ok()).expect("a status");
            } else if let Some(rest) = text.strip_prefix("Content-Length: ") {
                length = rest.parse().expect("a length");
            } else if text.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a body");
        (status, String::from_utf8(body).expect("text"))
    }

    /// The counters, as the core of this connection gives them.
    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        self.send("GET /counters HTTP/1.1\r\n\r\n");
        figures(&self.answer().1)
    }

    /// All that comes until the connection ends.
    pub fn rest(&mut self) -> String {
        let mut bytes = vec![];
        // A reset is an end as well.
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    pub fn up(&mut self) -> u16 {
        self.send("GET /up HTTP/1.1\r\n\r\n");
        self.answer().0
    }
}
