//! What is kept: open queries, leaf calls, the endpoint list with its connections, clients, descriptors, counters.
//! The `Dispatcher` holds them all and is the one place where a thing that came in meets what is kept; drivers and
//! the round call it. Each core has one, used by its thread alone, and no borrow outlasts a call; the `SharedState` is
//! what the dispatchers of several cores hold in common.
pub mod arrival_time;
pub mod attempts;
pub mod clients;
pub mod counters;
pub mod descriptors;
pub mod dispatcher;
pub mod endpoints;
pub mod invariants;
pub mod node_connection;
pub mod queries;
pub mod query_classes;
pub mod shard_map;
pub mod shared;
pub mod stall_detector;
pub mod timer_queue;
pub mod watch_state;

use std::cell::RefCell;
use std::rc::Rc;

pub type DispatcherHandle = Rc<RefCell<dispatcher::Dispatcher>>;
/// A leaf call: its part's id and its number among that part's calls.
pub type AttemptId = (Rc<str>, usize);
