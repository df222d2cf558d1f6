//! What counts as a whole answer.

use super::*;
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

/// What is read of an answer that comes whole, and then the end.
fn read(bytes: &[u8]) -> Result<(u16, Vec<u8>, bool), Broken> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    far.write_all(bytes).unwrap();
    far.shutdown(Shutdown::Write).unwrap();
    let mut buffer = vec![0; 64 * 1024];
    let deadline = Instant::now() + Duration::from_secs(30);
    let response = read_response(&listener.accept().unwrap().0, &mut buffer, deadline)?;
    Ok((
        response.status,
        buffer[response.body].to_vec(),
        response.reusable,
    ))
}

#[test]
fn only_what_is_proved_whole_is_read() {
    assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent"), Err(Broken::Reset));
    let read = |head: &str, rest: &str| read(format!("HTTP/1.1 {head}\r\n\r\n{rest}").as_bytes());
    let (whole, chunked) = (
        "200 OK\r\nContent-Length: 2",
        "200 OK\r\nTransfer-Encoding: chunked",
    );
    let ok = |reusable| Ok((200, b"ok".to_vec(), reusable));
    assert_eq!(read(whole, "ok"), ok(true));
    assert_eq!(read(chunked, "2\r\nok\r\n0\r\n\r\n"), ok(true));
    // What is behind an answer is not its own: the answer is good, the connection no longer.
    assert_eq!(read(whole, "ok HTTP/1.1"), ok(false));
    assert_eq!(read(chunked, "2\r\nok\r\n0\r\n\r\nx"), ok(false));
    assert_eq!(
        read(&format!("{whole}\r\nConnection: foo, Close"), "ok"),
        ok(false)
    );
    let closing = "200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked";
    assert_eq!(
        read(closing, "2\r\nok\r\n0\r\n\r\n"),
        ok(false),
        "in whichever order"
    );
    assert_eq!(
        read("304 Not Modified\r\nContent-Length: 9", ""),
        Ok((304, vec![], true))
    );
    // Interim answers come first, within a bound.
    let many = |n| "100 Continue\r\n\r\nHTTP/1.1 ".repeat(n) + whole;
    assert_eq!(read(&many(MOST_INTERIM), "ok"), ok(true));
    assert_eq!(read(&many(MOST_INTERIM + 1), "ok"), Err(Broken::Unreadable));
    for (head, rest) in [(whole, "o"), (chunked, "2\r\nok\r\n0\r\n")] {
        assert_eq!(read(head, rest), Err(Broken::Reset), "{head}");
    }
    let endless = "200 OK\r\nETag: ".to_string() + &"x".repeat(MOST_HEAD);
    for (head, rest) in [
        ("200 OK", "ok"),
        ("101 Switching Protocols", ""),
        ("099 OK\r\nContent-Length: 2", "ok"),
        ("200 OK\r\nContent-Length: +2", "ok"),
        ("200 OK\r\nContent-Length: -2", "ok"),
        ("200 OK\r\nContent-Length:", "ok"),
        ("200 OK\r\nContent-Length: 2, 2", "ok"),
        ("200 OK\r\nContent-Length: 2\r\nContent-Length: 2", "ok"),
        (
            "200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked",
            "2\r\nok\r\n0\r\n\r\n",
        ),
        ("200 OK\r\nContent-Length: 3000000000", "ok"),
        ("304 Not Modified\r\nContent-Length: x", ""),
        (chunked, "-2\r\nok\r\n0\r\n\r\n"),
        (chunked, "2\r\nok\r\n\r\n\r\n"),
        (chunked, "2\r\nokay\r\n0\r\n\r\n"),
        (chunked, "ffffffffffffffff\r\nok"),
        (&endless, ""),
    ] {
        assert_eq!(read(head, rest), Err(Broken::Unreadable), "{head}");
    }
}

/// The report of an answer, as it stands in the buffer once all is read.
fn load(bytes: &[u8]) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    far.write_all(bytes).unwrap();
    far.shutdown(Shutdown::Write).unwrap();
    let mut buffer = vec![0; 64 * 1024];
    let deadline = Instant::now() + Duration::from_secs(30);
    let response = read_response(&listener.accept().unwrap().0, &mut buffer, deadline).unwrap();
    assert_eq!(
        &buffer[response.body], b"ok",
        "the answer is whole whatever it reports"
    );
    response.load.map(|at| buffer[at].to_vec())
}

#[test]
fn a_load_report_is_found_where_it_stands_and_costs_no_answer() {
    let with = |fields: &str| {
        load(format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\nok").as_bytes())
    };
    assert_eq!(with(""), None);
    assert_eq!(
        with("srv-load:  util:0.6;x1:2 \r\n").unwrap(),
        b"util:0.6;x1:2"
    );
    assert_eq!(with("Srv-Load:\r\n").unwrap(), b"");
    assert_eq!(
        with("Srv-Load: \u{e9};;;:::\r\n").map(|l| l.len()),
        Some(8),
        "any bytes that a field may hold"
    );
    assert_eq!(
        with(&format!("Srv-Load: {}\r\n", "x".repeat(12_000)))
            .unwrap()
            .len(),
        12_000
    );
    // Two of them contradict each other, three no less.
    let twice = "Srv-Load: util:0.1\r\nSrv-Load: util:0.9\r\n";
    assert_eq!(
        (with(twice), with(&format!("{twice}SRV-LOAD: util:0.5\r\n"))),
        (None, None)
    );
    // Behind interim answers, and with a body that is put together in place.
    let interim = "HTTP/1.1 100 Continue\r\nSrv-Load: util:1\r\n\r\n".repeat(3);
    let chunked = "HTTP/1.1 200 OK\r\nSrv-Load: util:0.2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
    assert_eq!(load((interim + chunked).as_bytes()).unwrap(), b"util:0.2");
}
