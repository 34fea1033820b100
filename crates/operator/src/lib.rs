//! The operator's file: one Starlark script that says how an installation departs from what the platform runs. It is
//! evaluated once, with bounded steps, memory and depth, into plain values; it can read nothing, reach nothing and
//! load no other file. `read` takes its text and gives the values, or one line that names the file, the line and what
//! is at fault. Whatever the file does not say is as without a file.
//!
//! Each subject is a call, made once: `cores(count = 4)`, `log(form = "json")`. A name that is not known, a value of
//! another type, a subject said twice and statements that contradict each other are refused.
mod arguments;
mod statements;
mod values;

pub use values::{
    ControlConfig, CoreCount, CoresConfig, FORWARDER_QUOTA_FRACTION, LayoutsConfig, LogFormat,
    MAX_CONTROL_SERVERS, MAX_CORES, MAX_PEERS, MAX_SUBSCRIPTION_SERVERS, OperatorConfig, PeersConfig,
    SubscriptionConfig, Tier,
};

use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use statements::{ParsedSections, register_functions};
use std::panic::{set_hook, take_hook};
use std::sync::Once;
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread::Builder;
use std::time::Duration;

/// Bounds of an evaluation: far beyond what any list of values needs, and over within a fraction of a second.
const MAX_TICKS: u64 = 200_000;
const MAX_HEAP_BYTES: usize = 16 * 1024 * 1024;
const MAX_CALL_DEPTH: usize = 32;
const TIMEOUT: Duration = Duration::from_secs(3);
const THREAD_NAME: &str = "operator's file";
/// A longer file is no list of values.
const MAX_FILE_BYTES: usize = 256 * 1024;

/// Reads a file's text; `name` is how errors call it.
///
/// Steps and memory are counted between steps only. Guards against one step that asks for gigabytes, as a text
/// multiplied by a million times a million does: the script runs on a thread of its own, whose panic is an error and
/// whose end is not waited for beyond a bound.
pub fn read(name: &str, text: &str) -> Result<OperatorConfig, String> {
    if text.len() > MAX_FILE_BYTES {
        return Err(format!("{name}: longer than {MAX_FILE_BYTES} bytes"));
    }
    silence_panics();
    let (sender, result) = channel();
    let (owned_name, owned_text) = (name.to_string(), text.to_string());
    let thread = Builder::new().name(THREAD_NAME.into());
    thread
        .spawn(move || drop(sender.send(evaluate(&owned_name, &owned_text))))
        .map_err(|why| format!("{name}: no thread to evaluate it on ({why})"))?;
    result.recv_timeout(TIMEOUT).unwrap_or_else(|why| {
        Err(match why {
            RecvTimeoutError::Timeout => format!("{name}: not evaluated within {} s", TIMEOUT.as_secs()),
            RecvTimeoutError::Disconnected => format!("{name}: asks for more memory than a file may"),
        })
    })
}

/// A script's panic is told as an error, not as a trace.
fn silence_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let default_hook = take_hook();
        set_hook(Box::new(move |info| {
            if std::thread::current().name() != Some(THREAD_NAME) {
                default_hook(info);
            }
        }));
    });
}

fn evaluate(name: &str, text: &str) -> Result<OperatorConfig, String> {
    let dialect = Dialect { enable_load: false, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast =
        AstModule::parse(name, text.to_string(), &dialect).map_err(|error| format_error(name, &error))?;
    let globals: Globals = GlobalsBuilder::standard().with(register_functions).build();
    let sections = ParsedSections::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        let bounded = (|| {
            eval.set_max_tick_count(MAX_TICKS)?;
            eval.set_max_heap_size(MAX_HEAP_BYTES)?;
            eval.set_max_callstack_size(MAX_CALL_DEPTH)
        })();
        bounded.map_err(|error| format!("{name}: {error}"))?;
        // What a file prints is nobody's.
        eval.set_print_handler(&DiscardOutput);
        eval.extra = Some(&sections);
        eval.eval_module(ast, &globals).map(drop).map_err(|error| format_error(name, &error))
    })?;
    let concerns_router = sections.concerns_router();
    let config = OperatorConfig {
        cores: sections.cores.take().unwrap_or_default(),
        log_format: sections.log.take().unwrap_or_default(),
        layouts: sections.layouts.take(),
        tier: sections.tier.take().unwrap_or_default(),
        peers: sections.peers.take(),
        control: sections.control.take(),
        subscription: sections.subscription.take(),
    };
    check_combination(&config, concerns_router).map_err(|error| format!("{name}: {error}"))?;
    Ok(config)
}

/// What may not be said in one file; `concerns_router` is whether anything of it is for a router.
fn check_combination(config: &OperatorConfig, concerns_router: bool) -> Result<(), &'static str> {
    let OperatorConfig { cores, layouts, tier, peers, control, subscription, .. } = config;
    let (is_tiered, has_one_core) = (*tier != Tier::Standalone, cores.count == CoreCount::Fixed(1));
    match () {
        _ if control.is_some() && concerns_router => {
            Err("`control` is of a program of its own: it goes with `log` only")
        }
        _ if is_tiered && layouts.is_some() => {
            Err("`layouts` goes with neither `forwarder` nor `planner` yet")
        }
        _ if is_tiered && !has_one_core => Err("`forwarder` and `planner` go with one core"),
        _ if is_tiered && peers.is_some() => Err("`peers` goes with neither `forwarder` nor `planner` yet"),
        _ if peers.is_some() && !has_one_core => Err("`peers` goes with one core yet"),
        _ if is_tiered && subscription.is_some() => {
            Err("`subscription` goes with neither `forwarder` nor `planner` yet")
        }
        _ => Ok(()),
    }
}

struct DiscardOutput;

impl starlark::PrintHandler for DiscardOutput {
    fn println(&self, _: &str) -> starlark::Result<()> {
        Ok(())
    }
}

/// One line: the file, the line where there is one, and what is at fault.
fn format_error(name: &str, error: &starlark::Error) -> String {
    let at = error.span().map(|span| format!(":{}", span.resolve_span().begin.line + 1));
    let text = error.without_diagnostic().to_string();
    let text: Vec<&str> = text.split_whitespace().collect();
    format!("{name}{}: {}", at.unwrap_or_default(), text.join(" "))
}
