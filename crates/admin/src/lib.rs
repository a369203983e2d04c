//! Operators' calls to a running instance over a loopback address: one JSON line for the request
//! and one for the response. Also finds the line of a key in a settings file, for error messages.

use crossbeam_channel::{bounded, Sender};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longest request line that is read, in bytes.
const MAX_REQUEST_BYTES: u64 = 4 << 10;
/// Time limit for each step of a call: to connect, read or write, to hand the call over to the
/// instance, and to wait for its result.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A received call, and the channel on which its result is returned to the connection.
pub type PendingCall<C> = (C, Sender<Result<Value, String>>);

fn read_request(stream: &TcpStream) -> io::Result<String> {
    let mut line = String::new();
    BufReader::new(stream.take(MAX_REQUEST_BYTES)).read_line(&mut line)?;
    Ok(line)
}

/// Serves calls on `address` in a thread of its own, one connection at a time, and passes them on to
/// `calls`. Returns the bound address, with the assigned port if `address` has port 0.
///
/// The error `unavailable` is the response to a call that the receiver of `calls` does not accept
/// or does not answer in time, or after that receiver is gone.
pub fn listen<C: DeserializeOwned + Send + 'static>(
    address: SocketAddr,
    calls: Sender<PendingCall<C>>,
    unavailable: &'static str,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let thread = std::thread::Builder::new().name("admin".into()).stack_size(256 << 10);
    thread.spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Err(error) = serve_connection(&stream, &calls, unavailable) {
                log::info!("connection of an operator's call failed: {error}");
            }
        }
    })?;
    Ok(address)
}

fn serve_connection<C: DeserializeOwned>(
    stream: &TcpStream,
    calls: &Sender<PendingCall<C>>,
    unavailable: &str,
) -> io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let result = match serde_json::from_str::<C>(&read_request(stream)?) {
        Err(error) => Err(format!("not understood: {error}")),
        Ok(call) => {
            let (result_sender, result_receiver) = bounded(1);
            let accepted = calls.send_timeout((call, result_sender), TIMEOUT).is_ok();
            let unavailable = || Err(unavailable.to_string());
            if accepted {
                result_receiver.recv_timeout(TIMEOUT).unwrap_or_else(|_| unavailable())
            } else {
                unavailable()
            }
        }
    };
    let response = match result {
        Ok(value) => serde_json::json!({ "ok": value }),
        Err(reason) => serde_json::json!({ "error": reason }),
    };
    let mut writer = stream;
    writer.write_all(format!("{response}\n").as_bytes())
}

/// Sends a call to the instance at `address` and returns its result. The error is the one that the
/// instance responded with, or says why there is no valid response.
pub fn call<C: Serialize>(address: SocketAddr, call: &C) -> Result<Value, String> {
    let failed = |error: io::Error| format!("{address}: {error}");
    let stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT * 3)).map_err(failed)?;
    let request = serde_json::to_string(call).map_err(|error| error.to_string())?;
    (&stream).write_all(format!("{request}\n").as_bytes()).map_err(failed)?;
    let mut response = String::new();
    BufReader::new(&stream).read_line(&mut response).map_err(failed)?;
    let mut value: Value = serde_json::from_str(&response).map_err(|error| format!("{address}: {error}"))?;
    match value.get("error").and_then(Value::as_str) {
        Some(reason) => Err(reason.to_string()),
        None => Ok(value["ok"].take()),
    }
}

/// Returns the number, from 1, of the first line that starts with the key `field`, quoted or not,
/// and a colon; 1 if there is none.
pub fn field_line_number(text: &str, field: &str) -> usize {
    let has_key = |line: &str| {
        let line = line.trim_start().trim_start_matches(['"', '\'']);
        let rest = line.strip_prefix(field).map(|rest| rest.trim_start_matches(['"', '\'']).trim_start());
        rest.is_some_and(|rest| rest.starts_with(':'))
    };
    text.lines().position(has_key).map_or(1, |index| index + 1)
}
