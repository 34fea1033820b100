//! The accept loop that all listeners of a control server share: a task for each connection, a limited number at once.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Accepts connections for as long as the program runs and has each served by a task of its own. While
/// `max_connections` are open, further ones are closed at once. Accepting is tried again after `retry_delay` where the
/// listener reports an error.
pub(crate) async fn serve_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    max_connections: usize,
    retry_delay: Duration,
    serve: impl Fn(TcpStream) -> F,
) {
    let open_count = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = alderway_sockets::accept(&listener).await else {
            sleep(retry_delay).await;
            continue;
        };
        if open_count.get() >= max_connections {
            continue;
        }
        open_count.set(open_count.get() + 1);
        let (open_count, served) = (open_count.clone(), serve(stream));
        spawn_local(async move {
            served.await;
            open_count.set(open_count.get() - 1);
        });
    }
}
