//! How far a graceful shutdown has got.

/// The phases of a graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown was asked for.
    #[default]
    Serving,
    /// No new connection is wanted; open ones go on.
    Draining,
    /// Every connection closes with its present response.
    Closing,
    /// Open queries have been failed; a new one would find no time for a response and is rejected at once.
    Ending,
}
