//! A router on several cores: this thread follows discovery for all of them, accepts connections and hands them out, watches
//! over the cores, and sees reload and shutdown through. It serves no query itself.
use super::subscribe;
use crate::control::{self, Subscription};
use crate::io::connection_balancer::ConnectionBalancer;
use crate::io::core::{self, CoreSlot, Phase};
use crate::io::core_supervisor::CoreSupervisor;
use crate::io::endpoint_publisher::EndpointPublisher;
use crate::io::{acceptor, arrival, discovery};
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::live_config::LiveConfig;
use crate::lifecycle::reload::{PreviousConfig, reload_at_sighup};
use crate::lifecycle::startup::StartupConfig;
use crate::state::descriptors;
use crate::state::metrics::MetricsSnapshot;
use crate::state::shard_map::{ShardMapConfig, ShardMapView};
use crate::state::shared::{MulticoreConfig, SharedState};
use alderway_cores::crew::{Crew, State};
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

/// Half the grace period of a drain: a thread that has not looked at discovery for so many seconds may have missed one
/// that is due.
const MAX_DISCOVERY_AGE_S: f64 = 1.0;
/// How much longer than until their open queries fail the cores may take, in seconds: for their last answers, and for
/// those to connections that came late.
const CORES_MARGIN_S: f64 = 0.25;

/// Serves until SIGTERM has been seen through.
pub async fn run(
    config: StartupConfig,
    subscription: Option<Subscription>,
    multicore: MulticoreConfig,
    clock: Clock,
) -> io::Result<()> {
    let (terminations, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let previous = PreviousConfig::of(&config);
    let StartupConfig { name, listen, discovery, endpoints, seed, role, shard_map, settings, .. } = config;
    let (connections, admission) = (settings.connections, settings.admission);
    let for_control = if subscription.is_some() { control::DESCRIPTORS } else { 0 };
    let available = config.max_descriptors - for_control;
    let (for_clients, for_nodes) = descriptors::split(available, config.max_memory_bytes, multicore.cores);
    let (shared, inboxes) = SharedState::new(admission.max_open, multicore, MAX_DISCOVERY_AGE_S);
    let max_deadline_limit_s = shard_map.map(|_| admission.max_deadline_s);
    let live_config =
        LiveConfig::new(shared.clone(), role, config.settings_json, settings, max_deadline_limit_s);

    let known = endpoints.nodes.len();
    let checked_map =
        shard_map.map(|map| ShardMapView::new(outliving_requests(map, admission.max_deadline_s)));
    let polls_endpoints = admission.polls_endpoints;
    let publisher = EndpointPublisher::new(clock, polls_endpoints, endpoints, shared.clone(), checked_map);
    let publisher = Rc::new(RefCell::new(publisher));
    let (phase, phase_updates) = watch::channel(Phase::Serving);
    let (reports, received_reports) = mpsc::unbounded_channel();
    let mut restarts = vec![];
    for (core, commands) in inboxes.into_iter().enumerate() {
        let (restart, restart_permits) = mpsc::channel(1);
        restarts.push(restart);
        let slot = CoreSlot {
            core,
            shared: shared.clone(),
            clock,
            connections,
            admission,
            query_classes: config.query_classes.clone(),
            shard_map,
            seed,
            config_updates: live_config.subscribe(),
            for_nodes: for_nodes.clone(),
            commands,
            endpoints: publisher.borrow().subscribe(),
            phase: phase_updates.clone(),
            reports: reports.clone(),
            restart_permits,
        };
        std::thread::Builder::new().name(format!("core {core}")).spawn(move || core::run(slot))?;
    }

    let listener = TcpListener::bind(listen).await?;
    arrival::enable_receive_timestamps(&listener)?;
    let (address, cores) = (listener.local_addr()?, multicore.cores);
    tracing::info!(target: "start", "{name} listens at {address}: {known} data nodes known, {cores} cores");
    let crew = Rc::new(RefCell::new(Crew::new(cores, clock.now())));
    attach(&live_config, &publisher, &crew);
    let (discovery, discovery_address) = watch::channel(discovery);
    let reloadable = subscribe(subscription, &live_config, &name, shared.clone(), clock);
    spawn_local(reload_at_sighup(hangups, previous, discovery, clock, reloadable));
    spawn_local(discovery::run(publisher.clone(), discovery_address));
    let balancer = ConnectionBalancer::new(shared.clone(), crew.clone());
    let close = Rc::new(Notify::new());
    let listening = spawn_local(acceptor::accept_connections(balancer, listener, for_clients, close.clone()));

    let mut supervisor =
        CoreSupervisor::new(shared.clone(), clock, publisher, crew, received_reports, restarts);
    let watched = supervisor.watch(terminations).await;
    if watched.is_ok() {
        let _ = phase.send(Phase::Stopping);
        // Whether a core is still there or not, the shutdown takes no longer than on one core.
        let limit_s = graceful_shutdown::time_limit_s(live_config.max_deadline_s()) + CORES_MARGIN_S;
        let until = clock.now() + limit_s;
        tokio::select! {
            () = graceful_shutdown::listener_closed(close, listening, limit_s) => {}
            () = supervisor.look_on() => {}
        }
        let _ = phase.send(Phase::Closed);
        let left = supervisor.wait_for_shutdown(until).await;
        if left > 0 {
            tracing::error!(target: "stop", "{left} cores did not end in time");
        }
    }
    log::write_unlimited(&metrics_text(&shared));
    watched
}

/// Guards against a shard that this thread has forgotten and a core has not: the cores take over what is checked here, so
/// this thread remembers for longer than a shard request can be open.
fn outliving_requests(map: ShardMapConfig, max_deadline_s: f64) -> ShardMapConfig {
    ShardMapConfig { retired_shard_grace_s: map.retired_shard_grace_s + max_deadline_s + 1.0, ..map }
}

/// Tells the live configuration where to count, and which cores serve.
fn attach(live_config: &LiveConfig, publisher: &Rc<RefCell<EndpointPublisher>>, crew: &Rc<RefCell<Crew>>) {
    let (publisher, crew) = (publisher.clone(), crew.clone());
    let increment = move |name: &'static str| publisher.borrow_mut().counters.increment(name);
    let is_serving =
        move |core| !matches!(crew.borrow().state(core), State::Hung(_) | State::Failed(_) | State::Lost);
    live_config.attach(Box::new(increment), Some(Box::new(is_serving)));
}

fn metrics_text(shared: &Arc<SharedState>) -> String {
    let mut metrics = MetricsSnapshot::default();
    shared.add_other_cores(None, &mut metrics);
    metrics.text()
}
