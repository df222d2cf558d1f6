//! DNS request routing, as the file sets it.

use garde::Validate;
use std::net::SocketAddr;

/// DNS request routing.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Dns {
    #[garde(length(min = 1, max = 255))]
    pub zone: String,
    pub udp: Option<SocketAddr>,
    pub tcp: Option<SocketAddr>,
    #[garde(dive)]
    pub tls: Option<Tls>,
    #[garde(length(max = 256))]
    pub notify: Vec<SocketAddr>,
    #[garde(range(min = 0, max = 60_000))]
    pub lease_ms: u64,
    #[garde(range(min = 1, max = 60_000))]
    pub patience_ms: u64,
}

/// DNS over TLS: files in PEM, and the SPIFFE IDs that may ask.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Tls {
    pub listen: SocketAddr,
    #[garde(length(min = 1))]
    pub svid: String,
    #[garde(length(min = 1))]
    pub key: String,
    #[garde(length(min = 1))]
    pub bundle: String,
    #[garde(length(min = 1, max = 256), inner(prefix("spiffe://")))]
    pub allowed: Vec<String>,
}

impl Dns {
    /// What no single value shows.
    pub(crate) fn listens(&self) -> Result<(), String> {
        if self.udp.is_none() && self.tcp.is_none() && self.tls.is_none() {
            return Err("none of udp, tcp and tls is set".to_string());
        }
        Ok(())
    }
}
