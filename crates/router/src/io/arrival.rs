//! Reads with the moment at which the last byte came in. The system stamps it: a router that stood still, or
//! was kept off its core, would take old bytes for new ones and count a client's time from too late.
use crate::state::arrival_time::ArrivalEstimator;
use alderway_sockets::{received, uninterrupted};
use alderway_telemetry::clock::Clock;
use nix::cmsg_space;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recv, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Asks for stamps; connections inherit it from their listener.
pub fn enable_receive_timestamps(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Whether bytes have come that are not read yet, whatever the runtime has been told so far.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    uninterrupted(|| Ok(recv(stream.as_raw_fd(), &mut [0], flags)?))
}

/// Whether the other side has ended a connection on which nothing is unread.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count == 0)
}

/// The bytes of a read, and the system's stamp of the last of them in seconds of its wall clock.
type Stamped = (usize, Option<f64>);

/// Reads what is there and says how much, and when the last of it came; `None` where nothing is there. `since` is when
/// nothing was unread on the connection, and moves to now where nothing is.
///
/// # Errors
/// The connection is over.
pub fn read_with_arrival_time(
    stream: &TcpStream,
    space: &mut [u8],
    clock: Clock,
    stamps: &mut ArrivalEstimator,
    since: &mut f64,
) -> io::Result<Option<(usize, f64)>> {
    let before = clock.now();
    let Some((count, stamp)) = received(uninterrupted(|| read_stamped(stream, space)))? else {
        *since = before;
        return Ok(None);
    };
    let now = clock.now();
    Ok(Some((count, stamp.map_or(now, |stamp| stamps.arrival_time(now, *since, stamp)))))
}

fn read_stamped(stream: &TcpStream, space: &mut [u8]) -> io::Result<Stamped> {
    stream.try_io(Interest::READABLE, || {
        let mut stamps = cmsg_space!(TimeSpec);
        let mut space = [IoSliceMut::new(space)];
        let fd = stream.as_raw_fd();
        let came = recvmsg::<()>(fd, &mut space, Some(&mut stamps), MsgFlags::MSG_DONTWAIT)?;
        let stamp = came.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at).as_secs_f64()),
            _ => None,
        });
        Ok((came.bytes, stamp))
    })
}
