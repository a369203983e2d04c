//! The platform: one connection that has asked to be told, on which votes go out too. Their answers come in
//! the order of the calls.

use crate::client::write_all;
use crate::endpoint::Endpoint;
use crate::limits::Limits;
use crate::ports::{DecisionInput, VoteRequest};
use crate::wire::{self, PlatformLine};
use crossbeam_channel::{Receiver, Sender};
use milletwing_decision::interface::{Build, ClassId, Event, Ms, NodeId, Outcome};
use milletwing_profile::{index_of, Names};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Connection {
    stream: Option<Arc<TcpStream>>,
    /// Calls that wait for their answers, in order; `None` is the one that asked to be told.
    calls: VecDeque<Option<u64>>,
}

/// The connection and who waits on it.
pub struct Platform {
    endpoint: Arc<Endpoint>,
    limits: Limits,
    names: Names,
    inputs: Sender<DecisionInput>,
    connection: Mutex<Connection>,
}

impl Platform {
    /// Not connected yet.
    pub fn new(
        endpoint: &Arc<Endpoint>,
        limits: &Limits,
        names: &Names,
        inputs: Sender<DecisionInput>,
    ) -> Platform {
        let (endpoint, names, connection) = (endpoint.clone(), names.clone(), Mutex::default());
        Platform { endpoint, limits: limits.clone(), names, inputs, connection }
    }

    fn connection(&self) -> MutexGuard<'_, Connection> {
        self.connection.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes votes until the decision thread has ended. Only this thread writes calls, so their order on the
    /// connection is that of the list.
    pub fn write(&self, votes: &Receiver<VoteRequest>) {
        while let Ok(VoteRequest { number, build, stage, vote, guard }) = votes.recv() {
            let text = wire::vote_command(build.0, stage, vote);
            let holds = || guard.as_ref().is_none_or(|guard| guard.holds());
            if !holds() {
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::NotSent))); // ends only with us
                continue;
            }
            let mut connection = self.connection();
            let Some(stream) = connection.stream.clone() else {
                drop(connection);
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::ConnectFailed))); // ends only with us
                continue;
            };
            // Known as waiting before it is written: its answer may be quick.
            connection.calls.push_back(Some(number));
            // A line whose guard falls before its last word has left is never finished: the connection is dropped. The
            // whole word is held, not only the line's end: guards against a reader that takes a line cut short.
            let held = text.rfind(' ').map_or(0, |space| space + 1);
            let (first, whole) = match guard {
                Some(_) => (write_all(&*stream, &[&text.as_bytes()[..held]]), &text.as_bytes()[held..]),
                None => (Ok(()), text.as_bytes()),
            };
            if first.is_err() || !holds() || write_all(&*stream, &[whole]).is_err() {
                connection.calls.pop_back();
                let _ = stream.shutdown(Shutdown::Both); // the reader renews it
                drop(connection);
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::ConnectFailed)));
                // ends only with us
            }
        }
    }

    /// Reads what the platform tells; renews the connection at once, then with growing pauses. Where the platform
    /// moves, the connection ends, and with it each vote that is unanswered; a new one is made at once.
    pub fn read(&self) {
        let mut retry_delay = self.limits.first_retry_delay;
        while !self.endpoint.is_closed() {
            let (mut received, (at, generation)) = (false, self.endpoint.current());
            if let Err(problem) = self.listen(at, generation, &mut received) {
                log::warn!("platform: {problem}");
            }
            let calls = {
                let mut connection = self.connection();
                connection.stream = None;
                std::mem::take(&mut connection.calls)
            };
            for number in calls.into_iter().flatten() {
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::Timeout)));
                // ends only with us
            }
            retry_delay = if received {
                self.limits.first_retry_delay
            } else {
                (retry_delay * 2).min(self.limits.max_retry_delay)
            };
            self.endpoint.pause(generation, retry_delay);
        }
    }

    fn listen(&self, at: SocketAddr, generation: u64, received: &mut bool) -> io::Result<()> {
        let stream = Arc::new(TcpStream::connect_timeout(&at, self.limits.connect_timeout)?);
        if !self.endpoint.register(generation, &stream) {
            return Ok(()); // it has moved meanwhile
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.node_write_timeout))?;
        {
            let mut connection = self.connection();
            write_all(&*stream, &[wire::SUBSCRIBE_COMMAND.as_bytes()])?;
            connection.calls = VecDeque::from([None]);
            connection.stream = Some(stream.clone());
        }
        let mut text: Vec<u8> = Vec::new();
        let mut chunk = [0u8; 2048];
        loop {
            // Guards against a line of which only a part comes: nothing else would on that connection.
            let begun = !text.is_empty();
            let timeout = if begun {
                self.limits.partial_response_timeout
            } else {
                self.limits.platform_silence_timeout
            };
            stream.set_read_timeout(Some(timeout))?;
            let read = match (&*stream).read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(read) => read,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => continue,
                Err(problem) => return Err(problem),
            };
            *received = true;
            for &byte in &chunk[..read] {
                if byte == b'\n' {
                    let line = String::from_utf8_lossy(text.trim_ascii_end()).into_owned();
                    text.clear();
                    self.handle_line(&line)
                        .inspect_err(|_| log::debug!("spoilt: {}", line.escape_debug()))?;
                } else if text.len() >= self.limits.max_platform_line_bytes {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "a line of 8 KiB or more"));
                } else {
                    text.push(byte);
                }
            }
        }
    }

    /// One line. A call's answer that can't be read leaves open what became of it.
    fn handle_line(&self, line: &str) -> io::Result<()> {
        let parsed = wire::parse_platform_line(line);
        log::debug!("told {}", line.escape_debug());
        let class = |word: &str| index_of(&self.names.classes, word).map(|at| ClassId(at as usize));
        let event = match parsed {
            PlatformLine::KeepAlive => None,
            PlatformLine::UnknownNotification => {
                log::info!("platform: not understood: {}", line.escape_debug());
                None
            }
            PlatformLine::Stage(state, phase) => {
                Some(Event::StageReport(wire::stage_report(state, phase, false)))
            }
            PlatformLine::Tally(build, word, [attempts, failed, latency, age]) => class(&word).map(|class| {
                let (build, latency, age) = (Build(build), Ms(latency), Ms(age));
                Event::Metrics { age, class, build, attempts, failed, latency }
            }),
            PlatformLine::WrongAnswer(node, word, age) => class(&word).map(|class| {
                let node = NodeId(Arc::from(node.as_str()));
                Event::WrongAnswer { node, class, age: Ms(age) }
            }),
            PlatformLine::Malformed if line.starts_with('*') => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "news that can't be read"));
            }
            PlatformLine::Ok(..) | PlatformLine::Refused(_) | PlatformLine::Malformed => {
                let Some(call) = self.connection().calls.pop_front() else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer to no call"));
                };
                let answer = match parsed {
                    PlatformLine::Ok(Some(state), Some(phase)) => Ok(wire::stage_report(state, phase, true)),
                    PlatformLine::Refused(outcome) => Err(outcome),
                    _ => Err(Outcome::Timeout),
                };
                let lost =
                    call.is_none() && matches!(parsed, PlatformLine::Refused(_) | PlatformLine::Malformed);
                if let Some(number) = call {
                    let _ = self.inputs.send(DecisionInput::VoteAnswered(number, answer));
                    // it ends only with us
                }
                if lost || parsed == PlatformLine::Malformed {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer that can't be read"));
                }
                None
            }
        };
        if let Some(event) = event {
            let _ = self.inputs.send(DecisionInput::Event(event)); // it ends only with us
        }
        Ok(())
    }
}
