//! Signals as a stream of events. The handler writes a byte to a socket pair, as is usual; it and the reading side make
//! a call again that was interrupted, so that no signal is lost and none ends the program by the way it is told.
use nix::errno::Errno;
use nix::sys::signal::{SaFlags, SigAction, SigHandler, SigSet, Signal, sigaction};
use nix::sys::socket::{MsgFlags, send};
use std::io;
use std::os::fd::IntoRawFd;
use std::os::unix::net::UnixStream as Pair;
use std::sync::atomic::{AtomicI32, Ordering::Relaxed};
use tokio::net::UnixStream;

/// Signals that can be asked for, how many may ask for each, and the descriptors that its handler writes to; none where
/// one is negative.
const KNOWN: [Signal; 3] = [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGINT];
const TAKERS: usize = 4;
static WRITERS: [[AtomicI32; TAKERS]; KNOWN.len()] =
    [const { [const { AtomicI32::new(NONE) }; TAKERS] }; KNOWN.len()];
const NONE: i32 = -1;
/// How often the handler tries to tell, as where the system has no buffers.
const TRIES: usize = 1000;

extern "C" fn handle(number: i32) {
    let errno = Errno::last_raw();
    let known = KNOWN.iter().position(|signal| *signal as i32 == number);
    let writers = known.map(|at| &WRITERS[at]).into_iter().flatten().map(|writer| writer.load(Relaxed));
    for writer in writers.filter(|writer| *writer != NONE) {
        let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL;
        // A full pair tells of the signal already, and where the taker is gone nobody waits for it.
        let passes = |error| matches!(error, Errno::EINTR | Errno::ENOBUFS | Errno::ENOMEM);
        for _ in 0..TRIES {
            if !send(writer, &[1], flags).is_err_and(passes) {
                break;
            }
        }
    }
    Errno::set_raw(errno);
}

/// One kind of signal, from the moment at which this was made; it does not end the program any more.
#[derive(Debug)]
pub struct Signals {
    pair: UnixStream,
}

impl Signals {
    /// Takes a signal over, beside others that did.
    ///
    /// # Errors
    /// The system has no descriptors, four have taken it already, or it is not one of SIGTERM, SIGHUP and SIGINT.
    pub fn of(signal: Signal) -> io::Result<Signals> {
        let unknown = || io::Error::other(format!("{signal} cannot be taken"));
        let at = KNOWN.iter().position(|known| *known == signal).ok_or_else(unknown)?;
        let (reader, writer) = Pair::pair()?;
        reader.set_nonblocking(true)?;
        writer.set_nonblocking(true)?;
        let descriptor = writer.into_raw_fd();
        let free = |place: &&AtomicI32| place.compare_exchange(NONE, descriptor, Relaxed, Relaxed).is_ok();
        WRITERS[at].iter().find(free).ok_or_else(unknown)?;
        let action = SigAction::new(SigHandler::Handler(handle), SaFlags::SA_RESTART, SigSet::empty());
        // SAFETY: the handler only sends on a descriptor and keeps the error number, both of which signal handlers may.
        unsafe { sigaction(signal, &action) }?;
        Ok(Signals { pair: UnixStream::from_std(reader)? })
    }

    /// Waits for the signal; several that came since the last call are one.
    pub async fn recv(&mut self) {
        let mut space = [0; 64];
        loop {
            // A pair whose other end this process holds never ends.
            let _ = self.pair.readable().await;
            match self.pair.try_read(&mut space) {
                Ok(1..) => return,
                Ok(0) => std::future::pending().await,
                Err(_) => {}
            }
        }
    }
}
