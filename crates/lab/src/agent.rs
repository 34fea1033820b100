//! A stand-in of discovery's agent: a list that can change, told to whoever watches it.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn text(&self) -> String {
        let Entry { name, address, cell, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"z","type":"m","group":{cell},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

pub fn object(index: u64, whole: bool, entries: &[Entry]) -> String {
    object_with(index, whole, entries, None)
}

fn object_with(index: u64, whole: bool, entries: &[Entry], layout: Option<&str>) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::text).collect();
    let layout = layout.map_or(String::new(), |text| format!(r#","layout":{text}"#));
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]{layout}}}"#, entries.join(","))
}

enum Word {
    Watch(TcpStream),
    Change(Vec<Entry>),
    /// What watches are told of the layout, and the whole of it for new ones.
    Layout(String, String),
    Line(String),
    Cut,
}

/// Runs until it is dropped.
pub struct Agent {
    pub address: SocketAddr,
    words: Sender<Word>,
    stop: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, (words, came), stop) =
            (listener.local_addr()?, channel(), Arc::new(AtomicBool::new(false)));
        let (accepted, over) = (words.clone(), stop.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if over.load(Relaxed) || accepted.send(Word::Watch(stream)).is_err() {
                    return;
                }
            }
        });
        let bytes = Arc::new(AtomicU64::new(0));
        let written = bytes.clone();
        thread::spawn(move || tell(&came, entries, &written));
        Ok(Agent { address, words, stop, bytes })
    }

    /// Changes the layout, told in discovery's form; every watch is told at once, new ones the whole of it.
    pub fn layout(&self, told: String, whole: String) {
        let _ = self.words.send(Word::Layout(told, whole));
    }

    /// Changes some entries; every watch is told at once.
    pub fn change(&self, entries: Vec<Entry>) {
        let _ = self.words.send(Word::Change(entries));
    }

    /// Tells every watch an object as it stands; the list that is held stays as it was.
    pub fn line(&self, object: String) {
        let _ = self.words.send(Word::Line(object));
    }

    /// Ends every watch: whoever still wants the list asks for it anew.
    pub fn cut(&self) {
        let _ = self.words.send(Word::Cut);
    }

    /// Bytes written to watches so far, of objects and empty lines, with the framing of their chunks.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Relaxed)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// Whole lists to new watches, changes to all, an empty line while nothing changes.
fn tell(came: &Receiver<Word>, mut list: Vec<Entry>, bytes: &AtomicU64) {
    let (mut watches, mut index, mut layout) = (Vec::<TcpStream>::new(), 100u64, None::<String>);
    let chunk = |stream: &mut TcpStream, line: &str| {
        let whole = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        bytes.fetch_add(whole.len() as u64, Relaxed);
        stream.write_all(whole.as_bytes()).is_ok()
    };
    loop {
        match came.recv_timeout(Duration::from_secs(1)) {
            Ok(Word::Watch(mut stream)) => {
                let _ = stream.set_nodelay(true);
                let head = stream.try_clone().map(|s| BufReader::new(s).lines().next());
                let begun = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if head.is_ok()
                    && stream.write_all(begun).is_ok()
                    && chunk(&mut stream, &object_with(index, true, &list, layout.as_deref()))
                {
                    watches.push(stream);
                }
            }
            Ok(Word::Change(entries)) => {
                index += 1;
                for entry in &entries {
                    list.retain(|held| held.name != entry.name);
                    if entry.status != "DELETED" {
                        list.push(entry.clone());
                    }
                }
                let line = object(index, false, &entries);
                watches.retain_mut(|watch| chunk(watch, &line));
            }
            Ok(Word::Layout(told, whole)) => {
                index += 1;
                layout = Some(whole);
                let line = object_with(index, false, &[], Some(&told));
                watches.retain_mut(|watch| chunk(watch, &line));
            }
            Ok(Word::Line(object)) => watches.retain_mut(|watch| chunk(watch, &object)),
            Ok(Word::Cut) => watches.clear(),
            Err(RecvTimeoutError::Timeout) => watches.retain_mut(|watch| chunk(watch, "")),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
