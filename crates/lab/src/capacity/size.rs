//! The users' figures, and what follows from them by arithmetic alone. Each figure has a name, by which the plan's lines
//! and moments use it.
use super::keys::{self, At};
use std::collections::BTreeMap;
use std::path::Path;

/// Descriptors that a router keeps apart, and more for each core of several (`state/descriptors.rs`).
const APART: f64 = 16.0;
const APART_A_CORE: f64 = 4.0;
const A_DAY: f64 = 86_400.0;

/// One figure: what it is, how it comes about and what it is.
#[derive(Clone, Debug)]
pub struct Figure {
    pub name: &'static str,
    pub what: &'static str,
    pub how: String,
    pub value: f64,
    pub unit: &'static str,
}

#[derive(Debug)]
pub struct Size {
    /// As the users say, and as it was assumed where they say nothing.
    pub users: BTreeMap<String, f64>,
    pub assumed: BTreeMap<String, f64>,
    /// What follows, under headings, in the page's order.
    pub groups: Vec<(&'static str, Vec<Figure>)>,
}

/// Names that the arithmetic needs.
const USERS: [&str; 16] = [
    "routers",
    "nodes",
    "queries",
    "parts",
    "slo_ms",
    "slo_share",
    "regions",
    "zones",
    "changes_a_day",
    "in_force_s",
    "control_core",
    "control_memory_mb",
    "control_bytes",
    "control_machines",
    "failures_a_day",
    "restarts_a_day",
];
const ASSUMED: [&str; 7] = [
    "zones_of_the_greater_region",
    "rack_nodes",
    "burst_times",
    "list_changes_a_restart",
    "cold_from",
    "cold_multiple",
    "part_work_ms",
];

fn numbers(at: At, names: &[&str]) -> Result<BTreeMap<String, f64>, String> {
    for name in names {
        let number = at.key(name)?;
        if number.number()? <= 0.0 {
            return Err(number.wrong("expected a number above 0"));
        }
    }
    at.object()?.into_iter().map(|(name, value)| Ok((name.to_string(), value.number()?))).collect()
}

impl Size {
    pub fn read(path: &Path) -> Result<Size, String> {
        let (value, file) = (keys::read(path)?, path.display().to_string());
        let at = At::new(&file, &value);
        let users = numbers(at.key("users")?, &USERS)?;
        let assumed = numbers(at.key("assumed")?, &ASSUMED)?;
        let groups = arithmetic(|name| users.get(name).or(assumed.get(name)).copied().unwrap_or(f64::NAN));
        Ok(Size { users, assumed, groups })
    }

    pub fn figure(&self, name: &str) -> Option<&Figure> {
        self.groups.iter().flat_map(|group| &group.1).find(|figure| figure.name == name)
    }

    /// By name: of the users, assumed or derived.
    pub fn get(&self, name: &str) -> Option<f64> {
        let derived = || self.figure(name).map(|figure| figure.value);
        self.users.get(name).or(self.assumed.get(name)).copied().or_else(derived)
    }

    /// What a figure is called on the page.
    pub fn called(&self, name: &str) -> String {
        self.figure(name).map_or(name.replace('_', " "), |figure| figure.what.to_string())
    }
}

/// A share of all routers and nodes that is left, with the whole load on it.
fn load(of: impl Fn(&str) -> f64, routers: f64, nodes: f64, names: [&'static str; 6]) -> Vec<Figure> {
    let (queries, parts) = (of("queries"), of("parts"));
    let figure = |n: usize, what, how: &str, value, unit| Figure {
        name: names[n],
        what,
        how: how.to_string(),
        value,
        unit,
    };
    vec![
        figure(0, "query routers that serve", "", routers, ""),
        figure(1, "data nodes that serve", "", nodes, ""),
        figure(2, "queries a second a router", "queries / routers", queries / routers, ""),
        figure(3, "parts a second a router", "queries x parts / routers", queries * parts / routers, ""),
        figure(4, "parts a second a node", "queries x parts / nodes", queries * parts / nodes, ""),
        figure(
            5,
            "calls a second of one router to one node",
            "queries x parts / (routers x nodes)",
            queries * parts / (routers * nodes),
            "",
        ),
    ]
}

fn arithmetic(of: impl Fn(&str) -> f64) -> Vec<(&'static str, Vec<Figure>)> {
    let figure =
        |name, what, how: &str, value, unit| Figure { name, what, how: how.to_string(), value, unit };
    let (routers, nodes, queries, parts) = (of("routers"), of("nodes"), of("queries"), of("parts"));
    let (slo, share) = (of("slo_ms") / 1e3, of("slo_share"));
    let a_router = queries / routers;
    let a_pair = queries * parts / (routers * nodes);
    let all =
        ["at_routers", "at_nodes", "queries_a_router", "parts_a_router", "parts_a_node", "calls_a_pair"];
    let mut ordinary = load(&of, routers, nodes, all);
    ordinary.extend([
        figure("parts_all", "parts a second of all", "queries x parts", queries * parts, ""),
        figure("between_calls_ms", "between two calls of one router to one node", "", 1e3 / a_pair, "ms"),
        figure(
            "queries_open",
            "queries open in a router, at most within the SLO time",
            "queries a second a router x SLO time",
            a_router * slo,
            "",
        ),
        figure(
            "parts_open",
            "parts open in a router, likewise",
            "parts a second a router x SLO time",
            a_router * parts * slo,
            "",
        ),
        figure(
            "parts_open_node",
            "parts open at a node, likewise",
            "parts a second a node x SLO time",
            queries * parts / nodes * slo,
            "",
        ),
        figure("calls_open_pair", "calls open of one router at one node, likewise", "", a_pair * slo, ""),
    ]);
    let meets = parts / nodes;
    let tail = vec![
        figure("meets_a_node", "queries that meet a given node", "parts / nodes", 100.0 * meets, "%"),
        figure(
            "late_parts_allowed",
            "parts that may miss the SLO time, where each of them makes its query late",
            "1 - share in time to the power 1 / parts",
            1e6 * (1.0 - share.powf(1.0 / parts)),
            "of a million",
        ),
        figure(
            "late_node_allowed",
            "calls of one node that may be late until it alone has spent the queries that may be",
            "(1 - share in time) / queries that meet it",
            100.0 * (1.0 - share) / meets,
            "%",
        ),
        figure(
            "late_nodes_allowed",
            "nodes whose every call is late that would spend them",
            "(1 - share in time) x nodes / parts",
            (1.0 - share) / meets,
            "nodes",
        ),
    ];
    let sockets = |cores: f64| {
        let apart = APART + if cores > 1.0 { APART_A_CORE * cores } else { 0.0 };
        ((nodes * cores + apart) * 1.5).ceil()
    };
    let connections = vec![
        figure("connections_a_router", "connections of a router on one core", "one to each node", nodes, ""),
        figure("connections_a_node", "connections of a node", "one from each router and core", routers, ""),
        figure("connections_all", "connections of all", "routers x nodes", routers * nodes, ""),
        figure(
            "connections_a_router_4",
            "connections of a router on four cores",
            "four to each node",
            4.0 * nodes,
            "",
        ),
        figure(
            "connections_a_node_4",
            "connections of a node then",
            "four from each router",
            4.0 * routers,
            "",
        ),
        figure(
            "sockets_1",
            "`limits.sockets` that gives each node one, on one core",
            "1.5 x (nodes + 16): a third is the clients'",
            sockets(1.0),
            "",
        ),
        figure("sockets_4", "the same on four cores", "1.5 x (4 x nodes + 32)", sockets(4.0), ""),
    ];
    let zones = of("zones");
    let left = (zones - 1.0) / zones;
    let names =
        ["zone_routers", "zone_nodes", "zone_queries", "zone_parts_router", "zone_parts_node", "zone_pair"];
    let mut zone = load(&of, routers * left, nodes * left, names);
    zone.extend([
        figure("zone_lost_routers", "query routers lost", "routers / zones", routers / zones, ""),
        figure("zone_lost_nodes", "data nodes that leave the list", "nodes / zones", nodes / zones, ""),
    ]);
    let left = 1.0 - of("zones_of_the_greater_region") / zones;
    let names = [
        "region_routers",
        "region_nodes",
        "region_queries",
        "region_parts_router",
        "region_parts_node",
        "region_pair",
    ];
    let mut region = load(&of, routers * left, nodes * left, names);
    region.extend([
        figure(
            "region_lost_routers",
            "query routers of the greater region",
            "routers x its zones / zones",
            routers * (1.0 - left),
            "",
        ),
        figure(
            "region_lost_nodes",
            "data nodes of the greater region",
            "nodes x its zones / zones",
            nodes * (1.0 - left),
            "",
        ),
    ]);
    let burst = of("burst_times");
    // Both ways of a ring in which each dials those 1, 2, 4, ... places on.
    let links = 2.0 * routers.log2().ceil();
    let lost = routers / zones;
    let words = vec![
        figure("links", "links of a router to others", "2 x digits of routers", links, ""),
        figure(
            "routers_x_links",
            "over which a word of each router goes",
            "routers x links",
            routers * links,
            "",
        ),
        figure(
            "missed_x_links",
            "over which words go that a zone's routers are missed",
            "routers left x routers lost x links",
            (routers - lost) * lost * links,
            "",
        ),
    ];
    let bursts = vec![
        figure("burst_queries", "queries a second a router", "at the mean x burst", a_router * burst, ""),
        figure(
            "burst_parts_router",
            "parts a second a router",
            "at the mean x burst",
            a_router * parts * burst,
            "",
        ),
    ];
    let (force, machines, bytes) = (of("in_force_s"), of("control_machines"), of("control_bytes"));
    let apart = A_DAY / of("changes_a_day");
    let restarts = of("failures_a_day") + of("restarts_a_day");
    let list = restarts * of("list_changes_a_restart");
    let changes = vec![
        figure("change_apart_s", "between two changes of configuration", "a day / changes a day", apart, "s"),
        figure(
            "change_bytes_in_force",
            "bytes that a router may spend on one until it has to be in force",
            "bytes a second x seconds in force",
            bytes * force,
            "B",
        ),
        figure(
            "change_bytes_apart",
            "bytes that a router may spend from one to the next",
            "bytes a second x seconds between two",
            bytes * apart,
            "B",
        ),
        figure(
            "subscribers",
            "query routers a control machine",
            "routers / control machines",
            routers / machines,
            "",
        ),
        figure(
            "subscribers_one_lost",
            "the same with one control machine lost",
            "routers / (control machines - 1)",
            routers / (machines - 1.0),
            "",
        ),
        figure(
            "subscribers_two_lost",
            "the same with two lost, the most that leave a majority of five",
            "routers / (control machines - 2)",
            routers / (machines - 2.0),
            "",
        ),
        figure(
            "change_fan_out_bytes",
            "bytes a second that a control machine may send to its routers",
            "bytes a second x routers a control machine",
            bytes * routers / machines,
            "B/s",
        ),
    ];
    let machines = routers + nodes;
    let failures = vec![
        figure(
            "restarts_all",
            "machines that fail, restart or are replaced a day",
            "failures + restarts",
            restarts,
            "",
        ),
        figure("restarts_apart_s", "between two of them", "a day / machines", A_DAY / restarts, "s"),
        figure(
            "restarts_routers",
            "of them query routers, by their share",
            "x routers / (routers + nodes)",
            restarts * routers / machines,
            "",
        ),
        figure(
            "restarts_nodes",
            "of them data nodes, by their share",
            "x nodes / (routers + nodes)",
            restarts * nodes / machines,
            "",
        ),
        figure(
            "list_changes_day",
            "changes of discovery's list a day, at most",
            "x changes of the list a restart",
            list,
            "",
        ),
        figure("list_changes_apart_s", "between two of those", "", A_DAY / list, "s"),
    ];
    let cold = of("cold_multiple") * of("cold_from");
    let work = of("part_work_ms") / 1e3;
    let colds = vec![
        figure(
            "cold_work_all",
            "work a second that all routers may send to a node that has just started",
            "multiple x share at the start, of one core",
            cold,
            "s/s",
        ),
        figure("cold_work_router", "one router's share of it", "/ routers", 1e3 * cold / routers, "ms/s"),
        figure(
            "cold_part_each_s",
            "a router's one part in",
            "work of a part / its share",
            work * routers / cold,
            "s",
        ),
        figure(
            "cold_parts_node",
            "parts a second that the node gets of all",
            "work a second / work of a part",
            cold / work,
            "",
        ),
        figure(
            "cold_of_usual",
            "of its usual parts a second",
            "/ parts a second a node",
            100.0 * cold / work / (queries * parts / nodes),
            "%",
        ),
    ];
    vec![
        ("The ordinary second", ordinary),
        ("The tail", tail),
        ("Connections", connections),
        ("A zone lost", zone),
        ("The greater region lost", region),
        ("A burst", bursts),
        ("A change of configuration", changes),
        ("A day's failures and restarts", failures),
        ("A cold node", colds),
        ("Routers that know each other", words),
    ]
}
