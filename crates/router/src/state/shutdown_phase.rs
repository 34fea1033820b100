//! The phase of a graceful shutdown.

/// The phases of a graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// The router reports that it is not ready, so that the load balancer sends no new connections. Requests
    /// on open connections are served.
    Draining,
    /// The router closes every client connection after its current response.
    Closing,
    /// Open queries have been failed. No time is left to answer a new query, so the router rejects new
    /// queries immediately.
    Ending,
}
