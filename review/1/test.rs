//! A repeat of a deduplicated part begins within the window and is written to its end after it.
#[path = "../stand/settings.rs"]
mod settings;
#[path = "../stand/stand.rs"]
mod stand;
use stand::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
}

const CELLS: usize = 6;
const WINDOW_S: f64 = 1.0;
/// The 50 ms that the protocol page adds, the 0.15 s for which a query router may be held up, 0.05 s for this machine.
const SLACK_S: f64 = 0.05 + 0.15 + 0.05;

#[derive(Default)]
struct World {
    /// When the first call came whole, and to whom.
    first: Option<(f64, usize)>,
    /// Parts with the data node and the moment of their last byte.
    parts: Vec<(String, usize, f64)>,
}

fn serve(mut stream: TcpStream, n: usize, record: &Record, world: &Arc<Mutex<World>>) {
    let _ = stream.set_nodelay(true);
    let stands_still = |world: &Arc<Mutex<World>>| {
        let first = world.lock().unwrap().first;
        has_trouble() && first.is_some_and(|(at, by)| by != n && (at + 0.84..at + 1.34).contains(&record.now()))
    };
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if stands_still(world) {
            while stands_still(world) {
                pause_ms(1);
            }
            // FIONREAD
            let mut come = 0;
            unsafe { ioctl(stream.as_raw_fd(), 0x541b, &mut come) };
            record.line(&format!("node s-{n}: goes on; {come} bytes have come so far on a connection that it has not read"));
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return,
        }
        while bytes.len() > 4 {
            let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
            if bytes.len() < 4 + length {
                break;
            }
            let frame: Vec<u8> = bytes.drain(..4 + length).skip(4).collect();
            if frame[0] != b'S' {
                continue;
            }
            let at = record.now();
            let mut rest = &frame[1..];
            let mut ids = vec![];
            while let Some(end) = rest.iter().position(|&b| b == b'\n') {
                let line = String::from_utf8_lossy(&rest[..end]).to_string();
                let words: Vec<&str> = line.split(' ').collect();
                rest = &rest[end + 1 + words[3].parse::<usize>().unwrap()..];
                record.line(&format!("node s-{n}: call {} {} {} bytes has come whole and runs", words[0], words[2], words[3]));
                ids.push((words[0].to_string(), words[1].parse::<u32>().unwrap()));
            }
            let is_first = {
                let mut world = world.lock().unwrap();
                world.parts.extend(ids.iter().map(|id| (id.0.clone(), n, at)));
                let is_first = world.first.is_none();
                world.first.get_or_insert((at, n));
                is_first
            };
            // The first call's parts run, and end with an error.
            let end = if is_first { "failed" } else { "done" };
            if is_first {
                pause_ms(860);
                record.line(&format!("node s-{n}: answers `failed` for all parts"));
            }
            let mut out = vec![];
            for (id, shard) in ids {
                let value = if is_first { String::new() } else { value("", shard) };
                let body = format!("{id} {end} 0 -\n{value}");
                out.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
                out.push(b'R');
                out.extend_from_slice(body.as_bytes());
            }
            let _ = stream.write_all(&out);
        }
    }
}

fn main() -> ExitCode {
    run_case(|record, folder| {
        let world: Arc<Mutex<World>> = Arc::default();
        let mut entries = vec![];
        for n in 0..CELLS {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            // Segments of an ordinary network, and a small receive buffer.
            let (segment, buffer) = (1448, 16384);
            unsafe {
                setsockopt(listener.as_raw_fd(), 6, 2, &segment, 4);
                setsockopt(listener.as_raw_fd(), 1, 8, &buffer, 4);
            }
            entries.push(Entry {
                name: format!("s-{n}"),
                address: listener.local_addr().unwrap(),
                group: n as u32,
                status: "SERVING",
                since_ms: 0,
            });
            let (record, world) = (record.clone(), world.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (record, world) = (record.clone(), world.clone());
                    std::thread::spawn(move || serve(stream, n, &record, &world));
                }
            });
        }
        let agent = Agent::start(record, "agent", 41, &entries);
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let settings = settings::lakeshore(CELLS, 2).replace(
            "\"Name\":\"site-search\",\"PromiseUs\":2500000,\"DeadlineUs\":5000000,\"Effect\":\"idempotent\"",
            "\"Name\":\"site-search\",\"PromiseUs\":2500000,\"DeadlineUs\":5000000,\"Effect\":\"deduplicated\",\"DedupScope\":\"all\",\"WindowUs\":1000000",
        );
        let text = settings::config("n0", listen, agent.address, 41, &entries, &settings);
        let _router = Program::start(record, folder, "n0", "exec target/release/alderway-router", &text);
        wait_up(record, listen);
        pause_ms(300);
        let targets: Vec<(u32, String)> =
            [0, 6, 12, 18, 1, 7, 13, 19].iter().map(|shard| (*shard, "0.125".to_string())).collect();
        let mut client = Client::new(record, listen);
        let answer = client.ask("9b1f0001", "site-search", 5000, &targets, &"c41e77d0".repeat(8100));
        record.say(&format!("the client got {} after {:.3} s", answer.status, answer.at - answer.sent_at));
        pause_ms(500);
        let world = world.lock().unwrap();
        let mut late = 0;
        for (index, (id, n, at)) in world.parts.iter().enumerate() {
            let Some((_, by, first)) = world.parts[..index].iter().find(|part| part.0 == *id) else { continue };
            record.say(&format!("{id} ran at s-{by} from {first:.3}, again at s-{n} from {at:.3}: {:.3} s later", at - first));
            late += usize::from(at - first > WINDOW_S + SLACK_S);
        }
        if late == 0 && !world.parts.iter().enumerate().any(|(n, part)| world.parts[..n].iter().any(|p| p.0 == part.0)) {
            record.say("no part was repeated");
        }
        late > 0
    })
}
