//! Connections to data nodes over real sockets, in a single-threaded runtime.
use crate::common::dispatcher::{run_in_local_runtime, start_attempts};
use crate::{dispatcher, open, policy_events, update_endpoint};
use alderway::interface::NodeState;
use alderway_router::io::node_session;
use alderway_router::state::clients::ClientConnection;
use alderway_router::state::descriptors;
use alderway_router::state::queries::Query;
use alderway_router::state::queries::ShardRequest;
use rstest::rstest;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

#[rstest]
fn an_attempt_queued_as_its_node_closes_an_idle_connection_moves_to_another() {
    run_in_local_runtime(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let node = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = node.local_addr().expect("an address").port();
        update_endpoint(&mut dispatcher.borrow_mut(), "u", port, NodeState::Serving, None);
        let descriptors = descriptors::split(64, usize::MAX, 1).1;
        let _client = open(&mut dispatcher.borrow_mut(), "q", &[1, 2]);
        let dial = start_attempts(&mut dispatcher.borrow_mut(), "u", &["q.1"]).remove(0);
        tokio::task::spawn_local(node_session::run(dispatcher.clone(), dial, descriptors.clone()));
        let (mut first, _) = node.accept().await.expect("a connection");
        let mut frame = [0; 100];
        assert!(first.read(&mut frame).await.expect("a frame") > 0);
        first.write_all(b"\0\0\0\x0fRq.1 done 1 -\nv").await.expect("written");
        while dispatcher.borrow().attempts.in_flight_count() > 0 {
            tokio::task::yield_now().await;
        }
        // No task of the router runs between the close and the attempt, so the router has not read the close
        // from the socket.
        drop(first);
        assert!(
            start_attempts(&mut dispatcher.borrow_mut(), "u", &["q.2"]).is_empty(),
            "an open connection has free streams"
        );
        let (mut second, _) = node.accept().await.expect("another connection");
        let count = second.read(&mut frame).await.expect("the frame");
        assert!(frame[4..count].starts_with(b"Sq.2 "));
        let events = policy_events(&mut dispatcher.borrow_mut());
        assert!(!events.iter().any(|event| event.starts_with("q.2")), "the attempt is in flight: {events:?}");
    });
}

#[rstest]
fn a_stalled_write_closes_its_connection() {
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    dispatcher.borrow_mut().connection_config.idle_timeout_s = 0.5;
    run_in_local_runtime(async {
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = silent.local_addr().expect("an address").port();
        update_endpoint(&mut dispatcher.borrow_mut(), "u", port, NodeState::Serving, None);
        // The text is larger than the socket buffers, and the data node does not read from its socket.
        let client = Rc::new(ClientConnection::default());
        let query = Query {
            id: "r".into(),
            class: 0,
            not_after_s: dispatcher.borrow().clock.now() + 60.0,
            text: "x".repeat(1 << 25),
            requests: vec![ShardRequest::new("r.1".into(), 1, 1.0)],
            client: client.clone(),
            coverage: None,
        };
        dispatcher.borrow_mut().open_query(&client, query).expect("the query opens");
        let dial = start_attempts(&mut dispatcher.borrow_mut(), "u", &["r.1"]).remove(0);
        let descriptors = descriptors::split(64, usize::MAX, 1).1;
        let session = tokio::task::spawn_local(node_session::run(dispatcher.clone(), dial, descriptors));
        let _open = silent.accept().await.expect("a connection");
        let result = tokio::time::timeout(std::time::Duration::from_secs(4), session).await;
        assert!(result.is_ok(), "the session ends by itself, before the attempt times out");
        assert!(
            policy_events(&mut dispatcher.borrow_mut()).iter().any(|event| event == "r.1 0 u Unreachable")
        );
    });
}
