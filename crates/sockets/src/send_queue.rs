//! What the system still holds of the bytes written to a connection.
use nix::libc;
use std::ffi::c_int;
use std::os::fd::AsRawFd;
use tokio::net::TcpStream;

/// The `ioctl` request of Linux for the number of bytes that have not been transmitted yet (`SIOCOUTQNSD`).
const UNTRANSMITTED_REQUEST: libc::c_ulong = 0x894B;

nix::ioctl_read_bad!(read_unacknowledged, libc::TIOCOUTQ, c_int);
nix::ioctl_read_bad!(read_untransmitted, UNTRANSMITTED_REQUEST, c_int);

/// The bytes that were written to a connection and that the system still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendQueue {
    /// Number of bytes that the other machine has not acknowledged.
    pub unacknowledged: u64,
    /// Number of bytes among them that have never been transmitted, as the other side does not read.
    pub untransmitted: u64,
}

impl SendQueue {
    /// Asks the system for the send queue of a connection; `None` if the system does not tell.
    pub fn of(stream: &TcpStream) -> Option<SendQueue> {
        let (mut unacknowledged, mut untransmitted): (c_int, c_int) = (0, 0);
        // Safety: both requests write one integer, and the descriptor is open for as long as the stream is.
        unsafe {
            read_unacknowledged(stream.as_raw_fd(), &raw mut unacknowledged).ok()?;
            read_untransmitted(stream.as_raw_fd(), &raw mut untransmitted).ok()?;
        }
        let bytes = |count: c_int| u64::try_from(count).ok();
        Some(SendQueue { unacknowledged: bytes(unacknowledged)?, untransmitted: bytes(untransmitted)? })
    }
}
