//! Results as runs left them: one file a run, each with rows of what was measured.
use super::keys::{self, At};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Files beside results that are none.
const OTHERS: [&str; 2] = ["size.json", "plan.json"];

#[derive(Clone, Debug)]
pub struct Run {
    pub file: String,
    pub command: String,
    pub commit: String,
    pub seed: String,
    pub machine: String,
    pub date: String,
}

#[derive(Clone, Debug)]
pub struct Row {
    /// The place of its run among all.
    pub run: usize,
    pub role: String,
    pub what: String,
    pub unit: String,
    /// What it was measured at.
    pub at: BTreeMap<String, Value>,
    /// One a repeat.
    pub values: Vec<f64>,
    pub note: Option<String>,
}

impl Row {
    pub fn number(&self, key: &str) -> Option<f64> {
        self.at.get(key).and_then(Value::as_f64)
    }

    /// Whether what was to be measured was measured; otherwise its note says so in its first word.
    pub fn is_sound(&self) -> bool {
        self.note.as_ref().is_none_or(|note| !note.starts_with("unsound"))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Results {
    pub runs: Vec<Run>,
    pub rows: Vec<Row>,
}

/// Least, median and most.
pub fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let (count, at) = (values.len(), |n: usize| values.get(n).copied().unwrap_or(f64::NAN));
    let middle =
        if count % 2 == 0 && count > 0 { 0.5 * (at(count / 2 - 1) + at(count / 2)) } else { at(count / 2) };
    (at(0), middle, at(count.saturating_sub(1)))
}

impl Results {
    /// All results of a folder, in the order of their files' names.
    pub fn read(folder: &Path) -> Result<Results, String> {
        let entries = std::fs::read_dir(folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        let mut names: Vec<String> =
            entries.flatten().map(|entry| entry.file_name().to_string_lossy().into_owned()).collect();
        names.retain(|name| name.ends_with(".json") && !OTHERS.contains(&name.as_str()));
        names.sort();
        let mut results = Results::default();
        for name in names {
            let path = folder.join(&name);
            let value = keys::read(&path)?;
            results.take(&name, At::new(&path.display().to_string(), &value))?;
        }
        Ok(results)
    }

    fn take(&mut self, file: &str, at: At) -> Result<(), String> {
        let told = at.key("run")?;
        let text = |key| Ok::<_, String>(told.key(key)?.text()?.to_string());
        let seed = told.key("seed")?;
        let seed = match seed.value {
            Value::Number(seed) => seed.to_string(),
            _ => seed.text()?.to_string(),
        };
        self.runs.push(Run {
            file: file.into(),
            command: text("command")?,
            commit: text("commit")?,
            seed,
            machine: text("machine")?,
            date: text("date")?,
        });
        for row in at.key("rows")?.list()? {
            let text = |key| Ok::<_, String>(row.key(key)?.text()?.to_string());
            let values = row.key("values")?;
            let numbers = values.list()?.iter().map(At::number).collect::<Result<Vec<f64>, String>>()?;
            if numbers.is_empty() {
                return Err(values.wrong("expected one value a repeat, found none"));
            }
            let mut measured_at = BTreeMap::new();
            for (key, value) in row.key("at")?.object()? {
                if !value.value.is_number() && !value.value.is_string() && !value.value.is_boolean() {
                    return Err(value.wrong("expected a number, text, true or false"));
                }
                measured_at.insert(key.to_string(), value.value.clone());
            }
            self.rows.push(Row {
                run: self.runs.len() - 1,
                role: text("role")?,
                what: text("what")?,
                unit: text("unit")?,
                at: measured_at,
                values: numbers,
                note: row.maybe("note").map(|note| note.text().map(str::to_string)).transpose()?,
            });
        }
        Ok(())
    }
}
