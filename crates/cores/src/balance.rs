//! Which connections move. Connections are dealt out evenly, but a few may bring most of the work; a core that is
//! busy while another has time gives connections away, the ones that ask next, as those are the busy ones.

/// A core is asked to give away only where it is at least this busy, and this much busier than the other.
const BUSY: f64 = 0.35;
const GAP: f64 = 0.20;
/// After a move both cores are left alone for so long: the figures are older than the move.
const REST: f64 = 1.0;

/// What a core says of itself: the share of its time that it worked lately, and its clients that asked lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub busy: f64,
    pub active: usize,
    pub serving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    pub from: usize,
    pub to: usize,
    pub connections: usize,
}

pub struct Balance {
    rests: Vec<f64>,
}

impl Balance {
    pub fn new(cores: usize) -> Self {
        Balance { rests: vec![f64::NEG_INFINITY; cores] }
    }

    /// The next move, if one would bring the two nearer to each other. One active connection is never moved: the
    /// work would only change its place. As many go as make up half the gap, were all equally busy.
    pub fn next(&mut self, now: f64, loads: &[Load]) -> Option<Move> {
        let rested = |i: usize| now - self.rests[i] >= REST;
        let able = || (0..loads.len()).filter(|&i| loads[i].serving && rested(i));
        let from = able().filter(|&i| loads[i].active > 1);
        let from = from.max_by(|&a, &b| loads[a].busy.total_cmp(&loads[b].busy))?;
        let to = able().filter(|&i| i != from).min_by(|&a, &b| loads[a].busy.total_cmp(&loads[b].busy))?;
        let (busy, gap) = (loads[from].busy, loads[from].busy - loads[to].busy);
        if busy < BUSY || gap < GAP {
            return None;
        }
        let each = busy / loads[from].active as f64;
        let connections = ((0.5 * gap / each).round() as usize).min(loads[from].active - 1);
        if connections == 0 {
            return None;
        }
        (self.rests[from], self.rests[to]) = (now, now);
        Some(Move { from, to, connections })
    }
}
