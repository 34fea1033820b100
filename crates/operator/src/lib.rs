//! Reads the operator's file, in which the person who runs an installation configures what differs from the
//! defaults. The file is a Starlark script. `read` evaluates the text of the file once, with limits on steps,
//! memory and call depth, and returns plain values, or a one-line error with the file name, the line and the
//! reason. The script can't access files, the network or other modules.
//!
//! Each section of the file is a function call, for example `cores(count = 4)`, and may appear once. A
//! missing section or argument has its default value. Unknown names, values of the wrong type, repeated
//! sections and sections that can't be combined are rejected.
mod arguments;
mod statements;
mod values;

pub use values::{
    ControlConfig, CoreCount, CoresConfig, FORWARDER_QUOTA_FRACTION, LayoutsConfig, LogFormat,
    MAX_CONTROL_SERVERS, MAX_CORES, MAX_PEERS, MAX_SUBSCRIPTION_SERVERS, OperatorConfig, PeersConfig,
    ProcessRole, SubscriptionConfig,
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

/// The largest number of steps of the Starlark interpreter. An endless loop reaches the limit within a
/// fraction of a second.
const MAX_TICKS: u64 = 200_000;
/// Limits the memory of the values of a script.
const MAX_HEAP_BYTES: usize = 16 * 1024 * 1024;
/// Limits nested function calls.
const MAX_CALL_DEPTH: usize = 32;
/// The longest time that `read` waits until the Starlark code of an operator's file has been evaluated.
const TIMEOUT: Duration = Duration::from_secs(3);
const THREAD_NAME: &str = "operator's file";
/// A longer file is rejected. A file with every section is far shorter than this limit.
const MAX_FILE_BYTES: usize = 256 * 1024;

/// Evaluates the text of an operator's file. Error messages contain the file name `name`.
///
/// The interpreter checks the limits on steps and memory only between steps, but a single step, such as the
/// repetition of a string a million million times, can allocate gigabytes. The script is therefore evaluated
/// on a separate thread: a panic of the thread is returned as an error, and after `TIMEOUT` an error is
/// returned while the thread continues.
///
/// # Errors
/// One line with the file name, the line number if it is known, and the reason.
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

/// Replaces the panic hook of the process by one that prints nothing for a panic of the thread that evaluates
/// a script, since `read` returns that panic as an error.
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
    let configures_router = sections.configures_router();
    let config = OperatorConfig {
        cores: sections.cores.take().unwrap_or_default(),
        log_format: sections.log.take().unwrap_or_default(),
        layouts: sections.layouts.take(),
        role: sections.role.take().unwrap_or_default(),
        peers: sections.peers.take(),
        control: sections.control.take(),
        subscription: sections.subscription.take(),
    };
    check_combination(&config, configures_router).map_err(|error| format!("{name}: {error}"))?;
    Ok(config)
}

/// Rejects sections that can't be combined. `configures_router` is true if the file contains a section for
/// routers.
fn check_combination(config: &OperatorConfig, configures_router: bool) -> Result<(), &'static str> {
    let OperatorConfig { cores, layouts, role, peers, control, subscription, .. } = config;
    let (is_forwarder_or_planner, has_one_core) =
        (*role != ProcessRole::Standalone, cores.count == CoreCount::Fixed(1));
    match () {
        _ if control.is_some() && configures_router => {
            Err("`control` configures a control server and can only be combined with `log`")
        }
        _ if is_forwarder_or_planner && layouts.is_some() => {
            Err("`layouts` can't be combined with `forwarder` or `planner` yet")
        }
        _ if is_forwarder_or_planner && !has_one_core => Err("`forwarder` and `planner` require one core"),
        _ if is_forwarder_or_planner && peers.is_some() => {
            Err("`peers` can't be combined with `forwarder` or `planner` yet")
        }
        _ if peers.is_some() && !has_one_core => Err("`peers` supports only one core yet"),
        _ if is_forwarder_or_planner && subscription.is_some() => {
            Err("`subscription` can't be combined with `forwarder` or `planner` yet")
        }
        _ => Ok(()),
    }
}

/// Discards the output of `print` calls in an operator's file.
struct DiscardOutput;

impl starlark::PrintHandler for DiscardOutput {
    fn println(&self, _: &str) -> starlark::Result<()> {
        Ok(())
    }
}

/// Formats an error as one line with the file name, the line number if it is known, and the reason.
fn format_error(name: &str, error: &starlark::Error) -> String {
    let at = error.span().map(|span| format!(":{}", span.resolve_span().begin.line + 1));
    let text = error.without_diagnostic().to_string();
    let text: Vec<&str> = text.split_whitespace().collect();
    format!("{name}{}: {}", at.unwrap_or_default(), text.join(" "))
}
