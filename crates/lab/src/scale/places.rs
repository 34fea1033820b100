//! Where to measure, as a command line says it: `nodes=100/400,rate=100` stands for every combination of its values.
use super::report::At;
use serde_json::json;
use std::collections::BTreeMap;

/// Whole values by key.
pub type Place = BTreeMap<&'static str, usize>;

/// All places of some texts, in their order; what a text does not name is as usual.
pub fn read(texts: &[String], usual: &[(&'static str, usize)]) -> Result<Vec<Place>, String> {
    let mut all: Vec<Place> = vec![];
    for text in texts {
        for place in one(text, usual).map_err(|why| format!("--at {text}: {why}"))? {
            if !all.contains(&place) {
                all.push(place);
            }
        }
    }
    Ok(all)
}

fn one(text: &str, usual: &[(&'static str, usize)]) -> Result<Vec<Place>, String> {
    let mut places = vec![usual.iter().copied().collect::<Place>()];
    for word in text.split(',') {
        let (key, values) = word.split_once('=').ok_or(format!("`{word}` is not KEY=VALUE"))?;
        let keys = || usual.iter().map(|(key, _)| *key).collect::<Vec<_>>().join(", ");
        let known = usual.iter().find(|(known, _)| *known == key);
        let (key, _) = known.ok_or_else(|| format!("`{key}` is none of {}", keys()))?;
        let value = |value: &str| value.parse::<usize>().ok().filter(|value| *value > 0);
        let values = values.split('/').map(value).collect::<Option<Vec<usize>>>();
        let values = values.ok_or(format!("`{word}` has a value that is no whole number from 1"))?;
        let wider = |place: &Place| {
            let place = place.clone();
            let with =
                move |value| place.iter().map(|(k, v)| (*k, if k == key { value } else { *v })).collect();
            values.clone().into_iter().map(with).collect::<Vec<Place>>()
        };
        places = places.iter().flat_map(wider).collect();
    }
    Ok(places)
}

pub fn at(place: &Place) -> At {
    place.iter().map(|(key, value)| (*key, json!(value))).collect()
}
