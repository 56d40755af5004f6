//! `config` commands.

use crate::CommandEnd;
use crate::args::{CheckArgs, ConfigStatusArgs, DiffArgs, GetArgs, PutArgs};
use crate::client::{ClientAnswer, ask, read_token};
use anyhow::{Context, Result};
use http::{Method, StatusCode};
use sniperelay_config::parse_document;
use sniperelay_core::document::ServiceDocument;
use sniperelay_node::operator::OperatorError;
use sniperelay_node::operator::config::{ConfigResponse, VersionRow};
use std::net::SocketAddr;
use std::path::Path;

/// Checks files and prints all findings.
pub fn check_files(args: &CheckArgs) -> Result<CommandEnd> {
    let mut end = CommandEnd::Done;
    if args.files.is_empty() {
        eprintln!("sniperelay: name at least one file to check");
        return Ok(CommandEnd::Invalid);
    }
    for file in &args.files {
        match read_document(file)? {
            Some((document, _)) => println!("{}: service {} is valid", file.display(), document.name),
            None => end = CommandEnd::Invalid,
        }
    }
    Ok(end)
}

/// Prints the stored document.
pub async fn get_document(args: &GetArgs) -> Result<CommandEnd> {
    let answer = fetch(args.operator, &args.service).await?;
    let Some(stored) = answer else { return Ok(CommandEnd::Refused) };
    if let Some(latest) = &stored.latest {
        eprintln!("version {} by {}", latest.generation, latest.author);
    }
    print!("{}", stored.text.unwrap_or_default());
    Ok(CommandEnd::Done)
}

/// Puts a document in force.
pub async fn put_document(args: &PutArgs) -> Result<CommandEnd> {
    let Some((document, text)) = read_document(&args.file)? else { return Ok(CommandEnd::Invalid) };
    let token = read_token(&args.token_file)?;
    let path = format!("/config/{}?base={}", document.name, args.base);
    let answer = ask(args.operator, Method::PUT, &path, Some(&token), text.clone()).await?;
    let Ok(result) = serde_json::from_str::<ConfigResponse>(&answer.text) else {
        return Ok(report_error(&answer));
    };
    let latest = result.latest.as_ref();
    let version =
        latest.map_or(String::new(), |mark| format!(" (version {} by {})", mark.generation, mark.author));
    eprintln!("{}: {}{version}", result.result, result.message);
    if result.result == "conflict" {
        print_difference(&result.text.unwrap_or_default(), &text);
    }
    Ok(match answer.status {
        StatusCode::OK => CommandEnd::Done,
        StatusCode::GATEWAY_TIMEOUT => CommandEnd::Open,
        _ => CommandEnd::Refused,
    })
}

/// Compares a file with the stored document.
pub async fn diff_document(args: &DiffArgs) -> Result<CommandEnd> {
    let Some((document, text)) = read_document(&args.file)? else { return Ok(CommandEnd::Invalid) };
    let Some(stored) = fetch(args.operator, &document.name).await? else { return Ok(CommandEnd::Refused) };
    print_difference(&stored.text.unwrap_or_default(), &text);
    Ok(CommandEnd::Done)
}

/// Shows the version in force on each entry VM.
pub async fn show_versions(args: &ConfigStatusArgs) -> Result<CommandEnd> {
    let path = format!("/config/{}/versions", args.service);
    let answer = ask(args.operator, Method::GET, &path, None, String::new()).await?;
    if answer.status != StatusCode::OK {
        return Ok(report_error(&answer));
    }
    let rows: Vec<VersionRow> = serde_json::from_str(&answer.text).context("malformed answer")?;
    println!("{:<24}{:>9}  {:<22}written", "entry VM", "version", "in force since");
    for row in rows {
        let (version, since) = row.version.map_or(("none".to_owned(), "-".to_owned()), |version| {
            (version.generation.to_string(), version.since_unix_ms.to_string())
        });
        println!("{:<24}{version:>9}  {since:<22}{}", row.caller_address, row.written_unix_ms);
    }
    Ok(CommandEnd::Done)
}

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

async fn fetch(operator: SocketAddr, service: &str) -> Result<Option<ConfigResponse>> {
    let answer = ask(operator, Method::GET, &format!("/config/{service}"), None, String::new()).await?;
    if answer.status != StatusCode::OK {
        report_error(&answer);
        return Ok(None);
    }
    Ok(Some(serde_json::from_str(&answer.text).context("malformed answer")?))
}

fn report_error(answer: &ClientAnswer) -> CommandEnd {
    let error = serde_json::from_str::<OperatorError>(&answer.text).map(|parsed| parsed.error);
    eprintln!("sniperelay: {} ({})", error.unwrap_or_else(|_| answer.text.clone()), answer.status);
    if answer.status == StatusCode::UNPROCESSABLE_ENTITY { CommandEnd::Invalid } else { CommandEnd::Refused }
}

/// Prints the lines that only one side has, in the order of the files.
fn print_difference(stored: &str, edited: &str) {
    let (old, new): (Vec<&str>, Vec<&str>) = (stored.lines().collect(), edited.lines().collect());
    let same = old.iter().zip(&new).take_while(|(left, right)| left == right).count();
    let rest = old.len().min(new.len()) - same;
    let tail =
        old.iter().rev().zip(new.iter().rev()).take(rest).take_while(|(left, right)| left == right).count();
    old[same..old.len() - tail].iter().for_each(|line| println!("-{line}"));
    new[same..new.len() - tail].iter().for_each(|line| println!("+{line}"));
}
