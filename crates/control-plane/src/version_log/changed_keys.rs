//! Names the keys by which two settings differ, for operators.
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Keys that are named at most.
const MAX_CHANGED_KEYS: usize = 40;

/// Objects of a list by their key `Name`.
type NamedObjects<'a> = BTreeMap<&'a str, &'a Map<String, Value>>;

/// The keys by which settings differ, 40 at most: top-level keys, and within a list of objects with distinct names, such
/// as query classes, `key.name.key`. Settings that are not objects differ by `all`.
pub fn changed_keys(before: &Value, after: &Value) -> Vec<String> {
    let mut keys = vec![];
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            for key in differing_keys(before, after) {
                match (before.get(&key).and_then(named_objects), after.get(&key).and_then(named_objects)) {
                    (Some(before), Some(after)) => keys.extend(changed_in_list(&key, &before, &after)),
                    _ => keys.push(key),
                }
            }
        }
        _ if before != after => keys.push("all".into()),
        _ => {}
    }
    keys.truncate(MAX_CHANGED_KEYS);
    keys
}

fn differing_keys(before: &Map<String, Value>, after: &Map<String, Value>) -> BTreeSet<String> {
    before.keys().chain(after.keys()).filter(|key| before.get(*key) != after.get(*key)).cloned().collect()
}

/// The objects of a list by name, if all of them have distinct names.
fn named_objects(value: &Value) -> Option<NamedObjects<'_>> {
    let list = value.as_array()?;
    let objects: Option<NamedObjects> =
        list.iter().map(|object| Some((object.get("Name")?.as_str()?, object.as_object()?))).collect();
    objects.filter(|objects| objects.len() == list.len())
}

fn changed_in_list(key: &str, before: &NamedObjects, after: &NamedObjects) -> Vec<String> {
    let mut keys = vec![];
    let names: BTreeSet<&&str> = before.keys().chain(after.keys()).collect();
    for name in names {
        match (before.get(*name), after.get(*name)) {
            (Some(before), Some(after)) => {
                keys.extend(
                    differing_keys(before, after).iter().map(|field| format!("{key}.{name}.{field}")),
                );
            }
            _ => keys.push(format!("{key}.{name}")),
        }
    }
    if keys.is_empty() {
        // The same objects in another order.
        keys.push(key.into());
    }
    keys
}
