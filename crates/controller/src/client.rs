//! An operator's side of the door: asks one machine after the other until one answers.
use crate::door::{Ask, Reply, Text};
use alderway_tier::frames::{self, Hello, Read, Reader, Speech};
use std::io::{Read as _, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_secs(1);

/// Asks the machine at one address, and waits so long for its answer.
pub fn ask(at: SocketAddr, ask: &Ask, wait: Duration) -> Result<Reply, String> {
    let tell = |why: String| format!("{at}: {why}");
    talk(at, ask, wait).map_err(tell)
}

fn talk(at: SocketAddr, ask: &Ask, wait: Duration) -> Result<Reply, String> {
    let mut stream = TcpStream::connect_timeout(&at, CONNECT).map_err(|why| why.to_string())?;
    let end = Instant::now() + wait;
    let _ = stream.set_nodelay(true);
    let mut out = vec![];
    let incarnation = u64::from(std::process::id());
    let hello = Hello { version: Text::VERSION, planner: false, incarnation, name: "operator".into() };
    frames::hello_of::<Text>(&mut out, &hello);
    let text = serde_json::to_string(ask).map_err(|why| why.to_string())?;
    if !frames::message(&mut out, &Text(text)) {
        return Err(format!("longer than {} bytes", frames::LONGEST));
    }
    stream.set_write_timeout(Some(wait)).map_err(|why| why.to_string())?;
    stream.write_all(&out).map_err(|why| why.to_string())?;
    let (mut reader, mut space) = (Reader::<Text>::default(), vec![0; 64 * 1024]);
    loop {
        match reader.read().map_err(|why| why.to_string())? {
            Some(Read::Message(Text(text))) => {
                return serde_json::from_str(&text).map_err(|why| why.to_string());
            }
            Some(Read::Hello(_)) => continue,
            None => {}
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
