//! An operator's side of the door: asks one machine after the other until one answers.
use crate::door::{Ask, Reply, Text};
use alderway_transport::{
    FrameReader, Hello, MAX_MESSAGE_BYTES, Received, WireMessage, encode_hello, encode_message,
};
use std::fmt;
use std::io::{Read as _, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// For a connection, and for the hello of a machine that is able to answer.
const MEET: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub why: String,
    /// The question went out: it may have been heard.
    pub sent: bool,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(&self.why)
    }
}

/// Asks the machine at one address, and waits so long for its answer.
pub fn ask(at: SocketAddr, ask: &Ask, wait: Duration) -> Result<Reply, Fault> {
    let mut sent = false;
    let tell = |why: String| format!("{at}: {why}");
    let reply = talk(at, ask, wait, &mut sent).map_err(tell);
    reply.map_err(|why| Fault { why, sent })
}

fn talk(at: SocketAddr, ask: &Ask, wait: Duration, sent: &mut bool) -> Result<Reply, String> {
    let mut stream = TcpStream::connect_timeout(&at, MEET).map_err(|why| why.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut out = vec![];
    let incarnation = u64::from(std::process::id());
    let hello = Hello { version: Text::VERSION, is_planner: false, incarnation, name: "operator".into() };
    encode_hello::<Text>(&mut out, &hello);
    stream.set_write_timeout(Some(MEET)).map_err(|why| why.to_string())?;
    stream.write_all(&out).map_err(|why| why.to_string())?;
    let (mut reader, met) = (FrameReader::<Text>::default(), Instant::now() + MEET);
    // A machine that is stopped is connected to, and says no hello.
    next(&mut stream, &mut reader, met).map_err(|why| format!("no hello: {why}"))?;
    let text = serde_json::to_string(ask).map_err(|why| why.to_string())?;
    out.clear();
    if encode_message(&mut out, &Text(text)).is_err() {
        return Err(format!("longer than {} bytes", MAX_MESSAGE_BYTES));
    }
    *sent = true;
    let end = Instant::now() + wait;
    stream.set_write_timeout(Some(wait.max(MEET))).map_err(|why| why.to_string())?;
    stream.write_all(&out).map_err(|why| why.to_string())?;
    match next(&mut stream, &mut reader, end)? {
        Received::Message(Text(text)) => serde_json::from_str(&text).map_err(|why| why.to_string()),
        Received::Hello(_) => Err("it says hello twice".into()),
    }
}

fn next(
    stream: &mut TcpStream,
    reader: &mut FrameReader<Text>,
    end: Instant,
) -> Result<Received<Text>, String> {
    let mut space = vec![0; 64 * 1024];
    loop {
        if let Some(read) = reader.next_frame().map_err(|why| why.to_string())? {
            return Ok(read);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".into());
        }
        stream.set_read_timeout(Some(left)).map_err(|why| why.to_string())?;
        match stream.read(&mut space) {
            Ok(0) => return Err("it ended the connection".into()),
            Ok(count) => reader.feed(&space[..count]),
            Err(_) if Instant::now() >= end => return Err("no answer in time".into()),
            Err(why) => return Err(why.to_string()),
        }
    }
}
