//! The command line.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// sniperelay: a load balancer for servers whose load shifts in milliseconds.
#[derive(Debug, FromArgs)]
pub struct SniperelayArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an entry VM.
    Serve(ServeArgs),
    /// Runs an entry VM on a hosted platform.
    Relay(RelayArgs),
    /// Works with service documents.
    Config(ConfigArgs),
    /// Shows status.
    Status(StatusArgs),
    /// Asks which entry VMs to use.
    Lookup(LookupArgs),
    /// Tells the story of a request from log files.
    Explain(ExplainArgs),
    /// Asks for a planned stop.
    Drain(DrainArgs),
}

/// run an entry VM until SIGTERM, SIGINT or a drain; SIGHUP reloads keys
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// file with the settings
    #[argh(option)]
    pub settings: PathBuf,
}

/// run an entry VM on a platform that keeps configuration and targets, until SIGTERM or SIGINT
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// file with the settings
    #[argh(option)]
    pub settings: PathBuf,
}

/// print what log files say of one request, in order of time
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request
    #[argh(option)]
    pub request: String,
    /// log files of entry VMs, written with json = yes
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// work with service documents
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// Commands on documents.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Checks files.
    Check(CheckArgs),
    /// Reads a document.
    Get(GetArgs),
    /// Edits a document.
    Put(PutArgs),
    /// Compares a file with the stored document.
    Diff(DiffArgs),
    /// Shows the version in force on each entry VM.
    Status(ConfigStatusArgs),
}

/// check service documents and report all findings; nothing is sent
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files to check
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
    /// service
    #[argh(positional)]
    pub service: String,
}

/// put a document in force, unless another edit came first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// version that the file was edited from; 0 for a new service
    #[argh(option)]
    pub base: u64,
    /// file with the bearer token of the team
    #[argh(option)]
    pub token_file: PathBuf,
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// compare a file with the stored document
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// file with the document
    #[argh(positional)]
    pub file: PathBuf,
}

/// show the version of a document in force on each entry VM, and since when
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArgs {
    /// operator address of any entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// service
    #[argh(positional)]
    pub service: String,
}

/// show the status of entry VMs: versions in force, service per rank, refusals and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operator address of an entry VM; may be given several times
    #[argh(option)]
    pub operator: Vec<SocketAddr>,
    /// print JSON, one object a line
    #[argh(switch)]
    pub json: bool,
}

/// ask which entry VMs to use for a service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookup")]
pub struct LookupArgs {
    /// caller address of any entry VM
    #[argh(option)]
    pub address: SocketAddr,
    /// failure domain of the caller
    #[argh(option)]
    pub domain: Option<String>,
    /// service
    #[argh(positional)]
    pub service: String,
}

/// ask an entry VM for a planned stop; it cuts off no request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// operator address of the entry VM
    #[argh(option)]
    pub operator: SocketAddr,
    /// file with the token of the admin team
    #[argh(option)]
    pub token_file: PathBuf,
}
