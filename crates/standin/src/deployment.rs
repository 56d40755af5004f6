//! The deployments of the two users at their current sizes.

use sniperelay_config::parse_document;
use sniperelay_core::document::ServiceDocument;

/// A service of a deployment, with the number of its targets.
#[derive(Debug, Clone)]
pub struct DeployedService {
    /// The parsed service document.
    pub document: ServiceDocument,
    /// The service document as INI.
    pub text: String,
    /// Number of targets.
    pub target_count: usize,
}

/// Specification of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Name of the deployment.
    pub name: &'static str,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Services of the deployment.
    pub services: Vec<DeployedService>,
    /// Number of entry VMs.
    pub entry_vm_count: usize,
}

const COOPERATIVE_DOMAINS: &[&str] = &["erie-shore", "huron-bay", "ontario-north", "michigan-west"];
const TRUST_DOMAINS: &[&str] = &["accra-a", "tema-b", "kasoa-c"];

/// Returns the deployment of the Cooperative.
pub fn cooperative() -> DeploymentSpec {
    DeploymentSpec {
        name: "cooperative",
        domains: COOPERATIVE_DOMAINS.iter().map(|name| (*name).to_owned()).collect(),
        services: vec![
            make_service(include_str!("../../../examples/services/rota-board.ini"), 20),
            make_service(include_str!("../../../examples/services/claim-desk.ini"), 10),
            make_service(include_str!("../../../examples/services/ledger-vault.ini"), 10),
        ],
        entry_vm_count: 13,
    }
}

/// Returns the deployment of the Trust.
pub fn trust() -> DeploymentSpec {
    DeploymentSpec {
        name: "trust",
        domains: TRUST_DOMAINS.iter().map(|name| (*name).to_owned()).collect(),
        services: vec![
            make_service(include_str!("../../../examples/services/slip-lookup.ini"), 15),
            make_service(include_str!("../../../examples/services/slip-issue.ini"), 10),
            make_service(include_str!("../../../examples/services/archive-pull.ini"), 5),
        ],
        entry_vm_count: 13,
    }
}

/// Creates a service from the text of its document.
///
/// # Panics
///
/// Panics if the document is invalid. The example documents are valid.
pub fn make_service(text: &str, target_count: usize) -> DeployedService {
    match parse_document("example", text) {
        Ok(document) => DeployedService { document, text: text.to_owned(), target_count },
        Err(findings) => panic!("invalid example document:\n{findings}"),
    }
}
