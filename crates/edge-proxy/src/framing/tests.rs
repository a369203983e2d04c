//! Heads, bodies and requests one behind the other, cut at any byte.

use super::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SOUND: HeadNotes = HeadNotes { two_framings: false, bare_line: false };
const TWO: HeadNotes = HeadNotes { two_framings: true, ..SOUND };
const BARE: HeadNotes = HeadNotes { bare_line: true, ..SOUND };

/// What is noticed of bytes that come in these pieces.
fn notes<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> Vec<HeadNotes> {
    let mut framing = Framing::default();
    pieces.for_each(|piece| framing.follow(piece));
    std::iter::from_fn(|| framing.next_head()).collect()
}

fn in_parts_of_any_size(text: &[u8], wanted: &[HeadNotes]) {
    for size in 1..=text.len() {
        let text_of = String::from_utf8_lossy(text);
        assert_eq!(notes(text.chunks(size)), wanted, "{text_of} in parts of {size}");
    }
}

#[test]
fn a_line_without_its_carriage_return_is_seen_however_the_bytes_come() {
    in_parts_of_any_size(
        b"\r\nGET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\nContent-Length: 14\r\n\r\nbody\nof lines\n",
        &[SOUND],
    );
    in_parts_of_any_size(b"GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", &[BARE]);
    in_parts_of_any_size(b"GET /a HTTP/1.1\nHost: h\n\n", &[BARE]);
}

/// Guards against DENIED: a proper request was refused for words of its body, of a longer field name, or of the request before it.
#[test]
fn only_a_heads_own_fields_are_its_framing() {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    let words = format!("{head}\r\n17\r\nContent-Length: 5\r\n\r\n\r\n\r\n0\r\n\r\n{head}\r\n0\r\n\r\n");
    in_parts_of_any_size(words.as_bytes(), &[SOUND, SOUND]);
    let longer = format!("{head}X-Decoded-Content-Length: 5\r\nX-Name: Content-Length: 5\r\n\r\n0\r\n\r\n");
    in_parts_of_any_size(longer.as_bytes(), &[SOUND]);
    let trailer = format!("{head}\r\n0\r\nContent-Length: 5\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    in_parts_of_any_size(trailer.as_bytes(), &[SOUND, SOUND]);
}

#[test]
fn two_framings_are_seen_in_each_of_requests_that_come_together() {
    let sized = "POST /a HTTP/1.1\r\nHost: h\r\ncontent-length:  3 \r\n\r\nabc";
    let both = "POST /a HTTP/1.1\r\nHost: h\r\nCONTENT-LENGTH: 3\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n";
    let text = [sized, both, sized, both, "\r\n", sized].concat();
    in_parts_of_any_size(text.as_bytes(), &[SOUND, TWO, SOUND, TWO, SOUND]);
}

/// Behind what can't be followed nothing is said of any head, so that its request is refused.
#[test]
fn what_can_not_be_followed_says_nothing_more() {
    for body in [
        "content-length: 3x\r\n\r\nabc",
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
        "content-length: \r\n\r\n",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{body}GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        in_parts_of_any_size(text.as_bytes(), &[SOUND]);
    }
}

/// Pieces of which bodies are made: whatever a head may hold, and what looks like an end.
const WORDS: [&str; 12] = [
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

fn body(dice: &mut Pcg64Mcg) -> String {
    (0..dice.random_range(0..8)).filter_map(|_| WORDS.choose(dice)).copied().collect()
}

/// A request of any framing and body, and what is to be noticed of it.
fn request(dice: &mut Pcg64Mcg) -> (String, HeadNotes) {
    let (body, both) = (body(dice), dice.random_bool(0.2));
    let mut head = String::from("POST /a HTTP/1.1\r\nHost: h\r\n");
    if dice.random_bool(0.5) {
        head += "X-Decoded-Content-Length: 7\r\n";
    }
    if both || dice.random_bool(0.5) {
        let length =
            if both { format!("Content-Length: {}\r\n", dice.random_range(0..99)) } else { String::new() };
        let mut text = format!("{head}{length}Transfer-Encoding: chunked\r\n\r\n");
        let mut rest = body.as_str();
        while !rest.is_empty() {
            let (chunk, more) = rest.split_at(dice.random_range(1..=rest.len()));
            text += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
            rest = more;
        }
        text += "0\r\n";
        text += if dice.random_bool(0.3) { "Content-Length: 9\r\n\r\n" } else { "\r\n" };
        return (text, if both { TWO } else { SOUND });
    }
    (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), SOUND)
}

/// Drawn requests one behind the other, cut anywhere, get the verdict of their own heads whatever their bodies hold. More by hand:
/// `FRAMING_INPUTS=10000000 cargo test --release -p milletwing-edge-proxy framing`.
#[test]
fn a_verdict_does_not_depend_on_bodies_nor_on_cuts() {
    let inputs = std::env::var("FRAMING_INPUTS").map_or(20_000, |text| text.parse().unwrap());
    for seed in 0..inputs {
        let dice = &mut Pcg64Mcg::seed_from_u64(seed);
        let (texts, wanted): (Vec<String>, Vec<HeadNotes>) = (0..3).map(|_| request(dice)).unzip();
        let text = texts.concat();
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let (piece, more) = rest.split_at(dice.random_range(1..=rest.len().min(40)));
            pieces.push(piece);
            rest = more;
        }
        assert_eq!(notes(pieces.into_iter()), wanted, "seed {seed}: {text:?}");
    }
}
