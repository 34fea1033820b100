//! When others' word on a data node is believed. So many witnesses as are stated, each another router, have to hold the
//! same side within the time after which a word is stale: what is believed is then what the least sure of the surest so
//! many say. So fewer liars, or routers that are stuck, than are stated as witnesses can neither take a sound node out nor
//! keep it out a moment longer, nor bring a sick one back. What one saw oneself since outranks it: the decision module sees to that.
use crate::words::{Kept, What};

/// What is believed of a data node's process; the spans count from `seen`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub started: Option<f64>,
    pub seen: f64,
    pub late: f64,
    pub far: f64,
    pub sick: f64,
}

/// Starts that are told so closely are of one process: each router reckons them by a clock of its own.
const SAME: f64 = 0.5;

fn same(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => (one - other).abs() < SAME,
        (None, None) => true,
        _ => false,
    }
}

/// What so many of them reach: of the values from the highest down, the one at that place.
fn reached(values: impl Iterator<Item = f64>, witnesses: usize) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(|a, b| b.total_cmp(a));
    values.get(witnesses.max(1) - 1).copied()
}

/// When it was seen, and until when it is late, far too late and sick by one word.
struct Held {
    seen: f64,
    until: [f64; 3],
    ill: bool,
}

/// What is believed of the process that started at `started`, by the own clock, from each router's latest word on its
/// node, where that is no older than `stale`: no span
/// reaches past the time when the word that it rests on is stale.
pub fn believed(
    said: &[&Kept],
    started: Option<f64>,
    now: f64,
    stale: f64,
    witnesses: usize,
) -> Option<Verdict> {
    let held = |word: &&Kept| match word.what {
        What::Verdict { started: told, ago, late, far, sick, .. }
            if ago >= 0.0 && now - word.said < stale =>
        {
            let (seen, spans) = (word.said - f64::from(ago), [late, far, sick].map(f64::from));
            let until = spans.map(|span| word.said + span.clamp(0.0, stale));
            let held = Held { seen, until, ill: spans.iter().any(|span| *span > 0.0) };
            same(told.map(|before| seen - f64::from(before)), started).then_some(held)
        }
        _ => None,
    };
    let (ill, sound): (Vec<Held>, Vec<Held>) = said.iter().filter_map(held).partition(|held| held.ill);
    let seen = |words: &[Held]| reached(words.iter().map(|word| word.seen), witnesses);
    let bad = seen(&ill).map(|seen| {
        let span = |n: usize| {
            let until = reached(ill.iter().map(|word| word.until[n]), witnesses);
            until.map_or(0.0, |until| (until - seen).max(0.0))
        };
        Verdict { started, seen, late: span(0), far: span(1), sick: span(2) }
    });
    let good = seen(&sound).map(|seen| Verdict { started, seen, late: 0.0, far: 0.0, sick: 0.0 });
    match (bad, good) {
        (Some(bad), Some(good)) => Some(if good.seen > bad.seen { good } else { bad }),
        (bad, good) => bad.or(good),
    }
}
