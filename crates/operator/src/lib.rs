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
    Control, Cores, Count, KEPT_BACK, Layouts, LogForm, MOST_CONTROL, MOST_CORES, MOST_MEMBERS, MOST_TOLD_OF,
    Operator, Peers, Subscription, Tier,
};

use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use statements::{Said, subjects};
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
    let concerns_router = said.concerns_router();
    let operator = Operator {
        cores: said.cores.take().unwrap_or_default(),
        log: said.log.take().unwrap_or_default(),
        layouts: said.layouts.take(),
        tier: said.tier.take().unwrap_or_default(),
        peers: said.peers.take(),
        control: said.control.take(),
        subscription: said.subscription.take(),
    };
    check_combination(&operator, concerns_router).map_err(|why| format!("{name}: {why}"))?;
    Ok(operator)
}

/// What may not be said in one file; `concerns_router` is whether anything of it is for a router.
fn check_combination(operator: &Operator, concerns_router: bool) -> Result<(), &'static str> {
    let Operator { cores, layouts, tier, peers, control, subscription, .. } = operator;
    let (is_tiered, has_one_core) = (*tier != Tier::Alone, cores.count == Count::Cores(1));
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
