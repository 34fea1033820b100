//! `alderway control`: a control machine by the operator's file.
use crate::settings;
use alderway_control::outlet::{Nowhere, Outlet};
use alderway_controller::driver::{self, Plan};
use alderway_operator::{LogForm, Operator};
use alderway_router::life::logger::{self, Form};
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Control {
    /// The operator's file; it says `control(...)`
    #[arg(long, value_name = "FILE")]
    operator: PathBuf,
}

fn plan(operator: &Operator, path: &std::path::Path) -> Result<Plan, String> {
    let Some(control) = operator.control.clone() else {
        return Err(format!("{}: it says nothing of `control`", path.display()));
    };
    Ok(Plan {
        name: control.name,
        members: control.members,
        doors: control.doors,
        data: control.data.into(),
        check: Box::new(settings::check),
        outlet: Box::new(|| Box::pin(async { Ok(Box::new(Nowhere) as Box<dyn Outlet>) })),
    })
}

pub fn run(control: &Control) -> ExitCode {
    let read = crate::operator_at(Some(&control.operator));
    let planned = read.and_then(|(operator, _)| Ok((plan(&operator, &control.operator)?, operator.log)));
    let (plan, log) = match planned {
        Ok(planned) => planned,
        Err(why) => {
            eprintln!("alderway: {why}");
            return ExitCode::from(2);
        }
    };
    logger::start(match log {
        LogForm::Text => Form::Text,
        LogForm::Json => Form::Json,
    });
    match driver::run(plan) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("alderway: {why}");
            ExitCode::FAILURE
        }
    }
}
