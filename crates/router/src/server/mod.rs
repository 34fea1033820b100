//! Runs the program as its configuration says: a router on one core, which uses this thread only; a router on
//! several cores, which are threads that serve client connections; or a planner, which makes decisions for
//! the routers called forwarders.

mod several_cores;

use crate::control::{self, Subscription};
use crate::gossip::{self, GossipGroup};
use crate::io::{acceptor, arrival, discovery, policy_loop};
use crate::lifecycle::graceful_shutdown;
use crate::lifecycle::live_config::LiveConfig;
use crate::lifecycle::reload::{PreviousConfig, reload_at_sighup};
use crate::lifecycle::startup::{ProgramRole, StartupConfig};
use crate::state::DispatcherHandle;
use crate::state::descriptors::{self, DescriptorPool};
use crate::state::dispatcher::Dispatcher;
use crate::state::query_classes::ConfigGeneration;
use crate::state::shard_map::ShardMapView;
use crate::state::shared::{MulticoreConfig, SharedState};
use crate::tier::forwarder::Forwarder;
use crate::tier::planner_links::{self, ForwarderHandle};
use crate::tier::planner_server;
use alderway_sockets::signals::Signals;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use alderway_telemetry::turns::TaskKind;
use alderway_tier::planner_membership::HeartbeatConfig;
use nix::sys::signal::Signal;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Runs the program until the shutdown after SIGTERM is complete. With a `subscription`, new settings come
/// from control servers, and a reload of the configuration file does not change the settings.
///
/// # Errors
/// A socket, signal handler or thread could not be created, or the policy could not be created.
pub fn serve(
    config: StartupConfig,
    subscription: Option<Subscription>,
    multicore: MulticoreConfig,
    clock: Clock,
) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    if config.role == ProgramRole::Planner {
        local.block_on(&runtime, planner_server::run(config, clock))
    } else if multicore.cores > 1 {
        local.block_on(&runtime, several_cores::run(config, subscription, multicore, clock))
    } else {
        local.block_on(&runtime, run_on_one_core(config, subscription, multicore, clock))
    }
}

async fn run_on_one_core(
    mut config: StartupConfig,
    subscription: Option<Subscription>,
    multicore: MulticoreConfig,
    clock: Clock,
) -> io::Result<()> {
    // Signal handlers are installed before the listener is opened: without a handler, a signal would kill the
    // program.
    let (terminations, hangups) = (Signals::of(Signal::SIGTERM)?, Signals::of(Signal::SIGHUP)?);
    let (client_descriptors, node_descriptors) = split_descriptors(&config, subscription.is_some());
    let shared = SharedState::new(config.settings.admission.max_open, multicore, f64::INFINITY).0;
    let (role, settings) = (config.role.clone(), config.settings.clone());
    let live_config = LiveConfig::new(shared.clone(), role, config.settings_json.clone(), settings, None);
    let previous = PreviousConfig::of(&config);
    let dispatcher = new_dispatcher(&mut config, shared.clone(), &live_config, clock);
    let StartupConfig { name, listen, discovery, seed, role, gossip, .. } = config;

    let listener = TcpListener::bind(listen).await?;
    arrival::enable_receive_timestamps(&listener)?;
    let (address, node_count) = (listener.local_addr()?, dispatcher.endpoints.nodes.len());
    tracing::info!(target: "start", "{name} listens at {address}: {node_count} data nodes known");
    let dispatcher = Rc::new(RefCell::new(dispatcher));

    let forwarder = connect_to_planners(&dispatcher, &role, &name, &node_descriptors, clock);
    if let Some(gossip) = gossip {
        gossip::start(&dispatcher, gossip, &name, planner_server::incarnation()).await?;
    }
    let make_policy = policy_loop::policy_factory(&dispatcher, seed);
    let turn_times = dispatcher.borrow().turn_times.clone();
    let rounds = policy_loop::run(dispatcher.clone(), forwarder, make_policy, node_descriptors);
    let policy_task = spawn_local(turn_times.clone().measure(TaskKind::Policy, rounds));
    spawn_local(wake_on_new_settings(dispatcher.clone(), live_config.subscribe()));
    let counting_dispatcher = dispatcher.clone();
    live_config
        .set_callbacks(Box::new(move |name| counting_dispatcher.borrow_mut().counters.increment(name)), None);
    let (discovery, discovery_address) = watch::channel(discovery);
    spawn_local(
        turn_times.measure(TaskKind::Discovery, discovery::run(dispatcher.clone(), discovery_address)),
    );
    let reloadable = subscribe(subscription, &live_config, &name, shared, clock);
    spawn_local(reload_at_sighup(hangups, previous, discovery, clock, reloadable));

    let close = Rc::default();
    let listening = spawn_local(acceptor::accept_connections(
        dispatcher.clone(),
        listener,
        client_descriptors,
        Rc::clone(&close),
    ));
    // Without the policy task, the router cannot answer any query, so the program exits with an error.
    tokio::select! {
        () = graceful_shutdown::shut_down_at_sigterm(terminations, dispatcher.clone(), close, listening) => {}
        ended = policy_task => return Err(io::Error::other(match ended {
            Ok(Err(reason)) => format!("the policy could not be created: {reason}"),
            _ => "the policy task panicked".into(),
        })),
    }
    log::write_unlimited(&dispatcher.borrow().metrics_text());
    Ok(())
}

/// Starts the subscription to control servers, if there is one. Returns the live configuration to which a
/// reload may apply settings; `None` with a subscription, because the settings of the configuration file
/// would replace the version from the control servers without notice.
fn subscribe(
    subscription: Option<Subscription>,
    live_config: &LiveConfig,
    name: &str,
    shared: Arc<SharedState>,
    clock: Clock,
) -> Option<LiveConfig> {
    let Some(subscription) = subscription else { return Some(live_config.clone()) };
    let apply = control::settings::apply_to_running(live_config.clone());
    control::start(subscription, name, planner_server::incarnation(), apply, shared, clock);
    None
}

/// Splits the file descriptors that gossip and the subscription do not use into a pool for client connections
/// and a pool for connections to data nodes.
fn split_descriptors(
    config: &StartupConfig,
    has_subscription: bool,
) -> (Arc<DescriptorPool>, Arc<DescriptorPool>) {
    let for_gossip = config.gossip.as_ref().map_or(0, GossipGroup::max_descriptors);
    let for_control = if has_subscription { control::SUBSCRIPTION_DESCRIPTORS } else { 0 };
    let available = config.max_descriptors - for_gossip - for_control;
    descriptors::split(available, config.max_memory_bytes, 1)
}

fn new_dispatcher(
    config: &mut StartupConfig,
    shared: Arc<SharedState>,
    live_config: &LiveConfig,
    clock: Clock,
) -> Dispatcher {
    let (connections, admission) = (config.settings.connections, config.settings.admission);
    let classes = config.query_classes.clone();
    let mut dispatcher = Dispatcher::for_core(shared, 0, clock, connections, admission, classes);
    dispatcher.subscribe_config(live_config.subscribe());
    dispatcher.endpoints = std::mem::take(&mut config.endpoints);
    dispatcher.shard_map = config.shard_map.map(ShardMapView::new);
    dispatcher.work_ready.notify_one();
    dispatcher
}

/// Connects a forwarder to its planners; returns `None` for a router that makes its own decisions.
fn connect_to_planners(
    dispatcher: &DispatcherHandle,
    role: &ProgramRole,
    name: &str,
    node_descriptors: &Arc<DescriptorPool>,
    clock: Clock,
) -> Option<ForwarderHandle> {
    let ProgramRole::Forwarder { planners, heartbeat_interval_s, heartbeat_timeout_s } = role else {
        return None;
    };
    let watch = HeartbeatConfig { interval_s: *heartbeat_interval_s, timeout_s: *heartbeat_timeout_s };
    let work_ready = dispatcher.borrow().work_ready.clone();
    let forwarder = Forwarder::new(name, planner_server::incarnation(), watch, clock, work_ready);
    let forwarder = Rc::new(RefCell::new(forwarder));
    dispatcher.borrow_mut().metrics_sources.push(forwarder.clone());
    planner_links::start(dispatcher, &forwarder, planners, node_descriptors, planner_server::incarnation());
    Some(forwarder)
}

/// Wakes the policy task for each change of the settings, because the settings are applied at the next call
/// of the policy.
async fn wake_on_new_settings(
    dispatcher: DispatcherHandle,
    mut updates: watch::Receiver<Arc<ConfigGeneration>>,
) {
    while updates.changed().await.is_ok() {
        dispatcher.borrow().work_ready.notify_one();
    }
}
