//! Calls as clients write them.

/// What a client waits in these tests (ms): as long as its class's deadline.
pub const WAIT_MS: u32 = 300_000;

/// A call of the class `sheet`, whole. The id is that of the object.
pub fn call(number: u32, object: u64) -> Vec<u8> {
    call_of("sheet", number, object, WAIT_MS, &[], &[0xc0])
}

/// A call with these fields beside the usual ones, and this body as it stands in the message.
pub fn call_of(
    class: &str,
    number: u32,
    object: u64,
    wait_ms: u32,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let (id, wait) = (format!("{object:016x}"), wait_ms.to_string());
    let usual = [
        ("i", &*id),
        ("d", &*wait),
        ("o", &*id),
        ("nth", "3"),
        ("batch", "17"),
        ("m", "500"),
    ];
    let mut bytes = b"\x94\x00\xce".to_vec();
    bytes.extend(number.to_be_bytes());
    text(&mut bytes, class);
    bytes.extend([0x92, 0x80 | (usual.len() + more.len()) as u8]);
    for (name, value) in usual.iter().chain(more) {
        text(&mut bytes, name);
        text(&mut bytes, value);
    }
    bytes.extend(body);
    bytes
}

fn text(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend([0xd9, text.len() as u8]);
    bytes.extend(text.as_bytes());
}

/// The head of a binary value.
pub fn binary(length: u16) -> Vec<u8> {
    [&[0xc5], &length.to_be_bytes()[..]].concat()
}
