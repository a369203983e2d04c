//! The platform: one connection that has asked to be told, on which votes go out too. Their answers come in
//! the order of the calls.

use crate::limits::Limits;
use crate::relay::write_all;
use crate::route::Note;
use crate::wire::{self, Told};
use crossbeam_channel::{Receiver, Sender};
use milletwing_decision::interface::{Build, ClassId, Event, Ms, NodeId, Verdict, Vote};
use milletwing_profile::{position, Names};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A vote on its way.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    /// Its number, for the answer.
    pub number: u64,
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
}

#[derive(Default)]
struct Link {
    stream: Option<Arc<TcpStream>>,
    /// Calls that wait for their answers, in order; `None` is the one that asked to be told.
    calls: VecDeque<Option<u64>>,
}

/// The connection and who waits on it.
pub struct Platform {
    at: SocketAddr,
    limits: Limits,
    names: Names,
    notes: Sender<Note>,
    link: Mutex<Link>,
    over: AtomicBool,
}

impl Platform {
    /// Not connected yet.
    pub fn new(at: SocketAddr, limits: &Limits, names: &Names, notes: Sender<Note>) -> Platform {
        let (link, over) = (Mutex::default(), AtomicBool::new(false));
        Platform { at, limits: limits.clone(), names: names.clone(), notes, link, over }
    }

    fn link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the connection for good.
    pub fn stop(&self) {
        self.over.store(true, SeqCst);
        if let Some(stream) = &self.link().stream {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended by itself
        }
    }

    /// Writes votes until the decision thread has ended. Only this thread writes calls, so their order on the
    /// connection is that of the list.
    pub fn write(&self, ballots: &Receiver<Ballot>) {
        while let Ok(Ballot { number, build, stage, vote }) = ballots.recv() {
            let text = wire::say(build.0, stage, vote);
            let mut link = self.link();
            let Some(stream) = link.stream.clone() else {
                drop(link);
                let _ = self.notes.send(Note::Vote(number, Err(Verdict::ConnectFailed))); // ends only with us
                continue;
            };
            // Known as waiting before it is written: its answer may be quick.
            link.calls.push_back(Some(number));
            if write_all(&*stream, &[text.as_bytes()]).is_err() {
                link.calls.pop_back();
                let _ = stream.shutdown(Shutdown::Both); // the reader renews it
                drop(link);
                let _ = self.notes.send(Note::Vote(number, Err(Verdict::ConnectFailed)));
                // ends only with us
            }
        }
    }

    /// Reads what the platform tells; renews the connection at once, then with growing pauses.
    pub fn read(&self) {
        let mut pause = self.limits.retry_first;
        while !self.over.load(SeqCst) {
            let mut heard = false;
            if let Err(problem) = self.listen(&mut heard) {
                log::warn!("platform: {problem}");
            }
            let calls = {
                let mut link = self.link();
                link.stream = None;
                std::mem::take(&mut link.calls)
            };
            for number in calls.into_iter().flatten() {
                let _ = self.notes.send(Note::Vote(number, Err(Verdict::Timeout)));
                // ends only with us
            }
            pause = if heard { self.limits.retry_first } else { (pause * 2).min(self.limits.retry_longest) };
            if !self.over.load(SeqCst) {
                std::thread::sleep(pause);
            }
        }
    }

    fn listen(&self, heard: &mut bool) -> io::Result<()> {
        let stream = Arc::new(TcpStream::connect_timeout(&self.at, self.limits.connect)?);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.node_write))?;
        stream.set_read_timeout(Some(self.limits.platform_silence))?;
        {
            let mut link = self.link();
            write_all(&*stream, &[wire::SUBSCRIBE.as_bytes()])?;
            link.calls = VecDeque::from([None]);
            link.stream = Some(stream.clone());
        }
        let mut text: Vec<u8> = Vec::new();
        let mut chunk = [0u8; 2048];
        loop {
            let read = match (&*stream).read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(read) => read,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => continue,
                Err(problem) => return Err(problem),
            };
            *heard = true;
            for &byte in &chunk[..read] {
                if byte == b'\n' {
                    let line = String::from_utf8_lossy(text.trim_ascii_end()).into_owned();
                    text.clear();
                    self.told(&line)?;
                } else if text.len() >= self.limits.line {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "a line of 8 KiB or more"));
                } else {
                    text.push(byte);
                }
            }
        }
    }

    /// One line. A call's answer that can't be read leaves open what became of it.
    fn told(&self, line: &str) -> io::Result<()> {
        let told = wire::line(line);
        log::debug!("told {}", line.escape_debug());
        let class = |word: &str| position(&self.names.classes, word).map(|at| ClassId(at as usize));
        let event = match told {
            Told::Alive => None,
            Told::News => {
                log::debug!("platform: not understood: {}", line.escape_debug());
                None
            }
            Told::Stage(state, phase) => Some(Event::Stage(wire::news(state, phase, false))),
            Told::Tally(build, word, [attempts, failed, latency, age]) => class(&word).map(|class| {
                let (build, latency, age) = (Build(build), Ms(latency), Ms(age));
                Event::Tally { age, class, build, attempts, failed, latency }
            }),
            Told::Flag(node, word, age) => class(&word).map(|class| {
                let node = NodeId(Arc::from(node.as_str()));
                Event::Complaint { node, class, age: Ms(age) }
            }),
            Told::Ok(..) | Told::Refused(_) | Told::Garbage => {
                let Some(call) = self.link().calls.pop_front() else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer to no call"));
                };
                let answer = match told {
                    Told::Ok(Some(state), Some(phase)) => Ok(wire::news(state, phase, true)),
                    Told::Refused(verdict) => Err(verdict),
                    _ => Err(Verdict::Timeout),
                };
                let lost = call.is_none() && matches!(told, Told::Refused(_) | Told::Garbage);
                if let Some(number) = call {
                    let _ = self.notes.send(Note::Vote(number, answer)); // it ends only with us
                }
                if lost || told == Told::Garbage {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer that can't be read"));
                }
                None
            }
        };
        if let Some(event) = event {
            let _ = self.notes.send(Note::Told(event)); // it ends only with us
        }
        Ok(())
    }
}
