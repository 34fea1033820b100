//! Determines which replica groups and data nodes hold a shard, which means that they store its data and can
//! answer requests for it: by their position in a ring, or by an explicit list if shards move while queries
//! run.

use std::collections::{BTreeMap, BTreeSet};

/// The placement of shards on replica groups. In the ring, shard s is held by the replica groups (s + j) mod
/// `replica_groups` for each j below `groups_per_shard`.
#[derive(Clone, Debug, Default)]
pub struct ShardPlacement {
    /// Number of replica groups in the ring.
    pub replica_groups: u32,
    /// Number of replica groups that hold one shard.
    pub groups_per_shard: u32,
    /// Maximum number of shard requests in one attempt.
    pub max_batch: usize,
    /// Processing time in seconds that an attempt costs the data node in addition to that of its shard
    /// requests.
    pub attempt_overhead_s: f64,
    /// The holders of each shard; `None` if the ring determines them.
    pub explicit_holders: Option<BTreeMap<u32, ShardHolders>>,
}

/// The holders of a shard: all nodes of the replica groups except the excluded ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardHolders {
    /// Replica groups that hold the shard.
    pub replica_groups: Vec<u32>,
    /// Nodes of these groups that have answered that they do not hold the shard.
    pub excluded_nodes: BTreeSet<String>,
}

impl ShardPlacement {
    /// Number of positions in the ring from the shard's first replica group to the given one.
    pub fn positions_after_first_holder(&self, group: u32, shard: u32) -> u32 {
        (group % self.replica_groups + self.replica_groups - shard % self.replica_groups)
            % self.replica_groups
    }

    /// The index of the replica group with this number: the number modulo the size of the ring, or the number
    /// itself if holders are listed explicitly.
    pub fn replica_group_index(&self, group: u32) -> u32 {
        if self.explicit_holders.is_some() { group } else { group % self.replica_groups }
    }

    fn listed_groups(&self, shard: u32) -> Option<&[u32]> {
        let listed = self.explicit_holders.as_ref()?;
        Some(listed.get(&shard).map_or(&[], |holders| &holders.replica_groups))
    }

    /// The replica groups that hold a shard, beginning with its first group in the ring or in the explicit
    /// list.
    pub fn holding_groups(&self, shard: u32) -> impl Iterator<Item = u32> + '_ {
        let groups = self.replica_groups;
        let first = shard % groups;
        let listed = self.listed_groups(shard);
        let count = listed.map_or(self.groups_per_shard.min(groups), |listed| listed.len() as u32);
        (0..count).map(move |step| listed.map_or((first + step) % groups, |listed| listed[step as usize]))
    }

    /// The nodes that do not hold the shard although their replica group does; `None` if holders are not
    /// listed explicitly.
    pub fn excluded_nodes(&self, shard: u32) -> Option<&BTreeSet<String>> {
        Some(&self.explicit_holders.as_ref()?.get(&shard)?.excluded_nodes)
    }

    /// Whether a node of a replica group holds a shard.
    pub fn holds(&self, node: &str, group: u32, shard: u32) -> bool {
        let Some(listed) = self.listed_groups(shard) else {
            return self.positions_after_first_holder(group, shard) < self.groups_per_shard;
        };
        let excluded = self.excluded_nodes(shard).is_some_and(|nodes| nodes.contains(node));
        listed.contains(&group) && !excluded
    }
}
