//! `status`, `lookup` and `drain`.

use crate::CommandEnd;
use crate::args::{DrainArgs, LookupArgs, StatusArgs};
use crate::client::{ask, read_token};
use anyhow::{Context, Result};
use http::{Method, StatusCode};
use sniperelay_node::control::status::NodeStatus;
use sniperelay_node::traffic::lookup::{LOOKUP_PATH, LookupResponse};

/// Shows the status of entry VMs. Those that do not answer are named; the others are shown.
pub async fn show_status(args: &StatusArgs) -> Result<CommandEnd> {
    let mut end = CommandEnd::Done;
    if args.operator.is_empty() {
        eprintln!("sniperelay: name at least one entry VM with --operator");
        return Ok(CommandEnd::Invalid);
    }
    for address in &args.operator {
        match ask(*address, Method::GET, "/status", None, String::new()).await {
            Ok(answer) if args.json => println!("{}", answer.text),
            Ok(answer) => print_status(&serde_json::from_str(&answer.text).context("malformed status")?),
            Err(error) => {
                eprintln!("sniperelay: {error:#}");
                end = CommandEnd::Failed;
            }
        }
    }
    Ok(end)
}

fn print_status(status: &NodeStatus) {
    println!(
        "entry VM {} in {} on {}: {}, hears others: {}, available entry VMs: {}, keys: {}",
        status.incarnation,
        status.failure_domain,
        status.caller_address,
        status.phase,
        if status.is_connected { "yes" } else { "NO" },
        status.available_members,
        status.claim_keys,
    );
    println!(
        "  {:<16}{:<14}{:>8}{:>6}{:>10}{:>8}{:>8}",
        "service", "rank", "version", "home", "on time", "late", "queued"
    );
    for (name, service) in &status.services {
        for (rank_name, rank) in &service.ranks {
            let home = if service.is_home { "yes" } else { "no" };
            println!(
                "  {name:<16}{rank_name:<14}{:>8}{home:>6}{:>10}{:>8}{:>8}",
                service.generation, rank.on_time, rank.late, rank.queued
            );
            rank.refusals
                .iter()
                .for_each(|(reason, count)| println!("  {:<30}refused, {reason}: {count}", ""));
            rank.retries
                .iter()
                .for_each(|(reason, count)| println!("  {:<30}retried, {reason}: {count}", ""));
        }
    }
}

/// Shows which entry VMs to use for a service.
pub async fn show_lookup(args: &LookupArgs) -> Result<CommandEnd> {
    let domain = args.domain.as_ref().map(|domain| format!("&domain={domain}")).unwrap_or_default();
    let path = format!("{LOOKUP_PATH}?service={}{domain}", args.service);
    let answer = ask(args.address, Method::GET, &path, None, String::new()).await?;
    if answer.status != StatusCode::OK {
        eprintln!("sniperelay: lookup refused: {}", answer.text);
        return Ok(CommandEnd::Refused);
    }
    let lookup: LookupResponse = serde_json::from_str(&answer.text).context("malformed lookup answer")?;
    println!("service {}, keep for {} ms", lookup.service, lookup.keep_ms);
    for address in lookup.addresses {
        println!("  {:<22}{:<16}ticket {}", address.address, address.domain, address.ticket);
    }
    Ok(CommandEnd::Done)
}

/// Asks for a planned stop.
pub async fn drain(args: &DrainArgs) -> Result<CommandEnd> {
    let token = read_token(&args.token_file)?;
    let answer = ask(args.operator, Method::POST, "/drain", Some(&token), String::new()).await?;
    if answer.status != StatusCode::ACCEPTED {
        eprintln!("sniperelay: drain refused: {} ({})", answer.text, answer.status);
        return Ok(CommandEnd::Refused);
    }
    println!("the entry VM is leaving; it exits when its requests have finished");
    Ok(CommandEnd::Done)
}
