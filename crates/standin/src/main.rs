//! Command line of the stand-ins: `demo`, `bench` and `soak`.

use anyhow::{Result, bail};
use argh::FromArgs;
use sniperelay_standin::bench;
use sniperelay_standin::soak::accounts::{AccountPlan, run_account_soak};
use sniperelay_standin::soak::stops::{StopPlan, run_stop_soak};
use sniperelay_standin::soak::{ENTRY_VM_COUNT, SoakPlan, run_soak};
use std::process::ExitCode;

/// Stand-ins for the platform, targets and callers, with a demo, benchmarks and a fault soak.
#[derive(Debug, FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Demo(DemoArgs),
    Bench(BenchArgs),
    Soak(SoakArgs),
}

/// Demonstrate load balancing over real sockets, with checks; exit code 0 only if every check passes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// Run a benchmark; exit code 1 if a bound does not hold.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
struct BenchArgs {
    /// benchmark to run: policy, latency, decision, claims, whole, config or capacity
    #[argh(positional)]
    name: String,
    /// scenario of the policy benchmark, or all
    #[argh(option, default = "\"steady-90\".to_owned()")]
    scenario: String,
    /// routing policy of the policy benchmark
    #[argh(option, default = "\"slot-credit\".to_owned()")]
    policy: String,
    /// routing policy that the policy benchmark compares with
    #[argh(option)]
    baseline: Option<String>,
    /// first seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds, starting with --seed
    #[argh(option, default = "1")]
    seeds: u64,
    /// sweep of the capacity benchmark: entry-vms, targets, services, changes, calls or all
    #[argh(option, default = "\"all\".to_owned()")]
    sweep: String,
    /// number of requests of the claims and whole benchmarks
    #[argh(option, default = "100_000")]
    requests: u64,
    /// print JSON, one object per line
    #[argh(switch)]
    json: bool,
}

/// Run entry VM processes under faults; exit code 1 if a guarantee is violated.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds, starting with --seed
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of faults per seed
    #[argh(option, default = "20")]
    faults: usize,
    /// also send a request again and again that crashes each target that begins to run it, and check that it is
    /// hardly sent on once it has crashed three; the other faults of a seed stay the same
    #[argh(switch)]
    crashing_requests: bool,
    /// let some targets state limits, and check that they are kept; there are pauses between the faults
    #[argh(switch)]
    stated_limits: bool,
    /// only stop processes, in series that overlap, and check that each request is answered; --faults is the number of
    /// stops
    #[argh(switch)]
    planned_stops: bool,
    /// send requests with API keys of client accounts, remove keys, evacuate a failure domain and restart targets cold, and
    /// check what targets get
    #[argh(switch)]
    accounts: bool,
    /// number of entry VM processes, up to 250
    #[argh(option, default = "ENTRY_VM_COUNT")]
    entry_vms: usize,
    /// path of the sniperelay binary
    #[argh(option, default = "std::path::PathBuf::from(\"target/release/sniperelay\")")]
    binary: std::path::PathBuf,
}

/// Runs one soak per seed. Returns whether all guarantees held.
async fn run_soaks(args: &SoakArgs) -> Result<bool> {
    let mut all_hold = true;
    anyhow::ensure!((1..=250).contains(&args.entry_vms), "--entry-vms must be 1 to 250");
    for seed in args.seed..args.seed + args.seeds {
        if args.planned_stops {
            all_hold &= run_planned_stops(args, seed).await?;
            continue;
        }
        if args.accounts {
            all_hold &= run_accounts(args, seed).await?;
            continue;
        }
        let plan = SoakPlan {
            binary: args.binary.clone(),
            seed,
            fault_count: args.faults,
            entry_vm_count: args.entry_vms,
            crashing_requests: args.crashing_requests,
            stated_limits: args.stated_limits,
        };
        let report = run_soak(&plan).await?;
        println!(
            "seed {seed}: {} requests, {} served, {} guarantees violated",
            report.requests,
            report.served,
            report.violations.len()
        );
        if args.stated_limits {
            println!("  stated limits checked in {} windows", report.limit_windows);
        }
        if args.crashing_requests {
            println!(
                "  {} targets crashed by a request, {} late sends of it",
                report.crashes, report.late_sends
            );
        }
        if !report.violations.is_empty() {
            all_hold = false;
            println!("  faults: {}", report.faults.join(", "));
            report.violations.iter().take(20).for_each(|violation| println!("  {violation}"));
            let crashing = if args.crashing_requests { " --crashing-requests" } else { "" };
            let limits = if args.stated_limits { " --stated-limits" } else { "" };
            let option = format!("{crashing}{limits}");
            println!(
                "  to reproduce: cargo run --release -p sniperelay-standin -- soak --seed {seed} --faults {}{option}",
                args.faults
            );
        }
    }
    Ok(all_hold)
}

/// Runs one soak of planned stops. Returns whether all guarantees held.
async fn run_planned_stops(args: &SoakArgs, seed: u64) -> Result<bool> {
    let plan = StopPlan {
        binary: args.binary.clone(),
        seed,
        entry_vm_count: args.entry_vms,
        stop_count: args.faults,
    };
    let report = run_stop_soak(&plan).await?;
    println!(
        "seed {seed}: {} requests, {} served, {} guarantees violated",
        report.requests,
        report.served,
        report.violations.len()
    );
    if report.violations.is_empty() {
        return Ok(true);
    }
    println!("  stops: {}", report.stops.join(", "));
    report.violations.iter().take(20).for_each(|violation| println!("  {violation}"));
    println!(
        "  to reproduce: cargo run --release -p sniperelay-standin -- soak --seed {seed} --faults {} --planned-stops --entry-vms {}",
        args.faults, args.entry_vms
    );
    Ok(false)
}

/// Runs one soak of client accounts. Returns whether all guarantees held.
async fn run_accounts(args: &SoakArgs, seed: u64) -> Result<bool> {
    let plan = AccountPlan {
        binary: args.binary.clone(),
        seed,
        entry_vm_count: args.entry_vms,
        fault_count: args.faults,
    };
    let report = run_account_soak(&plan).await?;
    println!(
        "seed {seed}: {} requests, {} ran, {} guarantees violated",
        report.requests,
        report.arrivals,
        report.violations.len()
    );
    if report.violations.is_empty() {
        return Ok(true);
    }
    println!("  faults: {}", report.faults.join(", "));
    report.violations.iter().take(20).for_each(|violation| println!("  {violation}"));
    println!(
        "  to reproduce: cargo run --release -p sniperelay-standin -- soak --seed {seed} --faults {} --accounts",
        args.faults
    );
    Ok(false)
}

/// Names of the benchmarks, for error messages.
const BENCH_NAMES: &str = "policy, latency, decision, claims, whole, config or capacity";

/// Runs a benchmark once per seed. Returns whether all bounds held.
async fn run_bench(args: &BenchArgs) -> Result<bool> {
    let mut all_hold = true;
    for seed in args.seed..args.seed + args.seeds.max(1) {
        let figures = match args.name.as_str() {
            "policy" => run_policies(args, seed).await?,
            "latency" => bench::latency::bench_latency(seed).await?,
            "decision" => bench::decision::bench_decision(seed),
            "claims" => bench::guarantees::bench_claims(args.requests, seed).await?,
            "whole" => bench::guarantees::bench_whole(args.requests, seed).await?,
            "config" => bench::config::bench_config(seed).await?,
            "capacity" => bench::capacity::bench_capacity(&args.sweep, seed).await?,
            other => bail!("unknown benchmark '{other}', must be {BENCH_NAMES}"),
        };
        all_hold &= bench::report::print_figures(&figures, args.json);
    }
    Ok(all_hold)
}

/// Runs the policy benchmark on one or all scenarios.
async fn run_policies(args: &BenchArgs, seed: u64) -> Result<Vec<bench::report::BenchFigure>> {
    let all = bench::scenario::Scenario::ALL.iter().map(|(name, _)| *name);
    let names: Vec<&str> = if args.scenario == "all" { all.collect() } else { vec![&args.scenario] };
    let mut figures = Vec::new();
    for name in names {
        figures
            .extend(bench::policy::bench_policy(name, &args.policy, args.baseline.as_deref(), seed).await?);
    }
    Ok(figures)
}

fn main() -> Result<ExitCode> {
    let args: StandinArgs = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let holds = match args.command {
        StandinCommand::Demo(DemoArgs {}) => runtime.block_on(sniperelay_standin::demo::run_demo())?,
        StandinCommand::Bench(args) => runtime.block_on(run_bench(&args))?,
        StandinCommand::Soak(args) => runtime.block_on(run_soaks(&args))?,
    };
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
