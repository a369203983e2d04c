//! Delta compression: bytes are encoded as their difference from other bytes that both sides have. A configuration that
//! adds one route to a thousand is sent and stored as that route.

use std::io::{Read, Write};

/// The compression level of zstd. A low one, since the machines have little CPU.
const LEVEL: i32 = 1;

/// Compresses `bytes` against `reference`, which the receiver has as well. Errors come from the compression library.
pub fn pack(bytes: &[u8], reference: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), LEVEL, reference)?;
    // The window must span the reference, or matches in it are not found.
    let window_log = (bytes.len() + reference.len()).next_power_of_two().trailing_zeros().clamp(10, 24);
    encoder.window_log(window_log)?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses the output of [`pack`] against the same reference, to at most `max_length` bytes.
///
/// # Errors
///
/// The input is not valid, or its content is longer than `max_length`.
pub fn unpack(packed: &[u8], reference: &[u8], max_length: usize) -> std::io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(packed, reference)?;
    decoder.window_log_max(24)?;
    let mut out = Vec::new();
    decoder.take(max_length as u64 + 1).read_to_end(&mut out)?;
    if out.len() > max_length {
        return Err(std::io::ErrorKind::FileTooLarge.into());
    }
    Ok(out)
}
