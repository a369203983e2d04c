//! The platform: tells its subscribers what it is told to, and answers votes as its behaviour says.

use crate::locked;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    stage: String,
    listeners: Vec<Arc<TcpStream>>,
    said: Vec<String>,
    subscribed: usize,
}

type Behaviour = dyn Fn(&str) -> Option<String> + Send + Sync;

/// A platform that listens.
pub struct Platform {
    /// Where.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Starts with a state in the words of a `stage` line, such as `2 0 testing 0.2 0`. Each vote is answered
    /// by what `behaviour` makes of its line; by nothing where that is `None`.
    pub fn start(
        at: &str,
        stage: &str,
        behaviour: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
    ) -> io::Result<Platform> {
        let listener = TcpListener::bind(at)?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { stage: stage.to_string(), ..State::default() }));
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, behaviour) = (shared.clone(), behaviour.clone());
                thread::spawn(move || serve(&Arc::new(stream), &shared, &*behaviour));
            }
        });
        let shared = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(1));
            tell(&mut locked(&shared), "*");
        });
        Ok(Platform { addr, state })
    }
    /// The newest build stands so from now on.
    pub fn stage(&self, stage: &str) {
        let mut state = locked(&self.state);
        state.stage = stage.to_string();
        tell(&mut state, &format!("* stage {stage}"));
    }
    /// Writes a line, or anything else, to all that have subscribed.
    pub fn tell(&self, line: &str) {
        tell(&mut locked(&self.state), line);
    }
    /// Writes the beginning of a line to all that have subscribed.
    pub fn tell_part(&self, text: &str) {
        let mut state = locked(&self.state);
        state.listeners.drain(..).for_each(|stream| {
            let _ = (&*stream).write_all(text.as_bytes()); // it may have ended
        });
    }
    /// Ends all connections.
    pub fn cut(&self) {
        for stream in locked(&self.state).listeners.drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended
        }
    }
    /// Votes heard so far.
    pub fn said(&self) -> Vec<String> {
        locked(&self.state).said.clone()
    }
    /// How often somebody has subscribed.
    pub fn subscribed(&self) -> usize {
        locked(&self.state).subscribed
    }
}

fn tell(state: &mut State, line: &str) {
    state.listeners.retain(|stream| (&**stream).write_all(format!("{line}\r\n").as_bytes()).is_ok());
}

fn serve(stream: &Arc<TcpStream>, shared: &Mutex<State>, behaviour: &Behaviour) -> io::Result<()> {
    let mut lines = BufReader::new(&**stream);
    let mut line = String::new();
    loop {
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let call = line.trim_end();
        if call == "SUB" {
            let mut state = locked(shared);
            state.subscribed += 1;
            (&**stream).write_all(format!("OK\r\n* stage {}\r\n", state.stage).as_bytes())?;
            state.listeners.push(stream.clone());
            continue;
        }
        let answer = if call.starts_with("SAY ") { behaviour(call) } else { Some("ERR SYNTAX".into()) };
        let mut state = locked(shared);
        state.said.push(call.to_string());
        if let Some(answer) = answer {
            (&**stream).write_all(format!("{answer}\r\n").as_bytes())?;
        }
        drop(state);
    }
}
