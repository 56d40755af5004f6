//! Entry VM for a platform whose store holds the configuration and the registrations of targets.
//!
//! All tasks run on one thread, because an entry VM has only a fraction of a CPU core. A few entry VMs
//! read the platform's store and relay its contents to the others, and entry VMs check the liveness
//! of their neighbours. Everything that must be agreed on or persisted goes through the store.
//! `sniperelay-core` makes the routing decisions.
//!
//! | module | contents |
//! |---|---|
//! | [`startup`] | startup of the process; the wait for a signal to stop |
//! | [`shutdown`] | graceful shutdown |
//! | [`shared_state`] | state shared by all tasks: routes, services, entry VMs, phase |
//! | [`store_sync`] | synchronization of configuration, targets and entry VMs with the store |
//! | [`own_registration`] | whether this process registers itself, beside others of its name |
//! | [`known_versions`] | versions of the objects that this process has read or written |
//! | [`sync_progress`] | progress of reading the store: revisions, lists that are too old |
//! | [`start_order`] | order of the first reads of a process that starts |
//! | [`store_availability`] | outages of the store, as far as this entry VM sees them |
//! | [`copy_status`] | how current the copies of the store's contents are |
//! | [`config_proof`] | proof that the configuration is current, on which API keys depend |
//! | [`copy_offers`] | offers of copies to entry VMs that start while the store is away |
//! | [`change_index`] | latest changes of the store's objects, for followers |
//! | [`replication`] | replication of the store's contents from readers to followers |
//! | `proof_poller` | polls of the store that prove the configuration |
//! | [`response_cache`] | encoded replication responses, shared by all followers |
//! | [`content_coding`] | compression of responses |
//! | [`evacuations`] | evacuations of failure domains, as the operator orders them |
//! | [`failure_detector`] | liveness checks of neighbours; removal of failed entry VMs |
//! | [`caller_connection`] | caller connections: reading, pipelining, ordered responses |
//! | [`connection_room`] | places of caller connections, near and at their limit |
//! | [`connection_end`] | how caller connections end, and requests that got no response on them |
//! | [`crash_quarantine`] | quarantine of requests under which targets crash |
//! | [`crash_reports`] | exchange of crash reports between entry VMs |
//! | [`request_head`] | parsing of request heads |
//! | [`body_memory`] | memory of request bodies |
//! | [`request_body`] | reading of request bodies |
//! | [`caller_response`] | encoding of responses |
//! | [`request_handler`] | handling of one request, from its route to its response |
//! | [`attempt`] | one attempt at one target |
//! | [`account_quotas`] | request limits of client accounts: admission of requests, buckets of owned accounts |
//! | [`account_fleet`] | entry VMs that can own accounts' limits |
//! | [`account_claims`] | exchange of lots of accounts' limits between entry VMs |
//! | [`claim_transport`] | messages with claims between entry VMs |
//! | [`limit_claims`] | exchange of shares of targets' rate limits between entry VMs |
//! | [`unaware_vms`] | entry VMs of earlier builds, which own no limits |
//! | [`target_checks`] | detection of a partition from all targets |
//! | [`forwarding`] | requests that another entry VM handles, while this one reaches no target |
//! | [`forwarded_requests`] | requests that another entry VM has forwarded |
//! | [`isolation_reports`] | exchange of reports about isolated entry VMs |
//! | [`load_probe`] | probes for targets' load reports |
//! | `cold_targets` | log lines and counters about cold targets |
//! | [`decision_log`] | log lines about decisions on requests |
//! | `domain_departures` | log lines and metrics about requests that leave the failure domain |
//! | [`http_api`] | lookups, readiness checks, metrics and replication to followers |

pub mod account_claims;
pub mod account_fleet;
pub mod account_quotas;
pub mod attempt;
pub mod body_memory;
pub mod caller_connection;
pub mod caller_response;
pub mod change_index;
pub mod claim_transport;
mod cold_targets;
pub mod config_proof;
pub mod connection_end;
pub mod connection_room;
pub mod content_coding;
pub mod copy_offers;
pub mod copy_status;
pub mod crash_quarantine;
pub mod crash_reports;
pub mod decision_log;
mod domain_departures;
pub mod evacuations;
pub mod failure_detector;
pub mod forwarded_requests;
pub mod forwarding;
pub mod http_api;
pub mod isolation_reports;
pub mod known_versions;
pub mod limit_claims;
pub mod load_probe;
pub mod own_registration;
mod proof_poller;
pub mod replication;
pub mod request_body;
pub mod request_handler;
pub mod request_head;
pub mod response_cache;
pub mod shared_state;
pub mod shutdown;
pub mod start_order;
pub mod startup;
pub mod store_availability;
pub mod store_sync;
pub mod sync_progress;
pub mod target_checks;
pub mod unaware_vms;

pub use startup::{RunningRelay, run_until_signal};
