//! Clients that read slowly, or not for a while: they keep their connection, and get one answer for each request.

use std::collections::BTreeMap;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};
use test_proxy::{encode_request_with, Client, TestProxy, CLIENT_TIMEOUT_MS, TEST_TIMEOUT};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT: u64 = 0x1111_0000_0000_0000;
/// The size of the largest objects.
const LARGE_OBJECT_BYTES: usize = 240_000;
/// Requests for large objects: far more than their client can read in their time.
const LARGE_REQUESTS: u32 = 20;
/// How long their client waits for them (ms).
const SHORT_TIMEOUT_MS: u32 = 600;
/// The request whose client waits for long.
const LAST_REQUEST: u32 = LARGE_REQUESTS + 1;
/// Bytes that a slow client reads at once, and the pause after them: 1 MB a second.
const PIECE: usize = 50_000;
const PAUSE: Duration = Duration::from_millis(50);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Served(usize),
    Failed,
}

/// Splits what a connection brought into answers; the rest is a message that has not come whole.
#[derive(Default)]
struct Answers {
    bytes: Vec<u8>,
    by_number: BTreeMap<u32, Answer>,
}

impl Answers {
    fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        while let Some((number, answer, length)) = parse(&self.bytes) {
            assert!(
                self.by_number.insert(number, answer).is_none(),
                "a second answer to {number}"
            );
            self.bytes.drain(..length);
        }
    }
}

/// The first message, if it is whole: its request's number, what it says, and its length.
fn parse(bytes: &[u8]) -> Option<(u32, Answer, usize)> {
    let number = u32::from(*bytes.get(2)?);
    assert_eq!(bytes[..2], *b"\x94\x01");
    assert!(number < 0x80, "one byte");
    match (bytes.get(3)?, bytes.get(4)?) {
        // No error, an array of two, a body of 8 or 32 bits of length, and no fields.
        (0xc0, 0x92) => {
            let (start, body) = match bytes.get(5)? {
                0xc4 => (7, usize::from(*bytes.get(6)?)),
                0xc6 => (10, {
                    let length = bytes.get(6..10)?;
                    u32::from_be_bytes(length.try_into().unwrap()) as usize
                }),
                other => panic!("a body that begins with {other:x}"),
            };
            let length = start + body + 1;
            (bytes.len() >= length).then_some((number, Answer::Served(body), length))
        }
        // An error: an array of its name and its fields, and nil.
        (0x92, _) => {
            let length = 1 + bytes.iter().skip(4).position(|byte| *byte == 0xc0)? + 4;
            Some((number, Answer::Failed, length))
        }
        other => panic!("an answer that goes on with {other:x?}"),
    }
}

/// Sends the requests for large objects, which are all served by the cache at once, and one that is not answered yet.
fn ask(proxy: &TestProxy) -> (Client, test_proxy::Attempt) {
    let mut client = proxy.client();
    for number in 1..=LARGE_REQUESTS {
        let object = OBJECT + u64::from(number);
        client.send(&encode_request_with(
            "sheet",
            number,
            object,
            SHORT_TIMEOUT_MS,
            &[],
            &[0xc0],
        ));
        let mut attempt = proxy.next_attempt();
        thread::spawn(move || attempt.respond(&[b'x'; LARGE_OBJECT_BYTES]));
    }
    client.send(&encode_request_with(
        "sheet",
        LAST_REQUEST,
        OBJECT,
        CLIENT_TIMEOUT_MS,
        &[],
        &[0xc0],
    ));
    let last = proxy.next_attempt();
    (client, last)
}

/// Reads a piece and pauses, again and again, until the answer to this request has come.
fn read_slowly(client: &mut Client, answers: &mut Answers, number: u32) {
    let end = Instant::now() + TEST_TIMEOUT;
    let mut piece = vec![0; PIECE];
    while !answers.by_number.contains_key(&number) {
        assert!(Instant::now() < end, "no answer to {number}");
        let count = client.stream.read(&mut piece).expect("no reset");
        assert!(
            count > 0,
            "the connection ended before the answer to {number}"
        );
        answers.add(&piece[..count]);
        thread::sleep(PAUSE);
    }
}

/// Asserts that each request got its answer, and some of the large ones their body.
fn assert_all_answered(answers: &Answers) {
    let numbers: Vec<u32> = answers.by_number.keys().copied().collect();
    assert_eq!(numbers, Vec::from_iter(1..=LAST_REQUEST));
    assert_eq!(answers.by_number[&LAST_REQUEST], Answer::Served(2));
    let large = Answer::Served(LARGE_OBJECT_BYTES);
    assert!(answers.by_number.values().any(|answer| *answer == large));
}

/// Guards against a client that reads slowly losing its connection in the middle of an answer, and with it all that is open
/// there; and against answers that are left out without a word.
#[test]
fn a_client_that_reads_slowly_gets_an_answer_to_each_of_its_requests() {
    let proxy = TestProxy::start();
    let (mut client, mut last) = ask(&proxy);
    let mut answers = Answers::default();
    // All large requests have ended by then, one way or the other.
    let reader = thread::spawn(move || {
        for number in 1..=LARGE_REQUESTS {
            read_slowly(&mut client, &mut answers, number);
        }
        last.respond(b"ok");
        read_slowly(&mut client, &mut answers, LAST_REQUEST);
        answers
    });
    assert_all_answered(&reader.join().unwrap());
}

/// Guards against a client that does not read for longer than its requests' time, and then goes on, losing its connection.
#[test]
fn a_client_that_stops_reading_for_a_while_keeps_its_connection() {
    let proxy = TestProxy::start();
    let (mut client, mut last) = ask(&proxy);
    // Past the time of the large requests, and the half second after it.
    thread::sleep(Duration::from_millis(u64::from(SHORT_TIMEOUT_MS) + 800));
    let mut answers = Answers::default();
    for number in 1..=LARGE_REQUESTS {
        read_slowly(&mut client, &mut answers, number);
    }
    last.respond(b"ok");
    read_slowly(&mut client, &mut answers, LAST_REQUEST);
    assert_all_answered(&answers);
}
