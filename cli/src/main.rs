//! Command-line tool for operators of wasabistall.

mod commands;
mod deployment;
mod flags;
mod http;
mod output;

use std::process::ExitCode;

use eyre::Result;

use self::{
    deployment::Deployment,
    flags::{Wasabistall, WasabistallCmd as Command},
    output::Output,
};

/// Exit code of a command that ran and found problems.
const EXIT_PROBLEMS: u8 = 2;

/// Result of a command that ran to its end; errors are reported separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// The command succeeded.
    Success,
    /// The command found problems, such as an invalid file, a rejected patch or an unreachable
    /// instance.
    Problems,
}

fn main() -> ExitCode {
    let flags = match Wasabistall::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match start(flags) {
        Ok(CommandOutcome::Success) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Problems) => ExitCode::from(EXIT_PROBLEMS),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(flags: Wasabistall) -> Result<CommandOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(flags))
}

async fn run(flags: Wasabistall) -> Result<CommandOutcome> {
    let output = Output::from_flag(flags.format.as_deref())?;
    let deployment = || Deployment::load(flags.deployment.as_deref());
    match flags.subcommand {
        Command::Settings(command) => commands::settings::run(&command, output),
        Command::Errors(_) => commands::errors::run(output),
        Command::ExplainRequest(command) => commands::explain::run(&command, output),
        Command::Key(command) => commands::key::run(&command, output),
        Command::Token(_) => commands::token::run(output),
        Command::Patch(command) => commands::patch::run(command, &deployment()?, output).await,
        Command::Config(command) => commands::config::run(&command, &deployment()?, output).await,
        Command::Status(_) => commands::status::run(&deployment()?, output).await,
        Command::Usage(command) => commands::usage::run(&command, &deployment()?, output).await,
        Command::Route(command) => commands::route::run(&command, deployment, output).await,
        Command::Ask(command) => commands::ask::run(&command, &deployment()?).await,
    }
}
