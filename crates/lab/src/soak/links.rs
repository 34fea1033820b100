//! The fault proxy between routers and data nodes: one listener for each pair, which holds, delays, drips or resets what
//! passes and notes every leaf call as the router wrote it.
use super::ledger::Attempt;
use super::nodes;
use super::scenario::{LinkTrouble, NodeTrouble};
use super::world::World;
use alderway_router::wire::buffer::ReadBuffer;
use alderway_router::wire::frames;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::sleep;

const DELAY: Duration = Duration::from_millis(120);
/// Between two pieces of an answer that drips.
const DRIP: Duration = Duration::from_millis(2);
const LOOK: Duration = Duration::from_millis(5);

/// What a data node's side writes to a router.
pub enum Back {
    Bytes(Vec<u8>),
    /// A reply that says that these attempts never ran.
    TurnedAway(Vec<u8>, usize),
    /// Ends the connection after what is before it.
    End,
}

/// One connection of a router to a data node.
pub struct Connection {
    pub router: usize,
    pub node: usize,
    pub run: usize,
    pub back: UnboundedSender<Back>,
    /// Attempts that run here or wait, by the part's id.
    pub out: RefCell<std::collections::BTreeMap<String, usize>>,
    pub over: Cell<bool>,
    /// Whether the data node sends at full speed on it.
    pub floods: Cell<bool>,
}

/// Accepts a router's connections to a data node for as long as the world lasts.
pub async fn listen(world: Rc<World>, router: usize, node: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let refused = world.nodes[node].trouble.get() == Some(NodeTrouble::Refuse);
        if refused || world.nodes[node].down.get() {
            let _ = stream.set_zero_linger();
            continue;
        }
        let _ = stream.set_nodelay(true);
        spawn_local(serve(world.clone(), router, node, stream));
    }
}

async fn serve(world: Rc<World>, router: usize, node: usize, stream: TcpStream) {
    let (back, to_write) = unbounded_channel();
    let run = world.current_run(router);
    let connection = Rc::new(Connection {
        router,
        node,
        run,
        back,
        out: RefCell::default(),
        over: Cell::default(),
        floods: Cell::default(),
    });
    world.ledger.borrow_mut().count("connections to data nodes");
    let (there, arrived) = unbounded_channel();
    let mut resets = world.nodes[node].resets.subscribe();
    resets.mark_unchanged();
    let reset = tokio::select! {
        _ = resets.changed() => true,
        () = close_when_idle(&world, &connection) => false,
        () = read(&world, &connection, &stream, there) => false,
        () = write(&world, &connection, &stream, to_write) => false,
        () = deliver(&world, &connection, arrived) => false,
    };
    if reset {
        let _ = stream.set_zero_linger();
    }
    connection.over.set(true);
    connection.out.borrow_mut().clear();
}

/// Ends once nothing is out on a connection of a data node that closes idle ones.
async fn close_when_idle(world: &World, connection: &Connection) {
    loop {
        sleep(LOOK).await;
        let closes = world.nodes[connection.node].trouble.get() == Some(NodeTrouble::CloseIdle);
        if closes && connection.out.borrow().is_empty() {
            return;
        }
    }
}

fn holds_there(trouble: Option<LinkTrouble>) -> bool {
    matches!(trouble, Some(LinkTrouble::HoldThere | LinkTrouble::HoldBoth))
}

fn holds_back(trouble: Option<LinkTrouble>) -> bool {
    matches!(trouble, Some(LinkTrouble::HoldBack | LinkTrouble::HoldBoth))
}

/// A frame as the data node gets it.
enum Arrived {
    Call(Vec<(usize, nodes::Part)>),
    GiveUp(String),
}

/// Reads frames, notes calls as they are whole, and hands them over.
async fn read(
    world: &Rc<World>,
    connection: &Rc<Connection>,
    stream: &TcpStream,
    there: UnboundedSender<Arrived>,
) {
    let mut buffer = ReadBuffer::new(1 << 20);
    let mut begun = None;
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(buffer.unfilled()) {
            Ok(count @ 1..) => buffer.add_filled(count),
            Err(why) if why.kind() == ErrorKind::WouldBlock => continue,
            _ => return,
        }
        let now = world.clock.now();
        begun.get_or_insert(now);
        while let Ok(Some((letter, rest, used))) = frames::read_frame(buffer.data()) {
            let frame = match letter {
                b'S' => {
                    nodes::parts(rest).map(|parts| Arrived::Call(note(world, connection, parts, begun, now)))
                }
                b'C' => std::str::from_utf8(rest).ok().map(|part| Arrived::GiveUp(part.to_string())),
                _ => None,
            };
            match frame {
                Some(frame) => drop(there.send(frame)),
                None => world.ledger.borrow_mut().count("frames that no data node could read"),
            }
            buffer.consume(used);
            begun = (!buffer.is_empty()).then_some(now);
        }
    }
}

/// Notes the attempts of a call.
fn note(
    world: &World,
    connection: &Connection,
    parts: Vec<nodes::Part>,
    begun: Option<f64>,
    now: f64,
) -> Vec<(usize, nodes::Part)> {
    let mut ledger = world.ledger.borrow_mut();
    let attempt = |part: nodes::Part| {
        ledger.attempts.push(Attempt {
            part: part.id.clone(),
            run: connection.run,
            node: connection.node,
            begun: begun.unwrap_or(now),
            whole: now,
            told: part.left,
            turned_away: None,
        });
        connection.out.borrow_mut().insert(part.id.clone(), ledger.attempts.len() - 1);
        (ledger.attempts.len() - 1, part)
    };
    parts.into_iter().map(attempt).collect()
}

/// Hands frames to the data node, once the way there is open.
async fn deliver(world: &Rc<World>, connection: &Rc<Connection>, mut arrived: UnboundedReceiver<Arrived>) {
    while let Some(frame) = arrived.recv().await {
        pass(world, connection, holds_there).await;
        match frame {
            Arrived::Call(parts) => {
                for (attempt, part) in parts {
                    nodes::call(world, connection, attempt, part);
                }
            }
            Arrived::GiveUp(part) => drop(connection.out.borrow_mut().remove(&part)),
        }
    }
}

/// Waits while the link holds what goes one way.
async fn pass(world: &World, connection: &Connection, holds: impl Fn(Option<LinkTrouble>) -> bool) {
    let link = &world.links[connection.router][connection.node];
    while holds(link.get()) {
        sleep(LOOK).await;
    }
    if link.get() == Some(LinkTrouble::Delay) {
        sleep(DELAY).await;
    }
}

/// Writes to the router what the data node says, once the way back is open.
async fn write(
    world: &World,
    connection: &Connection,
    stream: &TcpStream,
    mut back: UnboundedReceiver<Back>,
) {
    while let Some(back) = back.recv().await {
        pass(world, connection, holds_back).await;
        let bytes = match back {
            Back::Bytes(bytes) => bytes,
            Back::TurnedAway(bytes, attempt) => {
                let now = world.clock.now();
                world.ledger.borrow_mut().attempts[attempt].turned_away = Some(now);
                bytes
            }
            Back::End => return,
        };
        let drips = world.links[connection.router][connection.node].get() == Some(LinkTrouble::Drip);
        for piece in bytes.chunks(if drips { 5 } else { bytes.len().max(1) }) {
            if write_all(stream, piece).await.is_err() {
                return;
            }
            if drips {
                sleep(DRIP).await;
            }
        }
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            Err(why) => return Err(why),
        }
    }
    Ok(())
}
