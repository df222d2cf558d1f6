//! Retries, waiters and cancellation of one shared fetch.

use super::*;
use std::time::Duration;

fn meta(tag: &str, length: usize) -> Meta {
    Meta {
        tag: tag.into(),
        born_ms: 7,
        length,
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

#[test]
fn a_try_that_brings_the_same_copy_goes_on_and_another_copy_breaks_off_what_began() {
    let flight = Flight::default();
    assert_eq!(flight.head(0, meta("a", 4), |_| ()), Some(0));
    assert!(flight.chunk(0, b"ab", |_| ()));
    let mut begun = Cursor::default();
    assert!(matches!(flight.look(&mut begun, soon()), Look::Head(_)));
    assert!(matches!(flight.look(&mut begun, soon()), Look::Chunks(c) if &*c[0] == b"ab"));
    // The try breaks off; what it says later is nothing.
    flight.next(1);
    assert!(!flight.chunk(0, b"xx", |_| ()) && flight.head(0, meta("a", 4), |_| ()).is_none());
    assert_eq!(
        flight.head(
            1,
            Meta {
                born_ms: 9,
                ..meta("a", 4)
            },
            |_| ()
        ),
        Some(2)
    );
    let mut kept = None;
    assert!(flight.chunk(1, b"cd", |copy| kept = Some(copy)));
    assert!(matches!(flight.look(&mut begun, soon()), Look::Chunks(c) if &*c[0] == b"cd"));
    assert!(matches!(flight.look(&mut begun, soon()), Look::Whole));
    let whole = kept.expect("kept with its last bytes");
    assert_eq!((whole.chunks.len(), whole.meta.born_ms), (2, 7));
    // Another copy.
    flight.next(2);
    assert_eq!(flight.head(2, meta("b", 1), |_| ()), Some(0));
    assert!(matches!(flight.look(&mut begun, soon()), Look::BrokenOff));
    let mut fresh = Cursor::default();
    assert!(matches!(flight.look(&mut fresh, soon()), Look::Head(m) if m.tag == "b"));
    flight.end(Verdict::Failed);
    assert!(matches!(flight.look(&mut fresh, soon()), Look::BrokenOff));
}

#[test]
fn nobody_waits_past_its_time_and_an_end_wakes_all() {
    let flight = Arc::new(Flight::default());
    assert!(matches!(
        flight.look(&mut Cursor::default(), Instant::now()),
        Look::Late
    ));
    let waits = flight.clone();
    let waiter = std::thread::spawn(move || {
        matches!(
            waits.look(&mut Cursor::default(), soon()),
            Look::Ended(Verdict::Missing)
        )
    });
    flight.end(Verdict::Missing);
    flight.end(Verdict::Failed);
    assert!(waiter.join().unwrap());
    flight.call_off();
    assert!(flight.called_off() && !flight.chunk(0, b"x", |_| ()));
}

#[test]
fn a_fetch_that_is_whole_is_not_called_off_and_its_connection_lives() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = Arc::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let flight = Flight::default();
    assert!(flight.hold(0, &socket));
    flight.head(0, meta("a", 1), |_| ());
    let mut kept = 0;
    assert!(flight.chunk(0, b"x", |_| kept += 1));
    // The only reader has it and leaves, before the thread that fetched has given its connection back.
    flight.call_off();
    assert!(!flight.called_off() && kept == 1);
    let mut far = listener.accept().unwrap().0;
    std::io::Write::write_all(&mut &*socket, b"next").expect("the connection was shut");
    let mut bytes = [0; 4];
    std::io::Read::read_exact(&mut far, &mut bytes).unwrap();
    assert_eq!(&bytes, b"next");
}
