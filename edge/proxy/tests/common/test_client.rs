//! A client of the program: requests of one class, and whether it is well.
#![allow(dead_code)]

use crate::common;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// How long a request waits for its answer (ms): as long as the class of the tests' settings allows.
const WAIT_MS: &str = "20000";

pub struct Client {
    stream: BufReader<TcpStream>,
    number: u8,
}

fn text(out: &mut Vec<u8>, text: &str) {
    assert!(text.len() < 32);
    out.push(0xa0 | text.len() as u8);
    out.extend(text.as_bytes());
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = common::connected(TcpStream::connect(address).unwrap());
        Client {
            stream: BufReader::new(stream),
            number: 0,
        }
    }

    fn call(&mut self, method: &str, fields: &[(&str, &str)]) {
        self.number += 1;
        let mut out = vec![0x94, 0, self.number];
        text(&mut out, method);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            text(&mut out, name);
            text(&mut out, value);
        }
        out.push(0xc0);
        self.stream.get_mut().write_all(&out).unwrap();
    }

    /// Asks for the first part of an object.
    pub fn ask(&mut self, object: u64) {
        let (id, object) = (
            format!("{:016x}", object ^ 0x9b1f_03aa_5c7e_2d41),
            format!("{object:016x}"),
        );
        let fields = [
            ("i", &*id),
            ("d", WAIT_MS),
            ("o", &*object),
            ("nth", "0"),
            ("batch", "17"),
            ("m", "500"),
        ];
        self.call("sheet", &fields);
    }

    /// The next answer, as text.
    pub fn answer(&mut self) -> String {
        common::message(&mut self.stream)
    }

    /// Asks for an object and says whether it was served with these bytes.
    pub fn is_served(&mut self, object: u64, bytes: &str) -> bool {
        self.ask(object);
        self.answer().ends_with(&format!(
            "\\xc0\\x92\\xc4\\x{:02x}{bytes}\\x80",
            bytes.len()
        ))
    }

    pub fn is_well(&mut self) -> bool {
        self.call("isWell", &[]);
        let answer = self.answer();
        assert!(
            answer.ends_with("\\xc3\\x80") || answer.ends_with("\\xc2\\x80"),
            "{answer}"
        );
        answer.ends_with("\\xc3\\x80")
    }
}
