//! Stories of the scale tests: each form in short, rows that are whole, and budgets that end a run as failed.
use alderway_lab::scale::places;
use alderway_lab::scale::report::{At, Budget, Report, command};
use alderway_lab::scale::rounds::{Shape, measure};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_alderway-lab");

/// What a run left, and how it ended.
struct Ran {
    out: Output,
    result: Option<Value>,
}

/// A file of one story's own, removed with it.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn scale(story: &str, line: &str) -> Ran {
    let name = format!("alderway-scale-{}-{story}.json", std::process::id());
    let file = Scratch(std::env::temp_dir().join(name));
    let mut lab = Command::new(LAB);
    let lab = lab.arg("scale").args(line.split(' ')).arg("--json").arg(&file.0);
    let out = lab.output().expect("the laboratory runs");
    let result = std::fs::read(&file.0).ok().map(|text| serde_json::from_slice(&text).expect("JSON"));
    Ran { out, result }
}

impl Ran {
    fn told(&self) -> String {
        String::from_utf8_lossy(&self.out.stderr).into_owned()
    }

    /// Its rows, each of the agreed form with as many values as repeats.
    fn rows(&self, repeats: usize) -> Vec<Value> {
        let result = self.result.as_ref().unwrap_or_else(|| panic!("no result: {}", self.told()));
        for key in ["command", "commit", "machine", "date"] {
            assert!(result["run"][key].as_str().is_some_and(|text| !text.is_empty()), "{key}: {result}");
        }
        assert!(result["run"]["seed"].is_u64(), "{result}");
        let rows = result["rows"].as_array().expect("rows");
        for row in rows {
            let keys: Vec<&str> = row.as_object().expect("a row").keys().map(String::as_str).collect();
            assert_eq!(keys, ["at", "note", "role", "unit", "values", "what"], "{row}");
            assert!(row["at"].as_object().is_some_and(|at| !at.is_empty()), "{row}");
            let values = row["values"].as_array().expect("values");
            assert!(values.len() == repeats && values.iter().all(Value::is_f64), "{row}");
        }
        rows.clone()
    }
}

/// The only value of the row that is `what` at such a place.
fn value(rows: &[Value], what: &str, at: &[(&str, Value)]) -> f64 {
    let there = |row: &&Value| row["what"] == what && at.iter().all(|(key, value)| row["at"][key] == *value);
    let found: Vec<&Value> = rows.iter().filter(there).collect();
    assert_eq!(found.len(), 1, "{what} at {at:?}: {found:?}");
    found[0]["values"][0].as_f64().expect("a number")
}

fn texts(rows: &[Value], key: &str) -> Vec<String> {
    let all: std::collections::BTreeSet<&str> = rows.iter().filter_map(|row| row[key].as_str()).collect();
    all.into_iter().map(str::to_string).collect()
}

/// The router's program stands beside the laboratory's wherever the whole workspace is built.
fn router_is_built() {
    let router = Path::new(LAB).with_file_name("alderway");
    assert!(router.exists(), "build alderway-cli first: these stories run its program");
}

#[rstest]
fn a_router_among_its_nodes_is_measured_beside_an_idle_one() {
    router_is_built();
    let line = "real --at nodes=24,parts=8,rate=60 --at nodes=12,parts=4,rate=20,cores=2,routers=2 --span 0.8 --warm 0.6 \
                --repeats 1";
    let ran = scale("real", line);
    assert!(ran.out.status.success(), "{}", ran.told());
    let rows = ran.rows(1);
    assert_eq!(texts(&rows, "role"), ["query router"]);
    let busy = [("nodes", json!(24)), ("rate", json!(60.0))];
    let all = |what: &str| value(&rows, what, &busy);
    assert!(all("queries") > 10.0 && all("merged") > 0.0, "{rows:?}");
    assert_eq!(all("connections"), 24.0, "one a node");
    // Eight parts a query: never fewer leaf calls, and each that is sent arrives.
    assert!(all("leaf calls") >= 7.0 * all("queries") * 0.5, "{rows:?}");
    assert!(all("descriptors") > 24.0 && all("memory at most") >= all("memory"), "{rows:?}");
    assert!(all("latency p99") >= all("latency p50") && all("latency p50") > 0.0);
    let idle = |nodes: usize, cores: usize, what: &str| {
        let at = [("nodes", json!(nodes)), ("rate", json!(0.0)), ("cores", json!(cores))];
        value(&rows, what, &at)
    };
    assert!(idle(24, 1, "descriptors") < all("descriptors"), "no connection to a node without a query");
    assert!(idle(12, 2, "memory") > 0.0 && idle(12, 2, "list") >= 0.0);
    let two = [("nodes", json!(12)), ("rate", json!(20.0)), ("routers", json!(2))];
    assert!(value(&rows, "connections", &two) >= 12.0);
}

#[rstest]
#[case::under_the_figure("memory=1", false, "memory of query router at cores 1, nodes 4,")]
#[case::above_it("memory=4000", true, "")]
#[case::of_a_row_that_is_not_there("momentum=1", false, "no row `momentum`")]
fn a_budget_ends_a_run_as_its_figure_says(#[case] budget: &str, #[case] kept: bool, #[case] said: &str) {
    router_is_built();
    let line =
        format!("real --at nodes=4,parts=2,rate=10 --span 0.2 --warm 0.2 --repeats 1 --budget {budget}");
    let ran = scale(&format!("budget-{kept}-{}", said.len()), &line);
    assert_eq!(ran.out.status.success(), kept, "{}", ran.told());
    assert!(ran.told().contains(said), "{}", ran.told());
    assert!(!ran.rows(1).is_empty(), "what was measured is kept");
}

#[rstest]
fn a_generator_short_of_connections_makes_its_rows_unsound() {
    router_is_built();
    let line = "real --at nodes=4,parts=2,rate=40 --connections 1 --service-ms 100 --span 0.6 --warm 0.1 --repeats 1";
    let ran = scale("behind", &format!("{line} --budget memory=4000"));
    let told = ran.told();
    assert!(
        !ran.out.status.success() && told.contains("its budget cannot be judged: the generator was"),
        "{told}"
    );
    let rows = ran.rows(1);
    let unsound =
        |row: &&Value| row["note"].as_str().is_some_and(|note| note.starts_with("unsound: the generator"));
    let at = |rate: f64| rows.iter().filter(move |row| row["at"]["rate"] == rate);
    assert!(at(40.0).count() > 10 && at(40.0).all(|row| unsound(&row)), "{rows:?}");
    assert_eq!(at(0.0).filter(unsound).count(), 0, "nothing is sent to the idle router");
}

#[rstest]
fn rounds_are_measured_by_nodes_and_a_budget_is_set_by_their_own_figure() {
    let line =
        "rounds --at nodes=12/300,parts=8,open=4 --at nodes=20,parts=30,open=12 --rounds 60 --repeats 2";
    let ran = scale("rounds", line);
    assert!(ran.out.status.success(), "{}", ran.told());
    let rows = ran.rows(2);
    assert_eq!(texts(&rows, "what"), ["parts waiting", "round", "round p99"]);
    let at = |nodes: usize| [("nodes", json!(nodes))];
    assert_eq!(value(&rows, "parts waiting", &at(300)), 0.0, "32 parts on 300 nodes");
    assert!(value(&rows, "parts waiting", &at(20)) > 0.0, "the caps of 20 nodes bind under 360 parts");
    assert!(value(&rows, "round p99", &at(12)) >= value(&rows, "round", &at(12)));
    // Far from what was measured on either side: the verdict is the same on a busy machine.
    let least = rows.iter().filter(|row| row["what"] == "round").map(|row| row["values"][0].as_f64());
    let least = least.flatten().fold(f64::INFINITY, f64::min);
    for (budget, kept) in [(least / 1e3, false), (least * 1e6, true)] {
        let ran = scale("rounds-budget", &format!("{line} --budget round={budget}"));
        assert_eq!(ran.out.status.success(), kept, "{budget}: {}", ran.told());
        assert!(
            kept || ran.told().contains("round of query router at nodes 12, open 4, parts 8"),
            "{}",
            ran.told()
        );
    }
}

#[rstest]
fn lists_are_taken_in_and_the_forms_that_are_refused_are_told() {
    router_is_built();
    let ran = scale("discovery", "discovery --entries 20,700 --lists 2 --wide 400,5000 --repeats 1");
    assert!(ran.out.status.success(), "{}", ran.told());
    let rows = ran.rows(1);
    for entries in [20, 700] {
        for form in ["whole, pushed", "one change, pushed", "whole, asked for"] {
            let at = [("entries", json!(entries)), ("form", json!(form))];
            assert!(value(&rows, "list in force", &at) > 0.0 && value(&rows, "list bytes", &at) > 80.0);
        }
        let bytes =
            |form: &str| value(&rows, "list bytes", &[("entries", json!(entries)), ("form", json!(form))]);
        assert!(bytes("whole, pushed") > f64::from(entries) * bytes("one change, pushed") * 0.5);
    }
    let refused = |entries: usize, form: &str, wide: bool| {
        let row = rows.iter().find(|row| {
            let bytes = row["at"]["bytes"].as_u64().unwrap_or(0);
            let place = row["at"]["entries"] == entries && row["at"]["form"] == form;
            row["what"] == "refused" && place && (bytes > 2 << 20) == wide
        });
        let row = row.unwrap_or_else(|| panic!("{entries} {form}: {rows:?}"));
        (row["values"][0].as_f64(), row["note"].as_str().unwrap_or_default().to_string())
    };
    assert_eq!(refused(700, "whole, on a watch", false), (Some(0.0), "taken in".into()));
    assert_eq!(refused(700, "whole, on a watch", true), (Some(1.0), "refused: an object is too long".into()));
    assert_eq!(refused(20, "whole, in one body", false).0, Some(1.0));
    assert_eq!(
        refused(700, "whole, in one body", false),
        (Some(1.0), "refused: the body is larger than 64 KiB".into())
    );
}

#[rstest]
fn hollow_routers_have_every_change_and_cost_what_their_rows_say() {
    router_is_built();
    let line = "control --routers 8/20 --machines 3 --rest 0.6 --changes 3 --every-ms 5 --repeats 1 \
                --budget processor=100 --budget proposal=1e9";
    let ran = scale("control", line);
    // One budget holds, and one names no row.
    assert!(!ran.out.status.success(), "{}", ran.told());
    assert!(ran.told().contains("no row `proposal`") && !ran.told().contains("over its budget"));
    let rows = ran.rows(1);
    assert_eq!(texts(&rows, "role"), ["control machine", "operator", "query router"]);
    let place = [("routers", json!(20)), ("machines", json!(3))];
    let of = |role: &str| -> Vec<Value> { rows.iter().filter(|row| row["role"] == role).cloned().collect() };
    let (router, machine, operator) = (of("query router"), of("control machine"), of("operator"));
    assert_eq!(value(&machine, "subscriptions", &place), 7.0, "20 in three zones");
    for what in ["control bytes a second", "control processor"] {
        assert!(value(&router, what, &place) > 0.0, "{what}");
    }
    for what in ["control bytes a second", "processor", "memory"] {
        assert!(value(&machine, what, &place) > 0.0, "{what}");
    }
    let force = |which: &str| {
        value(&operator, &format!("change of configuration in force everywhere, {which}"), &place)
    };
    assert!(force("p50") > 0.0 && force("p50") <= force("p99") && force("p99") <= force("most"));
    assert!(value(&operator, "bytes of a proposal", &[("changes", json!(7))]) > 100.0, "1 + 2 x 3 changes");
    assert!(value(&machine, "bytes of settings kept", &[("changes", json!(7))]) > 0.0);
}

#[rstest]
#[case::under_the_figure(
    "0.000001",
    false,
    "subscriptions of control machine at machines 3, routers 4: over"
)]
#[case::above_it("1e9", true, "")]
fn a_budget_of_control_ends_a_run_as_its_figure_says(
    #[case] most: &str,
    #[case] kept: bool,
    #[case] said: &str,
) {
    router_is_built();
    let line = "control --routers 4 --machines 3 --rest 0.6 --changes 1 --every-ms 5 --repeats 1";
    let ran = scale(&format!("control-{kept}"), &format!("{line} --budget subscriptions={most}"));
    assert_eq!(ran.out.status.success(), kept, "{}", ran.told());
    assert!(ran.told().contains(said), "{}", ran.told());
    assert!(!ran.rows(1).is_empty(), "what was measured is kept");
}

#[rstest]
#[case("--routers 20/8", "expected counts that rise")]
#[case("--routers 4294967295", "descriptors")]
fn counts_that_cannot_be_are_refused_before_anything_is_started(#[case] line: &str, #[case] said: &str) {
    let ran = scale("no-control", &format!("control {line}"));
    assert!(!ran.out.status.success() && ran.result.is_none() && ran.told().contains(said), "{}", ran.told());
}

fn at(nodes: usize) -> At {
    At::from([("nodes", json!(nodes))])
}

#[rstest]
fn the_greatest_repeat_is_held_against_a_budget_and_an_unsound_row_passes_none() {
    let mut report = Report::default();
    for value in [1.0, 3.0, 2.0] {
        report.add("query router", &at(3), [("processor", "cores", value)], "how", None);
    }
    let budget = |text: &str| vec![text.parse::<Budget>().expect("a budget")];
    assert_eq!(report.rows.len(), 1);
    assert!(report.over(&budget("processor=3")).is_empty());
    let over = report.over(&budget("processor=2.5"));
    assert_eq!(over, ["processor of query router at nodes 3: over its budget: 3.000 cores, budget 2.5"]);
    let why = "the generator was behind by up to 70 ms".to_string();
    report.add("query router", &at(3), [("processor", "cores", 1.0)], "how", Some(&why));
    let unsound = report.over(&budget("processor=3"));
    assert!(unsound.len() == 1 && unsound[0].ends_with(&why), "{unsound:?}");
    let told: Value = serde_json::from_str(&report.json("alderway-lab scale", 7)).expect("JSON");
    assert_eq!(told["rows"][0]["note"], format!("unsound: {why}; how"));
    assert_eq!((&told["run"]["seed"], &told["rows"][0]["values"]), (&json!(7), &json!([1.0, 3.0, 2.0, 1.0])));
}

#[rstest]
fn what_is_no_number_makes_no_value() {
    let mut report = Report::default();
    report.add("query router", &at(3), [("processor a leaf call", "us", f64::NAN)], "how", None);
    assert!(report.rows.is_empty());
    assert_eq!(report.over(&["processor a leaf call=1".parse().expect("a budget")]).len(), 1);
}

#[rstest]
#[case("processor")]
#[case("processor=much")]
fn a_budget_without_a_number_is_refused(#[case] text: &str) {
    assert!(text.parse::<Budget>().is_err());
    let ran = scale("no-budget", &format!("rounds --budget {text}"));
    assert!(!ran.out.status.success() && ran.result.is_none());
}

#[rstest]
fn places_are_every_combination_once() {
    let read = |text: &str| places::read(&[text.to_string()], &[("nodes", 3200), ("rate", 100)]);
    let place = |nodes, rate| BTreeMap::from([("nodes", nodes), ("rate", rate)]);
    let all = [place(1, 5), place(1, 6), place(2, 5), place(2, 6)];
    assert_eq!(read("nodes=1/2,rate=5/6"), Ok(all.to_vec()));
    assert_eq!(read("rate=7/7"), Ok(vec![place(3200, 7)]));
    for wrong in ["nodes", "nodes=0", "nodes=1/x", "nods=1"] {
        assert!(read(wrong).is_err_and(|why| why.starts_with(&format!("--at {wrong}: "))), "{wrong}");
    }
}

#[rstest]
fn a_result_names_no_file() {
    let line =
        "x/alderway-lab scale real --json out.json --program=a/b --rate 5 --program c --json=d --seed 3";
    let command = command(line.split(' ').map(str::to_string));
    assert_eq!(command, "alderway-lab scale real --rate 5 --seed 3");
}

#[rstest]
fn the_same_seed_leaves_the_same_parts_waiting() {
    let shape = |open| Shape {
        nodes: 30,
        cells: 30,
        reach: 2,
        parts: 20,
        open,
        followed: true,
        peers: 1,
        slo: 0.37,
        deadline: 2.0,
        budget: None,
        turned_away: false,
        rounds: 50,
        seed: 3,
    };
    let waiting = |open| measure(&shape(open)).waiting;
    assert_eq!((waiting(1), waiting(20)), (0, measure(&shape(20)).waiting));
    assert!(waiting(20) > 0 && measure(&shape(20)).spent.len() == 50);
}
