//! A node: answers each request as its behaviour says, and keeps what it was asked.

use crate::{locked, read_message, Message};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a node does with a request.
pub enum Reply {
    /// Answers with a status and a body.
    Answer(u16, Vec<u8>),
    /// Turns it away unseen.
    TurnAway,
    /// Writes these bytes and keeps the connection.
    Raw(Vec<u8>),
    /// Writes these bytes and ends the connection.
    RawEnd(Vec<u8>),
    /// Says nothing until the other side ends the connection.
    Silent,
    /// Writes a head and then a body without end, until the other side ends the connection.
    Endless,
    /// Does something after a while.
    After(Duration, Box<Reply>),
}

type Behaviour = dyn Fn(&Message) -> Reply + Send + Sync;

/// A node that listens.
pub struct Node {
    /// Where.
    pub addr: SocketAddr,
    asked: Arc<Mutex<Vec<Message>>>,
    connections: Arc<Mutex<usize>>,
    ended: Arc<Mutex<usize>>,
}

impl Node {
    /// Starts one; it lives as long as the program.
    pub fn start(
        at: &str,
        behaviour: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Node> {
        let listener = TcpListener::bind(at)?;
        let addr = listener.local_addr()?;
        let (asked, connections, ended) = (
            Arc::<Mutex<Vec<Message>>>::default(),
            Arc::<Mutex<usize>>::default(),
            Arc::<Mutex<usize>>::default(),
        );
        let node =
            Node { addr, asked: asked.clone(), connections: connections.clone(), ended: ended.clone() };
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *locked(&connections) += 1;
                let (behaviour, asked, ended) = (behaviour.clone(), asked.clone(), ended.clone());
                thread::spawn(move || {
                    let _ = serve(&stream, &*behaviour, &asked); // its end is what counts
                    *locked(&ended) += 1;
                });
            }
        });
        Ok(node)
    }
    /// What it was asked so far.
    pub fn asked(&self) -> Vec<Message> {
        locked(&self.asked).clone()
    }
    /// Connections it has had so far, and those of them that have ended.
    pub fn connections(&self) -> (usize, usize) {
        (*locked(&self.connections), *locked(&self.ended))
    }
}

fn serve(mut stream: &TcpStream, behaviour: &Behaviour, asked: &Mutex<Vec<Message>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut held = Vec::new();
    while let Some(message) = read_message(stream, &mut held)? {
        let mut reply = behaviour(&message);
        locked(asked).push(message);
        while let Reply::After(wait, next) = reply {
            thread::sleep(wait);
            reply = *next;
        }
        match reply {
            Reply::Answer(status, body) => {
                let head = format!("HTTP/1.1 {status} Toy\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all(&[head.as_bytes(), &body].concat())?;
            }
            Reply::TurnAway => {
                stream.write_all(b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")?;
            }
            Reply::Raw(bytes) => stream.write_all(&bytes)?,
            Reply::RawEnd(bytes) => return stream.write_all(&bytes),
            Reply::Silent | Reply::After(..) => {
                let mut byte = [0];
                while stream.read(&mut byte)? > 0 {}
                return Ok(());
            }
            Reply::Endless => {
                stream.write_all(b"HTTP/1.1 200 Toy\r\n\r\n")?;
                loop {
                    stream.write_all(&[b'x'; 1024])?;
                }
            }
        }
    }
    Ok(())
}
