//! The query router of alderway on real sockets. `wire` is the protocol, `state` what is kept, `lifecycle` how it starts and stops, `io` what reads and writes; `requests` is what clients may ask for.
//! Every decision is made in the `alderway` crate's policy, once a round.
pub mod control;
pub mod gossip;
pub mod io;
pub mod lifecycle;
pub mod requests;
pub mod server;
pub mod state;
pub mod tier;
pub mod wire;
