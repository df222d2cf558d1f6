//! The DNS front's sockets: UDP, TCP and DNS over TLS, set up by the operator's file.

use super::notify::Notifier;
use super::{Dns as Front, Routed};
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use crate::listen::{accept, named, READER_STACK};
use crossbeam_channel::bounded;
use foldmux::interface::Time;
use foldmux_core::event_loop::EventLoop;
use foldmux_core::Core;
use foldmux_identity::{Files, Identity};
use foldmux_operator::Dns;
use foldmux_sockets::stream::set_nodelay;
use foldmux_sockets::timed::Timed;
use hickory_proto::rr::Name;
use rustls::{ServerConnection, StreamOwned};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A connection that asks nothing, or takes no answer, for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// TLS needs more of a stack than plain reading.
const TLS_STACK: usize = 256 * 1024;

/// What the operator's file sets, with all its listeners bound: what is wrong shows before anything serves.
pub struct Bound {
    zone: Name,
    setup: Dns,
    udp: Option<UdpSocket>,
    tcp: Option<TcpListener>,
    tls: Option<(TcpListener, Identity)>,
    notify: Option<UdpSocket>,
}

/// The zone's name, or why it is none.
pub fn zone(text: &str) -> Result<Name, String> {
    let mut name = Name::from_ascii(text).map_err(|e| format!("DNS front: zone {text:?}: {e}"))?;
    name.set_fqdn(true);
    Ok(name.to_lowercase())
}

impl Bound {
    pub fn new(setup: Dns) -> Result<Bound, String> {
        let zone = zone(&setup.zone)?;
        let no = |at: &SocketAddr, e: io::Error| format!("DNS front: listening on {at}: {e}");
        let listen = |at: &SocketAddr| TcpListener::bind(at).map_err(|e| no(at, e));
        let udp = setup
            .udp
            .map(|at| UdpSocket::bind(at).map_err(|e| no(&at, e)))
            .transpose()?;
        let tcp = setup.tcp.as_ref().map(listen).transpose()?;
        let tls = match &setup.tls {
            Some(tls) => {
                let [svid, key, bundle] = [&tls.svid, &tls.key, &tls.bundle].map(PathBuf::from);
                let identity =
                    Identity::load(Files { svid, key, bundle }, tls.allowed.clone(), b"dot");
                Some((
                    listen(&tls.listen)?,
                    identity.map_err(|e| format!("DNS front: {e}"))?,
                ))
            }
            None => None,
        };
        let from = match setup.notify.first() {
            Some(SocketAddr::V6(_)) => SocketAddr::from(([0u16; 8], 0)),
            _ => SocketAddr::from(([0, 0, 0, 0], 0)),
        };
        let notify = UdpSocket::bind(from).map_err(|e| no(&from, e))?;
        Ok(Bound {
            zone,
            setup,
            udp,
            tcp,
            tls,
            notify: Some(notify),
        })
    }

    /// Where it listens: UDP, TCP, TLS.
    pub fn addresses(&self) -> [Option<SocketAddr>; 3] {
        let udp = self.udp.as_ref().and_then(|s| s.local_addr().ok());
        let tcp = self.tcp.as_ref().and_then(|s| s.local_addr().ok());
        [
            udp,
            tcp,
            self.tls.as_ref().and_then(|s| s.0.local_addr().ok()),
        ]
    }

    /// Hooks NOTIFY to the desk: called before it runs.
    pub fn notify(&mut self, desk: &mut EventLoop) -> Result<Arc<AtomicU32>, String> {
        let serial = Arc::new(AtomicU32::new(1));
        let (ring, bell) = bounded(1);
        let counted = serial.clone();
        desk.on_incarnation_ended(move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
            let _ = ring.try_send(());
        });
        let (zone, resolvers) = (self.zone.clone(), self.setup.notify.clone());
        let notifier = Notifier {
            zone,
            resolvers,
            serial: serial.clone(),
            bell,
        };
        if let Some(socket) = self.notify.take() {
            named("notify", READER_STACK, move || notifier.run(socket))?;
        }
        Ok(serial)
    }

    /// Serves on threads of its own; `most` bounds the connections over TCP and TLS together.
    pub fn serve(
        self,
        core: Arc<Core>,
        classes: Vec<Routed>,
        serial: Arc<AtomicU32>,
        most: usize,
    ) -> Result<(), String> {
        let us = |ms: u64| ms.saturating_mul(1000) as Time;
        let (lease, patience) = (us(self.setup.lease_ms), us(self.setup.patience_ms));
        let dns = Arc::new(Front {
            core,
            zone: self.zone,
            classes,
            lease,
            patience,
            serial,
        });
        if let Some(socket) = self.udp {
            let dns = dns.clone();
            named("dns-udp", TLS_STACK, move || serve_udp(&dns, &socket))?;
        }
        let table = || ConnectionTable::new((most / 2).max(1));
        if let Some(listener) = self.tcp {
            let (dns, table) = (dns.clone(), table());
            let serve = move |slot: ConnectionSlot| drop(serve_tcp(&dns, &slot));
            named("dns-tcp", READER_STACK, move || {
                accept(&listener, &table, TLS_STACK, Arc::new(serve))
            })?;
        }
        if let Some((listener, identity)) = self.tls {
            let table = table();
            let serve = move |slot: ConnectionSlot| drop(serve_tls(&dns, &identity, &slot));
            named("dns-tls", READER_STACK, move || {
                accept(&listener, &table, TLS_STACK, Arc::new(serve))
            })?;
        }
        Ok(())
    }
}

fn serve_udp(dns: &Front, socket: &UdpSocket) {
    let mut bytes = [0; 4096];
    loop {
        match socket.recv_from(&mut bytes) {
            Ok((n, from)) => {
                if let Some(answer) = dns.respond(&bytes[..n], true) {
                    let _ = socket.send_to(&answer, from);
                }
            }
            // An unreachable client of before shows here; only a lack of memory would last.
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve_tcp(dns: &Front, slot: &ConnectionSlot) -> io::Result<()> {
    set_nodelay(&slot.stream);
    talk(dns, slot, Timed::new(&slot.stream, IDLE))
}

fn serve_tls(dns: &Front, identity: &Identity, slot: &ConnectionSlot) -> io::Result<()> {
    set_nodelay(&slot.stream);
    let stream = Timed::new(&slot.stream, IDLE);
    let connection = ServerConnection::new(identity.current()).map_err(io::Error::other)?;
    let mut stream = StreamOwned::new(connection, stream);
    while stream.conn.is_handshaking() {
        stream.conn.complete_io(&mut stream.sock)?;
    }
    if !identity.allows(stream.conn.peer_certificates()) {
        stream.conn.send_close_notify();
        stream.conn.complete_io(&mut stream.sock)?;
        return Ok(());
    }
    talk(dns, slot, stream)
}

/// Messages with their length before them, one answered after the other (RFC 7766).
fn talk(dns: &Front, slot: &ConnectionSlot, mut stream: impl Read + Write) -> io::Result<()> {
    let mut bytes = vec![0; 4096];
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let length = u16::from_be_bytes(length) as usize;
        // No query that is served here is as long: what follows is not read.
        let Some(message) = bytes.get_mut(..length) else {
            return Ok(());
        };
        stream.read_exact(message)?;
        if !slot.begin_message() {
            return Ok(());
        }
        let Some(answer) = dns.respond(message, false) else {
            return Ok(());
        };
        let length = u16::try_from(answer.len()).map_err(io::Error::other)?;
        stream.write_all(&[&length.to_be_bytes()[..], &answer].concat())?;
        stream.flush()?;
        slot.finish();
    }
}
