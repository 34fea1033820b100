//! The data nodes as discovery names them: one record each, found by its name, with its connections.
use super::CallId;
use super::lines::Line;
use alderway::interface::{NodeState, PolicyInput};
use alderway::start_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub struct Node {
    pub address: SocketAddr,
    pub cell: u32,
    pub state: NodeState,
    /// What it was before the list that is being taken in.
    before: NodeState,
    /// Since when its process is taken to run, and the start as discovery told it, which says whether it is the same.
    pub started: Option<f64>,
    told_start: Option<f64>,
    pub lines: BTreeMap<u64, Line>,
    /// Parts that this round sends here, not yet made into calls.
    pub fresh: Vec<CallId>,
}

/// A data node as one core tells it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub state: NodeState,
    pub started: Option<f64>,
}

#[derive(Default)]
pub struct Roster {
    pub nodes: BTreeMap<String, Node>,
    /// The version held.
    pub index: Option<u64>,
    /// Since the last round: whether a whole list came, whether following failed, and who changed.
    pub whole: bool,
    pub failed: bool,
    pub changed: BTreeSet<String>,
    pub last_line: u64,
    /// When discovery was last heard.
    pub heard: Option<f64>,
    /// Some node may be gone: otherwise nobody looks for one.
    any_gone: bool,
    /// Of the list that is being taken in: whether it is the whole one, and whether it is older than one held before.
    listing: bool,
    older: bool,
    newest: u64,
}

impl Roster {
    /// A list or a change begins; with a whole list, nodes that it does not name are gone.
    pub fn begin(&mut self, index: u64, whole: bool) {
        self.index = Some(index);
        (self.listing, self.older) = (whole, index < self.newest);
        self.newest = self.newest.max(index);
        if whole {
            (self.whole, self.any_gone) = (true, true);
            for (name, node) in &mut self.nodes {
                node.before = std::mem::replace(&mut node.state, NodeState::Removed);
                self.changed.insert(name.clone());
            }
        }
    }

    /// An entry that cannot be used: the node stays as it was, or is as far as its state could be read. A node that
    /// nothing else is known of stays unknown.
    pub fn unreadable(&mut self, name: &str, state: Option<NodeState>) {
        if let Some(node) = self.nodes.get_mut(name) {
            let before = if self.listing { node.before } else { node.state };
            node.state = state.filter(|state| *state != NodeState::Serving).unwrap_or(before);
            self.any_gone |= node.state == NodeState::Removed;
            self.changed.insert(name.to_string());
        }
    }

    /// One entry as discovery tells it, with the start by the wall clock as it was when this program began.
    pub fn told(
        &mut self,
        name: &str,
        address: SocketAddr,
        cell: u32,
        state: NodeState,
        told_start: Option<f64>,
        now: f64,
    ) {
        let held = self.nodes.get(name).filter(|node| node.told_start == told_start);
        let started = match (held, told_start) {
            (Some(node), _) => node.started,
            (None, told) => told.map(|told| start_time::bounded_start_time(told, now, self.heard)),
        };
        self.entry(name, address, cell, state, started);
        if let Some(node) = self.nodes.get_mut(name).filter(|_| state != NodeState::Removed) {
            node.told_start = told_start;
        }
    }

    /// One entry. Connections to an address that is no longer the node's take nothing new, and those to a
    /// process that has since been started again are cut: nobody there will answer.
    pub fn entry(
        &mut self,
        name: &str,
        address: SocketAddr,
        cell: u32,
        state: NodeState,
        started: Option<f64>,
    ) {
        self.changed.insert(name.to_string());
        let Some(node) = self.nodes.get_mut(name) else {
            let (lines, fresh) = (BTreeMap::new(), vec![]);
            self.any_gone |= state == NodeState::Removed;
            let before = state;
            self.nodes.insert(
                name.into(),
                Node { address, cell, state, before, started, told_start: started, lines, fresh },
            );
            return;
        };
        if state == NodeState::Removed {
            node.state = state;
            self.any_gone = true;
            return;
        }
        let (moved, again) = (node.address != address, node.started != started);
        // Guards against a list older than what was told before, as another agent may have it: a process that drains
        // or is gone does not come back.
        let before = if self.listing { node.before } else { node.state };
        let state = if self.older && !again && state == NodeState::Serving { before } else { state };
        for line in node.lines.values_mut() {
            line.retired |= moved;
            line.cut |= again && started.is_some_and(|at| line.opened < at);
            if line.retired || line.cut {
                line.wake.notify_one();
            }
        }
        (node.address, node.cell, node.state, node.started) = (address, cell, state, started);
    }

    /// All that serve or drain.
    pub fn entries(&self) -> Vec<Entry> {
        let here = self.nodes.iter().filter(|(_, n)| n.state != NodeState::Removed);
        here.map(|(name, n)| {
            let (name, address, cell, state, started) = (name.clone(), n.address, n.cell, n.state, n.started);
            Entry { name, address, cell, state, started }
        })
        .collect()
    }

    /// Takes over the whole list as another holds it; what is the same stays untouched.
    pub fn adopt(&mut self, list: &[Entry]) {
        let named: BTreeSet<&str> = list.iter().map(|e| e.name.as_str()).collect();
        for (name, node) in &mut self.nodes {
            if node.state != NodeState::Removed && !named.contains(name.as_str()) {
                node.state = NodeState::Removed;
                self.any_gone = true;
                self.changed.insert(name.clone());
            }
        }
        for e in list {
            let held = self.nodes.get(&e.name).map(|n| (n.address, n.cell, n.state, n.started));
            if held != Some((e.address, e.cell, e.state, e.started)) {
                self.entry(&e.name, e.address, e.cell, e.state, e.started);
            }
        }
    }

    /// Tells the module what has changed since it was last told.
    pub fn tell(&mut self, module: &mut dyn PolicyInput) {
        if std::mem::take(&mut self.failed) {
            module.endpoint_poll_failed();
        }
        if std::mem::take(&mut self.whole) {
            module.endpoint_list_replaced();
        }
        for name in std::mem::take(&mut self.changed) {
            if let Some(node) = self.nodes.get(&name) {
                module.endpoint_updated(&name, node.cell, node.state, node.started);
            }
        }
    }

    pub fn line(&mut self, node: &str, line: u64) -> Option<&mut Line> {
        self.nodes.get_mut(node)?.lines.get_mut(&line)
    }

    /// Gone nodes are forgotten with their last connection.
    pub fn forget_gone(&mut self) {
        if self.any_gone {
            self.nodes.retain(|_, n| n.state != NodeState::Removed || !n.lines.is_empty());
            self.any_gone = self.nodes.values().any(|n| n.state == NodeState::Removed);
        }
    }

    pub fn names_any(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Retires the connection that has been idle longest, to make room for a dial; true if there was one.
    pub fn retire_oldest(&mut self) -> bool {
        let lines = self.nodes.values_mut().flat_map(|n| n.lines.values_mut());
        let idle = lines.filter(|l| l.up && !l.retired).filter_map(|l| Some((l.idle_since()?, l)));
        let Some((_, line)) = idle.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        line.retired = true;
        line.wake.notify_one();
        true
    }
}
