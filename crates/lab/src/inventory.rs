//! What every key is worth, for data nodes and clients alike: an answer is checked against it key by key.
use alderway_layouts::KeyRange;
use alderway_layouts::layout::{Change, Layout};
use serde_json::{Value, json};

/// The value of a range of keys for a query's text: how many keys, and the sum of what each is worth.
pub fn value(text: &str, keys: KeyRange) -> String {
    let mut start = crc32fast::Hasher::new();
    start.update(text.as_bytes());
    let worth = |key: u32| {
        let mut sum = start.clone();
        sum.update(&key.to_be_bytes());
        u64::from(sum.finalize())
    };
    let sum: u64 = (keys.from..keys.to).map(worth).sum();
    format!("{}:{sum:x}", keys.len())
}

/// What is at fault in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Not in form, for keys that were not asked for, or with a value that no node holding those keys gives.
    pub wrong: u64,
    /// Keys that count twice.
    pub double: u64,
    /// Keys that an answer said to be whole lacks.
    pub missing: u64,
}

/// Checks a merged answer key by key; gives its faults and how many keys are in.
pub fn check(body: &[u8], asked: &[KeyRange], text: &str) -> (Faults, u64) {
    let unreadable = (Faults { wrong: 1, ..Faults::default() }, 0);
    let Ok(body) = serde_json::from_slice::<Value>(body) else { return unreadable };
    let (Some(whole), Some(results)) = (body["whole"].as_bool(), body["results"].as_array()) else {
        return unreadable;
    };
    let (mut faults, mut counted) = (Faults::default(), std::collections::BTreeMap::<u32, u32>::new());
    for result in results {
        let key = |at: usize| result["keys"][at].as_u64().and_then(|key| u32::try_from(key).ok());
        let (Some(from), Some(to)) = (key(0), key(1)) else {
            faults.wrong += 1;
            continue;
        };
        let keys = KeyRange::new(from, to);
        let within = asked.iter().any(|asked| asked.contains(keys));
        if !within || result["value"].as_str() != Some(&value(text, keys)) {
            faults.wrong += 1;
        }
        (from..to).for_each(|key| *counted.entry(key).or_insert(0) += 1);
    }
    faults.double = counted.values().filter(|count| **count > 1).count() as u64;
    let all: u64 = asked.iter().map(KeyRange::len).sum();
    if whole {
        faults.missing = all.saturating_sub(counted.len() as u64);
    }
    if results.is_empty() {
        faults.wrong += 1;
    }
    (faults, counted.len() as u64)
}

/// A layout as discovery tells the whole of it.
pub fn whole(layout: &Layout) -> String {
    let shards = layout.shards().map(|(id, shard)| {
        json!({"shard": id, "from": shard.keys.from, "to": shard.keys.to, "holders": shard.holders})
    });
    let shards = shards.collect::<Vec<_>>();
    json!({"version": layout.version(), "keys": layout.key_count(), "shards": shards}).to_string()
}

/// Changes to a version as discovery tells them.
pub fn changes(version: u64, after: u64, changes: &[Change]) -> String {
    let change = |change: &Change| match change {
        Change::Split { parent, children } => {
            let child = |(id, from): &(u32, u32)| json!({"shard": id, "from": from});
            json!({"split": parent, "into": children.iter().map(child).collect::<Vec<_>>()})
        }
        Change::Merge { parents, child } => json!({"merge": parents, "as": child}),
        Change::Move { shard, holders } => json!({"move": shard, "holders": holders}),
    };
    let changes = changes.iter().map(change).collect::<Vec<_>>();
    json!({"version": version, "after": after, "changes": changes}).to_string()
}
