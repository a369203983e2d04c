//! Operators' calls: a line of JSON each way, on a loopback address; and what their files have in common.

use crossbeam_channel::{bounded, Sender};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longest call, and time for one.
const LONGEST: u64 = 4 << 10;
const PATIENCE: Duration = Duration::from_secs(5);

/// A call, and where its answer goes.
pub type PendingCall<C> = (C, Sender<Result<Value, String>>);

fn line(stream: &TcpStream) -> io::Result<String> {
    let mut line = String::new();
    BufReader::new(stream.take(LONGEST)).read_line(&mut line)?;
    Ok(line)
}

/// Takes calls, one connection at a time; `gone` is answered once nobody takes them any more.
pub fn listen<C: DeserializeOwned + Send + 'static>(
    at: SocketAddr,
    calls: Sender<PendingCall<C>>,
    gone: &'static str,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let at = listener.local_addr()?;
    let thread = std::thread::Builder::new().name("admin".into()).stack_size(256 << 10);
    thread.spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Err(problem) = answer(&stream, &calls, gone) {
                log::info!("an operator's call: {problem}");
            }
        }
    })?;
    Ok(at)
}

fn answer<C: DeserializeOwned>(
    stream: &TcpStream,
    calls: &Sender<PendingCall<C>>,
    gone: &str,
) -> io::Result<()> {
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let told = match serde_json::from_str::<C>(&line(stream)?) {
        Err(problem) => Err(format!("not understood: {problem}")),
        Ok(call) => {
            let (reply, answer) = bounded(1);
            let asked = calls.send_timeout((call, reply), PATIENCE).is_ok();
            let gone = || Err(gone.to_string());
            if asked {
                answer.recv_timeout(PATIENCE).unwrap_or_else(|_| gone())
            } else {
                gone()
            }
        }
    };
    let value = match told {
        Ok(value) => serde_json::json!({ "ok": value }),
        Err(why) => serde_json::json!({ "error": why }),
    };
    let mut writer = stream;
    writer.write_all(format!("{value}\n").as_bytes())
}

/// Makes a call.
pub fn call<C: Serialize>(at: SocketAddr, call: &C) -> Result<Value, String> {
    let failed = |problem: io::Error| format!("{at}: {problem}");
    let stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE * 3)).map_err(failed)?;
    let text = serde_json::to_string(call).map_err(|problem| problem.to_string())?;
    (&stream).write_all(format!("{text}\n").as_bytes()).map_err(failed)?;
    let mut answer = String::new();
    BufReader::new(&stream).read_line(&mut answer).map_err(failed)?;
    let mut value: Value = serde_json::from_str(&answer).map_err(|problem| format!("{at}: {problem}"))?;
    match value.get("error").and_then(Value::as_str) {
        Some(why) => Err(why.to_string()),
        None => Ok(value["ok"].take()),
    }
}

/// The line of a file on which a field first stands, from 1, for errors; 1 where it doesn't.
pub fn field_line_number(text: &str, field: &str) -> usize {
    let stands = |line: &str| {
        let line = line.trim_start().trim_start_matches(['"', '\'']);
        let rest = line.strip_prefix(field).map(|rest| rest.trim_start_matches(['"', '\'']).trim_start());
        rest.is_some_and(|rest| rest.starts_with(':'))
    };
    text.lines().position(stands).map_or(1, |at| at + 1)
}
