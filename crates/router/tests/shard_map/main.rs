//! A core whose shards split, merge and move while attempts are in flight: what its dispatcher sends, what it tells the
//! policy, and what it answers.
#[path = "../common/mod.rs"]
mod common;

mod any_order;
mod changes;
mod news;
mod queries_by_keys;
mod splits;

use alderway::interface::{AttemptOutcome, NodeState};
use alderway_layouts::history::News;
use alderway_layouts::layout::{Change, Shard};
use alderway_layouts::{Key, Range, ShardId};
use alderway_router::io::discovery::DiscoveryHandler;
use alderway_router::requests;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::Dial;
use alderway_router::state::node_protocol::NodeReply;
use alderway_router::state::queries::QueryError;
use alderway_router::state::shard_map::{QueryTarget, ShardMapConfig, ShardMapView};
use alderway_router::wire::frames;
use alderway_telemetry::clock::Clock;
use common::dispatcher::{
    Recorded, RecordingPolicy, admission_config, connection_config, open_query, response_text,
};
use std::rc::Rc;

/// What a client asks for: a shard, or keys, and its weight.
type Target = (Option<u32>, Option<(u32, u32)>, f64);

fn whole(version: u64, shards: &[(ShardId, Key, Key, &[u32])]) -> News {
    let shard = |&(id, from, to, holders): &(ShardId, Key, Key, &[u32])| {
        (id, Shard { keys: Range::new(from, to), holders: holders.iter().copied().collect() })
    };
    News::Whole { version, keys: 100, shards: shards.iter().map(shard).collect() }
}

fn change(dispatcher: &mut Dispatcher, version: u64, changes: Vec<Change>) {
    dispatcher.apply_layout(News::Changes { version, after: version - 1, changes }).expect("a sound change");
}

fn split(parent: ShardId, children: &[(ShardId, Key)]) -> Change {
    Change::Split { parent, children: children.to_vec() }
}

fn moved(shard: ShardId, holders: &[u32]) -> Change {
    Change::Move { shard, holders: holders.iter().copied().collect() }
}
/// Nodes `n0` to `n5`, one a replica group; shards 1 (keys 0 to 50) and 2 (50 to 100), both held by groups 0 and 1.
fn dispatcher(max_open: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(
        Clock::default(),
        connection_config(8, 8),
        admission_config(max_open, 1),
        vec!["v".into()],
    );
    dispatcher.shard_map =
        Some(ShardMapView::new(ShardMapConfig { retired_shard_grace_s: 2.0, lagging_node_grace_s: 0.25 }));
    dispatcher.endpoints.begin_update(1, true);
    for group in 0..6u32 {
        let at = ([127, 0, 0, 1], 1 + group as u16).into();
        dispatcher.endpoints.update(&format!("n{group}"), at, group, NodeState::Serving, None);
    }
    assert!(!dispatcher.is_ready(), "no layout is known yet");
    dispatcher.apply_layout(whole(1, &[(1, 0, 50, &[0, 1]), (2, 50, 100, &[0, 1])])).expect("sound");
    assert!(dispatcher.is_ready());
    told(&mut dispatcher);
    dispatcher
}

/// What the policy is told.
fn told(dispatcher: &mut Dispatcher) -> Vec<String> {
    let (mut policy, now) = (RecordingPolicy::new(Recorded::Shards), dispatcher.clock.now());
    dispatcher.notify_policy(now, &mut policy);
    policy.events
}

/// A reply with a node's report as it stands on the wire.
fn reply_received(
    dispatcher: &mut Dispatcher,
    node: &str,
    connection: u64,
    request_id: &str,
    outcome: AttemptOutcome,
    report: &str,
    value: &str,
) -> bool {
    let report = frames::shard_report(report);
    dispatcher.reply_received(node, connection, &NodeReply { request_id, outcome, report, value })
}

/// Opens a query; the text for its client if it is refused.
fn ask(
    dispatcher: &mut Dispatcher,
    id: &str,
    targets: &[Target],
) -> Result<Rc<ClientConnection>, &'static str> {
    let target = |&(shard, keys, weight): &Target| QueryTarget { shard, keys, weight };
    let targets: Vec<QueryTarget> = targets.iter().map(target).collect();
    let text = |error: QueryError| requests::error_response(error).1;
    let shard_map = dispatcher.shard_map.as_ref().expect("layouts");
    let (requests, coverage) = shard_map.requests_for(id, &targets).map_err(text)?;
    open_query(dispatcher, id, 0, 5.0, requests, Some(coverage)).map_err(text)
}

/// Opens query `q` for some keys.
fn take(dispatcher: &mut Dispatcher, from: Key, to: Key) -> Rc<ClientConnection> {
    ask(dispatcher, "q", &[(None, Some((from, to)), 1.0)]).expect("taken")
}

/// Sends attempts to a node to which no connection is open.
fn send(dispatcher: &mut Dispatcher, node: &str, requests: &[&str]) -> Dial {
    common::dispatcher::send(dispatcher, node, requests).remove(0)
}

/// Writes the next frame of a connection, which is there.
fn write(dispatcher: &mut Dispatcher, dial: &Dial) -> String {
    let frame = common::dispatcher::write(dispatcher, dial);
    assert!(frame.is_some(), "a frame waits");
    frame.unwrap_or_default()
}

/// The body of a response.
fn body(client: &ClientConnection) -> String {
    response_text(client).split("\r\n\r\n").nth(1).unwrap_or_default().to_string()
}
