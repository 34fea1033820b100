//! The command line. `alderway serve` runs a query router, `alderway check` validates the files of a query
//! router and prints the resulting configuration, `alderway control` runs a control server, and
//! `alderway config` sends requests to control servers. The operator's file contains the options of the
//! installation, the configuration file those of the platform.
mod config;
mod control;
mod settings;

use alderway_control_plane::subscriber::{ControlEndpoint, SubscriptionConfig};
use alderway_operator::{self as operator, CoreCount, FORWARDER_QUOTA_FRACTION, OperatorConfig, ProcessRole};
use alderway_peers::GossipConfig;
use alderway_router::control::{Subscription, settings as control_settings};
use alderway_router::gossip::{GossipGroup, MemberAddresses};
use alderway_router::lifecycle::startup::{Overrides, ProgramRole, StartupConfig, StartupError};
use alderway_router::server::serve;
use alderway_router::state::descriptors;
use alderway_router::state::shard_map::ShardMapConfig;
use alderway_router::state::shared::MulticoreConfig;
use alderway_telemetry::clock::Clock;
use alderway_telemetry::log::{self, LogFormat};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code for an invalid argument, or for a file that can't be read or is invalid.
const EXIT_INVALID_INPUT: u8 = 2;

/// Query router that reads many shards for one request
#[derive(Parser)]
#[command(name = "alderway", version)]
struct CommandLine {
    #[command(subcommand)]
    verb: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a query router until SIGTERM
    Serve(RouterFiles),
    /// Validates the files, and prints the configuration that would run
    Check(RouterFiles),
    /// Runs a control server until SIGTERM
    Control(control::ControlArgs),
    /// Changes, shows and checks the settings stored by the control servers
    #[command(subcommand)]
    Config(config::ConfigCommand),
}

#[derive(Args)]
struct RouterFiles {
    /// The operator's file; without this file, all its options have their default values
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The configuration in JSON
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
    config: PathBuf,
}

/// The combined content of the operator's file and the configuration file.
struct RouterConfig {
    startup: StartupConfig,
    subscription: Option<Subscription>,
    multicore: MulticoreConfig,
    log_format: LogFormat,
    operator: OperatorConfig,
}

/// Reads the operator's file; returns its values and its text. Returns default values and an empty text if
/// `path` is `None`.
fn read_operator_file(path: Option<&Path>) -> Result<(OperatorConfig, String), String> {
    let Some(path) = path else { return Ok(Default::default()) };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    Ok((operator::read(&name, &text)?, text))
}

/// Returns true if a value in the operator's file differs from `current`. Differences in the list of peers
/// are ignored. If the text of the file is unchanged, returns false without evaluating the file.
fn operator_file_changed(path: &Path, current: &OperatorConfig, current_text: &str) -> Result<bool, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    if text == current_text {
        return Ok(false);
    }
    let mut read = operator::read(&name, &text)?;
    // Changes of the list of peers are ignored, since a reload applies them without a restart.
    if let (Some(peers), Some(current)) = (&mut read.peers, &current.peers) {
        peers.members.clone_from(&current.members);
    }
    Ok(read != *current)
}

/// Reads the current list of peers from the operator's file.
fn read_members(path: &Path) -> Result<MemberAddresses, String> {
    let (operator, _) = read_operator_file(Some(path))?;
    let peers = operator.peers.ok_or_else(|| format!("{}: `peers` is missing", path.display()))?;
    Ok(peers.members)
}

/// The options for sharing observations with peer routers. `None` if the operator's file has no `peers`
/// section.
fn peer_config(
    operator: &OperatorConfig,
    files: &RouterFiles,
    name: &str,
) -> Result<Option<GossipGroup>, String> {
    let Some(peers) = &operator.peers else { return Ok(None) };
    if !peers.members.contains_key(name) {
        return Err(format!("`peers`: `members` has no entry for this router, `{name}`"));
    }
    let config = GossipConfig {
        frame_interval_s: peers.send_interval_s,
        alive_interval_s: peers.heartbeat_interval_s,
        max_age_s: peers.max_message_age_s,
        quorum: peers.required_witnesses,
        ..GossipConfig::default()
    };
    let path = files.operator.clone();
    let reload_members = path.map(|path| Arc::new(move || read_members(&path)) as Arc<_>);
    Ok(Some(GossipGroup {
        members: peers.members.clone(),
        config,
        shares_observations: peers.shares_node_health,
        reload_members,
    }))
}

/// The options for receiving settings from control servers. `None` if the operator's file has no
/// `subscription` section.
fn subscription(operator: &OperatorConfig) -> Option<Subscription> {
    let subscription = operator.subscription.as_ref()?;
    let zone = subscription.zone.clone();
    let persist_path = subscription.persist_path.clone().map(PathBuf::from);
    let config = SubscriptionConfig {
        heartbeat_timeout_s: subscription.heartbeat_timeout_s,
        stale_after_s: subscription.stale_after_s,
        ..SubscriptionConfig::default()
    };
    let servers = subscription.servers.iter().map(|(name, (at, zone))| {
        let (name, zone) = (name.clone(), zone.clone());
        (ControlEndpoint { name, zone }, *at)
    });
    Some(Subscription {
        control_servers: servers.collect(),
        zone,
        config,
        persist_path,
        persisted: None,
        startup_error: None,
    })
}

/// Reads the configuration file. If the router has stored a settings version from the control servers in a
/// local file, the settings of that version replace the settings of the configuration file.
fn startup_config(
    files: &RouterFiles,
    subscription: Option<Subscription>,
    router_count: Option<u64>,
    clock: Clock,
) -> Result<(StartupConfig, Option<Subscription>), StartupError> {
    let Some(subscription) = subscription else {
        let overrides = Overrides { router_count, settings: None };
        return Ok((StartupConfig::read(&files.config, overrides, clock)?, None));
    };
    let (config, subscription) =
        control_settings::startup_config(subscription, &files.config, clock, router_count)?;
    Ok((config, Some(subscription)))
}

/// Reads the files and combines them into the configuration of a router.
fn router_config(files: &RouterFiles, clock: Clock) -> Result<RouterConfig, String> {
    let (operator, text) = read_operator_file(files.operator.as_deref())?;
    if operator.control.is_some() {
        return Err(
            "the operator's file contains the section `control`, which is only valid for `alderway control`"
                .into(),
        );
    }
    // Each router uses the part 1 / router_count of each limit that all routers share. For forwarders and
    // planners, `router_count` is larger than the actual count of forwarders or planners: all forwarders
    // together get the fraction `FORWARDER_QUOTA_FRACTION` of each shared limit, and all planners together
    // get the rest.
    let router_count = match &operator.role {
        ProcessRole::Standalone => None,
        ProcessRole::Forwarder { forwarder_count, .. } => {
            Some(*forwarder_count as f64 / FORWARDER_QUOTA_FRACTION)
        }
        ProcessRole::Planner { planner_count } => {
            Some(*planner_count as f64 / (1.0 - FORWARDER_QUOTA_FRACTION))
        }
    };
    let router_count = router_count.map(|count| count.ceil() as u64);
    let (mut config, subscription) = startup_config(files, subscription(&operator), router_count, clock)
        .map_err(|error| error.to_string())?;
    if let Some(path) = files.operator.clone() {
        let current = operator.clone();
        config.operator_file_check = Some(Arc::new(move || operator_file_changed(&path, &current, &text)));
    }
    config.gossip = peer_config(&operator, files, &config.name)?;
    config.shard_map = operator.layouts.map(|l| ShardMapConfig {
        retired_shard_grace_s: l.retired_shard_grace_s,
        lagging_node_grace_s: l.lagging_node_grace_s,
    });
    config.role = match operator.role.clone() {
        ProcessRole::Standalone => ProgramRole::Router,
        ProcessRole::Forwarder { planners, heartbeat_interval_s, heartbeat_timeout_s, .. } => {
            ProgramRole::Forwarder { planners, heartbeat_interval_s, heartbeat_timeout_s }
        }
        ProcessRole::Planner { .. } => ProgramRole::Planner,
    };
    let cores = match operator.cores.count {
        CoreCount::Fixed(cores) => cores,
        CoreCount::All => {
            std::thread::available_parallelism().map_or(1, usize::from).min(operator::MAX_CORES)
        }
    };
    let for_peers = config.gossip.as_ref().map_or(0, GossipGroup::max_descriptors);
    let for_control = subscription.as_ref().map_or(0, |_| alderway_router::control::SUBSCRIPTION_DESCRIPTORS);
    let min_descriptors = descriptors::minimum(cores) + for_peers + for_control;
    if config.max_descriptors < min_descriptors {
        let peers = if for_peers > 0 { " and the peers" } else { "" };
        return Err(format!("key `limits.sockets`: {cores} cores{peers} need at least {min_descriptors}"));
    }
    let max_connections_per_node = operator.cores.max_connections_per_node;
    if max_connections_per_node.is_some_and(|max| max < cores) {
        return Err(format!("`cores`: `node_connections` must be at least one for each of {cores} cores"));
    }
    let log_format = match operator.log_format {
        operator::LogFormat::Text => LogFormat::Text,
        operator::LogFormat::Json => LogFormat::Json,
    };
    Ok(RouterConfig {
        startup: config,
        subscription,
        multicore: MulticoreConfig {
            cores,
            max_connections_per_node,
            shares_observations: operator.cores.shares_observations,
        },
        log_format,
        operator,
    })
}

/// Formats the configuration for `alderway check`, with one value in each line.
fn describe(config: &RouterConfig) -> String {
    let RouterConfig { startup, subscription, multicore, operator, .. } = config;
    let max_connections =
        multicore.max_connections_per_node.map_or("as attempts need".to_string(), |max| max.to_string());
    let observations = if multicore.cores > 1 && multicore.shares_observations {
        "shared between cores"
    } else {
        "separate for each core"
    };
    let role = match &operator.role {
        ProcessRole::Standalone => "a standalone router".to_string(),
        ProcessRole::Forwarder { planners, forwarder_count, .. } => {
            let all: Vec<String> = planners.iter().map(ToString::to_string).collect();
            format!("one of {forwarder_count} forwarders; planners at {}", all.join(", "))
        }
        ProcessRole::Planner { planner_count } => format!("one of {planner_count} planners"),
    };
    let peers = match &operator.peers {
        None => "none".to_string(),
        Some(peers) => format!(
            "{} others; messages expire after {} s, {} witnesses required; health of data nodes: {}",
            peers.members.len() - 1,
            peers.max_message_age_s,
            peers.required_witnesses,
            if peers.shares_node_health { "shared" } else { "not shared" }
        ),
    };
    let settings = match (&operator.subscription, subscription) {
        (Some(control), Some(Subscription { persisted: Some(persisted), .. })) => {
            format!(
                "persisted version {}, then from {} control servers",
                persisted.version.number,
                control.servers.len()
            )
        }
        (Some(control), _) => {
            format!("from the configuration, then from {} control servers", control.servers.len())
        }
        (None, _) => "from the configuration".to_string(),
    };
    let shards = match operator.layouts {
        None => "by the ring of the configuration".to_string(),
        Some(layouts) => format!(
            "by layouts from discovery; {} s for outdated clients, {} s for outdated data nodes",
            layouts.retired_shard_grace_s, layouts.lagging_node_grace_s
        ),
    };
    [
        ("name", startup.name.clone()),
        ("listens at", startup.listen.to_string()),
        ("discovery", startup.discovery.to_string()),
        ("data nodes known", startup.endpoints.nodes.len().to_string()),
        ("verticals", startup.query_classes.iter().map(|v| v.name.as_str()).collect::<Vec<_>>().join(", ")),
        ("queries and parts held", startup.settings.admission.max_open.to_string()),
        ("descriptors", startup.max_descriptors.to_string()),
        ("memory", format!("{} MiB", startup.max_memory_bytes / 1024 / 1024)),
        ("cores", multicore.cores.to_string()),
        ("connections to a data node", max_connections),
        ("evidence of data nodes", observations.to_string()),
        ("shards", shards),
        ("role", role),
        ("peers", peers),
        ("settings", settings),
        ("log", format!("{:?}", operator.log_format).to_lowercase()),
    ]
    .map(|(name, value)| format!("{name}: {value}\n"))
    .concat()
}

fn main() -> ExitCode {
    let clock = Clock::default();
    let verb = CommandLine::parse().verb;
    let files = match &verb {
        Command::Serve(files) | Command::Check(files) => files,
        Command::Control(control) => return control::run(control),
        Command::Config(config) => return config::run(config),
    };
    let config = match router_config(files, clock) {
        Ok(config) => config,
        Err(message) => {
            eprintln!("alderway: {message}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    if let Command::Check(_) = verb {
        print!("{}", describe(&config));
        return ExitCode::SUCCESS;
    }
    log::init(config.log_format);
    match serve(config.startup, config.subscription, config.multicore, clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("alderway: {error}");
            ExitCode::FAILURE
        }
    }
}
