//! Creates the certificate authority and the entry VM certificate of a deployment, for tests.

use anyhow::Result;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sniperelay_node::peer::tls::PEER_NAME;
use std::fs;
use std::path::{Path, PathBuf};

/// Paths of the certificate files of one deployment.
#[derive(Debug, Clone)]
pub struct CertificateFiles {
    /// Certificate of the certificate authority.
    pub ca: PathBuf,
    /// Certificate that all entry VMs share.
    pub certificate: PathBuf,
    /// Private key of the entry VM certificate.
    pub key: PathBuf,
}

/// Validity period of a certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// Currently valid.
    Current,
    /// Expired.
    Expired,
}

/// Creates a certificate authority and an entry VM certificate, and writes their PEM files to
/// `directory`.
///
/// # Errors
///
/// Returns an error if a certificate cannot be created or a file cannot be written.
pub fn write_certificate_files(directory: &Path, validity: Validity) -> Result<CertificateFiles> {
    fs::create_dir_all(directory)?;
    let ca_key = KeyPair::generate()?;
    let mut ca_params = CertificateParams::new(Vec::new())?;
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca = ca_params.self_signed(&ca_key)?;
    let issuer = Issuer::new(ca_params, ca_key);
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    if validity == Validity::Expired {
        params.not_before = rcgen::date_time_ymd(2001, 1, 1);
        params.not_after = rcgen::date_time_ymd(2002, 1, 1);
    }
    let certificate = params.signed_by(&key, &issuer)?;
    let files = CertificateFiles {
        ca: directory.join("ca.pem"),
        certificate: directory.join("entry-vm.pem"),
        key: directory.join("entry-vm.key"),
    };
    fs::write(&files.ca, ca.pem())?;
    fs::write(&files.certificate, certificate.pem())?;
    fs::write(&files.key, key.serialize_pem())?;
    Ok(files)
}
