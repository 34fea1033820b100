//! Reads that also return when the last byte arrived. The time is the system's receive timestamp: a router that was
//! suspended or not scheduled reads bytes long after they arrived, and would count a client's remaining time from too
//! late.
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

/// Enables receive timestamps on a socket. Connections inherit the option from their listener.
pub fn enable_receive_timestamps(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Whether bytes have arrived that are not read yet, even if the runtime has not reported the socket as readable.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    uninterrupted(|| Ok(recv(stream.as_raw_fd(), &mut [0], flags)?))
}

/// Whether the peer has closed a connection that has no unread bytes.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count == 0)
}

/// How many bytes were read, and the system's receive timestamp of the last one, in seconds of the wall clock.
type TimestampedRead = (usize, Option<f64>);

/// Reads the available bytes. Returns how many there were and when the last one arrived, in seconds of the clock, or
/// `None` if there were none. `drained_at_s` is when the connection last had no unread bytes; it is updated if that
/// is the case now.
///
/// # Errors
/// The connection was closed or broke.
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
    let arrived_at = timestamp.map_or(now, |timestamp| estimator.arrival_time(now, *drained_at_s, timestamp));
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
