//! Unit tests of `request`.

use super::*;

fn read(text: &str) -> Result<Option<(Request, usize)>, Unread> {
    parse(text.as_bytes(), &mut |_, _| ())
}

#[test]
fn a_head_is_read_once_it_is_whole_and_only_if_its_length_is_plain() {
    let text = "GET /a HTTP/1.1\r\nHost: x\r\nX-Keep: 2\r\n\r\nrest";
    let mut seen = Vec::new();
    let (request, end) = parse(text.as_bytes(), &mut |n, v| {
        seen.push((n.to_string(), v.to_vec()))
    })
    .unwrap()
    .unwrap();
    assert_eq!(
        (request.path.as_str(), request.keep, &text[end..]),
        ("/a", true, "rest")
    );
    assert_eq!(seen[1], ("X-Keep".to_string(), b"2".to_vec()));
    for cut in 1..end {
        assert_eq!(read(&text[..cut]), Ok(None), "{cut}");
    }
    let with = |fields: &str| {
        read(&format!("GET /a HTTP/1.1\r\nHost: x\r\n{fields}\r\n")).map(|r| r.unwrap().0)
    };
    assert_eq!(with("Content-Length: 12\r\n").unwrap().length, 12);
    assert!(!with("Connection: x, Close\r\n").unwrap().keep);
    for bad in [
        "Content-Length: +1\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: \r\n",
        "Host: y\r\n",
    ] {
        assert_eq!(with(bad), Err(Unread::Malformed), "{bad}");
    }
    assert_eq!(
        with("Transfer-Encoding: chunked\r\n"),
        Err(Unread::LengthRequired)
    );
    assert_eq!(with(&"A: b\r\n".repeat(MOST_HEADERS)), Err(Unread::TooLong));
    assert_eq!(read("GET /a HTTP/1.1\r\n\r\n"), Err(Unread::Malformed));
    assert_eq!(read("\x16\x03\x01\r\n\r\n"), Err(Unread::Malformed));
}
