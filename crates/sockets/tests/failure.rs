//! Which errors pass and which end a connection.
use alderway_sockets::Failure;
use nix::errno::Errno;
use rstest::rstest;
use std::io;

#[rstest]
#[case(Errno::EINTR, Failure::Interrupted, false)]
#[case(Errno::EAGAIN, Failure::NotReady, false)]
#[case(Errno::ENOBUFS, Failure::Short, false)]
#[case(Errno::ENOMEM, Failure::Short, false)]
#[case(Errno::ENFILE, Failure::Short, false)]
#[case(Errno::EMFILE, Failure::Short, false)]
#[case(Errno::ECONNRESET, Failure::Over, true)]
#[case(Errno::EPIPE, Failure::Over, true)]
#[case(Errno::ETIMEDOUT, Failure::Over, true)]
#[case(Errno::EHOSTUNREACH, Failure::Over, true)]
#[case(Errno::ECONNABORTED, Failure::Over, true)]
#[case(Errno::EBADF, Failure::Misused, true)]
fn an_error_says_whether_its_connection_is_over(
    #[case] errno: Errno,
    #[case] failure: Failure,
    #[case] ends: bool,
) {
    let found = Failure::of(&io::Error::from_raw_os_error(errno as i32));
    assert_eq!((found, found.ends_connection()), (failure, ends));
}
