//! A stand-in issuer of X.509-SVIDs: one authority of a trust domain, the files that an agent would lay, and what a peer
//! that shows an SVID connects with.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::path::Path;
use std::sync::Arc;

pub struct Authority(rcgen::Certificate, rcgen::KeyPair);

/// A certificate and its key, in PEM.
pub type Svid = (String, String);

impl Default for Authority {
    fn default() -> Authority {
        Authority::new()
    }
}

impl Authority {
    pub fn new() -> Authority {
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut params = rcgen::CertificateParams::default();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        Authority(params.self_signed(&key).expect("a certificate"), key)
    }

    /// With these URIs; also several, or none, as no sound issuer would.
    pub fn svid(&self, ids: &[&str]) -> Svid {
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut params =
            rcgen::CertificateParams::new(vec!["localhost".to_string()]).expect("a name");
        params.subject_alt_names.extend(
            ids.iter()
                .map(|id| rcgen::SanType::URI((*id).try_into().expect("a URI"))),
        );
        (
            params
                .signed_by(&key, &self.0, &self.1)
                .expect("a signature")
                .pem(),
            key.serialize_pem(),
        )
    }

    /// `svid.pem`, `key.pem` and `bundle.pem` in a folder, as an agent lays them.
    pub fn lay(&self, folder: &Path, id: &str) {
        let (svid, key) = self.svid(&[id]);
        for (name, text) in [
            ("svid.pem", svid),
            ("key.pem", key),
            ("bundle.pem", self.0.pem()),
        ] {
            std::fs::write(folder.join(name), text).expect("a file");
        }
    }

    /// A peer that trusts this authority and shows an SVID.
    pub fn peer(&self, shown: &Svid, protocols: &[&[u8]]) -> Arc<rustls::ClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = rustls::RootCertStore::empty();
        roots.add(self.0.der().clone()).expect("a root");
        let chain = CertificateDer::pem_slice_iter(shown.0.as_bytes())
            .collect::<Result<Vec<_>, _>>()
            .expect("PEM");
        let key = PrivateKeyDer::from_pem_slice(shown.1.as_bytes()).expect("PEM");
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions();
        let config = config
            .expect("versions")
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key);
        let mut config = config.expect("a key that fits");
        config.alpn_protocols = protocols.iter().map(|p| p.to_vec()).collect();
        Arc::new(config)
    }
}
