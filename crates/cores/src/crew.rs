//! Which cores serve. Each core beats; the lead looks at the beats, deals connections out to cores that serve, and
//! decides whether a core that failed starts again.
use std::collections::VecDeque;

/// A core that has not beaten for so long hangs: it is dealt nothing more until it beats again.
const HANGS: f64 = 0.5;
/// A core that failed so often within a span is not started again: it would go on failing with each query that it
/// takes.
const FAILURES: usize = 5;
const SPAN: f64 = 60.0;
/// Wait before a start again: doubles with each failure still remembered.
const FIRST_WAIT: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Starting,
    Serving,
    /// Since when it has not beaten.
    Hung(f64),
    /// When it starts again.
    Failed(f64),
    /// Not to be started again.
    Lost,
}

/// A change of state, worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub core: usize,
    pub state: State,
    pub serving: usize,
}

struct Core {
    state: State,
    beat: f64,
    clients: usize,
    /// Connections dealt since the last look, which it may not have counted yet.
    dealt: usize,
    failures: VecDeque<f64>,
}

pub struct Crew {
    cores: Vec<Core>,
    /// Whose turn it is where several have equally few clients.
    turn: usize,
}

impl Crew {
    pub fn new(count: usize, now: f64) -> Self {
        let core =
            || Core { state: State::Starting, beat: now, clients: 0, dealt: 0, failures: VecDeque::new() };
        Crew { cores: (0..count).map(|_| core()).collect(), turn: 0 }
    }

    pub fn state(&self, core: usize) -> State {
        self.cores[core].state
    }

    pub fn serving(&self) -> usize {
        self.cores.iter().filter(|c| c.state == State::Serving).count()
    }

    pub fn count(&self, of: impl Fn(State) -> bool) -> usize {
        self.cores.iter().filter(|c| of(c.state)).count()
    }

    fn turn_to(&mut self, core: usize, state: State) -> Option<Change> {
        if self.cores[core].state == state {
            return None;
        }
        self.cores[core].state = state;
        Some(Change { core, state, serving: self.serving() })
    }

    /// What a core says of itself: when it last beat and how many clients it has.
    pub fn beat(&mut self, core: usize, at: f64, clients: usize) -> Option<Change> {
        let own = &mut self.cores[core];
        if at <= own.beat {
            return None;
        }
        (own.beat, own.clients, own.dealt) = (at, clients, 0);
        match own.state {
            State::Starting | State::Hung(_) => self.turn_to(core, State::Serving),
            // What failed beats no more; a late word of it changes nothing.
            State::Serving | State::Failed(_) | State::Lost => None,
        }
    }

    /// The lead itself has not looked since a time. Guards against taking its own pause for theirs: where that was as
    /// long as a core may be silent, those that served get as long again to beat.
    pub fn lead_paused(&mut self, since: f64, now: f64) {
        if now - since > HANGS {
            let serving = self.cores.iter_mut().filter(|core| core.state == State::Serving);
            serving.for_each(|core| core.beat = now);
        }
    }

    /// Finds cores that hang.
    pub fn look(&mut self, now: f64) -> Vec<Change> {
        let overdue = |c: &Core| c.state == State::Serving && now - c.beat > HANGS;
        let hung: Vec<usize> = (0..self.cores.len()).filter(|&i| overdue(&self.cores[i])).collect();
        hung.into_iter().filter_map(|i| self.turn_to(i, State::Hung(self.cores[i].beat))).collect()
    }

    /// A core's thread has ended though nobody told it to.
    pub fn failed(&mut self, core: usize, now: f64) -> Option<Change> {
        let own = &mut self.cores[core];
        own.failures.push_back(now);
        own.failures.retain(|at| now - at < SPAN);
        (own.clients, own.dealt) = (0, 0);
        let count = own.failures.len();
        let wait = FIRST_WAIT * f64::from(1u32 << (count - 1).min(10));
        self.turn_to(core, if count > FAILURES { State::Lost } else { State::Failed(now + wait) })
    }

    /// Cores whose time to start again has come; they count as starting from here on.
    pub fn starts(&mut self, now: f64) -> Vec<usize> {
        let due = |c: &Core| matches!(c.state, State::Failed(at) if at <= now);
        let due: Vec<usize> = (0..self.cores.len()).filter(|&i| due(&self.cores[i])).collect();
        for &core in &due {
            (self.cores[core].state, self.cores[core].beat) = (State::Starting, now);
        }
        due
    }

    /// Whether nobody serves and nobody will.
    pub fn is_lost(&self) -> bool {
        self.cores.iter().all(|c| c.state == State::Lost)
    }

    /// The core that the next connection goes to: one that serves, with the fewest clients, in turn among equals.
    /// Before any core serves it waits with one that starts.
    pub fn deal(&mut self) -> Option<usize> {
        let count = self.cores.len();
        let rank = |c: &Core| match c.state {
            State::Serving => Some(0),
            State::Starting => Some(1),
            _ => None,
        };
        let order = (0..count).map(|step| (self.turn + step) % count);
        let able = order.filter_map(|i| {
            let own = &self.cores[i];
            Some((rank(own)?, own.clients + own.dealt, i))
        });
        let core = able.min_by_key(|&(rank, clients, _)| (rank, clients))?.2;
        self.turn = (core + 1) % count;
        self.cores[core].dealt += 1;
        Some(core)
    }
}
