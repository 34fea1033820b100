//! Helpers that read the messages that a forwarder or a planner sends, without sockets.
use alderway_router::tier::Outbox;
use alderway_tier::messages::Message;
use alderway_transport::{FrameReader, Received};

/// Removes all bytes from an outbox, and returns the messages in them without the hello.
pub fn take_messages(outbox: &mut Outbox, reader: &mut FrameReader<Message>) -> Vec<Message> {
    reader.feed(&std::mem::take(&mut outbox.bytes));
    let frames = std::iter::from_fn(|| reader.next_frame().expect("valid frames"));
    frames
        .filter_map(|frame| match frame {
            Received::Message(message) => Some(message),
            Received::Hello(_) => None,
        })
        .collect()
}
