//! Connections: taken while there are places, each with its handshake, and with whom it was made.

use foldmux_identity::Identity;
use foldmux_sockets::verdict::{on_accept, OnAccept, OnStream};
use foldmux_sockets::Pauses;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;
use tonic::transport::server::Connected;

/// Longest that a peer may take to prove who it is.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Takes connections while there are places; those beyond are closed at once. Handshakes run beside each other, each
/// in its connection's place and within its time.
pub(super) async fn accept(
    listener: TcpListener,
    identity: Option<Arc<Identity>>,
    most: usize,
    taken: mpsc::Sender<Result<Link, io::Error>>,
) {
    let places = Arc::new(Semaphore::new(most));
    let mut pauses = Pauses::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                pauses = Pauses::default();
                stream
            }
            Err(e) => {
                // Guards against spinning where there are no descriptors, or on an error that stays.
                sleep(pauses.before_next(match on_accept(&e) {
                    OnAccept::Quiet | OnAccept::Next => OnStream::Again,
                    OnAccept::Later => OnStream::Later,
                }))
                .await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (identity, taken) = (identity.clone(), taken.clone());
        tokio::spawn(async move {
            let (io, caller) = match identity {
                None => (Io::Plain(stream), Caller::default()),
                Some(identity) => match timeout(HANDSHAKE, shake(&identity, stream)).await {
                    Ok(Some((stream, id))) => (Io::Tls(Box::new(stream)), Caller(id.into())),
                    _ => return,
                },
            };
            let _ = taken
                .send(Ok(Link {
                    io,
                    caller,
                    _place: place,
                }))
                .await;
        });
    }
}

/// A connection whose peer has proved an identity that may call, or none.
async fn shake(identity: &Identity, stream: TcpStream) -> Option<(TlsStream<TcpStream>, String)> {
    let stream = match TlsAcceptor::from(identity.current()).accept(stream).await {
        Ok(stream) => stream,
        Err(e) => {
            tracing::debug!("external processor: handshake: {e}");
            return None;
        }
    };
    let connection = stream.get_ref().1;
    let Some(id) = identity.allowed_id(connection.peer_certificates()) else {
        tracing::warn!("external processor: a caller whose identity is not allowed");
        return None;
    };
    Some((stream, id))
}

enum Io {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// A connection in its place, which is given back with it.
pub(super) struct Link {
    io: Io,
    caller: Caller,
    _place: OwnedSemaphorePermit,
}

/// Who a connection's peer proved to be; nobody without TLS.
#[derive(Clone)]
pub struct Caller(pub Arc<str>);

impl Default for Caller {
    fn default() -> Caller {
        Caller("".into())
    }
}

impl Connected for Link {
    type ConnectInfo = Caller;
    fn connect_info(&self) -> Caller {
        self.caller.clone()
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_flush(context),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        match &mut self.io {
            Io::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Io::Tls(stream) => Pin::new(&mut **stream).poll_shutdown(context),
        }
    }
}
