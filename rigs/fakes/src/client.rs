//! A client of the caches' HTTP/1.1: one request, one answer, read to its end.

use foldmux_http1::answer::{read_head, Broken, Length};
use foldmux_http1::io::{read_some, write_all};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub untouched: bool,
    /// As the head tells it.
    pub length: usize,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn born_ms(&self) -> u64 {
        self.field("x-born-ms").parse().unwrap_or(0)
    }
}

/// A connection that can be used again.
pub struct Client {
    stream: TcpStream,
    time: Duration,
}

impl Client {
    pub fn connect(address: SocketAddr, time: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, time })
    }

    pub fn send(&self, bytes: &[u8]) -> Result<(), Broken> {
        Ok(write_all(
            &self.stream,
            &[bytes],
            Instant::now() + self.time,
        )?)
    }

    pub fn read(&self, no_body: bool) -> Result<Answer, Broken> {
        let (mut buffer, mut filled, mut fields) = (vec![0; 32 * 1024], 0, HashMap::new());
        let until = Instant::now() + self.time;
        let (response, length) = read_head(
            &self.stream,
            &mut buffer,
            &mut filled,
            until,
            &mut |name, value| {
                fields.insert(
                    name.to_ascii_lowercase(),
                    String::from_utf8_lossy(value).into_owned(),
                );
            },
        )?;
        let Length::Known(told) = length else {
            return Err(Broken::Unreadable);
        };
        let length = if no_body { 0 } else { told };
        let mut body = buffer[response.body.start..filled].to_vec();
        while body.len() < length {
            match read_some(&self.stream, &mut buffer, until)? {
                0 => return Err(Broken::Reset),
                n => body.extend_from_slice(&buffer[..n]),
            }
        }
        body.truncate(length);
        Ok(Answer {
            status: response.status,
            untouched: response.untouched,
            length: told,
            fields,
            body,
        })
    }

    pub fn get(&self, path: &str, fields: &str) -> Result<Answer, Broken> {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: standin\r\n{fields}\r\n").as_bytes())?;
        self.read(false)
    }
}

/// One request on a connection of its own. `fields`: lines that each end in `\r\n`.
pub fn get(
    address: SocketAddr,
    path: &str,
    fields: &str,
    time: Duration,
) -> Result<Answer, Broken> {
    Client::connect(address, time)
        .map_err(|_| Broken::Reset)?
        .get(path, fields)
}

/// The path of a part.
pub fn path(class: &str, object: u64, part: u32) -> String {
    format!("/v2/q/{class}/{object:016x}/{part}")
}
