//! Discovery of a soak: one list, and an agent for each router, which tells it and may be in trouble.
use super::ledger::Told;
use super::scenario::DiscoveryTrouble;
use super::world::World;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// The users' protocol: an empty line comes every two seconds while nothing changes.
const BLANK: Duration = Duration::from_secs(2);
/// The users' protocol: the old address closes its open connections so long after a move.
pub const MOVED: Duration = Duration::from_millis(1500);
/// A change counts as told so long after discovery could be reached, and so long after SIGHUP.
const TOLD_BY: f64 = 6.0;
const TOLD_AFTER_HANGUP: f64 = 4.0;
/// Empty lines that discovery sends at once where it floods, and the pause after them.
const FLOOD_LINES: usize = 32 * 1024;
const FLOOD_PAUSE: Duration = Duration::from_millis(1);
const LOOK: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

/// One entry; entries that are deleted stay, for those who ask for changes.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub node: usize,
    pub status: Status,
    pub since_ms: u64,
    pub version: u64,
}

/// The list, and a signal of its version.
pub struct List {
    pub entries: RefCell<Vec<Entry>>,
    pub version: watch::Sender<u64>,
}

impl List {
    pub fn new(nodes: usize) -> List {
        let entry =
            |node| Entry { name: name(node, 0), node, status: Status::Serving, since_ms: 0, version: 1 };
        List { entries: RefCell::new((0..nodes).map(entry).collect()), version: watch::Sender::new(1) }
    }

    /// Changes one entry, or adds it; returns it with its version.
    pub fn set(&self, entry: Entry) -> Entry {
        let version = *self.version.borrow() + 1;
        let mut entries = self.entries.borrow_mut();
        entries.retain(|held| held.name != entry.name);
        let entry = Entry { version, ..entry };
        entries.push(entry.clone());
        drop(entries);
        self.version.send_replace(version);
        entry
    }

    /// The entry that a data node has now.
    pub fn of(&self, node: usize) -> Option<Entry> {
        let entries = self.entries.borrow();
        entries.iter().filter(|entry| entry.node == node).max_by_key(|entry| entry.version).cloned()
    }
}

pub fn name(node: usize, generation: u64) -> String {
    format!("s-{node}-{generation}")
}

/// A router's agent.
pub struct Agent {
    pub address: Cell<SocketAddr>,
    pub trouble: watch::Sender<Option<DiscoveryTrouble>>,
    /// Counts cuts of the open watches: even ones in order, odd ones with a reset.
    pub cuts: watch::Sender<(u64, bool)>,
    accepting: RefCell<Option<JoinHandle<()>>>,
    /// The last SIGHUP that moved it.
    moved: Cell<f64>,
}

impl Default for Agent {
    fn default() -> Agent {
        Agent {
            address: Cell::new(([127, 0, 0, 1], 0).into()),
            trouble: watch::Sender::new(None),
            cuts: watch::Sender::new((0, false)),
            accepting: RefCell::default(),
            moved: Cell::new(f64::NEG_INFINITY),
        }
    }
}

impl Agent {
    /// Listens at a new address. An address before it accepts nothing more and ends what is open a moment later.
    pub async fn listen(&self, world: &Rc<World>, router: usize) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|why| why.to_string())?;
        self.address.set(listener.local_addr().map_err(|why| why.to_string())?);
        let (ends, ended) = watch::channel(());
        let world = world.clone();
        let accepting = spawn_local(async move {
            // Dropped with this task, which ends the watches that it opened.
            let ends = Rc::new(ends);
            while let Ok((stream, _)) = listener.accept().await {
                let (world, ended, ends) = (world.clone(), ended.clone(), ends.clone());
                spawn_local(async move {
                    watch(&world, router, stream, ended).await;
                    drop(ends);
                });
            }
        });
        if let Some(before) = self.accepting.replace(Some(accepting)) {
            before.abort();
        }
        Ok(())
    }

    pub fn moves(&self, now: f64) {
        self.moved.set(now);
    }

    pub fn begins(&self, trouble: DiscoveryTrouble) {
        self.trouble.send_replace(Some(trouble));
    }

    pub fn ends(&self) {
        self.trouble.send_replace(None);
    }
}

fn object(world: &World, router: usize, index: u64, whole: bool, entries: &[Entry]) -> String {
    let text = |entry: &Entry| {
        let status = match entry.status {
            Status::Serving => "SERVING",
            Status::Draining => "DRAINING",
            Status::Deleted => "DELETED",
        };
        let (address, group) = (world.faces[router][entry.node], world.scenario.cell(entry.node));
        format!(
            r#"{{"name":"{}","address":"{address}","zone":"z","type":"m","group":{group},"status":"{status}","weight":1.0,"since_ms":{}}}"#,
            entry.name, entry.since_ms
        )
    };
    let entries: Vec<String> = entries.iter().map(text).collect();
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

/// The whole list as a router gets it.
pub fn snapshot(world: &World, router: usize) -> String {
    let entries = world.list.entries.borrow();
    let here: Vec<Entry> = entries.iter().filter(|entry| entry.status != Status::Deleted).cloned().collect();
    object(world, router, *world.list.version.borrow(), true, &here)
}

fn tell(world: &World, router: usize, entries: &[Entry], at: f64) {
    let run = world.current_run(router);
    let told = |entry: &Entry| Told { run, node: entry.node, leaving: entry.status != Status::Serving, at };
    world.ledger.borrow_mut().told.extend(entries.iter().map(told));
}

async fn say(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}

/// One watch until it ends.
async fn watch(world: &Rc<World>, router: usize, mut stream: TcpStream, mut ended: watch::Receiver<()>) {
    let agent = &world.agents[router];
    let _ = stream.set_nodelay(true);
    if *agent.trouble.borrow() == Some(DiscoveryTrouble::Down) {
        let _ = stream.set_zero_linger();
        return;
    }
    let Some(since) = asked_since(&mut stream).await else { return };
    let mut cuts = agent.cuts.subscribe();
    cuts.mark_unchanged();
    let resets = tokio::select! {
        _ = tell_changes(world, router, &mut stream, since) => false,
        Ok(()) = cuts.changed() => cuts.borrow().1,
        () = down(agent) => true,
        () = async { let _ = ended.changed().await; sleep(MOVED).await } => false,
    };
    if resets {
        let _ = stream.set_zero_linger();
    }
}

async fn down(agent: &Agent) {
    let mut trouble = agent.trouble.subscribe();
    let _ = trouble.wait_for(|trouble| *trouble == Some(DiscoveryTrouble::Down)).await;
}

/// The version in the head of a request for changes.
async fn asked_since(stream: &mut TcpStream) -> Option<u64> {
    let (mut head, mut space) = (Vec::new(), [0; 1024]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut space).await {
            Ok(count @ 1..) => head.extend_from_slice(&space[..count]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).ok()?;
    let since = head.split("since=").nth(1).map_or("", |rest| rest.split([' ', '&']).next().unwrap_or(""));
    Some(since.parse().unwrap_or(0))
}

/// Waits while discovery is in trouble; sends empty lines meanwhile where that is the trouble.
async fn wait_until_well(
    stream: &mut TcpStream,
    trouble: &mut watch::Receiver<Option<DiscoveryTrouble>>,
) -> std::io::Result<()> {
    loop {
        let present = *trouble.borrow_and_update();
        match present {
            None => return Ok(()),
            Some(DiscoveryTrouble::EmptyLines) => {
                say(stream, &"\n".repeat(FLOOD_LINES)).await?;
                sleep(FLOOD_PAUSE).await;
            }
            Some(_) => drop(trouble.changed().await),
        }
    }
}

async fn tell_changes(
    world: &Rc<World>,
    router: usize,
    stream: &mut TcpStream,
    since: u64,
) -> std::io::Result<()> {
    let agent = &world.agents[router];
    let (mut trouble, mut version) = (agent.trouble.subscribe(), world.list.version.subscribe());
    let silent = |trouble: &Option<DiscoveryTrouble>| *trouble == Some(DiscoveryTrouble::Silent);
    let _ = trouble.wait_for(|trouble| !silent(trouble)).await;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    wait_until_well(stream, &mut trouble).await?;
    let whole = since == 0 || world.chance.borrow_mut().happens(0.5);
    let mut held = if whole { 0 } else { since };
    let mut first = true;
    loop {
        let newest = *version.borrow_and_update();
        if newest > held || first {
            let whole = whole && first;
            let entries: Vec<Entry> = {
                let entries = world.list.entries.borrow();
                let named =
                    |entry: &&Entry| entry.version > held && !(whole && entry.status == Status::Deleted);
                entries.iter().filter(named).cloned().collect()
            };
            tell(world, router, &entries, world.clock.now());
            say(stream, &object(world, router, newest, whole, &entries)).await?;
            (held, first) = (newest, false);
        }
        wait_until_well(stream, &mut trouble).await?;
        let next = async {
            tokio::select! {
                _ = version.changed() => false,
                _ = trouble.wait_for(|trouble| *trouble == Some(DiscoveryTrouble::EmptyLines)) => false,
                () = sleep(BLANK) => true,
            }
        };
        if next.await {
            say(stream, "").await?;
        }
        wait_until_well(stream, &mut trouble).await?;
    }
}

/// A change of an entry counts as told to a router, whether or not it arrived, by the page on the standing test.
pub async fn count_as_told(world: Rc<World>, router: usize, entry: Entry) {
    let agent = &world.agents[router];
    let (began, run) = (world.clock.now(), world.current_run(router));
    if agent.trouble.borrow().is_some() {
        while agent.trouble.borrow().is_some() {
            sleep(LOOK).await;
        }
        sleep(Duration::from_secs_f64(TOLD_BY)).await;
    } else {
        let after_move = agent.moved.get() + TOLD_AFTER_HANGUP - began;
        sleep(Duration::from_secs_f64(after_move.clamp(0.0, TOLD_AFTER_HANGUP))).await;
    }
    // A process that has started since was told by its own first moment, and a newer entry by its own change.
    let newest = world.list.of(entry.node).is_some_and(|held| held.version == entry.version);
    if newest && world.current_run(router) == run {
        tell(&world, router, &[entry], world.clock.now());
    }
}
