//! What has to be known of each role, and what is reckoned for each moment: budget, the mechanism that carries it, and
//! what would mend it. Figures come from results; a line without any says "not run", one whose mechanism is not there
//! says so.
use super::fit::{self, Line as Fit, Point, Value};
use super::keys::{self, At};
use super::results::Results;
use super::size::Size;
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Budget {
    pub value: f64,
    pub why: String,
}

/// One thing to know of a role.
#[derive(Clone, Debug)]
pub struct Line {
    pub id: String,
    pub role: String,
    /// State, messages, processor, memory, descriptors and connections.
    pub sort: String,
    pub what: String,
    /// The role and name by which results have it.
    pub row: (String, String),
    pub unit: String,
    /// The key of a row's `at` along which it grows, and how much of that there is at the size.
    pub along: Option<(String, f64)>,
    /// Of what it grows along, the least and the most that the line is drawn through.
    pub between: (f64, f64),
    /// What counts is the point with the greatest median, wherever it is.
    pub worst: bool,
    /// What else a row's `at` has to say.
    pub only: Vec<(String, serde_json::Value)>,
    pub budget: Option<Budget>,
    pub carried_by: Vec<String>,
    pub mend: Option<String>,
    /// Its mechanism is not there.
    pub absent: Option<String>,
}

/// One product for one moment: a line's value, figures above and below.
#[derive(Clone, Debug)]
pub struct Moment {
    pub moment: String,
    pub what: String,
    pub unit: String,
    pub line: Option<String>,
    /// How much of what the line grows along there is at that moment; at the size without it.
    pub along: Option<(String, f64)>,
    pub times: Vec<String>,
    pub over: Vec<String>,
    pub scale: f64,
    pub budget: Option<Budget>,
    pub carried_by: Vec<String>,
    pub mend: Option<String>,
}

#[derive(Debug)]
pub struct Plan {
    pub lines: Vec<Line>,
    /// Numbers of cores that a query router may be given, each with the line of what a leaf call takes on them.
    pub modes: Vec<(f64, String)>,
    pub moments: Vec<Moment>,
}

/// What results say of a line.
#[derive(Clone, Debug)]
pub struct Known {
    pub points: Vec<Point>,
    pub fit: Option<Fit>,
    /// At the size; none where it grows along something and was measured at one point only, elsewhere.
    pub value: Option<Value>,
    pub runs: Vec<usize>,
}

/// A name of a figure, or a number.
fn amount(at: &At, size: &Size) -> Result<(String, f64), String> {
    match at.value.as_f64() {
        Some(number) => Ok((number.to_string(), number)),
        None => {
            let name = at.text()?;
            let value = size.get(name).ok_or_else(|| at.wrong(&format!("no figure is called `{name}`")))?;
            Ok((name.to_string(), value))
        }
    }
}

fn budget(at: Option<At>, size: &Size) -> Result<Option<Budget>, String> {
    let Some(at) = at else { return Ok(None) };
    let value = amount(&at.key("value")?, size)?.1;
    let times = at.maybe("times").map_or(Ok(1.0), |times| times.number())?;
    Ok(Some(Budget { value: value * times, why: at.key("why")?.text()?.to_string() }))
}

fn word(at: &At, key: &str) -> Result<String, String> {
    Ok(at.key(key)?.text()?.to_string())
}

fn maybe(at: &At, key: &str) -> Result<Option<String>, String> {
    at.maybe(key).map(|text| text.text().map(str::to_string)).transpose()
}

fn one_line(at: &At, size: &Size) -> Result<Line, String> {
    let along = match (at.maybe("along"), at.maybe("size")) {
        (None, _) => None,
        (Some(along), told) => {
            let key = along.text()?.to_string();
            let value = match told {
                Some(told) => amount(&told, size)?.1,
                None => size.get(&key).ok_or_else(|| along.wrong("no figure is called so, and no `size`"))?,
            };
            Some((key, value))
        }
    };
    let only = match at.maybe("only") {
        Some(only) => {
            only.object()?.into_iter().map(|(key, at)| (key.to_string(), at.value.clone())).collect()
        }
        None => vec![],
    };
    let sort = word(at, "sort")?;
    if !super::page::SORTS.contains(&sort.as_str()) {
        return Err(at.key("sort")?.wrong(&format!("expected one of {}", super::page::SORTS.join(", "))));
    }
    Ok(Line {
        id: word(at, "id")?,
        role: word(at, "role")?,
        sort,
        row: (maybe(at, "row_role")?.unwrap_or(word(at, "role")?), word(at, "what")?),
        what: maybe(at, "label")?.unwrap_or(word(at, "what")?),
        unit: word(at, "unit")?,
        along,
        between: (
            at.maybe("from").map_or(Ok(f64::NEG_INFINITY), |from| from.number())?,
            at.maybe("until").map_or(Ok(f64::INFINITY), |until| until.number())?,
        ),
        worst: at.maybe("worst").map_or(Ok(false), |worst| worst.flag())?,
        only,
        budget: budget(at.maybe("budget"), size)?,
        carried_by: at.texts("carried_by")?,
        mend: maybe(at, "mend")?,
        absent: maybe(at, "absent")?,
    })
}

fn one_moment(at: &At, size: &Size, lines: &[Line]) -> Result<Moment, String> {
    let line = maybe(at, "line")?;
    if let Some(line) = line.as_ref().filter(|id| lines.iter().all(|line| line.id != **id)) {
        return Err(at.key("line")?.wrong(&format!("no line is called `{line}`")));
    }
    let names = |key: &str| -> Result<Vec<String>, String> {
        let Some(list) = at.maybe(key) else { return Ok(vec![]) };
        list.list()?.iter().map(|one| Ok(amount(one, size)?.0)).collect()
    };
    Ok(Moment {
        moment: word(at, "moment")?,
        what: word(at, "what")?,
        unit: word(at, "unit")?,
        line,
        along: at.maybe("along").map(|along| amount(&along, size)).transpose()?,
        times: names("times")?,
        over: names("over")?,
        scale: at.maybe("scale").map_or(Ok(1.0), |scale| scale.number())?,
        budget: budget(at.maybe("budget"), size)?,
        carried_by: at.texts("carried_by")?,
        mend: maybe(at, "mend")?,
    })
}

impl Plan {
    pub fn read(path: &Path, size: &Size) -> Result<Plan, String> {
        let (value, file) = (keys::read(path)?, path.display().to_string());
        let at = At::new(&file, &value);
        let mut lines: Vec<Line> = vec![];
        for told in at.key("lines")?.list()? {
            let line = one_line(&told, size)?;
            if lines.iter().any(|other| other.id == line.id) {
                return Err(told.key("id")?.wrong("two lines are called so"));
            }
            lines.push(line);
        }
        let known = |at: At, id: &str| match lines.iter().any(|line| line.id == id) {
            true => Ok(id.to_string()),
            false => Err(at.wrong(&format!("no line is called `{id}`"))),
        };
        let mut modes = vec![];
        for mode in at.key("modes")?.list()? {
            let line = mode.key("line")?;
            modes.push((mode.key("cores")?.number()?, known(line.clone(), line.text()?)?));
        }
        let moments = at.key("moments")?.list()?;
        let moments = moments.iter().map(|told| one_moment(told, size, &lines));
        let moments = moments.collect::<Result<Vec<Moment>, String>>()?;
        Ok(Plan { lines, modes, moments })
    }

    pub fn line(&self, id: &str) -> Option<&Line> {
        self.lines.iter().find(|line| line.id == id)
    }

    /// Files that are named as mechanisms, each with the line or moment that names it.
    pub fn files(&self) -> Vec<(&str, &str)> {
        let lines = self.lines.iter().map(|line| (line.what.as_str(), &line.carried_by));
        let moments = self.moments.iter().map(|moment| (moment.what.as_str(), &moment.carried_by));
        lines.chain(moments).flat_map(|(what, files)| files.iter().map(move |f| (what, f.as_str()))).collect()
    }
}

impl Line {
    pub fn takes(&self, row: &super::results::Row) -> bool {
        let same = (&row.role, &row.what) == (&self.row.0, &self.row.1) && row.unit == self.unit;
        let only = |(key, value): &(String, serde_json::Value)| match (value.as_f64(), row.number(key)) {
            (Some(one), Some(other)) => one == other,
            _ => row.at.get(key) == Some(value),
        };
        same && row.is_sound()
            && self.only.iter().all(only)
            && self.along.as_ref().is_none_or(|(key, _)| {
                row.number(key).is_some_and(|n| n >= self.between.0 && n <= self.between.1)
            })
    }

    /// What results say of it; none where there is no result.
    pub fn known(&self, results: &Results) -> Option<Known> {
        let rows: Vec<_> = results.rows.iter().filter(|row| self.takes(row)).collect();
        if rows.is_empty() {
            return None;
        }
        let n = |row: &super::results::Row| match &self.along {
            Some((key, _)) => row.number(key).unwrap_or(f64::NAN),
            None => 0.0,
        };
        let points = fit::points(rows.iter().map(|row| (n(row), row.values.clone())).collect());
        let mut runs: Vec<usize> = rows.iter().map(|row| row.run).collect();
        runs.sort_unstable();
        runs.dedup();
        let known = Known { fit: fit::line(points.clone()), points, value: None, runs };
        if self.worst {
            let worst = known.points.iter().max_by(|one, other| one.median.total_cmp(&other.median));
            let value = worst.cloned().map(Value::Measured);
            return Some(Known { value, ..known });
        }
        let value = known.at(self.along.as_ref().map_or(0.0, |along| along.1));
        Some(Known { value, ..known })
    }
}

impl Known {
    /// What it comes to at some `n`.
    pub fn at(&self, n: f64) -> Option<Value> {
        match &self.fit {
            Some(fit) => Some(fit.value(n)),
            None => self.points.iter().find(|point| point.n == n).cloned().map(Value::Measured),
        }
    }
}

impl Moment {
    /// What it comes to, and what of it is extrapolated; none where a line that it needs has no value there.
    pub fn value(&self, size: &Size, plan: &Plan, results: &Results) -> Option<(f64, Option<Value>)> {
        let from = match &self.line {
            None => None,
            Some(id) => {
                let line = plan.line(id)?;
                let known = line.known(results)?;
                let n = self.along.as_ref().or(line.along.as_ref()).map_or(0.0, |along| along.1);
                Some(known.at(n)?)
            }
        };
        Some((from.as_ref().map_or(1.0, Value::number) * self.factor(size), from))
    }

    /// All of the product but the line's value.
    fn factor(&self, size: &Size) -> f64 {
        let number = |name: &String| name.parse().ok().or_else(|| size.get(name)).unwrap_or(f64::NAN);
        let times: f64 = self.times.iter().map(number).product();
        let over: f64 = self.over.iter().map(number).product();
        times / over * self.scale
    }

    /// The same product with another line's value: there where it was measured along the same, else as at the size.
    pub fn by(&self, line: &Line, size: &Size, results: &Results) -> Option<f64> {
        let known = line.known(results)?;
        let there = self.along.as_ref().filter(|_| known.fit.is_some()).and_then(|along| known.at(along.1));
        Some(there.or(known.value)?.number() * self.factor(size))
    }
}
