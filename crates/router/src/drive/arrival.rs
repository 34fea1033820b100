//! Reads with the moment at which the last byte came in. The system stamps it: a router that stood still, or
//! was kept off its core, would take old bytes for new ones and count a client's time from too late.
use crate::memory::clock::Clock;
use nix::cmsg_space;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recv, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Asks for stamps; connections inherit it from their listener.
pub fn stamp(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Whether bytes have come that are not read yet, whatever the runtime has been told so far.
pub fn waits(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn peek(stream: &TcpStream) -> nix::Result<usize> {
    recv(stream.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT)
}

/// Whether the other side has ended a connection on which nothing is unread.
pub fn ended(stream: &TcpStream) -> bool {
    peek(stream) == Ok(0)
}

/// Reads what is there and says how much, and when the last of it came.
pub fn read(stream: &TcpStream, space: &mut [u8], clock: Clock) -> io::Result<(usize, f64)> {
    stream.try_io(Interest::READABLE, || {
        let mut stamps = cmsg_space!(TimeSpec);
        let mut space = [IoSliceMut::new(space)];
        let fd = stream.as_raw_fd();
        let came = recvmsg::<()>(fd, &mut space, Some(&mut stamps), MsgFlags::MSG_DONTWAIT)?;
        let stamp = came.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(at) => Some(UNIX_EPOCH + Duration::from(at)),
            _ => None,
        });
        let age = stamp.and_then(|at| SystemTime::now().duration_since(at).ok());
        Ok((came.bytes, clock.now() - age.unwrap_or_default().as_secs_f64()))
    })
}
