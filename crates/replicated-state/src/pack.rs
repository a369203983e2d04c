//! Bytes packed as what differs from others that both sides hold: a configuration that adds a route to a thousand is sent
//! and kept as that route.

use std::io::{Read, Write};

/// How hard it tries: little, the machines are small.
const LEVEL: i32 = 1;

/// Packs bytes against what the reader holds. Errors are the library's.
pub fn pack(bytes: &[u8], held: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), LEVEL, held)?;
    // What is held must be within reach.
    let reach = (bytes.len() + held.len()).next_power_of_two().trailing_zeros().clamp(10, 24);
    encoder.window_log(reach)?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Unpacks what [`pack`] made against the same bytes, `most` bytes at most. Errors: it is something else, or longer.
pub fn unpack(packed: &[u8], held: &[u8], most: usize) -> std::io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(packed, held)?;
    decoder.window_log_max(24)?;
    let mut out = Vec::new();
    decoder.take(most as u64 + 1).read_to_end(&mut out)?;
    if out.len() > most {
        return Err(std::io::ErrorKind::FileTooLarge.into());
    }
    Ok(out)
}
