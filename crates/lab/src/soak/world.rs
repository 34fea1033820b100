//! Plays a scenario in real time: one thread for all stand-ins, and the routers as processes of their own.
use super::discovery::{self, Agent, Entry, List, Status};
use super::ledger::{Ledger, NodeStart};
use super::nodes::Node;
use super::processes::{self, Router};
use super::scenario::{Act, Chance, LinkTrouble, Scenario, StopPlan, StopSignal, Trouble};
use super::{Soak, clients, floods, links};
use crate::Clock;
use crate::program::beside;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// After the routers have ended: clients that wait for an answer all the same come to their end.
const REST: Duration = Duration::from_millis(3000);
/// How often this process's own lag is read.
const BEAT: Duration = Duration::from_millis(5);
/// A removed data node ends so long after it left the list, and its successor comes so much later.
const ENDS: Duration = Duration::from_millis(800);
const SUCCEEDS: Duration = Duration::from_millis(600);
/// Share of data nodes that serve at any time, at the least.
const SERVING: f64 = 0.6;

/// Everything that the stand-ins share.
pub struct World {
    pub scenario: Scenario,
    pub clock: Clock,
    pub ledger: RefCell<Ledger>,
    /// What is drawn as things happen.
    pub chance: RefCell<Chance>,
    pub nodes: Vec<Node>,
    /// By router and data node: the trouble on the way between them, and where the router finds the data node.
    pub links: Vec<Vec<Cell<Option<LinkTrouble>>>>,
    pub faces: Vec<Vec<SocketAddr>>,
    pub agents: Vec<Agent>,
    pub list: List,
    pub folder: PathBuf,
    pub programs: PathBuf,
    routers: Vec<RefCell<Option<Router>>>,
    fronts: Vec<Cell<Option<(SocketAddr, usize)>>>,
    runs: Vec<Cell<usize>>,
    /// The process that signals go to, and its run, until it has ended.
    processes: Vec<Cell<Option<(usize, Pid)>>>,
}

impl World {
    /// The process that a router has now, by its place in the ledger.
    pub fn current_run(&self, router: usize) -> usize {
        self.runs[router].get()
    }

    /// Where clients find a router, as far as the front knows it.
    pub fn front(&self, router: usize) -> Option<(SocketAddr, usize)> {
        self.fronts[router].get()
    }
}

/// Plays a scenario and hands over what passed.
///
/// # Errors
/// A program cannot be started, or a file cannot be written.
pub fn play(soak: &Soak, scenario: &Scenario) -> Result<Ledger, String> {
    let folder = soak.logs.join(format!("seed-{}", scenario.seed));
    fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
    let schedule: Vec<String> = scenario.troubles.iter().map(ToString::to_string).collect();
    let about = format!("{:#?}\n{}\n", scenario.routers, schedule.join("\n"));
    fs::write(folder.join("schedule.txt"), about).map_err(|why| why.to_string())?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|why| why.to_string())?;
    LocalSet::new().block_on(&runtime, act(soak, scenario.clone(), folder))
}

async fn act(soak: &Soak, scenario: Scenario, folder: PathBuf) -> Result<Ledger, String> {
    let world = build(soak, scenario, folder).await?;
    for router in 0..world.scenario.routers.len() {
        world.agents[router].listen(&world, router).await?;
        start(&world, router).await?;
    }
    spawn_local(measure_lag(world.clone()));
    let all_ready = async {
        while (0..world.scenario.routers.len()).any(|router| world.front(router).is_none()) {
            sleep(BEAT).await;
        }
    };
    timeout(Duration::from_secs(20), all_ready).await.map_err(|_| "not all routers are ready in time")?;
    for router in 0..world.scenario.routers.len() {
        for number in 0..soak.clients {
            spawn_local(clients::run(world.clone(), router, number));
        }
        for _ in 0..world.scenario.crowds[router] {
            spawn_local(clients::stay_idle(world.clone(), router));
        }
        spawn_local(watch_for_crashes(world.clone(), router));
    }
    let began = world.clock.now();
    for trouble in world.scenario.troubles.clone() {
        let world = world.clone();
        spawn_local(async move {
            sleep(Duration::from_secs_f64(began + trouble.at - world.clock.now())).await;
            cause(&world, trouble).await;
        });
    }
    let left = world.scenario.seconds - world.clock.now();
    sleep(Duration::from_secs_f64(left.max(0.0))).await;
    stop_all(&world).await;
    sleep(REST).await;
    Ok(world.ledger.take())
}

async fn build(soak: &Soak, scenario: Scenario, folder: PathBuf) -> Result<Rc<World>, String> {
    let (routers, nodes) = (scenario.routers.len(), scenario.nodes);
    let mut listeners = vec![];
    for router in 0..routers {
        for node in 0..nodes {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|why| why.to_string())?;
            listeners.push((router, node, listener));
        }
    }
    let mut faces = vec![vec![]; routers];
    for (router, _, listener) in &listeners {
        faces[*router].push(listener.local_addr().map_err(|why| why.to_string())?);
    }
    let programs = soak.programs.clone().or_else(|| beside("x").parent().map(PathBuf::from));
    let world = Rc::new(World {
        clock: Clock::default(),
        ledger: RefCell::default(),
        chance: RefCell::new(Chance::new(scenario.seed, 12)),
        nodes: (0..nodes).map(|_| Node::default()).collect(),
        links: (0..routers).map(|_| (0..nodes).map(|_| Cell::default()).collect()).collect(),
        faces,
        agents: (0..routers).map(|_| Agent::default()).collect(),
        list: List::new(nodes),
        folder,
        programs: programs.ok_or("no folder of programs")?,
        routers: (0..routers).map(|_| RefCell::default()).collect(),
        fronts: (0..routers).map(|_| Cell::default()).collect(),
        runs: (0..routers).map(|_| Cell::default()).collect(),
        processes: (0..routers).map(|_| Cell::default()).collect(),
        scenario,
    });
    for (router, node, listener) in listeners {
        spawn_local(links::listen(world.clone(), router, node, listener));
    }
    Ok(world)
}

async fn start(world: &Rc<World>, router: usize) -> Result<(), String> {
    let known = discovery::snapshot(world, router);
    let configuration =
        processes::configuration(&world.scenario, router, world.agents[router].address.get(), &known);
    // What the agent has counts as told from the first moment of a process.
    world.runs[router].set(world.ledger.borrow().runs.len());
    let started = Router::start(world, router, &configuration).await?;
    let (address, run) = (started.address, started.run);
    world.processes[router].set(Some((run, started.pid())));
    world.routers[router].replace(Some(started));
    spawn_local(await_ready(world.clone(), router, address, run));
    Ok(())
}

/// The front takes a router in once it is ready.
async fn await_ready(world: Rc<World>, router: usize, address: SocketAddr, run: usize) {
    while world.current_run(router) == run && world.ledger.borrow().runs[run].ended.is_none() {
        if timeout(Duration::from_secs(1), is_up(address)).await.is_ok_and(|up| up) {
            world.ledger.borrow_mut().runs[run].ready = Some(world.clock.now());
            world.fronts[router].set(Some((address, run)));
            return;
        }
        sleep(BEAT).await;
    }
}

async fn is_up(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else { return false };
    if stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").await.is_err() {
        return false;
    }
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text).await;
    text.starts_with("HTTP/1.1 200 ")
}

async fn measure_lag(world: Rc<World>) {
    loop {
        let due = world.clock.now() + BEAT.as_secs_f64();
        sleep(BEAT).await;
        let now = world.clock.now();
        if now - due > 0.01 {
            world.ledger.borrow_mut().lag.push((now, now - due));
        }
    }
}

async fn watch_for_crashes(world: Rc<World>, router: usize) {
    loop {
        sleep(Duration::from_millis(20)).await;
        let Some(mut running) = world.routers[router].take() else { continue };
        running.note_memory(&world);
        if running.notice_crash(&world) {
            running.read_log(&world);
            world.fronts[router].set(None);
            let _ = start(&world, router).await;
        } else {
            world.routers[router].replace(Some(running));
        }
    }
}

/// Ends all routers at about the same time, while their clients go on.
async fn stop_all(world: &Rc<World>) {
    let mut stops = vec![];
    for (router, plan) in world.scenario.last_stops.iter().enumerate() {
        let (world, plan) = (world.clone(), plan.clone());
        stops.push(spawn_local(async move {
            stop(&world, router, Some(plan)).await;
        }));
    }
    for stop in stops {
        let _ = stop.await;
    }
}

/// Ends a router by SIGTERM and what goes with it, or by SIGKILL where there is no plan, and sees its end.
async fn stop(world: &Rc<World>, router: usize, plan: Option<StopPlan>) -> bool {
    if let Some(plan) = &plan {
        signal_before(world, router, plan).await;
    }
    let Some(mut running) = world.routers[router].take() else { return false };
    running.note_memory(world);
    let now = world.clock.now();
    let new_front = world.clone();
    spawn_local(async move {
        // The front goes on with a router that ends for a moment.
        sleep(Duration::from_millis(300)).await;
        new_front.fronts[router].set(None);
    });
    if let Some(plan) = plan {
        world.ledger.borrow_mut().runs[running.run].terminated = Some(now);
        running.signal(Signal::SIGTERM);
        spawn_local(signal_after(world.clone(), router, plan.clone()));
        spawn_local(hold_in_stop(world.clone(), router, plan));
        running.wait(world, world.scenario.stop_limit()).await;
    } else {
        world.ledger.borrow_mut().runs[running.run].killed = Some(now);
        running.signal(Signal::SIGKILL);
        running.wait(world, 1.0).await;
    }
    world.processes[router].set(None);
    // The log's last lines may still be on their way to the file.
    sleep(Duration::from_millis(50)).await;
    running.read_log(world);
    true
}

/// Sends the signals that come before SIGTERM, and waits for the moment of that.
async fn signal_before(world: &Rc<World>, router: usize, plan: &StopPlan) {
    let Some((_, process)) = world.processes[router].get() else { return };
    let mut at = plan.signals.first().map_or(0.0, |signal| signal.at().min(0.0));
    for signal in plan.signals.iter().filter(|signal| signal.at() < 0.0) {
        sleep(Duration::from_secs_f64(signal.at() - at)).await;
        at = signal.at();
        let _ = kill(process, Signal::SIGHUP);
    }
    sleep(Duration::from_secs_f64(-at)).await;
}

/// Sends the signals that come after SIGTERM, as long as the process is there.
async fn signal_after(world: Rc<World>, router: usize, plan: StopPlan) {
    let (process, mut at) = (world.processes[router].get(), 0.0);
    for signal in plan.signals.iter().filter(|signal| signal.at() >= 0.0) {
        sleep(Duration::from_secs_f64(signal.at() - at)).await;
        at = signal.at();
        let Some((_, pid)) = process.filter(|_| world.processes[router].get() == process) else { return };
        let kind = match signal {
            StopSignal::Terminate(_) => Signal::SIGTERM,
            StopSignal::Reload(_) => Signal::SIGHUP,
        };
        let _ = kill(pid, kind);
    }
}

/// Has a process that was told to end stand still for a span that the pages allow: SIGKILL comes no later for it.
async fn hold_in_stop(world: Rc<World>, router: usize, plan: StopPlan) {
    let (Some((at, span)), process) = (plan.hold, world.processes[router].get()) else { return };
    sleep(Duration::from_secs_f64(at)).await;
    let Some((run, pid)) = process.filter(|_| world.processes[router].get() == process) else { return };
    let from = world.clock.now();
    let _ = kill(pid, Signal::SIGSTOP);
    world.ledger.borrow_mut().runs[run].held_in_stop.push((from, from + span));
    sleep(Duration::from_secs_f64(span)).await;
    if world.processes[router].get() == process {
        let _ = kill(pid, Signal::SIGCONT);
    }
}

async fn restart(world: &Rc<World>, router: usize, plan: Option<StopPlan>, pause: f64) {
    if stop(world, router, plan).await {
        sleep(Duration::from_secs_f64(pause.max(0.35))).await;
        if let Err(why) = start(world, router).await {
            eprintln!("{why}");
        }
    }
}

async fn cause(world: &Rc<World>, trouble: Trouble) {
    let lasts = Duration::from_secs_f64(trouble.lasts);
    match trouble.act {
        Act::Node(node, what) => {
            world.nodes[node].trouble.set(Some(what));
            sleep(lasts).await;
            world.nodes[node].trouble.set(None);
        }
        Act::ResetNode(node) => world.nodes[node].reset(),
        Act::Link(router, node, what) => {
            world.links[router][node].set(Some(what));
            sleep(lasts).await;
            world.links[router][node].set(None);
        }
        Act::Discovery(router, what) => {
            world.agents[router].begins(what);
            sleep(lasts).await;
            world.agents[router].ends();
        }
        Act::CutWatch(router, reset) => {
            world.agents[router].cuts.send_modify(|(count, how)| (*count, *how) = (*count + 1, reset));
        }
        Act::Drain(node) => drain(world, node, lasts).await,
        Act::Remove(node) => remove(world, node).await,
        Act::RestartNode(node) => restart_node(world, node),
        Act::Terminate(router) => restart(world, router, Some(trouble.stop), 0.1 * trouble.lasts).await,
        Act::Kill(router) => restart(world, router, None, trouble.lasts).await,
        Act::Hold(router) => hold(world, router, lasts).await,
        Act::Reload(router) => reload(world, router, true).await,
        Act::SpoiltReload(router) => reload(world, router, false).await,
        Act::Flood(router, kind) => {
            if let Some((address, _)) = world.front(router) {
                floods::begin(address, kind, lasts);
            }
        }
    }
}

fn change(world: &Rc<World>, entry: Entry) {
    let entry = world.list.set(entry);
    for router in 0..world.scenario.routers.len() {
        spawn_local(discovery::count_as_told(world.clone(), router, entry.clone()));
    }
}

/// The entry of a data node that serves, where enough others do.
fn may_leave(world: &World, node: usize) -> Option<Entry> {
    let serves = |node: &usize| world.list.of(*node).is_some_and(|entry| entry.status == Status::Serving);
    let cell = world.scenario.cell(node);
    let others = || (0..world.scenario.nodes).filter(|other| *other != node).filter(serves);
    let enough = others().count() as f64 >= SERVING * world.scenario.nodes as f64;
    let held = others().any(|other| world.scenario.cell(other) == cell);
    world.list.of(node).filter(|entry| entry.status == Status::Serving && enough && held)
}

async fn drain(world: &Rc<World>, node: usize, lasts: Duration) {
    let Some(entry) = may_leave(world, node) else { return };
    change(world, Entry { status: Status::Draining, ..entry.clone() });
    sleep(lasts).await;
    leave(world, entry).await;
}

async fn remove(world: &Rc<World>, node: usize) {
    if let Some(entry) = may_leave(world, node) {
        leave(world, entry).await;
    }
}

/// Leaves the list, ends a moment later, and is replaced by another under a new name.
async fn leave(world: &Rc<World>, entry: Entry) {
    let node = entry.node;
    change(world, Entry { status: Status::Deleted, ..entry });
    sleep(ENDS).await;
    world.nodes[node].down.set(true);
    world.nodes[node].reset();
    sleep(SUCCEEDS).await;
    world.nodes[node].down.set(false);
    let generation = world.nodes[node].generation.get() + 1;
    world.nodes[node].generation.set(generation);
    let name = discovery::name(node, generation);
    started(world, Entry { name, node, status: Status::Serving, since_ms: unix_ms(), version: 0 });
}

/// A data node's new process serves.
fn started(world: &Rc<World>, entry: Entry) {
    let start = NodeStart { node: entry.node, at: world.clock.now() };
    world.ledger.borrow_mut().node_starts.push(start);
    change(world, entry);
}

fn restart_node(world: &Rc<World>, node: usize) {
    let Some(entry) = may_leave(world, node) else { return };
    world.nodes[node].reset();
    started(world, Entry { since_ms: unix_ms(), ..entry });
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Stops a process and lets it go on, also where it was told to end meanwhile.
async fn hold(world: &Rc<World>, router: usize, lasts: Duration) {
    let Some((run, process)) = world.processes[router].get() else { return };
    let from = world.clock.now();
    let _ = kill(process, Signal::SIGSTOP);
    world.ledger.borrow_mut().runs[run].held.push((from, from + lasts.as_secs_f64() + 0.05));
    sleep(lasts).await;
    if world.processes[router].get() == Some((run, process)) {
        let _ = kill(process, Signal::SIGCONT);
    }
}

/// A new configuration and SIGHUP: discovery has moved, or the file cannot be read.
async fn reload(world: &Rc<World>, router: usize, sound: bool) {
    let Some(config) = world.routers[router].borrow().as_ref().map(|running| running.config.clone()) else {
        return;
    };
    let text = if sound {
        world.agents[router].moves(world.clock.now());
        if world.agents[router].listen(world, router).await.is_err() {
            return;
        }
        let known = discovery::snapshot(world, router);
        processes::configuration(&world.scenario, router, world.agents[router].address.get(), &known)
    } else {
        "{\"name\": \"half a f".to_string()
    };
    if fs::write(&config, text).is_err() {
        return;
    }
    if let Some((_, process)) = world.processes[router].get() {
        let _ = kill(process, Signal::SIGHUP);
    }
}
