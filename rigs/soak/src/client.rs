//! A client on one connection after the other: it asks, gives up, closes, rests, and records how each request ended.

use crate::check::CROSSING;
use crate::config::{DEADLINE_MS, RECORD, SHEET};
use crate::plan::Dice;
use crate::record::{Answer, Gone, Record, Request};
use crate::traffic::length;
use foldmux_fakes::body;
use rmpv::Value;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Open requests that one connection carries.
const OPEN: usize = 32;
/// Most requests that are written without a pause.
const BURST: u64 = 20;
/// Between the pieces of a message that comes in two.
const PIECES: Duration = Duration::from_millis(30);
/// Between two tries to connect.
const CONNECT_AGAIN: Duration = Duration::from_millis(20);
/// The shortest wait of a request (ms), and of one with very little time left.
const SHORTEST_MS: u64 = 150;
const HOPELESS_MS: u64 = 2;
/// A served part is small enough to be checked whole.
const PART: u32 = 0;

/// What all clients of a run share.
pub struct World {
    pub serves: SocketAddr,
    pub record: Arc<Record>,
    /// The process has ended: nothing is asked any more.
    pub over: AtomicBool,
    pub connections: AtomicU64,
    pub ids: AtomicU64,
    /// Requests that crossed the end of a resting connection.
    pub crossed: AtomicU64,
}

#[derive(Default)]
struct State {
    open: HashMap<u32, (Request, u64)>,
    /// Answered or given up: another answer to one of these is recorded too.
    done: HashMap<u32, Request>,
    /// The other side has ended the connection.
    ended: bool,
}

struct Connection {
    stream: TcpStream,
    number: u64,
    state: Mutex<State>,
}

impl Connection {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a client until the run is over.
pub fn run(world: &Arc<World>, mut dice: Dice) {
    while !world.over.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(world.serves) else {
            thread::sleep(CONNECT_AGAIN);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let number = world.connections.fetch_add(1, Ordering::SeqCst);
        let connection = Arc::new(Connection {
            stream,
            number,
            state: Mutex::default(),
        });
        let (reads, read_world) = (connection.clone(), world.clone());
        let reader = thread::spawn(move || read(&reads, &read_world));
        talk(world, &connection, &mut dice);
        let _ = reader.join();
    }
}

/// Asks and gives up until the connection ends, by either side.
fn talk(world: &World, connection: &Connection, dice: &mut Dice) {
    let mut next = 1;
    loop {
        thread::sleep(Duration::from_millis(dice.number(1, 25)));
        if connection.state().ended || world.over.load(Ordering::SeqCst) {
            break;
        }
        match dice.number(0, 100) {
            0..4 => forget(connection),
            4..5 => return close(connection),
            5..8 => thread::sleep(Duration::from_millis(dice.number(100, 700))),
            kind => {
                let burst = if kind < 12 {
                    dice.number(2, BURST) as u32
                } else {
                    1
                };
                (next..next + burst).for_each(|number| ask(world, connection, dice, number));
                next += burst;
            }
        }
    }
}

fn ask(world: &World, connection: &Connection, dice: &mut Dice, number: u32) {
    let id = world.ids.fetch_add(1, Ordering::SeqCst);
    let (keyed, object) = (dice.chance(10), dice.number(1, 500));
    let shortest = if dice.chance(5) {
        HOPELESS_MS
    } else {
        SHORTEST_MS
    };
    let wait = Duration::from_millis(dice.number(shortest, DEADLINE_MS.min(shortest * 20)));
    let message = call(number, id, keyed, object, wait);
    let (answers, written) = (Vec::new(), Instant::now());
    let connection_number = connection.number;
    let request = Request {
        id,
        keyed,
        connection: connection_number,
        written,
        wait,
        answers,
        gone: None,
        ended: None,
    };
    let mut state = connection.state();
    if state.open.len() >= OPEN || state.ended {
        return;
    }
    state.open.insert(number, (request, object));
    // The lock keeps the order of the numbers, and an answer from being taken before the request is known.
    let cut = if dice.chance(4) { message.len() / 2 } else { 0 };
    let sent = in_pieces(&connection.stream, message.split_at(cut));
    match (sent, state.open.get_mut(&number)) {
        (Ok(()), Some((request, _))) => request.written = Instant::now(),
        // Not written whole: it was never taken.
        _ => drop(state.open.remove(&number)),
    }
}

/// Writes a message, with a pause between its pieces where there are two.
fn in_pieces(mut stream: &TcpStream, (first, second): (&[u8], &[u8])) -> std::io::Result<()> {
    if !first.is_empty() {
        stream.write_all(first)?;
        thread::sleep(PIECES);
    }
    stream.write_all(second)
}

fn call(number: u32, id: u64, keyed: bool, object: u64, wait: Duration) -> Vec<u8> {
    let mut fields = vec![
        ("i", format!("{id:016x}")),
        ("d", wait.as_millis().to_string()),
        ("o", format!("{object:016x}")),
        ("nth", PART.to_string()),
        ("batch", "1".to_string()),
        ("m", "10".to_string()),
    ];
    if keyed {
        fields.push(("k", format!("{id:032x}")));
    }
    let fields = fields
        .into_iter()
        .map(|(name, value)| (Value::from(name), Value::from(value)))
        .collect();
    let body = if keyed {
        Value::Binary(vec![7; 300])
    } else {
        Value::Nil
    };
    let class = if keyed { RECORD } else { SHEET };
    let parts = vec![
        0.into(),
        number.into(),
        class.into(),
        Value::Array(vec![Value::Map(fields), body]),
    ];
    let mut bytes = Vec::new();
    let _ = rmpv::encode::write_value(&mut bytes, &Value::Array(parts));
    bytes
}

/// Gives up one open request, where there is one.
fn forget(connection: &Connection) {
    let mut state = connection.state();
    let Some(number) = state.open.keys().next().copied() else {
        return;
    };
    let message = Value::Array(vec![
        2.into(),
        "forget".into(),
        Value::Array(vec![number.into()]),
    ]);
    let mut bytes = Vec::new();
    let _ = rmpv::encode::write_value(&mut bytes, &message);
    if (&connection.stream).write_all(&bytes).is_ok() {
        if let Some((mut request, _)) = state.open.remove(&number) {
            request.gone = Some((Gone::Forgot, Instant::now()));
            state.done.insert(number, request);
        }
    }
}

/// Closes, whatever is open.
fn close(connection: &Connection) {
    let mut state = connection.state();
    let _ = connection.stream.shutdown(Shutdown::Both);
    let now = Instant::now();
    for (number, (mut request, _)) in std::mem::take(&mut state.open) {
        request.gone = Some((Gone::Closed, now));
        state.done.insert(number, request);
    }
}

/// Reads answers until the connection ends.
fn read(connection: &Connection, world: &World) {
    let mut reader = BufReader::new(&connection.stream);
    while let Ok(message) = rmpv::decode::read_value(&mut reader) {
        let Some((number, answer)) = understood(&message) else {
            break;
        };
        let mut state = connection.state();
        let now = Instant::now();
        if let Some((mut request, object)) = state.open.remove(&number) {
            request
                .answers
                .push((answer.unwrap_or_else(|bytes| checked(&bytes, object)), now));
            state.done.insert(number, request);
        } else if let Some(request) = state.done.get_mut(&number) {
            // What was given up may be answered once; its bytes are not looked at.
            request
                .answers
                .push((answer.unwrap_or(Answer::Served), now));
        }
    }
    ended(connection, world);
}

/// The number of an answer, and what it says; bytes are still to be checked.
fn understood(message: &Value) -> Option<(u32, Result<Answer, Vec<u8>>)> {
    let parts = message.as_array().filter(|parts| parts.len() == 4)?;
    let number = u32::try_from(parts[1].as_u64()?).ok()?;
    let answer = match (&parts[2], &parts[3]) {
        (Value::Nil, Value::Array(result)) => Err(result.first()?.as_slice()?.to_vec()),
        (Value::Array(error), _) if error.first()?.as_str() == Some("Shed") => Ok(Answer::Refused),
        _ => Ok(Answer::Failed),
    };
    Some((number, answer))
}

fn checked(bytes: &[u8], object: u64) -> Answer {
    match bytes == body(object, PART, 1, length(object)) {
        true => Answer::Served,
        false => Answer::Spoilt,
    }
}

/// The other side has ended the connection, or this one has. What crossed the end of a resting one is not lost.
fn ended(connection: &Connection, world: &World) {
    let now = Instant::now();
    let mut state = connection.state();
    state.ended = true;
    std::mem::take(&mut state.done)
        .into_values()
        .for_each(|request| world.record.request(request));
    let crossing = |request: &Request| now.saturating_duration_since(request.written) <= CROSSING;
    let rested = state.open.values().all(|(request, _)| crossing(request));
    let open = std::mem::take(&mut state.open);
    for (mut request, _) in open.into_values() {
        if rested {
            world.crossed.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        request.ended = Some(now);
        world.record.request(request);
    }
}
