//! Reads from sockets and determines when the last byte arrived, from the kernel's receive timestamp. A
//! router that was suspended or not scheduled reads bytes long after their arrival; without the timestamp,
//! the time limit of a request would start too late.
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

/// Enables the kernel's receive timestamps on a socket. Accepted connections inherit the option from their
/// listener.
pub fn enable_receive_timestamps(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Whether the socket has unread bytes, even if the runtime has not reported the socket as readable yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    uninterrupted(|| Ok(recv(stream.as_raw_fd(), &mut [0], flags)?))
}

/// Whether the peer has closed the connection and no unread bytes are left.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count == 0)
}

/// The number of bytes read, and the kernel's receive timestamp of the last byte, in seconds of Unix time;
/// `None` if the kernel reported no timestamp.
type TimestampedRead = (usize, Option<f64>);

/// Reads the available bytes. Returns the number of bytes and the arrival time of the last byte, or `None` if
/// no bytes were available. `drained_at_s` is when the connection last had no unread bytes; if no bytes are
/// unread now, the function sets `drained_at_s` to the current time. Times are in seconds of the monotonic
/// clock.
///
/// # Errors
/// The peer closed the connection, or reading failed.
pub fn read_with_arrival_time(
    stream: &TcpStream,
    buffer: &mut [u8],
    clock: Clock,
    estimator: &mut ArrivalEstimator,
    drained_at_s: &mut f64,
) -> io::Result<Option<(usize, f64)>> {
    let before = clock.now();
    let Some((count, timestamp)) = received(uninterrupted(|| read_timestamped(stream, buffer)))? else {
        *drained_at_s = before;
        return Ok(None);
    };
    let now = clock.now();
    let arrived_at =
        timestamp.map_or(now, |timestamp| estimator.estimate_arrival_s(now, *drained_at_s, timestamp));
    Ok(Some((count, arrived_at)))
}

fn read_timestamped(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<TimestampedRead> {
    stream.try_io(Interest::READABLE, || {
        let mut control_messages = cmsg_space!(TimeSpec);
        let mut buffers = [IoSliceMut::new(buffer)];
        let fd = stream.as_raw_fd();
        let received = recvmsg::<()>(fd, &mut buffers, Some(&mut control_messages), MsgFlags::MSG_DONTWAIT)?;
        let timestamp = received.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time).as_secs_f64()),
            _ => None,
        });
        Ok((received.bytes, timestamp))
    })
}
