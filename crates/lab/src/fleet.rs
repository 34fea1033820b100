//! Data nodes on sockets: each listens on a port of its own, many share a thread. They count what came to each, and
//! when a call last did.
use crate::agent::Entry;
use crate::model::{Fault, Job, Make, Node, Verdict};
use crate::{Clock, inventory, value};
use alderway_layouts::KeyRange;
use alderway_layouts::layout::Layout;
use alderway_router::wire::buffer::ReadBuffer;
use alderway_router::wire::frames;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc as orders};
use tokio::task::{LocalSet, spawn_local};

/// What a node has met, for whoever watches from another thread.
#[derive(Default)]
pub struct Met {
    pub parts: AtomicU64,
    pub given_up: AtomicU64,
    pub connections: AtomicU64,
    pub open: AtomicU64,
    /// Microseconds of the laboratory's clock at which a call last came.
    pub last_call: AtomicU64,
    /// Parts of which each was to run once and that came for keys, or with an id, that had run before on any node of
    /// the thread.
    pub again: AtomicU64,
    /// Parts for keys that the node does not hold by its layout.
    pub disowned: AtomicU64,
    /// Most parts that came within a second of its start, its second second and so on, against what a cold node bears:
    /// in thousandths of that.
    pub cold_load: AtomicU64,
}

/// What a node is told.
pub enum Order {
    Fault(Fault),
    /// The layout that it goes by from here on, and its own cell.
    Layout(u32, Layout),
    /// It has just started: it is cold for so many seconds, and bears so many parts a second when it is warm.
    Cold {
        warm_up: f64,
        bears: f64,
    },
}

/// One node as the trial holds it.
pub struct Handle {
    pub name: String,
    pub address: SocketAddr,
    pub met: Arc<Met>,
    orders: orders::UnboundedSender<PendingOrder>,
}

/// An order, and where the node says that it is in force.
struct PendingOrder {
    order: Order,
    in_force: mpsc::Sender<()>,
}

impl Handle {
    /// Returns once the fault is in force: what is sent to the node after that meets it.
    pub fn set(&self, fault: Fault) {
        self.tell(Order::Fault(fault));
    }

    /// Returns once the order is in force. Blocks for as long as the node's thread is busy; not to be called there.
    pub fn tell(&self, order: Order) {
        let (in_force, told) = mpsc::channel();
        if self.orders.send(PendingOrder { order, in_force }).is_ok() {
            // A node that ends drops its end.
            let _ = told.recv();
        }
    }

    pub fn last_call(&self) -> f64 {
        self.met.last_call.load(Relaxed) as f64 / 1e6
    }
}

/// Nodes that run until this is dropped.
pub struct Fleet {
    pub nodes: Vec<Handle>,
    stop: Arc<AtomicBool>,
    wakes: Vec<orders::UnboundedSender<()>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// So many nodes on so many threads; `once` counts parts that run again.
    pub fn start(
        count: usize,
        threads: usize,
        make: &Make,
        seed: u64,
        clock: Clock,
        once: bool,
    ) -> std::io::Result<Fleet> {
        let (stop, threads) = (Arc::new(AtomicBool::new(false)), threads.clamp(1, count.max(1)));
        let mut fleet = Fleet { nodes: vec![], stop, wakes: vec![], threads: vec![] };
        let (sender, ready) = mpsc::channel();
        for thread in 0..threads {
            let (wake, mut woken) = orders::unbounded_channel();
            fleet.wakes.push(wake);
            let (sender, make, stop) = (sender.clone(), make.clone(), fleet.stop.clone());
            let mine: Vec<usize> = (0..count).filter(|n| n % threads == thread).collect();
            fleet.threads.push(std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let Ok(runtime) = runtime else { return };
                LocalSet::new().block_on(&runtime, async {
                    let ran = once.then(Ran::default);
                    for n in mine {
                        let made = listen(n, make.clone(), seed ^ (n as u64) << 32, clock, ran.clone()).await;
                        if sender.send((n, made)).is_err() {
                            return;
                        }
                    }
                    drop(sender);
                    while !stop.load(Relaxed) && woken.recv().await.is_some() {}
                });
            }));
        }
        drop(sender);
        let mut made: BTreeMap<usize, Handle> = BTreeMap::new();
        for (n, handle) in ready.iter().take(count) {
            made.insert(n, handle?);
        }
        fleet.nodes = made.into_values().collect();
        Ok(fleet)
    }
}

impl Fleet {
    /// How discovery names the nodes, each in the cell that its number gives.
    pub fn entries(&self, cell: impl Fn(u32) -> u32) -> Vec<Entry> {
        let entry = |(n, node): (usize, &Handle)| Entry {
            name: node.name.clone(),
            address: node.address,
            cell: cell(n as u32),
            status: "SERVING",
            since_ms: 0,
        };
        self.nodes.iter().enumerate().map(entry).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        for wake in &self.wakes {
            let _ = wake.send(());
        }
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

/// A part that is taken: where its reply goes, its id, its shard, the keys asked for, and the query's text.
type Part = (Rc<Line>, Rc<str>, u32, Option<KeyRange>, Rc<str>);

/// The cold rule as the stand-in counts it: from when, how long, parts a second that a warm one bears, and when parts
/// came within the last second.
struct Cold {
    since: f64,
    warm_up: f64,
    bears: f64,
    came: VecDeque<f64>,
}

/// What has run on the nodes of a thread, by query's text or part's id, where it was to run once.
type Ran = Rc<RefCell<HashMap<String, Vec<KeyRange>>>>;

/// A node and who waits for its replies.
struct Stand {
    node: Node,
    jobs: HashMap<Job, Part>,
    wake: Rc<Notify>,
    layout: Option<(u32, Layout)>,
    cold: Option<Cold>,
}

impl Stand {
    /// By which version the node holds none of some keys; none where it holds all of them.
    fn disowns(&self, keys: KeyRange) -> Option<u64> {
        let (cell, layout) = self.layout.as_ref()?;
        let mut covering = layout.overlapping(keys);
        (!covering.all(|(_, shard)| shard.holders.contains(cell))).then(|| layout.version())
    }

    /// A part has come: what share of what it bears in a second that makes, in thousandths.
    fn weigh(&mut self, now: f64) -> u64 {
        let Some(cold) = self.cold.as_mut().filter(|cold| now < cold.since + cold.warm_up) else { return 0 };
        cold.came.push_back(now);
        while cold.came.front().is_some_and(|at| *at <= now - 1.0) {
            cold.came.pop_front();
        }
        let warmth = 0.2 + 0.8 * (now - cold.since) / cold.warm_up;
        (cold.came.len() as f64 / (cold.bears * warmth) * 1e3) as u64
    }
}

/// One connection: what is to be written, and parts out on it.
#[derive(Default)]
struct Line {
    out: RefCell<Vec<u8>>,
    jobs: RefCell<HashMap<Rc<str>, Job>>,
    wake: Notify,
}

async fn listen(n: usize, make: Make, seed: u64, clock: Clock, ran: Option<Ran>) -> std::io::Result<Handle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (address, met) = (listener.local_addr()?, Arc::new(Met::default()));
    let (orders, mut set) = orders::unbounded_channel();
    let stand = Rc::new(RefCell::new(Stand {
        node: Node::new(make, seed, f64::NEG_INFINITY),
        jobs: HashMap::new(),
        wake: Rc::default(),
        layout: None,
        cold: None,
    }));
    let handle = Handle { name: format!("s-{n}"), address, met: met.clone(), orders };
    let (faulty, replies) = (stand.clone(), stand.clone());
    spawn_local(async move {
        while let Some(PendingOrder { order, in_force }) = set.recv().await {
            let mut stand = faulty.borrow_mut();
            match order {
                Order::Fault(fault) => stand.node.set(fault, clock.now()),
                Order::Layout(cell, layout) => stand.layout = Some((cell, layout)),
                Order::Cold { warm_up, bears } => {
                    stand.cold = Some(Cold { since: clock.now(), warm_up, bears, came: VecDeque::new() });
                }
            }
            stand.wake.notify_one();
            // Whoever told it may have gone.
            let _ = in_force.send(());
        }
    });
    spawn_local(reply(replies, clock));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            met.connections.fetch_add(1, Relaxed);
            met.open.fetch_add(1, Relaxed);
            let (stand, met, ran) = (stand.clone(), met.clone(), ran.clone());
            spawn_local(async move {
                speak(&stand, &met, stream, clock, &ran).await;
                met.open.fetch_sub(1, Relaxed);
            });
        }
    });
    Ok(handle)
}

/// Sends what falls due.
async fn reply(stand: Rc<RefCell<Stand>>, clock: Clock) {
    let wake = stand.borrow().wake.clone();
    loop {
        let due = {
            let mut stand = stand.borrow_mut();
            for job in stand.node.due(clock.now()) {
                let Some((line, id, shard, keys, text)) = stand.jobs.remove(&job) else { continue };
                line.jobs.borrow_mut().remove(&id);
                match keys.filter(|_| stand.layout.is_some()) {
                    Some(keys) => {
                        let report = format!("keys={}-{}", keys.from, keys.to);
                        answer(&line, &id, "done", &report, &inventory::value(&text, keys));
                    }
                    None => answer(&line, &id, "done", "-", &value(&text, shard)),
                }
            }
            stand.node.next()
        };
        match due {
            Some(at) => tokio::select! {
                () = wake.notified() => {}
                () = tokio::time::sleep_until(clock.at(at)) => {}
            },
            None => wake.notified().await,
        }
    }
}

fn answer(line: &Line, id: &str, end: &str, report: &str, value: &str) {
    let text = format!("{id} {end} 17 {report}\n{value}");
    let mut out = line.out.borrow_mut();
    out.extend_from_slice(&(text.len() as u32 + 1).to_be_bytes());
    out.push(b'R');
    out.extend_from_slice(text.as_bytes());
    line.wake.notify_one();
}

async fn speak(stand: &Rc<RefCell<Stand>>, met: &Met, stream: TcpStream, clock: Clock, ran: &Option<Ran>) {
    let (line, mut buffer, mut written) = (Rc::new(Line::default()), ReadBuffer::new(1 << 20), 0);
    loop {
        {
            let mut out = line.out.borrow_mut();
            if written < out.len() {
                match stream.try_write(&out[written..]) {
                    Ok(count) => written += count,
                    Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            if written == out.len() {
                out.clear();
                written = 0;
            }
        }
        let writing = !line.out.borrow().is_empty();
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { break },
            _ = stream.writable(), if writing => continue,
            () = line.wake.notified() => continue,
        }
        match stream.try_read(buffer.unfilled()) {
            Ok(0) => break,
            Ok(count) => buffer.add_filled(count),
            Err(why) if why.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => break,
        }
        let mut reset = false;
        loop {
            let used = match frames::read_frame(buffer.data()) {
                Ok(Some((letter, rest, used))) => {
                    reset |= !take(stand, met, &line, letter, rest, clock.now(), ran);
                    used
                }
                Ok(None) => break,
                Err(_) => {
                    reset = true;
                    break;
                }
            };
            buffer.consume(used);
        }
        if reset {
            let _ = stream.set_zero_linger();
            break;
        }
    }
    let mut stand = stand.borrow_mut();
    for (_, job) in line.jobs.borrow_mut().drain() {
        stand.node.give_up(job);
        stand.jobs.remove(&job);
    }
}

/// One frame; false where the connection is to be reset.
fn take(
    stand: &Rc<RefCell<Stand>>,
    met: &Met,
    line: &Rc<Line>,
    letter: u8,
    rest: &[u8],
    now: f64,
    ran: &Option<Ran>,
) -> bool {
    let mut stand = stand.borrow_mut();
    let Ok(mut rest) = std::str::from_utf8(rest) else { return false };
    if letter == b'C' {
        met.given_up.fetch_add(1, Relaxed);
        if let Some(job) = line.jobs.borrow_mut().remove(rest) {
            stand.node.give_up(job);
            stand.jobs.remove(&job);
        }
        return true;
    }
    while let Some((head, tail)) = rest.split_once('\n') {
        let mut words = head.split(' ');
        let (id, shard) = (words.next().unwrap_or_default(), words.next().and_then(|s| s.parse().ok()));
        let list = words.next().unwrap_or_default();
        let length = words.next().and_then(|l| l.parse().ok()).filter(|&l| l <= tail.len());
        let (Some(shard), Some(length)) = (shard, length) else { return false };
        let (text, next) = tail.split_at(length);
        rest = next;
        met.parts.fetch_add(1, Relaxed);
        met.last_call.store((now * 1e6) as u64, Relaxed);
        let keys = list.split(',').find_map(|word| word.strip_prefix("k=")?.split_once('-'));
        let keys = keys.and_then(|(from, to)| Some(KeyRange::new(from.parse().ok()?, to.parse().ok()?)));
        let load = stand.weigh(now);
        met.cold_load.fetch_max(load, Relaxed);
        if let Some(version) = keys.and_then(|keys| stand.disowns(keys)) {
            met.disowned.fetch_add(1, Relaxed);
            answer(line, id, "full", &format!("moved={version}"), "");
            continue;
        }
        let (job, verdict) = stand.node.call(now);
        if let Some(ran) = ran.as_ref().filter(|_| verdict != Verdict::Full) {
            // By what was asked for, whatever the part is called: a divided part has another name.
            let (what, keys) = keys.map_or((id, KeyRange::new(0, 1)), |keys| (text, keys));
            let mut ran = ran.borrow_mut();
            let before = ran.entry(what.to_string()).or_default();
            if before.iter().any(|ran| ran.overlaps(keys)) {
                met.again.fetch_add(1, Relaxed);
            }
            before.push(keys);
        }
        match verdict {
            Verdict::Taken => {
                let id: Rc<str> = id.into();
                line.jobs.borrow_mut().insert(id.clone(), job);
                stand.jobs.insert(job, (line.clone(), id, shard, keys, text.into()));
            }
            Verdict::Full => answer(line, id, "full", "-", ""),
            Verdict::Reset => return false,
            Verdict::Never => {}
        }
    }
    stand.wake.notify_one();
    true
}
