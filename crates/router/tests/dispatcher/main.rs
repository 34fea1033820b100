//! Tests of the dispatcher. Two data nodes, `s` and `t`, serve every shard. A connection carries at most four
//! attempts, a frame at most two.
#[path = "../common/mod.rs"]
mod common;

mod any_order;
mod attempts;
mod client_connections;
mod endpoints;
mod node_connections;
mod partial_frames;
mod queries;
mod replies;
mod reused_ids;

use alderway::interface::NodeState;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::DialRequest;
use alderway_telemetry::clock::Clock;
use common::dispatcher::{
    Recorded, RecordingPolicy, admission_config, connection_config, open_query, shard_requests,
};
use std::rc::Rc;

/// A dispatcher whose endpoint list has `s` and `t`.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(
        Clock::default(),
        connection_config(4, 2),
        admission_config(100, 40),
        vec!["v".into()],
    );
    dispatcher.endpoints.begin_update(1, true);
    for (name, port) in [("s", 1), ("t", 2)] {
        update_endpoint(&mut dispatcher, name, port, NodeState::Serving, None);
    }
    policy_events(&mut dispatcher);
    dispatcher
}

/// Changes one entry of the endpoint list.
fn update_endpoint(
    dispatcher: &mut Dispatcher,
    name: &str,
    port: u16,
    state: NodeState,
    started_at_s: Option<f64>,
) {
    dispatcher.endpoints.update(name, ([127, 0, 0, 1], port).into(), 0, state, started_at_s);
    dispatcher.endpoints_changed();
}

/// Expires overdue attempts and queries, and returns the input that the policy gets, one line of text per
/// event.
fn policy_events(dispatcher: &mut Dispatcher) -> Vec<String> {
    let (mut policy, now) = (RecordingPolicy::new(Recorded::Endpoints), dispatcher.clock.now());
    dispatcher.expire_attempts_and_queries(now);
    dispatcher.notify_policy(now, &mut policy);
    policy.events
}

/// Opens query `id` with one shard request for each shard, and passes the query to the policy.
fn open(dispatcher: &mut Dispatcher, id: &str, shards: &[u32]) -> Rc<ClientConnection> {
    let requests = shard_requests(id, shards, 1.0);
    let client = open_query(dispatcher, id, 0, 5.0, requests, None).expect("the query opens");
    policy_events(dispatcher);
    client
}

/// Marks the connection of a dial as established.
fn mark_open(dispatcher: &mut Dispatcher, dial: &DialRequest) {
    dispatcher.endpoints.connection(&dial.node, dial.connection).expect("a connection").is_open = true;
}
