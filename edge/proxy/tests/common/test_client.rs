//! A client of the proxy: sends requests of the class `sheet` and `isWell`.
#![allow(dead_code)]

use crate::common;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// How long the client waits for a response (ms): the latency objective of its class in the tests' settings.
const CLIENT_TIMEOUT_MS: &str = "20000";

pub struct Client {
    stream: BufReader<TcpStream>,
    number: u8,
}

/// Appends a MessagePack fixstr.
fn push_text(out: &mut Vec<u8>, text: &str) {
    assert!(text.len() < 32);
    out.push(0xa0 | text.len() as u8);
    out.extend(text.as_bytes());
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = common::with_read_timeout(TcpStream::connect(address).unwrap());
        Client {
            stream: BufReader::new(stream),
            number: 0,
        }
    }

    fn send_call(&mut self, method: &str, fields: &[(&str, &str)]) {
        self.number += 1;
        let mut out = vec![0x94, 0, self.number];
        push_text(&mut out, method);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            push_text(&mut out, name);
            push_text(&mut out, value);
        }
        out.push(0xc0);
        self.stream.get_mut().write_all(&out).unwrap();
    }

    /// Requests the first part of an object.
    pub fn send_request(&mut self, object: u64) {
        let (id, object) = (
            format!("{:016x}", object ^ 0x9b1f_03aa_5c7e_2d41),
            format!("{object:016x}"),
        );
        let fields = [
            ("i", &*id),
            ("d", CLIENT_TIMEOUT_MS),
            ("o", &*object),
            ("nth", "0"),
            ("batch", "17"),
            ("m", "500"),
        ];
        self.send_call("sheet", &fields);
    }

    /// Reads the next message and returns it escaped.
    pub fn read_response(&mut self) -> String {
        common::read_message(&mut self.stream)
    }

    /// Requests an object and returns whether the response has these bytes.
    pub fn is_served(&mut self, object: u64, bytes: &str) -> bool {
        self.send_request(object);
        self.read_response().ends_with(&format!(
            "\\xc0\\x92\\xc4\\x{:02x}{bytes}\\x80",
            bytes.len()
        ))
    }

    /// Whether the proxy's response to `isWell` is true.
    pub fn is_well(&mut self) -> bool {
        self.send_call("isWell", &[]);
        let response = self.read_response();
        assert!(
            response.ends_with("\\xc3\\x80") || response.ends_with("\\xc2\\x80"),
            "{response}"
        );
        response.ends_with("\\xc3\\x80")
    }
}
