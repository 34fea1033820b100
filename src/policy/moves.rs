//! How the module's records follow what changes outside: a successor of shards begins with what its parents showed, a
//! part that is divided leaves its leaf calls to its heirs, a query that another decided for brings its calls along.
//! StateTransfer only: nothing is decided here, and no value is chosen.
use super::{LEARNED, Policy, Shard};
use crate::interface::{AttemptOutcome, ClassSlot, PolicyConfig, ShardHolders, StateTransfer};
use crate::kept::{Call, Part, Recent};

impl StateTransfer for Policy {
    fn set_shard_holders(&mut self, shard: u32, held: ShardHolders) {
        if self.placement.explicit_holders.get_or_insert_default().insert(shard, held).is_none() {
            self.serving.clear();
        }
    }

    fn inherit_shard(&mut self, shard: u32, parents: &[u32]) {
        self.inherit(shard, parents, LEARNED);
    }

    fn shard_retired(&mut self, shard: u32) {
        self.forget(shard);
    }

    fn shard_request_split(&mut self, number: u64, part: &str, into: &[(&str, u32, f64)]) {
        self.divide(number, part, into);
    }

    fn adopt_attempt(&mut self, part: &str, node: &str, age: f64, ending: Option<AttemptOutcome>) {
        self.adopt(part, node, age, ending);
    }

    fn change_config(&mut self, terms: &PolicyConfig, placed: &[ClassSlot]) {
        self.take_over(terms, placed);
    }

    fn class_retired(&mut self, at: usize) {
        self.forget_vertical(at);
    }
}

impl Policy {
    /// What is known of a new shard before its first answer: its parents' latest latencies, and whose turn it is. A
    /// shard that was seen itself keeps what it showed.
    fn inherit(&mut self, shard: u32, parents: &[u32], keep: usize) {
        let known: Vec<&Shard> = parents.iter().filter_map(|parent| self.shards.get(parent)).collect();
        let Some(turn) = known.first().map(|parent| parent.turn) else { return };
        let latest: Vec<&Recent> = known.iter().map(|parent| &parent.recent).collect();
        let recent = Recent::handed_on(&latest, keep);
        self.shards.entry(shard).or_insert(Shard { turn, recent });
    }

    fn forget(&mut self, shard: u32) {
        self.shards.remove(&shard);
        self.placement.explicit_holders.iter_mut().for_each(|listed| drop(listed.remove(&shard)));
    }

    /// Each heir has the old part's calls for its own, so that what was tried, what may have run and what was copied
    /// counts for it: guards against a second effect, a further budget or a fresh count of calls by way of a split.
    /// A call out burdens its node once, whoever waits for it.
    fn divide(&mut self, number: u64, part: &str, into: &[(&str, u32, f64)]) {
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

    /// A call of the part as it was made elsewhere: it counts against the cap on calls, for what may have run, and, if it
    /// is out, for its lateness and its node's room.
    fn adopt(&mut self, part: &str, node: &str, age: f64, ending: Option<AttemptOutcome>) {
        let Some(&(number, at)) = self.parts.get(part) else { return };
        let (now, since) = (self.now - age, self.awake - age);
        let Some(query) = self.queries.get(&number) else { return };
        let (vertical, shard) = (query.vertical, query.parts[at].shard);
        let delay = self.delay(shard, vertical);
        let Some(record) = self.queries.get_mut(&number).map(|query| &mut query.parts[at]) else { return };
        let (out, hop) = (ending.is_none(), record.calls.len());
        if hop == 0 {
            // It has earned for its part where it was decided until now.
            self.common.deposit(-self.purse.ratio, self.purse.capacity);
        }
        record.copies += usize::from(out && record.calls.iter().any(|call| call.out));
        record.merged |= ending == Some(AttemptOutcome::Success);
        let may_have_run = ending.is_none_or(|ending| !ending.had_no_effect());
        let turned_away = ending.is_some_and(AttemptOutcome::was_rejected);
        let broke = ending == Some(AttemptOutcome::ConnectionReset);
        let cancelled = false;
        let call =
            Call { node: node.into(), at: now, since, out, cancelled, may_have_run, turned_away, broke };
        record.calls.push(call);
        if out {
            self.out.insert((shard, vertical), since, (number, at, hop));
            if let Some(node) = self.nodes.get_mut(node) {
                node.calls.insert((part.into(), hop), (since, delay));
            }
        }
    }
}
