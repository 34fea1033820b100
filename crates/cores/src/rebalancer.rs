//! Decides which client connections move between cores, the threads of the process that serve clients. New
//! connections are spread evenly, but a few connections may bring most of the load: a core that is much
//! busier than another hands over some connections. The core chooses the connections that send the next
//! requests, since a connection that sends many requests is more likely to send the next one. All times are
//! seconds of the clock that all threads share.

/// Utilization from which on a core hands over connections: the fraction of recent time that the core was
/// busy, from 0 to 1.
const MIN_UTILIZATION: f64 = 0.35;
/// Difference in utilization between two cores from which on connections move, from 0 to 1.
const MIN_UTILIZATION_GAP: f64 = 0.20;
/// Seconds after a move of connections between two cores during which neither core takes part in another
/// move, because the loads that they report then include the time before the move.
const COOLDOWN_S: f64 = 1.0;

/// The load that one core has reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreLoad {
    /// Fraction of recent time that the core was busy, from 0 to 1.
    pub utilization: f64,
    /// Number of the core's clients that recently received a response.
    pub active_clients: usize,
    /// Whether the core has status `CoreStatus::Serving`.
    pub is_serving: bool,
}

/// A decision to move client connections from one core to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionMove {
    /// Index of the core that hands over the connections.
    pub from: usize,
    /// Index of the core that receives the connections.
    pub to: usize,
    /// The number of connections to move.
    pub connections: usize,
}

/// Decides which connections move, from the loads of all cores.
pub struct Rebalancer {
    /// When each core last took part in a move, in seconds of the shared clock.
    last_moves: Vec<f64>,
}

impl Rebalancer {
    /// Creates a rebalancer for `cores` cores.
    pub fn new(cores: usize) -> Self {
        Rebalancer { last_moves: vec![f64::NEG_INFINITY; cores] }
    }

    /// Decides whether connections move from the busiest to the least busy core. The number of connections
    /// accounts for half the difference in utilization if all connections are equally busy. Returns `None` if
    /// the difference is too small, or if the busier core has only one active connection, since the whole
    /// load would move with it.
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
