//! The query router of alderway on real sockets. `wire` is what is spoken, `memory` what is kept, `life` how
//! it starts and stops, `drive` what reads and writes; `requests` is what clients may ask for. Every decision
//! is made in the `alderway` package's module, once a round.
pub mod control;
pub mod drive;
pub mod life;
pub mod memory;
pub mod peers;
pub mod requests;
pub mod tier;
pub mod wire;
