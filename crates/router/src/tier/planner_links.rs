//! The tasks for a forwarder's connections to its planners. A connection that ends is dialled again after
//! growing randomized waits, so that forwarders don't all reconnect at the same moment to a planner that has
//! just started.
use super::Outbox;
use super::forwarder::Forwarder;
use crate::io::policy_loop::{self, DispatcherDecisionSink};
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use alderway_sockets::Sender;
use alderway_telemetry::turns::TaskKind;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Hello, Received, SessionEnd, exchange_hellos, keep_connected};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

/// The forwarder's state, shared by the tasks of its connections.
pub type ForwarderHandle = Rc<RefCell<Forwarder>>;

/// Interval at which the forwarder sends the heartbeats that are due and checks for planners that have timed
/// out.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of bytes read from a socket at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Messages of a planner that are handled before other tasks get their turn.
const MAX_MESSAGES_PER_STEP: usize = 32;

/// Starts the tasks that keep the forwarder connected to all planners, for as long as the process runs.
pub fn start(
    dispatcher: &DispatcherHandle,
    forwarder: &ForwarderHandle,
    planners: &[SocketAddr],
    descriptors: &Arc<DescriptorPool>,
    seed: u64,
) {
    for (n, address) in planners.iter().enumerate() {
        let link = PlannerLink {
            dispatcher: dispatcher.clone(),
            forwarder: forwarder.clone(),
            descriptors: descriptors.clone(),
        };
        let (address, seed) = (*address, seed ^ (n as u64) << 17);
        let turn_times = dispatcher.borrow().turn_times.clone();
        let link = async move { link.stay_connected(address, seed).await };
        spawn_local(turn_times.measure(TaskKind::Peer, link));
    }
    let (forwarder, dispatcher) = (forwarder.clone(), dispatcher.clone());
    spawn_local(async move {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let version = dispatcher.borrow().endpoints.version.unwrap_or(0);
            let mut forwarder = forwarder.borrow_mut();
            forwarder.set_endpoints_version(version);
            forwarder.tick();
        }
    });
}

/// The state that the task of the connection to one planner uses.
struct PlannerLink {
    dispatcher: DispatcherHandle,
    forwarder: ForwarderHandle,
    /// Pool of the file descriptors for connections to data nodes.
    descriptors: Arc<DescriptorPool>,
}

impl PlannerLink {
    async fn stay_connected(&self, address: SocketAddr, seed: u64) {
        let session = async |stream: TcpStream| match self.run_session(&stream).await {
            Ok(()) => SessionEnd::Established,
            Err(error) => {
                tracing::warn!(target: "tier", "closed the connection to the planner at {address}: {error}");
                SessionEnd::Unusable
            }
        };
        keep_connected(address, seed, session).await;
    }

    /// Exchanges messages with a planner until the connection ends.
    ///
    /// # Errors
    /// The peer is not a planner or violates the protocol, or a later incarnation of the planner is or was
    /// recently connected.
    async fn run_session(&self, stream: &TcpStream) -> Result<(), String> {
        let mut out = Outbox::new(&self.forwarder.borrow().hello()).bytes;
        let (mut reader, mut buffer) = (FrameReader::default(), vec![0; READ_BUFFER_BYTES]);
        let hello = exchange_hellos(stream, &mut out, &mut reader, &mut buffer).await;
        let hello = hello.map_err(|error| error.to_string())?;
        if !hello.is_planner {
            return Err("the peer is not a planner".into());
        }
        let Some(wake) = self.forwarder.borrow_mut().planner_connected(&hello) else {
            let Hello { incarnation, name, .. } = hello;
            return Err(format!(
                "incarnation {incarnation} of planner {name} is earlier than the latest one that has connected"
            ));
        };
        // Removes the hello at the start of the new outbox, since that hello has already been sent.
        if let Some(outbox) = self.forwarder.borrow_mut().outbox(&hello) {
            outbox.bytes.clear();
        }
        let ended = self.exchange_messages(stream, &hello, &wake, reader, buffer).await;
        self.forwarder.borrow_mut().planner_disconnected(&hello);
        self.dispatcher.borrow().work_ready.notify_one();
        ended
    }

    async fn exchange_messages(
        &self,
        stream: &TcpStream,
        hello: &Hello,
        wake: &Rc<Notify>,
        mut reader: FrameReader<Message>,
        mut buffer: Vec<u8>,
    ) -> Result<(), String> {
        let mut sender = Sender::default();
        let mut turns = self.dispatcher.borrow().turn_queue.turns();
        loop {
            turns.give_way().await;
            let mut has_unsent = false;
            {
                let mut forwarder = self.forwarder.borrow_mut();
                // There is no outbox if the planner is lost, has connected with a later incarnation, or does
                // not read. Decisions received on this connection are then ignored.
                let Some(outbox) = forwarder.outbox(hello) else { return Ok(()) };
                if !outbox.bytes.is_empty() {
                    match sender.write(stream, &outbox.bytes) {
                        Ok(count) => drop(outbox.bytes.drain(..count)),
                        Err(_) => return Ok(()),
                    }
                    has_unsent = !outbox.bytes.is_empty();
                }
            }
            let mut received_count = 0;
            while received_count < MAX_MESSAGES_PER_STEP {
                match reader.next_frame() {
                    Ok(Some(Received::Message(message))) => {
                        received_count += 1;
                        let mut sink = DispatcherDecisionSink::for_planner_decisions(&self.dispatcher);
                        self.forwarder.borrow_mut().message_received(hello, message, &mut sink);
                    }
                    Ok(Some(Received::Hello(_))) => return Err("the peer sent a second hello".into()),
                    Ok(None) => break,
                    Err(error) => return Err(error.to_string()),
                }
            }
            if received_count > 0 {
                policy_loop::send_queued_attempts(&self.dispatcher, &self.descriptors);
                continue;
            }
            let is_readable = async {
                tokio::select! {
                    _ = stream.readable() => true,
                    () = sender.ready(stream), if has_unsent => false,
                    () = wake.notified() => false,
                }
            };
            if !turns.wait(is_readable).await {
                continue;
            }
            match alderway_sockets::read(stream, &mut buffer) {
                Ok(Some(0)) | Err(_) => return Ok(()),
                Ok(Some(count)) => reader.feed(&buffer[..count]),
                Ok(None) => {}
            }
        }
    }
}
