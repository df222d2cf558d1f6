//! A stand-in calling proxy: a small HTTP/1.1 front that asks an external processor once for each attempt, as the
//! published protocol says, sends the request where it is told, and tells how it ended. It has a retry policy of its
//! own, time-outs, instances to fail over to, and, scripted and seeded, cancels at the points where callers cancel.

use crate::client::Answer;
use crate::server::Server;
use crate::unix_ms;
use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::{
    external_processor_client::ExternalProcessorClient, processing_request::Request as Kind,
    processing_response::Response as Said, HeaderMutation, HttpHeaders, ProcessingRequest,
    ProcessingResponse,
};
use envoy_types::pb::google::protobuf::{value, Struct, Value};
use foldmux_http1::answer::{read_head, Broken, Length};
use foldmux_http1::io::{read_some, write_all};
use foldmux_http1::request::read_request;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::Streaming;

/// Where the caller cancels a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Point {
    BeforeAnswer,
    BetweenAnswerAndSend,
    /// Half of it is sent.
    DuringSend,
    /// All of it is sent, and it runs while nobody waits for its answer.
    AfterSend,
    /// Its stream to the processor, and the client's connection with it.
    AfterResponseHeaders,
}

/// What happens to one attempt, as a script says: by the request's number and the attempt's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Play {
    /// The client leaves: nothing follows.
    pub leave: Option<Point>,
    /// The attempt's stream is reset there, and the caller's own policy goes on.
    pub reset: Option<Point>,
    /// How long the caller takes between the answer and its send.
    pub slow: Duration,
}

pub struct Setup {
    pub instances: Vec<SocketAddr>,
    /// Tries by the caller's own policy, beyond those that the processor asks for.
    pub retries: u32,
    /// How long a processor's answer may take.
    pub message: Duration,
    /// Each attempt, to the whole answer.
    pub attempt: Duration,
    /// Where a request goes that no processor places; without it, it fails (`failure_mode_allow` off).
    pub open: Option<SocketAddr>,
    /// Keeps to how long a placement may be sent.
    pub heeds: bool,
    /// Shows no attempt's token with the next: a caller that is not set up as it must be.
    pub forgets: bool,
    pub play: Box<dyn Fn(u64, u32) -> Play + Send + Sync>,
}

impl Setup {
    pub fn plain(instances: Vec<SocketAddr>) -> Setup {
        Setup {
            instances,
            retries: 3,
            message: Duration::from_secs(2),
            attempt: Duration::from_secs(10),
            open: None,
            heeds: true,
            forgets: false,
            play: Box::new(|_, _| Play::default()),
        }
    }
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(path: &str) -> Request {
        Request { method: "GET".into(), path: path.into(), ..Request::default() }
    }

    pub fn keyed(path: &str, header: &str, key: &str) -> Request {
        let fields = BTreeMap::from([(header.to_string(), key.to_string())]);
        Request { method: "POST".into(), path: path.into(), fields, body: Vec::new() }
    }
}

#[derive(Debug, Default)]
pub struct Counts {
    pub attempts: AtomicU64,
    pub placed: AtomicU64,
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
    pub left: AtomicU64,
}

pub struct Caller {
    setup: Setup,
    channels: Mutex<Vec<Channel>>,
    runtime: Runtime,
    next: AtomicU64,
    pub counts: Counts,
}

/// How one attempt ended.
enum End {
    /// The client's final answer.
    Final(Answer),
    /// The client left.
    Left,
    /// Another try is due; by the processor's word, or by the caller's own policy.
    Again { token: String, asked: bool, last: Option<Answer> },
    /// The processor gave no answer.
    Unasked,
}

fn failed(status: u16) -> Answer {
    Answer { status, ..Answer::default() }
}

/// What became of the request upstream.
enum Sent {
    Head(Box<Open>),
    /// Nothing of a response: the caller's own answer, with the details that it publishes.
    Local(u16, &'static str),
}

/// A response whose head is there.
struct Open {
    stream: TcpStream,
    answer: Answer,
    left: usize,
}

impl Caller {
    pub fn new(setup: Setup) -> Arc<Caller> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("threads");
        let channels = {
            let _inside = runtime.enter();
            setup.instances.iter().map(|at| channel(*at)).collect()
        };
        let (next, counts) = (AtomicU64::new(0), Counts::default());
        Arc::new(Caller { setup, channels: Mutex::new(channels), runtime, next, counts })
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

    fn one(&self, stream: &TcpStream) -> Option<()> {
        let (mut buffer, mut filled, mut fields) = (vec![0; 64 * 1024], 0, BTreeMap::new());
        let soon = || Instant::now() + Duration::from_secs(60);
        let mut field = |name: &str, value: &[u8]| {
            fields.insert(name.to_ascii_lowercase(), String::from_utf8_lossy(value).into_owned());
        };
        let head = read_request(stream, &mut buffer, &mut filled, soon(), soon, &mut field).ok()?;
        let mut body = buffer[..filled.min(head.length)].to_vec();
        while body.len() < head.length {
            let n = read_some(stream, &mut buffer, soon()).ok().filter(|n| *n > 0)?;
            body.extend_from_slice(&buffer[..n]);
        }
        fields.remove("content-length");
        fields.remove("host");
        let request = Request { method: head.method, path: head.path, fields, body };
        // A client that left gets nothing.
        let answer = self.ask(&request)?;
        let mut out = format!("HTTP/1.1 {} Said\r\nContent-Length: {}\r\n", answer.status, answer.body.len());
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
            let end = self.runtime.block_on(self.attempt(request, token.as_deref(), instance, play));
            attempt += 1;
            match end {
                End::Final(answer) => return Some(answer),
                End::Left => {
                    self.counts.left.fetch_add(1, Ordering::SeqCst);
                    return None;
                }
                End::Again { token: shown, asked, last } => {
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
        match send(request, &request.path, &request.fields, to, self.setup.attempt, None) {
            Sent::Head(open) => body(*open, self.setup.attempt).unwrap_or_else(|_| failed(502)),
            Sent::Local(status, _) => failed(status),
        }
    }

    async fn attempt(&self, request: &Request, token: Option<&str>, instance: usize, play: Play) -> End {
        let own = |token: Option<&str>| End::Again {
            token: token.unwrap_or_default().to_string(),
            asked: false,
            last: None,
        };
        let over = |point: Point, token: Option<&str>| match (
            play.leave == Some(point),
            play.reset == Some(point),
        ) {
            (true, _) => Some(End::Left),
            (_, true) => Some(own(token)),
            _ => None,
        };
        let (sender, messages) = mpsc::channel(4);
        let mut fields = request.fields.clone();
        if let Some(token) = token {
            fields.insert("x-foldmux-attempt".into(), token.into());
        }
        let first = heads(request, &fields);
        let _ = sender.send(first).await;
        let channel = self.channels.lock().unwrap()[instance].clone();
        let mut client = ExternalProcessorClient::new(channel);
        if let Some(end) = over(Point::BeforeAnswer, token) {
            // Sent, and cancelled while the processor decides.
            let asked = client.process(ReceiverStream::new(messages));
            let _ = tokio::time::timeout(Duration::from_micros(200), asked).await;
            return end;
        }
        let asked =
            tokio::time::timeout(self.setup.message, client.process(ReceiverStream::new(messages))).await;
        let Ok(Ok(answers)) = asked else { return End::Unasked };
        let mut answers = answers.into_inner();
        let Some(response) = self.answer(&mut answers).await else { return End::Unasked };
        let mut path = request.path.clone();
        let mutation = match response.response {
            Some(Said::ImmediateResponse(now)) => {
                self.counts.immediate.fetch_add(1, Ordering::SeqCst);
                let status = now.status.map_or(500, |s| s.code as u16);
                let fields = set(now.headers.as_ref()).collect();
                return End::Final(Answer { status, fields, body: now.body, ..Answer::default() });
            }
            Some(Said::RequestHeaders(headers)) => headers.response.and_then(|r| r.header_mutation),
            _ => return End::Unasked,
        };
        self.apply(mutation.as_ref(), &mut fields, &mut path);
        let shown = fields.get("x-foldmux-attempt").cloned().unwrap_or_default();
        let told = Some(shown.as_str());
        if let Some(end) = over(Point::BetweenAnswerAndSend, told) {
            return end;
        }
        if !play.slow.is_zero() {
            tokio::time::sleep(play.slow).await;
        }
        let to: Option<SocketAddr> = fields.get("x-foldmux-cache").and_then(|at| at.parse().ok());
        let Some(to) = to.or(self.setup.open) else { return End::Final(failed(404)) };
        self.counts.placed.fetch_add(1, Ordering::SeqCst);
        let good_until = fields.get("x-foldmux-good-until-ms").and_then(|t| t.parse::<u64>().ok());
        let stale = good_until.is_some_and(|until| unix_ms() >= until);
        let sent = if stale {
            self.counts.stale.fetch_add(1, Ordering::SeqCst);
            // It is not sent any more: as a cache says that it left it untouched.
            if self.setup.heeds {
                Some(Sent::Local(504, ""))
            } else {
                None
            }
        } else {
            None
        };
        let cut = [Point::DuringSend, Point::AfterSend].into_iter().find(|at| over(*at, told).is_some());
        let sent = match sent {
            Some(sent) => sent,
            None => {
                let (request, fields, path) = (request.clone(), fields.clone(), path.clone());
                let time = self.setup.attempt;
                let send = tokio::task::spawn_blocking(move || send(&request, &path, &fields, to, time, cut));
                match send.await {
                    Ok(sent) => sent,
                    Err(_) => return own(told),
                }
            }
        };
        if let Some(end) = cut.and_then(|at| over(at, told)) {
            return end;
        }
        let mut message = ProcessingRequest::default();
        let open = match sent {
            Sent::Head(open) => {
                message.request = Some(Kind::ResponseHeaders(response_heads(&open.answer)));
                attribute(&mut message, "via_upstream");
                Ok(open)
            }
            Sent::Local(status, details) => {
                let mut answer = failed(status);
                if details.is_empty() {
                    answer.fields.insert("srv-untouched".into(), "1".into());
                } else {
                    attribute(&mut message, details);
                }
                message.request = Some(Kind::ResponseHeaders(response_heads(&answer)));
                Err(answer)
            }
        };
        if sender.send(message).await.is_err() {
            return own(told);
        }
        if let Some(end) = over(Point::AfterResponseHeaders, told) {
            return end;
        }
        let again = match self.answer(&mut answers).await.and_then(|r| r.response) {
            Some(Said::ImmediateResponse(now)) => {
                self.counts.immediate.fetch_add(1, Ordering::SeqCst);
                let status = now.status.map_or(500, |s| s.code as u16);
                let fields = set(now.headers.as_ref()).collect();
                return End::Final(Answer { status, fields, body: now.body, ..Answer::default() });
            }
            Some(Said::ResponseHeaders(headers)) => {
                let mutation = headers.response.and_then(|r| r.header_mutation);
                let again = set(mutation.as_ref()).find(|(name, _)| name == "x-foldmux-again");
                again.map(|(_, token)| token)
            }
            // The processor went away: what is there is the answer.
            _ => None,
        };
        match (open, again) {
            (open, Some(token)) => {
                self.counts.again.fetch_add(1, Ordering::SeqCst);
                let last = Some(open.map_or_else(|answer| answer, |open| open.answer));
                End::Again { token, asked: true, last }
            }
            (Err(answer), None) => End::Again { token: shown, asked: false, last: Some(answer) },
            (Ok(open), None) if open.answer.status == 200 => {
                let time = self.setup.attempt;
                let read = tokio::task::spawn_blocking(move || body(*open, time)).await;
                // The stream ends once the answer is through, and not before.
                drop(sender);
                match read {
                    Ok(Ok(answer)) => {
                        while let Ok(Some(_)) = answers.message().await {}
                        End::Final(answer)
                    }
                    _ => End::Final(failed(502)),
                }
            }
            (Ok(open), None) => End::Final(open.answer),
        }
    }

    /// The next answer that says something; a longer time where the processor asks for it.
    async fn answer(&self, answers: &mut Streaming<ProcessingResponse>) -> Option<ProcessingResponse> {
        let mut patience = self.setup.message;
        loop {
            let response = tokio::time::timeout(patience, answers.message()).await.ok()?.ok()??;
            match (&response.response, &response.override_message_timeout) {
                (None, Some(longer)) => {
                    self.counts.longer.fetch_add(1, Ordering::SeqCst);
                    patience = Duration::new(longer.seconds.max(0) as u64, longer.nanos.max(0) as u32);
                }
                _ => return Some(response),
            }
        }
    }

    /// A mutation, by the rules that hold where nothing else is configured.
    fn apply(
        &self,
        mutation: Option<&HeaderMutation>,
        fields: &mut BTreeMap<String, String>,
        path: &mut String,
    ) {
        for name in mutation.iter().flat_map(|m| &m.remove_headers) {
            fields.remove(&name.to_ascii_lowercase());
        }
        for (name, value) in set(mutation) {
            match name.as_str() {
                ":path" => *path = value,
                name if name == "host" || name.starts_with("x-envoy") || name.starts_with(':') => {
                    self.counts.forbidden.fetch_add(1, Ordering::SeqCst);
                }
                _ => drop(fields.insert(name, value)),
            }
        }
    }
}

fn channel(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
    endpoint.connect_timeout(Duration::from_secs(1)).connect_lazy()
}

fn set(mutation: Option<&HeaderMutation>) -> impl Iterator<Item = (String, String)> + '_ {
    let all = mutation.into_iter().flat_map(|m| &m.set_headers).filter_map(|option| option.header.as_ref());
    all.map(|h| (h.key.to_ascii_lowercase(), String::from_utf8_lossy(&h.raw_value).into_owned()))
}

fn header(key: &str, value: &str) -> HeaderValue {
    HeaderValue { key: key.into(), raw_value: value.as_bytes().to_vec(), ..HeaderValue::default() }
}

fn heads(request: &Request, fields: &BTreeMap<String, String>) -> ProcessingRequest {
    let mut headers = vec![
        header(":method", &request.method),
        header(":path", &request.path),
        header(":scheme", "http"),
        header(":authority", "standin"),
    ];
    headers.extend(fields.iter().map(|(name, value)| header(name, value)));
    let (headers, end_of_stream) = (Some(HeaderMap { headers }), request.body.is_empty());
    let heads = HttpHeaders { headers, end_of_stream, ..HttpHeaders::default() };
    ProcessingRequest { request: Some(Kind::RequestHeaders(heads)), ..ProcessingRequest::default() }
}

fn response_heads(answer: &Answer) -> HttpHeaders {
    let mut headers = vec![header(":status", &answer.status.to_string())];
    headers.extend(answer.fields.iter().map(|(name, value)| header(name, value)));
    HttpHeaders {
        headers: Some(HeaderMap { headers }),
        end_of_stream: answer.length == 0,
        ..HttpHeaders::default()
    }
}

/// What callers that are told to send attributes say of how an answer came about.
fn attribute(message: &mut ProcessingRequest, details: &str) {
    let text = Value { kind: Some(value::Kind::StringValue(details.to_string())) };
    let fields = HashMap::from([("response.code_details".to_string(), text)]);
    message.attributes.insert("envoy.filters.http.ext_proc".to_string(), Struct { fields });
}

/// Sends a request, and reads the head of its response. `cut`: leaves there.
fn send(
    request: &Request,
    path: &str,
    fields: &BTreeMap<String, String>,
    to: SocketAddr,
    time: Duration,
    cut: Option<Point>,
) -> Sent {
    let until = Instant::now() + time;
    let refused = "upstream_reset_before_response_started{remote_connection_failure}";
    let Ok(stream) = TcpStream::connect_timeout(&to, time) else { return Sent::Local(503, refused) };
    let _ = stream.set_nodelay(true);
    let mut head = format!("{} {path} HTTP/1.1\r\nHost: {to}\r\n", request.method);
    fields.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let bytes = [head.as_bytes(), &request.body].concat();
    let part = if cut == Some(Point::DuringSend) { bytes.len() / 2 } else { bytes.len() };
    let broken = Sent::Local(503, "upstream_reset_before_response_started{connection_termination}");
    if write_all(&stream, &[&bytes[..part]], until).is_err() || cut.is_some() {
        return broken;
    }
    let (mut buffer, mut filled, mut found) = (vec![0; 32 * 1024], 0, HashMap::new());
    let read = read_head(&stream, &mut buffer, &mut filled, until, &mut |name, value| {
        found.insert(name.to_ascii_lowercase(), String::from_utf8_lossy(value).into_owned());
    });
    match read {
        Ok((response, Length::Known(length))) => {
            let body = buffer[response.body.start..filled].to_vec();
            let left = length.saturating_sub(body.len());
            let (status, untouched) = (response.status, response.untouched);
            if untouched {
                found.insert("srv-untouched".into(), "1".into());
            }
            Sent::Head(Box::new(Open {
                stream,
                answer: Answer { status, untouched, length, fields: found, body },
                left,
            }))
        }
        Err(Broken::TimedOut) => Sent::Local(504, "upstream_response_timeout"),
        _ => broken,
    }
}

fn body(mut open: Open, time: Duration) -> Result<Answer, Broken> {
    let (mut buffer, until) = (vec![0; 16 * 1024], Instant::now() + time);
    while open.left > 0 {
        let most = buffer.len().min(open.left);
        match read_some(&open.stream, &mut buffer[..most], until)? {
            0 => return Err(Broken::Reset),
            n => {
                open.answer.body.extend_from_slice(&buffer[..n]);
                open.left -= n;
            }
        }
    }
    Ok(open.answer)
}

/// Streams that are held open after their placement.
pub struct Held {
    _streams: Vec<(mpsc::Sender<ProcessingRequest>, Streaming<ProcessingResponse>)>,
    _runtime: Runtime,
}

/// Opens so many streams, a hundred on a connection, each as far as its placement.
pub fn hold(address: SocketAddr, streams: usize, class: &str) -> Result<Held, String> {
    let runtime =
        Builder::new_multi_thread().worker_threads(2).enable_all().build().map_err(|e| e.to_string())?;
    let open = async {
        let mut all = Vec::with_capacity(streams);
        let mut client = None;
        for n in 0..streams {
            if n % 100 == 0 {
                client = Some(ExternalProcessorClient::new(channel(address)));
            }
            let client = client.as_mut().ok_or("no client")?;
            let (sender, messages) = mpsc::channel(2);
            let request = Request::get(&crate::client::path(class, n as u64, 0));
            let _ = sender.send(heads(&request, &request.fields)).await;
            let answers = client.process(ReceiverStream::new(messages)).await.map_err(|e| e.to_string())?;
            let mut answers = answers.into_inner();
            let answer = answers.message().await.map_err(|e| e.to_string())?.and_then(|r| r.response);
            match answer {
                Some(Said::RequestHeaders(_)) => all.push((sender, answers)),
                other => return Err(format!("stream {n} was not placed: {other:?}")),
            }
        }
        Ok(all)
    };
    let streams = runtime.block_on(open)?;
    Ok(Held { _streams: streams, _runtime: runtime })
}
