//! Runs one core of a router on several cores. A core is a thread with a runtime, a dispatcher, a policy and
//! client connections of its own. The core executes commands of the supervising thread and processes
//! observations, which are measurements of data nodes that other cores share. If the policy or a task of the
//! core fails, the core answers its open queries with an error and reports the failure to the supervising
//! thread, which later permits the core to restart.
//!
//! The fence is a check that all cores share: it stops a core from starting attempts while the core has not
//! applied the newest endpoint list, or while the supervising thread has not checked discovery recently. A
//! policy round is one call of the policy. A handover moves client connections from one core to another.
use super::acceptor::{self, ConnectionAcceptor};
use super::endpoint_publisher::EndpointSnapshot;
use super::policy_loop;
use crate::lifecycle::graceful_shutdown;
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use crate::state::dispatcher::{ClientHandover, Dispatcher};
use crate::state::query_classes::{ClassRules, ConfigGeneration};
use crate::state::shard_map::{ShardMapConfig, ShardMapView};
use crate::state::shared::{CoreCommand, ObservationMessage, SharedState};
use alderway_cores::observation_cache::ObservationCache;
use alderway_deployment::{AdmissionConfig, ConnectionConfig};
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log;
use alderway_telemetry::turns::TaskKind;
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

/// Interval at which a core publishes its metrics and its heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// The phase of the program; the supervising thread sends the phase to all cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgramPhase {
    /// The program serves requests; no shutdown has begun.
    Serving,
    /// SIGTERM was received, and the client listener is still open.
    Stopping,
    /// SIGTERM was received, and the client listener is closed: no new client connection arrives.
    ListenerClosed,
}

/// A message from a core to the supervising thread.
pub enum CoreReport {
    /// The core with this number failed; the text is the reason.
    Failed(usize, String),
    /// The core with this number has completed its shutdown.
    Ended(usize),
}

/// The configuration and channels of one core, used at the first start of the core and at each restart.
pub struct CoreInputs {
    /// The number of the core, from 0.
    pub core: usize,
    pub shared: Arc<SharedState>,
    pub clock: Clock,
    pub connections: ConnectionConfig,
    pub admission: AdmissionConfig,
    pub query_classes: Vec<ClassRules>,
    pub shard_map: Option<ShardMapConfig>,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// The newest settings.
    pub config_updates: watch::Receiver<Arc<ConfigGeneration>>,
    /// File descriptors for this core's connections to data nodes.
    pub node_descriptors: Arc<DescriptorPool>,
    pub commands: mpsc::Receiver<CoreCommand>,
    pub endpoints: watch::Receiver<EndpointSnapshot>,
    pub phase: watch::Receiver<ProgramPhase>,
    pub reports: mpsc::UnboundedSender<CoreReport>,
    /// After a failure, the core restarts when it receives a message from this channel.
    pub restart_permits: mpsc::Receiver<()>,
}

/// Runs a core until its shutdown is complete. After each failure, reports the failure and waits for
/// permission to restart.
pub fn run(mut inputs: CoreInputs) {
    log::set_thread_core(inputs.core);
    let mut remote_observations = inputs.shared.subscribe_observations();
    let mut observation_cache = ObservationCache::default();
    loop {
        let reason = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                match run_until_failure(
                    &runtime,
                    &mut inputs,
                    &mut remote_observations,
                    &mut observation_cache,
                ) {
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

/// Runs a core with a new dispatcher until its shutdown is complete. If the policy or a task fails, answers
/// the open queries with an error and returns the reason of the failure. For the restart, keeps this core's
/// counters, and in `observation_cache` the observations of data nodes that other cores and routers have
/// shared with this core.
fn run_until_failure(
    runtime: &Runtime,
    inputs: &mut CoreInputs,
    remote_observations: &mut Option<ObservationReceiver<ObservationMessage>>,
    observation_cache: &mut ObservationCache,
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
    // Every open query of this core gets a final response, unless the dispatcher panics while it fails the
    // queries.
    let answered = catch_unwind(AssertUnwindSafe(|| {
        dispatcher.borrow_mut().counters.increment("core_failures");
        local.block_on(runtime, graceful_shutdown::fail_queries_and_disconnect(&dispatcher));
        publish_state(&dispatcher, inputs, None);
        *observation_cache = std::mem::take(&mut dispatcher.borrow_mut().observations);
    }));
    // Drops the remaining tasks of this core with their connections, and so releases their file descriptors
    // in the pools that all cores share.
    let _ = catch_unwind(AssertUnwindSafe(|| drop(local)));
    Err(if answered.is_ok() {
        reason
    } else {
        format!("{reason}; the core's open queries could not be answered")
    })
}

/// Weight of the latest measurement in the moving average of [`CpuUsage`], from 0 to 1.
const CPU_USAGE_WEIGHT: f64 = 0.2;

/// The fraction of time that the current thread runs on a CPU, from 0 to 1, as an exponential moving average
/// that is updated at each heartbeat.
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

/// Publishes this core's heartbeat, client count and metrics for the supervising thread and the other cores,
/// and this core's CPU usage if `cpu_usage` is given.
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

/// Serves on this core until its shutdown is complete. Returns the reason if the policy or a task of the core
/// fails.
async fn serve(
    dispatcher: &DispatcherHandle,
    inputs: &mut CoreInputs,
    remote_observations: &mut Option<ObservationReceiver<ObservationMessage>>,
) -> Result<(), String> {
    apply_snapshot(dispatcher, &inputs.endpoints.borrow_and_update().clone());
    dispatcher.borrow_mut().endpoints.is_replaced = true;
    dispatcher.borrow_mut().replay_observations();
    let make_policy = policy_loop::policy_factory(dispatcher, inputs.seed);
    let turn_times = dispatcher.borrow().turn_times.clone();
    let rounds = policy_loop::run(dispatcher.clone(), None, make_policy, inputs.node_descriptors.clone());
    let mut policy_task = spawn_local(turn_times.measure(TaskKind::Policy, rounds));
    let mut watch_failures = inputs.endpoints.borrow().watch_failures;
    let mut shutdown: Option<JoinHandle<()>> = None;
    // A core that restarts during a shutdown has to read the phase again and begin its shutdown.
    inputs.phase.mark_changed();
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut cpu_usage = CpuUsage::new(inputs.clock.now());
    loop {
        tokio::select! {
            biased;
            // Endpoint lists have the highest priority. If the operating system did not run this thread for
            // some time, a newer list may have been published meanwhile, and the fence delays every new
            // attempt of this core until the core has applied the newest list.
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
            // The next policy round applies the new settings.
            Ok(()) = inputs.config_updates.changed() => dispatcher.borrow().work_ready.notify_one(),
            changed = inputs.phase.changed(), if shutdown.is_none() => {
                if changed.is_ok() && *inputs.phase.borrow_and_update() != ProgramPhase::Serving {
                    let closed = wait_for_closed_listener(inputs.phase.clone());
                    shutdown = Some(spawn_local(graceful_shutdown::shut_down(dispatcher.clone(), closed)));
                }
            }
            ended = shutdown_ended(&mut shutdown) => {
                ended.map_err(|_| "the shutdown task panicked".to_string())?;
                // Connections that the balancer assigned to this core just before the end of its shutdown
                // still get a response.
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
                state.resume_held_attempts();
                let now = inputs.clock.now();
                let Dispatcher { observations, endpoints, .. } = &mut *state;
                observations.sweep(now, |node| endpoints.nodes.contains_key(node));
                if inputs.node_descriptors.pool.has_waiters() {
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

/// Injects the fault that a test requested: `hang N` blocks the thread for N milliseconds, any other text
/// panics, and `None` does nothing.
#[cfg(feature = "faults")]
fn inject_fault(fault: Option<String>) {
    match fault.as_deref().and_then(|f| f.strip_prefix("hang ")?.parse().ok()) {
        Some(hang_ms) => std::thread::sleep(Duration::from_millis(hang_ms)),
        None => assert!(fault.is_none(), "fault injected by a test: {fault:?}"),
    }
}

/// Waits for the shutdown task; never returns if no shutdown has begun.
async fn shutdown_ended(shutdown: &mut Option<JoinHandle<()>>) -> Result<(), tokio::task::JoinError> {
    match shutdown {
        Some(handle) => handle.await,
        None => std::future::pending().await,
    }
}

/// Receives the next observation of a data node that any core has shared. Returns `Break` if this core read
/// too slowly and observations were lost. Never returns if cores share no observations.
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

/// Applies a snapshot of the endpoint list and the layout to this core's dispatcher, if the snapshot is newer
/// than the last one applied. A layout is a version of the assignment of shards to data nodes.
fn apply_snapshot(dispatcher: &DispatcherHandle, snapshot: &EndpointSnapshot) {
    let mut dispatcher = dispatcher.borrow_mut();
    if snapshot.generation > dispatcher.endpoints_generation {
        dispatcher.endpoints.replace_from_core(&snapshot.entries);
        dispatcher.endpoints_generation = snapshot.generation;
        dispatcher.endpoints_changed();
        let now = dispatcher.clock.now();
        if let (Some(shard_map), Some(layout)) = (&mut dispatcher.shard_map, &snapshot.layout) {
            match shard_map.replace_from_core(layout, now) {
                Ok(shards) if !shards.is_empty() => dispatcher.shard_map_changed(&shards),
                Ok(_) => {}
                Err(error) => {
                    tracing::error!(target: "layout", "the layout that the supervising thread published cannot be applied on this core: {error}");
                }
            }
        }
        dispatcher.resume_held_attempts();
    }
}

fn execute(dispatcher: &DispatcherHandle, command: CoreCommand) {
    match command {
        CoreCommand::Serve(connection) => acceptor::serve_transferred(dispatcher, connection),
        CoreCommand::HandOver { to, connections } => {
            dispatcher.borrow_mut().handover = Some(ClientHandover { to, connections })
        }
        CoreCommand::CloseLongestIdle => dispatcher.close_idle_connection(),
    }
}
