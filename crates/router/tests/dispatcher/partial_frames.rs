//! Frames that a data node receives in parts, over real sockets: when the permission of an attempt ends
//! before its last byte has arrived, the data node must not get that byte, and no other attempt is lost.
use crate::common::dispatcher::{run_in_local_runtime, start_attempts, write_next_frame};
use crate::{dispatcher, policy_events, update_endpoint};
use alderway::interface::{AttemptOutcome, Idempotency, NodeState};
use alderway_router::io::node_session;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::descriptors;
use alderway_router::state::dispatcher::Dispatcher;
use alderway_router::state::node_connection::DialRequest;
use alderway_router::state::queries::{Query, ShardRequest};
use nix::sys::socket::{setsockopt, sockopt};
use rstest::rstest;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Number of bytes of a text that is larger than the socket buffers, so that the router holds a part of its
/// frame.
const LONG_TEXT: usize = 1 << 22;
/// Number of bytes of a text of which the data node's machine takes a part and the router's kernel the rest.
const TEXT_IN_KERNEL: usize = 100_000;

struct StalledNode {
    listener: TcpListener,
    dispatcher: Rc<RefCell<Dispatcher>>,
}

impl StalledNode {
    /// Adds a data node `u` with small buffers, which reads nothing by itself, to a dispatcher.
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        setsockopt(&listener, sockopt::RcvBuf, &16384).expect("a small buffer");
        setsockopt(&listener, sockopt::TcpMaxSeg, &1448).expect("ordinary segments");
        let port = listener.local_addr().expect("an address").port();
        let dispatcher = Rc::new(RefCell::new(dispatcher()));
        update_endpoint(&mut dispatcher.borrow_mut(), "u", port, NodeState::Serving, None);
        StalledNode { listener, dispatcher }
    }

    /// Opens a query with one shard request, for shard 1.
    fn open(&self, id: &str, text_bytes: usize, time_left_s: f64) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let client = Rc::new(ClientConnection::default());
        let query = Query {
            id: id.into(),
            class: 0,
            not_after_s: dispatcher.clock.now() + time_left_s,
            text: "x".repeat(text_bytes),
            requests: vec![ShardRequest::new(format!("{id}.1").into(), 1, 1.0)],
            client: client.clone(),
            coverage: None,
        };
        dispatcher.open_query(&client, query).expect("the query opens");
        policy_events(&mut dispatcher);
    }

    fn start(&self, requests: &[&str]) -> Vec<DialRequest> {
        start_attempts(&mut self.dispatcher.borrow_mut(), "u", requests)
    }

    /// Serves a new connection, which the data node accepts.
    async fn serve(&self, dial: DialRequest) -> TcpStream {
        let descriptors = descriptors::split(64, usize::MAX, 1).1;
        tokio::task::spawn_local(node_session::run(self.dispatcher.clone(), dial, descriptors));
        pause(0.05).await;
        self.listener.accept().expect("a connection").0
    }

    fn events(&self) -> Vec<String> {
        policy_events(&mut self.dispatcher.borrow_mut())
    }
}

async fn pause(time_s: f64) {
    tokio::time::sleep(Duration::from_secs_f64(time_s)).await;
}

/// The bytes that come from the router until it closes the connection or is silent for 0.2 s.
async fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_nonblocking(true).expect("set");
    let (mut all, mut chunk, mut silent) = (vec![], vec![0; 1 << 20], 0);
    while silent < 20 {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => (all.extend_from_slice(&chunk[..count]), silent = 0).0,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                silent += 1;
                pause(0.01).await;
            }
            _ => break,
        }
    }
    all
}

/// What ends the permission of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// The time in which data nodes drop duplicates passes.
    Window,
    Disconnect,
    /// The client's deadline passes.
    Deadline,
    /// The time-out that the frame tells the data node would expire after the client's deadline.
    AdvertisedTimeout,
}

/// Guards against an attempt that runs after its permission has ended, because the rest of its frame is
/// written, or is sent by the kernel, when the data node goes on reading.
#[rstest]
fn the_rest_of_a_frame_does_not_arrive_after_the_permission_of_its_attempt(
    #[values(LONG_TEXT, TEXT_IN_KERNEL)] text_bytes: usize,
    #[values((End::Window, 60.0), (End::Disconnect, 60.0), (End::Deadline, 0.15), (End::AdvertisedTimeout, 0.8))]
    (end, time_left_s): (End, f64),
) {
    let node = StalledNode::new();
    if end == End::Window {
        node.dispatcher.borrow_mut().query_classes[0].idempotency =
            Idempotency::IdempotentWithKey { window_s: 0.3 };
    }
    run_in_local_runtime(async {
        node.open("q", text_bytes, time_left_s);
        let first = start_attempts(&mut node.dispatcher.borrow_mut(), "s", &["q.1"]).remove(0);
        write_next_frame(&mut node.dispatcher.borrow_mut(), &first);
        node.dispatcher.borrow_mut().record_reply("s", first.connection, "q.1", AttemptOutcome::Error, "");
        node.events();
        let mut stream = node.serve(node.start(&["q.1"]).remove(0)).await;
        assert_eq!(node.events(), [""; 0], "the frame is under way");
        if end == End::Disconnect {
            let number = node.dispatcher.borrow().queries.number("q").expect("open");
            node.dispatcher.borrow_mut().client_disconnected(number);
        }
        pause(0.6).await;
        let outcome =
            if end == End::Disconnect || text_bytes == TEXT_IN_KERNEL { "Cancelled" } else { "NeverSent" };
        let events = node.events();
        assert!(events.contains(&format!("q.1 1 u {outcome}")), "{events:?}");
        let received = read_all(&mut stream).await.len();
        assert!(received > 0 && received < text_bytes, "{received} bytes came of a frame with {text_bytes}");
    });
}

/// Guards against losing what shares a connection with a truncated frame: an attempt that waits for
/// its reply, one of the same frame, and one that is queued behind.
#[rstest]
fn a_truncated_frame_takes_no_other_attempt_with_it() {
    let node = StalledNode::new();
    run_in_local_runtime(async {
        node.open("q", 10, 60.0);
        let mut stream = node.serve(node.start(&["q.1"]).remove(0)).await;
        pause(0.05).await;
        for (id, bytes) in [("r", LONG_TEXT), ("t", 10), ("v", 10)] {
            node.open(id, bytes, 60.0);
        }
        assert_eq!(node.start(&["r.1", "t.1", "v.1"]).len(), 0, "the open connection carries all");
        pause(0.05).await;
        let number = node.dispatcher.borrow().queries.number("r").expect("open");
        node.dispatcher.borrow_mut().client_disconnected(number);
        let now = node.dispatcher.borrow().clock.now();
        let dial = node.dispatcher.borrow_mut().flush_attempts(now).remove(0);
        let mut second = node.serve(dial).await;
        let other = read_all(&mut second).await;
        let other = String::from_utf8_lossy(&other);
        assert!(other.contains("St.1 1 ") && other.contains("v.1 1 ") && !other.contains("r.1 "), "{other}");
        stream.write_all(b"\0\0\0\x0fRq.1 done 1 -\nv").expect("the connection is open");
        pause(0.05).await;
        assert_eq!(node.events(), ["r.1 0 u Cancelled", "q.1 0 u Success", "disconnected r"]);
        let rest = read_all(&mut stream).await.len();
        assert!(rest < LONG_TEXT, "{rest} bytes came");
    });
}
