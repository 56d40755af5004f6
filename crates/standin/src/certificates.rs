//! A deployment's certificate authority and certificates of entry VMs, for tests.

use anyhow::Result;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sniperelay_node::peer::tls::PEER_NAME;
use std::fs;
use std::path::{Path, PathBuf};

/// Files of one deployment in a directory.
#[derive(Debug, Clone)]
pub struct CertificateFiles {
    /// Authority.
    pub ca: PathBuf,
    /// Certificate of entry VMs.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// Whether a certificate is valid now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// Valid now.
    Current,
    /// Expired long ago.
    Expired,
}

/// Makes an authority and a certificate, and writes them to `directory`.
///
/// # Errors
///
/// When a file cannot be written.
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
