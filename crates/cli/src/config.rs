//! The `config` commands.

use crate::CommandOutcome;
use crate::args::{CheckArgs, ConfigStatusArgs, DiffArgs, GetArgs, PutArgs};
use crate::client::{ClientResponse, read_token, send_request};
use anyhow::{Context, Result};
use http::{Method, StatusCode};
use sniperelay_config::parse_document;
use sniperelay_core::document::ServiceDocument;
use sniperelay_node::operator::OperatorError;
use sniperelay_node::operator::config::{ConfigResponse, VersionRow};
use std::net::SocketAddr;
use std::path::Path;

/// Validates files and prints all errors.
pub fn check_files(args: &CheckArgs) -> Result<CommandOutcome> {
    let mut outcome = CommandOutcome::Success;
    if args.files.is_empty() {
        eprintln!("sniperelay: name at least one file to check");
        return Ok(CommandOutcome::Invalid);
    }
    for file in &args.files {
        match read_document(file)? {
            Some((document, _)) => println!("{}: service {} is valid", file.display(), document.name),
            None => outcome = CommandOutcome::Invalid,
        }
    }
    Ok(outcome)
}

/// Prints the stored document.
pub async fn get_document(args: &GetArgs) -> Result<CommandOutcome> {
    let response = fetch_document(args.operator, &args.service).await?;
    let Some(stored) = response else { return Ok(CommandOutcome::Refused) };
    if let Some(latest) = &stored.latest {
        eprintln!("version {} by {}", latest.generation, latest.author);
    }
    print!("{}", stored.text.unwrap_or_default());
    Ok(CommandOutcome::Success)
}

/// Stores and activates a document. After a conflict, prints the differences from the stored one.
pub async fn put_document(args: &PutArgs) -> Result<CommandOutcome> {
    let Some((document, text)) = read_document(&args.file)? else { return Ok(CommandOutcome::Invalid) };
    let token = read_token(&args.token_file)?;
    let path = format!("/config/{}?base={}", document.name, args.base);
    let response = send_request(args.operator, Method::PUT, &path, Some(&token), text.clone()).await?;
    let Ok(result) = serde_json::from_str::<ConfigResponse>(&response.text) else {
        return Ok(report_error(&response));
    };
    let latest = result.latest.as_ref();
    let version =
        latest.map_or(String::new(), |mark| format!(" (version {} by {})", mark.generation, mark.author));
    eprintln!("{}: {}{version}", result.result, result.message);
    if result.result == "conflict" {
        print_difference(&result.text.unwrap_or_default(), &text);
    }
    Ok(match response.status {
        StatusCode::OK => CommandOutcome::Success,
        StatusCode::GATEWAY_TIMEOUT => CommandOutcome::Unknown,
        _ => CommandOutcome::Refused,
    })
}

/// Prints the differences between the stored document and a file.
pub async fn diff_document(args: &DiffArgs) -> Result<CommandOutcome> {
    let Some((document, text)) = read_document(&args.file)? else { return Ok(CommandOutcome::Invalid) };
    let Some(stored) = fetch_document(args.operator, &document.name).await? else {
        return Ok(CommandOutcome::Refused);
    };
    print_difference(&stored.text.unwrap_or_default(), &text);
    Ok(CommandOutcome::Success)
}

/// Prints the active version of a document on each entry VM, since when it is active, and when the
/// status was written to the platform. Times are in milliseconds since the Unix epoch.
pub async fn show_versions(args: &ConfigStatusArgs) -> Result<CommandOutcome> {
    let path = format!("/config/{}/versions", args.service);
    let response = send_request(args.operator, Method::GET, &path, None, String::new()).await?;
    if response.status != StatusCode::OK {
        return Ok(report_error(&response));
    }
    let rows: Vec<VersionRow> = serde_json::from_str(&response.text).context("malformed response")?;
    println!("{:<24}{:>9}  {:<22}written", "entry VM", "version", "in force since");
    for row in rows {
        let (version, since) = row.version.map_or(("none".to_owned(), "-".to_owned()), |version| {
            (version.generation.to_string(), version.since_unix_ms.to_string())
        });
        println!("{:<24}{version:>9}  {since:<22}{}", row.caller_address, row.written_unix_ms);
    }
    Ok(CommandOutcome::Success)
}

/// Reads and parses a document. If it is invalid, prints the errors and returns `None`.
fn read_document(file: &Path) -> Result<Option<(ServiceDocument, String)>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    match parse_document(&file.display().to_string(), &text) {
        Ok(document) => Ok(Some((document, text))),
        Err(findings) => {
            eprint!("{findings}");
            Ok(None)
        }
    }
}

/// Fetches a stored document. If the entry VM refuses, prints the error and returns `None`.
async fn fetch_document(operator: SocketAddr, service: &str) -> Result<Option<ConfigResponse>> {
    let response =
        send_request(operator, Method::GET, &format!("/config/{service}"), None, String::new()).await?;
    if response.status != StatusCode::OK {
        report_error(&response);
        return Ok(None);
    }
    Ok(Some(serde_json::from_str(&response.text).context("malformed response")?))
}

/// Prints the error in a response and returns the outcome of the command.
fn report_error(response: &ClientResponse) -> CommandOutcome {
    let error = serde_json::from_str::<OperatorError>(&response.text).map(|parsed| parsed.error);
    eprintln!("sniperelay: {} ({})", error.unwrap_or_else(|_| response.text.clone()), response.status);
    if response.status == StatusCode::UNPROCESSABLE_ENTITY {
        CommandOutcome::Invalid
    } else {
        CommandOutcome::Refused
    }
}

/// Prints the lines between the common prefix and the common suffix of both texts: the stored lines
/// first, then the edited ones.
fn print_difference(stored: &str, edited: &str) {
    let (old, new): (Vec<&str>, Vec<&str>) = (stored.lines().collect(), edited.lines().collect());
    let prefix_len = old.iter().zip(&new).take_while(|(left, right)| left == right).count();
    let max_suffix_len = old.len().min(new.len()) - prefix_len;
    let suffix_len = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take(max_suffix_len)
        .take_while(|(left, right)| left == right)
        .count();
    old[prefix_len..old.len() - suffix_len].iter().for_each(|line| println!("-{line}"));
    new[prefix_len..new.len() - suffix_len].iter().for_each(|line| println!("+{line}"));
}
