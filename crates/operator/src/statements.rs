//! The functions that an operator's file may call. Each function call is one section of the file.
use crate::arguments::{addresses, flag, integer, milliseconds_as_seconds};
use crate::values::{
    ControlConfig, CoreCount, CoresConfig, LayoutsConfig, LogFormat, MAX_CONTROL_SERVERS, MAX_CORES,
    MAX_PEERS, MAX_SUBSCRIPTION_SERVERS, PeersConfig, ProcessRole, SubscriptionConfig,
};
use starlark::any::ProvidesStaticType;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::Value;
use starlark::values::dict::DictRef;
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::tuple::TupleRef;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The values of the sections that the script has called so far. `None` for a section that was not called.
#[derive(Debug, Default, ProvidesStaticType)]
pub struct ParsedSections {
    pub cores: RefCell<Option<CoresConfig>>,
    pub log: RefCell<Option<LogFormat>>,
    pub layouts: RefCell<Option<LayoutsConfig>>,
    pub role: RefCell<Option<ProcessRole>>,
    pub peers: RefCell<Option<PeersConfig>>,
    pub control: RefCell<Option<ControlConfig>>,
    pub subscription: RefCell<Option<SubscriptionConfig>>,
}

impl ParsedSections {
    /// Returns true if the file contains a section for routers, even if all arguments have their default
    /// values.
    pub fn configures_router(&self) -> bool {
        self.cores.borrow().is_some()
            || self.layouts.borrow().is_some()
            || self.role.borrow().is_some()
            || self.peers.borrow().is_some()
            || self.subscription.borrow().is_some()
    }
}

fn sections<'a>(eval: &Evaluator<'_, 'a, '_>) -> anyhow::Result<&'a ParsedSections> {
    eval.extra
        .and_then(|e| e.downcast_ref::<ParsedSections>())
        .ok_or_else(|| anyhow::anyhow!("sections can only be called in an operator's file"))
}

/// Stores the values of a section of the operator's file. Returns an error, which ends the evaluation of the
/// file, if the file calls the section's function a second time.
fn set_once<T>(stored: &RefCell<Option<T>>, section: &str, value: T) -> anyhow::Result<NoneType> {
    match stored.borrow_mut().replace(value) {
        None => Ok(NoneType),
        Some(_) => Err(anyhow::anyhow!("`{section}`: called more than once")),
    }
}

#[starlark_module]
pub fn register_functions(globals: &mut GlobalsBuilder) {
    /// Configures the number of cores, the limit `node_connections` of connections to data nodes, and whether
    /// the cores share observations of data nodes.
    fn cores<'v>(
        #[starlark(require = named)] count: Value<'v>,
        #[starlark(require = named)] node_connections: Option<Value<'v>>,
        #[starlark(require = named)] evidence: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let count = match count.unpack_str() {
            Some("all") => CoreCount::All,
            Some(text) => {
                return Err(anyhow::anyhow!(
                    "`cores`: `count` must be a number or \"all\", found \"{text}\""
                ));
            }
            None => CoreCount::Fixed(integer("cores", "count", count, 1, MAX_CORES)?),
        };
        let node_connections = node_connections.filter(|v| !v.is_none());
        let node_connections =
            node_connections.map(|v| integer("cores", "node_connections", v, 1, 65_536)).transpose()?;
        if let (CoreCount::Fixed(cores), Some(max)) = (count, node_connections)
            && max < cores
        {
            return Err(anyhow::anyhow!(
                "`cores`: `node_connections` must be at least one for each of {cores} cores, found {max}"
            ));
        }
        let evidence = evidence.map_or(Ok(true), |v| flag("cores", "evidence", v))?;
        set_once(
            &sections(eval)?.cores,
            "cores",
            CoresConfig { count, max_connections_per_node: node_connections, shares_observations: evidence },
        )
    }

    /// Enables layouts from discovery, and configures how long clients and data nodes with outdated layouts
    /// are tolerated.
    fn layouts<'v>(
        #[starlark(require = named)] late_clients_ms: Option<Value<'v>>,
        #[starlark(require = named)] lagging_nodes_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let retired_shard_grace_s =
            milliseconds_as_seconds("layouts", "late_clients_ms", late_clients_ms, 2000, 0..=3_600_000)?;
        let lagging_node_grace_s =
            milliseconds_as_seconds("layouts", "lagging_nodes_ms", lagging_nodes_ms, 250, 10..=60_000)?;
        set_once(
            &sections(eval)?.layouts,
            "layouts",
            LayoutsConfig { retired_shard_grace_s, lagging_node_grace_s },
        )
    }

    /// Makes this process a forwarder: planners select the data nodes for the queries of this process.
    fn forwarder<'v>(
        #[starlark(require = named)] planners: Value<'v>,
        #[starlark(require = named)] count: Value<'v>,
        #[starlark(require = named)] beat_ms: Option<Value<'v>>,
        #[starlark(require = named)] patience_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let invalid = || {
            anyhow::anyhow!(
                "`forwarder`: `planners` must be a list of address:port, found {}",
                planners.to_repr()
            )
        };
        let list = ListRef::from_value(planners).filter(|list| !list.is_empty()).ok_or_else(invalid)?;
        let address = |v: &Value<'v>| v.unpack_str().and_then(|text| text.parse().ok());
        let planners =
            list.iter().map(|v| address(&v)).collect::<Option<Vec<SocketAddr>>>().ok_or_else(invalid)?;
        if (1..planners.len()).any(|n| planners[..n].contains(&planners[n])) {
            return Err(anyhow::anyhow!("`forwarder`: `planners` contains a duplicate address"));
        }
        let forwarder_count = integer("forwarder", "count", count, 1, 10_000)?;
        let heartbeat_interval_s = milliseconds_as_seconds("forwarder", "beat_ms", beat_ms, 50, 5..=10_000)?;
        let heartbeat_timeout_s =
            milliseconds_as_seconds("forwarder", "patience_ms", patience_ms, 250, 10..=60_000)?;
        if heartbeat_timeout_s < 2.0 * heartbeat_interval_s {
            return Err(anyhow::anyhow!("`forwarder`: `patience_ms` must be at least twice `beat_ms`"));
        }
        set_once(
            &sections(eval)?.role,
            "forwarder or planner",
            ProcessRole::Forwarder { planners, forwarder_count, heartbeat_interval_s, heartbeat_timeout_s },
        )
    }

    /// Makes this process a planner, which selects the data nodes for the queries of forwarders.
    fn planner<'v>(
        #[starlark(require = named)] count: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let planner_count = integer("planner", "count", count, 1, 1000)?;
        set_once(&sections(eval)?.role, "forwarder or planner", ProcessRole::Planner { planner_count })
    }

    /// Makes this router share observations of data nodes with other routers.
    fn peers<'v>(
        #[starlark(require = named)] members: Value<'v>,
        #[starlark(require = named)] beat_ms: Option<Value<'v>>,
        #[starlark(require = named)] pulse_ms: Option<Value<'v>>,
        #[starlark(require = named)] stale_ms: Option<Value<'v>>,
        #[starlark(require = named)] witnesses: Option<Value<'v>>,
        #[starlark(require = named)] verdicts: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let members = addresses("peers", "members", members)?;
        if !(2..=MAX_PEERS).contains(&members.len()) {
            let found = members.len();
            return Err(anyhow::anyhow!(
                "`peers`: `members` must have 2 to {MAX_PEERS} entries, found {found}"
            ));
        }
        let (send_interval_s, heartbeat_interval_s) = (
            milliseconds_as_seconds("peers", "beat_ms", beat_ms, 100, 5..=60_000)?,
            milliseconds_as_seconds("peers", "pulse_ms", pulse_ms, 1000, 5..=60_000)?,
        );
        let max_message_age_s = milliseconds_as_seconds("peers", "stale_ms", stale_ms, 2000, 5..=60_000)?;
        if heartbeat_interval_s < send_interval_s {
            return Err(anyhow::anyhow!("`peers`: `pulse_ms` must not be less than `beat_ms`"));
        }
        // An observation takes at most ceil(log2(member count)) hops to reach every member. The router that
        // made the observation repeats it when half of the maximum age has passed. This half must cover one
        // send interval per hop and one more interval.
        let hops = (usize::BITS - (members.len() - 1).leading_zeros()).max(1);
        if max_message_age_s < 2.0 * send_interval_s * f64::from(hops + 1) {
            return Err(anyhow::anyhow!(
                "`peers`: `stale_ms` must be at least {:.0} for {} members and this `beat_ms`",
                2e3 * send_interval_s * f64::from(hops + 1),
                members.len()
            ));
        }
        let required_witnesses =
            witnesses.map_or(Ok(2), |value| integer("peers", "witnesses", value, 1, MAX_PEERS))?;
        if required_witnesses >= members.len() {
            return Err(anyhow::anyhow!(
                "`peers`: `witnesses = {required_witnesses}` requires at least {} members, found {}",
                required_witnesses + 1,
                members.len()
            ));
        }
        let shares_node_health = verdicts.map_or(Ok(true), |value| flag("peers", "verdicts", value))?;
        set_once(
            &sections(eval)?.peers,
            "peers",
            PeersConfig {
                members,
                send_interval_s,
                heartbeat_interval_s,
                max_message_age_s,
                required_witnesses,
                shares_node_health,
            },
        )
    }

    /// Configures this process as a control server.
    fn control<'v>(
        #[starlark(require = named)] name: Value<'v>,
        #[starlark(require = named)] members: Value<'v>,
        #[starlark(require = named)] doors: Value<'v>,
        #[starlark(require = named)] data: Value<'v>,
        #[starlark(require = named)] routers: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let text = |name: &str, value: Value<'v>| {
            let text = value.unpack_str().filter(|text| !text.is_empty()).map(str::to_string);
            text.ok_or_else(|| {
                anyhow::anyhow!("`control`: `{name}` must be a non-empty string, found {}", value.to_repr())
            })
        };
        let (name, data_path) = (text("name", name)?, text("data", data)?);
        let replica_addresses = addresses("control", "members", members)?;
        let admin_addresses = addresses("control", "doors", doors)?;
        if replica_addresses.len() > MAX_CONTROL_SERVERS || replica_addresses.len().is_multiple_of(2) {
            let found = replica_addresses.len();
            return Err(anyhow::anyhow!(
                "`control`: `members` must have 1, 3, 5 or 7 entries, found {found}"
            ));
        }
        if !replica_addresses.contains_key(&name) {
            return Err(anyhow::anyhow!("`control`: `members` has no entry for this server, `{name}`"));
        }
        if !replica_addresses.keys().eq(admin_addresses.keys()) {
            return Err(anyhow::anyhow!(
                "`control`: `doors` and `members` must contain the same server names"
            ));
        }
        let router_address = routers.map(|value| {
            let at = value.unpack_str().and_then(|text| text.parse::<SocketAddr>().ok());
            at.ok_or_else(|| {
                anyhow::anyhow!("`control`: `routers` must be address:port, found {}", value.to_repr())
            })
        });
        let router_address = router_address.transpose()?;
        let own = [replica_addresses.get(&name), admin_addresses.get(&name), router_address.as_ref()];
        let own: Vec<&SocketAddr> = own.into_iter().flatten().filter(|at| at.port() > 0).collect();
        if own.iter().collect::<BTreeSet<_>>().len() < own.len() {
            return Err(anyhow::anyhow!(
                "`control`: `members`, `doors` and `routers` must give this server different addresses"
            ));
        }
        set_once(
            &sections(eval)?.control,
            "control",
            ControlConfig { name, replica_addresses, admin_addresses, data_path, router_address },
        )
    }

    /// Makes this router receive its settings from control servers.
    fn subscription<'v>(
        #[starlark(require = named)] control: Value<'v>,
        #[starlark(require = named)] zone: Option<Value<'v>>,
        #[starlark(require = named)] keep: Option<Value<'v>>,
        #[starlark(require = named)] silent_ms: Option<Value<'v>>,
        #[starlark(require = named)] old_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let invalid = || {
            let found = control.to_repr();
            anyhow::anyhow!(
                "`subscription`: `control` must map names to address:port or (address:port, zone), found {found}"
            )
        };
        let short_string = |value: Value<'v>| {
            let text = value.unpack_str().filter(|text| !text.is_empty() && text.len() <= 64)?;
            Some(text.to_string())
        };
        let entry = |(name, at): (Value<'v>, Value<'v>)| {
            let (at, zone) = match TupleRef::from_value(at) {
                Some(pair) if pair.len() == 2 => (pair.content()[0], short_string(pair.content()[1])?),
                Some(_) => return None,
                None => (at, String::new()),
            };
            Some((short_string(name)?, (at.unpack_str()?.parse().ok()?, zone)))
        };
        let given = DictRef::from_value(control).ok_or_else(invalid)?;
        let servers = given.iter().map(entry).collect::<Option<BTreeMap<_, _>>>().ok_or_else(invalid)?;
        if !(1..=MAX_SUBSCRIPTION_SERVERS).contains(&servers.len()) {
            let found = servers.len();
            return Err(anyhow::anyhow!(
                "`subscription`: `control` must have 1 to {MAX_SUBSCRIPTION_SERVERS} entries, found {found}"
            ));
        }
        let addresses: BTreeSet<SocketAddr> = servers.values().map(|(at, _)| *at).collect();
        if addresses.len() < servers.len() {
            return Err(anyhow::anyhow!("`subscription`: `control` contains a duplicate address"));
        }
        let text = |name, value: Option<Value<'v>>| match value.filter(|value| !value.is_none()) {
            None => Ok(None),
            Some(value) => match value.unpack_str().filter(|text| !text.is_empty()) {
                Some(text) => Ok(Some(text.to_string())),
                None => Err(anyhow::anyhow!(
                    "`subscription`: `{name}` must be a non-empty string, found {}",
                    value.to_repr()
                )),
            },
        };
        let zone = text("zone", zone)?.unwrap_or_default();
        if !zone.is_empty() && !servers.values().any(|(_, server_zone)| *server_zone == zone) {
            return Err(anyhow::anyhow!("`subscription`: no server of `control` is in zone \"{zone}\""));
        }
        let persist_path = text("keep", keep)?;
        // A control server answers one heartbeat per second.
        let heartbeat_timeout_s =
            milliseconds_as_seconds("subscription", "silent_ms", silent_ms, 3000, 2000..=60_000)?;
        let stale_after_s =
            milliseconds_as_seconds("subscription", "old_ms", old_ms, 10_000, 2000..=86_400_000)?;
        if stale_after_s < heartbeat_timeout_s {
            return Err(anyhow::anyhow!("`subscription`: `old_ms` must not be less than `silent_ms`"));
        }
        let sections = sections(eval)?;
        set_once(
            &sections.subscription,
            "subscription",
            SubscriptionConfig { servers, zone, persist_path, heartbeat_timeout_s, stale_after_s },
        )
    }

    /// Configures the format of log lines.
    fn log<'v>(
        #[starlark(require = named)] form: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let form = match form.unpack_str() {
            Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            _ => {
                return Err(anyhow::anyhow!(
                    "`log`: `form` must be \"text\" or \"json\", found {}",
                    form.to_repr()
                ));
            }
        };
        set_once(&sections(eval)?.log, "log", form)
    }
}
