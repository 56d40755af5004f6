//! Client accounts: their API keys, priority and request limit, as the configuration states them.
//!
//! An [`AccountTable`] is built once per version of the configuration and is immutable. Callers are identified by an
//! API key, which is a secret: it has no `Display`, and its `Debug` output does not contain it.

use crate::finding::{FindingList, FindingLocation};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Name of a client account.
pub type AccountName = String;
/// Identifies a client account in every version of the configuration: a hash of its name.
pub type AccountId = u64;

/// ID of requests that belong to no client account.
pub const NO_ACCOUNT: AccountId = 0;

/// API key of a client account.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Creates a key from the bytes that callers send.
    pub fn new(bytes: impl Into<Box<[u8]>>) -> Self {
        Self(bytes.into())
    }

    /// Returns whether the key has no bytes. No caller can send such a key.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Request limit of a client account, over all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Number of requests that may come at once after a pause, on top of the rate.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Name, unique in the configuration.
    pub name: AccountName,
    /// Keys of its callers. An account without keys has no callers.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, instead of that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Request limit; `None` if there is none.
    pub limit: Option<AccountLimit>,
}

impl ClientAccount {
    /// Returns the ID of the account.
    pub fn id(&self) -> AccountId {
        account_id(&self.name)
    }
}

/// Returns the ID of the account with this name.
pub fn account_id(name: &str) -> AccountId {
    xxh3_64(name.as_bytes()).max(NO_ACCOUNT + 1)
}

/// Client accounts, indexed by API key.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<ApiKey, Arc<ClientAccount>>,
    by_id: HashMap<AccountId, Arc<ClientAccount>>,
}

impl AccountTable {
    /// Builds the table. A key that several accounts hold identifies none of them, since it is not known whose caller
    /// sends it; each such key, and each empty one, is a finding, which names the accounts and not the key.
    pub fn build(accounts: &[ClientAccount]) -> (Self, FindingList) {
        let mut findings = FindingList::default();
        let mut owners: HashMap<&ApiKey, &ClientAccount> = HashMap::new();
        let mut table = Self::default();
        let mut ambiguous: Vec<&ApiKey> = Vec::new();
        for account in accounts {
            table.by_id.insert(account.id(), Arc::new(account.clone()));
        }
        for account in accounts {
            for key in &account.keys {
                if key.is_empty() {
                    findings.push(location(&account.name), "has an empty key, which no caller can send");
                    continue;
                }
                match owners.insert(key, account) {
                    Some(other) if other.name != account.name => {
                        let text =
                            format!("shares a key with account '{}'; the key is not accepted", other.name);
                        findings.push(location(&account.name), text);
                        ambiguous.push(key);
                    }
                    _ => {}
                }
            }
        }
        owners.retain(|key, _| !ambiguous.contains(key));
        let shared = |account: &ClientAccount| table.by_id[&account.id()].clone();
        table.by_key = owners.into_iter().map(|(key, account)| (key.clone(), shared(account))).collect();
        (table, findings)
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }

    /// Returns the account with this ID.
    pub fn get(&self, id: AccountId) -> Option<&Arc<ClientAccount>> {
        self.by_id.get(&id)
    }

    /// Returns all accounts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_id.values()
    }
}

fn location(account: &str) -> FindingLocation {
    FindingLocation { section: "accounts".to_owned(), key: account.to_owned(), ..FindingLocation::default() }
}
