//! Command of the stand-ins: `demo` and `bench`.

use anyhow::Result;
use argh::FromArgs;
use std::process::ExitCode;

/// Stand-ins of platform, targets and callers; demo and benches.
#[derive(Debug, FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Demo(DemoArgs),
}

/// Show the main job on real sockets, with checks; exit code 0 only if every check held.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

fn main() -> Result<ExitCode> {
    let args: StandinArgs = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let holds = match args.command {
        StandinCommand::Demo(DemoArgs {}) => runtime.block_on(sniperelay_standin::demo::run_demo())?,
    };
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
