//! The driver of discovery's watch: through losses and silences to a new watch, while the old list holds.
use super::arrival;
use super::sleep_until;
use crate::state::dispatcher::Dispatcher;
use crate::state::endpoints::EndpointTable;
use crate::state::watch_state::{WatchPhase, WatchState};
use crate::wire::buffer::Buffer;
use crate::wire::discovery::{self, Watch, Word};
use crate::wire::layout;
use alderway_layouts::history::News;
use alderway_layouts::layout::Faulty;
use alderway_sockets::Sender;
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

/// Whoever keeps the list: a core's dispatcher, or the lead of several.
pub trait DiscoveryTarget {
    fn clock(&self) -> Clock;
    /// Whether changes come only when the module asks to follow the list.
    fn polls_on_request(&self) -> bool;
    fn poll_requested(&self) -> Arc<Notify>;
    fn endpoints(&mut self) -> &mut EndpointTable;
    fn endpoints_updated(&mut self);
    /// A watch is lost, whether or not it had answered.
    fn watch_lost(&mut self, answered: bool);
    /// So long there was no watch that had answered, or it said nothing; until now.
    fn record_silence(&mut self, span: f64);
    fn discovery_moved(&mut self);
    /// Whether `looked` is waited for: by other cores, which must not send by a list that may be out of date.
    fn tracks_checks(&self) -> bool {
        false
    }
    /// Nothing that discovery had sent by then is unread, or there is no watch.
    fn discovery_checked(&mut self, _at: f64) {}
    /// Where layouts are followed, the version to ask for changes to: 0 for the whole layout.
    fn layout_version(&self) -> Option<u64> {
        None
    }
    /// News of the layout, taken in whole or not at all; `changed` follows.
    fn apply_layout(&mut self, _news: News) -> Result<(), Faulty> {
        Ok(())
    }
}

impl DiscoveryTarget for Dispatcher {
    fn clock(&self) -> Clock {
        self.clock
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
    fn record_silence(&mut self, span: f64) {
        self.counters.record_max("discovery_quiet_ms_most", (span * 1e3) as u64);
    }
    fn discovery_moved(&mut self) {
        self.counters.increment("discovery_moves");
    }
    fn layout_version(&self) -> Option<u64> {
        self.shard_map.as_ref().map(|shard_map| shard_map.version().unwrap_or(0))
    }
    fn apply_layout(&mut self, news: News) -> Result<(), Faulty> {
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

pub type SharedDiscoveryTarget = Rc<RefCell<dyn DiscoveryTarget>>;

/// How often a follower hears that nothing is unread.
const LOOKS: Duration = Duration::from_millis(100);

/// Waits for something while there is no watch that could tell anything: the old list holds.
async fn unwatched<T>(list: &SharedDiscoveryTarget, what: impl Future<Output = T>) -> T {
    if !list.borrow().tracks_checks() {
        return what.await;
    }
    let mut what = pin!(what);
    loop {
        let now = list.borrow().clock().now();
        list.borrow_mut().discovery_checked(now);
        if let Ok(done) = timeout(LOOKS, what.as_mut()).await {
            return done;
        }
    }
}

/// Watches for as long as the program runs, at the address that `agent` holds. Where that changes the old watch
/// ends at once and the new one begins; until it tells something, the old list holds.
pub async fn run(list: SharedDiscoveryTarget, mut agent: Receiver<SocketAddr>) {
    let (clock, follows, asked) = {
        let list = list.borrow();
        (list.clock(), list.polls_on_request(), list.poll_requested())
    };
    let (mut state, mut whole, mut heard) = (WatchState::new(follows), false, clock.now());
    loop {
        let due = state.deadline();
        let rest = async {
            tokio::select! {
                () = asked.notified(), if state.phase == WatchPhase::NotRequested => {}
                () = sleep_until(clock, due), if due.is_finite() => {}
                Ok(()) = agent.changed() => {}
            }
        };
        unwatched(&list, rest).await;
        let address = *agent.borrow_and_update();
        state.open(clock.now());
        let why = tokio::select! {
            why = watch(&list, address, &mut state, &mut whole, &mut heard) => why,
            Ok(()) = agent.changed() => {
                list.borrow_mut().discovery_moved();
                state.phase = WatchPhase::Waiting { until: clock.now() };
                continue;
            }
        };
        tracing::warn!(target: "discovery", "the watch is lost: {why}; the old list holds");
        let answered = state.lost(clock.now());
        list.borrow_mut().watch_lost(answered);
    }
}

/// One watch; returns why it ended.
async fn watch(
    list: &SharedDiscoveryTarget,
    address: SocketAddr,
    state: &mut WatchState,
    whole: &mut bool,
    heard: &mut f64,
) -> String {
    let (clock, since, mut layout) = {
        let mut list = list.borrow_mut();
        let layout = list.layout_version();
        (list.clock(), list.endpoints().version, layout)
    };
    // Changes could not be followed from the version held: guards against asking for them for ever.
    if std::mem::take(whole) {
        layout = layout.map(|_| 0);
    }
    let limit = Duration::from_secs_f64((state.deadline() - clock.now()).max(0.0));
    let stream = match unwatched(list, timeout(limit, alderway_sockets::dial(address))).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(why)) => return format!("no connection ({why})"),
        Err(_) => return "no connection in time".into(),
    };
    let _ = stream.set_nodelay(true);
    let leads = list.borrow().tracks_checks();
    let mut out = Vec::new();
    discovery::follow(&mut out, &address.to_string(), since, layout);
    let (mut sender, mut written) = (Sender::default(), 0);
    let (mut buffer, mut watch) = (Buffer::new(discovery::LONGEST), Watch::default());
    loop {
        if written < out.len() {
            match sender.write(&stream, &out[written..]) {
                Ok(count) => written += count,
                Err(why) => return format!("not written ({why})"),
            }
        }
        tokio::select! {
            biased;
            _ = stream.readable() => {}
            () = sender.ready(&stream), if written < out.len() => {}
            () = sleep_until(clock, state.deadline()) => return "silence".into(),
            () = sleep(LOOKS), if leads => {
                // The time is read first: what comes after it may be missed by this look.
                let now = clock.now();
                if !arrival::has_unread_bytes(&stream) {
                    list.borrow_mut().discovery_checked(now);
                }
                continue;
            }
        }
        match alderway_sockets::read(&stream, buffer.space()) {
            Ok(Some(0)) => return "it ended".into(),
            Ok(Some(count)) => buffer.filled(count),
            Ok(None) => continue,
            Err(why) => return format!("not read ({why})"),
        }
        loop {
            match watch.word(&mut buffer) {
                Err(why) => return why.into(),
                Ok(None) => break,
                Ok(Some(word)) => {
                    let now = clock.now();
                    if word == Word::Head {
                        state.response_started();
                        continue;
                    }
                    state.update_received(now);
                    list.borrow_mut().record_silence(now - std::mem::replace(heard, now));
                    if let Word::Object(end) = word
                        && let Err(why) = take(list, &buffer.data()[..end], whole)
                    {
                        return why.into();
                    }
                    list.borrow_mut().endpoints().last_contact_s = Some(now);
                }
            }
        }
        // Guards against bytes that keep coming and make nothing whole.
        if clock.now() >= state.deadline() {
            return "silence".into();
        }
    }
}

/// One object of the watch: a list or a change.
fn take(list: &SharedDiscoveryTarget, line: &[u8], whole_layout: &mut bool) -> Result<(), &'static str> {
    let (index, whole) = discovery::version(line)?;
    let mut list = list.borrow_mut();
    let (clock, endpoints) = (list.clock(), list.endpoints());
    let now = clock.now();
    if !whole && endpoints.version.is_none_or(|held| index < held) {
        // Not a change to the list held: the next watch asks for the whole one.
        endpoints.version = None;
        return Err("a change to an older list");
    }
    endpoints.begin_update(index, whole);
    let (mut entries, mut unusable, mut wrong) = (0, 0, None);
    discovery::entries(line, |name, told| match told {
        Ok(node) => {
            entries += 1;
            let started = clock.from_unix_ms(node.since);
            endpoints.update_from_discovery(name, node.address, node.cell, node.state, started, now);
        }
        Err((state, why)) => {
            unusable += 1;
            wrong.get_or_insert_with(|| format!("that of node `{name}`: {why}"));
            endpoints.mark_unreadable(name, state);
        }
    })?;
    if let Some(first) = wrong {
        tracing::warn!(target: "roster", "list {index}: {unusable} entries cannot be used, first {first}");
    }
    let told = if list.layout_version().is_some() { layout::news(line) } else { Ok(None) };
    let (mut refused, held) = (None, list.layout_version());
    match told {
        Ok(Some(news)) => {
            if let Err(why) = list.apply_layout(news) {
                *whole_layout = matches!(why, Faulty::NotHeld { .. });
                refused = Some(why.to_string());
            }
        }
        Ok(None) => {}
        Err(why) => refused = Some(why.to_string()),
    }
    list.endpoints_updated();
    match (refused, list.layout_version()) {
        (Some(why), held) => {
            let held = held.unwrap_or(0);
            tracing::warn!(target: "layout", "refused: {why}; version {held} holds");
        }
        (None, now) if now != held => tracing::info!(target: "layout", "version {}", now.unwrap_or(0)),
        _ => {}
    }
    if *whole_layout {
        return Err("a change to a layout that is not held");
    }
    let kind = if whole { "whole list" } else { "change" };
    tracing::info!(target: "roster", "{kind} {index}: {entries} entries");
    Ok(())
}
