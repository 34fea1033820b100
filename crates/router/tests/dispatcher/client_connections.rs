//! Closing of client connections, in a single-threaded runtime where the order of events is certain.
use crate::common::dispatcher::run_in_local_runtime;
use crate::dispatcher;
use alderway_router::io::acceptor;
use alderway_router::state::DispatcherHandle;
use alderway_router::state::clients::ClientTable;
use alderway_router::state::descriptors;
use rstest::rstest;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Starts the acceptor of a dispatcher in the runtime of the test, and connects a client to the acceptor.
async fn connect_client(dispatcher: &DispatcherHandle) -> tokio::net::TcpStream {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let descriptors = descriptors::split(64, usize::MAX, 1).0;
    tokio::task::spawn_local(acceptor::accept_connections(
        dispatcher.clone(),
        listener,
        descriptors,
        Rc::default(),
    ));
    tokio::net::TcpStream::connect(address).await.expect("connected")
}

#[rstest]
fn a_connection_to_be_closed_first_serves_an_unread_request() {
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    run_in_local_runtime(async {
        let mut stream = connect_client(&dispatcher).await;
        let mut answer = [0; 200];
        for closes in [false, true] {
            stream.writable().await.expect("writable");
            stream.try_write(b"GET /up HTTP/1.1\r\n\r\n").expect("written");
            // No other task has run since the write, so the runtime has not yet detected that the socket is
            // readable.
            if closes {
                dispatcher.borrow().clients.close_idle();
            }
            let count = stream.read(&mut answer).await.expect("an answer");
            assert!(answer[..count].starts_with(b"HTTP/1.1 200 "), "closes: {closes}");
        }
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
    });
}

#[rstest]
fn a_connection_accepted_by_the_kernel_is_served_when_the_listener_closes() {
    run_in_local_runtime(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = std::net::TcpStream::connect(address).expect("connected");
        std::io::Write::write_all(&mut client, b"GET /up HTTP/1.1\r\n\r\n").expect("written");
        client.set_nonblocking(true).expect("set");
        // The runtime has not polled the listener since the client connected.
        let (descriptors, close) =
            (descriptors::split(64, usize::MAX, 1).0, Rc::new(tokio::sync::Notify::new()));
        close.notify_one();
        acceptor::accept_connections(dispatcher, listener, descriptors, close).await;
        let mut answer = [0; 200];
        let mut client = tokio::net::TcpStream::from_std(client).expect("a stream");
        let count = client.read(&mut answer).await.expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
    });
}

/// Connects a client, sends a first request and waits for the answer.
async fn connect_and_request(dispatcher: &DispatcherHandle) -> tokio::net::TcpStream {
    let mut stream = connect_client(dispatcher).await;
    let mut answer = [0; 200];
    stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
    assert!(stream.read(&mut answer).await.expect("an answer") > 0);
    stream
}

#[rstest]
fn a_connection_to_be_closed_serves_a_partly_received_request_and_closes() {
    run_in_local_runtime(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let mut stream = connect_and_request(&dispatcher).await;
        let mut answer = [0; 200];
        // No other task runs between the write and the close. The rest of the request is sent once this part
        // is read.
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
fn a_client_that_sends_while_its_connection_closes_is_not_reset() {
    run_in_local_runtime(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let mut stream = connect_and_request(&dispatcher).await;
        let mut answer = [0; 200];
        dispatcher.borrow().clients.close_idle();
        assert_eq!(stream.read(&mut answer).await.expect("an end"), 0);
        // The client sends a second request before it reads that the router closes the connection.
        stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").await.expect("written");
        while !dispatcher.borrow().clients.is_empty() {
            tokio::task::yield_now().await;
        }
        assert!(stream.take_error().expect("readable").is_none(), "no reset, which could discard a response");
        assert!(
            dispatcher.borrow().metrics_text().contains("bytes_from_clients 20\n"),
            "the bytes are not read as a request"
        );
    });
}

#[rstest]
fn connections_without_a_request_are_closed_before_partial_and_used_ones() {
    let mut all = ClientTable::default();
    let [used, unused, partial, busy] = [0.0, 1.0, 0.5, 0.0].map(|idle_since| all.add(idle_since).1);
    used.has_sent_request.set(true);
    busy.idle_since.set(None);
    partial.has_partial_request.set(true);
    for next in [&unused, &partial, &used] {
        assert!(!next.should_close());
        all.close_longest_idle(2.0, 0.25);
        assert!(next.should_close());
    }
    all.close_longest_idle(2.0, 0.25);
    assert!(!busy.should_close());
}

#[rstest]
fn descriptors_are_released_when_their_permits_are_dropped() {
    let (clients, nodes) = descriptors::split(32, usize::MAX, 1);
    let held: Vec<_> = std::iter::from_fn(|| clients.acquire()).collect();
    assert_eq!(held.len(), 8);
    assert!(nodes.acquire().is_some(), "clients cannot use the descriptors for data nodes");
    drop(held);
    assert!(clients.acquire().is_some());
    let (few, _) = descriptors::split(1024, 4 * 1024 * 1024, 1);
    let held: Vec<_> = std::iter::from_fn(|| few.acquire()).collect();
    assert!(held.len() < 20, "memory limits the number of partial requests too");
    let most = descriptors::split(384, usize::MAX, 1).0;
    assert_eq!(std::iter::from_fn(|| most.acquire()).collect::<Vec<_>>().len(), 128, "a third");
}
