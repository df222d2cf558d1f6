//! Who may call, and what any caller may ask beside decisions: health and reflection.

use common::{script, store, Instance, PATIENCE};
use foldmux_extproc::serve::block_on;
use foldmux_fakes::issuer::{Authority, Svid};
use foldmux_fakes::source::{Act, Source};
use rustls::pki_types::ServerName;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tonic::transport::Endpoint;
use tonic_health::pb::health_client::HealthClient;
use tonic_health::pb::HealthCheckRequest;
use tonic_reflection::pb::v1::server_reflection_client::ServerReflectionClient;
use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
use tonic_reflection::pb::v1::server_reflection_response::MessageResponse;
use tonic_reflection::pb::v1::ServerReflectionRequest;

mod common;

const SERVICE: &str = "envoy.service.ext_proc.v3.ExternalProcessor";

/// Begins HTTP/2 over TLS; the server's first frame, if it serves this peer.
fn first_frame(at: SocketAddr, trusted: &Authority, shown: &Svid) -> std::io::Result<Vec<u8>> {
    let stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let name = ServerName::try_from("localhost").unwrap();
    let connection = rustls::ClientConnection::new(trusted.peer(shown, &[b"h2"]), name)
        .map_err(std::io::Error::other)?;
    let mut stream = rustls::StreamOwned::new(connection, stream);
    stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")?;
    stream.flush()?;
    let mut head = [0; 9];
    stream.read_exact(&mut head)?;
    Ok(head.to_vec())
}

#[test]
fn over_tls_allowed_spiffe_ids_alone_may_call_and_rotation_is_followed() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Source::start(|_| Act::give(10, Duration::ZERO));
    let (old, new) = (Authority::new(), Authority::new());
    old.lay(folder.path(), "spiffe://colour.example/foldmux");
    let at = |name: &str| folder.path().join(name).display().to_string();
    let tls = format!(
        r#", svid = "{}", key = "{}", bundle = "{}", allowed = ["spiffe://colour.example/front"]"#,
        at("svid.pem"),
        at("key.pem"),
        at("bundle.pem")
    );
    let instance = Instance::start(
        &script(&tls, ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let caller = ["spiffe://colour.example/front"];
    let frame = first_frame(instance.address, &old, &old.svid(&caller)).unwrap();
    assert_eq!(frame[3], 4, "SETTINGS: {frame:?}");
    for ids in [
        &["spiffe://colour.example/other"][..],
        &[],
        &[caller[0], "spiffe://colour.example/b"],
    ] {
        assert!(
            first_frame(instance.address, &old, &old.svid(ids)).is_err(),
            "{ids:?}"
        );
    }
    assert!(
        first_frame(instance.address, &old, &new.svid(&caller)).is_err(),
        "another authority's"
    );
    // Plain text is no way in.
    let mut plain = TcpStream::connect(instance.address).unwrap();
    plain.set_read_timeout(Some(PATIENCE)).unwrap();
    plain
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    // At most an alert of TLS, and no frame of HTTP/2.
    assert!(answer.first().is_none_or(|byte| *byte == 21), "{answer:?}");
    new.lay(folder.path(), "spiffe://colour.example/foldmux");
    assert!(first_frame(instance.address, &new, &new.svid(&caller)).is_ok());
    assert!(first_frame(instance.address, &new, &old.svid(&caller)).is_err());
}

#[test]
fn health_and_reflection_are_there() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Source::start(|_| Act::give(10, Duration::ZERO));
    let mut instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let at = format!("http://{}", instance.address);
    block_on(async {
        let channel = Endpoint::from_shared(at).unwrap().connect().await.unwrap();
        let mut health = HealthClient::new(channel.clone());
        let ask = || HealthCheckRequest {
            service: SERVICE.to_string(),
        };
        let mut told = health.watch(ask()).await.unwrap().into_inner();
        // SERVING is 1, once the members are known.
        while told.message().await.unwrap().unwrap().status != 1 {}
        let mut client = ServerReflectionClient::new(channel);
        let asks = [
            MessageRequest::ListServices(String::new()),
            MessageRequest::FileContainingSymbol(SERVICE.to_string()),
        ];
        let asks = asks.map(|ask| ServerReflectionRequest {
            host: String::new(),
            message_request: Some(ask),
        });
        let mut answers = client
            .server_reflection_info(tokio_stream::iter(asks))
            .await
            .unwrap()
            .into_inner();
        let mut next = async || {
            answers
                .message()
                .await
                .unwrap()
                .unwrap()
                .message_response
                .unwrap()
        };
        let MessageResponse::ListServicesResponse(services) = next().await else {
            panic!()
        };
        assert!(
            services.service.iter().any(|s| s.name == SERVICE),
            "{services:?}"
        );
        let MessageResponse::FileDescriptorResponse(files) = next().await else {
            panic!()
        };
        assert_eq!(files.file_descriptor_proto.len(), 1);
    })
    .unwrap();
    // Whoever leaves says so first.
    assert!(instance.serving.leave(PATIENCE));
}
