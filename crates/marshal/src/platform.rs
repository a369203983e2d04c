//! The platform: one connection that has asked to be told, on which votes go out too. Their answers come in
//! the order of the calls.

use crate::client::write_all;
use crate::limits::Limits;
use crate::place::Place;
use crate::stage::{Ballot, Note};
use crate::wire::{self, Told};
use crossbeam_channel::{Receiver, Sender};
use milletwing_decision::interface::{Build, ClassId, Event, Ms, NodeId, Outcome};
use milletwing_profile::{index_of, Names};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Link {
    stream: Option<Arc<TcpStream>>,
    /// Calls that wait for their answers, in order; `None` is the one that asked to be told.
    calls: VecDeque<Option<u64>>,
}

/// The connection and who waits on it.
pub struct Platform {
    place: Arc<Place>,
    limits: Limits,
    names: Names,
    notes: Sender<Note>,
    link: Mutex<Link>,
}

impl Platform {
    /// Not connected yet.
    pub fn new(place: &Arc<Place>, limits: &Limits, names: &Names, notes: Sender<Note>) -> Platform {
        let (place, names, link) = (place.clone(), names.clone(), Mutex::default());
        Platform { place, limits: limits.clone(), names, notes, link }
    }

    fn link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes votes until the decision thread has ended. Only this thread writes calls, so their order on the
    /// connection is that of the list.
    pub fn write(&self, ballots: &Receiver<Ballot>) {
        while let Ok(Ballot { number, build, stage, vote, guard }) = ballots.recv() {
            let text = wire::say(build.0, stage, vote);
            let holds = || guard.as_ref().is_none_or(|guard| guard.holds());
            if !holds() {
                let _ = self.notes.send(Note::Vote(number, Err(Outcome::NotSent))); // ends only with us
                continue;
            }
            let mut link = self.link();
            let Some(stream) = link.stream.clone() else {
                drop(link);
                let _ = self.notes.send(Note::Vote(number, Err(Outcome::ConnectFailed))); // ends only with us
                continue;
            };
            // Known as waiting before it is written: its answer may be quick.
            link.calls.push_back(Some(number));
            // A line whose guard falls before its last word has left is never finished: the connection is dropped. The
            // whole word is held, not only the line's end: guards against a reader that takes a line cut short.
            let held = text.rfind(' ').map_or(0, |space| space + 1);
            let (first, whole) = match guard {
                Some(_) => (write_all(&*stream, &[&text.as_bytes()[..held]]), &text.as_bytes()[held..]),
                None => (Ok(()), text.as_bytes()),
            };
            if first.is_err() || !holds() || write_all(&*stream, &[whole]).is_err() {
                link.calls.pop_back();
                let _ = stream.shutdown(Shutdown::Both); // the reader renews it
                drop(link);
                let _ = self.notes.send(Note::Vote(number, Err(Outcome::ConnectFailed)));
                // ends only with us
            }
        }
    }

    /// Reads what the platform tells; renews the connection at once, then with growing pauses. Where the platform
    /// moves, the connection ends, and with it each vote that is unanswered; a new one is made at once.
    pub fn read(&self) {
        let mut pause = self.limits.retry_first;
        while !self.place.over() {
            let (mut heard, (at, turn)) = (false, self.place.now());
            if let Err(problem) = self.listen(at, turn, &mut heard) {
                log::warn!("platform: {problem}");
            }
            let calls = {
                let mut link = self.link();
                link.stream = None;
                std::mem::take(&mut link.calls)
            };
            for number in calls.into_iter().flatten() {
                let _ = self.notes.send(Note::Vote(number, Err(Outcome::Timeout)));
                // ends only with us
            }
            pause = if heard { self.limits.retry_first } else { (pause * 2).min(self.limits.retry_longest) };
            self.place.rest(turn, pause);
        }
    }

    fn listen(&self, at: SocketAddr, turn: u64, heard: &mut bool) -> io::Result<()> {
        let stream = Arc::new(TcpStream::connect_timeout(&at, self.limits.connect)?);
        if !self.place.lend(turn, &stream) {
            return Ok(()); // it has moved meanwhile
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.node_write))?;
        {
            let mut link = self.link();
            write_all(&*stream, &[wire::SUBSCRIBE.as_bytes()])?;
            link.calls = VecDeque::from([None]);
            link.stream = Some(stream.clone());
        }
        let mut text: Vec<u8> = Vec::new();
        let mut chunk = [0u8; 2048];
        loop {
            // Guards against a line of which only a part comes: nothing else would on that connection.
            let begun = !text.is_empty();
            let patience = if begun { self.limits.rest_of_answer } else { self.limits.platform_silence };
            stream.set_read_timeout(Some(patience))?;
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
                    self.told(&line).inspect_err(|_| log::debug!("spoilt: {}", line.escape_debug()))?;
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
        let class = |word: &str| index_of(&self.names.classes, word).map(|at| ClassId(at as usize));
        let event = match told {
            Told::Alive => None,
            Told::News => {
                log::info!("platform: not understood: {}", line.escape_debug());
                None
            }
            Told::Stage(state, phase) => Some(Event::StageReport(wire::news(state, phase, false))),
            Told::Tally(build, word, [attempts, failed, latency, age]) => class(&word).map(|class| {
                let (build, latency, age) = (Build(build), Ms(latency), Ms(age));
                Event::Metrics { age, class, build, attempts, failed, latency }
            }),
            Told::Flag(node, word, age) => class(&word).map(|class| {
                let node = NodeId(Arc::from(node.as_str()));
                Event::WrongAnswer { node, class, age: Ms(age) }
            }),
            Told::Garbage if line.starts_with('*') => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "news that can't be read"));
            }
            Told::Ok(..) | Told::Refused(_) | Told::Garbage => {
                let Some(call) = self.link().calls.pop_front() else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer to no call"));
                };
                let answer = match told {
                    Told::Ok(Some(state), Some(phase)) => Ok(wire::news(state, phase, true)),
                    Told::Refused(verdict) => Err(verdict),
                    _ => Err(Outcome::Timeout),
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
