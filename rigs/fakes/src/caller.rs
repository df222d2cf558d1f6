//! A stand-in calling proxy: a small HTTP/1.1 front that asks an external processor once for each attempt, as the
//! published protocol says, sends the request where it is told, and tells how it ended. It has a retry policy of its
//! own, time-outs, instances to fail over to, and, scripted and seeded, cancels at the points where callers cancel.

mod attempt;
mod hold;
mod messages;
mod setup;
mod upstream;

pub use hold::{hold, Held};
pub use setup::{Play, Point, Setup};

use crate::client::Answer;
use crate::server::Server;
use attempt::End;
use foldmux_http1::io::{read_some, write_all};
use foldmux_http1::request::read_request;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tonic::transport::{Channel, Endpoint};
use upstream::{body, send, Sent};

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// A plain read.
    pub fn get(path: &str) -> Request {
        Request {
            method: "GET".into(),
            path: path.into(),
            ..Request::default()
        }
    }

    /// A write with its idempotency key in `header`.
    pub fn keyed(path: &str, header: &str, key: &str) -> Request {
        let fields = BTreeMap::from([(header.to_string(), key.to_string())]);
        Request {
            method: "POST".into(),
            path: path.into(),
            fields,
            body: Vec::new(),
        }
    }
}

/// What a caller counted.
#[derive(Debug, Default)]
pub struct Counts {
    /// Attempts begun.
    pub attempts: AtomicU64,
    /// Attempts that a processor placed.
    pub placed: AtomicU64,
    /// Answers that a processor gave itself.
    pub immediate: AtomicU64,
    /// The processor asked for another try.
    pub again: AtomicU64,
    /// No processor gave an answer.
    pub unplaced: AtomicU64,
    /// Fields that a processor must not set.
    pub forbidden: AtomicU64,
    /// Placements whose time was over before they were sent.
    pub stale: AtomicU64,
    /// Requests for a longer time to decide.
    pub longer: AtomicU64,
    /// Clients that left.
    pub left: AtomicU64,
}

/// A calling proxy.
pub struct Caller {
    setup: Setup,
    channels: Mutex<Vec<Channel>>,
    runtime: Runtime,
    next: AtomicU64,
    /// What it counted.
    pub counts: Counts,
}

fn failed(status: u16) -> Answer {
    Answer {
        status,
        ..Answer::default()
    }
}

impl Caller {
    /// A caller with threads of its own.
    pub fn new(setup: Setup) -> Arc<Caller> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("threads");
        let channels = {
            let _inside = runtime.enter();
            setup.instances.iter().map(|at| channel(*at)).collect()
        };
        let (next, counts) = (AtomicU64::new(0), Counts::default());
        Arc::new(Caller {
            setup,
            channels: Mutex::new(channels),
            runtime,
            next,
            counts,
        })
    }

    /// An instance is at another place now.
    pub fn moved(&self, instance: usize, address: SocketAddr) {
        let _inside = self.runtime.enter();
        self.channels.lock().unwrap()[instance] = channel(address);
    }

    /// Serves clients over HTTP/1.1.
    pub fn serve(self: &Arc<Caller>) -> Server {
        let own = self.clone();
        Server::on(
            TcpListener::bind("127.0.0.1:0").expect("a port"),
            move |stream| while own.one(stream).is_some() {},
        )
    }

    /// Serves one request of a connection; none where the connection is over.
    fn one(&self, stream: &TcpStream) -> Option<()> {
        let (mut buffer, mut filled, mut fields) = (vec![0; 64 * 1024], 0, BTreeMap::new());
        let soon = || Instant::now() + Duration::from_secs(60);
        let mut field = |name: &str, value: &[u8]| {
            fields.insert(
                name.to_ascii_lowercase(),
                String::from_utf8_lossy(value).into_owned(),
            );
        };
        let head = read_request(stream, &mut buffer, &mut filled, soon(), soon, &mut field).ok()?;
        let mut body = buffer[..filled.min(head.length)].to_vec();
        while body.len() < head.length {
            let n = read_some(stream, &mut buffer, soon())
                .ok()
                .filter(|n| *n > 0)?;
            body.extend_from_slice(&buffer[..n]);
        }
        fields.remove("content-length");
        fields.remove("host");
        let request = Request {
            method: head.method,
            path: head.path,
            fields,
            body,
        };
        // A client that left gets nothing.
        let answer = self.ask(&request)?;
        let mut out = format!(
            "HTTP/1.1 {} Said\r\nContent-Length: {}\r\n",
            answer.status,
            answer.body.len()
        );
        for name in ["etag", "x-born-ms", "retry-after", "proxy-status"] {
            if let Some(value) = answer.fields.get(name) {
                out.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        out.push_str("\r\n");
        write_all(stream, &[out.as_bytes(), &answer.body], soon()).ok()
    }

    /// One request, to its one final answer; none where the client left.
    pub fn ask(&self, request: &Request) -> Option<Answer> {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let (mut token, mut own, mut attempt, mut unasked) = (None::<String>, 0, 0, 0);
        let mut instance = number as usize % self.setup.instances.len();
        loop {
            self.counts.attempts.fetch_add(1, Ordering::SeqCst);
            let play = (self.setup.play)(number, attempt);
            let end =
                self.runtime
                    .block_on(self.attempt(request, token.as_deref(), instance, play));
            attempt += 1;
            match end {
                End::Final(answer) => return Some(answer),
                End::Left => {
                    self.counts.left.fetch_add(1, Ordering::SeqCst);
                    return None;
                }
                End::Again {
                    token: shown,
                    asked,
                    last,
                } => {
                    if !shown.is_empty() && !self.setup.forgets {
                        token = Some(shown);
                    }
                    own += !asked as u32;
                    if own > self.setup.retries || attempt > 16 {
                        return Some(last.unwrap_or_else(|| failed(502)));
                    }
                    if !asked && own % 2 == 1 {
                        // The caller's own tries go to the next instance every other time.
                        instance = (instance + 1) % self.setup.instances.len();
                    }
                }
                End::Unasked => {
                    unasked += 1;
                    instance = (instance + 1) % self.setup.instances.len();
                    if unasked > self.setup.instances.len() as u32 + self.setup.retries {
                        self.counts.unplaced.fetch_add(1, Ordering::SeqCst);
                        return Some(match self.setup.open {
                            Some(open) => self.unplaced(request, open),
                            None => failed(500),
                        });
                    }
                }
            }
        }
    }

    /// `failure_mode_allow`: as the client sent it.
    fn unplaced(&self, request: &Request, to: SocketAddr) -> Answer {
        match send(
            request,
            &request.path,
            &request.fields,
            to,
            self.setup.attempt,
            None,
        ) {
            Sent::Head(open) => body(*open, self.setup.attempt).unwrap_or_else(|_| failed(502)),
            Sent::Local(status, _) => failed(status),
        }
    }
}

fn channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
    endpoint
        .connect_timeout(Duration::from_secs(1))
        .connect_lazy()
}
