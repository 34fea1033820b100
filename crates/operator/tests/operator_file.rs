//! Tests the values of operator's files and the error messages for invalid files.
use alderway_operator::{CoreCount, LogFormat, OperatorConfig, ProcessRole, read};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[rstest]
fn an_empty_file_yields_the_defaults() {
    assert_eq!(read("f", "# Empty.\n"), Ok(OperatorConfig::default()));
}

#[rstest]
fn arguments_may_be_computed() {
    let config =
        read("f", "per_core = 2\ncores(count = 4, node_connections = 4 * per_core)\nlog(form = \"json\")\n");
    let config = config.expect("a valid file");
    let cores = config.cores;
    assert_eq!(
        (cores.count, cores.max_connections_per_node, cores.shares_observations),
        (CoreCount::Fixed(4), Some(8), true)
    );
    assert_eq!(config.log_format, LogFormat::Json);
}

#[rstest]
fn times_of_layouts_are_optional_and_converted_to_seconds() {
    let defaults = read("f", "layouts()").expect("a valid file").layouts.expect("a section");
    assert_eq!((defaults.retired_shard_grace_s, defaults.lagging_node_grace_s), (2.0, 0.25));
    let config = read("f", "layouts(late_clients_ms = 0, lagging_nodes_ms = 100)").expect("a valid file");
    assert_eq!(config.layouts.map(|l| (l.retired_shard_grace_s, l.lagging_node_grace_s)), Some((0.0, 0.1)));
}

#[rstest]
fn a_process_may_be_a_forwarder_or_a_planner() {
    let config =
        read("f", "forwarder(planners = [\"10.0.0.5:6000\", \"[::1]:7\"], count = 8)").expect("a valid file");
    let ProcessRole::Forwarder { planners, forwarder_count: 8, heartbeat_interval_s, heartbeat_timeout_s } =
        config.role
    else {
        panic!("{:?}", config.role)
    };
    assert_eq!((planners.len(), heartbeat_interval_s, heartbeat_timeout_s), (2, 0.05, 0.25));
    assert_eq!(
        read("f", "planner(count = 2)").expect("a valid file").role,
        ProcessRole::Planner { planner_count: 2 }
    );
}

#[rstest]
#[case::no_planners(
    "forwarder(planners = [], count = 1)",
    "f:1: `forwarder`: `planners` must be a list of address:port, found []"
)]
#[case::host_name(
    "forwarder(planners = [\"p-1:60\"], count = 1)",
    "f:1: `forwarder`: `planners` must be a list of address:port"
)]
#[case::duplicate_planner(
    "forwarder(planners = [\"1.1.1.1:1\", \"1.1.1.1:1\"], count = 1)",
    "f:1: `forwarder`: `planners` contains a duplicate address"
)]
#[case::timeout_too_short(
    "forwarder(planners = [\"1.1.1.1:1\"], count = 1, beat_ms = 50, patience_ms = 60)",
    "f:1: `forwarder`: `patience_ms` must be at least twice `beat_ms`"
)]
#[case::planner_and_forwarder(
    "planner(count = 1)\nforwarder(planners = [\"1.1.1.1:1\"], count = 1)",
    "f:2: `forwarder or planner`: called more than once"
)]
#[case::several_cores(
    "planner(count = 1)\ncores(count = 2)",
    "f: `forwarder` and `planner` require one core"
)]
#[case::layouts_and_planner(
    "layouts()\nplanner(count = 1)",
    "f: `layouts` can't be combined with `forwarder` or `planner` yet"
)]
#[case::grace_too_short(
    "layouts(lagging_nodes_ms = 1)",
    "f:1: `layouts`: `lagging_nodes_ms` must be a whole number from 10 to 60000, found 1"
)]
fn invalid_layouts_and_tiers_are_rejected(#[case] text: &str, #[case] expected: &str) {
    let error = read("f", text).expect_err("an invalid file");
    assert!(error.starts_with(expected), "{error}");
}

#[rstest]
#[case::unknown_section("colours(count = 4)", "f:1: Variable `colours` not found")]
#[case::unknown_argument("x = 1\ncores(cuont = 4)", "f:2: Missing named-only parameter `count`")]
#[case::extra_argument("cores(count = 1, sise = 2)", "f:1: Found `sise` extra named parameter")]
#[case::wrong_type(
    "cores(count = [4])",
    "f:1: `cores`: `count` must be a whole number from 1 to 128, found [4]"
)]
#[case::no_cores("cores(count = 0)", "f:1: `cores`: `count` must be a whole number from 1 to 128, found 0")]
#[case::too_many_cores(
    "\n\ncores(count = 129)",
    "f:3: `cores`: `count` must be a whole number from 1 to 128, found 129"
)]
#[case::not_a_flag(
    "cores(count = 2, evidence = 1)",
    "f:1: `cores`: `evidence` must be True or False, found 1"
)]
#[case::repeated_section("cores(count = 2)\ncores(count = 2)", "f:2: `cores`: called more than once")]
#[case::fewer_connections_than_cores(
    "cores(count = 4, node_connections = 3)",
    "f:1: `cores`: `node_connections` must be at least one for each of 4 cores, found 3"
)]
#[case::unknown_log_format(
    "log(form = \"xml\")",
    "f:1: `log`: `form` must be \"text\" or \"json\", found \"xml\""
)]
#[case::not_a_script("cores(", "f:1: Parse error")]
#[case::load_of_a_module("load(\"other\", \"x\")", "f:1: `load` is not allowed")]
#[case::endless_loop(
    "def f():\n  for i in range(1000000000):\n    pass\nf()",
    "f: Execution duration limit of 200000"
)]
#[case::recursion("def f(): f()\nf()", "f:1: ")]
fn an_invalid_file_is_rejected_with_one_line_and_its_position(#[case] text: &str, #[case] expected: &str) {
    let error = read("f", text).expect_err("an invalid file");
    assert!(error.starts_with(expected) && !error.contains('\n'), "{error}");
}

#[rstest]
fn a_step_that_allocates_gigabytes_is_an_error_and_does_not_end_the_process() {
    let text = "x = [1]\ndef f():\n  for i in range(60):\n    x.extend(x)\nf()\n";
    let error = read("f", text).expect_err("an invalid file");
    assert!(error.starts_with("f: ") && !error.contains('\n'), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// `read` returns values or a one-line error for any text, and never panics.
    #[test]
    fn any_text_is_accepted_or_rejected(text in "[a-z0-9(),=\"\n #\\[\\]{}*+.-]{0,60}") {
        if let Err(error) = read("f", &text) {
            prop_assert!(error.starts_with('f') && !error.contains('\n'), "{}", error);
        }
    }

    /// For any integer `count`, `read` returns the same number of cores or an error that names the argument.
    #[test]
    fn any_core_count_is_accepted_or_rejected(count in any::<i64>()) {
        match read("f", &format!("cores(count = {count})")) {
            Ok(config) => prop_assert_eq!(config.cores.count, CoreCount::Fixed(count as usize)),
            Err(error) => prop_assert!(!(1..=128).contains(&count) && error.contains("`count`"), "{}", error),
        }
    }
}

#[rstest]
fn peers_have_names_addresses_and_default_times() {
    let config =
        read("f", "peers(members = {\"a\": \"127.0.0.1:1\", \"b\": \"[::1]:2\", \"c\": \"127.0.0.1:0\"})");
    let peers = config.expect("a valid file").peers.expect("a section");
    assert_eq!(peers.members.keys().collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!((peers.send_interval_s, peers.heartbeat_interval_s, peers.max_message_age_s), (0.1, 1.0, 2.0));
    assert_eq!((peers.required_witnesses, peers.shares_node_health), (2, true));
}

#[rstest]
#[case::list("members = [\"a\"]", "`members` must map names to address:port, found [\"a\"]")]
#[case::no_port(
    "members = {\"a\": \"127.0.0.1\", \"b\": \"127.0.0.1:1\"}",
    "`members` must map names to address:port"
)]
#[case::one_member("members = {\"a\": \"127.0.0.1:1\"}", "`members` must have 2 to 1000 entries, found 1")]
#[case::duplicate_address(
    "members = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:1\"}",
    "`members` contains a duplicate address"
)]
#[case::too_few_members(
    "members = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"}",
    "`witnesses = 2` requires at least 3 members, found 2"
)]
#[case::stale_too_soon(
    "members = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"}, witnesses = 1, stale_ms = 300",
    "`stale_ms` must be at least 400 for 2 members and this `beat_ms`"
)]
#[case::not_a_flag(
    "members = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"}, witnesses = 1, verdicts = 1",
    "`verdicts` must be True or False, found 1"
)]
fn invalid_peers_are_rejected(#[case] arguments: &str, #[case] expected: &str) {
    let error = read("f", &format!("peers({arguments})")).expect_err("an invalid file");
    assert!(error.starts_with("f:1: `peers`: ") && error.contains(expected), "{error}");
}

#[rstest]
fn peers_require_one_core_and_no_tier() {
    let peers = "peers(members = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"}, witnesses = 1)\n";
    let with = |other: &str| read("f", &format!("{peers}{other}")).expect_err("a contradiction");
    assert_eq!(with("cores(count = 2)"), "f: `peers` supports only one core yet");
    assert_eq!(with("planner(count = 2)"), "f: `peers` can't be combined with `forwarder` or `planner` yet");
}

const CONTROL: &str = r#"control(name = "c1", data = "/var/lib/alderway", routers = "10.0.0.1:7300",
    members = {"c1": "10.0.0.1:7100", "c2": "10.0.0.2:7100", "c3": "10.0.0.3:7100"},
    doors = {"c1": "10.0.0.1:7200", "c2": "10.0.0.2:7200", "c3": "10.0.0.3:7200"})"#;

#[rstest]
fn a_control_server_has_addresses_and_a_data_path() {
    let config = read("f", CONTROL).expect("a valid file").control.expect("a section");
    assert_eq!(
        (config.name.as_str(), config.replica_addresses.len(), config.data_path.as_str()),
        ("c1", 3, "/var/lib/alderway")
    );
    assert_eq!(config.admin_addresses.get("c2").map(ToString::to_string), Some("10.0.0.2:7200".into()));
    assert_eq!(config.router_address.map(|at| at.port()), Some(7300));
}

#[rstest]
#[case::two_members(
    r#", "c3": "10.0.0.3:7100""#,
    "",
    "`control`: `members` must have 1, 3, 5 or 7 entries, found 2"
)]
#[case::name_is_no_member("\"c1\",", "\"c9\",", "`control`: `members` has no entry for this server, `c9`")]
#[case::missing_admin_address(
    "\"c3\": \"10.0.0.3:7200\"",
    "",
    "`control`: `doors` and `members` must contain the same server names"
)]
#[case::duplicate_address(
    "10.0.0.2:7100",
    "10.0.0.1:7100",
    "`control`: `members` contains a duplicate address"
)]
#[case::host_name("10.0.0.2:7100", "c2:7100", "`control`: `members` must map names to address:port")]
#[case::empty_data_path("/var/lib/alderway", "", "`control`: `data` must be a non-empty string, found")]
#[case::shared_address(
    "10.0.0.1:7300",
    "10.0.0.1:7200",
    "`control`: `members`, `doors` and `routers` must give this server different addresses"
)]
#[case::invalid_router_address("10.0.0.1:7300", "here", "`control`: `routers` must be address:port, found")]
#[case::combined_with_cores(
    "control(",
    "cores(count = 2)\ncontrol(",
    "`control` configures a control server and can only be combined with `log`"
)]
fn an_invalid_control_section_is_rejected_with_one_line(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let error = read("f", &CONTROL.replace(from, to)).expect_err("an invalid file");
    assert!(error.starts_with("f:") && error.contains(expected) && !error.contains('\n'), "{error}");
}

#[rstest]
fn a_subscription_has_control_servers_with_zones() {
    let config = read("f", "subscription(control = {\"c1\": \"10.0.0.1:7201\", \"c2\": \"[::1]:7201\"})");
    let config = config.expect("a valid file").subscription.expect("a section");
    assert_eq!((config.servers.len(), config.zone.as_str(), &config.persist_path), (2, "", &None));
    assert_eq!((config.heartbeat_timeout_s, config.stale_after_s), (3.0, 10.0));
    let text = "subscription(control = {\"c1\": (\"10.0.0.1:7201\", \"z1\"), \"c2\": (\"10.0.0.2:7201\", \"z2\")}, \
                zone = \"z2\", keep = \"/var/lib/version\", silent_ms = 4000, old_ms = 60000)";
    let config = read("f", text).expect("a valid file").subscription.expect("a section");
    assert_eq!(config.servers["c2"], ("10.0.0.2:7201".parse().expect("an address"), "z2".into()));
    assert_eq!((config.zone.as_str(), config.persist_path.as_deref()), ("z2", Some("/var/lib/version")));
    assert_eq!((config.heartbeat_timeout_s, config.stale_after_s), (4.0, 60.0));
    // A router on several cores may have a subscription.
    assert!(read("f", "cores(count = 2)\nsubscription(control = {\"c\": \"1.1.1.1:1\"})").is_ok());
}

#[rstest]
#[case::no_servers(
    "subscription(control = {})",
    "f:1: `subscription`: `control` must have 1 to 15 entries, found 0"
)]
#[case::list(
    "subscription(control = [\"1.1.1.1:1\"])",
    "f:1: `subscription`: `control` must map names to address:port or (address:port, zone), found [\"1.1.1.1:1\"]"
)]
#[case::host_name(
    "subscription(control = {\"c\": \"host:1\"})",
    "f:1: `subscription`: `control` must map names to address:port or (address:port, zone)"
)]
#[case::tuple_of_three(
    "subscription(control = {\"c\": (\"1.1.1.1:1\", \"z\", 3)})",
    "f:1: `subscription`: `control` must map names to address:port or (address:port, zone)"
)]
#[case::duplicate_address(
    "subscription(control = {\"c\": \"1.1.1.1:1\", \"d\": \"1.1.1.1:1\"})",
    "f:1: `subscription`: `control` contains a duplicate address"
)]
#[case::unknown_zone(
    "subscription(control = {\"c\": (\"1.1.1.1:1\", \"z\")}, zone = \"y\")",
    "f:1: `subscription`: no server of `control` is in zone \"y\""
)]
#[case::path_is_no_string(
    "subscription(control = {\"c\": \"1.1.1.1:1\"}, keep = 5)",
    "f:1: `subscription`: `keep` must be a non-empty string, found 5"
)]
#[case::timeout_too_short(
    "subscription(control = {\"c\": \"1.1.1.1:1\"}, silent_ms = 100)",
    "f:1: `subscription`: `silent_ms` must be a whole number from 2000 to 60000, found 100"
)]
#[case::stale_before_timeout(
    "subscription(control = {\"c\": \"1.1.1.1:1\"}, silent_ms = 5000, old_ms = 4000)",
    "f:1: `subscription`: `old_ms` must not be less than `silent_ms`"
)]
#[case::repeated_section(
    "subscription(control = {\"c\": \"1.1.1.1:1\"})\nsubscription(control = {\"c\": \"1.1.1.1:1\"})",
    "f:2: `subscription`: called more than once"
)]
#[case::combined_with_planner(
    "planner(count = 1)\nsubscription(control = {\"c\": \"1.1.1.1:1\"})",
    "f: `subscription` can't be combined with `forwarder` or `planner` yet"
)]
fn an_invalid_subscription_is_rejected_with_one_line(#[case] text: &str, #[case] expected: &str) {
    let error = read("f", text).expect_err("an invalid file");
    assert!(error.starts_with(expected) && !error.contains('\n'), "{error}");
}
