//! Hosts foldmux routers on the simulator's wire. It translates and decides nothing.

pub mod host;
pub mod wire;

use std::io::{self, Read, Write};

/// Plays batches until the input ends; an error is one plain line.
pub fn run(input: impl Read, output: impl Write) -> Result<(), String> {
    run_on(host::Host::default(), input, output)
}

/// The same with a host that was set up before.
pub fn run_on(
    mut host: host::Host,
    mut input: impl Read,
    mut output: impl Write,
) -> Result<(), String> {
    let mut head = [0u8; wire::HEADER];
    let mut body = Vec::new();
    loop {
        let got = fill(&mut input, &mut head).map_err(|e| format!("reading: {e}"))?;
        if got == 0 {
            return Ok(());
        }
        if got < head.len() {
            return Err(format!(
                "malformed frame: header, offset {got}: the input ends"
            ));
        }
        let (now, length, records) = wire::header(&head).map_err(|e| e.to_string())?;
        body.clear();
        let got = (&mut input)
            .take(length as u64)
            .read_to_end(&mut body)
            .map_err(|e| format!("reading: {e}"))?;
        if got < length {
            return Err(format!(
                "malformed frame: body, offset {got}: the input ends, {length} bytes were due"
            ));
        }
        let reply = host.batch(now, &body, records)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
}

/// Reads until the buffer is full or the input ends.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}
