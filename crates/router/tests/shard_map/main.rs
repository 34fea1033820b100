//! Changes of the shard map, which assigns ranges of keys to shards, while attempts are in flight: the frames
//! that the dispatcher sends, the input that it passes to the policy, and the responses.
#[path = "../common/mod.rs"]
mod common;

mod any_order;
mod changes;
mod queries_by_keys;
mod splits;
mod updates;

use alderway::interface::{AttemptOutcome, NodeState};
use alderway_layouts::history::LayoutUpdate;
use alderway_layouts::layout::{Change, Shard};
use alderway_layouts::{Key, KeyRange, ShardId};
use alderway_router::io::discovery::DiscoveryHandler;
use alderway_router::requests;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::DialRequest;
use alderway_router::state::node_protocol::NodeReply;
use alderway_router::state::queries::QueryError;
use alderway_router::state::shard_map::{QueryTarget, ShardMapConfig, ShardMapView};
use alderway_router::wire::frames;
use alderway_telemetry::clock::Clock;
use common::dispatcher::{
    Recorded, RecordingPolicy, admission_config, connection_config, open_query, response_text,
};
use std::rc::Rc;

/// A target of a query: a shard or keys, and the target's weight.
type Target = (Option<u32>, Option<(u32, u32)>, f64);

/// A full shard map of keys 0 to 100. Each shard is given as its id, its keys from the first (inclusive) to
/// the second (exclusive), and its holders: the replica groups that store the shard.
fn full_map(version: u64, shards: &[(ShardId, Key, Key, &[u32])]) -> LayoutUpdate {
    let shard = |&(id, from, to, holders): &(ShardId, Key, Key, &[u32])| {
        (id, Shard { keys: KeyRange::new(from, to), holders: holders.iter().copied().collect() })
    };
    LayoutUpdate::Full { version, keys: 100, shards: shards.iter().map(shard).collect() }
}

/// Applies changes to the previous version of the shard map.
fn apply_changes(dispatcher: &mut Dispatcher, version: u64, changes: Vec<Change>) {
    dispatcher
        .apply_layout(LayoutUpdate::Changes { version, base: version - 1, changes })
        .expect("a valid change");
}

fn split_shard(parent: ShardId, children: &[(ShardId, Key)]) -> Change {
    Change::Split { parent, children: children.to_vec() }
}

fn move_shard(shard: ShardId, holders: &[u32]) -> Change {
    Change::Move { shard, holders: holders.iter().copied().collect() }
}

/// A dispatcher with nodes `n0` to `n5`, each in its own replica group, and shards 1 (keys 0 to 50) and 2 (50
/// to 100), both held by groups 0 and 1.
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
        let address = ([127, 0, 0, 1], 1 + group as u16).into();
        dispatcher.endpoints.update(&format!("n{group}"), address, group, NodeState::Serving, None);
    }
    assert!(!dispatcher.is_ready(), "there is no shard map yet");
    dispatcher
        .apply_layout(full_map(1, &[(1, 0, 50, &[0, 1]), (2, 50, 100, &[0, 1])]))
        .expect("a valid shard map");
    assert!(dispatcher.is_ready());
    policy_events(&mut dispatcher);
    dispatcher
}

/// The input that the policy gets in its next run, one line of text per event.
fn policy_events(dispatcher: &mut Dispatcher) -> Vec<String> {
    let (mut policy, now) = (RecordingPolicy::new(Recorded::Shards), dispatcher.clock.now());
    dispatcher.notify_policy(now, &mut policy);
    policy.events
}

/// Delivers a reply to the dispatcher. `report` is the data node's report in its encoded form.
fn reply_received(
    dispatcher: &mut Dispatcher,
    node: &str,
    connection: u64,
    request_id: &str,
    outcome: AttemptOutcome,
    report: &str,
    value: &str,
) -> bool {
    let report = frames::parse_shard_report(report);
    dispatcher.reply_received(node, connection, &NodeReply { request_id, outcome, report, value })
}

/// Opens a query for some targets, or returns the error text that its client gets.
fn open_query_for(
    dispatcher: &mut Dispatcher,
    id: &str,
    targets: &[Target],
) -> Result<Rc<ClientConnection>, &'static str> {
    let target = |&(shard, keys, weight): &Target| QueryTarget { shard, keys, weight };
    let targets: Vec<QueryTarget> = targets.iter().map(target).collect();
    let text = |error: QueryError| requests::error_response(error).1;
    let shard_map = dispatcher.shard_map.as_ref().expect("a shard map");
    let (requests, coverage) = shard_map.requests_for(id, &targets).map_err(text)?;
    open_query(dispatcher, id, 0, 5.0, requests, Some(coverage)).map_err(text)
}

/// Opens query `q` for some keys.
fn open_query_for_keys(dispatcher: &mut Dispatcher, from: Key, to: Key) -> Rc<ClientConnection> {
    open_query_for(dispatcher, "q", &[(None, Some((from, to)), 1.0)]).expect("the query opens")
}

/// Starts attempts at a node without an open connection; returns the connection to open.
fn start_attempts(dispatcher: &mut Dispatcher, node: &str, requests: &[&str]) -> DialRequest {
    common::dispatcher::start_attempts(dispatcher, node, requests).remove(0)
}

/// Writes the next frame of a connection, which must have one; returns its type byte and body as text.
fn write_next_frame(dispatcher: &mut Dispatcher, dial: &DialRequest) -> String {
    let frame = common::dispatcher::write_next_frame(dispatcher, dial);
    assert!(frame.is_some(), "a frame is queued");
    frame.unwrap_or_default()
}

/// The body of a response.
fn response_body(client: &ClientConnection) -> String {
    response_text(client).split("\r\n\r\n").nth(1).unwrap_or_default().to_string()
}
