//! The listener for clients: accepts connections for as long as there are descriptors, and hands them to whoever serves them.
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

/// Between two attempts where the system gives no descriptor, or all connections are busy.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Where accepted connections go.
pub trait ConnectionAcceptor {
    /// Closes an idle connection, so that a descriptor comes free.
    fn close_idle_connection(&self);

    /// Takes an accepted connection over, with the permit for its descriptor.
    fn accept(&self, stream: TcpStream, permit: DescriptorPermit) -> impl Future<Output = ()>;
}

/// On one core, connections are served where they are accepted.
impl ConnectionAcceptor for DispatcherHandle {
    fn close_idle_connection(&self) {
        let dispatcher = self.borrow();
        let half_sent_timeout_s = dispatcher.connection_config.dial_timeout_s;
        dispatcher.clients.close_longest_idle(dispatcher.clock.now(), half_sent_timeout_s);
    }

    async fn accept(&self, stream: TcpStream, permit: DescriptorPermit) {
        drop(spawn_local(client_session::serve(self.clone(), stream, permit, false)));
    }
}

/// Accepts connections until `close` is notified; what the system has accepted by then, whether or not the runtime has been
/// told of it, is accepted before this returns. Where descriptors run out, idle connections make room.
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
                tracing::warn!(target: "accept", "no connection accepted: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if let Ok(listener) = listener.into_std() {
        accept_waiting(&acceptor, &listener, &descriptors).await;
    }
}

/// Accepts what waits in the system's queue of a listener that closes.
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
                return tracing::warn!(target: "accept", "the listener failed as it closed: {error}");
            }
        }
    }
}

/// Waits for a descriptor, for which idle connections make room.
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

/// Serves a connection that the acceptor's core has accepted, or another core hands over between two of its requests.
pub fn serve_transferred(dispatcher: &DispatcherHandle, connection: TransferredConnection) {
    let TransferredConnection { stream, permit, has_sent_request } = connection;
    match TcpStream::from_std(stream) {
        Ok(stream) => {
            drop(spawn_local(client_session::serve(dispatcher.clone(), stream, permit, has_sent_request)));
        }
        Err(error) => tracing::warn!(target: "accept", "a connection could not be taken over: {error}"),
    }
}
