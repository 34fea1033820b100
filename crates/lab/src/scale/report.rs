//! Rows of what was measured, the budgets they are judged by, and the file that a run leaves.
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::process::Command;
use std::str::FromStr;

/// What a row was measured at.
pub type At = BTreeMap<&'static str, Value>;

#[derive(Clone, Debug)]
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    pub unit: &'static str,
    pub at: At,
    /// One a repeat.
    pub values: Vec<f64>,
    pub note: String,
    /// Why the values say nothing of what was to be measured.
    pub unsound: Option<String>,
}

/// The most that every row of a name may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub what: String,
    pub most: f64,
}

impl FromStr for Budget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (what, most) = text.rsplit_once('=').ok_or("expected WHAT=VALUE")?;
        let most = most.parse().map_err(|_| format!("`{most}` is not a number"))?;
        Ok(Budget { what: what.into(), most })
    }
}

#[derive(Debug, Default)]
pub struct Report {
    pub rows: Vec<Row>,
}

/// A figure of one repeat: what, its unit and its value.
pub type Figure = (&'static str, &'static str, f64);

impl Report {
    /// One repeat's figures at one place, each a further value of its row. What is no number is left out.
    pub fn add(
        &mut self,
        role: &'static str,
        at: &At,
        figures: impl IntoIterator<Item = Figure>,
        note: &str,
        unsound: Option<&String>,
    ) {
        for (what, unit, value) in figures.into_iter().filter(|f| f.2.is_finite()) {
            let same = |row: &&mut Row| row.role == role && row.what == what && row.at == *at;
            match self.rows.iter_mut().find(same) {
                Some(row) => {
                    row.values.push(value);
                    row.unsound = row.unsound.take().or(unsound.cloned());
                }
                None => self.rows.push(Row {
                    role,
                    what,
                    unit,
                    at: at.clone(),
                    values: vec![value],
                    note: note.into(),
                    unsound: unsound.cloned(),
                }),
            }
        }
    }

    /// Every row that breaks a budget or cannot be judged by it, and every budget that no row is named by.
    pub fn over(&self, budgets: &[Budget]) -> Vec<String> {
        let mut faults = vec![];
        for Budget { what, most } in budgets {
            let mut rows = self.rows.iter().filter(|row| row.what == what).peekable();
            if rows.peek().is_none() {
                faults.push(format!("no row `{what}` to hold against its budget of {most}"));
            }
            for row in rows {
                let greatest = row.values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
                if let Some(why) = &row.unsound {
                    faults.push(format!("{}: its budget cannot be judged: {why}", row.name()));
                } else if greatest > *most {
                    faults.push(format!(
                        "{}: over its budget: {} {}, budget {most}",
                        row.name(),
                        short(greatest),
                        row.unit
                    ));
                }
            }
        }
        faults
    }

    pub fn table(&self) -> String {
        let (mut text, mut above) = (String::new(), String::new());
        for row in &self.rows {
            let head = format!("{}, {}", row.role, row.place());
            if head != above {
                let _ = writeln!(text, "{head}");
                above = head;
            }
            let (least, middle, most) = crate::trial::spread(row.values.clone());
            let unsound = row.unsound.as_ref().map_or(String::new(), |why| format!("  UNSOUND: {why}"));
            let _ = writeln!(
                text,
                "  {:<24} {:>11} {:<17} [{} .. {}]{unsound}",
                row.what,
                short(middle),
                row.unit,
                short(least),
                short(most)
            );
        }
        text
    }

    pub fn json(&self, command: &str, seed: u64) -> String {
        let row = |row: &Row| {
            let unsound = row.unsound.as_ref().map_or(String::new(), |why| format!("unsound: {why}; "));
            json!({"role": row.role, "what": row.what, "unit": row.unit, "at": row.at, "values": row.values,
                "note": format!("{unsound}{}", row.note)})
        };
        // One row a line, so that two runs can be compared.
        let rows: Vec<String> = self.rows.iter().map(|r| format!("  {}", row(r))).collect();
        let machine = format!("{} processors", std::thread::available_parallelism().map_or(0, usize::from));
        let run = json!({"command": command, "commit": commit(), "seed": seed, "machine": machine,
            "date": said("date", &["-u", "+%Y-%m-%dT%H:%MZ"])});
        format!("{{\"run\": {run},\n \"rows\": [\n{}\n]}}\n", rows.join(",\n"))
    }
}

impl Row {
    fn place(&self) -> String {
        let at: Vec<String> = self
            .at
            .iter()
            .map(|(key, value)| format!("{key} {}", value.to_string().replace('"', "")))
            .collect();
        at.join(", ")
    }

    fn name(&self) -> String {
        format!("{} of {} at {}", self.what, self.role, self.place())
    }
}

/// Four digits that count.
fn short(value: f64) -> String {
    let whole = if value == 0.0 { 0 } else { value.abs().log10().floor() as i32 };
    format!("{value:.*}", (3 - whole).clamp(0, 6) as usize)
}

/// The command line without the names of files.
pub fn command(line: impl Iterator<Item = String>) -> String {
    let (mut words, mut file) = (vec!["alderway-lab".to_string()], false);
    for word in line.skip(1) {
        let names = ["--json", "--program"].contains(&word.as_str());
        if !names && !file && !word.starts_with("--json=") && !word.starts_with("--program=") {
            words.push(word);
        }
        file = names;
    }
    words.join(" ")
}

fn said(program: &str, words: &[&str]) -> String {
    let said = Command::new(program).args(words).output().ok().filter(|ran| ran.status.success());
    let text = said.map(|ran| String::from_utf8_lossy(&ran.stdout).trim().to_string());
    text.filter(|text| !text.is_empty()).unwrap_or("unknown".into())
}

/// The commit that stands here, with a plus where files differ from it.
fn commit() -> String {
    let changed = said("git", &["status", "--porcelain", "--untracked-files=no"]);
    let plus = if changed == "unknown" { "" } else { "+" };
    said("git", &["rev-parse", "--short", "HEAD"]) + plus
}
