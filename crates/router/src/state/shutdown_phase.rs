//! The phase of a graceful shutdown.

/// The phases of a graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// The router reports that it is not ready, so that it gets no new connections; open ones are served.
    Draining,
    /// Every connection closes after its current response.
    Closing,
    /// Open queries have been failed. There is no time left to answer a new one, which is rejected at once.
    Ending,
}
