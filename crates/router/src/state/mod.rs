//! What is kept: open queries, leaf calls, the roster with its connections, clients, descriptors, counters.
//! The `Desk` holds them all and is the one place where a thing that came in meets what is kept; drivers and
//! the round call it. Each core has one, used by its thread alone, and no borrow outlasts a call; the `House` is
//! what the desks of several cores hold in common.
pub mod audit;
pub mod calls;
pub mod clients;
pub mod counters;
pub mod descriptors;
pub mod desk;
pub mod due;
pub mod following;
pub mod ground;
pub mod house;
pub mod lines;
pub mod queries;
pub mod roster;
pub mod stalls;
pub mod stamps;
pub mod terms;

use std::cell::RefCell;
use std::rc::Rc;

pub type Shared = Rc<RefCell<desk::Desk>>;
/// A leaf call: its part's id and its number among that part's calls.
pub type CallId = (Rc<str>, usize);
