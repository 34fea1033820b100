//! Accepts client connections while file descriptors are available, and passes each connection to a
//! [`ConnectionAcceptor`]. A core is a thread that serves client connections.
use super::client_session;
use crate::state::DispatcherHandle;
use crate::state::descriptors::{DescriptorPermit, DescriptorPool};
use crate::state::shared::TransferredConnection;
use alderway_sockets::TurnQueue;
use alderway_telemetry::turns::TaskKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Pause before the router tries again to accept a connection, after an error or while no file descriptor is
/// available.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Serves accepted client connections, or distributes the connections to cores.
pub trait ConnectionAcceptor {
    /// The tasks of the acceptor's thread that have used up their turn.
    fn turn_queue(&self) -> TurnQueue;

    /// Closes an idle client connection, if there is one, to release its file descriptor.
    fn close_idle_connection(&self);

    /// Serves an accepted client connection, or passes the connection to a core. `permit` reserves the
    /// connection's file descriptor.
    fn accept(&self, stream: TcpStream, permit: DescriptorPermit) -> impl Future<Output = ()>;
}

/// Serves each accepted connection on the current thread.
impl ConnectionAcceptor for DispatcherHandle {
    fn turn_queue(&self) -> TurnQueue {
        self.borrow().turn_queue.clone()
    }

    fn close_idle_connection(&self) {
        let dispatcher = self.borrow();
        let partial_request_timeout_s = dispatcher.connection_config.dial_timeout_s;
        dispatcher.clients.close_longest_idle(dispatcher.clock.now(), partial_request_timeout_s);
    }

    async fn accept(&self, stream: TcpStream, permit: DescriptorPermit) {
        spawn_session(self, stream, permit, false);
    }
}

fn spawn_session(
    dispatcher: &DispatcherHandle,
    stream: TcpStream,
    permit: DescriptorPermit,
    has_sent_request: bool,
) {
    let turn_times = dispatcher.borrow().turn_times.clone();
    let session = client_session::serve(dispatcher.clone(), stream, permit, has_sent_request);
    drop(spawn_local(turn_times.measure(TaskKind::Client, session)));
}

/// Accepts client connections until `close` is notified, then accepts the connections that are already in the
/// listener's queue in the kernel and returns. Closes idle connections while no file descriptor is available.
pub async fn accept_connections(
    acceptor: impl ConnectionAcceptor,
    listener: TcpListener,
    descriptors: Arc<DescriptorPool>,
    close: Rc<Notify>,
) {
    let mut turns = acceptor.turn_queue().turns();
    loop {
        turns.give_way().await;
        let permit = turns.wait(acquire_descriptor(&acceptor, &descriptors)).await;
        let accepted = async {
            tokio::select! {
                biased;
                accepted = alderway_sockets::accept(&listener) => Some(accepted),
                () = close.notified() => None,
            }
        };
        match turns.wait(accepted).await {
            None => break,
            Some(Ok((stream, _))) => acceptor.accept(stream, permit).await,
            Some(Err(error)) => {
                tracing::warn!(target: "accept", "cannot accept a client connection: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if let Ok(listener) = listener.into_std() {
        accept_waiting(&acceptor, &listener, &descriptors).await;
    }
}

/// Accepts the client connections that are in the kernel's queue of a closing listener.
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
                return tracing::warn!(target: "accept", "cannot accept the client connections in the queue of the closing listener: {error}");
            }
        }
    }
}

/// Waits for a free file descriptor, and closes idle client connections until there is one. Connections that
/// were accepted just before have their first turn first: those whose clients have gone release descriptors.
async fn acquire_descriptor(
    acceptor: &impl ConnectionAcceptor,
    descriptors: &Arc<DescriptorPool>,
) -> DescriptorPermit {
    loop {
        if let Some(permit) = descriptors.acquire() {
            return permit;
        }
        yield_now().await;
        if let Some(permit) = descriptors.acquire() {
            return permit;
        }
        acceptor.close_idle_connection();
        let _ = timeout(RETRY_PAUSE, descriptors.released.notified()).await;
    }
}

/// Serves a client connection on this core. Either the supervising thread has accepted the connection and
/// assigned it to this core, or another core has handed the connection over.
pub fn serve_transferred(dispatcher: &DispatcherHandle, connection: TransferredConnection) {
    let TransferredConnection { stream, permit, has_sent_request } = connection;
    match TcpStream::from_std(stream) {
        Ok(stream) => {
            spawn_session(dispatcher, stream, permit, has_sent_request);
        }
        Err(error) => {
            tracing::warn!(target: "accept", "cannot serve a client connection that another thread handed over to this core: {error}")
        }
    }
}
