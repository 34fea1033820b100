//! What an error of a call on a socket means.
use nix::errno::Errno;
use std::io;

/// The sorts of errors that Linux documents for calls on sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A signal came in between: the same call is to be made again.
    Interrupted,
    /// Nothing can be done now; the system tells when.
    NotReady,
    /// The system has no descriptors, buffers or memory for now, and does not tell when it has.
    Short,
    /// This connection is over; no other is touched by it.
    Over,
    /// The call cannot be made on this socket at all.
    Misused,
}

impl Failure {
    pub fn of(why: &io::Error) -> Failure {
        match why.raw_os_error().map(Errno::from_raw) {
            Some(Errno::EINTR) => Failure::Interrupted,
            Some(Errno::EAGAIN) => Failure::NotReady,
            Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM) => Failure::Short,
            Some(Errno::EBADF | Errno::EINVAL | Errno::ENOTSOCK | Errno::EFAULT) => Failure::Misused,
            Some(_) => Failure::Over,
            None => match why.kind() {
                io::ErrorKind::Interrupted => Failure::Interrupted,
                io::ErrorKind::WouldBlock => Failure::NotReady,
                _ => Failure::Over,
            },
        }
    }

    /// Whether nothing more can pass on the connection.
    pub fn ends_connection(self) -> bool {
        matches!(self, Failure::Over | Failure::Misused)
    }
}
