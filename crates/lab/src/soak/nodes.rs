//! Data nodes of a soak: what they do with a part, by the trouble that they are in.
use super::links::{Back, Connection};
use super::scenario::NodeTrouble;
use super::world::World;
use crate::value;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Service times in seconds, and how many times longer they are on a slow data node.
const SERVICE: (f64, f64) = (0.002, 0.02);
const SLOW: f64 = 25.0;
/// Seconds of work of a shard request in the mean.
pub const MEAN_WORK: f64 = (SERVICE.0 + SERVICE.1) / 2.0;

/// Frames that a data node which floods sends at once, and the pause after them.
const FLOOD_FRAMES: usize = 4096;
const FLOOD_PAUSE: Duration = Duration::from_millis(1);

/// A data node as the troubles set it.
pub struct Node {
    pub trouble: Cell<Option<NodeTrouble>>,
    /// Refuses connections.
    pub down: Cell<bool>,
    /// Counts resets of all its connections.
    pub resets: watch::Sender<u64>,
    /// How often it was replaced; its name tells.
    pub generation: Cell<u64>,
}

impl Default for Node {
    fn default() -> Self {
        Node {
            trouble: Cell::default(),
            down: Cell::default(),
            resets: watch::Sender::new(0),
            generation: Cell::default(),
        }
    }
}

impl Node {
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

/// A part as a call names it.
pub struct Part {
    pub id: String,
    pub shard: u32,
    /// Seconds that the router will wait.
    pub left: f64,
    pub text: String,
}

/// The parts of a call; none where it cannot be read.
pub fn parts(call: &[u8]) -> Option<Vec<Part>> {
    let mut rest = std::str::from_utf8(call).ok()?;
    let mut parts = vec![];
    while !rest.is_empty() {
        let (head, tail) = rest.split_once('\n')?;
        let words: Vec<&str> = head.split(' ').collect();
        let [id, shard, list, length] = words.as_slice() else { return None };
        let (text, next) = tail.split_at_checked(length.parse().ok()?)?;
        let left = list.split(',').find_map(|word| word.strip_prefix("d=")?.parse::<f64>().ok())? / 1e3;
        parts.push(Part { id: id.to_string(), shard: shard.parse().ok()?, left, text: text.into() });
        rest = next;
    }
    Some(parts)
}

fn frame(text: &str) -> Vec<u8> {
    let mut frame = (text.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(b'R');
    frame.extend_from_slice(text.as_bytes());
    frame
}

/// Answers that nobody can read.
fn garbled(choice: usize, id: &str) -> Vec<u8> {
    match choice {
        0 => vec![0xff; 64],
        1 => frame(&format!("{id} maybe 17 -\nx")),
        2 => frame("no such part done 17 -\nx"),
        3 => 3_000_000_000u32.to_be_bytes().into_iter().chain(*b"Rlong").collect(),
        _ => vec![0, 0, 0, 2, b'Q', b'?'],
    }
}

/// A part has arrived.
pub fn call(world: &Rc<World>, connection: &Rc<Connection>, attempt: usize, part: Part) {
    let node = &world.nodes[connection.node];
    let trouble = node.trouble.get();
    if trouble == Some(NodeTrouble::Floods) && !connection.floods.replace(true) {
        spawn_local(send_replies_to_health_checks(world.clone(), connection.clone()));
    }
    let id = part.id.clone();
    if trouble == Some(NodeTrouble::Full) {
        connection.out.borrow_mut().remove(&id);
        let reply = frame(&format!("{id} full 0 -\n"));
        let _ = connection.back.send(Back::TurnedAway(reply, attempt));
        return;
    }
    if connection.out.borrow().get(&id) != Some(&attempt) {
        // Given up before it arrived.
        return;
    }
    if trouble == Some(NodeTrouble::Hang) {
        return;
    }
    let (world, connection) = (world.clone(), connection.clone());
    spawn_local(async move {
        let times = if trouble == Some(NodeTrouble::Slow) { SLOW } else { 1.0 };
        let span = world.chance.borrow_mut().between(SERVICE.0, SERVICE.1) * times;
        sleep(Duration::from_secs_f64(span)).await;
        // Nobody waits for it any more: given up, or its connection has ended.
        if connection.over.get() || connection.out.borrow_mut().remove(&id).is_none() {
            return;
        }
        answer(&world, &connection, &part);
    });
}

/// Sends replies to health checks that the router never sent, for as long as the trouble lasts.
async fn send_replies_to_health_checks(world: Rc<World>, connection: Rc<Connection>) {
    let node = &world.nodes[connection.node];
    while !connection.over.get() && node.trouble.get() == Some(NodeTrouble::Floods) {
        let _ = connection.back.send(Back::Bytes(b"\0\0\0\x01H".repeat(FLOOD_FRAMES)));
        sleep(FLOOD_PAUSE).await;
    }
    connection.floods.set(false);
}

fn answer(world: &World, connection: &Connection, part: &Part) {
    let send = |back| drop(connection.back.send(back));
    let whole = frame(&format!("{} done 17 inflight=1\n{}", part.id, value(&part.text, part.shard)));
    match world.nodes[connection.node].trouble.get() {
        Some(NodeTrouble::Fail) => send(Back::Bytes(frame(&format!("{} failed 17 -\n", part.id)))),
        Some(NodeTrouble::Garble) => {
            let choice = world.chance.borrow_mut().below(5);
            send(Back::Bytes(garbled(choice, &part.id)));
        }
        Some(NodeTrouble::Truncate) => {
            send(Back::Bytes(whole[..whole.len() / 2].to_vec()));
            send(Back::End);
        }
        Some(NodeTrouble::Twice) => {
            send(Back::Bytes(whole.clone()));
            send(Back::Bytes(whole));
        }
        _ => send(Back::Bytes(whole)),
    }
}
