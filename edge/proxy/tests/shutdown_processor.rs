//! SIGTERM with a stream of the external processor and a client's request open: neither waits for the other's end, and the
//! process ends once both have.

use common::{config, start_with, Program};
use foldmux_fakes::caller::{hold, Held};
use foldmux_fakes::rpc::Said;
use held_attempts::{ask, Attempt, PendingResponse, BODY};
use std::net::TcpListener;

mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

const OBJECT: u64 = 0x1111_0000_0000_0001;
const SCRIPT: &str = r#"
ext_proc(listen = "127.0.0.1:0")
ask("sheet", path = "/v2/q/sheet/{object}/{part}")
"#;

/// The program as it leaves, with one stream and one client's request open.
struct Leaving {
    program: Program,
    stream: Held,
    request: PendingResponse,
    attempt: Attempt,
}

fn leaving() -> Leaving {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operator.star");
    std::fs::write(&file, SCRIPT).unwrap();
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let text = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let (program, [serves, processor]) =
        start_with(&text, &["--operator", &file.display().to_string()]);
    let stream = hold(processor.expect("an external processor"), 1, "sheet").unwrap();
    let request = ask(serves.expect("an address"), "sheet", OBJECT);
    let attempt = Attempt::next(&caches);
    program.signal("-TERM");
    program.line("draining: ");
    Leaving {
        program,
        stream,
        request,
        attempt,
    }
}

#[test]
fn a_client_is_answered_while_a_stream_is_held() {
    let Leaving {
        mut program,
        stream,
        request,
        attempt,
    } = leaving();
    attempt.serve();
    assert_eq!(request.said(), Some(Said::Served(BODY.to_vec())));
    // All clients are gone, and the stream is open still.
    assert!(program
        .line("after the signal")
        .contains("0 in flight, 0 connected"));
    drop(stream);
    assert!(program
        .line("external processor: placed")
        .contains("all streams ended: true"));
    assert!(program.ended().success());
}

#[test]
fn a_client_is_answered_after_the_last_stream_has_ended() {
    let Leaving {
        mut program,
        stream,
        request,
        attempt,
    } = leaving();
    drop(stream);
    assert!(program
        .line("external processor: placed")
        .contains("all streams ended: true"));
    attempt.serve();
    assert_eq!(request.said(), Some(Said::Served(BODY.to_vec())));
    assert!(program.ended().success());
}
