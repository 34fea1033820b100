//! Stories of the capacity page: lines through points, arithmetic from the users' figures, what is over its budget, and a
//! page that cannot differ from its results. The last stories read this repository's own page.
use alderway_lab::capacity::fit::{self, Value};
use alderway_lab::capacity::page::{self, over_budget};
use alderway_lab::capacity::size::Size;
use alderway_lab::capacity::{Sources, make, words};
use rstest::rstest;
use serde_json::{Value as Json, json};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A folder of its own for each story, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let (process, number) = (std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(format!("alderway-capacity-{process}-{number}"));
        std::fs::create_dir_all(&path).expect("a folder");
        let folder = Folder(path);
        std::fs::copy(repository().join("docs/capacity/size.json"), folder.0.join("size.json"))
            .expect("copied");
        folder.write("plan.json", &plan().to_string());
        folder
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("written");
    }

    fn sources(&self) -> Result<Sources, String> {
        Sources::read(&self.0)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn line(id: &str, budget: f64) -> Json {
    json!({"id": id, "role": "query router", "sort": "messages", "what": id, "unit": "B/s", "along": "nodes",
           "budget": {"value": budget, "why": "stated"}, "carried_by": ["README.md"], "mend": format!("mend {id}")})
}

fn plan() -> Json {
    let mut absent = line("absent", 1.0);
    absent["absent"] = json!("nothing does it");
    json!({
        "lines": [line("small", 100.0), line("under", 1e9), absent, line("great", 1.0), line("unmeasured", 1.0)],
        "modes": [{"cores": 1, "line": "small"}, {"cores": 20, "line": "great"}, {"cores": 3, "line": "under"},
                  {"cores": 4, "line": "unmeasured"}],
        "moments": [{"moment": "a zone lost", "what": "processor", "unit": "cores", "line": "small", "along": "zone_nodes",
                     "times": ["zone_routers"], "over": ["routers", 1000], "carried_by": ["README.md"]},
                    {"moment": "a zone lost", "what": "of all nodes left", "unit": "B", "line": "small",
                     "along": "zone_nodes", "times": ["zone_routers"], "over": ["routers"], "carried_by": ["README.md"],
                     "budget": {"value": 200, "why": "stated"}, "mend": "mend a zone"}]
    })
}

fn row(what: &str, nodes: f64, values: &[f64]) -> Json {
    json!({"role": "query router", "what": what, "unit": "B/s", "at": {"nodes": nodes}, "values": values})
}

fn run(rows: Vec<Json>) -> String {
    let run =
        json!({"command": "by hand", "commit": "none", "seed": 1, "machine": "none", "date": "2026-12-02"});
    json!({"run": run, "rows": rows}).to_string()
}

/// 100 + 0.5 x nodes, 3 x nodes for the great one, and one that is under its budget.
fn good() -> String {
    let rows =
        [100.0, 400.0, 1600.0].map(|n| row("small", n, &[99.0 + 0.5 * n, 100.0 + 0.5 * n, 101.0 + 0.5 * n]));
    let great = [100.0, 400.0].map(|n| row("great", n, &[3.0 * n]));
    run(rows
        .into_iter()
        .chain(great)
        .chain([row("under", 3200.0, &[5.0]), row("stray", 7.0, &[12.0])])
        .collect())
}

const PAGE: &str = "# A page\n\nProse before.\n\n<!-- made: size -->\n<!-- end -->\n<!-- made: arithmetic -->\n<!-- end -->\n\
    <!-- made: role query router -->\nold\n<!-- end -->\nProse, <!-- a remark --> between.\n<!-- made: moments -->\n\
    <!-- end -->\n<!-- made: modes -->\n<!-- end -->\n<!-- made: over budget -->\n<!-- end -->\n<!-- made: not run -->\n<!-- end -->\n<!-- made: runs -->\n\
    <!-- end -->\n<!-- made: further figures -->\n<!-- end -->\nProse after.\n";

#[rstest]
#[case(7.0, 0.25)]
#[case(-3.0, 2.0)]
#[case(5.0, 0.0)]
fn a_known_line_is_found_again(#[case] a: f64, #[case] b: f64) {
    let measured = [400.0, 100.0, 1600.0].map(|n| (n, vec![a + b * n - 1.0, a + b * n, a + b * n + 1.0]));
    let fit = fit::line(fit::points(measured.to_vec())).expect("three points");
    assert!((fit.a - a).abs() < 1e-9 && (fit.b - b).abs() < 1e-12, "{fit:?}");
    assert!(fit.off() < 1e-9);
    assert!(matches!(fit.value(200.0), Value::Between(value) if (value - a - 200.0 * b).abs() < 1e-9));
    assert!(matches!(fit.value(400.0), Value::Measured(point) if point.most - point.least == 2.0));
    assert!(matches!(fit.value(50.0), Value::Below(_)));
    assert!(matches!(fit.value(3200.0), Value::Beyond(_, 2.0)));
}

/// Guards against a slope from one point, or from the same point twice.
#[rstest]
fn one_point_gives_no_line_and_its_repeats_are_taken_together() {
    let points = fit::points(vec![(400.0, vec![10.0]), (400.0, vec![14.0, 12.0])]);
    assert_eq!((points.len(), points[0].median), (1, 12.0));
    assert!((fit::apart(&points) - 4.0 / 12.0).abs() < 1e-12);
    assert!(fit::line(points).is_none());
    let idle = fit::points(vec![(1.0, vec![0.0, 0.0, 3.0]), (2.0, vec![6.0])]);
    assert_eq!(fit::apart(&idle), 0.5, "a median of 0 has no share of its own");
}

#[rstest]
fn points_off_the_line_and_repeats_apart_are_told() {
    let points = fit::points(vec![(0.0, vec![0.0]), (1.0, vec![4.0]), (2.0, vec![2.0])]);
    let fit = fit::line(points).expect("a line");
    assert!((fit.at(1.0) - 2.0).abs() < 1e-9 && (fit.off() - 0.5).abs() < 1e-9, "{fit:?}");
}

#[rstest]
#[case("queries_a_router", 181.8)]
#[case("parts_a_router", 27_273.0)]
#[case("parts_a_node", 4_687.5)]
#[case("calls_a_pair", 8.52)]
#[case("meets_a_node", 4.69)]
#[case("late_parts_allowed", 67.0)]
#[case("connections_all", 1_760_000.0)]
#[case("sockets_1", 4_824.0)]
#[case("sockets_4", 19_248.0)]
#[case("zone_queries", 227.3)]
#[case("zone_parts_router", 34_091.0)]
#[case("zone_lost_routers", 110.0)]
#[case("zone_lost_nodes", 640.0)]
#[case("region_parts_router", 68_182.0)]
#[case("change_apart_s", 132.9)]
#[case("change_bytes_in_force", 112_000.0)]
#[case("subscribers", 110.0)]
#[case("restarts_all", 201.0)]
#[case("links", 20.0)]
#[case("routers_x_links", 11_000.0)]
#[case("missed_x_links", 968_000.0)]
fn arithmetic_from_the_users_figures(#[case] name: &str, #[case] expected: f64) {
    let size = Size::read(&repository().join("docs/capacity/size.json")).expect("the users' figures");
    let value = size.get(name).expect("a figure");
    assert!((value - expected).abs() <= 0.002 * expected, "{name}: {value}, not {expected}");
}

/// The share of a router limited by descriptors is that of the program itself.
#[rstest]
#[case("sockets_1", 1)]
#[case("sockets_4", 4)]
fn descriptors_reckoned_here_give_each_node_a_connection_in_the_router(
    #[case] name: &str,
    #[case] cores: usize,
) {
    use alderway_router::state::descriptors;
    let size = Size::read(&repository().join("docs/capacity/size.json")).expect("the users' figures");
    let limit = size.get(name).expect("a figure") as usize;
    let free = |limit: usize| {
        let (_, nodes) = descriptors::split(limit, usize::MAX, cores);
        std::iter::from_fn(|| nodes.pool.acquire(1)).fold(vec![], |mut held, one| {
            held.push(one);
            held
        })
    };
    assert!(free(limit).len() >= 3200 * cores && free(limit - 3).len() < 3200 * cores);
}

#[rstest]
fn what_is_over_its_budget_stands_worst_first_and_what_is_not_there_before_all() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    let over = over_budget(&folder.sources().expect("read"));
    let whats: Vec<&str> = over.iter().map(|over| over.what.as_str()).collect();
    assert_eq!(whats, ["absent", "great", "small", "of all nodes left"]);
    assert!(over[0].ratio.is_infinite());
    // 3 x 3,200; 100 + 0.5 x 3,200 of 100; (100 + 0.5 x 2,560) x 440 / 550 of 200.
    let ratios: Vec<f64> = over[1..].iter().map(|over| over.ratio).collect();
    let close = |(one, other): (&f64, f64)| (one - other).abs() < 1e-6;
    assert!(ratios.iter().zip([9600.0, 17.0, 5.52]).all(close), "{ratios:?}");
    assert_eq!(over[2].mend, "mend small");
}

/// Guards against a budget that is taken for met as nothing is known of it.
#[rstest]
fn a_line_without_results_says_that_it_was_not_run() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    let made = page::make(PAGE, &folder.sources().expect("read")).expect("made");
    let not_run = made.split("<!-- made: not run -->").nth(1).expect("the block");
    assert!(not_run.contains("| query router | unmeasured, B/s | 3,200 nodes | not run |"), "{not_run}");
    assert!(not_run.contains("| query router | absent, B/s | 3,200 nodes | does not exist |"));
    assert!(made.contains("**does not exist**: nothing does it"));
}

#[rstest]
fn the_page_says_what_is_extrapolated_how_far_and_from_what() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    let made = page::make(PAGE, &folder.sources().expect("read")).expect("made");
    let small = made.lines().find(|line| line.starts_with("| messages | small")).expect("the line");
    assert!(small.contains("100 + 0.5 x nodes"), "{small}");
    assert!(small.contains("100 to 1,600 nodes, 3 points"), "{small}");
    assert!(small.contains("1,700 B/s, **extrapolated 2 times**"), "{small}");
    assert!(small.contains("| 100: stated | **17** | run | `README.md` |"), "{small}");
    assert!(
        made.contains("| `run.json` | query router | stray | nodes 7 | 12 B/s |"),
        "nothing measured is lost"
    );
    let two = run(vec![row("stray", 7.0, &[12.0, 14.0, 16.0]), row("stray", 9.0, &[18.0])]);
    folder.write("run.json", &two);
    let made_of_two = page::make(PAGE, &folder.sources().expect("read")).expect("made");
    assert!(
        made_of_two.contains("| stray | nodes 7/9 | medians of 2 points: 14 .. 18 B/s |"),
        "{made_of_two}"
    );
    assert!(made.contains("| `run.json` | `by hand` | none | 1 | none | 2026-12-02 |"));
}

/// Each number of cores by what a leaf call takes on so many: at the moment's nodes where there is a line, else at the size.
#[rstest]
fn modes_say_how_busy_each_core_is_and_which_are_not_enough() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    let made = page::make(PAGE, &folder.sources().expect("read")).expect("made");
    let modes = made.split("<!-- made: modes -->").nth(1).expect("the block");
    // (100 + 0.5 x 2,560) x 0.8 / 1,000; 3 x 2,560 x 0.8 / 1,000 on 20; 5 x 0.8 / 1,000 on 3.
    let row = "| a zone lost | processor | not enough (110.4%) | **30.7%** | **0.1%** | not run |";
    assert!(modes.contains(row), "{modes}");
    assert!(modes.contains("`cores(count = 4)`, not run a leaf call"), "{modes}");
}

/// Guards against a figure of a run that did not measure what it was to, and shows where it is put.
#[rstest]
fn rows_that_say_that_they_are_unsound_make_no_line() {
    let folder = Folder::new();
    let mut behind = row("unmeasured", 3200.0, &[5.0]);
    behind["note"] = json!("unsound: the generator was behind; 3 s of load");
    folder.write("run.json", &run(vec![behind]));
    let sources = folder.sources().expect("read");
    assert!(over_budget(&sources).iter().all(|over| over.what != "unmeasured"));
    let made = page::make(PAGE, &sources).expect("made");
    assert!(
        made.contains("| nodes 3,200 | 5 B/s | unsound: the generator was behind; 3 s of load |"),
        "{made}"
    );
}

/// Results may have a line under another role and name than the page.
#[rstest]
fn a_line_takes_rows_by_their_own_role_and_name_and_only_those_measured_as_it_says() {
    let folder = Folder::new();
    let mut plan = plan();
    plan["lines"][4]["label"] = json!("called otherwise");
    plan["lines"][4]["row_role"] = json!("data node");
    plan["lines"][4]["only"] = json!({"form": "whole", "parts": 150});
    folder.write("plan.json", &plan.to_string());
    let mut taken = row("unmeasured", 3200.0, &[5.0]);
    taken["role"] = json!("data node");
    taken["at"] = json!({"nodes": 3200, "form": "whole", "parts": 150.0});
    let (mut strange, mut other) = (taken.clone(), taken.clone());
    strange["role"] = json!("query router");
    other["at"]["form"] = json!("change");
    folder.write("run.json", &run(vec![strange, other, taken]));
    let over = over_budget(&folder.sources().expect("read"));
    let found = over.iter().find(|over| over.what == "called otherwise").expect("over");
    assert_eq!((found.place.as_str(), found.comes_to.as_str(), found.ratio), ("query router", "5 B/s", 5.0));
}

/// What behaves otherwise past some size has a line on either side; where it is no line, its worst point counts.
#[rstest]
fn a_line_may_be_drawn_through_a_part_of_the_points_and_its_worst_may_count() {
    let folder = Folder::new();
    let mut plan = plan();
    plan["lines"][0]["until"] = json!(800);
    plan["lines"][0]["worst"] = json!(true);
    plan["lines"][3]["from"] = json!(1600);
    folder.write("plan.json", &plan.to_string());
    let small =
        [(100.0, 80.0), (400.0, 130.0), (800.0, 120.0), (1600.0, 1e6)].map(|(n, v)| row("small", n, &[v]));
    let great = [(400.0, 1e6), (1600.0, 10.0), (2400.0, 14.0)].map(|(n, v)| row("great", n, &[v]));
    folder.write("run.json", &run(small.into_iter().chain(great).collect()));
    let sources = folder.sources().expect("read");
    let over = over_budget(&sources);
    let ratio = |what| over.iter().find(|over| over.what == what).map(|over| over.ratio);
    assert_eq!((ratio("small"), ratio("great")), (Some(1.3), Some(18.0)));
    let made = page::make(PAGE, &sources).expect("made");
    assert!(made.contains("130 B/s, the worst, at 400 nodes | 100: stated | **1.30** |"), "{made}");
}

#[rstest]
fn prose_stays_and_blocks_are_made_anew_alike() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    let sources = folder.sources().expect("read");
    let made = page::make(PAGE, &sources).expect("made");
    for prose in
        ["# A page\n\nProse before.\n\n<!--", "\nProse, <!-- a remark --> between.\n", "\nProse after.\n"]
    {
        assert!(made.contains(prose), "{prose}");
    }
    assert!(!made.contains("\nold\n"));
    assert_eq!(page::make(&made, &sources).expect("made again"), made);
}

/// Guards against a page that is changed by hand, and against results that change without the page.
#[rstest]
fn a_number_changed_by_hand_fails_the_check() {
    let folder = Folder::new();
    folder.write("run.json", &good());
    folder.write("page.md", PAGE);
    let file = folder.0.join("page.md");
    assert!(make(&folder.0, &file, true).is_err(), "not made yet");
    make(&folder.0, &file, false).expect("made");
    make(&folder.0, &file, true).expect("as made");
    let made = std::fs::read_to_string(&file).expect("there");
    std::fs::write(&file, made.replacen("1,700 B/s", "1,600 B/s", 1)).expect("written");
    let why = make(&folder.0, &file, true).expect_err("changed by hand");
    assert!(
        why.contains("page.md: line ") && why.contains("1,600 B/s") && why.contains("1,700 B/s"),
        "{why}"
    );
    std::fs::write(&file, made).expect("written");
    folder.write("run.json", &good().replace("12.0", "13.0"));
    make(&folder.0, &file, true).expect_err("results have changed");
}

#[rstest]
#[case::no_end("<!-- made: size -->\n<!-- made: runs -->\n<!-- end -->\n", "block `size` has no end")]
#[case::never_an_end("<!-- made: size -->\n", "block `size` has no end")]
#[case::unknown("<!-- made: sise -->\n<!-- end -->\n", "no block is called `sise`")]
#[case::left_out("<!-- made: size -->\n<!-- end -->\n", "block `arithmetic` is missing")]
fn a_page_whose_blocks_are_not_whole_is_refused(#[case] text: &str, #[case] expected: &str) {
    let folder = Folder::new();
    let why = page::make(text, &folder.sources().expect("read")).expect_err("refused");
    assert!(why.contains(expected), "{why}");
}

#[rstest]
#[case::not_json("{", "run.json: not JSON")]
#[case::no_run(r#"{"rows": []}"#, "run.json: key `run`: missing")]
#[case::no_commit(
    r#"{"run": {"command": "c", "seed": 1}, "rows": []}"#,
    "run.json: key `run.commit`: missing"
)]
#[case::no_rows(
    r#"{"run": {"command": "c", "commit": "c", "seed": 1, "machine": "m", "date": "d"}}"#,
    "key `rows`: missing"
)]
fn a_faulty_file_of_results_is_named_with_its_key(#[case] text: &str, #[case] expected: &str) {
    let folder = Folder::new();
    folder.write("run.json", text);
    let why = folder.sources().err().expect("refused");
    assert!(why.contains(expected) && !why.contains('\n'), "{why}");
}

#[rstest]
#[case::no_values(json!({"values": null}), "run.json: key `rows[1].values`: missing")]
#[case::none(json!({"values": []}), "run.json: key `rows[1].values`: expected one value a repeat")]
#[case::text(json!({"values": [1.0, "2"]}), "run.json: key `rows[1].values[1]`: expected a number")]
#[case::no_unit(json!({"unit": ""}), "run.json: key `rows[1].unit`: expected text")]
#[case::no_at(json!({"at": [3200]}), "run.json: key `rows[1].at`: expected an object")]
#[case::bad_at(json!({"at": {"nodes": [1]}}), "run.json: key `rows[1].at.nodes`: expected a number")]
fn a_faulty_row_is_named_with_its_file_and_key(#[case] fault: Json, #[case] expected: &str) {
    let folder = Folder::new();
    let mut faulty = row("small", 100.0, &[1.0]);
    for (key, value) in fault.as_object().expect("keys") {
        faulty[key] = value.clone();
    }
    folder.write("run.json", &run(vec![row("small", 400.0, &[1.0]), faulty]));
    let why = folder.sources().err().expect("refused");
    assert!(why.contains(expected), "{why}");
}

#[rstest]
#[case::no_such_figure("/moments/1/times/0", json!("zone_ruters"), "key `moments[1].times[0]`: no figure is called `zone_ruters`")]
#[case::no_such_line("/moments/1/line", json!("smal"), "key `moments[1].line`: no line is called `smal`")]
#[case::two_of_a_name("/lines/1/id", json!("small"), "key `lines[1].id`: two lines are called so")]
#[case::no_size("/lines/0/along", json!("tides"), "key `lines[0].along`: no figure is called so")]
#[case::no_such_mode("/modes/2/line", json!("smal"), "key `modes[2].line`: no line is called `smal`")]
#[case::no_such_sort("/lines/0/sort", json!("tide"), "key `lines[0].sort`: expected one of state, messages")]
#[case::no_budget("/lines/0/budget", json!({"why": "stated"}), "key `lines[0].budget.value`: missing")]
fn a_faulty_plan_is_named_with_its_key(#[case] at: &str, #[case] value: Json, #[case] expected: &str) {
    let folder = Folder::new();
    let mut plan = plan();
    *plan.pointer_mut(at).expect("there") = value;
    folder.write("plan.json", &plan.to_string());
    let why = folder.sources().err().expect("refused");
    assert!(why.contains("plan.json") && why.contains(expected), "{why}");
}

#[rstest]
fn a_faulty_size_is_named_with_its_key() {
    let folder = Folder::new();
    let size = std::fs::read_to_string(folder.0.join("size.json")).expect("there");
    folder.write("size.json", &size.replace("\"routers\": 550", "\"routers\": 0"));
    let why = folder.sources().err().expect("refused");
    assert!(why.contains("size.json: key `users.routers`: expected a number above 0"), "{why}");
}

#[rstest]
#[case(0.0, "0")]
#[case(1_760_000.0, "1,760,000")]
#[case(-27_272.7, "-27,273")]
#[case(999.7, "1,000")]
#[case(181.82, "181.8")]
#[case(8.5227, "8.52")]
#[case(0.046, "0.046")]
#[case(0.00393, "0.00393")]
#[case(0.0000015, "0.0000015")]
#[case(38_774_830.0, "38,770,000")]
#[case(0.2, "0.2")]
#[case(40.43, "40.4")]
#[case(1_000_000.0, "1,000,000")]
#[case(99.97, "100.0")]
#[case(550.0, "550")]
fn numbers_as_the_page_has_them(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(page::number(value), expected);
}

/// The mesh without sockets counts what the model of `crates/peers` does: each word once over each link, but not back.
#[rstest]
fn the_scale_test_of_words_counts_as_flooding_does() {
    let shown = words::play(16, 1, 1.0, true);
    let [rest, queries, verdicts, both] = shown.spent;
    assert_eq!(shown.links, 8);
    // In a second a router says one word over each of its links, and passes 15 on over each but the one they came by.
    assert_eq!((rest.words, rest.kept), (8.0 + 15.0 * 7.0, 16.0));
    // Each says twice a second how its queries have ended.
    assert_eq!(queries.words, 3.0 * rest.words);
    assert!(verdicts.words > 1.5 * rest.words && both.words > queries.words, "{verdicts:?} {both:?}");
    assert!(rest.bytes > 20.0 * rest.words && rest.frames < rest.bytes, "{rest:?}");
    // 13 that are left tell of 3 that are gone.
    let (worst, all) = shown.lost.expect("a fifth was lost");
    assert!(worst.words > 13.0 * 3.0 && all.words > worst.words, "{worst:?} {all:?}");
    let again = words::play(16, 1, 1.0, false).spent[0];
    assert_eq!((again.words, again.bytes), (rest.words, rest.bytes), "the same seed, the same count");
}

/// Guards against this repository's page and its results parting, and against mechanisms named that are not there.
#[rstest]
fn the_repositorys_own_page_is_what_its_results_give() {
    let (folder, page) = (repository().join("docs/capacity"), repository().join("docs/CAPACITY.md"));
    make(&folder, &page, true).expect("as made: `alderway-lab capacity` makes it anew");
    let sources = Sources::read(&folder).expect("read");
    for (what, file) in sources.plan.files() {
        assert!(repository().join(file).is_file(), "{what}: {file} is not there");
    }
}
