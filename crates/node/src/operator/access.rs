//! Authentication of operators by the bearer token of their team.

use http::{HeaderMap, header};
use sniperelay_core::ids::TeamName;
use std::collections::BTreeMap;

/// Returns the team whose token the request carries.
pub fn find_team(operators: &BTreeMap<TeamName, String>, headers: &HeaderMap) -> Option<TeamName> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?.trim();
    let found = operators.iter().find(|(_, known)| constant_time_eq(known.as_bytes(), token.as_bytes()));
    found.map(|(team, _)| team.clone())
}

/// Compares two tokens in a time that does not depend on the position at which tokens of equal length
/// differ.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && difference == 0
}
