//! Who dials whom. Members stand in a ring in the order of their names, and each dials those 1, 2, 4, 8 ... places on: every
//! member has as many links as the count of members has binary digits, twice that with those that dial it, and a word
//! is everywhere after as many beats at most. It follows from the list alone, so nobody has to agree on it, and lists that
//! differ for a while only cost links.
use crate::Name;
use std::collections::BTreeSet;

/// Whom a member dials; nobody where it is not of the list itself.
pub fn dialled(members: &BTreeSet<Name>, own: &str) -> Vec<Name> {
    let Some(at) = members.iter().position(|name| name == own) else { return vec![] };
    let steps = (0..usize::BITS).map(|digit| 1usize << digit).take_while(|step| *step < members.len());
    steps.filter_map(|step| members.iter().nth((at + step) % members.len()).cloned()).collect()
}
