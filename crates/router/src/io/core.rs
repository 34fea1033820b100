//! One core among several: a thread with a runtime, a dispatcher, a module and clients of its own. It tends what the
//! lead and the other cores send it; where its module or a driver of it fails, what is open is aborted and it
//! tells the lead, which has it start anew.
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
use tokio::sync::broadcast::{Receiver as Gossip, error::RecvError};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

/// How often a core tells how it is.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// How far the program is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Serving,
    Stopping,
    /// No new client comes any more.
    Closed,
}

/// What a core tells the lead.
pub enum CoreReport {
    Failed(usize, String),
    Ended(usize),
}

/// What a core starts with, and again after a failure.
pub struct CoreSlot {
    pub core: usize,
    pub shared: Arc<SharedState>,
    pub clock: Clock,
    pub connections: ConnectionConfig,
    pub admission: AdmissionConfig,
    pub query_classes: Vec<ClassRules>,
    pub shard_map: Option<ShardMapConfig>,
    /// The start of the module's chance, and the settings, of which the newest hold.
    pub seed: u64,
    pub config_updates: watch::Receiver<Arc<ConfigGeneration>>,
    pub for_nodes: Arc<DescriptorPool>,
    pub commands: mpsc::Receiver<CoreCommand>,
    pub endpoints: watch::Receiver<EndpointSnapshot>,
    pub phase: watch::Receiver<Phase>,
    pub reports: mpsc::UnboundedSender<CoreReport>,
    /// The lead's leave to start again.
    pub restart_permits: mpsc::Receiver<()>,
}

/// Runs until the program stops, through failures.
pub fn run(mut slot: CoreSlot) {
    log::set_thread_core(slot.core);
    let mut gossip = slot.shared.subscribe_observations();
    let mut board = Board::default();
    loop {
        let why = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => match life(&runtime, &mut slot, &mut gossip, &mut board) {
                Ok(()) => break,
                Err(why) => why,
            },
            Err(why) => format!("no runtime ({why})"),
        };
        if slot.reports.send(CoreReport::Failed(slot.core, why)).is_err()
            || slot.restart_permits.blocking_recv().is_none()
        {
            return;
        }
    }
    let _ = slot.reports.send(CoreReport::Ended(slot.core));
}

/// One life: from an empty dispatcher to the end of the program, or to a failure and its last answers. What it counted
/// and what others had told it outlive it.
fn life(
    runtime: &Runtime,
    slot: &mut CoreSlot,
    gossip: &mut Option<Gossip<ObservationMessage>>,
    board: &mut Board,
) -> Result<(), String> {
    let local = LocalSet::new();
    let (shared, core) = (slot.shared.clone(), slot.core);
    let mut dispatcher = Dispatcher::for_core(
        shared,
        core,
        slot.clock,
        slot.connections,
        slot.admission,
        slot.query_classes.clone(),
    );
    dispatcher.counters = slot.shared.cores[core].metrics.borrow().counters.clone();
    dispatcher.observations = std::mem::take(board);
    dispatcher.shard_map = slot.shard_map.map(ShardMapView::new);
    dispatcher.subscribe_config(slot.config_updates.clone());
    let dispatcher = Rc::new(RefCell::new(dispatcher));
    let lived = catch_unwind(AssertUnwindSafe(|| local.block_on(runtime, tend(&dispatcher, slot, gossip))));
    let why = match lived {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(why)) => why,
        Err(_) => "a driver panicked".into(),
    };
    // Guards against clients that would learn nothing: what is open here gets its final answer, as far as the
    // dispatcher is still whole.
    let last = catch_unwind(AssertUnwindSafe(|| {
        dispatcher.borrow_mut().counters.increment("core_failures");
        local.block_on(runtime, graceful_shutdown::end_open_queries(&dispatcher));
        say(&dispatcher, slot, None);
        *board = std::mem::take(&mut dispatcher.borrow_mut().observations);
    }));
    // Connections and queries that are left go with their tasks, and what they held of the shared state with them.
    let _ = catch_unwind(AssertUnwindSafe(|| drop(local)));
    Err(if last.is_ok() { why } else { format!("{why}; its last answers could not be given") })
}

/// The share of its time that this thread has worked, smoothed over some beats.
struct Work {
    at: f64,
    cpu: f64,
    busy: f64,
}

impl Work {
    fn cpu() -> f64 {
        let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from);
        time.unwrap_or_default().as_secs_f64()
    }

    fn look(&mut self, now: f64) -> f64 {
        let cpu = Work::cpu();
        if now > self.at {
            self.busy += 0.2 * ((cpu - self.cpu) / (now - self.at) - self.busy);
        }
        (self.at, self.cpu) = (now, cpu);
        self.busy
    }
}

/// Says how this core is, for the lead and for whoever asks another core for the counters.
fn say(dispatcher: &DispatcherHandle, slot: &CoreSlot, work: Option<&mut Work>) {
    let (now, core_state, dispatcher) =
        (slot.clock.now(), &slot.shared.cores[slot.core], dispatcher.borrow());
    core_state.client_count.store(dispatcher.clients.len(), Relaxed);
    if let Some(work) = work {
        core_state.active_clients.store(dispatcher.clients.take_active_count(), Relaxed);
        core_state.busy_permille.store((work.look(now) * 1e3) as u64, Relaxed);
    }
    dispatcher.publish_metrics();
    core_state.heartbeat_ms.store((now * 1e3) as u64, Relaxed);
}

/// Tends a core until the stop is seen through, or something of it has failed.
async fn tend(
    dispatcher: &DispatcherHandle,
    slot: &mut CoreSlot,
    gossip: &mut Option<Gossip<ObservationMessage>>,
) -> Result<(), String> {
    adopt(dispatcher, &slot.endpoints.borrow_and_update().clone());
    dispatcher.borrow_mut().endpoints.is_replaced = true;
    dispatcher.borrow_mut().replay_observations();
    let module = policy_loop::policy_factory(dispatcher, slot.seed);
    let mut rounds = spawn_local(policy_loop::run(dispatcher.clone(), None, module, slot.for_nodes.clone()));
    let mut failures = slot.endpoints.borrow().failures;
    let mut stopping: Option<JoinHandle<()>> = None;
    // A core that starts anew in the midst of a stop hears of it as of news.
    slot.phase.mark_changed();
    let mut beats = interval(HEARTBEAT_INTERVAL);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut work = Work { at: slot.clock.now(), cpu: Work::cpu(), busy: 0.0 };
    loop {
        tokio::select! {
            biased;
            // First of all the endpoint list: after a pause nothing new goes out before it (the fence sees to that).
            changed = slot.endpoints.changed() => {
                if changed.is_err() {
                    return Err("the lead is gone".into());
                }
                let told = slot.endpoints.borrow_and_update().clone();
                adopt(dispatcher, &told);
                if std::mem::replace(&mut failures, told.failures) != told.failures {
                    dispatcher.borrow_mut().endpoint_poll_failed();
                }
            }
            ended = &mut rounds => return Err(match ended {
                Ok(Err(why)) => format!("its module: {why}"),
                _ => "its rounds panicked".into(),
            }),
            // The round takes them over.
            Ok(()) = slot.config_updates.changed() => dispatcher.borrow().work_ready.notify_one(),
            changed = slot.phase.changed(), if stopping.is_none() => {
                if changed.is_ok() && *slot.phase.borrow_and_update() != Phase::Serving {
                    let closed = closed(slot.phase.clone());
                    stopping = Some(spawn_local(graceful_shutdown::shut_down(dispatcher.clone(), closed)));
                }
            }
            seen = ended_of(&mut stopping) => {
                seen.map_err(|_| "its stop panicked".to_string())?;
                // Guards against connections that were dealt to this core in the moment in which it had none left.
                let mut late = false;
                while let Ok(order) = slot.commands.try_recv() {
                    late = true;
                    carry_out(dispatcher, order);
                }
                if late {
                    stopping = Some(spawn_local(graceful_shutdown::end_late_connections(dispatcher.clone())));
                    continue;
                }
                say(dispatcher, slot, None);
                return Ok(());
            }
            Some(order) = slot.commands.recv() => carry_out(dispatcher, order),
            word = heard(gossip) => {
                if let ControlFlow::Continue(word) = word {
                    if word.core != slot.core {
                        dispatcher.borrow_mut().remote_observation(word);
                    }
                } else {
                    dispatcher.borrow_mut().counters.increment("evidence_lost");
                }
            }
            _ = beats.tick() => {
                let mut held = dispatcher.borrow_mut();
                held.recheck_fence();
                let now = slot.clock.now();
                let Dispatcher { observations: board, endpoints, .. } = &mut *held;
                board.sweep(now, |node| endpoints.nodes.contains_key(node));
                if slot.for_nodes.pool.is_short() {
                    endpoints.retire_longest_idle();
                }
                drop(held);
                say(dispatcher, slot, Some(&mut work));
                #[cfg(feature = "faults")]
                play(dispatcher.borrow_mut().injected_fault.take());
            }
        }
    }
}

/// Plays a fault that a test asks for: `hang MILLISECONDS` blocks the thread, `fail` panics.
#[cfg(feature = "faults")]
fn play(fault: Option<String>) {
    match fault.as_deref().and_then(|f| f.strip_prefix("hang ")?.parse().ok()) {
        Some(span) => std::thread::sleep(Duration::from_millis(span)),
        None => assert!(fault.is_none(), "a test asked for it: {fault:?}"),
    }
}

async fn ended_of(stopping: &mut Option<JoinHandle<()>>) -> Result<(), tokio::task::JoinError> {
    match stopping {
        Some(handle) => handle.await,
        None => std::future::pending().await,
    }
}

/// The next word of another core, or a break where words were lost.
async fn heard(gossip: &mut Option<Gossip<ObservationMessage>>) -> ControlFlow<(), ObservationMessage> {
    let Some(gossip) = gossip else { return std::future::pending().await };
    match gossip.recv().await {
        Ok(word) => ControlFlow::Continue(word),
        Err(RecvError::Lagged(_)) => ControlFlow::Break(()),
        Err(RecvError::Closed) => std::future::pending().await,
    }
}

async fn closed(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Closed).await;
}

fn adopt(dispatcher: &DispatcherHandle, told: &EndpointSnapshot) {
    let mut dispatcher = dispatcher.borrow_mut();
    if told.number > dispatcher.endpoints_generation {
        dispatcher.endpoints.adopt(&told.entries);
        dispatcher.endpoints_generation = told.number;
        dispatcher.endpoints_changed();
        let now = dispatcher.clock.now();
        if let (Some(shard_map), Some(layout)) = (&mut dispatcher.shard_map, &told.layout) {
            match shard_map.adopt(layout, now) {
                Ok(shards) if !shards.is_empty() => dispatcher.shard_map_changed(&shards),
                Ok(_) => {}
                Err(why) => tracing::error!(target: "layout", "not taken over from the lead: {why}"),
            }
        }
        dispatcher.recheck_fence();
    }
}

fn carry_out(dispatcher: &DispatcherHandle, order: CoreCommand) {
    match order {
        CoreCommand::Serve(connection) => acceptor::serve_transferred(dispatcher, connection),
        CoreCommand::GiveAway { to, connections } => {
            dispatcher.borrow_mut().handover = Some(Handover { to, connections })
        }
        CoreCommand::CloseLongestIdle => dispatcher.close_idle_connection(),
    }
}
