//! MessagePack-RPC requests as clients write them.

/// How long a client waits for a response (ms): as long as the deadline of its class.
pub const CLIENT_TIMEOUT_MS: u32 = 300_000;

/// A complete request of the class `sheet`. Its request id is the object's number.
pub fn encode_request(number: u32, object: u64) -> Vec<u8> {
    encode_request_with("sheet", number, object, CLIENT_TIMEOUT_MS, &[], &[0xc0])
}

/// A request with `extra` fields after the standard ones; `body` is the encoded MessagePack value.
pub fn encode_request_with(
    class: &str,
    number: u32,
    object: u64,
    timeout_ms: u32,
    extra: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let (id, timeout) = (format!("{object:016x}"), timeout_ms.to_string());
    let standard = [
        ("i", &*id),
        ("d", &*timeout),
        ("o", &*id),
        ("nth", "3"),
        ("batch", "17"),
        ("m", "500"),
    ];
    let mut bytes = b"\x94\x00\xce".to_vec();
    bytes.extend(number.to_be_bytes());
    push_text(&mut bytes, class);
    bytes.extend([0x92, 0x80 | (standard.len() + extra.len()) as u8]);
    for (name, value) in standard.iter().chain(extra) {
        push_text(&mut bytes, name);
        push_text(&mut bytes, value);
    }
    bytes.extend(body);
    bytes
}

/// Appends a MessagePack str 8.
fn push_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend([0xd9, text.len() as u8]);
    bytes.extend(text.as_bytes());
}

/// The header of a MessagePack bin 16 of this length.
pub fn bin16_header(length: u16) -> Vec<u8> {
    [&[0xc5], &length.to_be_bytes()[..]].concat()
}
