//! Heads, bodies and pipelined requests, split at any byte.

use super::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CLEAN: HeadFindings = HeadFindings { conflicting_framing: false, bare_line_feed: false };
const CONFLICTING: HeadFindings = HeadFindings { conflicting_framing: true, ..CLEAN };
const BARE_LINE_FEED: HeadFindings = HeadFindings { bare_line_feed: true, ..CLEAN };

/// The findings for bytes that arrive in the given pieces.
fn findings_of<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> Vec<HeadFindings> {
    let mut framing = Framing::default();
    pieces.for_each(|piece| framing.observe(piece));
    std::iter::from_fn(|| framing.next_findings()).collect()
}

fn assert_findings_for_any_chunk_size(text: &[u8], expected: &[HeadFindings]) {
    for size in 1..=text.len() {
        let shown = String::from_utf8_lossy(text);
        assert_eq!(findings_of(text.chunks(size)), expected, "{shown} in parts of {size}");
    }
}

#[test]
fn bare_line_feed_is_detected_for_any_chunking() {
    assert_findings_for_any_chunk_size(
        b"\r\nGET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\nContent-Length: 14\r\n\r\nbody\nof lines\n",
        &[CLEAN],
    );
    assert_findings_for_any_chunk_size(b"GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", &[BARE_LINE_FEED]);
    assert_findings_for_any_chunk_size(b"GET /a HTTP/1.1\nHost: h\n\n", &[BARE_LINE_FEED]);
}

/// Guards against refusing a valid request because of text in its body, in a longer field name, or
/// in the request before it.
#[test]
fn only_header_fields_of_the_head_affect_its_framing() {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    let body_text = format!("{head}\r\n17\r\nContent-Length: 5\r\n\r\n\r\n\r\n0\r\n\r\n{head}\r\n0\r\n\r\n");
    assert_findings_for_any_chunk_size(body_text.as_bytes(), &[CLEAN, CLEAN]);
    let longer_names =
        format!("{head}X-Decoded-Content-Length: 5\r\nX-Name: Content-Length: 5\r\n\r\n0\r\n\r\n");
    assert_findings_for_any_chunk_size(longer_names.as_bytes(), &[CLEAN]);
    let trailer = format!("{head}\r\n0\r\nContent-Length: 5\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_findings_for_any_chunk_size(trailer.as_bytes(), &[CLEAN, CLEAN]);
}

#[test]
fn conflicting_framing_is_detected_in_pipelined_requests() {
    let with_length = "POST /a HTTP/1.1\r\nHost: h\r\ncontent-length:  3 \r\n\r\nabc";
    let conflicting = "POST /a HTTP/1.1\r\nHost: h\r\nCONTENT-LENGTH: 3\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n";
    let text = [with_length, conflicting, with_length, conflicting, "\r\n", with_length].concat();
    assert_findings_for_any_chunk_size(text.as_bytes(), &[CLEAN, CONFLICTING, CLEAN, CONFLICTING, CLEAN]);
}

/// After framing that cannot be determined, there are no findings for any head, so that its request
/// is refused.
#[test]
fn unparseable_framing_yields_no_further_findings() {
    for body in [
        "content-length: 3x\r\n\r\nabc",
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
        "content-length: \r\n\r\n",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{body}GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_findings_for_any_chunk_size(text.as_bytes(), &[CLEAN]);
    }
}

/// Parts of random bodies: text that might be part of a head, and text that looks like an end.
const BODY_PARTS: [&str; 12] = [
    "Content-Length: 5",
    "transfer-encoding: chunked",
    "\r\n",
    "\r\n\r\n",
    "\n",
    "0\r\n\r\n",
    "GET /b HTTP/1.1\r\n",
    "x",
    ":",
    "-",
    "\r",
    "5\r\n",
];

fn random_body(rng: &mut Pcg64Mcg) -> String {
    (0..rng.random_range(0..8)).filter_map(|_| BODY_PARTS.choose(rng)).copied().collect()
}

/// A request with random framing and body, and the expected findings.
fn random_request(rng: &mut Pcg64Mcg) -> (String, HeadFindings) {
    let (body, conflicting) = (random_body(rng), rng.random_bool(0.2));
    let mut head = String::from("POST /a HTTP/1.1\r\nHost: h\r\n");
    if rng.random_bool(0.5) {
        head += "X-Decoded-Content-Length: 7\r\n";
    }
    if conflicting || rng.random_bool(0.5) {
        let length = if conflicting {
            format!("Content-Length: {}\r\n", rng.random_range(0..99))
        } else {
            String::new()
        };
        let mut text = format!("{head}{length}Transfer-Encoding: chunked\r\n\r\n");
        let mut rest = body.as_str();
        while !rest.is_empty() {
            let (chunk, more) = rest.split_at(rng.random_range(1..=rest.len()));
            text += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
            rest = more;
        }
        text += "0\r\n";
        text += if rng.random_bool(0.3) { "Content-Length: 9\r\n\r\n" } else { "\r\n" };
        return (text, if conflicting { CONFLICTING } else { CLEAN });
    }
    (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), CLEAN)
}

/// Pipelined random requests, split anywhere, get the findings of their own heads, whatever their
/// bodies contain. To run with more inputs:
/// `FRAMING_INPUTS=10000000 cargo test --release -p milletwing-edge-proxy framing`.
#[test]
fn findings_are_independent_of_bodies_and_chunking() {
    let inputs = std::env::var("FRAMING_INPUTS").map_or(20_000, |text| text.parse().unwrap());
    for seed in 0..inputs {
        let rng = &mut Pcg64Mcg::seed_from_u64(seed);
        let (texts, expected): (Vec<String>, Vec<HeadFindings>) = (0..3).map(|_| random_request(rng)).unzip();
        let text = texts.concat();
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let (piece, more) = rest.split_at(rng.random_range(1..=rest.len().min(40)));
            pieces.push(piece);
            rest = more;
        }
        assert_eq!(findings_of(pieces.into_iter()), expected, "seed {seed}: {text:?}");
    }
}
