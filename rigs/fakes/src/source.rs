//! A source of fills, such as the archive or a hub of another make, that does what a script says.

use crate::server::Server;
use crate::{body, unix_ms};
use foldmux_http1::io::write_all;
use foldmux_http1::request::read_request;
use std::collections::{HashMap, VecDeque};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One request, as a source sees it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub class: String,
    pub object: u64,
    pub part: u32,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// How often this part was asked for before.
    pub before: u64,
    pub at: Instant,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a source does about a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// The part in a version, born now or at a given time, after a wait; bytes in pieces with a wait between.
    Give {
        version: u64,
        length: usize,
        born_ms: Option<u64>,
        after: Duration,
        pieces: usize,
        between: Duration,
    },
    /// As [`Act::Give`], but the connection breaks after so many bytes.
    Cut {
        version: u64,
        length: usize,
        bytes: usize,
    },
    /// Does the act, and the same once more so long after it.
    Twice(Box<Act>, Duration),
    /// Just a head, with these fields.
    Say { status: u16, fields: String },
    /// A connection that is closed without a word.
    Reset,
    /// Not a byte until the other side gives up, or for so long.
    Silence(Duration),
}

impl Act {
    pub fn give(length: usize, after: Duration) -> Act {
        Act::Give {
            version: 1,
            length,
            born_ms: None,
            after,
            pieces: 1,
            between: Duration::ZERO,
        }
    }
}

/// What a source that started lately bears: in work a window, as it warms. Pushed over it stays down.
pub struct Bears {
    began: Instant,
    window: Duration,
    most: Box<dyn Fn(Duration) -> f64 + Send + Sync>,
    state: Mutex<(VecDeque<Instant>, f64)>,
}

impl Bears {
    /// `most`: requests that it bears in a window that ends so long after its start.
    pub fn new(
        began: Instant,
        window: Duration,
        most: impl Fn(Duration) -> f64 + Send + Sync + 'static,
    ) -> Arc<Bears> {
        Arc::new(Bears {
            began,
            window,
            most: Box::new(most),
            state: Mutex::default(),
        })
    }

    /// Counts one request; what is to be done about it: `act`, or silence where it has fallen over.
    pub fn or_fall(&self, act: Act) -> Act {
        let (mut state, now) = (self.state.lock().unwrap(), Instant::now());
        state.0.push_back(now);
        while state.0.front().is_some_and(|at| *at + self.window <= now) {
            state.0.pop_front();
        }
        let part = state.0.len() as f64 / (self.most)(now - self.began);
        state.1 = state.1.max(part);
        if state.1 > 1.0 {
            return Act::Silence(PATIENCE);
        }
        act
    }

    /// The most that was asked of it in any window, over what it bore then; above 1 it fell over.
    pub fn worst(&self) -> f64 {
        self.state.lock().unwrap().1
    }
}

pub struct Source {
    pub server: Server,
    pub asked: Arc<Asked>,
}

/// What a source was asked for.
#[derive(Default)]
pub struct Asked {
    counts: Mutex<HashMap<(u64, u32), u64>>,
    total: AtomicU64,
    log: Mutex<Vec<Ask>>,
}

impl Asked {
    pub fn of(&self, object: u64, part: u32) -> u64 {
        self.counts
            .lock()
            .unwrap()
            .get(&(object, part))
            .copied()
            .unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.total.load(Ordering::SeqCst)
    }

    /// The most that any one part was asked for, and how many parts were.
    pub fn most(&self) -> (u64, usize) {
        let counts = self.counts.lock().unwrap();
        (counts.values().copied().max().unwrap_or(0), counts.len())
    }

    /// All requests, in the order in which they came; the last 100,000 at most.
    pub fn log(&self) -> Vec<Ask> {
        self.log.lock().unwrap().clone()
    }
}

impl Source {
    pub fn start(script: impl Fn(&Ask) -> Act + Send + Sync + 'static) -> Source {
        Source::on(TcpListener::bind("127.0.0.1:0").expect("a port"), script)
    }

    pub fn on(
        listener: TcpListener,
        script: impl Fn(&Ask) -> Act + Send + Sync + 'static,
    ) -> Source {
        let asked = Arc::new(Asked::default());
        let own = asked.clone();
        let server = Server::on(listener, move |stream| while one(stream, &own, &script) {});
        Source { server, asked }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }
}

const PATIENCE: Duration = Duration::from_secs(60);

/// Reads one request with its body; none where the connection ended or it can't be read.
pub fn read_ask(stream: &TcpStream) -> Option<Ask> {
    let (mut buffer, mut filled, mut fields) = (vec![0; 96 * 1024], 0, HashMap::new());
    let soon = || Instant::now() + PATIENCE;
    let mut field = |name: &str, value: &[u8]| {
        fields.insert(
            name.to_ascii_lowercase(),
            String::from_utf8_lossy(value).into_owned(),
        );
    };
    let request = read_request(stream, &mut buffer, &mut filled, soon(), soon, &mut field).ok()?;
    let mut body = buffer[..filled.min(request.length)].to_vec();
    let here = body.len();
    body.resize(request.length, 0);
    (&mut &*stream).read_exact(&mut body[here..]).ok()?;
    let mut parts = request.path.trim_start_matches("/v2/q/").split('/');
    let class = parts.next()?.to_string();
    let object = u64::from_str_radix(parts.next()?, 16).ok()?;
    let part = parts.next()?.parse().ok()?;
    Some(Ask {
        class,
        object,
        part,
        fields,
        body,
        before: 0,
        at: Instant::now(),
    })
}

fn one(stream: &TcpStream, asked: &Asked, script: &impl Fn(&Ask) -> Act) -> bool {
    let Some(mut ask) = read_ask(stream) else {
        return false;
    };
    {
        let mut counts = asked.counts.lock().unwrap();
        let count = counts.entry((ask.object, ask.part)).or_default();
        ask.before = *count;
        *count += 1;
    }
    asked.total.fetch_add(1, Ordering::SeqCst);
    let mut log = asked.log.lock().unwrap();
    if log.len() < 100_000 {
        log.push(ask.clone());
    }
    drop(log);
    carry_out(stream, &ask, script(&ask))
}

/// Does it; whether the connection may carry another request.
pub fn carry_out(stream: &TcpStream, ask: &Ask, act: Act) -> bool {
    let until = Instant::now() + PATIENCE;
    match act {
        Act::Give {
            version,
            length,
            born_ms,
            after,
            pieces,
            between,
        } => {
            std::thread::sleep(after);
            let bytes = body(ask.object, ask.part, version, length);
            let head = head(ask, version, length, born_ms.unwrap_or_else(unix_ms));
            if write_all(stream, &[head.as_bytes()], until).is_err() {
                return false;
            }
            bytes
                .chunks(length.div_ceil(pieces.max(1)).max(1))
                .enumerate()
                .all(|(n, piece)| {
                    std::thread::sleep(if n == 0 { Duration::ZERO } else { between });
                    write_all(stream, &[piece], until).is_ok()
                })
        }
        Act::Cut {
            version,
            length,
            bytes,
        } => {
            let whole = body(ask.object, ask.part, version, length);
            let head = head(ask, version, length, unix_ms());
            let _ = write_all(
                stream,
                &[head.as_bytes(), &whole[..bytes.min(length)]],
                until,
            );
            false
        }
        Act::Say { status, fields } => {
            let head = format!("HTTP/1.1 {status} Said\r\n{fields}Content-Length: 0\r\n\r\n");
            write_all(stream, &[head.as_bytes()], until).is_ok()
        }
        Act::Twice(act, delay) => {
            let keep = carry_out(stream, ask, (*act).clone());
            if let Ok(stream) = stream.try_clone() {
                let ask = ask.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    carry_out(&stream, &ask, *act)
                });
            }
            keep
        }
        Act::Reset => false,
        Act::Silence(time) => {
            let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
            let _ = (&mut &*stream).read(&mut [0]);
            false
        }
    }
}

fn head(ask: &Ask, version: u64, length: usize, born_ms: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nETag: {:x}-{version:x}\r\nX-Born-Ms: {born_ms}\r\n\r\n",
        ask.object
    )
}
