//! Distributes accepted client connections over the cores, which are threads that serve client connections.
use super::acceptor::ConnectionAcceptor;
use crate::state::descriptors::DescriptorPermit;
use crate::state::shared::{CoreCommand, SharedState, TransferredConnection};
use alderway_cores::core_table::CoreTable;
use alderway_sockets::TurnQueue;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause before the balancer tries again to assign a client connection that no core could accept.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Assigns each accepted client connection to the serving core with the fewest client connections.
pub struct ConnectionBalancer {
    shared: Arc<SharedState>,
    core_table: Rc<RefCell<CoreTable>>,
    /// The number of the core that was last asked to close an idle connection; the next request goes to the
    /// core with the next number.
    last_asked: Cell<usize>,
    /// The tasks of the supervising thread that have used up their turn.
    turn_queue: TurnQueue,
}

impl ConnectionBalancer {
    /// Creates a balancer that distributes client connections over the cores of `core_table`.
    pub fn new(shared: Arc<SharedState>, core_table: Rc<RefCell<CoreTable>>) -> Rc<Self> {
        Rc::new(ConnectionBalancer {
            shared,
            core_table,
            last_asked: Cell::new(0),
            turn_queue: TurnQueue::default(),
        })
    }
}

impl ConnectionAcceptor for Rc<ConnectionBalancer> {
    fn turn_queue(&self) -> TurnQueue {
        self.turn_queue.clone()
    }

    fn close_idle_connection(&self) {
        let core = (self.last_asked.get() + 1) % self.shared.cores.len();
        self.last_asked.set(core);
        let _ = self.shared.send_command(core, CoreCommand::CloseLongestIdle);
    }

    async fn accept(&self, stream: TcpStream, permit: DescriptorPermit) {
        let Ok(stream) = stream.into_std() else { return };
        let mut command =
            CoreCommand::Serve(TransferredConnection { stream, permit, has_sent_request: false });
        loop {
            let core = self.core_table.borrow_mut().assign_connection();
            if let Some(core) = core {
                match self.shared.send_command(core, command) {
                    Ok(()) => return,
                    Err(returned) => command = returned,
                }
            }
            // While every core hangs, restarts or has a full command queue, the connection is kept and
            // assigned later, and further connections wait in the listener's queue in the kernel.
            sleep(RETRY_PAUSE).await;
        }
    }
}
