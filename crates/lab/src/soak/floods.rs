//! Clients that flood a router: some send small or unsound requests at full speed, others stop within large ones. They run
//! on threads of their own, so that they do not slow down the stand-ins.
use super::scenario::FloodKind;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections of a flood that sends at full speed, each on its own thread.
const FLOODING_CONNECTIONS: u64 = 2;
/// Connections of clients that stop within a request.
const STALLING_CONNECTIONS: usize = 50;
/// Before a client connects again whose connection the router has closed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Before a client looks again whether its socket takes more.
const RETRY_PAUSE: Duration = Duration::from_micros(50);

/// Floods the router at `address` for a span.
pub fn begin(address: SocketAddr, kind: FloodKind, span: Duration) {
    let until = Instant::now() + span;
    if kind == FloodKind::HalfRequests {
        thread::spawn(move || stall(address, until));
        return;
    }
    for client in 0..FLOODING_CONNECTIONS {
        thread::spawn(move || {
            let mut count = 0;
            while Instant::now() < until {
                send_until_closed(address, until, &mut || {
                    count += 1;
                    next_bytes(kind, client << 32 | count)
                });
                thread::sleep(RECONNECT_PAUSE);
            }
        });
    }
}

fn next_bytes(kind: FloodKind, number: u64) -> Vec<u8> {
    match kind {
        FloodKind::EmptyLines => b"\r\n".repeat(8 * 1024),
        FloodKind::Ready => b"GET /up HTTP/1.1\r\n\r\n".repeat(500),
        FloodKind::NoId => b"POST /api HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}".repeat(500),
        FloodKind::ManyFields => format!("GET /up HTTP/1.1\r\n{}\r\n", "a:\r\n".repeat(4000)).into_bytes(),
        FloodKind::NewClasses => format!(
            "POST /api HTTP/1.1\r\nX-Correlation-Id: f{number}\r\nX-Service-Class: c{number}\r\n\
             X-Time-Left-Ms: 500\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        .repeat(100)
        .into_bytes(),
        FloodKind::HalfRequests => {
            let head = "POST /api HTTP/1.1\r\nContent-Length: 65000\r\n\r\n";
            format!("{head}{}", "x".repeat(60_000)).into_bytes()
        }
    }
}

/// Sends on one connection, and reads away what comes back, until a time or the connection's end.
fn send_until_closed(address: SocketAddr, until: Instant, next_bytes: &mut dyn FnMut() -> Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    if stream.set_nonblocking(true).is_err() {
        return;
    }
    let (mut space, mut unsent) = (vec![0; 64 * 1024], vec![]);
    while Instant::now() < until {
        if unsent.is_empty() {
            unsent = next_bytes();
        }
        let Ok(written) = transferred(stream.write(&unsent)) else { return };
        unsent.drain(..written);
        let read = stream.read(&mut space);
        if matches!(read, Ok(0)) {
            return;
        }
        let Ok(read) = transferred(read) else { return };
        if written + read == 0 {
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// The bytes that passed; 0 where the socket takes or has none now.
fn transferred(passed: std::io::Result<usize>) -> std::io::Result<usize> {
    match passed {
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(0),
        passed => passed,
    }
}

/// Clients that send the first part of a large request, and stay.
fn stall(address: SocketAddr, until: Instant) {
    let connect = |_| {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some((stream, next_bytes(FloodKind::HalfRequests, 0)))
    };
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..STALLING_CONNECTIONS).filter_map(connect).collect();
    while Instant::now() < until {
        for (stream, unsent) in &mut clients {
            let written = transferred(stream.write(unsent)).unwrap_or(0);
            unsent.drain(..written);
        }
        thread::sleep(Duration::from_millis(5));
    }
}
