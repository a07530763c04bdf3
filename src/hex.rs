//! Bytes as text.

use std::fmt::Write;

/// Bytes as lower-case hexadecimal digits.
pub(crate) fn encode_hex(bytes: &[u8]) -> Box<str> {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text.into()
}
