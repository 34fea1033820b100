//! Connections to data nodes over real sockets, in the test's own runtime.
use crate::common::dispatcher::{played, send};
use crate::{dispatcher, endpoints, take, told};
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
fn a_call_on_a_connection_that_its_node_closes_just_then_goes_out_on_another() {
    played(async {
        let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
        let node = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = node.local_addr().expect("an address").port();
        endpoints(&mut dispatcher.borrow_mut(), "u", port, NodeState::Serving, None);
        let share = descriptors::split(64, usize::MAX, 1).1;
        let _client = take(&mut dispatcher.borrow_mut(), "q", &[1, 2]);
        let dial = send(&mut dispatcher.borrow_mut(), "u", &["q.1"]).remove(0);
        tokio::task::spawn_local(node_session::run(dispatcher.clone(), dial, share.clone()));
        let (mut first, _) = node.accept().await.expect("a connection");
        let mut frame = [0; 100];
        assert!(first.read(&mut frame).await.expect("a call") > 0);
        first.write_all(b"\0\0\0\x0fRq.1 done 1 -\nv").await.expect("written");
        while dispatcher.borrow().attempts.in_flight_count() > 0 {
            tokio::task::yield_now().await;
        }
        // Nothing of the router runs in between: it does not know of the end as it decides.
        drop(first);
        assert!(
            send(&mut dispatcher.borrow_mut(), "u", &["q.2"]).is_empty(),
            "a connection with places is there"
        );
        let (mut second, _) = node.accept().await.expect("another connection");
        let count = second.read(&mut frame).await.expect("the call");
        assert!(frame[4..count].starts_with(b"Sq.2 "));
        let told = told(&mut dispatcher.borrow_mut());
        assert!(!told.iter().any(|t| t.starts_with("q.2")), "it is still out: {told:?}");
    });
}

#[rstest]
fn a_frame_that_gets_no_further_ends_its_connection() {
    let dispatcher = Rc::new(std::cell::RefCell::new(dispatcher()));
    dispatcher.borrow_mut().connection_config.idle_timeout_s = 0.5;
    played(async {
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = silent.local_addr().expect("an address").port();
        endpoints(&mut dispatcher.borrow_mut(), "u", port, NodeState::Serving, None);
        // More than the system takes on its own; nobody reads.
        let client = Rc::new(ClientConnection::default());
        let part = ShardRequest::new("r.1".into(), 1, 1.0);
        let (not_after, text, parts) =
            (dispatcher.borrow().clock.now() + 60.0, "x".repeat(1 << 25), vec![part]);
        let (of, coverage) = (client.clone(), None);
        let query = Query {
            id: "r".into(),
            class: 0,
            not_after_s: not_after,
            text,
            requests: parts,
            client: of,
            coverage,
        };
        dispatcher.borrow_mut().open_query(&client, query).expect("taken");
        let dial = send(&mut dispatcher.borrow_mut(), "u", &["r.1"]).remove(0);
        let share = descriptors::split(64, usize::MAX, 1).1;
        let driver = tokio::task::spawn_local(node_session::run(dispatcher.clone(), dial, share));
        let _open = silent.accept().await.expect("a connection");
        let ended = tokio::time::timeout(std::time::Duration::from_secs(4), driver).await;
        assert!(ended.is_ok(), "the driver ends by itself, before the call's time-out");
        assert!(told(&mut dispatcher.borrow_mut()).iter().any(|t| t == "r.1 0 u Unreachable"));
    });
}
