//! The data nodes as discovery names them: one record each, found by its name, with its connections.
use super::AttemptId;
use super::node_connection::NodeConnection;
use alderway::interface::{NodeState, PolicyInput};
use alderway::start_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub struct NodeRecord {
    pub address: SocketAddr,
    pub replica_group: u32,
    pub state: NodeState,
    /// What it was before the list that is being taken in.
    previous_state: NodeState,
    /// Since when its process is taken to run, and the start as discovery told it, which says whether it is the same.
    pub started_at_s: Option<f64>,
    reported_start_s: Option<f64>,
    pub connections: BTreeMap<u64, NodeConnection>,
    /// Parts that this round sends here, not yet made into calls.
    pub unsent_attempts: Vec<AttemptId>,
}

/// A data node as one core tells it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub replica_group: u32,
    pub state: NodeState,
    pub started_at_s: Option<f64>,
}

#[derive(Default)]
pub struct EndpointTable {
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The version held.
    pub version: Option<u64>,
    /// Since the last round: whether a whole list came, whether following failed, and who changed.
    pub is_replaced: bool,
    pub has_poll_failed: bool,
    pub changed: BTreeSet<String>,
    pub last_connection: u64,
    /// When discovery was last heard.
    pub last_contact_s: Option<f64>,
    /// Some node may be gone: otherwise nobody looks for one.
    has_removed: bool,
    /// Of the list that is being taken in: whether it is the whole one, and whether it is older than one held before.
    is_full_list: bool,
    is_older_list: bool,
    newest_version: u64,
}

impl EndpointTable {
    /// A list or a change begins; with a whole list, nodes that it does not name are gone.
    pub fn begin_update(&mut self, index: u64, whole: bool) {
        self.version = Some(index);
        (self.is_full_list, self.is_older_list) = (whole, index < self.newest_version);
        self.newest_version = self.newest_version.max(index);
        if whole {
            (self.is_replaced, self.has_removed) = (true, true);
            for (name, node) in &mut self.nodes {
                node.previous_state = std::mem::replace(&mut node.state, NodeState::Removed);
                self.changed.insert(name.clone());
            }
        }
    }

    /// An entry that cannot be used: the node stays as it was, or is as far as its state could be read. A node that
    /// nothing else is known of stays unknown.
    pub fn mark_unreadable(&mut self, name: &str, state: Option<NodeState>) {
        if let Some(node) = self.nodes.get_mut(name) {
            let before = if self.is_full_list { node.previous_state } else { node.state };
            node.state = state.filter(|state| *state != NodeState::Serving).unwrap_or(before);
            self.has_removed |= node.state == NodeState::Removed;
            self.changed.insert(name.to_string());
        }
    }

    /// One entry as discovery tells it, with the start by the wall clock as it was when this program began.
    pub fn update_from_discovery(
        &mut self,
        name: &str,
        address: SocketAddr,
        cell: u32,
        state: NodeState,
        told_start: Option<f64>,
        now: f64,
    ) {
        let held = self.nodes.get(name).filter(|node| node.reported_start_s == told_start);
        let started = match (held, told_start) {
            (Some(node), _) => node.started_at_s,
            (None, told) => told.map(|told| start_time::bounded_start_time(told, now, self.last_contact_s)),
        };
        self.update(name, address, cell, state, started);
        if let Some(node) = self.nodes.get_mut(name).filter(|_| state != NodeState::Removed) {
            node.reported_start_s = told_start;
        }
    }

    /// One entry. Connections to an address that is no longer the node's take nothing new, and those to a
    /// process that has since been started again are cut: nobody there will answer.
    pub fn update(
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
            self.has_removed |= state == NodeState::Removed;
            let before = state;
            self.nodes.insert(
                name.into(),
                NodeRecord {
                    address,
                    replica_group: cell,
                    state,
                    previous_state: before,
                    started_at_s: started,
                    reported_start_s: started,
                    connections: lines,
                    unsent_attempts: fresh,
                },
            );
            return;
        };
        if state == NodeState::Removed {
            node.state = state;
            self.has_removed = true;
            return;
        }
        let (moved, again) = (node.address != address, node.started_at_s != started);
        // Guards against a list older than what was told before, as another agent may have it: a process that drains
        // or is gone does not come back.
        let before = if self.is_full_list { node.previous_state } else { node.state };
        let state = if self.is_older_list && !again && state == NodeState::Serving { before } else { state };
        for line in node.connections.values_mut() {
            line.is_retired |= moved;
            line.is_aborted |= again && started.is_some_and(|at| line.opened_at_s < at);
            if line.is_retired || line.is_aborted {
                line.wake.notify_one();
            }
        }
        (node.address, node.replica_group, node.state, node.started_at_s) = (address, cell, state, started);
    }

    /// All that serve or drain.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let here = self.nodes.iter().filter(|(_, n)| n.state != NodeState::Removed);
        here.map(|(name, n)| {
            let (name, address, cell, state, started) =
                (name.clone(), n.address, n.replica_group, n.state, n.started_at_s);
            Endpoint { name, address, replica_group: cell, state, started_at_s: started }
        })
        .collect()
    }

    /// Takes over the whole list as another holds it; what is the same stays untouched.
    pub fn adopt(&mut self, list: &[Endpoint]) {
        let named: BTreeSet<&str> = list.iter().map(|e| e.name.as_str()).collect();
        for (name, node) in &mut self.nodes {
            if node.state != NodeState::Removed && !named.contains(name.as_str()) {
                node.state = NodeState::Removed;
                self.has_removed = true;
                self.changed.insert(name.clone());
            }
        }
        for e in list {
            let held = self.nodes.get(&e.name).map(|n| (n.address, n.replica_group, n.state, n.started_at_s));
            if held != Some((e.address, e.replica_group, e.state, e.started_at_s)) {
                self.update(&e.name, e.address, e.replica_group, e.state, e.started_at_s);
            }
        }
    }

    /// Tells the module what has changed since it was last told.
    pub fn notify_policy(&mut self, module: &mut dyn PolicyInput) {
        if std::mem::take(&mut self.has_poll_failed) {
            module.endpoint_poll_failed();
        }
        if std::mem::take(&mut self.is_replaced) {
            module.endpoint_list_replaced();
        }
        for name in std::mem::take(&mut self.changed) {
            if let Some(node) = self.nodes.get(&name) {
                module.endpoint_updated(&name, node.replica_group, node.state, node.started_at_s);
            }
        }
    }

    pub fn connection(&mut self, node: &str, line: u64) -> Option<&mut NodeConnection> {
        self.nodes.get_mut(node)?.connections.get_mut(&line)
    }

    /// Gone nodes are forgotten with their last connection.
    pub fn drop_removed(&mut self) {
        if self.has_removed {
            self.nodes.retain(|_, n| n.state != NodeState::Removed || !n.connections.is_empty());
            self.has_removed = self.nodes.values().any(|n| n.state == NodeState::Removed);
        }
    }

    pub fn has_nodes(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Retires the connection that has been idle longest, to make room for a dial; true if there was one.
    pub fn retire_longest_idle(&mut self) -> bool {
        let lines = self.nodes.values_mut().flat_map(|n| n.connections.values_mut());
        let idle = lines.filter(|l| l.is_up && !l.is_retired).filter_map(|l| Some((l.idle_since()?, l)));
        let Some((_, line)) = idle.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        line.is_retired = true;
        line.wake.notify_one();
        true
    }
}
