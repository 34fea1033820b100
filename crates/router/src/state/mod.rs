//! The state of one core, and the state that the cores of a process share. This module reads and writes no socket and
//! decodes no protocol: the tasks of connections pass decoded values to the [`Dispatcher`](dispatcher::Dispatcher) and
//! encode the values that the dispatcher returns. Each core has its own dispatcher, which only that core's thread uses,
//! and no borrow of the dispatcher outlives a call.
//!
//! | state | owner | acquired by | released by |
//! | --- | --- | --- | --- |
//! | open queries, their shard requests, capacity and id claims | [`queries::QueryTable`] | `dispatcher/queries.rs` | the query's final response |
//! | attempts in flight, their time-outs and outcomes | [`attempts::AttemptTable`] | `dispatcher/attempts.rs` | `record_attempt_end` |
//! | data nodes of the endpoint list | [`endpoints::EndpointTable`] | discovery, the acceptor core | removal with its last connection |
//! | connections to data nodes, frames queued and in flight | [`node_connection::NodeConnection`] in its node's record | `choose_connection` | `connection_lost`, `connection_corrupted`, `connection_not_opened`, `requeue_unsent` |
//! | connections of clients and their responses | [`clients::ClientTable`] | the connection's task | the same task |
//! | the shard map and splits of open shard requests | [`shard_map::ShardMapView`] | `dispatcher/shard_changes.rs` | retirement of the shard |
//! | query classes and the configuration in use | [`query_classes::ClassTable`] | `dispatcher/config.rs` | the last
//! open query of the class |
//! | input that the policy has not received yet | [`pending_input::PendingInput`] | the dispatcher | the policy's next
//! run |
//! | file descriptors | [`descriptors::DescriptorPool`] | the task that opens a socket | drop of its permit |
//! | capacity, id claims, fence, commands and metrics of all cores | [`shared::SharedState`] | each core | each core |
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
pub mod watch_state;

pub use dispatcher::DispatcherHandle;
