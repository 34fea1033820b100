//! An HTTP client for routers, and functions that wait for counters and log lines of a router.
#![allow(dead_code)]
pub mod control_cluster;

use alderway_lab::load::{Load, Pace};
use alderway_lab::program::{Program, figures};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The longest time that a test waits for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `holds` returns true for the counters of the program. Panics after `TIMEOUT` with the text
/// `what`, which describes the condition.
pub fn wait_until(program: &Program, what: &str, holds: impl Fn(&BTreeMap<String, u64>) -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds(&program.counters()) {
        assert!(Instant::now() < end, "{what}: {:?}", program.counters());
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits for a log line that contains a text. While a core hangs, tests must wait for log lines and not for
/// counters: the connection that requests the counters could be assigned to that core, and would wait until
/// the hang is over.
pub fn wait_for_log(program: &Program, text: &str) {
    let end = Instant::now() + TIMEOUT;
    loop {
        let line = program.log.recv_timeout(end.saturating_duration_since(Instant::now()));
        if line.unwrap_or_else(|_| panic!("no log line contains `{text}`")).contains(text) {
            return;
        }
    }
}

/// A load of `rate` queries per second for `span` seconds; each query has three shard requests.
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

/// An HTTP connection to a router.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(program: &Program) -> Client {
        let stream = TcpStream::connect(program.address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// Sends a query for one shard, with a deadline in `left_ms` milliseconds.
    pub fn send_query(&mut self, id: &str, left_ms: u64) {
        self.send_query_for(id, left_ms, r#"{"partition":3,"share":1}"#);
    }

    /// Sends a query for the given targets, whose text is its id.
    pub fn send_query_for(&mut self, id: &str, left_ms: u64, targets: &str) {
        let body = format!(r#"{{"targets":[{targets}],"query":"{id}"}}"#);
        self.send(&format!(
            "POST /api HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Service-Class: site-search\r\n\
             X-Time-Left-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Makes the core of this connection hang or fail at its next heartbeat, by a header of a readiness
    /// request.
    pub fn inject_fault(&mut self, fault: &str) {
        self.send(&format!("GET /up HTTP/1.1\r\nX-Fault: {fault}\r\n\r\n"));
        assert_eq!(self.read_response().0, 200);
    }

    /// Reads one response: its status and its body.
    pub fn read_response(&mut self) -> (u16, String) {
        let (mut status, mut length, mut line) = (0, 0, String::new());
        loop {
            line.clear();
            self.0.read_line(&mut line).expect("a response");
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

    /// The counters, as read by the core of this connection.
    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        self.send("GET /counters HTTP/1.1\r\n\r\n");
        figures(&self.read_response().1)
    }

    /// Reads until the connection is closed.
    pub fn read_to_end(&mut self) -> String {
        let mut bytes = vec![];
        // A TCP reset also counts as the end of the connection.
        let _ = self.0.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The status of the readiness endpoint.
    pub fn readiness_status(&mut self) -> u16 {
        self.send("GET /up HTTP/1.1\r\n\r\n");
        self.read_response().0
    }
}
