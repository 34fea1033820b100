//! The machine's limit: a bare relay between the same clients and data nodes. It parses what a query router must parse,
//! sends each part to the next data node in a fixed order and answers when all are in. It decides, checks, times and
//! repeats nothing, so what a router reaches beside it shows what its work costs.
use alderway_router::wire::buffer::ReadBuffer;
use alderway_router::wire::http::MessageReader;
use alderway_router::wire::{frames, query, response};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as Listener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

pub struct Relay {
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
    }
}

/// Starts one on so many threads, for data nodes at these addresses.
pub fn start(threads: usize, nodes: &[SocketAddr]) -> std::io::Result<Relay> {
    let listener = Listener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let (address, stop) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
    for _ in 0..threads {
        let (listener, nodes, stop) = (listener.try_clone()?, nodes.to_vec(), stop.clone());
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            LocalSet::new().block_on(&runtime, serve(listener, &nodes, &stop));
        });
    }
    Ok(Relay { address, stop })
}

/// A connection to a data node.
#[derive(Default)]
struct Trunk {
    out: RefCell<Vec<u8>>,
    wake: Notify,
}

/// A query in the midst of its parts.
struct Open {
    values: RefCell<Vec<(u32, Option<String>)>>,
    done: Notify,
}

type Parts = Rc<RefCell<HashMap<String, (Rc<Open>, usize)>>>;

async fn serve(listener: Listener, nodes: &[SocketAddr], stop: &AtomicBool) {
    let (parts, mut trunks) = (Parts::default(), vec![]);
    for &node in nodes {
        let trunk = Rc::new(Trunk::default());
        spawn_local(carry(node, trunk.clone(), parts.clone()));
        trunks.push(trunk);
    }
    let (trunks, turn) = (Rc::new(trunks), Rc::new(RefCell::new(0usize)));
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while !stop.load(Relaxed) {
        let came = tokio::time::timeout(Duration::from_millis(100), listener.accept()).await;
        let Ok(Ok((stream, _))) = came else { continue };
        let _ = stream.set_nodelay(true);
        spawn_local(client(stream, trunks.clone(), parts.clone(), turn.clone()));
    }
}

async fn carry(node: SocketAddr, trunk: Rc<Trunk>, parts: Parts) {
    let Ok(mut stream) = TcpStream::connect(node).await else { return };
    let _ = stream.set_nodelay(true);
    let mut buffer = ReadBuffer::new(1 << 20);
    loop {
        let out = trunk.out.take();
        if !out.is_empty() && stream.write_all(&out).await.is_err() {
            return;
        }
        tokio::select! {
            ready = stream.readable() => if ready.is_err() { return },
            () = trunk.wake.notified() => continue,
        }
        match stream.try_read(buffer.unfilled()) {
            Ok(0) => return,
            Ok(count) => buffer.add_filled(count),
            Err(_) => continue,
        }
        while let Ok(Some((_, rest, used))) = frames::read_frame(buffer.data()) {
            if let Ok((id, _, _, value)) = frames::parse_reply(rest)
                && let Some((open, at)) = parts.borrow_mut().remove(id)
            {
                open.values.borrow_mut()[at].1 = Some(value.to_string());
                if open.values.borrow().iter().all(|v| v.1.is_some()) {
                    open.done.notify_one();
                }
            }
            buffer.consume(used);
        }
    }
}

async fn client(mut stream: TcpStream, trunks: Rc<Vec<Rc<Trunk>>>, parts: Parts, turn: Rc<RefCell<usize>>) {
    let (mut buffer, mut messages) = (ReadBuffer::new(1 << 17), MessageReader::default());
    loop {
        match messages.find_message(&mut buffer) {
            Ok(true) => {}
            Ok(false) => {
                if stream.readable().await.is_err() {
                    return;
                }
                match stream.try_read(buffer.unfilled()) {
                    Ok(0) => return,
                    Ok(count) => buffer.add_filled(count),
                    Err(_) => {}
                }
                continue;
            }
            Err(_) => return,
        }
        let open = Rc::new(Open { values: RefCell::default(), done: Notify::new() });
        {
            let (head, body) = messages.message(&buffer);
            let id = head.field("X-Correlation-Id").ok().flatten().unwrap_or_default().to_string();
            let mut asked = vec![];
            let text = query::read_query_by_shards(body, |shard, _| {
                asked.push(shard);
                Ok(())
            });
            let Ok(text) = text else { return };
            for (at, &shard) in asked.iter().enumerate() {
                let part = format!("{id}.{shard}");
                open.values.borrow_mut().push((shard, None));
                let mut turn = turn.borrow_mut();
                *turn = (*turn + 1) % trunks.len();
                let trunk = &trunks[*turn];
                frames::write_attempts_frame(
                    &mut trunk.out.borrow_mut(),
                    std::iter::once((part.as_str(), shard, 1000, &*text, None)),
                );
                parts.borrow_mut().insert(part, (open.clone(), at));
                trunk.wake.notify_one();
            }
        }
        messages.consume_message(&mut buffer);
        open.done.notified().await;
        let mut out = vec![];
        let values = open.values.take();
        response::write_results(
            &mut out,
            true,
            values.iter().filter_map(|v| Some((v.0, v.1.as_deref()?))),
            false,
        );
        if stream.write_all(&out).await.is_err() {
            return;
        }
    }
}
