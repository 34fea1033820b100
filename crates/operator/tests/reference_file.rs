//! Operators' files with every key that they may hold, read from `data/` and compared field by field. Several files, as some
//! subjects exclude each other.
use alderway_operator::{Control, Cores, Count, Layouts, LogForm, Operator, Peers, Subscription, Tier, read};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("address:port")
}

fn addresses<const COUNT: usize>(all: [(&str, &str); COUNT]) -> BTreeMap<String, SocketAddr> {
    all.into_iter().map(|(name, at)| (name.to_string(), address(at))).collect()
}

#[rstest]
fn every_key_of_a_router_on_several_cores() {
    let expected = Operator {
        cores: Cores { count: Count::Cores(4), node_connections: Some(16), evidence: false },
        log: LogForm::Json,
        layouts: Some(Layouts { late_clients: 1.5, lagging_nodes: 0.125 }),
        tier: Tier::Alone,
        peers: None,
        control: None,
        subscription: Some(Subscription {
            control: BTreeMap::from([
                ("c1".to_string(), (address("10.0.0.1:7300"), "z1".to_string())),
                ("c2".to_string(), (address("[2001:db8::2]:7300"), "z2".to_string())),
                ("c3".to_string(), (address("10.2.0.1:7300"), String::new())),
            ]),
            zone: "z1".into(),
            keep: Some("/var/lib/alderway/version".into()),
            silent: 2.5,
            old: 9.0,
        }),
    };
    assert_eq!(read("router.star", include_str!("data/router.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_router_that_knows_its_peers() {
    let expected = Operator {
        cores: Cores { count: Count::Cores(1), node_connections: None, evidence: true },
        log: LogForm::Text,
        layouts: None,
        tier: Tier::Alone,
        peers: Some(Peers {
            members: addresses([
                ("n0", "10.0.0.1:7000"),
                ("n1", "10.0.0.2:7000"),
                ("n2", "10.0.0.3:7000"),
                ("n3", "[::1]:7000"),
            ]),
            beat: 0.05,
            pulse: 0.5,
            stale: 1.5,
            witnesses: 3,
            verdicts: false,
        }),
        control: None,
        subscription: None,
    };
    assert_eq!(read("gossip.star", include_str!("data/gossip.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_forwarder() {
    let expected = Operator {
        cores: Cores { count: Count::Cores(1), node_connections: None, evidence: true },
        log: LogForm::Text,
        layouts: None,
        tier: Tier::Forwarder {
            planners: vec![address("10.0.0.5:6000"), address("10.0.0.6:6000")],
            count: 8,
            beat: 0.025,
            patience: 0.125,
        },
        peers: None,
        control: None,
        subscription: None,
    };
    assert_eq!(read("forwarder.star", include_str!("data/forwarder.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_planner() {
    let expected = Operator {
        cores: Cores { count: Count::Cores(1), node_connections: None, evidence: true },
        log: LogForm::Text,
        layouts: None,
        tier: Tier::Planner { count: 2 },
        peers: None,
        control: None,
        subscription: None,
    };
    assert_eq!(read("planner.star", include_str!("data/planner.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_control_machine() {
    let expected = Operator {
        cores: Cores { count: Count::Cores(1), node_connections: None, evidence: true },
        log: LogForm::Json,
        layouts: None,
        tier: Tier::Alone,
        peers: None,
        control: Some(Control {
            name: "c1".into(),
            members: addresses([("c1", "10.0.0.1:7100"), ("c2", "10.1.0.1:7100"), ("c3", "10.2.0.1:7100")]),
            doors: addresses([("c1", "10.0.0.1:7200"), ("c2", "10.1.0.1:7200"), ("c3", "10.2.0.1:7200")]),
            data: "/var/lib/alderway".into(),
            routers: Some(address("10.0.0.1:7300")),
        }),
        subscription: None,
    };
    assert_eq!(read("control.star", include_str!("data/control.star")), Ok(expected));
}

#[rstest]
fn defaults_of_a_router() {
    let expected = Operator {
        cores: Cores { count: Count::All, node_connections: None, evidence: true },
        log: LogForm::Text,
        layouts: Some(Layouts { late_clients: 2.0, lagging_nodes: 0.25 }),
        tier: Tier::Alone,
        peers: None,
        control: None,
        subscription: Some(Subscription {
            control: BTreeMap::from([("c1".to_string(), (address("10.0.0.1:7300"), String::new()))]),
            zone: String::new(),
            keep: None,
            silent: 3.0,
            old: 10.0,
        }),
    };
    assert_eq!(read("defaults.star", include_str!("data/defaults.star")), Ok(expected));
}

#[rstest]
fn defaults_of_a_router_that_knows_its_peers() {
    let expected = Some(Peers {
        members: addresses([("n0", "10.0.0.1:7000"), ("n1", "10.0.0.2:7000"), ("n2", "10.0.0.3:7000")]),
        beat: 0.1,
        pulse: 1.0,
        stale: 2.0,
        witnesses: 2,
        verdicts: true,
    });
    let given = read("gossip_defaults.star", include_str!("data/gossip_defaults.star")).expect("a good file");
    assert_eq!(given, Operator { peers: expected, ..Operator::default() });
}

#[rstest]
fn defaults_of_a_forwarder() {
    let expected =
        Tier::Forwarder { planners: vec![address("10.0.0.5:6000")], count: 3, beat: 0.05, patience: 0.25 };
    let given =
        read("forwarder_defaults.star", include_str!("data/forwarder_defaults.star")).expect("a good file");
    assert_eq!(given, Operator { tier: expected, ..Operator::default() });
}

#[rstest]
fn defaults_of_a_control_machine() {
    let expected = Some(Control {
        name: "c1".into(),
        members: addresses([("c1", "10.0.0.1:7100")]),
        doors: addresses([("c1", "10.0.0.1:7200")]),
        data: "/var/lib/alderway".into(),
        routers: None,
    });
    let given =
        read("control_defaults.star", include_str!("data/control_defaults.star")).expect("a good file");
    assert_eq!(given, Operator { control: expected, ..Operator::default() });
}
