//! Connections of clients as they are asked to close, in the test's own runtime, where the order of events is sure.
use crate::common::dispatcher::played;
use crate::dispatcher;
use alderway_router::io::acceptor;
use alderway_router::state::DispatcherHandle;
use alderway_router::state::clients::ClientTable;
use alderway_router::state::descriptors;
use rstest::rstest;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// A client's connection to a dispatcher that listens, in the story's own runtime.
async fn listened_to(dispatcher: &DispatcherHandle) -> tokio::net::TcpStream {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let share = descriptors::split(64, usize::MAX, 1).0;
    tokio::task::spawn_local(acceptor::accept_connections(
        dispatcher.clone(),
        listener,
        share,
        Rc::default(),
    ));
    tokio::net::TcpStream::connect(address).await.expect("connected")
}

#[rstest]
fn a_connection_dismissed_with_a_request_unread_serves_it_first() {
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    played(async {
        let mut stream = listened_to(&dispatcher).await;
        let mut answer = [0; 200];
        for dismissed in [false, true] {
            stream.writable().await.expect("writable");
            stream.try_write(b"GET /up HTTP/1.1\r\n\r\n").expect("written");
            // Nothing has run since: the runtime does not know yet that bytes wait there.
            if dismissed {
                dispatcher.borrow().clients.close_idle();
            }
            let count = stream.read(&mut answer).await.expect("an answer");
            assert!(answer[..count].starts_with(b"HTTP/1.1 200 "), "dismissed: {dismissed}");
        }
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
    });
}

#[rstest]
fn a_connection_that_the_system_accepted_is_served_though_the_listener_closes() {
    played(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("connected");
        std::io::Write::write_all(&mut client, b"GET /up HTTP/1.1\r\n\r\n").expect("written");
        client.set_nonblocking(true).expect("set");
        // The runtime has not looked at the listener since.
        let (share, close) = (descriptors::split(64, usize::MAX, 1).0, Rc::new(tokio::sync::Notify::new()));
        close.notify_one();
        acceptor::accept_connections(dispatcher, listener, share, close).await;
        let mut answer = [0; 200];
        let mut client = tokio::net::TcpStream::from_std(client).expect("a stream");
        let count = client.read(&mut answer).await.expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
    });
}

/// A client whose first request has been answered.
async fn answered_once(dispatcher: &DispatcherHandle) -> tokio::net::TcpStream {
    let mut stream = listened_to(dispatcher).await;
    let mut answer = [0; 200];
    stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
    assert!(stream.read(&mut answer).await.expect("an answer") > 0);
    stream
}

#[rstest]
fn a_connection_dismissed_as_a_request_begins_to_come_serves_it_and_closes() {
    played(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let mut stream = answered_once(&dispatcher).await;
        let mut answer = [0; 200];
        // Both in one instant; the rest comes once the first half is read.
        stream.try_write(b"GET /up HTTP/1.1\r\n").expect("written");
        dispatcher.borrow().clients.close_idle();
        while dispatcher.borrow().metrics_text().contains("bytes_from_clients 20\n") {
            tokio::task::yield_now().await;
        }
        stream.write_all(b"\r\n").await.expect("written");
        let count = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
    });
}

#[rstest]
fn a_client_that_speaks_as_its_connection_closes_is_not_reset() {
    played(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let mut stream = answered_once(&dispatcher).await;
        let mut answer = [0; 200];
        dispatcher.borrow().clients.close_idle();
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
        // What crosses the close: the client has not looked at its connection yet.
        stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
        while !dispatcher.borrow().clients.is_empty() {
            tokio::task::yield_now().await;
        }
        assert!(
            stream.take_error().expect("readable").is_none(),
            "no reset, which would take an answer with it"
        );
        assert!(
            dispatcher.borrow().metrics_text().contains("bytes_from_clients 20\n"),
            "nor is it read as a request"
        );
    });
}

#[rstest]
fn who_never_sent_a_request_makes_room_before_who_did() {
    let mut all = ClientTable::default();
    let [kept, silent, half, busy] = [0.0, 1.0, 0.5, 0.0].map(|at| all.add(at).1);
    kept.has_sent_request.set(true);
    busy.idle_since.set(None);
    half.is_half_sent.set(true);
    for goes in [&silent, &half, &kept] {
        assert!(!goes.should_close());
        all.close_longest_idle(2.0, 0.25);
        assert!(goes.should_close());
    }
    all.close_longest_idle(2.0, 0.25);
    assert!(!busy.should_close());
}

#[rstest]
fn descriptors_come_back_when_their_holder_is_dropped() {
    let (clients, nodes) = descriptors::split(32, usize::MAX, 1);
    let held: Vec<_> = std::iter::from_fn(|| clients.acquire()).collect();
    assert_eq!(held.len(), 8);
    assert!(nodes.acquire().is_some(), "clients cannot take the data nodes' share");
    drop(held);
    assert!(clients.acquire().is_some());
    let (few, _) = descriptors::split(1024, 4 * 1024 * 1024, 1);
    let held: Vec<_> = std::iter::from_fn(|| few.acquire()).collect();
    assert!(held.len() < 20, "memory bounds half-sent requests too");
    let most = descriptors::split(384, usize::MAX, 1).0;
    assert_eq!(std::iter::from_fn(|| most.acquire()).collect::<Vec<_>>().len(), 128, "a third");
}
