//! How much of a write the system took, and where an answer's tag stands.

use foldmux_http1::io::{write_all, Unwritten};
use foldmux_http1::{read_response, Broken};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longer than anything takes; it ends a test that waits for what never comes.
const PATIENCE: Duration = Duration::from_secs(30);
/// More than the buffers of both ends hold.
const TOO_MUCH: usize = 64 * 1024 * 1024;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

#[test]
fn a_write_that_the_system_never_took_is_told_from_one_that_it_took_in_part() {
    let (near, mut far) = pair();
    assert_eq!(
        write_all(&near, &[b"ab", b"", b"c"], Instant::now() + PATIENCE),
        Ok(())
    );
    let mut bytes = [0; 3];
    far.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"abc");
    near.shutdown(Shutdown::Write).unwrap();
    let none = Unwritten {
        written: 0,
        cause: Broken::Reset,
    };
    assert_eq!(
        write_all(&near, &[b"", b"d"], Instant::now() + PATIENCE),
        Err(none)
    );
    let (near, _far) = pair();
    let none = Unwritten {
        written: 0,
        cause: Broken::TimedOut,
    };
    assert_eq!(write_all(&near, &[b"late"], Instant::now()), Err(none));
    // Nobody reads: what fits is taken, and then no more.
    let much = vec![0; TOO_MUCH];
    let stuck = write_all(
        &near,
        &[b"head", &much],
        Instant::now() + Duration::from_millis(200),
    )
    .unwrap_err();
    assert_eq!(stuck.cause, Broken::TimedOut);
    assert!((4..TOO_MUCH).contains(&stuck.written), "{}", stuck.written);
    assert_eq!(Broken::from(stuck), Broken::TimedOut);
}

#[test]
fn a_tag_is_found_where_it_stands_and_only_where_it_stands_once() {
    let tag = |head: &str| {
        let (near, mut far) = pair();
        far.write_all(format!("HTTP/1.1 {head}\r\n\r\n").as_bytes())
            .unwrap();
        let mut buffer = vec![0; 64 * 1024];
        let response = read_response(&near, &mut buffer, Instant::now() + PATIENCE).unwrap();
        response
            .tag
            .map(|at| String::from_utf8_lossy(&buffer[at]).into_owned())
    };
    assert_eq!(
        tag("304 Not Modified\r\nETag: beef").as_deref(),
        Some("beef")
    );
    assert_eq!(
        tag("304 Not Modified\r\netag:  \"beef\" ").as_deref(),
        Some("\"beef\"")
    );
    assert_eq!(tag("304 Not Modified\r\nETag:").as_deref(), Some(""));
    let early = "103 Early Hints\r\nETag: dead\r\n\r\nHTTP/1.1 304 Not Modified";
    assert_eq!(
        tag(&format!("{early}\r\nETag: beef")).as_deref(),
        Some("beef"),
        "of the answer that counts"
    );
    for none in [
        "",
        "\r\nETags: beef",
        "\r\nETag: a\r\nETag: a",
        "\r\nETag: a\r\nETag: b\r\nETag: c",
    ] {
        assert_eq!(tag(&format!("304 Not Modified{none}")), None, "{none}");
    }
}
