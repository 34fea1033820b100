//! The one accept loop of a control machine's listeners: a task for each connection, so many at once.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Has each connection served, `most` at once; one past that is closed unheard. `pause`: before another try, where the
/// system has no descriptor for a connection.
pub async fn serve_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    most: usize,
    pause: Duration,
    serve: impl Fn(TcpStream) -> F,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = alderway_sockets::accept(&listener).await else {
            sleep(pause).await;
            continue;
        };
        if open.get() >= most {
            continue;
        }
        open.set(open.get() + 1);
        let (open, served) = (open.clone(), serve(stream));
        spawn_local(async move {
            served.await;
            open.set(open.get() - 1);
        });
    }
}
