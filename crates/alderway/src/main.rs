//! The command line: `alderway serve` runs a query router, `alderway check` reads what it would run by and says so;
//! `alderway control` runs a control machine, `alderway config` is for operators of these.
mod config;
mod control;
mod settings;

use alderway_control_plane::subscriber::{ControlEndpoint, SubscriptionConfig};
use alderway_operator::{self as operator, Count, KEPT_BACK, LogForm, Operator, Tier};
use alderway_peers::Terms;
use alderway_router::control::{Subscription, settings as control_settings};
use alderway_router::gossip::{Circle, Members};
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

/// Reads many shards for one request.
#[derive(Parser)]
#[command(name = "alderway", version)]
struct Line {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Runs a query router until SIGTERM
    Serve(Files),
    /// Reads and checks the files, and prints what would run
    Check(Files),
    /// Runs a control machine until SIGTERM
    Control(control::Control),
    /// Changes, shows and checks what the control machines keep
    #[command(subcommand)]
    Config(config::Config),
}

#[derive(Args)]
struct Files {
    /// The operator's file; without it the router runs as on the platform
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The configuration in JSON
    #[arg(long, value_name = "FILE", env = "PROXY_CONFIG")]
    config: PathBuf,
}

/// What a router runs by.
struct Plan {
    config: StartupConfig,
    subscription: Option<Subscription>,
    sharing: MulticoreConfig,
    form: LogFormat,
    operator: Operator,
}

/// What the operator's file says, and its text.
fn operator_at(path: Option<&Path>) -> Result<(Operator, String), String> {
    let Some(path) = path else { return Ok(Default::default()) };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|why| format!("{name}: {why}"))?;
    Ok((operator::read(&name, &text)?, text))
}

/// At a reload: whether the file now says something else. One that has not changed is not evaluated again.
fn says_else(path: &Path, held: &Operator, held_text: &str) -> Result<bool, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|why| format!("{name}: {why}"))?;
    if text == held_text {
        return Ok(false);
    }
    let mut said = operator::read(&name, &text)?;
    // Who the peers are is taken over at once.
    if let (Some(peers), Some(held)) = (&mut said.peers, &held.peers) {
        peers.members.clone_from(&held.members);
    }
    Ok(said != *held)
}

/// The list of peers as the file gives it now.
fn members(path: &Path) -> Result<Members, String> {
    let (operator, _) = operator_at(Some(path))?;
    let peers = operator.peers.ok_or_else(|| format!("{}: it says nothing of `peers`", path.display()))?;
    Ok(peers.members)
}

/// The routers that this one knows, if the operator's file names any.
fn circle(operator: &Operator, files: &Files, name: &str) -> Result<Option<Circle>, String> {
    let Some(peers) = &operator.peers else { return Ok(None) };
    if !peers.members.contains_key(name) {
        return Err(format!("`peers`: `members` does not name this router, `{name}`"));
    }
    let operator::Peers { beat, pulse, stale, witnesses, verdicts, .. } = *peers;
    let terms = Terms { beat, pulse, stale, witnesses, ..Terms::default() };
    let path = files.operator.clone();
    let again = path.map(|path| Arc::new(move || members(&path)) as Arc<_>);
    Ok(Some(Circle { members: peers.members.clone(), terms, verdicts, again }))
}

/// The control machines that tell this router its settings, if the operator's file names any.
fn subscription(operator: &Operator) -> Option<Subscription> {
    let said = operator.subscription.as_ref()?;
    let (zone, keep) = (said.zone.clone(), said.keep.clone().map(PathBuf::from));
    let config = SubscriptionConfig {
        heartbeat_timeout_s: said.silent,
        stale_after_s: said.old,
        ..SubscriptionConfig::default()
    };
    let machines = said.control.iter().map(|(name, (at, zone))| {
        let (name, zone) = (name.clone(), zone.clone());
        (ControlEndpoint { name, zone }, *at)
    });
    Some(Subscription {
        control_servers: machines.collect(),
        zone,
        config,
        persist_path: keep,
        persisted: None,
        startup_error: None,
    })
}

/// The configuration to start with: settings as the control plane last gave them, if they were kept, or the file's own.
fn startup_config(
    files: &Files,
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

fn plan(files: &Files, clock: Clock) -> Result<Plan, String> {
    let (operator, text) = operator_at(files.operator.as_deref())?;
    if operator.control.is_some() {
        return Err("the operator's file says `control`: it is for `alderway control`".into());
    }
    // Shares that all routers hold together: planners have most, forwarders keep some back.
    let router_count = match &operator.tier {
        Tier::Alone => None,
        Tier::Forwarder { count, .. } => Some(*count as f64 / KEPT_BACK),
        Tier::Planner { count } => Some(*count as f64 / (1.0 - KEPT_BACK)),
    };
    let router_count = router_count.map(|count| count.ceil() as u64);
    let (mut config, subscription) = startup_config(files, subscription(&operator), router_count, clock)
        .map_err(|error| error.to_string())?;
    if let Some(path) = files.operator.clone() {
        let held = operator.clone();
        config.operator_file_check = Some(Arc::new(move || says_else(&path, &held, &text)));
    }
    config.gossip = circle(&operator, files, &config.name)?;
    config.shard_map = operator.layouts.map(|l| ShardMapConfig {
        retired_shard_grace_s: l.late_clients,
        lagging_node_grace_s: l.lagging_nodes,
    });
    config.role = match operator.tier.clone() {
        Tier::Alone => ProgramRole::Router,
        Tier::Forwarder { planners, beat, patience, .. } => {
            ProgramRole::Forwarder { planners, heartbeat_interval_s: beat, heartbeat_timeout_s: patience }
        }
        Tier::Planner { .. } => ProgramRole::Planner,
    };
    let cores = match operator.cores.count {
        Count::Cores(cores) => cores,
        Count::All => std::thread::available_parallelism().map_or(1, usize::from).min(operator::MOST_CORES),
    };
    let for_peers = config.gossip.as_ref().map_or(0, Circle::descriptors);
    let for_control = subscription.as_ref().map_or(0, |_| alderway_router::control::SUBSCRIPTION_DESCRIPTORS);
    let least = descriptors::minimum(cores) + for_peers + for_control;
    if config.max_descriptors < least {
        let what = if for_peers > 0 { " and its peers" } else { "" };
        return Err(format!("key `limits.sockets`: {cores} cores{what} need {least} at least"));
    }
    let (node_connections, evidence) = (operator.cores.node_connections, operator.cores.evidence);
    if node_connections.is_some_and(|most| most < cores) {
        return Err(format!("`cores`: `node_connections` leaves some of {cores} cores without any"));
    }
    let form = match operator.log {
        LogForm::Text => LogFormat::Text,
        LogForm::Json => LogFormat::Json,
    };
    Ok(Plan {
        config,
        subscription,
        sharing: MulticoreConfig {
            cores,
            max_connections_per_node: node_connections,
            shares_observations: evidence,
        },
        form,
        operator,
    })
}

fn show(plan: &Plan) -> String {
    let Plan { config, subscription, sharing, operator, .. } = plan;
    let most = sharing.max_connections_per_node.map_or("as calls need".to_string(), |most| most.to_string());
    let told = if sharing.cores > 1 && sharing.shares_observations {
        "told between cores"
    } else {
        "each core's own"
    };
    let role = match &operator.tier {
        Tier::Alone => "a router that decides by itself".to_string(),
        Tier::Forwarder { planners, count, .. } => {
            let all: Vec<String> = planners.iter().map(ToString::to_string).collect();
            format!("one of {count} forwarders; planners at {}", all.join(", "))
        }
        Tier::Planner { count } => format!("one of {count} planners"),
    };
    let peers = match &operator.peers {
        None => "none".to_string(),
        Some(peers) => format!(
            "{} others; a word is stale after {} s, {} have to say the same; told of data nodes: {}",
            peers.members.len() - 1,
            peers.stale,
            peers.witnesses,
            if peers.verdicts { "sick or late" } else { "nothing" }
        ),
    };
    let settings = match (&operator.subscription, subscription) {
        (Some(said), Some(Subscription { persisted: Some(persisted), .. })) => {
            format!(
                "version {} as kept, then by {} control machines",
                persisted.version.number,
                said.control.len()
            )
        }
        (Some(said), _) => format!("the configuration's, then by {} control machines", said.control.len()),
        (None, _) => "the configuration's".to_string(),
    };
    let shards = match operator.layouts {
        None => "in the configuration's ring".to_string(),
        Some(layouts) => format!(
            "by layouts that discovery tells; {} s for late clients, {} s for lagging data nodes",
            layouts.late_clients, layouts.lagging_nodes
        ),
    };
    [
        ("name", config.name.clone()),
        ("listens at", config.listen.to_string()),
        ("discovery", config.discovery.to_string()),
        ("data nodes known", config.endpoints.nodes.len().to_string()),
        ("verticals", config.query_classes.iter().map(|v| v.name.as_str()).collect::<Vec<_>>().join(", ")),
        ("queries and parts held", config.settings.admission.max_open.to_string()),
        ("descriptors", config.max_descriptors.to_string()),
        ("memory", format!("{} MiB", config.max_memory_bytes / 1024 / 1024)),
        ("cores", sharing.cores.to_string()),
        ("connections to a data node", most),
        ("evidence of data nodes", told.to_string()),
        ("shards", shards),
        ("role", role),
        ("peers", peers),
        ("settings", settings),
        ("log", format!("{:?}", operator.log).to_lowercase()),
    ]
    .map(|(what, value)| format!("{what}: {value}\n"))
    .concat()
}

fn main() -> ExitCode {
    let clock = Clock::default();
    let verb = Line::parse().verb;
    let files = match &verb {
        Verb::Serve(files) | Verb::Check(files) => files,
        Verb::Control(control) => return control::run(control),
        Verb::Config(config) => return config::run(config),
    };
    let plan = match plan(files, clock) {
        Ok(plan) => plan,
        Err(why) => {
            eprintln!("alderway: {why}");
            return ExitCode::from(2);
        }
    };
    if let Verb::Check(_) = verb {
        print!("{}", show(&plan));
        return ExitCode::SUCCESS;
    }
    log::init(plan.form);
    match serve(plan.config, plan.subscription, plan.sharing, clock) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("alderway: {why}");
            ExitCode::FAILURE
        }
    }
}
