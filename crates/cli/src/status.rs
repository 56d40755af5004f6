//! The `status`, `lookup` and `drain` commands.

use crate::CommandOutcome;
use crate::args::{DrainArgs, LookupArgs, StatusArgs};
use crate::client::{read_token, send_request};
use anyhow::{Context, Result};
use http::{Method, StatusCode};
use sniperelay_node::control::status::NodeStatus;
use sniperelay_node::traffic::lookup::{LOOKUP_PATH, LookupResponse};

/// Prints the status of entry VMs. An entry VM that does not respond is reported on stderr, and the
/// others are still shown.
pub async fn show_status(args: &StatusArgs) -> Result<CommandOutcome> {
    let mut outcome = CommandOutcome::Success;
    if args.operator.is_empty() {
        eprintln!("sniperelay: name at least one entry VM with --operator");
        return Ok(CommandOutcome::Invalid);
    }
    for address in &args.operator {
        match send_request(*address, Method::GET, "/status", None, String::new()).await {
            Ok(response) if args.json => println!("{}", response.text),
            Ok(response) => print_status(&serde_json::from_str(&response.text).context("malformed status")?),
            Err(error) => {
                eprintln!("sniperelay: {error:#}");
                outcome = CommandOutcome::Failed;
            }
        }
    }
    Ok(outcome)
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
        "  {:<16}{:<14}{:>8}{:>6}{:>10}{:>8}{:>8}{:>9}",
        "service", "rank", "version", "home", "on time", "late", "queued", "target"
    );
    for (name, service) in &status.services {
        for (rank_name, rank) in &service.ranks {
            let home = if service.is_home { "yes" } else { "no" };
            println!(
                "  {name:<16}{rank_name:<14}{:>8}{home:>6}{:>10}{:>8}{:>8}{:>8.1}%",
                service.generation,
                rank.on_time,
                rank.late,
                rank.queued,
                rank.on_time_target * 100.0
            );
            if rank.misses_target() {
                let share = rank.on_time_share().unwrap_or_default() * 100.0;
                println!("  {:<30}BELOW TARGET: {share:.2} % answered on time", "");
            }
            rank.refusals
                .iter()
                .for_each(|(reason, count)| println!("  {:<30}refused, {reason}: {count}", ""));
            rank.retries
                .iter()
                .for_each(|(reason, count)| println!("  {:<30}retried, {reason}: {count}", ""));
        }
    }
}

/// Prints the entry VMs of a service, with their failure domains and claim tickets.
pub async fn show_lookup(args: &LookupArgs) -> Result<CommandOutcome> {
    let domain = args.domain.as_ref().map(|domain| format!("&domain={domain}")).unwrap_or_default();
    let path = format!("{LOOKUP_PATH}?service={}{domain}", args.service);
    let response = send_request(args.address, Method::GET, &path, None, String::new()).await?;
    if response.status != StatusCode::OK {
        eprintln!("sniperelay: lookup refused: {}", response.text);
        return Ok(CommandOutcome::Refused);
    }
    let lookup: LookupResponse = serde_json::from_str(&response.text).context("malformed lookup response")?;
    println!("service {}, keep for {} ms", lookup.service, lookup.keep_ms);
    for address in lookup.addresses {
        println!("  {:<22}{:<16}ticket {}", address.address, address.domain, address.ticket);
    }
    Ok(CommandOutcome::Success)
}

/// Requests a planned stop of an entry VM. Does not wait for it.
pub async fn request_drain(args: &DrainArgs) -> Result<CommandOutcome> {
    let token = read_token(&args.token_file)?;
    let response = send_request(args.operator, Method::POST, "/drain", Some(&token), String::new()).await?;
    if response.status != StatusCode::ACCEPTED {
        eprintln!("sniperelay: drain refused: {} ({})", response.text, response.status);
        return Ok(CommandOutcome::Refused);
    }
    println!("drain accepted; the entry VM exits when its requests have completed");
    Ok(CommandOutcome::Success)
}
