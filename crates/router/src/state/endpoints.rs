//! The endpoint list: the data nodes that discovery, the service that publishes the list, has reported. The
//! record of each data node contains the connections of this core to the data node. A retired connection gets
//! no new attempts and closes when it is idle. Changes are collected until the next run of the policy. Times
//! are seconds of the monotonic clock.
use super::attempts::AttemptId;
use super::node_connection::NodeConnection;
use alderway::interface::{NodeState, PolicyInput};
use alderway::start_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A data node and the connections of this core to it.
pub struct NodeRecord {
    /// The address on which the data node listens.
    pub address: SocketAddr,
    /// Id of the replica group that the data node belongs to.
    pub replica_group: u32,
    /// The state of the data node by the endpoint list.
    pub state: NodeState,
    /// The state that the data node had before the last full list was applied.
    previous_state: NodeState,
    /// When the data node's process started, as estimated from the endpoint list; `None` if unknown.
    pub started_at_s: Option<f64>,
    /// When the data node's process started according to discovery. The value changes when the process
    /// restarts.
    reported_start_s: Option<f64>,
    /// The connections to the data node, by number.
    pub connections: BTreeMap<u64, NodeConnection>,
    /// Attempts that are not yet in a frame.
    pub unsent_attempts: Vec<AttemptId>,
}

/// A data node in the endpoint list that the acceptor core passes to the other cores.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The data node's name, unique in the endpoint list.
    pub name: String,
    /// The address on which the data node listens.
    pub address: SocketAddr,
    /// Id of the replica group that the data node belongs to.
    pub replica_group: u32,
    /// The state of the data node by the endpoint list.
    pub state: NodeState,
    /// When the data node's process started, as estimated from the endpoint list; `None` if unknown.
    pub started_at_s: Option<f64>,
}

/// All data nodes, and the changes to them that the policy has not received yet.
#[derive(Default)]
pub struct EndpointTable {
    /// Data nodes by name.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The version of the list that was applied last; `None` before the first list.
    pub version: Option<u64>,
    /// Whether a full list was applied since the policy's last run.
    pub is_replaced: bool,
    /// Whether a poll of discovery failed since the policy's last run.
    pub has_poll_failed: bool,
    /// Names of the data nodes whose replica group, state and start time are passed to the policy in its next
    /// run.
    pub changed: BTreeSet<String>,
    /// Number of the newest connection to any data node; numbers are never reused.
    pub last_connection: u64,
    /// When a complete message from discovery was last received; `None` before the first one.
    pub last_contact_s: Option<f64>,
    /// False if no removed data node is left in `nodes`, so that `drop_removed` need not search for one.
    has_removed: bool,
    /// Whether the list that is being applied is a full list.
    is_full_list: bool,
    /// Whether the list that is being applied is older than one applied before.
    is_older_list: bool,
    /// The highest version applied so far.
    newest_version: u64,
}

impl EndpointTable {
    /// Begins to apply a full list or a change with this version; calls of `update_from_discovery` and
    /// `mark_unreadable` with its entries follow. A full list first marks all data nodes as removed, so that
    /// those without an entry stay removed.
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

    /// The state that a data node had before the full list that is being applied; if a change is being
    /// applied, the present state of the data node.
    fn state_before(&self, record: &NodeRecord) -> NodeState {
        if self.is_full_list { record.previous_state } else { record.state }
    }

    /// Applies an entry that has an unreadable field. If the state of the entry is readable and is draining
    /// or removed, the data node gets that state; otherwise the data node stays unchanged. A data node that
    /// is not in the table is not added.
    pub fn mark_unreadable(&mut self, name: &str, state: Option<NodeState>) {
        let Some(before) = self.nodes.get(name).map(|record| self.state_before(record)) else { return };
        let state = state.filter(|state| *state != NodeState::Serving).unwrap_or(before);
        if let Some(record) = self.nodes.get_mut(name) {
            record.state = state;
        }
        self.has_removed |= state == NodeState::Removed;
        self.changed.insert(name.to_string());
    }

    /// Applies an entry from discovery that was received at `now`. `reported_start_s` is the start of the
    /// data node's process, converted from wall-clock time with the clock offset that was measured when the
    /// router started.
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

    /// Applies one entry of the endpoint list. If the address of the data node has changed, connections to
    /// the old address are retired. If the process of the data node has restarted, connections opened before
    /// the restart close immediately, because no reply can arrive on these connections.
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
        // Guards against a list older than one applied before, as another discovery agent may send: a process
        // that is draining or removed never serves again.
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

    /// All data nodes that are serving or draining.
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

    /// Replaces the endpoint list by the full list of the acceptor core. Data nodes that did not change are
    /// not reported to the policy.
    pub fn replace_from_core(&mut self, list: &[Endpoint]) {
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

    /// Passes the changes since the policy's last run to the policy.
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

    /// Marks all data nodes as changed, so that a restarted policy gets the full list in its first run.
    pub fn mark_all_changed(&mut self) {
        self.is_replaced = true;
        self.changed = self.nodes.keys().cloned().collect();
    }

    /// The connection `number` to the data node `node`; `None` if the table has no such connection.
    pub fn connection(&mut self, node: &str, number: u64) -> Option<&mut NodeConnection> {
        self.nodes.get_mut(node)?.connections.get_mut(&number)
    }

    /// Retires the connections to removed data nodes. Returns the names of all draining or removed data nodes
    /// that have a connection or an attempt that is not yet in a frame.
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

    /// Drops the removed data nodes that have no connection left.
    pub fn drop_removed(&mut self) {
        if self.has_removed {
            let is_kept =
                |record: &NodeRecord| record.state != NodeState::Removed || !record.connections.is_empty();
            self.nodes.retain(|_, record| is_kept(record));
            self.has_removed = self.nodes.values().any(|record| record.state == NodeState::Removed);
        }
    }

    /// Whether the table has any data node.
    pub fn has_nodes(&self) -> bool {
        !self.nodes.is_empty()
    }

    /// Retires the connection to any data node that has been idle longest, to free its file descriptor for a
    /// new connection; false if no connection is idle.
    pub fn retire_longest_idle(&mut self) -> bool {
        let connections = self.nodes.values_mut().flat_map(|record| record.connections.values_mut());
        let usable = connections.filter(|connection| connection.is_open && !connection.is_retired);
        let idle = usable.filter_map(|connection| Some((connection.idle_since()?, connection)));
        let Some((_, connection)) = idle.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        connection.is_retired = true;
        connection.wake.notify_one();
        true
    }
}
