//! How long the tasks of a thread run without giving way. A turn of a task is one poll of its future: no other task of the
//! thread runs meanwhile, so that the longest turn bounds how long any of them waits for its own.
use std::cell::Cell;
use std::fmt;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A turn of this length is logged.
const LONG_TURN: Duration = Duration::from_millis(50);

/// What a task serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// A client's connection.
    Client,
    /// A connection to a data node.
    DataNode,
    /// The watch of discovery.
    Discovery,
    /// The policy's rounds.
    Policy,
    /// A connection to another router, a forwarder or a planner.
    Peer,
}

impl TaskKind {
    /// Every kind, in the order of the variants.
    pub const ALL: [TaskKind; 5] =
        [TaskKind::Client, TaskKind::DataNode, TaskKind::Discovery, TaskKind::Policy, TaskKind::Peer];

    /// The label in metrics and in the log.
    pub fn label(self) -> &'static str {
        match self {
            TaskKind::Client => "client",
            TaskKind::DataNode => "data_node",
            TaskKind::Discovery => "discovery",
            TaskKind::Policy => "policy",
            TaskKind::Peer => "peer",
        }
    }
}

impl fmt::Display for TaskKind {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// The longest turn of each kind of task on one thread. A thread that the operating system does not run in the midst of a
/// turn lengthens that turn.
#[derive(Debug, Default)]
pub struct TurnTimes {
    longest: [Cell<Duration>; TaskKind::ALL.len()],
}

impl TurnTimes {
    /// The longest turn of a kind so far.
    pub fn longest(&self, kind: TaskKind) -> Duration {
        self.longest[kind as usize].get()
    }

    /// Runs `task` to its end, and measures each of its turns.
    pub async fn measure<T>(self: Rc<Self>, kind: TaskKind, task: impl Future<Output = T>) -> T {
        let mut task = pin!(task);
        poll_fn(|context| {
            let started = Instant::now();
            let polled = task.as_mut().poll(context);
            self.record(kind, started.elapsed());
            polled
        })
        .await
    }

    fn record(&self, kind: TaskKind, turn: Duration) {
        let longest = &self.longest[kind as usize];
        longest.set(longest.get().max(turn));
        if turn >= LONG_TURN {
            tracing::warn!(target: "turns", "a {kind} task ran for {turn:.1?} without giving way");
        }
    }
}
