//! Frames between members, without I/O: a length, then protobuf. A connection begins with a greeting either way; from
//! then on each frame carries a MAC under a key of that connection alone and a number that rises by one, so that a
//! replayed, reordered or foreign frame changes nothing.

use hmac::{Hmac, KeyInit, Mac};
use prost::Message;
use sha2::Sha256;

/// The format of frames; peers of another one are turned away.
pub const FORMAT: u32 = 1;
/// Longest greeting, and longest frame.
pub const GREETING: usize = 1 << 10;
/// Longest frame: a snapshot must fit.
pub const LONGEST: usize = 8 << 20;

/// Consensus: the library's own bytes.
pub const RAFT: u32 = 1;
/// Beside it: a note.
pub const NOTE: u32 = 2;

/// Who connects.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The format.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// The group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Who connects.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// To whom.
    #[prost(uint64, tag = "4")]
    pub to: u64,
    /// Drawn for this connection.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// The store that it has.
    #[prost(bytes = "vec", tag = "6")]
    pub store: Vec<u8>,
    /// Over all the rest.
    #[prost(bytes = "vec", tag = "7")]
    pub mac: Vec<u8>,
}

/// The answer.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Drawn for this connection.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
    /// Over both nonces.
    #[prost(bytes = "vec", tag = "2")]
    pub mac: Vec<u8>,
}

/// What follows.
#[derive(Clone, PartialEq, Message)]
pub struct Data {
    /// From 1 on, without a gap.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// `RAFT` or `NOTE`.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// The content.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Over all the rest.
    #[prost(bytes = "vec", tag = "4")]
    pub mac: Vec<u8>,
}

fn keyed(key: &[u8], word: &str) -> Hmac<Sha256> {
    // Any length of key is taken.
    let mut mac = Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()));
    mac.update(word.as_bytes());
    mac
}

fn over(key: &[u8], word: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = keyed(key, word);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn seal(key: &[u8], word: &str, parts: &[&[u8]]) -> Vec<u8> {
    over(key, word, parts).finalize().into_bytes().to_vec()
}

fn fits(key: &[u8], word: &str, parts: &[&[u8]], mac: &[u8]) -> bool {
    over(key, word, parts).verify_slice(mac).is_ok()
}

/// With the length before it.
pub fn framed(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

impl Hello {
    fn plain(&self) -> Vec<u8> {
        Hello { mac: Vec::new(), ..self.clone() }.encode_to_vec()
    }
    /// A greeting under the group's secret.
    pub fn new(secret: &[u8], group: &str, from: u64, to: u64, store: u128) -> Hello {
        let nonce = rand::random::<[u8; 16]>().to_vec();
        let (group, store) = (group.to_string(), store.to_be_bytes().to_vec());
        let mut hello = Hello { format: FORMAT, group, from, to, nonce, store, mac: Vec::new() };
        hello.mac = seal(secret, "hello", &[&hello.plain()]);
        hello
    }
    /// Why it is turned away, if so.
    pub fn objection(&self, secret: &[u8], group: &str, to: u64) -> Option<&'static str> {
        if self.format != FORMAT {
            Some("another format")
        } else if self.group != group {
            Some("another group")
        } else if !fits(secret, "hello", &[&self.plain()], &self.mac) {
            Some("not under the group's secret")
        } else if self.to != to {
            Some("meant for another member")
        } else if self.nonce.len() != 16 || self.store.len() != 16 {
            Some("garbled")
        } else {
            None
        }
    }
    /// The store that its sender has.
    pub fn store(&self) -> u128 {
        <[u8; 16]>::try_from(self.store.as_slice()).map_or(0, u128::from_be_bytes)
    }
}

impl Welcome {
    /// The answer to a greeting.
    pub fn new(secret: &[u8], hello: &Hello) -> Welcome {
        let nonce = rand::random::<[u8; 16]>().to_vec();
        let mac = seal(secret, "welcome", &[&hello.plain(), &nonce]);
        Welcome { nonce, mac }
    }
    /// Whether it answers this greeting.
    pub fn fits(&self, secret: &[u8], hello: &Hello) -> bool {
        self.nonce.len() == 16 && fits(secret, "welcome", &[&hello.plain(), &self.nonce], &self.mac)
    }
}

/// The key of one connection, and the number of its last frame.
pub struct Session {
    key: Vec<u8>,
    last: u64,
}

impl Session {
    /// Of a connection that was greeted either way.
    pub fn new(secret: &[u8], hello: &Hello, welcome: &Welcome) -> Session {
        Session { key: seal(secret, "session", &[&hello.plain(), &welcome.nonce]), last: 0 }
    }
    /// The next frame, with its length.
    pub fn seal(&mut self, kind: u32, body: Vec<u8>) -> Vec<u8> {
        self.last += 1;
        let mac = seal(&self.key, "data", &[&self.last.to_be_bytes(), &kind.to_be_bytes(), &body]);
        framed(&Data { number: self.last, kind, body, mac })
    }
    /// Reads a frame without its length.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(u32, Vec<u8>), &'static str> {
        let data = Data::decode(bytes).map_err(|_| "garbled")?;
        let parts: [&[u8]; 3] = [&data.number.to_be_bytes(), &data.kind.to_be_bytes(), &data.body];
        if !fits(&self.key, "data", &parts, &data.mac) {
            return Err("not under the connection's key");
        }
        if data.number != self.last + 1 {
            return Err("out of order or replayed");
        }
        self.last = data.number;
        Ok((data.kind, data.body))
    }
}
