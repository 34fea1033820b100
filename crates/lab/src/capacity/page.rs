//! The page's made blocks. Each stands between `<!-- made: NAME -->` and `<!-- end -->`; what stands outside is left as it is.
use super::Sources;
use super::fit::{self, Value};
use super::plan::{Budget, Known, Line};
use super::results::{Row, spread};
use super::size::Figure;
use std::collections::BTreeSet;
use std::fmt::Write;

const BEGIN: &str = "<!-- made: ";
const END: &str = "<!-- end -->";
/// Blocks that the page must have, beside one for each role.
const BLOCKS: [&str; 8] =
    ["size", "arithmetic", "modes", "over budget", "moments", "not run", "runs", "further figures"];

/// In this order of each role.
pub const SORTS: [&str; 6] = ["state", "messages", "processor", "memory", "descriptors", "connections"];

/// A number as the page has it: thousands apart, four digits that count from 100,000 on and three of small ones.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "none".into();
    }
    let size = value.abs();
    let power = if size == 0.0 { 0 } else { size.log10().floor() as i32 };
    let digits = match power {
        _ if size >= 999.5 || value.fract() == 0.0 => 0,
        _ if size >= 9.995 => 1,
        _ => (2 - power).min(12) as usize,
    };
    let text = match power {
        5.. => format!("{:.0}", (size / 10f64.powi(power - 3)).round() * 10f64.powi(power - 3)),
        _ => format!("{size:.digits$}"),
    };
    // Zeros behind the point tell something only where a digit was rounded away.
    let text = if digits > 2 { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    let (whole, rest) = text.split_at(text.find('.').unwrap_or(text.len()));
    let mut apart = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            apart.push(',');
        }
        apart.push(digit);
    }
    let zero = text.chars().all(|c| c == '0' || c == '.');
    format!("{}{apart}{rest}", if value < 0.0 && !zero { "-" } else { "" })
}

fn with(value: f64, unit: &str) -> String {
    if unit.is_empty() { number(value) } else { format!("{} {unit}", number(value)) }
}

fn per_cent(share: f64) -> String {
    format!("{}%", number((1000.0 * share).round() / 10.0))
}

fn files(list: &[String]) -> String {
    list.iter().map(|file| format!("`{file}`")).collect::<Vec<_>>().join(", ")
}

fn row(out: &mut String, cells: &[String]) {
    let _ = writeln!(out, "| {} |", cells.join(" | "));
}

fn head(out: &mut String, cells: &[&str]) {
    row(out, &cells.iter().map(|cell| cell.to_string()).collect::<Vec<_>>());
    row(out, &vec!["---".to_string(); cells.len()]);
}

fn the_size(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["figure", "value", "whose"]);
    for (whose, figures) in [("the users'", &sources.size.users), ("assumed", &sources.size.assumed)] {
        for (name, value) in figures {
            row(&mut out, &[name.replace('_', " "), number(*value), whose.into()]);
        }
    }
    out
}

fn arithmetic(sources: &Sources) -> String {
    let mut out = String::new();
    for (n, (heading, figures)) in sources.size.groups.iter().enumerate() {
        let space = if n > 0 { "\n" } else { "" };
        let _ = writeln!(out, "{space}**{heading}**\n");
        head(&mut out, &["what", "how", "comes to"]);
        for Figure { what, how, value, unit, .. } in figures {
            row(&mut out, &[what.to_string(), how.clone(), with(*value, unit)]);
        }
    }
    out
}

/// Where a value at the size comes from.
fn origin(value: &Value, unit: &str) -> String {
    match value {
        Value::Measured(point) if point.least == point.most => with(point.median, unit),
        Value::Measured(point) => {
            format!("{} [{} .. {}]", with(point.median, unit), number(point.least), number(point.most))
        }
        Value::Between(value) => format!("{}, by the line", with(*value, unit)),
        Value::Beyond(value, times) => {
            format!("{}, **extrapolated {} times**", with(*value, unit), number(*times))
        }
        Value::Below(value) => format!("{}, **extrapolated below the range**", with(*value, unit)),
    }
}

fn along_name(line: &Line) -> String {
    line.along.as_ref().map_or(String::new(), |along| along.0.replace('_', " "))
}

fn slope(line: &Line, known: &Known) -> String {
    let along = along_name(line);
    match &known.fit {
        Some(fit) => {
            let sign = if fit.b < 0.0 { "-" } else { "+" };
            format!("{} {sign} {} x {along}", number(fit.a), number(fit.b.abs()))
        }
        None if line.along.is_some() => "one point, no slope".into(),
        None => "does not grow".into(),
    }
}

fn range(line: &Line, known: &Known) -> String {
    let Some((key, _)) = &line.along else { return String::new() };
    let key = key.replace('_', " ");
    match known.points.as_slice() {
        [one] => format!("{} {key}", number(one.n)),
        [first, .., last] => {
            format!("{} to {} {key}, {} points", number(first.n), number(last.n), known.points.len())
        }
        [] => String::new(),
    }
}

fn ratio(value: f64, budget: &Option<Budget>) -> (String, String) {
    match budget {
        None => Default::default(),
        Some(budget) => {
            let ratio = value / budget.value;
            let text = if ratio > 1.0 { format!("**{}**", number(ratio)) } else { number(ratio) };
            (format!("{}: {}", number(budget.value), budget.why), text)
        }
    }
}

fn of_role(sources: &Sources, role: &str) -> String {
    let mut out = String::new();
    head(
        &mut out,
        &[
            "",
            "what",
            "a + b x n",
            "spread of repeats; off the line",
            "measured over",
            "at the size",
            "budget",
            "ratio",
            "run",
            "carried by",
        ],
    );
    let mut lines: Vec<&Line> = sources.plan.lines.iter().filter(|line| line.role == role).collect();
    lines.sort_by_key(|line| SORTS.iter().position(|sort| *sort == line.sort));
    for line in lines {
        let mut cells = vec![line.sort.clone(), format!("{}, {}", line.what, line.unit)];
        match (line.known(&sources.results), &line.absent) {
            (Some(known), _) => {
                let off = known.fit.as_ref().filter(|fit| fit.points.len() > 2);
                let off = off.map_or(String::new(), |fit| format!("; {}", per_cent(fit.off())));
                let value = known.value.as_ref();
                let place = match value {
                    Some(Value::Measured(point)) if line.worst => {
                        format!(", the worst, at {} {}", number(point.n), along_name(line))
                    }
                    _ => String::new(),
                };
                let at_size =
                    value.map_or("no slope to reckon it by".into(), |value| origin(value, &line.unit));
                let runs = run_names(sources, Some(&known));
                let (budget, ratio) = match value {
                    Some(value) => ratio(value.number(), &line.budget),
                    None => (ratio(f64::NAN, &line.budget).0, String::new()),
                };
                cells.extend([
                    slope(line, &known),
                    format!("{}{off}", per_cent(fit::apart(&known.points))),
                    range(line, &known),
                    at_size + &place,
                    budget,
                    ratio,
                    runs,
                ]);
            }
            (None, absent) => {
                let said =
                    absent.as_ref().map_or("not run".to_string(), |why| format!("**does not exist**: {why}"));
                let budget = ratio(f64::NAN, &line.budget).0;
                cells.extend([
                    said,
                    String::new(),
                    String::new(),
                    String::new(),
                    budget,
                    String::new(),
                    String::new(),
                ]);
            }
        }
        cells.push(files(&line.carried_by));
        row(&mut out, &cells);
    }
    out
}

/// How a moment's value comes about, in figures.
fn reckoned(sources: &Sources, moment: &super::plan::Moment, from: Option<&Value>) -> String {
    let mut parts = vec![];
    if let (Some(value), Some(line)) = (from, moment.line.as_ref().and_then(|id| sources.plan.line(id))) {
        let along = moment.along.as_ref().or(line.along.as_ref());
        let at = match (along, &line.along) {
            (Some((_, n)), Some((key, _))) => format!(" at {} {}", number(*n), key.replace('_', " ")),
            _ => String::new(),
        };
        parts.push(format!("{} ({}{at})", origin(value, &line.unit), line.what));
    }
    let figure = |name: &String| match (name.parse::<f64>(), sources.size.get(name)) {
        (Ok(plain), _) => number(plain),
        (_, value) => format!("{} ({})", number(value.unwrap_or(f64::NAN)), sources.size.called(name)),
    };
    parts.extend(moment.times.iter().map(figure));
    let mut text = parts.join(" x ");
    for name in &moment.over {
        let _ = write!(text, " / {}", figure(name));
    }
    text
}

fn moments(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["moment", "what", "how", "comes to", "budget", "ratio", "carried by"]);
    let mut before = "";
    for moment in &sources.plan.moments {
        let name = if before == moment.moment { "" } else { &moment.moment };
        before = &moment.moment;
        let value = moment.value(&sources.size, &sources.plan, &sources.results);
        let (how, comes_to, (budget, ratio)) = match &value {
            Some((value, from)) => (
                reckoned(sources, moment, from.as_ref()),
                with(*value, &moment.unit),
                ratio(*value, &moment.budget),
            ),
            None => (reckoned(sources, moment, None), "not run".into(), ratio(f64::NAN, &moment.budget)),
        };
        let ratio = if value.is_some() { ratio } else { String::new() };
        let cells =
            [name.into(), moment.what.clone(), how, comes_to, budget, ratio, files(&moment.carried_by)];
        row(&mut out, &cells);
    }
    out
}

/// Which number of cores carries a query router's queries: what a leaf call takes on so many, spread evenly.
fn modes(sources: &Sources) -> String {
    let (mut out, plan) = (String::new(), &sources.plan);
    let line = |mode: &(f64, String)| plan.line(&mode.1);
    let mut columns = vec!["moment".to_string(), "what".to_string()];
    for mode in &plan.modes {
        let point = line(mode).and_then(|line| Some((line.known(&sources.results)?.value?, line)));
        let took = point.map_or("not run".into(), |(value, line)| origin(&value, &line.unit));
        columns.push(format!("busy of each, `cores(count = {})`, {took} a leaf call", number(mode.0)));
    }
    head(&mut out, &columns.iter().map(String::as_str).collect::<Vec<_>>());
    for moment in plan.moments.iter().filter(|moment| moment.unit == "cores") {
        let mut cells = vec![moment.moment.clone(), moment.what.clone()];
        for mode in &plan.modes {
            let value = line(mode).and_then(|line| moment.by(line, &sources.size, &sources.results));
            cells.push(match value.map(|value| value / mode.0) {
                None => "not run".into(),
                Some(busy) if busy > 1.0 => format!("not enough ({})", per_cent(busy)),
                Some(busy) if busy > 0.5 => per_cent(busy),
                Some(busy) => format!("**{}**", per_cent(busy)),
            });
        }
        row(&mut out, &cells);
    }
    out
}

/// What is over its budget, worst first: where, what, what it comes to, its budget, how many times, and a mend.
pub struct Over {
    pub place: String,
    pub what: String,
    pub comes_to: String,
    pub budget: String,
    pub ratio: f64,
    pub run: String,
    pub mend: String,
}

/// The files of the runs that a line's value comes from.
fn run_names(sources: &Sources, known: Option<&Known>) -> String {
    let runs = known.map_or(&[][..], |known| &known.runs);
    let names = runs.iter().map(|run| sources.results.runs[*run].file.trim_end_matches(".json"));
    names.collect::<Vec<_>>().join(", ")
}

pub fn over_budget(sources: &Sources) -> Vec<Over> {
    let mut over = vec![];
    for line in &sources.plan.lines {
        let known = line.known(&sources.results);
        let run = run_names(sources, known.as_ref());
        let mend = line.mend.clone().unwrap_or_default();
        let (place, what) = (line.role.clone(), line.what.clone());
        let text = |budget: &Budget| format!("{}: {}", with(budget.value, &line.unit), budget.why);
        let budget = line.budget.as_ref();
        match (known, &line.absent, budget) {
            (Some(Known { value: Some(value), .. }), _, Some(budget)) => over.push(Over {
                place,
                what,
                comes_to: origin(&value, &line.unit),
                budget: text(budget),
                ratio: value.number() / budget.value,
                run,
                mend,
            }),
            (None, Some(why), Some(budget)) => over.push(Over {
                place,
                what,
                comes_to: format!("does not exist: {why}"),
                budget: text(budget),
                ratio: f64::INFINITY,
                run,
                mend,
            }),
            _ => {}
        }
    }
    for moment in &sources.plan.moments {
        let value = moment.value(&sources.size, &sources.plan, &sources.results);
        let (Some((value, from)), Some(budget)) = (value, &moment.budget) else { continue };
        let line = moment.line.as_ref().and_then(|id| sources.plan.line(id));
        let known = line.and_then(|line| line.known(&sources.results));
        let run = run_names(sources, known.as_ref());
        let beyond = match from {
            Some(Value::Beyond(_, times)) => format!(", **extrapolated {} times**", number(times)),
            Some(Value::Below(_)) => ", **extrapolated below the range**".into(),
            _ => String::new(),
        };
        over.push(Over {
            place: moment.moment.clone(),
            what: moment.what.clone(),
            comes_to: with(value, &moment.unit) + &beyond,
            budget: format!("{}: {}", with(budget.value, &moment.unit), budget.why),
            ratio: value / budget.value,
            run,
            mend: moment.mend.clone().unwrap_or_default(),
        });
    }
    over.retain(|over| over.ratio > 1.0);
    over.sort_by(|one, other| other.ratio.total_cmp(&one.ratio));
    over
}

fn the_over_budget(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["ratio", "where", "what", "comes to", "budget", "run", "what would mend it"]);
    for Over { place, what, comes_to, budget, ratio, run, mend } in over_budget(sources) {
        let ratio = if ratio.is_finite() { number(ratio) } else { "without end".into() };
        row(&mut out, &[ratio, place, what, comes_to, budget, run, mend]);
    }
    out
}

fn not_run(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["role", "what", "at", "state"]);
    for line in &sources.plan.lines {
        let state = match (line.known(&sources.results), &line.absent) {
            (Some(Known { value: Some(_), .. }), _) => continue,
            (Some(_), _) => "one point only, no slope",
            (None, Some(_)) => "does not exist",
            (None, None) => "not run",
        };
        let at = line
            .along
            .as_ref()
            .map_or(String::new(), |(key, n)| format!("{} {}", number(*n), key.replace('_', " ")));
        row(&mut out, &[line.role.clone(), format!("{}, {}", line.what, line.unit), at, state.into()]);
    }
    out
}

fn runs(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["results", "command", "commit", "seed", "machine", "date"]);
    for run in &sources.results.runs {
        let cells = [
            format!("`{}`", run.file),
            format!("`{}`", run.command),
            run.commit.clone(),
            run.seed.clone(),
            run.machine.clone(),
            run.date.clone(),
        ];
        row(&mut out, &cells);
    }
    let mut notes: Vec<String> = vec![];
    for measured in &sources.results.rows {
        let Some(note) = &measured.note else { continue };
        let text = format!("- `{}`: {note}.", sources.results.runs[measured.run].file);
        if !notes.contains(&text) {
            notes.push(text);
        }
    }
    if !notes.is_empty() {
        let _ = writeln!(out, "\nHow it was measured:\n\n{}", notes.join("\n"));
    }
    out
}

/// Measured, but no line of the plan takes it: one row for all points of one name in one file.
fn further(sources: &Sources) -> String {
    let mut out = String::new();
    head(&mut out, &["results", "role", "what", "at", "median [least .. most]", "state"]);
    let mut groups: Vec<Vec<&Row>> = vec![];
    for measured in &sources.results.rows {
        if sources.plan.lines.iter().any(|line| line.takes(measured)) {
            continue;
        }
        let name =
            |row: &Row| (row.run, row.role.clone(), row.what.clone(), row.unit.clone(), row.is_sound());
        match groups.iter_mut().find(|group| name(group[0]) == name(measured)) {
            Some(group) => group.push(measured),
            None => groups.push(vec![measured]),
        }
    }
    for group in groups {
        let first = group[0];
        let keys: BTreeSet<&String> = group.iter().flat_map(|row| row.at.keys()).collect();
        let at = keys.into_iter().map(|key| {
            let mut values: Vec<String> = vec![];
            for value in group.iter().filter_map(|row| row.at.get(key)) {
                let text = value.as_f64().map_or(value.to_string().replace('"', ""), number);
                if !values.contains(&text) {
                    values.push(text);
                }
            }
            format!("{} {}", key.replace('_', " "), values.join("/"))
        });
        let medians = group.iter().map(|row| spread(&row.values).1).collect::<Vec<f64>>();
        let (least, middle, most) = spread(if group.len() == 1 { &first.values } else { &medians });
        let figures = match (group.len(), first.values.len()) {
            (1, 1) => with(middle, &first.unit),
            (1, _) => format!("{} [{} .. {}]", with(middle, &first.unit), number(least), number(most)),
            (points, _) => {
                format!("medians of {points} points: {} .. {}", number(least), with(most, &first.unit))
            }
        };
        let cells = [
            format!("`{}`", sources.results.runs[first.run].file),
            first.role.clone(),
            first.what.clone(),
            at.collect::<Vec<_>>().join(", "),
            figures,
            if first.is_sound() { String::new() } else { first.note.clone().unwrap_or_default() },
        ];
        row(&mut out, &cells);
    }
    out
}

fn block(name: &str, sources: &Sources) -> Option<String> {
    match name {
        "size" => Some(the_size(sources)),
        "arithmetic" => Some(arithmetic(sources)),
        "modes" => Some(modes(sources)),
        "over budget" => Some(the_over_budget(sources)),
        "moments" => Some(moments(sources)),
        "not run" => Some(not_run(sources)),
        "runs" => Some(runs(sources)),
        "further figures" => Some(further(sources)),
        _ => {
            let role = name.strip_prefix("role ")?;
            sources.plan.lines.iter().any(|line| line.role == role).then(|| of_role(sources, role))
        }
    }
}

/// The page with its blocks made anew.
pub fn make(page: &str, sources: &Sources) -> Result<String, String> {
    let (mut out, mut names) = (String::new(), vec![]);
    let mut lines = page.lines().enumerate();
    while let Some((n, line)) = lines.next() {
        let _ = writeln!(out, "{line}");
        let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) else {
            continue;
        };
        let made = block(name, sources).ok_or(format!("line {}: no block is called `{name}`", n + 1))?;
        names.push(name.to_string());
        let _ = write!(out, "\n{made}\n{END}\n");
        loop {
            match lines.next() {
                Some((_, END)) => break,
                Some((at, line)) if line.starts_with(BEGIN) => {
                    return Err(format!("line {}: block `{name}` has no end before this one", at + 1));
                }
                Some(_) => {}
                None => return Err(format!("line {}: block `{name}` has no end", n + 1)),
            }
        }
    }
    let mut roles: Vec<String> =
        sources.plan.lines.iter().map(|line| format!("role {}", line.role)).collect();
    roles.dedup();
    let needed = BLOCKS.iter().map(|name| name.to_string()).chain(roles);
    for name in needed {
        if !names.contains(&name) {
            return Err(format!("block `{name}` is missing"));
        }
    }
    Ok(out)
}

/// An error that names the first line in which the page is not what was made.
pub fn same(page: &str, made: &str) -> Result<(), String> {
    if page == made {
        return Ok(());
    }
    let (mut held, mut new) = (page.lines(), made.lines());
    let mut n = 0;
    loop {
        n += 1;
        match (held.next(), new.next()) {
            (Some(one), Some(other)) if one == other => {}
            (None, None) => return Err("it differs from what results give in line ends".into()),
            (one, other) => {
                let text =
                    |line: Option<&str>| line.map_or("nothing".to_string(), |line| format!("`{line}`"));
                return Err(format!(
                    "line {n} is not what results give: found {}, made {}; `alderway-lab capacity` makes it anew",
                    text(one),
                    text(other)
                ));
            }
        }
    }
}
