//! Which client connections move between cores. New connections are spread evenly, but a few of them may bring most of
//! the work: a core that is much busier than another hands over the connections that send the next requests, since those
//! are likely the busy ones.

/// The least utilization of a core that hands connections over, as a fraction of its time.
const MIN_UTILIZATION: f64 = 0.35;
/// The least difference in utilization between the two cores.
const MIN_UTILIZATION_GAP: f64 = 0.20;
/// Seconds after a move during which neither core takes part in another: the reported loads predate the move.
const COOLDOWN_S: f64 = 1.0;

/// The load that a core reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreLoad {
    /// Fraction of its recent time that it was busy.
    pub utilization: f64,
    /// Clients that recently had a response.
    pub active_clients: usize,
    /// Whether it serves.
    pub is_serving: bool,
}

/// A number of connections that one core hands over to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionMove {
    /// The core that hands them over.
    pub from: usize,
    /// The core that gets them.
    pub to: usize,
    /// How many.
    pub connections: usize,
}

/// Decides on moves from the loads of all cores.
pub struct Rebalancer {
    /// When each core last took part in a move.
    last_moves: Vec<f64>,
}

impl Rebalancer {
    /// For so many cores.
    pub fn new(cores: usize) -> Self {
        Rebalancer { last_moves: vec![f64::NEG_INFINITY; cores] }
    }

    /// The next move from the busiest to the least busy core, if it would reduce the difference. As many connections move
    /// as account for half the difference if all are equally busy. A core's only active connection never moves, since
    /// the whole load would move with it.
    pub fn next_move(&mut self, now: f64, loads: &[CoreLoad]) -> Option<ConnectionMove> {
        let is_cool = |i: usize| now - self.last_moves[i] >= COOLDOWN_S;
        let eligible = || (0..loads.len()).filter(|&i| loads[i].is_serving && is_cool(i));
        let by_utilization = |a: &usize, b: &usize| loads[*a].utilization.total_cmp(&loads[*b].utilization);
        let from = eligible().filter(|&i| loads[i].active_clients > 1).max_by(by_utilization)?;
        let to = eligible().filter(|&i| i != from).min_by(by_utilization)?;
        let utilization = loads[from].utilization;
        let gap = utilization - loads[to].utilization;
        if utilization < MIN_UTILIZATION || gap < MIN_UTILIZATION_GAP {
            return None;
        }
        let per_connection = utilization / loads[from].active_clients as f64;
        let connections = ((0.5 * gap / per_connection).round() as usize).min(loads[from].active_clients - 1);
        if connections == 0 {
            return None;
        }
        (self.last_moves[from], self.last_moves[to]) = (now, now);
        Some(ConnectionMove { from, to, connections })
    }
}
