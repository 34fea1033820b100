//! What the list costs a router that is sent no query: whole lists pushed on its watch or asked for with a new one, changes
//! of one entry, and the forms that it refuses.
use super::Common;
use super::report::{At, Report};
use crate::agent::{Agent, Entry, object};
use crate::program::{Build, Program, Setting, beside};
use crate::trial::spread;
use clap::Args;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const ROLE: &str = "query router";
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines of one kind that a router logs in a row without leaving any out, with one at its start to spare.
const LINES: usize = 15;

#[derive(Args, Clone)]
pub struct Discovery {
    /// Entries of the list
    #[arg(long, value_delimiter = ',', default_values_t = [100, 400, 800, 1600, 3200])]
    entries: Vec<usize>,
    /// Whole lists pushed, and asked for, in each repeat
    #[arg(long, default_value_t = 5, value_parser = clap::builder::RangedU64ValueParser::<usize>::new().range(1..=LINES as u64))]
    lists: usize,
    /// Bytes of an entry in the lists of long names
    #[arg(long, value_delimiter = ',', default_values_t = [500, 700])]
    wide: Vec<usize>,
    /// The program, if not this build's own
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    #[command(flatten)]
    pub common: Common,
}

/// An object by its version.
type Form<'a> = &'a dyn Fn(u64) -> String;

/// Entries that nothing listens at; no query is sent, so none is dialled.
fn entries(count: usize, bytes: usize) -> Vec<Entry> {
    let entry = |n: usize| Entry {
        name: format!("s-{n}"),
        address: SocketAddr::from(([127, 0, 0, 1], 20_000 + n as u16)),
        cell: n as u32,
        status: "SERVING",
        since_ms: 0,
    };
    let widened = |n| {
        let mut entry = entry(n);
        let lacking = bytes.saturating_sub(entry.text().len() + 1);
        entry.name.push_str(&"-".repeat(lacking));
        entry
    };
    (0..count).map(widened).collect()
}

/// The next line of a router's log that says one of these words, and when it came.
fn said(router: &Program, words: &[&str]) -> Result<(String, Instant), String> {
    let until = Instant::now() + PATIENCE;
    loop {
        let line = router.log.recv_timeout(until.saturating_duration_since(Instant::now()));
        let line = line.map_err(|_| format!("the router says nothing of {}", words.join(" or ")))?;
        if words.iter().any(|word| line.contains(word)) {
            return Ok((line, Instant::now()));
        }
    }
}

const TAKEN: &str = "roster: ";
const LOST: &str = "the watch is lost: ";

/// A stand-in that answers every request with the whole list in one body of a stated length, until this is dropped.
fn in_one_body(body: String) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        // Ends with the program: it waits for requests and for nothing else.
        while let Ok((mut stream, _)) = listener.accept() {
            let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
            let _ = lines.find(String::is_empty);
            drop(lines);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
        }
    });
    Ok(address)
}

impl Discovery {
    fn start(&self, discovery: SocketAddr, known: &[Entry], cells: usize) -> Result<Program, String> {
        let build = Build {
            path: self.program.clone().unwrap_or(beside("alderway")),
            operator: Some("cores(count = 1)\n".into()),
        };
        let cells = cells as u32;
        let setting = Setting { cells, shards: cells, ..Setting::default() };
        Program::begin(&build, &setting.configuration(discovery, known))
    }

    pub fn run(&self) -> Result<Report, String> {
        let mut report = Report::default();
        for _ in 0..self.common.repeats {
            for &count in &self.entries {
                self.taken(count, &mut report)?;
            }
            for &count in &self.entries {
                let body = object(100, true, &entries(count, 0));
                let bytes = body.len();
                let address = in_one_body(body).map_err(|why| format!("discovery: {why}"))?;
                self.refused(address, count, "whole, in one body", bytes, &mut report)?;
            }
            let most = self.entries.iter().copied().max().unwrap_or(0);
            for &wide in &self.wide {
                let list = entries(most, wide);
                let bytes = object(100, true, &list).len();
                let agent = Agent::start(list).map_err(|why| format!("discovery: {why}"))?;
                self.refused(agent.address, most, "whole, on a watch", bytes, &mut report)?;
            }
        }
        Ok(report)
    }

    /// Whether a router that starts with one node takes a list: 1 in the row `refused` where it does not.
    fn refused(
        &self,
        discovery: SocketAddr,
        count: usize,
        form: &str,
        bytes: usize,
        report: &mut Report,
    ) -> Result<(), String> {
        let router = self.start(discovery, &entries(1, 0), count)?;
        let (line, _) = said(&router, &[TAKEN, LOST])?;
        let why = line.split(LOST).nth(1).map(|why| why.split(';').next().unwrap_or(why).to_string());
        let at = at(count, form, bytes);
        let figures =
            [("refused", "lists", f64::from(u8::from(why.is_some()))), ("list bytes", "bytes", bytes as f64)];
        let note = why.map_or("taken in".to_string(), |why| format!("refused: {why}"));
        report.add(ROLE, &at, figures, &note, None);
        Ok(())
    }

    /// Lists and changes that a router takes in: time from when one is written to the router's word that it has it,
    /// bytes on the wire, and processor. Each form meets a router of its own.
    fn taken(&self, count: usize, report: &mut Report) -> Result<(), String> {
        let list = entries(count, 0);
        let whole = |index| object(index, true, &list);
        let change = |index: u64| {
            let status = if index.is_multiple_of(2) { "DRAINING" } else { "SERVING" };
            object(index, false, &[Entry { status, ..list[index as usize / 2 % count].clone() }])
        };
        // How many one after the other, and how many at once for the processor's steps of 10 ms.
        let forms: [(&str, usize, u64, Form); 2] = [
            ("whole, pushed", self.lists, 10 * self.lists as u64, &whole),
            ("one change, pushed", LINES, 3000, &change),
        ];
        for (form, times, many, line) in forms {
            let (agent, router) = self.taught(&list)?;
            let (mut took, bytes) = (vec![], agent.bytes());
            for index in 0..times as u64 {
                let line = line(1001 + index);
                let from = Instant::now();
                agent.line(line);
                took.push((said(&router, &[TAKEN])?.1 - from).as_secs_f64() * 1e3);
            }
            let bytes = (agent.bytes() - bytes) as f64 / times as f64;
            // Waited for by the router's own count.
            let lines: Vec<String> = (0..many).map(|index| line(2001 + index)).collect();
            let taken = || router.counters().get("roster_changes").copied().unwrap_or(0);
            let (before, processor, until) = (taken(), router.cpu(), Instant::now() + PATIENCE);
            lines.into_iter().for_each(|line| agent.line(line));
            while taken() < before + many {
                if Instant::now() > until {
                    return Err(format!("{form}: the router has not taken {many} in time"));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            let processor = (router.cpu() - processor) * 1e3 / many as f64;
            let note = format!(
                "{times} one after the other, from the writing to the router's word that it has it; processor over {many} \
                 at once"
            );
            self.row(report, count, form, (took, bytes, processor), &note);
        }
        let (agent, router) = self.taught(&list)?;
        let (mut took, bytes, processor) = (vec![], agent.bytes(), router.cpu());
        for _ in 0..self.lists {
            let from = Instant::now();
            agent.cut();
            took.push((said(&router, &[TAKEN])?.1 - from).as_secs_f64() * 1e3);
        }
        let lists = self.lists as f64;
        let costs = (took, (agent.bytes() - bytes) as f64 / lists, (router.cpu() - processor) * 1e3 / lists);
        let note = format!(
            "{lists} times the watch is ended, to the router's word; with its pause before it asks anew"
        );
        self.row(report, count, "whole, asked for", costs, &note);
        let (memory, most) = router.memory();
        let figures = [("memory", "MiB", memory), ("memory at most", "MiB", most)];
        report.add(ROLE, &at(count, "whole, asked for", 0), figures, "no query was sent", None);
        Ok(())
    }

    /// A router that has taken a whole list in, and who told it.
    fn taught(&self, list: &[Entry]) -> Result<(Agent, Program), String> {
        let agent = Agent::start(list.to_vec()).map_err(|why| format!("discovery: {why}"))?;
        let router = self.start(agent.address, list, list.len())?;
        said(&router, &[TAKEN])?;
        Ok((agent, router))
    }

    fn row(&self, report: &mut Report, count: usize, form: &str, costs: (Vec<f64>, f64, f64), note: &str) {
        let (took, bytes, processor) = costs;
        let figures = [
            ("list in force", "ms", spread(took).1),
            ("list bytes", "bytes", bytes),
            ("list processor", "ms", processor),
        ];
        report.add(ROLE, &at(count, form, 0), figures, note, None);
    }
}

fn at(entries: usize, form: &str, bytes: usize) -> At {
    let mut at = At::from([("entries", json!(entries)), ("form", json!(form))]);
    if bytes > 0 {
        at.insert("bytes", json!(bytes));
    }
    at
}
