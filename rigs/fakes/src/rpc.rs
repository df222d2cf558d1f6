//! A counter terminal: one connection of MessagePack-RPC to an edge proxy, one request at a time.

use rmp::encode;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Terminal {
    stream: TcpStream,
    next: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Served(Vec<u8>),
    /// Turned away, and for how long (ms).
    Shed(u64),
    Failed(String),
}

/// Any value, as far as answers have them.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Number(i64),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl Terminal {
    pub fn connect(address: SocketAddr, time: Duration) -> io::Result<Terminal> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time))?;
        Ok(Terminal { stream, next: 0 })
    }

    /// Whether the proxy says that it is well.
    pub fn well(&mut self) -> io::Result<bool> {
        Ok(
            matches!(self.call("isWell", &BTreeMap::new(), None)?, (Value::Nil, Value::List(l)) if l.first() == Some(&Value::Bool(true))),
        )
    }

    pub fn ask(
        &mut self,
        class: &str,
        fields: &BTreeMap<&str, String>,
        body: &[u8],
    ) -> io::Result<Said> {
        let (error, result) = self.call(class, fields, Some(body))?;
        match (error, result) {
            (Value::Nil, Value::List(mut list)) if !list.is_empty() => match list.swap_remove(0) {
                Value::Bytes(bytes) => Ok(Said::Served(bytes)),
                _ => Err(bad("a result without bytes")),
            },
            (Value::List(list), Value::Nil) => {
                let text = |v: &Value| match v {
                    Value::Bytes(bytes) => String::from_utf8_lossy(bytes).into_owned(),
                    _ => String::new(),
                };
                let name = list.first().map(text).unwrap_or_default();
                let wait = match list.get(1) {
                    Some(Value::Map(map)) => map
                        .iter()
                        .find(|(k, _)| text(k) == "w")
                        .map(|(_, v)| text(v)),
                    _ => None,
                };
                match name.as_str() {
                    "Shed" => Ok(Said::Shed(wait.and_then(|w| w.parse().ok()).unwrap_or(0))),
                    _ => Ok(Said::Failed(name)),
                }
            }
            _ => Err(bad("neither an error nor a result")),
        }
    }

    fn call(
        &mut self,
        method: &str,
        fields: &BTreeMap<&str, String>,
        body: Option<&[u8]>,
    ) -> io::Result<(Value, Value)> {
        self.next += 1;
        let mut bytes = Vec::new();
        let said = |e: encode::ValueWriteError| bad(&e.to_string());
        encode::write_array_len(&mut bytes, 4).map_err(said)?;
        encode::write_uint(&mut bytes, 0).map_err(said)?;
        encode::write_uint(&mut bytes, self.next as u64).map_err(said)?;
        encode::write_str(&mut bytes, method).map_err(said)?;
        encode::write_array_len(&mut bytes, 1 + body.is_some() as u32).map_err(said)?;
        encode::write_map_len(&mut bytes, fields.len() as u32).map_err(said)?;
        for (name, value) in fields {
            encode::write_str(&mut bytes, name).map_err(said)?;
            encode::write_str(&mut bytes, value).map_err(said)?;
        }
        if let Some(body) = body {
            encode::write_bin(&mut bytes, body).map_err(said)?;
        }
        self.stream.write_all(&bytes)?;
        match read(&mut self.stream, 0)? {
            Value::List(mut list) if list.len() == 4 => {
                let (result, error) = (
                    list.pop().unwrap_or(Value::Nil),
                    list.pop().unwrap_or(Value::Nil),
                );
                match list[..] {
                    [Value::Number(1), Value::Number(id)] if id == self.next as i64 => {
                        Ok((error, result))
                    }
                    _ => Err(bad("an answer to something else")),
                }
            }
            _ => Err(bad("no answer")),
        }
    }
}

fn read(stream: &mut TcpStream, depth: usize) -> io::Result<Value> {
    use rmp::Marker;
    if depth > 8 {
        return Err(bad("too deep"));
    }
    let mut take = |n: u32| {
        let mut bytes = vec![0; n as usize];
        stream.read_exact(&mut bytes).map(|()| bytes)
    };
    let big = |bytes: Vec<u8>| bytes.iter().fold(0u64, |n, b| n << 8 | *b as u64);
    let marker = Marker::from_u8(take(1)?[0]);
    Ok(match marker {
        Marker::Null => Value::Nil,
        Marker::True => Value::Bool(true),
        Marker::False => Value::Bool(false),
        Marker::FixPos(n) => Value::Number(n as i64),
        Marker::U8 => Value::Number(big(take(1)?) as i64),
        Marker::U16 => Value::Number(big(take(2)?) as i64),
        Marker::U32 => Value::Number(big(take(4)?) as i64),
        Marker::FixStr(n) => Value::Bytes(take(n as u32)?),
        Marker::Str8 | Marker::Bin8 => {
            let n = big(take(1)?) as u32;
            Value::Bytes(take(n)?)
        }
        Marker::Str16 | Marker::Bin16 => {
            let n = big(take(2)?) as u32;
            Value::Bytes(take(n)?)
        }
        Marker::Bin32 => {
            let n = big(take(4)?) as u32;
            Value::Bytes(take(n.min(1 << 24))?)
        }
        Marker::FixArray(n) => Value::List(
            (0..n)
                .map(|_| read(stream, depth + 1))
                .collect::<io::Result<_>>()?,
        ),
        Marker::FixMap(n) => Value::Map(
            (0..n)
                .map(|_| Ok((read(stream, depth + 1)?, read(stream, depth + 1)?)))
                .collect::<io::Result<_>>()?,
        ),
        other => return Err(bad(&format!("an unexpected {other:?}"))),
    })
}
