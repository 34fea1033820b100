//! Reference files: one item a line, its name, a space, then hexadecimal bytes (`.hex`) or JSON (`.json.txt`). They were
//! written once and nothing regenerates them: a difference is a change of the format.
use alderway_control_plane::version::Proposal;
use serde_json::json;
use std::collections::BTreeSet;

/// The value of a reference.
pub fn reference<'a>(file: &'a str, name: &str) -> Option<&'a str> {
    file.lines().find_map(|line| line.split_once(' ').filter(|(key, _)| *key == name).map(|(_, value)| value))
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of a reference in hexadecimal.
pub fn bytes_of(file: &str, name: &str) -> Vec<u8> {
    let text = reference(file, name).unwrap_or_else(|| panic!("no reference `{name}`"));
    let digits: Vec<u32> = text.chars().map(|digit| digit.to_digit(16).expect("hexadecimal")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

/// Every line has a name of its own. Returns the number of lines.
pub fn assert_distinct(file: &str) -> usize {
    let names: Vec<&str> = file.lines().filter_map(|line| Some(line.split_once(' ')?.0)).collect();
    let distinct: BTreeSet<&&str> = names.iter().collect();
    assert_eq!((names.len(), names.len()), (file.lines().count(), distinct.len()));
    names.len()
}

pub fn proposal(id: &str, base: u64) -> Proposal {
    Proposal {
        id: id.into(),
        base,
        author: "on call".into(),
        reason: "a trial".into(),
        at_unix_ms: 1_700_000_000_000,
        settings: json!({"TickUs": base + 1}),
    }
}
