//! The `sniperelay` command: the entry VM daemon and the command line for operators.
//!
//! Exit codes:
//!
//! - 0: success;
//! - 1: failure, such as an entry VM that cannot be reached;
//! - 2: wrong usage or invalid input;
//! - 3: refused, or conflict with another edit;
//! - 4: result unknown (`open`), because the platform did not respond.
//!
//! Error messages go to stderr. Each says what failed, where, and what to do.
//!
//! | module | job |
//! |---|---|
//! | [`args`] | command line arguments |
//! | [`client`] | HTTP client for requests to an entry VM |
//! | [`config`] | the `config` commands |
//! | [`explain`] | the `explain` command |
//! | [`status`] | the `status`, `lookup` and `drain` commands |

mod args;
mod client;
mod config;
mod explain;
mod status;

use anyhow::{Context, Result};
use args::{Command, ConfigCommand, SniperelayArgs};
use std::path::Path;
use std::process::ExitCode;

/// Outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded.
    Success,
    /// The command failed.
    Failed,
    /// The usage was wrong or the input invalid.
    Invalid,
    /// The entry VM refused the request, or another edit came first.
    Refused,
    /// The result is unknown: the platform did not respond.
    Unknown,
}

impl CommandOutcome {
    fn exit_code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Invalid => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
        }
    }
}

fn main() -> ExitCode {
    let args: SniperelayArgs = argh::from_env();
    let outcome = run_command(args.command).unwrap_or_else(|error| {
        eprintln!("sniperelay: {error:#}");
        CommandOutcome::Failed
    });
    ExitCode::from(outcome.exit_code())
}

fn run_command(command: Command) -> Result<CommandOutcome> {
    match command {
        Command::Serve(serve) => run_serve(&serve),
        Command::Relay(relay) => run_relay(&relay),
        Command::Config(config) => match config.command {
            ConfigCommand::Check(check) => config::check_files(&check),
            ConfigCommand::Get(get) => block_on(config::get_document(&get)),
            ConfigCommand::Put(put) => block_on(config::put_document(&put)),
            ConfigCommand::Status(status) => block_on(config::show_versions(&status)),
            ConfigCommand::Diff(diff) => block_on(config::diff_document(&diff)),
        },
        Command::Status(args) => block_on(status::show_status(&args)),
        Command::Lookup(args) => block_on(status::show_lookup(&args)),
        Command::Explain(args) => explain::explain_request(&args),
        Command::Drain(args) => block_on(status::request_drain(&args)),
    }
}

fn run_serve(serve: &args::ServeArgs) -> Result<CommandOutcome> {
    run_daemon(&serve.settings, sniperelay_config::parse_settings, sniperelay_node::run_until_signal)
}

fn run_relay(relay: &args::RelayArgs) -> Result<CommandOutcome> {
    run_daemon(&relay.settings, sniperelay_config::parse_relay_settings, sniperelay_relay::run_until_signal)
}

/// Reads and parses a settings file, and runs the daemon until it stops. `run` returns whether the stop
/// was clean.
fn run_daemon<T>(
    file: &Path,
    parse: impl Fn(&str, &str) -> sniperelay_config::reader::Result<T>,
    run: impl Fn(T) -> Result<bool>,
) -> Result<CommandOutcome> {
    let path = file.display();
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read settings file {path}"))?;
    let settings = match parse(&path.to_string(), &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{findings}");
            return Ok(CommandOutcome::Invalid);
        }
    };
    let is_clean = run(settings)?;
    Ok(if is_clean { CommandOutcome::Success } else { CommandOutcome::Failed })
}

/// Runs an asynchronous command on a single-threaded runtime.
fn block_on(command: impl Future<Output = Result<CommandOutcome>>) -> Result<CommandOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(command)
}
