//! How the module's records follow shards that change: a successor begins with what its parents showed, a part that is
//! divided leaves its leaf calls to its heirs. Records only: nothing is decided here, and no value is chosen.
use super::{Router, Shard};
use crate::kept::{Part, Recent};

impl Router {
    /// What is known of a new shard before its first answer: its parents' latest latencies, and whose turn it is. A
    /// shard that was seen itself keeps what it showed.
    pub(super) fn inherit(&mut self, shard: u32, parents: &[u32], keep: usize) {
        let known: Vec<&Shard> = parents.iter().filter_map(|parent| self.shards.get(parent)).collect();
        let Some(turn) = known.first().map(|parent| parent.turn) else { return };
        let latest: Vec<&Recent> = known.iter().map(|parent| &parent.recent).collect();
        let recent = Recent::handed_on(&latest, keep);
        self.shards.entry(shard).or_insert(Shard { turn, recent });
    }

    pub(super) fn forget(&mut self, shard: u32) {
        self.shards.remove(&shard);
        self.placement.listed.iter_mut().for_each(|listed| drop(listed.remove(&shard)));
    }

    /// Each heir has the old part's calls for its own, so that what was tried, what may have run and what was copied
    /// counts for it: guards against a second effect, a further budget or a fresh count of calls by way of a split.
    /// A call out burdens its node once, whoever waits for it.
    pub(super) fn divide(&mut self, number: u64, part: &str, into: &[(&str, u32, f64)]) {
        let Some((_, at)) = self.parts.remove(part) else { return };
        let Some(query) = self.queries.get_mut(&number) else { return };
        let (vertical, old) = (query.vertical, &query.parts[at]);
        let out = |part: &Part| {
            let out = part.calls.iter().enumerate().filter(|(_, call)| call.out);
            out.map(|(hop, call)| (hop, call.since, call.node.clone())).collect::<Vec<_>>()
        };
        for (hop, _, node) in out(old) {
            self.out.remove((old.shard, vertical), (number, at, hop));
            let calls = self.nodes.get_mut(&node).map(|node| &mut node.calls);
            if let (Some(calls), Some(first)) = (calls, into.first())
                && let Some(call) = calls.remove(&(part.to_string(), hop))
            {
                calls.insert((first.0.into(), hop), call);
            }
        }
        let (merged, copies, calls) = (old.merged, old.copies, old.calls.clone());
        for (i, &(id, shard, weight)) in into.iter().enumerate() {
            let heir = Part { id: id.into(), shard, weight, merged, copies, calls: calls.clone() };
            let place = if i == 0 { at } else { query.parts.len() };
            for (hop, since, _) in out(&heir) {
                self.out.insert((shard, vertical), since, (number, place, hop));
            }
            self.parts.insert(id.into(), (number, place));
            match query.parts.get_mut(place) {
                Some(part) => *part = heir,
                None => query.parts.push(heir),
            }
        }
        query.look_at = 0.0;
    }
}
