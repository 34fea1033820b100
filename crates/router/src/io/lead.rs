//! The lead of several cores: follows discovery for all of them, accepts connections and deals them out, watches
//! over the cores, and sees a reload or a stop through as a program on one core does. It serves no query itself.
use super::acceptor::{self, ConnectionAcceptor};
use super::core::{self, BEAT, Berth, Phase, Report, Told};
use super::{arrival, discovery};
use crate::control::{self, Subscription};
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::live_config::LiveConfig;
use crate::lifecycle::reload::{PreviousConfig, reload_at_sighup};
use crate::lifecycle::startup::StartupConfig;
use crate::state::counters::Counters;
use crate::state::descriptors::{self, DescriptorPermit};
use crate::state::endpoints::EndpointTable;
use crate::state::metrics::MetricsSnapshot;
use crate::state::shard_map::{ShardMapConfig, ShardMapView};
use crate::state::shared::{CoreCommand, MulticoreConfig, SharedState, TransferredConnection};
use crate::tier::post;
use alderway_cores::balance::{Balance, Load};
use alderway_cores::crew::{Change, Crew, State};
use alderway_layouts::history::News;
use alderway_layouts::layout::Faulty;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use nix::sys::signal::Signal;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Between two tries to deal out a connection while no core takes any.
const PAUSE: Duration = Duration::from_millis(10);
/// Half the grace: a lead that has not looked for so long may have missed a drain that is due.
pub const PATIENCE: f64 = 1.0;

/// The list as the lead keeps it for the cores.
struct List {
    clock: Clock,
    follows: bool,
    endpoints: EndpointTable,
    shared: Arc<SharedState>,
    counters: Counters,
    /// Where layouts are followed: nothing is open here, it only checks what the cores take over.
    shard_map: Option<ShardMapView>,
    told: watch::Sender<Told>,
}

impl List {
    /// Shuts the fence first: whoever has not taken in the new list sends nothing new from here on.
    fn publish(&mut self) {
        let number = self.shared.fence.publish();
        let entries = Arc::new(self.endpoints.endpoints());
        let layout =
            self.shard_map.as_ref().and_then(|shard_map| Some(shard_map.history()?.newest().clone()));
        self.told.send_modify(|told| (told.number, told.entries, told.layout) = (number, entries, layout));
        self.endpoints.drop_removed();
    }
}

impl discovery::Follower for List {
    fn clock(&self) -> Clock {
        self.clock
    }
    fn follows(&self) -> bool {
        self.follows
    }
    fn asked(&self) -> Arc<Notify> {
        self.shared.poll_requested.clone()
    }
    fn endpoints(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }
    fn changed(&mut self) {
        self.counters.increment("roster_lists");
        self.publish();
    }
    fn quiet(&mut self, span: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (span * 1e3) as u64);
    }
    fn watch_lost(&mut self, answered: bool) {
        self.counters.increment("discovery_watches_lost");
        if self.follows && answered {
            self.told.send_modify(|told| told.failures += 1);
        }
    }
    fn moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
    fn leads(&self) -> bool {
        true
    }
    fn looked(&mut self, at: f64) {
        self.shared.fence.looked(at);
    }
    fn layout_since(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn layout(&mut self, news: News) -> Result<(), Faulty> {
        let now = self.clock.now();
        let Some(shard_map) = &mut self.shard_map else { return Ok(()) };
        let taken = shard_map.apply(news, now).map(drop);
        shard_map.discard_notifications(now);
        self.counters.increment(if taken.is_ok() { "layouts_taken" } else { "layouts_refused" });
        taken
    }
}

/// Deals connections out to the cores.
struct ConnectionBalancer {
    shared: Arc<SharedState>,
    crew: Rc<RefCell<Crew>>,
    /// Whom the next word to make room goes to.
    next: RefCell<usize>,
}

impl ConnectionAcceptor for Rc<ConnectionBalancer> {
    fn make_room(&self) {
        let mut next = self.next.borrow_mut();
        *next = (*next + 1) % self.shared.cores.len();
        let _ = self.shared.send_command(*next, CoreCommand::CloseLongestIdle);
    }

    async fn accept(&self, stream: TcpStream, held: DescriptorPermit) {
        let Ok(stream) = stream.into_std() else { return };
        let mut order =
            CoreCommand::Serve(TransferredConnection { stream, permit: held, has_sent_request: false });
        loop {
            let core = self.crew.borrow_mut().deal();
            if let Some(core) = core {
                match self.shared.send_command(core, order) {
                    Ok(()) => return,
                    Err(back) => order = back,
                }
            }
            // Guards against clients that are turned away while every core hangs or starts anew.
            // Nobody serves, or all are full: what comes meanwhile waits in the system's queue.
            sleep(PAUSE).await;
        }
    }
}

fn log_change(change: &Change) {
    let Change { core, state, serving } = change;
    match state {
        State::Serving => tracing::info!(target: "cores", "core {core} serves; {serving} serve"),
        State::Starting => tracing::info!(target: "cores", "core {core} starts; {serving} serve"),
        State::Hung(since) => {
            tracing::error!(target: "cores", "core {core} hangs since {since:.3}; {serving} serve")
        }
        State::Failed(_) => tracing::error!(target: "cores", "core {core} failed; {serving} serve"),
        State::Lost => {
            tracing::error!(target: "cores", "core {core} failed too often and stays out; {serving} serve");
        }
    }
}

/// Runs a router on several cores until SIGTERM has been seen through.
pub async fn run(
    config: StartupConfig,
    control: Option<Subscription>,
    sharing: MulticoreConfig,
    clock: Clock,
) -> io::Result<()> {
    let previous = PreviousConfig::of(&config);
    let StartupConfig { name, listen, discovery, endpoints, seed, role, shard_map, .. } = config;
    let (trunk, room, verticals) =
        (config.settings.connections, config.settings.admission, config.query_classes);
    let (terms, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let kept = control.as_ref().map_or(0, |_| control::DESCRIPTORS);
    let (for_clients, for_nodes) =
        descriptors::split(config.max_descriptors - kept, config.max_memory_bytes, sharing.cores);
    let (shared, inboxes) = SharedState::new(room.max_open, sharing, PATIENCE);
    let longest = shard_map.map(|_| room.max_deadline_s);
    let live = LiveConfig::new(shared.clone(), role, config.settings_json, config.settings, longest);
    let (told, roster_told) = watch::channel(Told::default());
    let (phase, phase_told) = watch::channel(Phase::Serving);
    let (reports, mut came) = mpsc::unbounded_channel();
    let follows = room.polls_endpoints;
    let (layouts, counters) = (shard_map, Counters::default());
    // Guards against a shard's number that the lead has forgotten and a core has not: it takes over what the lead has
    // checked, so the lead remembers for longer than a part can be open.
    let longer = |l: ShardMapConfig| ShardMapConfig {
        retired_shard_grace_s: l.retired_shard_grace_s + room.max_deadline_s + 1.0,
        ..l
    };
    let shard_map = layouts.map(|layouts| ShardMapView::new(longer(layouts)));
    let mut list = List { clock, follows, endpoints, shared: shared.clone(), counters, shard_map, told };
    list.publish();
    list.shared.fence.looked(clock.now());
    let known = list.endpoints.nodes.len();
    let list = Rc::new(RefCell::new(list));
    let mut leaves = vec![];
    for (core, orders) in inboxes.into_iter().enumerate() {
        let (leave, again) = mpsc::channel(1);
        let berth = Berth {
            core,
            shared: shared.clone(),
            clock,
            trunk,
            room,
            verticals: verticals.clone(),
            layouts,
            seed,
            settings: live.subscribe(),
            for_nodes: for_nodes.clone(),
            orders,
            endpoints: roster_told.clone(),
            phase: phase_told.clone(),
            reports: reports.clone(),
            again,
        };
        leaves.push(leave);
        let thread = std::thread::Builder::new().name(format!("core {core}"));
        thread.spawn(move || core::run(berth))?;
    }
    let listener = TcpListener::bind(listen).await?;
    arrival::stamp(&listener)?;
    let (at, cores) = (listener.local_addr()?, sharing.cores);
    tracing::info!(target: "start", "{name} listens at {at}: {known} data nodes known, {cores} cores");
    let crew = Rc::new(RefCell::new(Crew::new(cores, clock.now())));
    let (counts, states) = (list.clone(), crew.clone());
    let away =
        move |core| matches!(states.borrow().state(core), State::Hung(_) | State::Failed(_) | State::Lost);
    let counts = Box::new(move |what: &'static str| counts.borrow_mut().counters.increment(what));
    live.attach(counts, Some(Box::new(move |core| !away(core))));
    // Where control machines tell the settings, a file at SIGHUP would undo a version unseen.
    let by_file = control.is_none().then(|| live.clone());
    if let Some(subscription) = control {
        let offer = control::settings::apply_to_running(live.clone());
        control::start(subscription, &name, post::incarnation(), offer, shared.clone(), clock);
    }
    spawn_local(discovery::run(list.clone(), agent_of(discovery, hangups, previous, clock, by_file)));
    let dealer =
        Rc::new(ConnectionBalancer { shared: shared.clone(), crew: crew.clone(), next: RefCell::new(0) });
    let close = Rc::new(Notify::new());
    let listening = spawn_local(acceptor::listen(dealer, listener, for_clients, close.clone()));
    let balance = Balance::new(cores);
    let mut guard =
        Guard { shared: &shared, clock, list: &list, crew: &crew, balance, looked: Cell::new(clock.now()) };
    let watched = guard.watch(&mut came, &leaves, terms).await;
    // Whether a core is still there or not, the stop takes no longer than on one core.
    if watched.is_ok() {
        let _ = phase.send(Phase::Stopping);
        let over = clock.now() + graceful_shutdown::time_limit_s(live.max_deadline_s()) + 0.3;
        tokio::select! {
            () = graceful_shutdown::listener_closed(close, listening) => {}
            () = guard.look_on() => {}
        }
        let _ = phase.send(Phase::Closed);
        let mut left = crew.borrow().count(|state| !matches!(state, State::Failed(_) | State::Lost));
        while left > 0 && clock.now() < over {
            match timeout(Duration::from_secs_f64((over - clock.now()).max(0.0)), came.recv()).await {
                Ok(Some(Report::Ended(_) | Report::Failed(..))) => left -= 1,
                _ => break,
            }
        }
        if left > 0 {
            tracing::error!(target: "stop", "{left} cores did not end in time");
        }
    }
    let mut figures = MetricsSnapshot::default();
    shared.add_other_cores(None, &mut figures);
    log::write_unlimited(&figures.text());
    watched
}

/// Discovery's address, which moves with each SIGHUP.
fn agent_of(
    at: SocketAddr,
    hangups: Signals,
    previous: PreviousConfig,
    clock: Clock,
    live: Option<LiveConfig>,
) -> watch::Receiver<SocketAddr> {
    let (agent, moves) = watch::channel(at);
    spawn_local(async move { reload_at_sighup(hangups, previous, agent, clock, live).await });
    moves
}

/// Watches over the cores.
struct Guard<'a> {
    shared: &'a Arc<SharedState>,
    clock: Clock,
    list: &'a Rc<RefCell<List>>,
    crew: &'a Rc<RefCell<Crew>>,
    balance: Balance,
    /// When the lead last looked at the cores.
    looked: Cell<f64>,
}

impl Guard<'_> {
    /// Until SIGTERM, or until no core is left that will ever serve.
    async fn watch(
        &mut self,
        came: &mut mpsc::UnboundedReceiver<Report>,
        leaves: &[mpsc::Sender<()>],
        mut terms: Signals,
    ) -> io::Result<()> {
        let mut looks = interval(BEAT);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = terms.recv() => return Ok(()),
                Some(report) = came.recv() => {
                    if let Report::Failed(core, why) = report {
                        tracing::error!(target: "failure", "core {core}: {why}");
                        let change = self.crew.borrow_mut().failed(core, self.clock.now());
                        change.iter().for_each(log_change);
                    }
                }
                _ = looks.tick() => {
                    let starts = self.crew.borrow_mut().starts(self.clock.now());
                    for core in starts {
                        let _ = leaves[core].try_send(());
                    }
                    self.look();
                }
            }
            if self.crew.borrow().is_lost() {
                return Err(io::Error::other("every core has failed too often"));
            }
        }
    }

    /// Looks at the cores for as long as connections are dealt out in a stop: one that was silent may beat again.
    async fn look_on(&self) {
        loop {
            sleep(BEAT).await;
            self.see_beats().iter().for_each(log_change);
        }
    }

    /// Takes in how the cores have beaten, and finds those that hang.
    fn see_beats(&self) -> Vec<Change> {
        let (now, mut crew) = (self.clock.now(), self.crew.borrow_mut());
        let mut changes = vec![];
        for (core, core_state) in self.shared.cores.iter().enumerate() {
            let at = core_state.heartbeat_ms.load(Relaxed) as f64 / 1e3;
            changes.extend(crew.beat(core, at, core_state.client_count.load(Relaxed)));
        }
        crew.lead_paused(self.looked.replace(now), now);
        changes.extend(crew.look(now));
        changes
    }

    fn look(&mut self) {
        let changes = self.see_beats();
        let (now, crew) = (self.clock.now(), self.crew.borrow());
        let counters = self.list.borrow().counters.clone();
        self.shared.acceptor_metrics.send_replace(Arc::new(MetricsSnapshot { counters, gauges: vec![] }));
        changes.iter().for_each(log_change);
        self.shared.cores_serving.store(crew.serving(), Relaxed);
        self.shared.cores_hung.store(crew.count(|s| matches!(s, State::Hung(_))), Relaxed);
        self.shared.cores_lost.store(crew.count(|s| matches!(s, State::Failed(_) | State::Lost)), Relaxed);
        let load = |(core, core_state): (usize, &crate::state::shared::CoreState)| Load {
            busy: core_state.busy_permille.load(Relaxed) as f64 / 1e3,
            active: core_state.active_clients.load(Relaxed),
            serving: crew.state(core) == State::Serving,
        };
        let loads: Vec<Load> = self.shared.cores.iter().enumerate().map(load).collect();
        if let Some(going) = self.balance.next(now, &loads) {
            let (from, to, connections) = (going.from, going.to, going.connections);
            tracing::info!(
                target: "balance",
                "core {from} ({:.2} busy) gives {connections} connections to core {to} ({:.2} busy)",
                loads[from].busy,
                loads[to].busy
            );
            let _ = self.shared.send_command(from, CoreCommand::GiveAway { to, connections });
        }
    }
}
