//! Runs a router on several cores, each of which is a thread that serves client connections. The current
//! thread, called the supervising thread, receives endpoint lists from discovery for all cores, accepts
//! client connections and distributes them, supervises the cores, and handles reload and shutdown. The
//! supervising thread serves no query.
use super::subscribe;
use crate::control::{self, Subscription};
use crate::io::connection_balancer::ConnectionBalancer;
use crate::io::core::{self, CoreInputs, ProgramPhase};
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
use alderway_cores::core_table::{CoreStatus, CoreTable};
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

/// Longest time since the supervising thread last checked discovery, in seconds: after this time, a core
/// starts no attempt until the thread has checked again. The value is half the grace period for which a
/// draining data node still answers, so that no attempt starts on a data node of the endpoint list that has
/// stopped meanwhile.
const MAX_DISCOVERY_AGE_S: f64 = 1.0;
/// Time for the cores to shut down after the time limit of open queries, in seconds: to write the last
/// responses, and to reject requests on connections that were assigned during the shutdown.
const CORES_MARGIN_S: f64 = 0.25;

/// Runs the router until the shutdown after SIGTERM is complete.
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
    let for_control = if subscription.is_some() { control::SUBSCRIPTION_DESCRIPTORS } else { 0 };
    let available = config.max_descriptors - for_control;
    let (client_descriptors, node_descriptors) =
        descriptors::split(available, config.max_memory_bytes, multicore.cores);
    let (shared, inboxes) = SharedState::new(admission.max_open, multicore, MAX_DISCOVERY_AGE_S);
    let max_deadline_limit_s = shard_map.map(|_| admission.max_deadline_s);
    let live_config =
        LiveConfig::new(shared.clone(), role, config.settings_json, settings, max_deadline_limit_s);

    let node_count = endpoints.nodes.len();
    let shard_map_view =
        shard_map.map(|map| ShardMapView::new(with_longer_grace(map, admission.max_deadline_s)));
    let polls_endpoints = admission.polls_endpoints;
    let publisher = EndpointPublisher::new(clock, polls_endpoints, endpoints, shared.clone(), shard_map_view);
    let publisher = Rc::new(RefCell::new(publisher));
    let (phase, phase_updates) = watch::channel(ProgramPhase::Serving);
    let (reports, received_reports) = mpsc::unbounded_channel();
    let mut restarts = vec![];
    for (core, commands) in inboxes.into_iter().enumerate() {
        let (restart, restart_permits) = mpsc::channel(1);
        restarts.push(restart);
        let inputs = CoreInputs {
            core,
            shared: shared.clone(),
            clock,
            connections,
            admission,
            query_classes: config.query_classes.clone(),
            shard_map,
            seed,
            config_updates: live_config.subscribe(),
            node_descriptors: node_descriptors.clone(),
            commands,
            endpoints: publisher.borrow().subscribe(),
            phase: phase_updates.clone(),
            reports: reports.clone(),
            restart_permits,
        };
        std::thread::Builder::new().name(format!("core {core}")).spawn(move || core::run(inputs))?;
    }

    let listener = TcpListener::bind(listen).await?;
    arrival::enable_receive_timestamps(&listener)?;
    let (address, cores) = (listener.local_addr()?, multicore.cores);
    tracing::info!(target: "start", "{name} listens at {address}: {node_count} data nodes known, {cores} cores");
    let core_table = Rc::new(RefCell::new(CoreTable::new(cores, clock.now())));
    set_callbacks(&live_config, &publisher, &core_table);
    let (discovery, discovery_address) = watch::channel(discovery);
    let reloadable = subscribe(subscription, &live_config, &name, shared.clone(), clock);
    spawn_local(reload_at_sighup(hangups, previous, discovery, clock, reloadable));
    spawn_local(discovery::run(publisher.clone(), discovery_address));
    let balancer = ConnectionBalancer::new(shared.clone(), core_table.clone());
    let close = Rc::new(Notify::new());
    let listening =
        spawn_local(acceptor::accept_connections(balancer, listener, client_descriptors, close.clone()));

    let mut supervisor =
        CoreSupervisor::new(shared.clone(), clock, publisher, core_table, received_reports, restarts);
    let supervised = supervisor.supervise(terminations).await;
    if supervised.is_ok() {
        let _ = phase.send(ProgramPhase::Stopping);
        // The time limit applies even if a core hangs.
        let limit_s = graceful_shutdown::shutdown_time_limit_s(live_config.max_deadline_s()) + CORES_MARGIN_S;
        let deadline = clock.now() + limit_s;
        tokio::select! {
            () = graceful_shutdown::close_listener(close, listening, limit_s) => {}
            () = supervisor.monitor_heartbeats() => {}
        }
        let _ = phase.send(ProgramPhase::ListenerClosed);
        let running = supervisor.wait_and_count_running(deadline).await;
        if running > 0 {
            tracing::error!(target: "stop", "{running} cores did not shut down in time");
        }
    }
    log::write_unlimited(&metrics_text(&shared));
    supervised
}

/// Extends the grace period of retired shards by the longest query deadline, which limits how long a shard
/// request is open, plus 1 s. A retired shard is one that the newest layout does not contain any more. The
/// supervising thread then keeps a retired shard for longer than any core does. Guards against a layout that
/// passes the supervising thread's check and is then rejected by a core, because only the core still has a
/// shard that the layout uses again.
fn with_longer_grace(map: ShardMapConfig, max_deadline_s: f64) -> ShardMapConfig {
    ShardMapConfig { retired_shard_grace_s: map.retired_shard_grace_s + max_deadline_s + 1.0, ..map }
}

/// Sets the two callbacks of the live configuration: one increments a counter of the supervising thread, the
/// other returns whether the core with a given number serves clients. A core that is starting counts as
/// serving; a core that hangs, has failed or is not restarted any more does not.
fn set_callbacks(
    live_config: &LiveConfig,
    publisher: &Rc<RefCell<EndpointPublisher>>,
    core_table: &Rc<RefCell<CoreTable>>,
) {
    let (publisher, core_table) = (publisher.clone(), core_table.clone());
    let increment = move |name: &'static str| publisher.borrow_mut().counters.increment(name);
    let is_serving = move |core| {
        !matches!(
            core_table.borrow().status(core),
            CoreStatus::Hung(_) | CoreStatus::Failed(_) | CoreStatus::Lost
        )
    };
    live_config.set_callbacks(Box::new(increment), Some(Box::new(is_serving)));
}

fn metrics_text(shared: &Arc<SharedState>) -> String {
    let mut metrics = MetricsSnapshot::default();
    shared.add_other_cores(None, &mut metrics);
    metrics.text()
}
