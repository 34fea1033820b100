//! Limits how long a task runs before the other tasks of its thread get their turn.
//!
//! A socket that always has more to read never makes its task wait, so that the task has to give way by itself. A task
//! begins a turn whenever it has waited for something. Once the turn has lasted [`MAX_TURN`], the task goes on only after
//! every other task of the thread that is ready has run, and at most one of the tasks that have used up their turn does so
//! at a time. What another task waits for one of its steps is therefore bounded by one turn and one step, however many
//! connections send without a pause.
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::yield_now;

/// How long a task may run on before it gives way.
pub const MAX_TURN: Duration = Duration::from_micros(200);

/// The tasks of one thread that have used up their turn, in the order in which they go on.
#[derive(Clone, Debug)]
pub struct TurnQueue {
    next: Rc<Semaphore>,
}

impl Default for TurnQueue {
    fn default() -> Self {
        TurnQueue { next: Rc::new(Semaphore::new(1)) }
    }
}

impl TurnQueue {
    /// The turns of one task.
    pub fn turns(&self) -> Turns {
        Turns { queue: self.clone(), began: None }
    }
}

/// The turns of one task.
#[derive(Debug)]
pub struct Turns {
    queue: TurnQueue,
    /// When the turn began, as far as the clock has been read in it.
    began: Option<Instant>,
}

impl Turns {
    /// Waits for `future`. If it was not ready at once, a new turn has begun when it is.
    pub async fn wait<T>(&mut self, future: impl Future<Output = T>) -> T {
        let (mut future, mut has_waited) = (pin!(future), false);
        let output = poll_fn(|context| {
            let polled = future.as_mut().poll(context);
            has_waited |= polled.is_pending();
            polled
        })
        .await;
        if has_waited {
            self.began = None;
        }
        output
    }

    /// To be called between two steps of the task: gives way if the turn is used up.
    pub async fn give_way(&mut self) {
        match self.began {
            None => self.began = Some(Instant::now()),
            Some(began) if began.elapsed() >= MAX_TURN => self.yield_turn().await,
            Some(_) => {}
        }
    }

    async fn yield_turn(&mut self) {
        // The semaphore is never closed, so that the permit is always granted.
        let permit = self.queue.next.acquire().await;
        yield_now().await;
        self.began = Some(Instant::now());
        drop(permit);
    }
}
