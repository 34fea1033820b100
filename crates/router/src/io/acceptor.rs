//! The listener for clients: accepts connections while descriptors are available, and passes them on to be served.
use super::client_session;
use crate::state::DispatcherHandle;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::shared::TransferredConnection;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Pause before accepting is retried after an error, or while no descriptor is available.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Serves accepted connections.
pub trait ConnectionAcceptor {
    /// Closes an idle connection, if there is one, so that its descriptor is released.
    fn close_idle_connection(&self);

    /// Serves an accepted connection, or passes it to a core. `permit` is the permit for its descriptor.
    fn accept(&self, stream: TcpStream, permit: DescriptorPermit) -> impl Future<Output = ()>;
}

/// On one core, connections are served where they are accepted.
impl ConnectionAcceptor for DispatcherHandle {
    fn close_idle_connection(&self) {
        let dispatcher = self.borrow();
        let partial_request_timeout_s = dispatcher.connection_config.dial_timeout_s;
        dispatcher.clients.close_longest_idle(dispatcher.clock.now(), partial_request_timeout_s);
    }

    async fn accept(&self, stream: TcpStream, permit: DescriptorPermit) {
        drop(spawn_local(client_session::serve(self.clone(), stream, permit, false)));
    }
}

/// Accepts connections until `close` is notified. Before this returns, it also accepts every connection that waits in
/// the system's queue by then, even if the runtime has not reported it. Where descriptors run out, idle connections
/// are closed.
pub async fn accept_connections(
    acceptor: impl ConnectionAcceptor,
    listener: TcpListener,
    descriptors: Arc<DescriptorPool>,
    close: Rc<Notify>,
) {
    loop {
        let permit = acquire_descriptor(&acceptor, &descriptors).await;
        let accepted = tokio::select! {
            biased;
            accepted = alderway_sockets::accept(&listener) => accepted,
            () = close.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => acceptor.accept(stream, permit).await,
            Err(error) => {
                tracing::warn!(target: "accept", "cannot accept a connection: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if let Ok(listener) = listener.into_std() {
        accept_waiting(&acceptor, &listener, &descriptors).await;
    }
}

/// Accepts the connections that wait in the system's queue of a listener that closes.
async fn accept_waiting(
    acceptor: &impl ConnectionAcceptor,
    listener: &std::net::TcpListener,
    descriptors: &Arc<DescriptorPool>,
) {
    loop {
        let permit = acquire_descriptor(acceptor, descriptors).await;
        match alderway_sockets::accept_waiting(listener).await {
            Ok(Some(stream)) => acceptor.accept(stream, permit).await,
            Ok(None) => return,
            Err(error) => {
                return tracing::warn!(target: "accept", "cannot accept the queued connections of the closing listener: {error}");
            }
        }
    }
}

/// Waits for a descriptor, and closes idle connections until one is available.
async fn acquire_descriptor(
    acceptor: &impl ConnectionAcceptor,
    descriptors: &Arc<DescriptorPool>,
) -> DescriptorPermit {
    loop {
        if let Some(permit) = descriptors.acquire() {
            return permit;
        }
        acceptor.close_idle_connection();
        let _ = timeout(RETRY_PAUSE, descriptors.released.notified()).await;
    }
}

/// Serves a connection that the supervising thread accepted, or that another core hands over between two requests.
pub fn serve_transferred(dispatcher: &DispatcherHandle, connection: TransferredConnection) {
    let TransferredConnection { stream, permit, has_sent_request } = connection;
    match TcpStream::from_std(stream) {
        Ok(stream) => {
            drop(spawn_local(client_session::serve(dispatcher.clone(), stream, permit, has_sent_request)));
        }
        Err(error) => {
            tracing::warn!(target: "accept", "cannot serve a connection from another thread: {error}")
        }
    }
}
