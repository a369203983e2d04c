//! The platform: a single connection that subscribes to its notifications, and on which votes are sent too. The answers
//! arrive in the order of the commands.

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
    /// Commands that wait for their answers, in order; `None` is the subscription.
    commands: VecDeque<Option<u64>>,
}

/// The client of the platform.
pub struct Platform {
    endpoint: Arc<Endpoint>,
    limits: Limits,
    names: Names,
    inputs: Sender<DecisionInput>,
    connection: Mutex<Connection>,
}

impl Platform {
    /// Creates a client that is not connected yet.
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

    /// Writes votes until the decision thread has ended. Only this thread writes votes, so that their order on the
    /// connection is that of `commands`.
    pub fn write(&self, votes: &Receiver<VoteRequest>) {
        while let Ok(VoteRequest { number, build, stage, vote, guard }) = votes.recv() {
            let line = wire::vote_command(build.0, stage, vote);
            let holds = || guard.as_ref().is_none_or(|guard| guard.holds());
            if !holds() {
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::NotSent))); // the decision thread ends only when the marshal stops
                continue;
            }
            let mut connection = self.connection();
            let Some(stream) = connection.stream.clone() else {
                drop(connection);
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::ConnectFailed))); // the decision thread ends only when the marshal stops
                continue;
            };
            // Registered before it is written, because its answer may arrive at once.
            connection.commands.push_back(Some(number));
            // If the guard no longer holds before the last word has been sent, the line is never completed and the
            // connection is dropped. The whole word is held back, and not only the line end: guards against a receiver
            // that accepts a truncated line.
            let last_word_at = line.rfind(' ').map_or(0, |space| space + 1);
            let (first, rest) = match guard {
                Some(_) => (
                    write_all(&*stream, &[&line.as_bytes()[..last_word_at]]),
                    &line.as_bytes()[last_word_at..],
                ),
                None => (Ok(()), line.as_bytes()),
            };
            if first.is_err() || !holds() || write_all(&*stream, &[rest]).is_err() {
                connection.commands.pop_back();
                let _ = stream.shutdown(Shutdown::Both); // the reading thread reconnects
                drop(connection);
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::ConnectFailed)));
                // the decision thread ends only when the marshal stops
            }
        }
    }

    /// Reads notifications and answers; reconnects at once after a failure, then with growing delays. If the platform's
    /// address changes, the connection ends, every unanswered vote with it, and a new connection is made at once.
    pub fn read(&self) {
        let mut retry_delay = self.limits.first_retry_delay;
        while !self.endpoint.is_closed() {
            let (mut received, (address, generation)) = (false, self.endpoint.current());
            if let Err(problem) = self.listen(address, generation, &mut received) {
                log::warn!("platform: {problem}");
            }
            let commands = {
                let mut connection = self.connection();
                connection.stream = None;
                std::mem::take(&mut connection.commands)
            };
            for number in commands.into_iter().flatten() {
                let _ = self.inputs.send(DecisionInput::VoteAnswered(number, Err(Outcome::Timeout)));
                // the decision thread ends only when the marshal stops
            }
            retry_delay = if received {
                self.limits.first_retry_delay
            } else {
                (retry_delay * 2).min(self.limits.max_retry_delay)
            };
            self.endpoint.pause(generation, retry_delay);
        }
    }

    fn listen(&self, address: SocketAddr, generation: u64, received: &mut bool) -> io::Result<()> {
        let stream = Arc::new(TcpStream::connect_timeout(&address, self.limits.connect_timeout)?);
        if !self.endpoint.register(generation, &stream) {
            return Ok(()); // the address has changed in the meantime
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.node_write_timeout))?;
        {
            let mut connection = self.connection();
            write_all(&*stream, &[wire::SUBSCRIBE_COMMAND.as_bytes()])?;
            connection.commands = VecDeque::from([None]);
            connection.stream = Some(stream.clone());
        }
        let mut text: Vec<u8> = Vec::new();
        let mut chunk = [0u8; 2048];
        loop {
            // Guards against a line that stops halfway: nothing else would arrive on that connection.
            let line_begun = !text.is_empty();
            let timeout = if line_begun {
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
                        .inspect_err(|_| log::debug!("malformed platform line: {}", line.escape_debug()))?;
                } else if text.len() >= self.limits.max_platform_line_bytes {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "a line exceeds 8 KiB"));
                } else {
                    text.push(byte);
                }
            }
        }
    }

    /// Handles one line. If the answer to a vote cannot be parsed, the fate of that vote is unknown.
    fn handle_line(&self, line: &str) -> io::Result<()> {
        let parsed = wire::parse_platform_line(line);
        log::debug!("told {}", line.escape_debug());
        let class = |word: &str| index_of(&self.names.classes, word).map(|at| ClassId(at as usize));
        let event = match parsed {
            PlatformLine::KeepAlive => None,
            PlatformLine::UnknownNotification => {
                log::info!("platform: unknown notification: {}", line.escape_debug());
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
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a notification cannot be parsed"));
            }
            PlatformLine::Ok(..) | PlatformLine::Refused(_) | PlatformLine::Malformed => {
                let Some(command) = self.connection().commands.pop_front() else {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "an answer without a pending command",
                    ));
                };
                let answer = match parsed {
                    PlatformLine::Ok(Some(state), Some(phase)) => Ok(wire::stage_report(state, phase, true)),
                    PlatformLine::Refused(outcome) => Err(outcome),
                    _ => Err(Outcome::Timeout),
                };
                let subscription_failed =
                    command.is_none() && matches!(parsed, PlatformLine::Refused(_) | PlatformLine::Malformed);
                if let Some(number) = command {
                    let _ = self.inputs.send(DecisionInput::VoteAnswered(number, answer));
                    // the decision thread ends only when the marshal stops
                }
                if subscription_failed || parsed == PlatformLine::Malformed {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "an answer cannot be parsed"));
                }
                None
            }
        };
        if let Some(event) = event {
            let _ = self.inputs.send(DecisionInput::Event(event)); // the decision thread ends only when the marshal stops
        }
        Ok(())
    }
}
