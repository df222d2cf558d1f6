//! A stand-in cache box: it gives what it holds, and fills a miss from the source that the request names, once for
//! each request (it joins none), by the addresses that it was told.

use crate::client::{self, Answer};
use crate::server::Server;
use crate::source::{read_ask, Ask};
use crate::unix_ms;
use foldmux_http1::io::write_all;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Part = (String, u64, u32);

#[derive(Default)]
pub struct Shared {
    copies: Mutex<HashMap<Part, Answer>>,
    sources: Mutex<HashMap<String, SocketAddr>>,
    pub asked: AtomicU64,
    pub filled: AtomicU64,
    /// Answers from copies that were older than the request allowed: must stay 0, as the cache looks.
    pub writes: Mutex<HashMap<String, u64>>,
}

pub struct Cache {
    pub server: Server,
    pub shared: Arc<Shared>,
}

impl Cache {
    pub fn start() -> Cache {
        Cache::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn on(listener: TcpListener) -> Cache {
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        let server = Server::on(listener, move |stream| while one(stream, &own) {});
        Cache { server, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Where a source is, by the name that requests give it.
    pub fn knows(&self, name: &str, address: SocketAddr) {
        self.shared
            .sources
            .lock()
            .unwrap()
            .insert(name.to_string(), address);
    }

    pub fn forget(&self) {
        self.shared.copies.lock().unwrap().clear();
    }
}

fn one(stream: &TcpStream, shared: &Shared) -> bool {
    let Some(ask) = read_ask(stream) else {
        return false;
    };
    shared.asked.fetch_add(1, Ordering::SeqCst);
    let answer = answer(&ask, shared);
    let mut head = format!(
        "HTTP/1.1 {} Said\r\nContent-Length: {}\r\n",
        answer.status,
        answer.body.len()
    );
    for name in ["etag", "x-born-ms"] {
        if let Some(value) = answer.fields.get(name) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    if answer.untouched {
        head.push_str("Srv-Untouched: 1\r\n");
    }
    head.push_str("\r\n");
    write_all(
        stream,
        &[head.as_bytes(), &answer.body],
        Instant::now() + Duration::from_secs(20),
    )
    .is_ok()
}

fn said(status: u16, untouched: bool) -> Answer {
    Answer {
        status,
        untouched,
        ..Answer::default()
    }
}

fn answer(ask: &Ask, shared: &Shared) -> Answer {
    let number = |name: &str| ask.field(name).parse::<u64>().ok();
    let oldest = number("x-max-age-ms")
        .filter(|age| *age > 0)
        .map_or(0, |age| unix_ms().saturating_sub(age));
    let write = ask.fields.contains_key("via-token");
    let part = (ask.class.clone(), ask.object, ask.part);
    if !write {
        let held = shared.copies.lock().unwrap().get(&part).cloned();
        if let Some(copy) = held.filter(|copy| copy.born_ms() >= oldest) {
            return copy;
        }
    }
    let from = shared
        .sources
        .lock()
        .unwrap()
        .get(ask.field("x-fill-from"))
        .copied();
    let Some(from) = from else {
        return said(404, false);
    };
    let wait = Duration::from_millis(number("via-wait").unwrap_or(5_000));
    let mut fields = format!(
        "Via-Id: {}\r\nVia-Wait: {}\r\n",
        ask.field("via-id"),
        wait.as_millis()
    );
    if oldest > 0 {
        fields.push_str(&format!("X-Max-Age-Ms: {}\r\n", ask.field("x-max-age-ms")));
    }
    if ask.field("x-flags").contains("shallow") {
        fields.push_str("X-Flags: shallow\r\n");
    }
    if write {
        let key = ask.field("via-token").to_string();
        *shared
            .writes
            .lock()
            .unwrap()
            .entry(key.clone())
            .or_default() += 1;
        fields.push_str(&format!("Via-Token: {key}\r\n"));
    }
    match client::get(
        from,
        &client::path(&ask.class, ask.object, ask.part),
        &fields,
        wait,
    ) {
        Ok(answer) if answer.status == 200 => {
            shared.filled.fetch_add(1, Ordering::SeqCst);
            if !write && ask.fields.contains_key("x-keep") {
                shared.copies.lock().unwrap().insert(part, answer.clone());
            }
            answer
        }
        Ok(answer) if answer.status == 404 => said(404, false),
        Ok(answer) if answer.untouched => said(503, true),
        _ => said(500, false),
    }
}
