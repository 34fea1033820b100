//! One way of reading, writing, accepting and dialling for all sockets of the program.
//!
//! Linux reports three sorts of errors for a call on a socket: the call was interrupted and is to be made again, the
//! system is short of something for now, or the connection is over. [`Failure`] tells them apart; the functions here
//! retry the first, wait out the second and report only the third. No driver matches on error kinds by itself.

mod failure;
mod send_queue;
pub mod signals;
mod turns;

pub use failure::Failure;
pub use send_queue::SendQueue;
pub use turns::{MAX_TURN, TurnQueue, Turns};

use nix::errno::Errno;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Between two tries where the system is short of descriptors, buffers, memory or ports.
pub const PAUSE: Duration = Duration::from_millis(10);

/// Makes a system call again for as long as it is interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(why) if Failure::of(&why) == Failure::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads once what has come: `None` where nothing has, 0 at the end of the stream.
///
/// # Errors
/// The connection is over.
pub fn read(stream: &TcpStream, space: &mut [u8]) -> io::Result<Option<usize>> {
    received(uninterrupted(|| stream.try_read(space)))
}

/// Whether the other side has closed its direction of the connection, or the connection has failed, as far as the runtime
/// has been told. Bytes that came before may still be unread.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let mut context = Context::from_waker(Waker::noop());
    matches!(ready.poll(&mut context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// What a read or its like has brought.
///
/// # Errors
/// The connection is over.
pub fn received<T>(came: io::Result<T>) -> io::Result<Option<T>> {
    match came {
        Ok(came) => Ok(Some(came)),
        Err(why) if Failure::of(&why).ends_connection() => Err(why),
        Err(_) => Ok(None),
    }
}

/// The sending side of one connection. Guards against waiting for readiness where the system was short of buffers: the
/// socket was ready all along, and tells it no second time.
#[derive(Debug, Default)]
pub struct Sender {
    short: bool,
}

impl Sender {
    /// Writes what the socket takes now, which may be nothing.
    ///
    /// # Errors
    /// The connection is over.
    pub fn write(&mut self, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
        match uninterrupted(|| stream.try_write(bytes)) {
            Ok(count) => {
                self.short = false;
                Ok(count)
            }
            Err(why) if Failure::of(&why).ends_connection() => Err(why),
            Err(why) => {
                self.short = Failure::of(&why) == Failure::Short;
                Ok(0)
            }
        }
    }

    /// Waits until another write may get further, or would tell that the connection is over.
    pub async fn ready(&self, stream: &TcpStream) {
        if self.short {
            sleep(PAUSE).await;
        }
        let _ = stream.writable().await;
    }
}

/// Accepts the next connection, however long the system is short of something. Connections that ended before they were
/// accepted are passed over.
///
/// # Errors
/// The listener itself cannot be used any more.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    loop {
        match listener.accept().await {
            Ok(accepted) => return Ok(accepted),
            Err(why) => match Failure::of(&why) {
                Failure::Short => sleep(PAUSE).await,
                Failure::Interrupted | Failure::NotReady | Failure::Over => {}
                Failure::Misused => return Err(why),
            },
        }
    }
}

/// Accepts a connection that waits in the system, whether or not the runtime has been told of it; `None` where none does.
///
/// # Errors
/// The listener itself cannot be used any more.
pub async fn accept_waiting(listener: &std::net::TcpListener) -> io::Result<Option<TcpStream>> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                return TcpStream::from_std(stream).map(Some);
            }
            Err(why) => match Failure::of(&why) {
                Failure::NotReady => return Ok(None),
                Failure::Short => sleep(PAUSE).await,
                Failure::Interrupted | Failure::Over => {}
                Failure::Misused => return Err(why),
            },
        }
    }
}

/// Dials, again and again while this machine is short of something.
///
/// # Errors
/// The other side cannot be reached, or does not want the connection.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    dial_telling(address, &Cell::new(false)).await
}

/// The same, telling meanwhile whether it is this machine that is short of something: whoever limits the wait cannot
/// blame the other side then.
///
/// # Errors
/// As of [`dial`].
pub async fn dial_telling(address: SocketAddr, short: &Cell<bool>) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(why) if is_local(&why) => {
                short.set(true);
                sleep(PAUSE).await;
            }
            done => {
                short.set(false);
                return done;
            }
        }
    }
}

/// Whether a dial failed for want of something on this machine.
fn is_local(why: &io::Error) -> bool {
    let no_port =
        matches!(why.raw_os_error().map(Errno::from_raw), Some(Errno::EADDRNOTAVAIL | Errno::EAGAIN));
    no_port || matches!(Failure::of(why), Failure::Short | Failure::Interrupted)
}
