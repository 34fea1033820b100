//! The state of one core, and the state that the cores of a process share. This module reads and writes no
//! socket and decodes no protocol: the tasks of connections pass decoded values to the
//! [`Dispatcher`](dispatcher::Dispatcher) and encode the values that the dispatcher returns. Each core has
//! its own dispatcher, which only that core's thread uses, and no borrow of the dispatcher outlives a call.
//!
//! Terms: the policy is the code that decides about queries and attempts; a core calls the policy in runs. An
//! id claim reserves the id of a query on all cores while the query is open. The fence keeps a core from
//! starting attempts while the endpoint list of that core may be outdated. A shard that the newest shard map
//! no longer contains is retired: it is kept until its last request is closed and a grace period is over. A
//! class slot is an index into the list of query class rules.
//!
//! Each part of the state has one owner; the list says where the part is acquired and released:
//!
//! - Open queries, their shard requests, capacity and id claims: [`queries::QueryTable`]. Acquired in
//!   `dispatcher/queries.rs`, released when the query ends.
//! - Attempts in flight, their time-outs and outcomes: [`attempts::AttemptTable`]. Acquired in
//!   `dispatcher/attempts.rs`, released by `record_attempt_end`.
//! - Data nodes of the endpoint list: [`endpoints::EndpointTable`]. Added when discovery or the acceptor core
//!   sends a list with the data node, dropped when the data node is removed and has no connection left.
//! - Connections to data nodes, with their frames and attempts: [`node_connection::NodeConnection`] in the
//!   record of the data node. Acquired by `choose_connection`, released by `connection_lost`,
//!   `connection_corrupted`, `connection_not_opened`, `requeue_unsent` or `discard_undelivered`.
//! - Connections of clients and their responses: [`clients::ClientTable`]. Added and removed by the task of
//!   the connection.
//! - The shard map and the splits of open shard requests: [`shard_map::ShardMapView`]. Changed in
//!   `dispatcher/shard_changes.rs`; a retired shard is dropped by `retire_shards`.
//! - Query classes and the configuration in use: [`query_classes::ClassTable`]. Changed in
//!   `dispatcher/config.rs`; the slot of an outdated class is released when the last open query of that slot
//!   has ended.
//! - Input that the policy has not received yet: [`pending_input::PendingInput`]. Added by the dispatcher,
//!   taken by the next run of the policy.
//! - File descriptors: [`descriptors::DescriptorPool`]. Acquired by the task that opens a socket, released
//!   when the permit is dropped.
//! - Capacity, id claims, the fence, commands and metrics of all cores: [`shared::SharedState`]. Used by each
//!   core.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod arrival_time;
pub mod attempts;
pub mod clients;
pub mod counters;
pub mod descriptors;
pub mod dispatcher;
pub mod endpoints;
pub mod gossip_link;
pub mod metrics;
pub mod node_connection;
pub mod node_protocol;
pub mod pending_input;
pub mod queries;
pub mod query_classes;
pub mod response;
pub mod shard_map;
pub mod shared;
pub mod shutdown_phase;
pub mod stall_detector;
pub mod timer_queue;
pub mod undelivered;
pub mod watch_state;

pub use dispatcher::DispatcherHandle;
