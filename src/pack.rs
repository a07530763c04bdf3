//! Compression of configurations that hosts send to each other, with a limit on the inflated size.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{self, Read};

use crate::platform::MAX_VALUE_BYTES;

/// Deflates a configuration.
pub(crate) fn deflate(value: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    DeflateEncoder::new(value, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Inflates a configuration; fails if it is larger than an object on the platform may be.
pub(crate) fn inflate(compressed: &[u8]) -> io::Result<Box<[u8]>> {
    let limit = MAX_VALUE_BYTES as u64;
    let mut value = Vec::new();
    DeflateDecoder::new(compressed).take(limit + 1).read_to_end(&mut value)?;
    if value.len() > MAX_VALUE_BYTES {
        let problem = format!("configuration is larger than {MAX_VALUE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
    }
    Ok(value.into())
}
