//! The operator's file: one Starlark script that says how an installation departs from what the platform runs. It is
//! evaluated once, with bounded steps, memory and depth, into plain values; it can read nothing, reach nothing and
//! load no other file. `read` takes its text and gives the values, or one line that names the file, the line and what
//! is at fault. Whatever the file does not say is as without a file.
//!
//! Each subject is a call, made once: `cores(count = 4)`, `log(form = "json")`. A name that is not known, a value of
//! another type, a subject said twice and statements that contradict each other are refused.
use starlark::any::ProvidesStaticType;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::dict::DictRef;
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::tuple::TupleRef;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::panic::{set_hook, take_hook};
use std::sync::Once;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread::Builder;
use std::time::Duration;

/// Bounds of an evaluation: far beyond what any list of values needs, and over within a fraction of a second.
const TICKS: u64 = 200_000;
const HEAP: usize = 16 * 1024 * 1024;
const DEPTH: usize = 32;
const PATIENCE: Duration = Duration::from_secs(3);
const THREAD: &str = "operator's file";
/// A longer file is no list of values.
const LONGEST: usize = 256 * 1024;
/// A core is told apart by eight bits.
pub const MOST_CORES: usize = 128;
pub const MOST_MEMBERS: usize = 1000;
/// Control machines that decide together, and that a router may be told of.
pub const MOST_CONTROL: usize = 7;
pub const MOST_TOLD_OF: usize = 15;

/// How many cores serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Count {
    Cores(usize),
    /// As many as the machine gives this program.
    All,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cores {
    pub count: Count,
    /// Most connections to one data node, of all cores together; none: as many as their calls need.
    pub node_connections: Option<usize>,
    /// Whether cores tell each other what they saw of data nodes.
    pub evidence: bool,
}

impl Default for Cores {
    fn default() -> Self {
        Cores { count: Count::Cores(1), node_connections: None, evidence: true }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// Shards that change while queries run, as discovery tells of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Layouts {
    /// Seconds for which a client may name a shard that is gone.
    pub late_clients: f64,
    /// Seconds that a data node which lags behind the layout has to catch up before it is asked again.
    pub lagging_nodes: f64,
}

/// What the program is in an installation of two levels.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tier {
    #[default]
    Alone,
    /// It holds clients and data nodes; planners decide, as far as any can be asked.
    Forwarder {
        planners: Vec<SocketAddr>,
        /// How many forwarders the installation has.
        count: usize,
        /// In seconds: between two beats, and how long a planner may be silent.
        beat: f64,
        patience: f64,
    },
    /// It decides for forwarders; so many planners share what is stated.
    Planner { count: usize },
}

/// Routers that know each other and tell each other what they see of data nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// All of them by name, this router among them, with where each listens for the others.
    pub members: BTreeMap<String, SocketAddr>,
    /// In seconds: between two frames on a link, between two words that a router is there, and how old a word may be.
    pub beat: f64,
    pub pulse: f64,
    pub stale: f64,
    /// So many others have to say the same of a data node before it is believed.
    pub witnesses: usize,
    /// Whether they tell which data nodes are late for them or sick; if not, only how their queries end.
    pub verdicts: bool,
}

/// One of the machines that decide the order of configurations; a program of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub name: String,
    /// All of them by name, this one among them: where each hears the others, and where it hears operators.
    pub members: BTreeMap<String, SocketAddr>,
    pub doors: BTreeMap<String, SocketAddr>,
    /// The folder of what it keeps.
    pub data: String,
    /// Where it hears routers; none: nobody is told.
    pub routers: Option<SocketAddr>,
}

/// Control machines that tell this router its settings, version by version.
#[derive(Clone, Debug, PartialEq)]
pub struct Subscription {
    /// By name, with where each listens for routers, and its zone.
    pub control: BTreeMap<String, (SocketAddr, String)>,
    /// Of this router: the machines there are asked first.
    pub zone: String,
    /// A file for the version to start with; none where no disk lasts.
    pub keep: Option<String>,
    /// In seconds: without a word for so long a machine is left; and a version not known for so long to be the newest is
    /// said to be old.
    pub silent: f64,
    pub old: f64,
}

/// What part of each share that all routers hold together forwarders keep for when no planner can be asked; planners have
/// the rest. Fixed, so that whoever is cut off from whom, the sum holds.
pub const KEPT_BACK: f64 = 0.25;

/// All that an operator's file may say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    pub cores: Cores,
    pub log: LogForm,
    /// None: shards lie in the ring of the configuration, and never change.
    pub layouts: Option<Layouts>,
    pub tier: Tier,
    /// None: this router knows of no other.
    pub peers: Option<Peers>,
    /// None: this program is no control machine.
    pub control: Option<Control>,
    /// None: settings only come with the configuration.
    pub subscription: Option<Subscription>,
}

/// What has been said so far.
#[derive(Debug, Default, ProvidesStaticType)]
struct Said {
    cores: RefCell<Option<Cores>>,
    log: RefCell<Option<LogForm>>,
    layouts: RefCell<Option<Layouts>>,
    tier: RefCell<Option<Tier>>,
    peers: RefCell<Option<Peers>>,
    control: RefCell<Option<Control>>,
    subscription: RefCell<Option<Subscription>>,
}

fn said<'a>(eval: &Evaluator<'_, 'a, '_>) -> anyhow::Result<&'a Said> {
    eval.extra
        .and_then(|e| e.downcast_ref::<Said>())
        .ok_or_else(|| anyhow::anyhow!("not evaluated as a file"))
}

/// Keeps what a subject says; each is said once, so that no line of the file undoes another unseen.
fn once<T>(slot: &RefCell<Option<T>>, subject: &str, value: T) -> anyhow::Result<NoneType> {
    match slot.borrow_mut().replace(value) {
        None => Ok(NoneType),
        Some(_) => Err(anyhow::anyhow!("`{subject}`: said twice")),
    }
}

fn whole(subject: &str, name: &str, value: Value, least: usize, most: usize) -> anyhow::Result<usize> {
    let given =
        value.unpack_i32().and_then(|v| usize::try_from(v).ok()).filter(|v| (least..=most).contains(v));
    given.ok_or_else(|| {
        anyhow::anyhow!(
            "`{subject}`: `{name}` is a whole number from {least} to {most}, found {}",
            value.to_repr()
        )
    })
}

fn flag(subject: &str, name: &str, value: Value) -> anyhow::Result<bool> {
    let given = value.unpack_bool();
    given.ok_or_else(|| anyhow::anyhow!("`{subject}`: `{name}` is True or False, found {}", value.to_repr()))
}

/// Names, each with its own address.
fn addresses(subject: &str, what: &str, value: Value) -> anyhow::Result<BTreeMap<String, SocketAddr>> {
    let wrong = || {
        let found = value.to_repr();
        anyhow::anyhow!("`{subject}`: `{what}` gives names, each with its address:port, found {found}")
    };
    let given = DictRef::from_value(value).ok_or_else(wrong)?;
    let entry = |(name, at): (Value, Value)| {
        let name = name.unpack_str().filter(|name| !name.is_empty() && name.len() <= 64)?;
        Some((name.to_string(), at.unpack_str()?.parse().ok()?))
    };
    let all = given.iter().map(entry).collect::<Option<BTreeMap<String, SocketAddr>>>().ok_or_else(wrong)?;
    let apart: BTreeSet<&SocketAddr> = all.values().filter(|at| at.port() > 0).collect();
    if apart.len() < all.values().filter(|at| at.port() > 0).count() {
        return Err(anyhow::anyhow!("`{subject}`: `{what}` gives one address twice"));
    }
    Ok(all)
}

#[starlark_module]
fn subjects(globals: &mut GlobalsBuilder) {
    /// How many cores serve and how they share.
    fn cores<'v>(
        #[starlark(require = named)] count: Value<'v>,
        #[starlark(require = named)] node_connections: Option<Value<'v>>,
        #[starlark(require = named)] evidence: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let count = match count.unpack_str() {
            Some("all") => Count::All,
            Some(word) => {
                return Err(anyhow::anyhow!("`cores`: `count` is a number or \"all\", found \"{word}\""));
            }
            None => Count::Cores(whole("cores", "count", count, 1, MOST_CORES)?),
        };
        let node_connections = node_connections.filter(|v| !v.is_none());
        let node_connections =
            node_connections.map(|v| whole("cores", "node_connections", v, 1, 65_536)).transpose()?;
        if let (Count::Cores(cores), Some(most)) = (count, node_connections)
            && most < cores
        {
            return Err(anyhow::anyhow!(
                "`cores`: `node_connections` of {most} leaves some of {cores} cores without any"
            ));
        }
        let evidence = evidence.map_or(Ok(true), |v| flag("cores", "evidence", v))?;
        once(&said(eval)?.cores, "cores", Cores { count, node_connections, evidence })
    }

    /// That shards lie by layouts which discovery tells, and how much lateness is allowed for.
    fn layouts<'v>(
        #[starlark(require = named)] late_clients_ms: Option<Value<'v>>,
        #[starlark(require = named)] lagging_nodes_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let span = |name, value: Option<Value<'v>>, usual, least, most| {
            let value = value.map_or(Ok(usual), |value| whole("layouts", name, value, least, most))?;
            anyhow::Ok(value as f64 / 1e3)
        };
        let late_clients = span("late_clients_ms", late_clients_ms, 2000, 0, 3_600_000)?;
        let lagging_nodes = span("lagging_nodes_ms", lagging_nodes_ms, 250, 10, 60_000)?;
        once(&said(eval)?.layouts, "layouts", Layouts { late_clients, lagging_nodes })
    }

    /// That planners decide for this program.
    fn forwarder<'v>(
        #[starlark(require = named)] planners: Value<'v>,
        #[starlark(require = named)] count: Value<'v>,
        #[starlark(require = named)] beat_ms: Option<Value<'v>>,
        #[starlark(require = named)] patience_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let wrong = || {
            anyhow::anyhow!("`forwarder`: `planners` is a list of address:port, found {}", planners.to_repr())
        };
        let list = ListRef::from_value(planners).filter(|list| !list.is_empty()).ok_or_else(wrong)?;
        let address = |v: &Value<'v>| v.unpack_str().and_then(|text| text.parse().ok());
        let planners =
            list.iter().map(|v| address(&v)).collect::<Option<Vec<SocketAddr>>>().ok_or_else(wrong)?;
        if (1..planners.len()).any(|n| planners[..n].contains(&planners[n])) {
            return Err(anyhow::anyhow!("`forwarder`: `planners` names one twice"));
        }
        let count = whole("forwarder", "count", count, 1, 10_000)?;
        let span = |name, value: Option<Value<'v>>, usual, least, most| {
            let value = value.map_or(Ok(usual), |value| whole("forwarder", name, value, least, most))?;
            anyhow::Ok(value as f64 / 1e3)
        };
        let beat = span("beat_ms", beat_ms, 50, 5, 10_000)?;
        let patience = span("patience_ms", patience_ms, 250, 10, 60_000)?;
        if patience < 2.0 * beat {
            return Err(anyhow::anyhow!("`forwarder`: `patience_ms` is under two beats"));
        }
        once(&said(eval)?.tier, "forwarder or planner", Tier::Forwarder { planners, count, beat, patience })
    }

    /// That this program decides for forwarders.
    fn planner<'v>(
        #[starlark(require = named)] count: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let count = whole("planner", "count", count, 1, 1000)?;
        once(&said(eval)?.tier, "forwarder or planner", Tier::Planner { count })
    }

    /// That this router is one of several that know each other.
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
        if !(2..=MOST_MEMBERS).contains(&members.len()) {
            let found = members.len();
            return Err(anyhow::anyhow!("`peers`: `members` are 2 to {MOST_MEMBERS}, found {found}"));
        }
        let span = |name, value: Option<Value<'v>>, usual| {
            let value = value.map_or(Ok(usual), |value| whole("peers", name, value, 5, 60_000))?;
            anyhow::Ok(value as f64 / 1e3)
        };
        let (beat, pulse) = (span("beat_ms", beat_ms, 100)?, span("pulse_ms", pulse_ms, 1000)?);
        let stale = span("stale_ms", stale_ms, 2000)?;
        if pulse < beat {
            return Err(anyhow::anyhow!("`peers`: `pulse_ms` is under `beat_ms`"));
        }
        // A word goes over as many links as the count of members has digits, and is said again at half its time.
        let digits = (usize::BITS - (members.len() - 1).leading_zeros()).max(1);
        if stale < 2.0 * beat * f64::from(digits + 1) {
            return Err(anyhow::anyhow!(
                "`peers`: `stale_ms` is too short for {} members and this `beat_ms`: {:.0} at least",
                members.len(),
                2e3 * beat * f64::from(digits + 1)
            ));
        }
        let witnesses =
            witnesses.map_or(Ok(2), |value| whole("peers", "witnesses", value, 1, MOST_MEMBERS))?;
        if witnesses >= members.len() {
            return Err(anyhow::anyhow!(
                "`peers`: `witnesses` of {witnesses} need {} members at least, found {}",
                witnesses + 1,
                members.len()
            ));
        }
        let verdicts = verdicts.map_or(Ok(true), |value| flag("peers", "verdicts", value))?;
        once(&said(eval)?.peers, "peers", Peers { members, beat, pulse, stale, witnesses, verdicts })
    }

    /// That this program is a control machine.
    fn control<'v>(
        #[starlark(require = named)] name: Value<'v>,
        #[starlark(require = named)] members: Value<'v>,
        #[starlark(require = named)] doors: Value<'v>,
        #[starlark(require = named)] data: Value<'v>,
        #[starlark(require = named)] routers: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let text = |what: &str, value: Value<'v>| {
            let text = value.unpack_str().filter(|text| !text.is_empty()).map(str::to_string);
            text.ok_or_else(|| anyhow::anyhow!("`control`: `{what}` is a text, found {}", value.to_repr()))
        };
        let (name, data) = (text("name", name)?, text("data", data)?);
        let members = addresses("control", "members", members)?;
        let doors = addresses("control", "doors", doors)?;
        if members.len() > MOST_CONTROL || members.len().is_multiple_of(2) {
            let found = members.len();
            return Err(anyhow::anyhow!("`control`: `members` are 1, 3, 5 or 7, found {found}"));
        }
        if !members.contains_key(&name) {
            return Err(anyhow::anyhow!("`control`: `members` does not name this machine, `{name}`"));
        }
        if !members.keys().eq(doors.keys()) {
            return Err(anyhow::anyhow!("`control`: `doors` does not name the same machines as `members`"));
        }
        let routers = routers.map(|value| {
            let at = value.unpack_str().and_then(|text| text.parse::<SocketAddr>().ok());
            at.ok_or_else(|| {
                anyhow::anyhow!("`control`: `routers` is address:port, found {}", value.to_repr())
            })
        });
        let routers = routers.transpose()?;
        let own = [members.get(&name), doors.get(&name), routers.as_ref()];
        let own: Vec<&SocketAddr> = own.into_iter().flatten().filter(|at| at.port() > 0).collect();
        if own.iter().collect::<BTreeSet<_>>().len() < own.len() {
            return Err(anyhow::anyhow!("`control`: this machine has one address for two things"));
        }
        once(&said(eval)?.control, "control", Control { name, members, doors, data, routers })
    }

    /// That control machines tell this router its settings.
    fn subscription<'v>(
        #[starlark(require = named)] control: Value<'v>,
        #[starlark(require = named)] zone: Option<Value<'v>>,
        #[starlark(require = named)] keep: Option<Value<'v>>,
        #[starlark(require = named)] silent_ms: Option<Value<'v>>,
        #[starlark(require = named)] old_ms: Option<Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let wrong = || {
            let found = control.to_repr();
            anyhow::anyhow!(
                "`subscription`: `control` gives names, each with its address:port or (address:port, zone), found {found}"
            )
        };
        let word = |value: Value<'v>| {
            let text = value.unpack_str().filter(|text| !text.is_empty() && text.len() <= 64)?;
            Some(text.to_string())
        };
        let entry = |(name, at): (Value<'v>, Value<'v>)| {
            let (at, zone) = match TupleRef::from_value(at) {
                Some(pair) if pair.len() == 2 => (pair.content()[0], word(pair.content()[1])?),
                Some(_) => return None,
                None => (at, String::new()),
            };
            Some((word(name)?, (at.unpack_str()?.parse().ok()?, zone)))
        };
        let given = DictRef::from_value(control).ok_or_else(wrong)?;
        let control = given.iter().map(entry).collect::<Option<BTreeMap<_, _>>>().ok_or_else(wrong)?;
        if !(1..=MOST_TOLD_OF).contains(&control.len()) {
            let found = control.len();
            return Err(anyhow::anyhow!(
                "`subscription`: `control` names 1 to {MOST_TOLD_OF} machines, found {found}"
            ));
        }
        let addresses: BTreeSet<SocketAddr> = control.values().map(|(at, _)| *at).collect();
        if addresses.len() < control.len() {
            return Err(anyhow::anyhow!("`subscription`: `control` gives one address twice"));
        }
        let text = |name, value: Option<Value<'v>>| match value.filter(|value| !value.is_none()) {
            None => Ok(None),
            Some(value) => match value.unpack_str().filter(|text| !text.is_empty()) {
                Some(text) => Ok(Some(text.to_string())),
                None => Err(anyhow::anyhow!(
                    "`subscription`: `{name}` is a text that is not empty, found {}",
                    value.to_repr()
                )),
            },
        };
        let zone = text("zone", zone)?.unwrap_or_default();
        if !zone.is_empty() && !control.values().any(|(_, of)| *of == zone) {
            return Err(anyhow::anyhow!("`subscription`: no machine of `control` is in `zone` \"{zone}\""));
        }
        let keep = text("keep", keep)?;
        let span = |name, value: Option<Value<'v>>, usual, least, most| {
            let value = value.map_or(Ok(usual), |value| whole("subscription", name, value, least, most))?;
            anyhow::Ok(value as f64 / 1e3)
        };
        // A machine answers a pulse a second.
        let silent = span("silent_ms", silent_ms, 3000, 2000, 60_000)?;
        let old = span("old_ms", old_ms, 10_000, 2000, 86_400_000)?;
        if old < silent {
            return Err(anyhow::anyhow!("`subscription`: `old_ms` is under `silent_ms`"));
        }
        let said = said(eval)?;
        once(&said.subscription, "subscription", Subscription { control, zone, keep, silent, old })
    }

    /// How the log is written.
    fn log<'v>(
        #[starlark(require = named)] form: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let form = match form.unpack_str() {
            Some("text") => LogForm::Text,
            Some("json") => LogForm::Json,
            _ => {
                return Err(anyhow::anyhow!(
                    "`log`: `form` is \"text\" or \"json\", found {}",
                    form.to_repr()
                ));
            }
        };
        once(&said(eval)?.log, "log", form)
    }
}

/// Reads a file's text; `name` is how errors call it.
///
/// Steps and memory are counted between steps only. Guards against one step that asks for gigabytes, as a text
/// multiplied by a million times a million does: the script runs on a thread of its own, whose panic is an error and
/// whose end is not waited for beyond a bound.
pub fn read(name: &str, text: &str) -> Result<Operator, String> {
    if text.len() > LONGEST {
        return Err(format!("{name}: longer than {LONGEST} bytes"));
    }
    quiet();
    let (sender, result) = channel();
    let (owned_name, owned_text) = (name.to_string(), text.to_string());
    let thread = Builder::new().name(THREAD.into());
    thread
        .spawn(move || drop(sender.send(evaluate(&owned_name, &owned_text))))
        .map_err(|why| format!("{name}: no thread to evaluate it on ({why})"))?;
    result.recv_timeout(PATIENCE).unwrap_or_else(|why| {
        Err(match why {
            RecvTimeoutError::Timeout => format!("{name}: not evaluated within {} s", PATIENCE.as_secs()),
            RecvTimeoutError::Disconnected => format!("{name}: asks for more memory than a file may"),
        })
    })
}

/// A script's panic is told as an error, not as a trace.
fn quiet() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let usual = take_hook();
        set_hook(Box::new(move |about| {
            if std::thread::current().name() != Some(THREAD) {
                usual(about);
            }
        }));
    });
}

fn evaluate(name: &str, text: &str) -> Result<Operator, String> {
    let dialect = Dialect { enable_load: false, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast = AstModule::parse(name, text.to_string(), &dialect).map_err(|why| line(name, &why))?;
    let globals: Globals = GlobalsBuilder::standard().with(subjects).build();
    let said = Said::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        let bounded = (|| {
            eval.set_max_tick_count(TICKS)?;
            eval.set_max_heap_size(HEAP)?;
            eval.set_max_callstack_size(DEPTH)
        })();
        bounded.map_err(|why| format!("{name}: {why}"))?;
        // What a file prints is nobody's.
        eval.set_print_handler(&Silent);
        eval.extra = Some(&said);
        eval.eval_module(ast, &globals).map(drop).map_err(|why| line(name, &why))
    })?;
    let control = said.control.take();
    let others = [
        said.cores.borrow().is_some(),
        said.layouts.borrow().is_some(),
        said.tier.borrow().is_some(),
        said.peers.borrow().is_some(),
        said.subscription.borrow().is_some(),
    ];
    if control.is_some() && others.contains(&true) {
        return Err(format!("{name}: `control` is of a program of its own: it goes with `log` only"));
    }
    let (cores, log) = (said.cores.take().unwrap_or_default(), said.log.take().unwrap_or_default());
    let (layouts, tier) = (said.layouts.take(), said.tier.take().unwrap_or_default());
    if tier != Tier::Alone && layouts.is_some() {
        return Err(format!("{name}: `layouts` goes with neither `forwarder` nor `planner` yet"));
    }
    if tier != Tier::Alone && cores.count != Count::Cores(1) {
        return Err(format!("{name}: `forwarder` and `planner` go with one core"));
    }
    let peers = said.peers.take();
    if peers.is_some() && tier != Tier::Alone {
        return Err(format!("{name}: `peers` goes with neither `forwarder` nor `planner` yet"));
    }
    if peers.is_some() && cores.count != Count::Cores(1) {
        return Err(format!("{name}: `peers` goes with one core yet"));
    }
    let subscription = said.subscription.take();
    if subscription.is_some() && tier != Tier::Alone {
        return Err(format!("{name}: `subscription` goes with neither `forwarder` nor `planner` yet"));
    }
    Ok(Operator { cores, log, layouts, tier, peers, control, subscription })
}

struct Silent;

impl starlark::PrintHandler for Silent {
    fn println(&self, _: &str) -> starlark::Result<()> {
        Ok(())
    }
}

/// One line: the file, the line where there is one, and what is at fault.
fn line(name: &str, why: &starlark::Error) -> String {
    let at = why.span().map(|span| format!(":{}", span.resolve_span().begin.line + 1));
    let text = why.without_diagnostic().to_string();
    let text: Vec<&str> = text.split_whitespace().collect();
    format!("{name}{}: {}", at.unwrap_or_default(), text.join(" "))
}
