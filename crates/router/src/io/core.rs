//! One core of a router on several cores: a thread with its own runtime, dispatcher, policy and client connections. It
//! executes the commands of the supervising thread and processes the observations of other cores. If its policy or one of
//! its tasks fails, its open queries fail, and it reports the failure to the supervising thread, which restarts it.
use super::acceptor::{self, ConnectionAcceptor};
use super::endpoint_publisher::EndpointSnapshot;
use super::policy_loop;
use crate::lifecycle::graceful_shutdown;
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use crate::state::dispatcher::{Dispatcher, Handover};
use crate::state::query_classes::{ClassRules, ConfigGeneration};
use crate::state::shard_map::{ShardMapConfig, ShardMapView};
use crate::state::shared::{CoreCommand, ObservationMessage, SharedState};
use alderway_cores::board::Board;
use alderway_deployment::{AdmissionConfig, ConnectionConfig};
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use nix::time::{ClockId, clock_gettime};
use std::cell::RefCell;
use std::ops::ControlFlow;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::broadcast::{Receiver as ObservationReceiver, error::RecvError};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// How often a core publishes its state and its heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// ProgramPhase of the program, as the supervising thread announces it to the cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgramPhase {
    /// Requests are served.
    Serving,
    /// SIGTERM was received, and the listener is still open.
    Stopping,
    /// The listener is closed: no new client connection arrives.
    ListenerClosed,
}

/// A message of a core to the supervising thread.
pub enum CoreReport {
    /// The core with this number failed, for this reason.
    Failed(usize, String),
    /// The core with this number has shut down.
    Ended(usize),
}

/// The inputs with which a core starts, at first and after each failure.
pub struct CoreInputs {
    /// The number of the core.
    pub core: usize,
    pub shared: Arc<SharedState>,
    pub clock: Clock,
    pub connections: ConnectionConfig,
    pub admission: AdmissionConfig,
    pub query_classes: Vec<ClassRules>,
    pub shard_map: Option<ShardMapConfig>,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// The settings; the newest are in force.
    pub config_updates: watch::Receiver<Arc<ConfigGeneration>>,
    /// Descriptors for connections to data nodes.
    pub node_descriptors: Arc<DescriptorPool>,
    pub commands: mpsc::Receiver<CoreCommand>,
    pub endpoints: watch::Receiver<EndpointSnapshot>,
    pub phase: watch::Receiver<ProgramPhase>,
    pub reports: mpsc::UnboundedSender<CoreReport>,
    /// Each message lets the core start again after a failure.
    pub restart_permits: mpsc::Receiver<()>,
}

/// Runs a core until the program stops, and restarts it after each failure.
pub fn run(mut inputs: CoreInputs) {
    log::set_thread_core(inputs.core);
    let mut remote_observations = inputs.shared.subscribe_observations();
    let mut observation_cache = Board::default();
    loop {
        let reason = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                match run_until_failure(&runtime, &mut inputs, &mut remote_observations, &mut observation_cache)
                {
                    Ok(()) => break,
                    Err(reason) => reason,
                }
            }
            Err(error) => format!("the runtime could not be created ({error})"),
        };
        if inputs.reports.send(CoreReport::Failed(inputs.core, reason)).is_err()
            || inputs.restart_permits.blocking_recv().is_none()
        {
            return;
        }
    }
    let _ = inputs.reports.send(CoreReport::Ended(inputs.core));
}

/// Runs a core with a new dispatcher until the program ends, or until a failure, after which the open queries are
/// answered. Returns the reason of the failure. The counters and the observations of other cores are kept for the
/// next start.
fn run_until_failure(
    runtime: &Runtime,
    inputs: &mut CoreInputs,
    remote_observations: &mut Option<ObservationReceiver<ObservationMessage>>,
    observation_cache: &mut Board,
) -> Result<(), String> {
    let local = LocalSet::new();
    let (shared, core) = (inputs.shared.clone(), inputs.core);
    let mut dispatcher = Dispatcher::for_core(
        shared,
        core,
        inputs.clock,
        inputs.connections,
        inputs.admission,
        inputs.query_classes.clone(),
    );
    dispatcher.counters = inputs.shared.cores[core].metrics.borrow().counters.clone();
    dispatcher.observations = std::mem::take(observation_cache);
    dispatcher.shard_map = inputs.shard_map.map(ShardMapView::new);
    dispatcher.subscribe_config(inputs.config_updates.clone());
    let dispatcher = Rc::new(RefCell::new(dispatcher));
    let served = catch_unwind(AssertUnwindSafe(|| {
        local.block_on(runtime, serve(&dispatcher, inputs, remote_observations))
    }));
    let reason = match served {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(reason)) => reason,
        Err(_) => "the main task panicked".into(),
    };
    // Guards against clients that never get an answer: every open query of this core gets its final answer, unless the
    // dispatcher itself panics.
    let answered = catch_unwind(AssertUnwindSafe(|| {
        dispatcher.borrow_mut().counters.increment("core_failures");
        local.block_on(runtime, graceful_shutdown::fail_queries_and_disconnect(&dispatcher));
        publish_state(&dispatcher, inputs, None);
        *observation_cache = std::mem::take(&mut dispatcher.borrow_mut().observations);
    }));
    // Ends the remaining tasks with their connections and queries, and releases what these hold of the shared state.
    let _ = catch_unwind(AssertUnwindSafe(|| drop(local)));
    Err(if answered.is_ok() { reason } else { format!("{reason}; its open queries could not be answered") })
}

/// Weight of the latest measurement in the moving average of [`CpuUsage`].
const CPU_USAGE_WEIGHT: f64 = 0.2;

/// The fraction of time that this thread uses its CPU, as an exponential moving average over heartbeats.
struct CpuUsage {
    measured_at_s: f64,
    thread_cpu_s: f64,
    busy_fraction: f64,
}

impl CpuUsage {
    fn new(now: f64) -> Self {
        CpuUsage { measured_at_s: now, thread_cpu_s: Self::thread_cpu_s(), busy_fraction: 0.0 }
    }

    fn thread_cpu_s() -> f64 {
        let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
        time.unwrap_or_default().as_secs_f64()
    }

    fn measure(&mut self, now: f64) -> f64 {
        let thread_cpu_s = Self::thread_cpu_s();
        if now > self.measured_at_s {
            let latest = (thread_cpu_s - self.thread_cpu_s) / (now - self.measured_at_s);
            self.busy_fraction += CPU_USAGE_WEIGHT * (latest - self.busy_fraction);
        }
        (self.measured_at_s, self.thread_cpu_s) = (now, thread_cpu_s);
        self.busy_fraction
    }
}

/// Publishes this core's heartbeat, load and metrics, which the supervising thread and the other cores read.
fn publish_state(dispatcher: &DispatcherHandle, inputs: &CoreInputs, cpu_usage: Option<&mut CpuUsage>) {
    let (now, core_state, dispatcher) =
        (inputs.clock.now(), &inputs.shared.cores[inputs.core], dispatcher.borrow());
    core_state.client_count.store(dispatcher.clients.len(), Relaxed);
    if let Some(cpu_usage) = cpu_usage {
        core_state.active_clients.store(dispatcher.clients.take_active_count(), Relaxed);
        core_state.busy_permille.store((cpu_usage.measure(now) * 1e3) as u64, Relaxed);
    }
    dispatcher.publish_metrics();
    core_state.heartbeat_ms.store((now * 1e3) as u64, Relaxed);
}

/// Serves on this core until its shutdown is complete, or until its policy or one of its tasks fails.
async fn serve(
    dispatcher: &DispatcherHandle,
    inputs: &mut CoreInputs,
    remote_observations: &mut Option<ObservationReceiver<ObservationMessage>>,
) -> Result<(), String> {
    apply_snapshot(dispatcher, &inputs.endpoints.borrow_and_update().clone());
    dispatcher.borrow_mut().endpoints.is_replaced = true;
    dispatcher.borrow_mut().replay_observations();
    let make_policy = policy_loop::policy_factory(dispatcher, inputs.seed);
    let mut policy_task =
        spawn_local(policy_loop::run(dispatcher.clone(), None, make_policy, inputs.node_descriptors.clone()));
    let mut watch_failures = inputs.endpoints.borrow().watch_failures;
    let mut shutdown: Option<JoinHandle<()>> = None;
    // A core that restarts during a shutdown has to begin its own shutdown.
    inputs.phase.mark_changed();
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut cpu_usage = CpuUsage::new(inputs.clock.now());
    loop {
        tokio::select! {
            biased;
            // The endpoint list comes first: after a pause of this thread the fence holds back every new attempt until
            // the newest list is applied.
            changed = inputs.endpoints.changed() => {
                if changed.is_err() {
                    return Err("the supervising thread has ended".into());
                }
                let snapshot = inputs.endpoints.borrow_and_update().clone();
                apply_snapshot(dispatcher, &snapshot);
                if std::mem::replace(&mut watch_failures, snapshot.watch_failures) != snapshot.watch_failures {
                    dispatcher.borrow_mut().endpoint_poll_failed();
                }
            }
            ended = &mut policy_task => return Err(match ended {
                Ok(Err(reason)) => format!("the policy could not be created: {reason}"),
                _ => "the policy task panicked".into(),
            }),
            // The next policy round applies the settings.
            Ok(()) = inputs.config_updates.changed() => dispatcher.borrow().work_ready.notify_one(),
            changed = inputs.phase.changed(), if shutdown.is_none() => {
                if changed.is_ok() && *inputs.phase.borrow_and_update() != ProgramPhase::Serving {
                    let closed = wait_for_closed_listener(inputs.phase.clone());
                    shutdown = Some(spawn_local(graceful_shutdown::shut_down(dispatcher.clone(), closed)));
                }
            }
            ended = shutdown_ended(&mut shutdown) => {
                ended.map_err(|_| "the shutdown task panicked".to_string())?;
                // Guards against losing connections that the balancer assigned to this core just as its shutdown ended.
                let mut has_late_commands = false;
                while let Ok(command) = inputs.commands.try_recv() {
                    has_late_commands = true;
                    execute(dispatcher, command);
                }
                if has_late_commands {
                    shutdown = Some(spawn_local(graceful_shutdown::reject_late_connections(dispatcher.clone())));
                    continue;
                }
                publish_state(dispatcher, inputs, None);
                return Ok(());
            }
            Some(command) = inputs.commands.recv() => execute(dispatcher, command),
            received = next_observation(remote_observations) => {
                if let ControlFlow::Continue(observation) = received {
                    if observation.core != inputs.core {
                        dispatcher.borrow_mut().remote_observation(observation);
                    }
                } else {
                    dispatcher.borrow_mut().counters.increment("evidence_lost");
                }
            }
            _ = heartbeats.tick() => {
                let mut state = dispatcher.borrow_mut();
                state.recheck_fence();
                let now = inputs.clock.now();
                let Dispatcher { observations, endpoints, .. } = &mut *state;
                observations.sweep(now, |node| endpoints.nodes.contains_key(node));
                if inputs.node_descriptors.pool.is_short() {
                    endpoints.retire_longest_idle();
                }
                drop(state);
                publish_state(dispatcher, inputs, Some(&mut cpu_usage));
                #[cfg(feature = "faults")]
                inject_fault(dispatcher.borrow_mut().injected_fault.take());
            }
        }
    }
}

/// Injects the fault that a test asked for: `hang MILLISECONDS` blocks the thread, any other text panics.
#[cfg(feature = "faults")]
fn inject_fault(fault: Option<String>) {
    match fault.as_deref().and_then(|f| f.strip_prefix("hang ")?.parse().ok()) {
        Some(span) => std::thread::sleep(Duration::from_millis(span)),
        None => assert!(fault.is_none(), "fault injected by a test: {fault:?}"),
    }
}

/// Waits for the shutdown task; never returns where no shutdown has begun.
async fn shutdown_ended(shutdown: &mut Option<JoinHandle<()>>) -> Result<(), tokio::task::JoinError> {
    match shutdown {
        Some(handle) => handle.await,
        None => std::future::pending().await,
    }
}

/// Receives the next observation of any core; `Break` where this core was too slow and observations were lost.
async fn next_observation(
    remote_observations: &mut Option<ObservationReceiver<ObservationMessage>>,
) -> ControlFlow<(), ObservationMessage> {
    let Some(remote_observations) = remote_observations else { return std::future::pending().await };
    match remote_observations.recv().await {
        Ok(observation) => ControlFlow::Continue(observation),
        Err(RecvError::Lagged(_)) => ControlFlow::Break(()),
        Err(RecvError::Closed) => std::future::pending().await,
    }
}

async fn wait_for_closed_listener(mut phase: watch::Receiver<ProgramPhase>) {
    let _ = phase.wait_for(|phase| *phase == ProgramPhase::ListenerClosed).await;
}

/// Applies a snapshot of the endpoint list and the layout, if it is newer than the one in force.
fn apply_snapshot(dispatcher: &DispatcherHandle, snapshot: &EndpointSnapshot) {
    let mut dispatcher = dispatcher.borrow_mut();
    if snapshot.generation > dispatcher.endpoints_generation {
        dispatcher.endpoints.adopt(&snapshot.entries);
        dispatcher.endpoints_generation = snapshot.generation;
        dispatcher.endpoints_changed();
        let now = dispatcher.clock.now();
        if let (Some(shard_map), Some(layout)) = (&mut dispatcher.shard_map, &snapshot.layout) {
            match shard_map.adopt(layout, now) {
                Ok(shards) if !shards.is_empty() => dispatcher.shard_map_changed(&shards),
                Ok(_) => {}
                Err(error) => {
                    tracing::error!(target: "layout", "the published layout cannot be applied on this core: {error}");
                }
            }
        }
        dispatcher.recheck_fence();
    }
}

fn execute(dispatcher: &DispatcherHandle, command: CoreCommand) {
    match command {
        CoreCommand::Serve(connection) => acceptor::serve_transferred(dispatcher, connection),
        CoreCommand::GiveAway { to, connections } => {
            dispatcher.borrow_mut().handover = Some(Handover { to, connections })
        }
        CoreCommand::CloseLongestIdle => dispatcher.close_idle_connection(),
    }
}
