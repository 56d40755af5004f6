//! Command line arguments.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// sniperelay: a load balancer for servers whose load shifts in milliseconds.
#[derive(Debug, FromArgs)]
pub struct SniperelayArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands of `sniperelay`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry VM.
    Serve(ServeArgs),
    /// Runs an entry VM on a hosted platform.
    Relay(RelayArgs),
    /// Works with service documents.
    Config(ConfigArgs),
    /// Shows the status of entry VMs.
    Status(StatusArgs),
    /// Looks up the entry VMs of a service.
    Lookup(LookupArgs),
    /// Prints the log lines of a request.
    Explain(ExplainArgs),
    /// Requests a planned stop of an entry VM.
    Drain(DrainArgs),
}

/// run an entry VM until SIGTERM, SIGINT or a drain; SIGHUP reloads certificates and keys
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// run an entry VM on a hosted platform that stores configuration and targets, until SIGTERM or SIGINT
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// print the log lines of one request from log files, in time order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// ID of the request
    #[argh(option)]
    pub request: String,
    /// log files of entry VMs, in JSON format (json = yes)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// work with service documents
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// Commands on service documents.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Validates files.
    Check(CheckArgs),
    /// Prints a stored document.
    Get(GetArgs),
    /// Edits a document.
    Put(PutArgs),
    /// Compares a file with the stored document.
    Diff(DiffArgs),
    /// Shows the active version on each entry VM.
    Status(ConfigStatusArgs),
}

/// validate service documents locally and report all errors
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files to validate
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// print the stored document of a service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// service name
    #[argh(positional)]
    pub service: String,
}

/// store and activate a document, unless it was edited since the base version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// version on which the file is based; 0 for a new service
    #[argh(option)]
    pub base: u64,
    /// file with the bearer token of a team that may edit the document
    #[argh(option)]
    pub token_file: PathBuf,
    /// file with the service document
    #[argh(positional)]
    pub file: PathBuf,
}

/// print the differences between the stored document and a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// file with the service document
    #[argh(positional)]
    pub file: PathBuf,
}

/// show which version of a document is active on each entry VM, and since when
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// service name
    #[argh(positional)]
    pub service: String,
}

/// show the status of entry VMs: active versions, results per rank, refusals with reasons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operator address of an entry VM; may be repeated
    #[argh(option)]
    pub operator: Vec<SocketAddr>,
    /// print JSON, one object per line
    #[argh(switch)]
    pub json: bool,
}

/// look up the entry VMs of a service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookup")]
pub struct LookupArgs {
    /// caller address of any entry VM
    #[argh(option)]
    pub address: SocketAddr,
    /// failure domain of the caller
    #[argh(option)]
    pub domain: Option<String>,
    /// service name
    #[argh(positional)]
    pub service: String,
}

/// request a planned stop of an entry VM; requests in flight are completed
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// operator address of the entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// file with the bearer token of the admin team
    #[argh(option)]
    pub token_file: PathBuf,
}
