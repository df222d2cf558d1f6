//! Identities of the fronts: this side shows an X.509-SVID, and the peer's must chain to the bundle and carry an
//! allowed SPIFFE ID. The files are read again when they have changed, as an agent rotates them.
//!
//! Owns: what was read of the files, and the TLS settings made of it. May not: open a socket, or know which front asks.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

#[derive(Clone, Debug)]
pub struct Files {
    pub svid: PathBuf,
    pub key: PathBuf,
    pub bundle: PathBuf,
}

/// Changes with any of the files.
type Stamp = [Option<(SystemTime, u64)>; 3];

pub struct Identity {
    files: Files,
    /// The protocol that is spoken, as ALPN names it (RFC 7301).
    protocol: &'static [u8],
    allowed: Vec<String>,
    held: Mutex<(Stamp, Arc<ServerConfig>)>,
}

impl Identity {
    pub fn load(
        files: Files,
        allowed: Vec<String>,
        protocol: &'static [u8],
    ) -> Result<Identity, String> {
        if let Some(odd) = allowed.iter().find(|id| !id.starts_with("spiffe://")) {
            return Err(format!("{odd:?} is no SPIFFE ID"));
        }
        let held = Mutex::new((files.stamp(), files.read(protocol)?));
        Ok(Identity {
            files,
            protocol,
            allowed,
            held,
        })
    }

    /// The TLS settings for the next connection. Guards against a rotation that is half done: until the files
    /// can be read together again, what was held before serves on.
    pub fn current(&self) -> Arc<ServerConfig> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let stamp = self.files.stamp();
        if stamp != held.0 {
            match self.files.read(self.protocol) {
                Ok(config) => *held = (stamp, config),
                Err(why) => tracing::warn!("SVID or bundle: {why}; the former ones serve on"),
            }
        }
        held.1.clone()
    }

    /// Whether the peer's certificate, whose chain was verified, carries an allowed ID.
    pub fn allows(&self, peer: Option<&[CertificateDer]>) -> bool {
        self.allowed_id(peer).is_some()
    }

    /// The peer's ID, if it is an allowed one.
    pub fn allowed_id(&self, peer: Option<&[CertificateDer]>) -> Option<String> {
        let id = peer
            .and_then(|chain| chain.first())
            .and_then(|leaf| spiffe_id(leaf));
        id.filter(|id| self.allowed.contains(id))
    }
}

impl Files {
    fn stamp(&self) -> Stamp {
        [&self.svid, &self.key, &self.bundle].map(|path| {
            let meta = fs::metadata(path).ok()?;
            Some((meta.modified().ok()?, meta.len()))
        })
    }

    fn read(&self, protocol: &'static [u8]) -> Result<Arc<ServerConfig>, String> {
        let of = |path: &PathBuf, why: String| format!("{}: {why}", path.display());
        let certs = |path: &PathBuf| {
            let all = CertificateDer::pem_file_iter(path)
                .and_then(Iterator::collect::<Result<Vec<_>, _>>);
            all.map_err(|e| of(path, e.to_string()))
        };
        let mut roots = RootCertStore::empty();
        for root in certs(&self.bundle)? {
            roots
                .add(root)
                .map_err(|e| of(&self.bundle, e.to_string()))?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone());
        let verifier = verifier
            .build()
            .map_err(|e| of(&self.bundle, e.to_string()))?;
        let key =
            PrivateKeyDer::from_pem_file(&self.key).map_err(|e| of(&self.key, e.to_string()))?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?
            .with_client_cert_verifier(verifier)
            .with_single_cert(certs(&self.svid)?, key)
            .map_err(|e| of(&self.svid, e.to_string()))?;
        config.alpn_protocols = vec![protocol.to_vec()];
        Ok(Arc::new(config))
    }
}

/// The SPIFFE ID of an X.509-SVID: the one URI among its names. Several, or none, is no SVID.
pub fn spiffe_id(leaf: &CertificateDer) -> Option<String> {
    let (_, certificate) = X509Certificate::from_der(leaf).ok()?;
    let names = certificate.subject_alternative_name().ok()??;
    let mut uris = names
        .value
        .general_names
        .iter()
        .filter_map(|name| match name {
            GeneralName::URI(uri) => Some(*uri),
            _ => None,
        });
    let id = uris.next().filter(|id| id.starts_with("spiffe://"))?;
    (uris.next().is_none() && !certificate.is_ca()).then(|| id.to_string())
}
