//! A request to a cache, and its response.

use super::{Point, Request};
use crate::client::Answer;
use foldmux_http1::answer::{read_head, Broken, Length};
use foldmux_http1::io::{read_some, write_all};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What became of the request upstream.
pub(super) enum Sent {
    Head(Box<Open>),
    /// Nothing of a response: the caller's own answer, with the details that it publishes.
    Local(u16, &'static str),
}

/// A response whose head is there.
pub(super) struct Open {
    stream: TcpStream,
    pub(super) answer: Answer,
    left: usize,
}

/// Sends a request, and reads the head of its response. `cut`: leaves there.
pub(super) fn send(
    request: &Request,
    path: &str,
    fields: &BTreeMap<String, String>,
    to: SocketAddr,
    time: Duration,
    cut: Option<Point>,
) -> Sent {
    let until = Instant::now() + time;
    let refused = "upstream_reset_before_response_started{remote_connection_failure}";
    let Ok(stream) = TcpStream::connect_timeout(&to, time) else {
        return Sent::Local(503, refused);
    };
    let _ = stream.set_nodelay(true);
    let mut head = format!("{} {path} HTTP/1.1\r\nHost: {to}\r\n", request.method);
    fields
        .iter()
        .for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let bytes = [head.as_bytes(), &request.body].concat();
    let part = if cut == Some(Point::DuringSend) {
        bytes.len() / 2
    } else {
        bytes.len()
    };
    let broken = Sent::Local(
        503,
        "upstream_reset_before_response_started{connection_termination}",
    );
    if write_all(&stream, &[&bytes[..part]], until).is_err() || cut.is_some() {
        return broken;
    }
    let (mut buffer, mut filled, mut found) = (vec![0; 32 * 1024], 0, HashMap::new());
    let read = read_head(
        &stream,
        &mut buffer,
        &mut filled,
        until,
        &mut |name, value| {
            found.insert(
                name.to_ascii_lowercase(),
                String::from_utf8_lossy(value).into_owned(),
            );
        },
    );
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
                answer: Answer {
                    status,
                    untouched,
                    length,
                    fields: found,
                    body,
                },
                left,
            }))
        }
        Err(Broken::TimedOut) => Sent::Local(504, "upstream_response_timeout"),
        _ => broken,
    }
}

/// Reads the rest of a response.
pub(super) fn body(mut open: Open, time: Duration) -> Result<Answer, Broken> {
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
