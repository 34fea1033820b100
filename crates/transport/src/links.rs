//! What drivers of links share: waits between dials, hellos, writing out.
use crate::frames::{Hello, Read, Reader, Speech};
use alderway_sockets::Sender;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Waits between two dials: from the least, doubled each time up to the most, each drawn between half of it and all.
const LEAST: f64 = 0.05;
const MOST: f64 = 1.0;
/// For a dial and the hello.
pub const PATIENCE: Duration = Duration::from_millis(500);

/// Waits between dials, each drawn between half of the last doubled and all of it.
pub struct Waits {
    chance: Pcg32,
    wait: f64,
}

impl Waits {
    pub fn new(seed: u64) -> Self {
        Waits { chance: Pcg32::new(seed, 1), wait: LEAST }
    }

    /// The peer was met: the next dial comes soon.
    pub fn met(&mut self) {
        self.wait = LEAST;
    }

    pub async fn wait(&mut self) {
        let part = 0.5 + f64::from(self.chance.next_u32()) / 8_589_934_592.0;
        sleep(Duration::from_secs_f64(self.wait * part)).await;
        self.wait = (2.0 * self.wait).min(MOST);
    }
}

/// Writes all that waits.
pub async fn write_out(stream: &TcpStream, out: &mut Vec<u8>) -> Result<(), String> {
    let mut sender = Sender::default();
    while !out.is_empty() {
        sender.ready(stream).await;
        match sender.write(stream, out) {
            Ok(count) => drop(out.drain(..count)),
            Err(why) => return Err(why.to_string()),
        }
    }
    Ok(())
}

/// Writes what waits, the own hello, and reads the other side's, which has to come in time.
pub async fn greet<M: Speech>(
    stream: &TcpStream,
    out: &mut Vec<u8>,
    reader: &mut Reader<M>,
    space: &mut [u8],
) -> Result<Hello, String> {
    let met = timeout(PATIENCE, async {
        write_out(stream, out).await?;
        read_hello(stream, reader, space).await
    });
    met.await.map_err(|_| "no hello in time".to_string())?
}

async fn read_hello<M: Speech>(
    stream: &TcpStream,
    reader: &mut Reader<M>,
    space: &mut [u8],
) -> Result<Hello, String> {
    loop {
        match reader.read().map_err(|why| why.to_string())? {
            Some(Read::Hello(hello)) => return Ok(hello),
            Some(Read::Message(_)) => return Err("no hello came first".into()),
            None => {}
        }
        stream.readable().await.map_err(|why| why.to_string())?;
        match alderway_sockets::read(stream, space) {
            Ok(Some(0)) => return Err("it ended before its hello".into()),
            Ok(Some(count)) => reader.feed(&space[..count]),
            Ok(None) => {}
            Err(why) => return Err(why.to_string()),
        }
    }
}
