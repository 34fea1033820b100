//! The endpoint list: the data nodes as discovery names them, each with the connections to it.
use super::attempts::AttemptId;
use super::node_connection::NodeConnection;
use alderway::interface::{NodeState, PolicyInput};
use alderway::start_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A data node with the connections to it.
pub struct NodeRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// The replica group that it belongs to.
    pub replica_group: u32,
    /// Its state in the list.
    pub state: NodeState,
    /// Its state before the list that is being applied.
    previous_state: NodeState,
    /// When its process is taken to have started.
    pub started_at_s: Option<f64>,
    /// The start as discovery reported it, which tells one process from the next.
    reported_start_s: Option<f64>,
    /// Connections by number.
    pub connections: BTreeMap<u64, NodeConnection>,
    /// Attempts of this round, not yet put into frames.
    pub unsent_attempts: Vec<AttemptId>,
}

/// A data node as the acceptor core tells it to the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The replica group that it belongs to.
    pub replica_group: u32,
    /// Its state in the list.
    pub state: NodeState,
    /// When its process is taken to have started.
    pub started_at_s: Option<f64>,
}

/// All data nodes, and what of them the policy has not been told yet.
#[derive(Default)]
pub struct EndpointTable {
    /// The nodes by name.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The version of the list that is applied.
    pub version: Option<u64>,
    /// A whole list came since the last round.
    pub is_replaced: bool,
    /// A poll failed since the last round.
    pub has_poll_failed: bool,
    /// Nodes that changed since the last round.
    pub changed: BTreeSet<String>,
    /// Number of the newest connection.
    pub last_connection: u64,
    /// When discovery was last heard.
    pub last_contact_s: Option<f64>,
    /// Whether some node may be removed: otherwise none is looked for.
    has_removed: bool,
    /// Whether the list that is being applied is a whole one.
    is_full_list: bool,
    /// Whether it is older than one that was applied before.
    is_older_list: bool,
    newest_version: u64,
}

impl EndpointTable {
    /// Begins a list or a change of one; with a whole list, nodes that it does not name are removed.
    pub fn begin_update(&mut self, version: u64, is_full_list: bool) {
        self.version = Some(version);
        (self.is_full_list, self.is_older_list) = (is_full_list, version < self.newest_version);
        self.newest_version = self.newest_version.max(version);
        if is_full_list {
            (self.is_replaced, self.has_removed) = (true, true);
            for (name, record) in &mut self.nodes {
                record.previous_state = std::mem::replace(&mut record.state, NodeState::Removed);
                self.changed.insert(name.clone());
            }
        }
    }

    /// The state of a node before the list or change that is being applied.
    fn state_before(&self, record: &NodeRecord) -> NodeState {
        if self.is_full_list { record.previous_state } else { record.state }
    }

    /// An entry cannot be used: its node stays as it was, or drains or goes as far as its state could be read. A node
    /// of which nothing else is known stays unknown.
    pub fn mark_unreadable(&mut self, name: &str, state: Option<NodeState>) {
        let Some(before) = self.nodes.get(name).map(|record| self.state_before(record)) else { return };
        let state = state.filter(|state| *state != NodeState::Serving).unwrap_or(before);
        if let Some(record) = self.nodes.get_mut(name) {
            record.state = state;
        }
        self.has_removed |= state == NodeState::Removed;
        self.changed.insert(name.to_string());
    }

    /// Applies an entry of discovery, whose start is by the wall clock as it was when this program began.
    pub fn update_from_discovery(
        &mut self,
        name: &str,
        address: SocketAddr,
        replica_group: u32,
        state: NodeState,
        reported_start_s: Option<f64>,
        now: f64,
    ) {
        let known = self.nodes.get(name).filter(|record| record.reported_start_s == reported_start_s);
        let started_at_s = match (known, reported_start_s) {
            (Some(record), _) => record.started_at_s,
            (None, reported) => {
                reported.map(|start| start_time::estimated_process_start_s(start, now, self.last_contact_s))
            }
        };
        self.update(name, address, replica_group, state, started_at_s);
        if let Some(record) = self.nodes.get_mut(name).filter(|_| state != NodeState::Removed) {
            record.reported_start_s = reported_start_s;
        }
    }

    /// Applies one entry. Connections to an address that is no longer the node's are retired, and those to a process
    /// that has been restarted since are aborted: nobody there will answer.
    pub fn update(
        &mut self,
        name: &str,
        address: SocketAddr,
        replica_group: u32,
        state: NodeState,
        started_at_s: Option<f64>,
    ) {
        self.changed.insert(name.to_string());
        self.has_removed |= state == NodeState::Removed;
        let Some(before) = self.nodes.get(name).map(|record| self.state_before(record)) else {
            let record = NodeRecord {
                address,
                replica_group,
                state,
                previous_state: state,
                started_at_s,
                reported_start_s: started_at_s,
                connections: BTreeMap::new(),
                unsent_attempts: vec![],
            };
            self.nodes.insert(name.into(), record);
            return;
        };
        let Some(record) = self.nodes.get_mut(name) else { return };
        if state == NodeState::Removed {
            record.state = state;
            return;
        }
        let (has_moved, has_restarted) = (record.address != address, record.started_at_s != started_at_s);
        // Guards against a list older than one applied before, as another agent may have it: a process that drains or
        // is gone does not come back.
        let is_revival = self.is_older_list && !has_restarted && state == NodeState::Serving;
        for connection in record.connections.values_mut() {
            connection.is_retired |= has_moved;
            connection.is_aborted |=
                has_restarted && started_at_s.is_some_and(|start| connection.opened_at_s < start);
            if connection.is_retired || connection.is_aborted {
                connection.wake.notify_one();
            }
        }
        record.address = address;
        record.replica_group = replica_group;
        record.state = if is_revival { before } else { state };
        record.started_at_s = started_at_s;
    }

    /// All that serve or drain.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let present = self.nodes.iter().filter(|(_, record)| record.state != NodeState::Removed);
        let endpoint = |(name, record): (&String, &NodeRecord)| Endpoint {
            name: name.clone(),
            address: record.address,
            replica_group: record.replica_group,
            state: record.state,
            started_at_s: record.started_at_s,
        };
        present.map(endpoint).collect()
    }

    /// Applies the whole list of another core; what is the same stays untouched.
    pub fn adopt(&mut self, list: &[Endpoint]) {
        let named: BTreeSet<&str> = list.iter().map(|endpoint| endpoint.name.as_str()).collect();
        for (name, record) in &mut self.nodes {
            if record.state != NodeState::Removed && !named.contains(name.as_str()) {
                record.state = NodeState::Removed;
                self.has_removed = true;
                self.changed.insert(name.clone());
            }
        }
        for endpoint in list {
            let Endpoint { name, address, replica_group, state, started_at_s } = endpoint;
            let is_same = self.nodes.get(name).is_some_and(|record| {
                (record.address, record.replica_group, record.state, record.started_at_s)
                    == (*address, *replica_group, *state, *started_at_s)
            });
            if !is_same {
                self.update(name, *address, *replica_group, *state, *started_at_s);
            }
        }
    }

    /// Tells the policy what changed since it was last told.
    pub fn notify_policy(&mut self, policy: &mut dyn PolicyInput) {
        if std::mem::take(&mut self.has_poll_failed) {
            policy.endpoint_poll_failed();
        }
        if std::mem::take(&mut self.is_replaced) {
            policy.endpoint_list_replaced();
        }
        for name in std::mem::take(&mut self.changed) {
            if let Some(record) = self.nodes.get(&name) {
                policy.endpoint_updated(&name, record.replica_group, record.state, record.started_at_s);
            }
        }
    }

    /// The next round tells the whole list, as to a policy that starts anew.
    pub fn mark_all_changed(&mut self) {
        self.is_replaced = true;
        self.changed = self.nodes.keys().cloned().collect();
    }

    /// A connection by its node's name and its number.
    pub fn connection(&mut self, node: &str, number: u64) -> Option<&mut NodeConnection> {
        self.nodes.get_mut(node)?.connections.get_mut(&number)
    }

    /// Retires the connections of removed nodes. Returns the nodes that do not serve and may have attempts that have
    /// not begun.
    pub fn retire_unserving(&mut self) -> Vec<String> {
        let mut unserving = Vec::new();
        for (name, record) in &mut self.nodes {
            if record.state == NodeState::Removed {
                for connection in record.connections.values_mut() {
                    connection.is_retired = true;
                    connection.wake.notify_one();
                }
            }
            let is_unused = record.connections.is_empty() && record.unsent_attempts.is_empty();
            if record.state != NodeState::Serving && !is_unused {
                unserving.push(name.clone());
            }
        }
        unserving
    }

    /// Forgets removed nodes that have no connection left.
    pub fn drop_removed(&mut self) {
        if self.has_removed {
            let is_kept =
                |record: &NodeRecord| record.state != NodeState::Removed || !record.connections.is_empty();
            self.nodes.retain(|_, record| is_kept(record));
            self.has_removed = self.nodes.values().any(|record| record.state == NodeState::Removed);
        }
    }

    /// Whether any node is known.
    pub fn has_nodes(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Retires the connection that has been idle longest, to make room for a dial; false if none is idle.
    pub fn retire_longest_idle(&mut self) -> bool {
        let connections = self.nodes.values_mut().flat_map(|record| record.connections.values_mut());
        let usable = connections.filter(|connection| connection.is_up && !connection.is_retired);
        let idle = usable.filter_map(|connection| Some((connection.idle_since()?, connection)));
        let Some((_, connection)) = idle.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        connection.is_retired = true;
        connection.wake.notify_one();
        true
    }
}
