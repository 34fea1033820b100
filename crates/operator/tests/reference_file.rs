//! Reads each operator's file in `data/` and compares every value. Together the files contain every argument
//! of every section; there are several files because some sections can't be combined.
use alderway_operator::{
    ControlConfig, CoreCount, CoresConfig, LayoutsConfig, LogFormat, OperatorConfig, PeersConfig,
    ProcessRole, SubscriptionConfig, read,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("address:port")
}

fn addresses<const COUNT: usize>(all: [(&str, &str); COUNT]) -> BTreeMap<String, SocketAddr> {
    all.into_iter().map(|(name, text)| (name.to_string(), address(text))).collect()
}

#[rstest]
fn every_key_of_a_router_on_several_cores() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::Fixed(4),
            max_connections_per_node: Some(16),
            shares_observations: false,
        },
        log_format: LogFormat::Json,
        layouts: Some(LayoutsConfig { retired_shard_grace_s: 1.5, lagging_node_grace_s: 0.125 }),
        role: ProcessRole::Standalone,
        peers: None,
        control: None,
        subscription: Some(SubscriptionConfig {
            servers: BTreeMap::from([
                ("c1".to_string(), (address("10.0.0.1:7300"), "z1".to_string())),
                ("c2".to_string(), (address("[2001:db8::2]:7300"), "z2".to_string())),
                ("c3".to_string(), (address("10.2.0.1:7300"), String::new())),
            ]),
            zone: "z1".into(),
            persist_path: Some("/var/lib/alderway/version".into()),
            heartbeat_timeout_s: 2.5,
            stale_after_s: 9.0,
        }),
    };
    assert_eq!(read("router.star", include_str!("data/router.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_router_with_peers() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::Fixed(1),
            max_connections_per_node: None,
            shares_observations: true,
        },
        log_format: LogFormat::Text,
        layouts: None,
        role: ProcessRole::Standalone,
        peers: Some(PeersConfig {
            members: addresses([
                ("n0", "10.0.0.1:7000"),
                ("n1", "10.0.0.2:7000"),
                ("n2", "10.0.0.3:7000"),
                ("n3", "[::1]:7000"),
            ]),
            send_interval_s: 0.05,
            heartbeat_interval_s: 0.5,
            max_message_age_s: 1.5,
            required_witnesses: 3,
            shares_node_health: false,
        }),
        control: None,
        subscription: None,
    };
    assert_eq!(read("gossip.star", include_str!("data/gossip.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_forwarder() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::Fixed(1),
            max_connections_per_node: None,
            shares_observations: true,
        },
        log_format: LogFormat::Text,
        layouts: None,
        role: ProcessRole::Forwarder {
            planners: vec![address("10.0.0.5:6000"), address("10.0.0.6:6000")],
            forwarder_count: 8,
            heartbeat_interval_s: 0.025,
            heartbeat_timeout_s: 0.125,
        },
        peers: None,
        control: None,
        subscription: None,
    };
    assert_eq!(read("forwarder.star", include_str!("data/forwarder.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_planner() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::Fixed(1),
            max_connections_per_node: None,
            shares_observations: true,
        },
        log_format: LogFormat::Text,
        layouts: None,
        role: ProcessRole::Planner { planner_count: 2 },
        peers: None,
        control: None,
        subscription: None,
    };
    assert_eq!(read("planner.star", include_str!("data/planner.star")), Ok(expected));
}

#[rstest]
fn every_key_of_a_control_server() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::Fixed(1),
            max_connections_per_node: None,
            shares_observations: true,
        },
        log_format: LogFormat::Json,
        layouts: None,
        role: ProcessRole::Standalone,
        peers: None,
        control: Some(ControlConfig {
            name: "c1".into(),
            replica_addresses: addresses([
                ("c1", "10.0.0.1:7100"),
                ("c2", "10.1.0.1:7100"),
                ("c3", "10.2.0.1:7100"),
            ]),
            admin_addresses: addresses([
                ("c1", "10.0.0.1:7200"),
                ("c2", "10.1.0.1:7200"),
                ("c3", "10.2.0.1:7200"),
            ]),
            data_path: "/var/lib/alderway".into(),
            router_address: Some(address("10.0.0.1:7300")),
        }),
        subscription: None,
    };
    assert_eq!(read("control.star", include_str!("data/control.star")), Ok(expected));
}

#[rstest]
fn defaults_of_a_router() {
    let expected = OperatorConfig {
        cores: CoresConfig {
            count: CoreCount::All,
            max_connections_per_node: None,
            shares_observations: true,
        },
        log_format: LogFormat::Text,
        layouts: Some(LayoutsConfig { retired_shard_grace_s: 2.0, lagging_node_grace_s: 0.25 }),
        role: ProcessRole::Standalone,
        peers: None,
        control: None,
        subscription: Some(SubscriptionConfig {
            servers: BTreeMap::from([("c1".to_string(), (address("10.0.0.1:7300"), String::new()))]),
            zone: String::new(),
            persist_path: None,
            heartbeat_timeout_s: 3.0,
            stale_after_s: 10.0,
        }),
    };
    assert_eq!(read("defaults.star", include_str!("data/defaults.star")), Ok(expected));
}

#[rstest]
fn defaults_of_a_router_with_peers() {
    let expected = Some(PeersConfig {
        members: addresses([("n0", "10.0.0.1:7000"), ("n1", "10.0.0.2:7000"), ("n2", "10.0.0.3:7000")]),
        send_interval_s: 0.1,
        heartbeat_interval_s: 1.0,
        max_message_age_s: 2.0,
        required_witnesses: 2,
        shares_node_health: true,
    });
    let config =
        read("gossip_defaults.star", include_str!("data/gossip_defaults.star")).expect("a valid file");
    assert_eq!(config, OperatorConfig { peers: expected, ..OperatorConfig::default() });
}

#[rstest]
fn defaults_of_a_forwarder() {
    let expected = ProcessRole::Forwarder {
        planners: vec![address("10.0.0.5:6000")],
        forwarder_count: 3,
        heartbeat_interval_s: 0.05,
        heartbeat_timeout_s: 0.25,
    };
    let config =
        read("forwarder_defaults.star", include_str!("data/forwarder_defaults.star")).expect("a valid file");
    assert_eq!(config, OperatorConfig { role: expected, ..OperatorConfig::default() });
}

#[rstest]
fn defaults_of_a_control_server() {
    let expected = Some(ControlConfig {
        name: "c1".into(),
        replica_addresses: addresses([("c1", "10.0.0.1:7100")]),
        admin_addresses: addresses([("c1", "10.0.0.1:7200")]),
        data_path: "/var/lib/alderway".into(),
        router_address: None,
    });
    let config =
        read("control_defaults.star", include_str!("data/control_defaults.star")).expect("a valid file");
    assert_eq!(config, OperatorConfig { control: expected, ..OperatorConfig::default() });
}
