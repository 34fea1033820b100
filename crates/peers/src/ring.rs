//! Decides which members dial which. The members form a ring in the order of their names, and each member
//! dials the members 1, 2, 4, 8, ... places further on. To dial means to open a connection, over which both
//! members send updates. Of n members, each dials log2(n) others, rounded up, and is dialled by as many; an
//! update reaches every member within as many frame intervals. The links follow from the list of members
//! alone, so the members need no agreement. While the lists of two members differ, some links are missing or
//! superfluous.
use crate::Name;
use std::collections::BTreeSet;

/// Returns the members that the member `own_name` dials, or none if `own_name` is not in `members`.
pub fn dial_targets(members: &BTreeSet<Name>, own_name: &str) -> Vec<Name> {
    let Some(own_index) = members.iter().position(|name| name == own_name) else { return vec![] };
    let steps = (0..usize::BITS).map(|exponent| 1usize << exponent).take_while(|step| *step < members.len());
    steps.filter_map(|step| members.iter().nth((own_index + step) % members.len()).cloned()).collect()
}
