//! The dispatcher by concern. Two data nodes, `s` and `t`, serve every shard; connections carry four attempts, frames two.
#[path = "../common/mod.rs"]
mod common;

mod any_order;
mod attempts;
mod client_connections;
mod endpoints;
mod node_connections;
mod queries;
mod replies;
mod reused_ids;

use alderway::interface::NodeState;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::Dial;
use alderway_telemetry::clock::Clock;
use common::dispatcher::{
    Recorded, RecordingPolicy, admission_config, connection_config, open_query, shard_requests,
};
use std::rc::Rc;

/// A dispatcher that knows `s` and `t`.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(
        Clock::default(),
        connection_config(4, 2),
        admission_config(100, 40),
        vec!["v".into()],
    );
    dispatcher.endpoints.begin_update(1, true);
    for (name, port) in [("s", 1), ("t", 2)] {
        endpoints(&mut dispatcher, name, port, NodeState::Serving, None);
    }
    told(&mut dispatcher);
    dispatcher
}

/// Changes one entry of the endpoint list.
fn endpoints(dispatcher: &mut Dispatcher, name: &str, port: u16, state: NodeState, started: Option<f64>) {
    dispatcher.endpoints.update(name, ([127, 0, 0, 1], port).into(), 0, state, started);
    dispatcher.endpoints_changed();
}

/// Ends what is due, and returns what the policy is told.
fn told(dispatcher: &mut Dispatcher) -> Vec<String> {
    let (mut policy, now) = (RecordingPolicy::new(Recorded::Endpoints), dispatcher.clock.now());
    dispatcher.expire_due(now);
    dispatcher.notify_policy(now, &mut policy);
    policy.events
}

/// Opens query `id` with one request for each shard, and tells the policy.
fn take(dispatcher: &mut Dispatcher, id: &str, shards: &[u32]) -> Rc<ClientConnection> {
    let requests = shard_requests(id, shards, 1.0);
    let client = open_query(dispatcher, id, 0, 5.0, requests, None).expect("taken");
    told(dispatcher);
    client
}

/// The connection of a dial is open.
fn up(dispatcher: &mut Dispatcher, dial: &Dial) {
    dispatcher.endpoints.connection(&dial.node, dial.connection).expect("a connection").is_open = true;
}
