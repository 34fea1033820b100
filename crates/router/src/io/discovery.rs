//! Keeps a watch open: a connection to the discovery server on which the router receives endpoint lists,
//! layouts and changes of both. Reconnects after errors and timeouts; the last endpoint list received stays
//! in use meanwhile.
//!
//! An endpoint list names the data nodes with their addresses and states. A layout is a version of the
//! assignment of shards to data nodes.
use super::{arrival, sleep_until};
use crate::state::dispatcher::Dispatcher;
use crate::state::endpoints::EndpointTable;
use crate::state::watch_state::{WatchPhase, WatchState};
use crate::wire::buffer::ReadBuffer;
use crate::wire::discovery::{self, WatchEvent, WatchReader};
use crate::wire::shard_map;
use alderway_layouts::history::LayoutUpdate;
use alderway_layouts::layout::LayoutError;
use alderway_sockets::{Sender, TurnQueue};
use alderway_telemetry::clock::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

/// Handles what a watch receives from discovery: holds the endpoint list, and the layout if the router uses
/// layouts. Implemented by the dispatcher of a router on one core, by
/// [`EndpointPublisher`](super::endpoint_publisher::EndpointPublisher) for a router on several cores, and by
/// a planner.
pub trait DiscoveryHandler {
    fn clock(&self) -> Clock;
    /// The tasks of the handler's thread that have used up their turn.
    fn turn_queue(&self) -> TurnQueue;
    /// Whether a watch opens only when the policy requests the endpoint list; otherwise, a watch is always
    /// open.
    fn polls_on_request(&self) -> bool;
    /// Notified when the policy requests the endpoint list.
    fn poll_requested(&self) -> Arc<Notify>;
    fn endpoints(&mut self) -> &mut EndpointTable;
    /// Called after each update of [`Self::endpoints`], and after the update of the layout if the same
    /// message held one.
    fn endpoints_updated(&mut self);
    /// Called when a watch has failed or timed out; `answered` says whether discovery had begun its response
    /// on this watch.
    fn watch_lost(&mut self, answered: bool);
    /// Called for each message from discovery, with the seconds since the previous message, on this watch or
    /// an earlier one.
    fn record_silence(&mut self, gap_s: f64);
    /// Called when a reload of the configuration changes the address of discovery.
    fn discovery_moved(&mut self);
    /// Whether [`Self::discovery_checked`] has to be called. The calls are needed if other threads use the
    /// endpoint list: those threads must not start attempts with a list that may be out of date.
    fn tracks_checks(&self) -> bool {
        false
    }
    /// Called every `CHECK_INTERVAL` if every byte that arrived from discovery before `_at_s` has been read,
    /// or no watch is open. `_at_s` is in seconds of the monotonic clock.
    fn discovery_checked(&mut self, _at_s: f64) {}
    /// The version of the current layout, 0 if no layout was received yet, or `None` if the router does not
    /// use layouts. The next watch requests the changes since this version.
    fn layout_version(&self) -> Option<u64> {
        None
    }
    /// Applies a whole layout or a change of the current layout, completely or not at all.
    /// [`Self::endpoints_updated`] is called afterwards.
    fn apply_layout(&mut self, _news: LayoutUpdate) -> Result<(), LayoutError> {
        Ok(())
    }
}

impl DiscoveryHandler for Dispatcher {
    fn clock(&self) -> Clock {
        self.clock
    }
    fn turn_queue(&self) -> TurnQueue {
        self.turn_queue.clone()
    }
    fn polls_on_request(&self) -> bool {
        self.admission.polls_endpoints
    }
    fn poll_requested(&self) -> Arc<Notify> {
        self.poll_requested.clone()
    }
    fn endpoints(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }
    fn endpoints_updated(&mut self) {
        self.endpoints_changed();
    }
    fn watch_lost(&mut self, answered: bool) {
        self.counters.increment("discovery_watches_lost");
        if self.admission.polls_endpoints && answered {
            self.endpoint_poll_failed();
        }
    }
    fn record_silence(&mut self, gap_s: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (gap_s * 1e3) as u64);
    }
    fn discovery_moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
    fn layout_version(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn apply_layout(&mut self, news: LayoutUpdate) -> Result<(), LayoutError> {
        let now = self.clock.now();
        let Some(shard_map) = &mut self.shard_map else { return Ok(()) };
        let shards =
            shard_map.apply(news, now).inspect_err(|_| self.counters.increment("layouts_refused"))?;
        if !shards.is_empty() {
            self.shard_map_changed(&shards);
        }
        Ok(())
    }
}

/// A handler that the watch shares with the thread's other tasks.
pub type SharedDiscoveryHandler = Rc<RefCell<dyn DiscoveryHandler>>;

/// Interval between calls of [`DiscoveryHandler::discovery_checked`].
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Largest number of empty lines that are passed over before other tasks get their turn. An empty line takes
/// some nanoseconds, so that changes behind many of them are read in time.
const MAX_LINES_PER_STEP: usize = 1024;

/// Waits for a future while no watch is open. No newer endpoint list can arrive then, so
/// [`DiscoveryHandler::discovery_checked`] is called every [`CHECK_INTERVAL`].
async fn wait_without_watch<T>(handler: &SharedDiscoveryHandler, future: impl Future<Output = T>) -> T {
    if !handler.borrow().tracks_checks() {
        return future.await;
    }
    let mut future = pin!(future);
    loop {
        let now = handler.borrow().clock().now();
        handler.borrow_mut().discovery_checked(now);
        if let Ok(output) = timeout(CHECK_INTERVAL, future.as_mut()).await {
            return output;
        }
    }
}

/// Keeps a watch open to the newest address in `addresses`, for as long as the program runs. A new address
/// closes the current watch at once; the last endpoint list stays in use until the new watch receives one.
pub async fn run(handler: SharedDiscoveryHandler, mut addresses: Receiver<SocketAddr>) {
    let (clock, polls_on_request, poll_requested) = {
        let handler = handler.borrow();
        (handler.clock(), handler.polls_on_request(), handler.poll_requested())
    };
    let mut state = WatchState::new(polls_on_request);
    let (mut needs_whole_layout, mut last_message_s) = (false, clock.now());
    loop {
        let open_at_s = state.deadline();
        let next_watch_due = async {
            tokio::select! {
                () = poll_requested.notified(), if state.phase == WatchPhase::NotRequested => {}
                () = sleep_until(clock, open_at_s), if open_at_s.is_finite() => {}
                Ok(()) = addresses.changed() => {}
            }
        };
        wait_without_watch(&handler, next_watch_due).await;
        let address = *addresses.borrow_and_update();
        state.open(clock.now());
        let reason = tokio::select! {
            reason = watch(&handler, address, &mut state, &mut needs_whole_layout, &mut last_message_s) => reason,
            Ok(()) = addresses.changed() => {
                handler.borrow_mut().discovery_moved();
                state.phase = WatchPhase::Waiting { opens_at_s: clock.now() };
                continue;
            }
        };
        tracing::warn!(target: "discovery", "the watch is lost: {reason}; the last endpoint list stays in use");
        let answered = state.lost(clock.now());
        handler.borrow_mut().watch_lost(answered);
    }
}

/// What a watch has waited for.
enum StreamEvent {
    /// The socket may have bytes to read, or room for bytes to write.
    Ready,
    DeadlineReached,
    /// [`DiscoveryHandler::discovery_checked`] is due.
    CheckDue,
}

/// Opens one watch and reads from the watch until it fails or times out; returns the reason. Sets
/// `needs_whole_layout` if discovery sent a change that could not be applied to the current layout; the next
/// watch then requests the whole layout.
async fn watch(
    handler: &SharedDiscoveryHandler,
    address: SocketAddr,
    state: &mut WatchState,
    needs_whole_layout: &mut bool,
    last_message_s: &mut f64,
) -> String {
    let (clock, since, mut layout) = {
        let mut handler = handler.borrow_mut();
        let layout = handler.layout_version();
        (handler.clock(), handler.endpoints().version, layout)
    };
    // If the changes since the current version of the layout cannot be applied, requesting the changes again
    // would fail for ever: a request with version 0 asks for the whole layout.
    if std::mem::take(needs_whole_layout) {
        layout = layout.map(|_| 0);
    }
    let limit = Duration::from_secs_f64((state.deadline() - clock.now()).max(0.0));
    let stream = match wait_without_watch(handler, timeout(limit, alderway_sockets::dial(address))).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return format!("cannot connect to discovery: {error}"),
        Err(_) => return "connecting to discovery timed out".into(),
    };
    let _ = stream.set_nodelay(true);
    let tracks_checks = handler.borrow().tracks_checks();
    let mut request = Vec::new();
    discovery::write_watch_request(&mut request, &address.to_string(), since, layout);
    let (mut sender, mut written) = (Sender::default(), 0);
    let (mut buffer, mut watch) = (ReadBuffer::new(discovery::MAX_OBJECT_BYTES), WatchReader::default());
    let mut turns = handler.borrow().turn_queue().turns();
    loop {
        turns.give_way().await;
        if written < request.len() {
            match sender.write(&stream, &request[written..]) {
                Ok(count) => written += count,
                Err(error) => return format!("sending the request to discovery failed: {error}"),
            }
        }
        let event = async {
            tokio::select! {
                biased;
                _ = stream.readable() => StreamEvent::Ready,
                () = sender.ready(&stream), if written < request.len() => StreamEvent::Ready,
                () = sleep_until(clock, state.deadline()) => StreamEvent::DeadlineReached,
                () = sleep(CHECK_INTERVAL), if tracks_checks => StreamEvent::CheckDue,
            }
        };
        match turns.wait(event).await {
            StreamEvent::Ready => {}
            StreamEvent::DeadlineReached => {
                return "silence: discovery sent no complete message in time".into();
            }
            StreamEvent::CheckDue => {
                // The clock is read before the socket is checked, as bytes may arrive in between.
                let now = clock.now();
                if !arrival::has_unread_bytes(&stream) {
                    handler.borrow_mut().discovery_checked(now);
                }
                continue;
            }
        }
        match alderway_sockets::read(&stream, buffer.unfilled()) {
            Ok(Some(0)) => return "discovery closed the connection".into(),
            Ok(Some(count)) => buffer.add_filled(count),
            Ok(None) => continue,
            Err(error) => return format!("reading from discovery failed: {error}"),
        }
        let mut empty_lines = 0;
        loop {
            let message = match watch.next_event(&mut buffer) {
                Err(problem) => return problem.into(),
                Ok(None) => break,
                Ok(Some(message)) => message,
            };
            match message {
                WatchEvent::ResponseHead => state.response_started(),
                WatchEvent::EmptyLine => empty_lines += 1,
                WatchEvent::Object(end) => {
                    let now = clock.now();
                    message_received(handler, state, last_message_s, now);
                    if let Err(problem) = apply(handler, &buffer.data()[..end], needs_whole_layout) {
                        return problem.into();
                    }
                    handler.borrow_mut().endpoints().last_contact_s = Some(now);
                }
            }
            if message != WatchEvent::EmptyLine || empty_lines % MAX_LINES_PER_STEP == 0 {
                turns.give_way().await;
            }
        }
        if empty_lines > 0 {
            let now = clock.now();
            message_received(handler, state, last_message_s, now);
            handler.borrow_mut().endpoints().last_contact_s = Some(now);
        }
        // Guards against a discovery server that keeps sending bytes but never completes a message.
        if clock.now() >= state.deadline() {
            return "silence: discovery sent no complete message in time".into();
        }
    }
}

/// Records that discovery has sent an object or empty lines.
fn message_received(
    handler: &SharedDiscoveryHandler,
    state: &mut WatchState,
    last_message_s: &mut f64,
    now: f64,
) {
    state.update_received(now);
    handler.borrow_mut().record_silence(now - std::mem::replace(last_message_s, now));
}

/// Applies one JSON object from discovery: a whole endpoint list or a change of the list, and the layout or
/// change of the layout in the object, if any. Returns the reason if the watch has to be reopened.
fn apply(
    handler: &SharedDiscoveryHandler,
    object: &[u8],
    needs_whole_layout: &mut bool,
) -> Result<(), &'static str> {
    let (version, is_whole) = discovery::read_version(object)?;
    let mut handler = handler.borrow_mut();
    let (clock, endpoints) = (handler.clock(), handler.endpoints());
    let now = clock.now();
    if !is_whole && endpoints.version.is_none_or(|current| version < current) {
        // The change cannot be applied to the current list. Without a version, the next watch requests the
        // whole list.
        endpoints.version = None;
        return Err("discovery sent a change of an older endpoint list than the current one");
    }
    endpoints.begin_update(version, is_whole);
    let (mut usable, mut unusable, mut first_error) = (0, 0, None);
    discovery::read_entries(object, |name, entry| match entry {
        Ok(node) => {
            usable += 1;
            let started = clock.from_unix_ms(node.started_at_unix_ms);
            endpoints.update_from_discovery(name, node.address, node.replica_group, node.state, started, now);
        }
        Err((state, problem)) => {
            unusable += 1;
            first_error.get_or_insert_with(|| format!("`{name}`: {problem}"));
            endpoints.mark_unreadable(name, state);
        }
    })?;
    if let Some(first) = first_error {
        tracing::warn!(target: "roster", "endpoint list {version}: {unusable} entries cannot be used, the first is data node {first}");
    }
    let layout = if handler.layout_version().is_some() { shard_map::read_update(object) } else { Ok(None) };
    let (mut layout_error, former_layout) = (None, handler.layout_version());
    match layout {
        Ok(Some(news)) => {
            if let Err(error) = handler.apply_layout(news) {
                *needs_whole_layout = matches!(error, LayoutError::UnknownBase { .. });
                layout_error = Some(error.to_string());
            }
        }
        Ok(None) => {}
        Err(problem) => layout_error = Some(problem.to_string()),
    }
    handler.endpoints_updated();
    match (layout_error, handler.layout_version()) {
        (Some(reason), current) => {
            let current = current.unwrap_or(0);
            tracing::warn!(target: "layout", "refused: {reason}; version {current} holds");
        }
        (None, layout) if layout != former_layout => {
            tracing::info!(target: "layout", "version {} is applied", layout.unwrap_or(0))
        }
        _ => {}
    }
    if *needs_whole_layout {
        return Err("discovery sent a change of a layout version that this router does not have");
    }
    let kind = if is_whole { "whole list" } else { "change" };
    tracing::info!(target: "roster", "applied {kind} {version}: {usable} entries can be used");
    Ok(())
}
