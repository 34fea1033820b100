//! Faults between processes: a relay with a port of its own for each way from one process to another, which holds what
//! passes, delays it, cuts it one way or both, or resets connections, as a story or a schedule says. Bytes are never lost or
//! changed within a connection, as TCP never does: a cut holds them until it is healed or the connection ends. Tests
//! and trials use no other relay. A schedule is a text of one fault a line, and the same seed draws the same one.
use crate::draw;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Chunks that wait on one way of one connection; past that the sender is not read.
const WAITING: usize = 256;

/// What is wrong with one direction of a wire.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Nothing passes; it goes on, in order, once this is over.
    Held,
    /// Everything takes so many seconds longer.
    Delayed(f64),
}

/// Who talks to whom: processes by name.
pub type Ends = (String, String);

struct Wire {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    /// From the one that dials, and back to it.
    faults: [watch::Sender<Fault>; 2],
    /// Counts resets.
    resets: watch::Sender<u64>,
}

/// Wires between any two of some processes; they end when this is dropped.
pub struct Wires {
    wires: BTreeMap<Ends, Wire>,
    _stop: oneshot::Sender<()>,
}

impl Wires {
    /// One for each ordered pair of the names: `(a, b)` carries connections that `a` dials to `b`.
    pub fn between(names: &[String]) -> io::Result<Wires> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (sender, ready) = std::sync::mpsc::channel();
        let mut wires = BTreeMap::new();
        let mut tasks = vec![];
        for (from, to) in names.iter().flat_map(|a| names.iter().map(move |b| (a, b))).filter(|(a, b)| a != b)
        {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let (target, at) = watch::channel(None);
            let (there, ahead) = watch::channel(Fault::None);
            let (back, behind) = watch::channel(Fault::None);
            let (resets, reset) = watch::channel(0);
            let wire = Wire { address: listener.local_addr()?, target, faults: [there, back], resets };
            wires.insert((from.clone(), to.clone()), wire);
            tasks.push((listener, at, [ahead, behind], reset));
        }
        std::thread::spawn(move || {
            let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
            LocalSet::new().block_on(&runtime, async {
                for (listener, target, faults, resets) in tasks {
                    let Ok(listener) = TcpListener::from_std(listener) else { return };
                    spawn_local(serve(listener, target, faults, resets));
                }
                let _ = sender.send(());
                let _ = stopped.await;
            });
        });
        ready.recv().map_err(|_| io::Error::other("the relay did not start"))?;
        Ok(Wires { wires, _stop: stop })
    }

    fn wire(&self, from: &str, to: &str) -> &Wire {
        self.wires.get(&(from.to_string(), to.to_string())).expect("both are named")
    }

    /// Where `from` reaches `to`.
    pub fn address(&self, from: &str, to: &str) -> SocketAddr {
        self.wire(from, to).address
    }

    /// Where a process listens, for all that dial it.
    pub fn lead_to(&self, to: &str, at: SocketAddr) {
        let wires = self.wires.iter().filter(|(ends, _)| ends.1 == to);
        wires.for_each(|(_, wire)| wire.target.send_modify(|target| *target = Some(at)));
    }

    /// What `from` says to `to`, whoever dialled, meets this fault from now on.
    pub fn set(&self, from: &str, to: &str, fault: Fault) {
        self.wire(from, to).faults[0].send_replace(fault);
        self.wire(to, from).faults[1].send_replace(fault);
    }

    /// Ends all connections between two with a reset.
    pub fn reset(&self, one: &str, other: &str) {
        for (from, to) in [(one, other), (other, one)] {
            self.wire(from, to).resets.send_modify(|count| *count += 1);
        }
    }

    /// Holds all that passes between two groups, both ways.
    pub fn part(&self, group: &[&str]) {
        for (from, to) in self.wires.keys() {
            if group.contains(&from.as_str()) != group.contains(&to.as_str()) {
                self.set(from, to, Fault::Held);
            }
        }
    }

    pub fn heal(&self) {
        self.wires.keys().for_each(|(from, to)| self.set(from, to, Fault::None));
    }

    /// One step of a schedule; what is done to processes themselves is the caller's.
    pub fn act(&self, act: &Act) {
        match act {
            Act::Hold(from, to) => self.set(from, to, Fault::Held),
            Act::Delay(from, to, span) => self.set(from, to, Fault::Delayed(*span)),
            Act::Mend(from, to) => self.set(from, to, Fault::None),
            Act::Reset(from, to) => self.reset(from, to),
            Act::Part(group) => self.part(&group.iter().map(String::as_str).collect::<Vec<_>>()),
            Act::Heal => self.heal(),
            Act::Stop(_) | Act::Go(_) | Act::Kill(_) | Act::Start(_) => {}
        }
    }
}

async fn serve(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    faults: [watch::Receiver<Fault>; 2],
    resets: watch::Receiver<u64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let Some(at) = *target.borrow() else { continue };
        let (faults, mut resets) = (faults.clone(), resets.clone());
        resets.mark_unchanged();
        spawn_local(async move {
            let Ok(far) = TcpStream::connect(at).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let [there, back] = faults;
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::select! {
                _ = resets.changed() => {}
                () = async { tokio::join!(pass(near_in, far_out, there), pass(far_in, near_out, back)); } => {}
            }
        });
    }
}

/// One direction: read as it comes, written when it is due.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut fault: watch::Receiver<Fault>) {
    let (sender, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(WAITING);
    let read = async move {
        let mut space = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut space).await {
            if sender.send((Instant::now(), space[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((came, bytes)) = waiting.recv().await {
            loop {
                let now = *fault.borrow_and_update();
                match now {
                    Fault::None => break,
                    Fault::Held => {
                        if fault.changed().await.is_err() {
                            return;
                        }
                    }
                    Fault::Delayed(span) => {
                        let due = came + Duration::from_secs_f64(span);
                        tokio::select! {
                            () = sleep_until(due) => break,
                            changed = fault.changed() => if changed.is_err() { return },
                        }
                    }
                }
            }
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

/// One thing that a schedule does.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Hold(String, String),
    Delay(String, String, f64),
    Mend(String, String),
    Reset(String, String),
    Part(Vec<String>),
    Heal,
    Stop(String),
    Go(String),
    Kill(String),
    Start(String),
}

impl fmt::Display for Act {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Act::Hold(from, to) => write!(out, "hold {from} {to}"),
            Act::Delay(from, to, span) => write!(out, "delay {from} {to} {:.0}", span * 1e3),
            Act::Mend(from, to) => write!(out, "mend {from} {to}"),
            Act::Reset(from, to) => write!(out, "reset {from} {to}"),
            Act::Part(group) => write!(out, "part {}", group.join(" ")),
            Act::Heal => write!(out, "heal"),
            Act::Stop(name) => write!(out, "stop {name}"),
            Act::Go(name) => write!(out, "go {name}"),
            Act::Kill(name) => write!(out, "kill {name}"),
            Act::Start(name) => write!(out, "start {name}"),
        }
    }
}

/// What happens when, in seconds from its begin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<(f64, Act)>);

impl fmt::Display for Schedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|(at, act)| writeln!(out, "{:.0} {act}", at * 1e3))
    }
}

impl Schedule {
    /// Reads one fault a line: milliseconds from the begin, what, to whom. An error names the line.
    pub fn read(text: &str) -> Result<Schedule, String> {
        let mut acts = vec![];
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                acts.push(step(line).map_err(|why| format!("line {}: {why}", n + 1))?);
            }
        }
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(Schedule(acts))
    }

    /// Faults by chance over so many seconds, each over before its end: ways held or delayed, connections reset, groups
    /// parted, processes stopped for a while, or killed and started anew.
    pub fn drawn(seed: u64, names: &[String], span: f64) -> Schedule {
        let mut chance = Pcg32::new(seed, 5);
        let mut acts = vec![];
        let pick = |chance: &mut Pcg32| names[(draw(chance) * names.len() as f64) as usize].clone();
        let mut at = 0.1 * span;
        while at < 0.7 * span && names.len() > 1 {
            let (one, mut other) = (pick(&mut chance), pick(&mut chance));
            while other == one {
                other = pick(&mut chance);
            }
            let lasts = span * (0.05 + 0.2 * draw(&mut chance));
            let ends = at + lasts;
            match (draw(&mut chance) * 6.0) as usize {
                0 => {
                    acts.extend([(at, Act::Hold(one.clone(), other.clone())), (ends, Act::Mend(one, other))])
                }
                1 => {
                    let delay = Act::Delay(one.clone(), other.clone(), 0.05 + lasts * draw(&mut chance));
                    acts.extend([(at, delay), (ends, Act::Mend(one, other))]);
                }
                2 => acts.push((at, Act::Reset(one, other))),
                3 => {
                    let group = names.iter().filter(|_| draw(&mut chance) < 0.5).cloned().collect();
                    acts.extend([(at, Act::Part(group)), (ends, Act::Heal)]);
                }
                4 => acts.extend([(at, Act::Stop(one.clone())), (ends, Act::Go(one))]),
                _ => acts.extend([(at, Act::Kill(one.clone())), (ends, Act::Start(one))]),
            }
            at += span * (0.05 + 0.15 * draw(&mut chance));
        }
        acts.push((0.96 * span, Act::Heal));
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        Schedule(acts)
    }
}

fn step(line: &str) -> Result<(f64, Act), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let [at, what, whom @ ..] = words.as_slice() else { return Err("a time and a fault are wanted".into()) };
    let millis = |text: &str| {
        let value = text.parse::<f64>().ok().filter(|v| (0.0..1e9).contains(v));
        value.map(|v| v / 1e3).ok_or_else(|| format!("`{text}` is no time in milliseconds"))
    };
    let name = |text: &str| text.to_string();
    let at = millis(at)?;
    let act = match (*what, whom) {
        ("hold", [from, to]) => Act::Hold(name(from), name(to)),
        ("delay", [from, to, span]) => Act::Delay(name(from), name(to), millis(span)?),
        ("mend", [from, to]) => Act::Mend(name(from), name(to)),
        ("reset", [from, to]) => Act::Reset(name(from), name(to)),
        ("part", group) => Act::Part(group.iter().map(|n| name(n)).collect()),
        ("heal", []) => Act::Heal,
        ("stop", [whom]) => Act::Stop(name(whom)),
        ("go", [whom]) => Act::Go(name(whom)),
        ("kill", [whom]) => Act::Kill(name(whom)),
        ("start", [whom]) => Act::Start(name(whom)),
        _ => return Err(format!("`{}` is no fault that is known", words[1..].join(" "))),
    };
    Ok((at, act))
}
