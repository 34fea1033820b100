//! The accept loop that all listeners for peers share: a task for each connection, a limited number at once.
use alderway_sockets::TurnQueue;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Before accepting again after the listener reported an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections for as long as the program runs and has each served by a task of its own. While
/// `max_connections` are open, further ones are closed at once.
pub async fn serve_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    max_connections: usize,
    turn_queue: &TurnQueue,
    serve: impl Fn(TcpStream) -> F,
) {
    let open_count = Rc::new(Cell::new(0));
    let mut turns = turn_queue.turns();
    loop {
        turns.give_way().await;
        let Ok((stream, _)) = turns.wait(alderway_sockets::accept(&listener)).await else {
            sleep(ACCEPT_RETRY_DELAY).await;
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
