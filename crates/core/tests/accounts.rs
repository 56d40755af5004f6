//! Tests of client accounts: which API keys identify them, and the ranks of their requests.

use sniperelay_core::account::{AccountTable, ApiKey, ClientAccount, NO_ACCOUNT, account_id};
use sniperelay_core::route::{
    CallerLimits, RouteConfig, RouteSpec, RouteTable, ServiceSpec, WeightedService,
};
use std::time::Duration;

fn key(text: &str) -> ApiKey {
    ApiKey::new(text.as_bytes())
}

fn account(name: &str, keys: &[&str], priority: Option<u32>) -> ClientAccount {
    let keys = keys.iter().map(|text| key(text)).collect();
    ClientAccount { name: name.to_owned(), keys, priority, limit: None }
}

fn find<'a>(table: &'a AccountTable, text: &str) -> Option<&'a str> {
    table.find(&key(text)).map(|account| account.name.as_str())
}

#[test]
fn each_key_identifies_the_account_that_holds_it() {
    let accounts = [account("a", &["k1", "k2"], None), account("b", &["k3"], None), account("c", &[], None)];
    let (table, findings) = AccountTable::build(&accounts);
    assert!(findings.is_empty(), "{findings}");
    assert_eq!(
        ["k1", "k2", "k3", "k4", ""].map(|text| find(&table, text)),
        [Some("a"), Some("a"), Some("b"), None, None]
    );
    assert_eq!(table.iter().count(), 3);
    assert_eq!(table.get(account_id("c")).unwrap().name, "c");
    assert!(table.get(NO_ACCOUNT).is_none());
}

/// Guards against requests that run for an account which is not that of their caller.
#[test]
fn key_of_several_accounts_identifies_none_of_them() {
    let accounts = [
        account("a", &["own-a", "secret-shared", ""], None),
        account("b", &["secret-shared", "own-b"], None),
        account("c", &["secret-shared", "own-c", "own-c"], None),
    ];
    let (table, findings) = AccountTable::build(&accounts);
    assert_eq!(find(&table, "secret-shared"), None);
    assert_eq!(["own-a", "own-b", "own-c"].map(|text| find(&table, text)), [Some("a"), Some("b"), Some("c")]);
    // One for the empty key, and one for each further account with the shared key.
    let accounts: Vec<&str> =
        findings.as_slice().iter().map(|finding| finding.location.key.as_str()).collect();
    assert_eq!(accounts, ["a", "b", "c"]);
    assert!(!findings.to_string().contains("secret-"), "{findings}");
}

#[test]
fn debug_output_contains_no_key() {
    let accounts = [account("a", &["secret-a"], Some(1))];
    let (table, _) = AccountTable::build(&accounts);
    assert!(!format!("{accounts:?} {table:?} {:?}", key("secret-b")).contains("secret-"));
}

fn keyed_config(route_priority: u32, is_public: bool, accounts: Option<Vec<ClientAccount>>) -> RouteConfig {
    RouteConfig {
        version: 1,
        routes: vec![RouteSpec {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            weighted_services: vec![WeightedService { service: "s".to_owned(), weight: 1 }],
            is_idempotent: true,
            timeout: Duration::from_secs(2),
            latency: Duration::from_secs(1),
            max_attempts: 2,
            priority: route_priority,
            is_public,
        }],
        services: vec![ServiceSpec {
            name: "s".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 10,
            warm_up: None,
        }],
        limits: CallerLimits {
            header_bytes: 1000,
            body_bytes: 1000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        accounts,
    }
}

/// Returns the ranks of requests with these priorities of their accounts.
fn ranks<const N: usize>(config: &RouteConfig, priorities: [Option<u32>; N]) -> [usize; N] {
    let table = RouteTable::build(config, 0);
    let destination = table.find("h", "/x").unwrap().next_destination();
    priorities.map(|priority| destination.rank_for(priority))
}

#[test]
fn ranks_are_in_the_order_of_the_priorities_of_accounts_and_routes() {
    let accounts = vec![
        account("late", &[], Some(5)),
        account("first", &[], Some(0)),
        account("as-route", &[], Some(2)),
        account("plain", &[], None),
    ];
    let config = keyed_config(2, false, Some(accounts));
    assert_eq!(ranks(&config, [Some(0), Some(2), None, Some(5)]), [0, 1, 1, 2]);
    let documents = RouteTable::build(&config, 0);
    // The last rank is that of requests that can no longer be answered on time.
    assert_eq!(documents.documents()[0].ranks.len(), 4);
}

#[test]
fn public_routes_and_configurations_without_accounts_have_the_rank_of_the_route_only() {
    let accounts = vec![account("first", &["k"], Some(0))];
    for config in [keyed_config(2, true, Some(accounts)), keyed_config(2, false, None)] {
        assert_eq!(RouteTable::build(&config, 0).documents()[0].ranks.len(), 2);
        assert_eq!(ranks(&config, [None, Some(0)]), [0, 0]);
    }
}
