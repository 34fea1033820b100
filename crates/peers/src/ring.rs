//! Which members dial which. Members form a ring in the order of their names, and each dials the members 1, 2, 4, 8, ...
//! places further on. A member thus dials as many others as the member count has binary digits and is dialled by as many,
//! and an update reaches every member within as many frame intervals. The links follow from the list of members alone, so
//! nothing has to be agreed on; while the lists of members differ, there are only more or fewer links.
use crate::Name;
use std::collections::BTreeSet;

/// The members that the member `own` dials; none if it is not in the list itself.
pub fn dial_targets(members: &BTreeSet<Name>, own: &str) -> Vec<Name> {
    let Some(at) = members.iter().position(|name| name == own) else { return vec![] };
    let steps = (0..usize::BITS).map(|digit| 1usize << digit).take_while(|step| *step < members.len());
    steps.filter_map(|step| members.iter().nth((at + step) % members.len()).cloned()).collect()
}
