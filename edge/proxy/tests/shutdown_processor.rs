//! SIGTERM with a stream of the external processor and a client's request open: neither waits for the other, and the
//! process exits once both have ended.

use common::{config, start_with_args, ProxyProcess};
use foldmux_fakes::caller::{hold, Held};
use foldmux_fakes::rpc::Said;
use held_attempts::{send_request, Attempt, PendingResponse, BODY};
use std::net::TcpListener;

mod common;
#[path = "common/held_attempts.rs"]
mod held_attempts;

const OBJECT: u64 = 0x1111_0000_0000_0001;
const SCRIPT: &str = r#"
ext_proc(listen = "127.0.0.1:0")
ask("sheet", path = "/v2/q/sheet/{object}/{part}")
"#;

/// A proxy that drains, with one stream and one client's request open.
struct DrainingProxy {
    proxy: ProxyProcess,
    stream: Held,
    request: PendingResponse,
    attempt: Attempt,
}

fn start_draining() -> DrainingProxy {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operator.star");
    std::fs::write(&file, SCRIPT).unwrap();
    let [caches, journal] = [0; 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let text = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let (proxy, [address, processor]) =
        start_with_args(&text, &["--operator", &file.display().to_string()]);
    let stream = hold(processor.expect("an external processor"), 1, "sheet").unwrap();
    let request = send_request(address.expect("an address"), "sheet", OBJECT);
    let attempt = Attempt::accept(&caches);
    proxy.signal("-TERM");
    proxy.wait_for_log("draining: ");
    DrainingProxy {
        proxy,
        stream,
        request,
        attempt,
    }
}

#[test]
fn a_client_gets_its_response_while_a_stream_is_open() {
    let DrainingProxy {
        mut proxy,
        stream,
        request,
        attempt,
    } = start_draining();
    attempt.serve();
    assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())));
    // All clients have left, and the stream is still open.
    assert!(proxy
        .wait_for_log("after the signal")
        .contains("0 in flight, 0 connected"));
    drop(stream);
    assert!(proxy
        .wait_for_log("external processor: placed")
        .contains("all streams ended: true"));
    assert!(proxy.wait().success());
}

#[test]
fn a_client_gets_its_response_after_the_last_stream_has_ended() {
    let DrainingProxy {
        mut proxy,
        stream,
        request,
        attempt,
    } = start_draining();
    drop(stream);
    assert!(proxy
        .wait_for_log("external processor: placed")
        .contains("all streams ended: true"));
    attempt.serve();
    assert_eq!(request.wait(), Some(Said::Served(BODY.to_vec())));
    assert!(proxy.wait().success());
}
