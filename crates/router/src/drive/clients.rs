//! The drivers of the listener and of clients' connections.
use super::{arrival, until};
use crate::memory::Shared;
use crate::memory::clients::Client;
use crate::memory::descriptors::{Held, Share};
use crate::requests;
use crate::wire::answer;
use crate::wire::buffer::Buffer;
use crate::wire::http::{MESSAGE, Messages};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Between two tries where the system gives no descriptor, or all connections are busy.
const PAUSE: Duration = Duration::from_millis(10);
/// How long a connection that this side ends waits for the client to end it too, so that what the client
/// still sends does not reset the answer on its way.
const LINGER: Duration = Duration::from_millis(500);

/// Accepts for as long as descriptors are left; idle connections make room. Ends with `close`, after taking
/// in what the system had accepted by then.
pub async fn listen(desk: Shared, listener: TcpListener, share: Rc<Share>, close: Rc<Notify>) {
    let mut closing = false;
    loop {
        let Some(held) = share.take() else {
            let (now, patience) = (desk.borrow().clock.now(), desk.borrow().trunk.dial);
            desk.borrow().clients.dismiss_oldest(now, patience);
            let _ = timeout(PAUSE, share.released.notified()).await;
            continue;
        };
        let came = tokio::select! {
            biased;
            came = listener.accept() => came,
            () = close.notified(), if !closing => {
                closing = true;
                continue;
            }
            () = std::future::ready(()), if closing => return,
        };
        match came {
            Ok((stream, _)) => drop(spawn_local(serve(desk.clone(), stream, held))),
            Err(why) => {
                log::warn!(target: "accept", "no connection accepted: {why}");
                sleep(PAUSE).await;
            }
        }
    }
}

/// One connection from its first byte to its last.
async fn serve(desk: Shared, mut stream: TcpStream, held: Held) {
    let _ = stream.set_nodelay(true);
    let (id, client) = {
        let mut desk = desk.borrow_mut();
        desk.counters.one("clients{accepted}");
        let now = desk.clock.now();
        desk.clients.arrive(now)
    };
    let linger = converse(&desk, &client, &stream).await;
    if let Some(number) = client.query.get() {
        desk.borrow_mut().client_left(number);
    }
    client.idle.set(None);
    if linger && stream.shutdown().await.is_ok() {
        let mut rest = [0; 1024];
        let _ = timeout(LINGER, async {
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut rest) {
                    Ok(0) => break,
                    Err(why) if why.kind() != ErrorKind::WouldBlock => break,
                    _ => {}
                }
            }
        })
        .await;
    }
    drop(stream);
    drop(held);
    let mut desk = desk.borrow_mut();
    desk.clients.depart(id);
    desk.counters.one("clients{closed}");
}

/// Reads requests and writes answers; true when this side ends the connection after an answer.
async fn converse(desk: &Shared, client: &Rc<Client>, stream: &TcpStream) -> bool {
    let (clock, patience) = (desk.borrow().clock, desk.borrow().room.deadline);
    let (mut buffer, mut messages) = (Buffer::new(MESSAGE), Messages::default());
    let (mut written, mut lost, mut went_ahead) = (0, false, false);
    // When the last byte came, and by when what is under way must be done.
    let (mut read_at, mut bound) = (clock.now(), f64::INFINITY);
    loop {
        // One request at a time: the next one waits unread until the answer is out.
        while !lost && client.query.get().is_none() && client.out.borrow().is_empty() {
            match messages.find(&mut buffer) {
                Ok(true) => {
                    let (head, body) = messages.message(&buffer);
                    requests::take(desk, client, head, body, read_at);
                    messages.done(&mut buffer);
                    client.used.set(true);
                    (went_ahead, bound) = (false, f64::INFINITY);
                }
                Ok(false) => {
                    if !went_ahead && messages.awaits_go_ahead(&buffer) {
                        went_ahead = true;
                        client.out.borrow_mut().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    break;
                }
                Err(refusal) => {
                    desk.borrow_mut().counters.one("requests{unreadable}");
                    answer::unreadable(&mut client.out.borrow_mut(), refusal);
                    lost = true;
                    client.closes.set(true);
                }
            }
        }
        if !client.out.borrow().is_empty() {
            match stream.try_write(&client.out.borrow()[written..]) {
                Ok(count) => {
                    written += count;
                    desk.borrow_mut().counters.add("bytes_to_clients", count);
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            if written == client.out.borrow().len() {
                client.out.borrow_mut().clear();
                (written, bound) = (0, f64::INFINITY);
                if client.closes.get() && client.query.get().is_none() {
                    return true;
                }
                continue;
            }
        }
        let (open, writing) = (client.query.get().is_some(), !client.out.borrow().is_empty());
        let waiting = !open && !writing;
        client.idle.set(waiting.then_some(read_at));
        client.half_sent.set(waiting && !buffer.is_empty());
        // A half-sent request or a half-read answer is waited for as long as any client may wait.
        if !writing && !client.half_sent.get() {
            bound = f64::INFINITY;
        } else if bound.is_infinite() {
            bound = clock.now() + patience;
        }
        let room = !buffer.space().is_empty();
        tokio::select! {
            biased;
            _ = stream.readable(), if room => match arrival::read(stream, buffer.space(), clock) {
                Ok((0, _)) => return false,
                Ok((count, at)) => {
                    buffer.filled(count);
                    read_at = at;
                    desk.borrow_mut().counters.add("bytes_from_clients", count);
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            },
            _ = stream.writable(), if writing => {}
            () = client.wake.notified() => {}
            () = std::future::ready(()), if waiting && client.dismissed.get() => {
                // Guards against closing on a request that has come and is not read yet: it counts as taken.
                if !room || !arrival::waits(stream) {
                    return false;
                }
                yield_now().await;
            }
            () = until(clock, bound), if bound.is_finite() && writing => return false,
            () = until(clock, bound), if bound.is_finite() => {
                desk.borrow_mut().counters.one("requests{half_sent}");
                answer::unreadable(&mut client.out.borrow_mut(), (408, "the request did not come in time"));
                lost = true;
                client.closes.set(true);
            }
        }
    }
}
