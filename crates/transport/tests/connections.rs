//! Backoff, dialling and the handshake, on loopback sockets.
use alderway_transport::{
    Backoff, FrameError, FrameReader, HANDSHAKE_TIMEOUT, HandshakeError, Hello, Received, SessionEnd,
    WireMessage, connect, encode_hello, encode_message, exchange_hellos, keep_connected, write_all,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// For what has to happen on an idle loopback; a test that waits so long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Note(u32);

impl WireMessage for Note {
    const PROTOCOL_ID: [u8; 4] = *b"TEST";
    const VERSION: u16 = 1;
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("in time") })
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

async fn pair() -> (TcpStream, TcpStream) {
    let (listener, address) = listener().await;
    let dialled = connect(address).await.expect("connected");
    (dialled, listener.accept().await.expect("accepted").0)
}

fn hello_bytes(name: &str) -> Vec<u8> {
    let mut bytes = vec![];
    encode_hello::<Note>(&mut bytes, &Hello::new::<Note>(name, 1));
    bytes
}

async fn handshake(stream: &TcpStream, reader: &mut FrameReader<Note>) -> Result<Hello, HandshakeError> {
    exchange_hellos(stream, &mut hello_bytes("own"), reader, &mut [0; 256]).await
}

#[rstest]
fn pauses_double_up_to_a_second_within_their_jitter_and_start_again_after_a_reset() {
    let mut backoff = Backoff::new(1);
    for longest_s in [0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0] {
        let delay_s = backoff.next_delay().as_secs_f64();
        assert!((0.5 * longest_s..=longest_s).contains(&delay_s), "{delay_s} of {longest_s}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(50));
}

#[rstest]
fn pauses_are_drawn_from_the_seed() {
    let draws =
        |seed| (0..5).scan(Backoff::new(seed), |backoff, _| Some(backoff.next_delay())).collect::<Vec<_>>();
    assert_eq!(draws(7), draws(7));
    assert_ne!(draws(7), draws(8));
}

#[rstest]
fn both_sides_learn_each_others_hello_and_keep_what_came_with_it() {
    block_on(async {
        let (near, mut far) = pair().await;
        let mut bytes = hello_bytes("far");
        encode_message(&mut bytes, &Note(7)).expect("it fits a frame");
        far.write_all(&bytes).await.expect("written");
        let mut reader = FrameReader::default();
        assert_eq!(handshake(&near, &mut reader).await.expect("a hello"), Hello::new::<Note>("far", 1));
        assert_eq!(reader.next_frame(), Ok(Some(Received::Message(Note(7)))));
        let mut own = vec![0; hello_bytes("own").len()];
        far.read_exact(&mut own).await.expect("the other side's hello");
        assert_eq!(own, hello_bytes("own"));
    });
}

#[rstest]
fn a_peer_that_says_nothing_times_out() {
    block_on(async {
        let (near, _far) = pair().await;
        let began = Instant::now();
        let error = handshake(&near, &mut FrameReader::default()).await.expect_err("nothing came");
        assert!(matches!(error, HandshakeError::TimedOut), "{error:?}");
        assert_eq!(error.to_string(), "no hello in time");
        assert!(began.elapsed() >= HANDSHAKE_TIMEOUT);
    });
}

#[rstest]
fn a_peer_that_closes_or_speaks_something_else_is_told_apart() {
    block_on(async {
        let (near, far) = pair().await;
        drop(far);
        let error = handshake(&near, &mut FrameReader::default()).await.expect_err("closed");
        assert!(matches!(error, HandshakeError::Closed | HandshakeError::Io(_)), "{error:?}");

        let (near, mut far) = pair().await;
        far.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("written");
        let error = handshake(&near, &mut FrameReader::default()).await.expect_err("another protocol");
        assert!(matches!(error, HandshakeError::Frame(FrameError::OtherProtocol)), "{error:?}");
    });
}

#[rstest]
fn all_bytes_are_written_however_slowly_they_are_read() {
    block_on(async {
        let (near, mut far) = pair().await;
        let mut outgoing: Vec<u8> = (0..8_000_000_u32).map(|n| n as u8).collect();
        let expected = outgoing.clone();
        let mut received = vec![0; expected.len()];
        let (written, read) = tokio::join!(write_all(&near, &mut outgoing), far.read_exact(&mut received));
        assert!(written.is_ok() && read.is_ok());
        assert!(outgoing.is_empty() && received == expected);
    });
}

#[rstest]
fn a_connection_that_ends_is_made_again() {
    block_on(async {
        let (listener, address) = listener().await;
        let mut sessions = 0;
        let accept = async {
            for _ in 0..3 {
                drop(listener.accept().await.expect("accepted"));
            }
        };
        let session = async |_: TcpStream| {
            sessions += 1;
            SessionEnd::Established
        };
        tokio::select! {
            () = keep_connected(address, 1, session) => unreachable!("it never ends by itself"),
            () = accept => {}
        }
        assert!(sessions >= 2, "{sessions}");
    });
}

#[rstest]
fn nobody_listening_is_an_error() {
    block_on(async {
        let (listener, address) = listener().await;
        drop(listener);
        assert!(connect(address).await.is_err());
    });
}
