//! The operator's file: a Starlark script with the settings of an installation that differ from the platform's defaults. It
//! is evaluated once, with limits on steps, memory and call depth, into plain values. The script has no access to files,
//! the network or other modules. `read` evaluates its text and returns the values, or a one-line error with the file, the
//! line and the reason. Settings that the file does not contain have their defaults.
//!
//! Each section is a function call, which may appear once: `cores(count = 4)`, `log(form = "json")`. Unknown names, values of
//! the wrong type, repeated sections and contradicting sections are rejected.
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

/// Limits of an evaluation. They exceed what a list of settings needs by far, and are reached within a fraction of a second.
const MAX_TICKS: u64 = 200_000;
const MAX_HEAP_BYTES: usize = 16 * 1024 * 1024;
const MAX_CALL_DEPTH: usize = 32;
const TIMEOUT: Duration = Duration::from_secs(3);
const THREAD_NAME: &str = "operator's file";
/// A list of settings is far shorter.
const MAX_FILE_BYTES: usize = 256 * 1024;

/// Evaluates the text of an operator's file. `name` is the name of the file in error messages.
///
/// The limits on steps and memory are checked between steps only. Guards against a single step that allocates gigabytes,
/// such as a string multiplied by a million times a million: the script runs on its own thread, whose panic is returned as
/// an error, and which is not waited for after a timeout.
///
/// # Errors
/// One line with the file, the line if it is known, and the reason.
pub fn read(name: &str, text: &str) -> Result<OperatorConfig, String> {
    if text.len() > MAX_FILE_BYTES {
        return Err(format!("{name}: longer than {MAX_FILE_BYTES} bytes"));
    }
    silence_panics();
    let (sender, receiver) = channel();
    let (owned_name, owned_text) = (name.to_string(), text.to_string());
    let thread = Builder::new().name(THREAD_NAME.into());
    thread
        .spawn(move || drop(sender.send(evaluate(&owned_name, &owned_text))))
        .map_err(|error| format!("{name}: cannot start a thread to evaluate the file: {error}"))?;
    receiver.recv_timeout(TIMEOUT).unwrap_or_else(|error| {
        Err(match error {
            RecvTimeoutError::Timeout => {
                format!("{name}: evaluation timed out after {} s", TIMEOUT.as_secs())
            }
            RecvTimeoutError::Disconnected => {
                format!("{name}: evaluation panicked, probably because it requested too much memory")
            }
        })
    })
}

/// Prints no backtrace for a panic of a script, which is returned as an error.
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
        let limited = (|| {
            eval.set_max_tick_count(MAX_TICKS)?;
            eval.set_max_heap_size(MAX_HEAP_BYTES)?;
            eval.set_max_callstack_size(MAX_CALL_DEPTH)
        })();
        limited.map_err(|error| format!("{name}: {error}"))?;
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

/// Rejects sections that can't be used together. `concerns_router` says whether any section configures a router.
fn check_combination(config: &OperatorConfig, concerns_router: bool) -> Result<(), &'static str> {
    let OperatorConfig { cores, layouts, tier, peers, control, subscription, .. } = config;
    let (is_tiered, has_one_core) = (*tier != Tier::Standalone, cores.count == CoreCount::Fixed(1));
    match () {
        _ if control.is_some() && concerns_router => {
            Err("`control` configures a control server and can only be combined with `log`")
        }
        _ if is_tiered && layouts.is_some() => {
            Err("`layouts` can't be combined with `forwarder` or `planner` yet")
        }
        _ if is_tiered && !has_one_core => Err("`forwarder` and `planner` require one core"),
        _ if is_tiered && peers.is_some() => {
            Err("`peers` can't be combined with `forwarder` or `planner` yet")
        }
        _ if peers.is_some() && !has_one_core => Err("`peers` supports only one core yet"),
        _ if is_tiered && subscription.is_some() => {
            Err("`subscription` can't be combined with `forwarder` or `planner` yet")
        }
        _ => Ok(()),
    }
}

/// Ignores what a script prints.
struct DiscardOutput;

impl starlark::PrintHandler for DiscardOutput {
    fn println(&self, _: &str) -> starlark::Result<()> {
        Ok(())
    }
}

/// One line with the file, the line if it is known, and the reason.
fn format_error(name: &str, error: &starlark::Error) -> String {
    let at = error.span().map(|span| format!(":{}", span.resolve_span().begin.line + 1));
    let text = error.without_diagnostic().to_string();
    let text: Vec<&str> = text.split_whitespace().collect();
    format!("{name}{}: {}", at.unwrap_or_default(), text.join(" "))
}
