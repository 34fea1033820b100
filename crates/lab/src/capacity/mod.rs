//! The capacity page: what each role spends at the users' size, made anew from results. `size` holds the users' figures and
//! the arithmetic, `results` what runs left, `fit` the lines through them, `plan` what has to be known and reckoned,
//! `page` the page's made blocks, `words` the scale test of words among routers. Prose on the page is left as it is.
pub mod fit;
pub mod keys;
pub mod page;
pub mod plan;
pub mod results;
pub mod size;
pub mod words;

use clap::{Args, Subcommand};
use plan::Plan;
use results::Results;
use size::Size;
use std::path::{Path, PathBuf};

/// Makes the tables of the capacity page anew from results.
#[derive(Args, Clone)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Capacity {
    #[command(subcommand)]
    run: Option<Runs>,
    /// Folder of results, with size.json and plan.json
    #[arg(long, value_name = "DIR", default_value = "docs/capacity")]
    results: PathBuf,
    /// The page whose blocks are made
    #[arg(long, value_name = "FILE", default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Writes nothing; an error where the page is not what results give
    #[arg(long)]
    check: bool,
}

#[derive(Subcommand, Clone)]
enum Runs {
    /// Words among routers by their count, in a mesh of views without sockets
    Words(words::Test),
}

/// All that the page is made from.
pub struct Sources {
    pub size: Size,
    pub plan: Plan,
    pub results: Results,
}

impl Sources {
    pub fn read(folder: &Path) -> Result<Sources, String> {
        let size = Size::read(&folder.join("size.json"))?;
        let plan = Plan::read(&folder.join("plan.json"), &size)?;
        Ok(Sources { size, plan, results: Results::read(folder)? })
    }
}

/// Makes the page's blocks anew, or only compares them.
pub fn make(folder: &Path, page: &Path, check: bool) -> Result<(), String> {
    let sources = Sources::read(folder)?;
    let text = std::fs::read_to_string(page).map_err(|why| format!("{}: {why}", page.display()))?;
    let made = page::make(&text, &sources).map_err(|why| format!("{}: {why}", page.display()))?;
    if check {
        return page::same(&text, &made).map_err(|why| format!("{}: {why}", page.display()));
    }
    std::fs::write(page, made).map_err(|why| format!("{}: {why}", page.display()))
}

impl Capacity {
    pub fn run(&self) -> Result<bool, String> {
        match &self.run {
            Some(Runs::Words(test)) => test.run()?,
            None => make(&self.results, &self.page, self.check)?,
        }
        Ok(true)
    }
}
