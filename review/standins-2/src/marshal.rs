//! A marshal that follows the users' pages: it reports itself, answers probes, turns away what is meant
//! for another, and records what it runs. What it answers is up to the case.

use crate::deployment::{Deployment, Record, CORE, REPORT_S};
use crate::http::{read_body, read_head, Connection, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a marshal does with a request that it has run: writes an answer. Returns whether the connection
/// stays open.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

pub struct Marshal {
    pub id: String,
    pub address: SocketAddrV4,
    /// All requests that it ran.
    pub runs: Arc<Mutex<Vec<Message>>>,
    stopped: Arc<AtomicBool>,
    /// Says `draining` in its reports from now on.
    draining: Arc<AtomicBool>,
    service: String,
    zone: String,
}

static CALLS: AtomicU64 = AtomicU64::new(1);

impl Marshal {
    /// Starts a marshal of a service, and its reports.
    pub fn start(
        deployment: &Deployment,
        record: &Arc<Record>,
        service: &str,
        host: u32,
        answer: Arc<Answer>,
    ) -> Result<Marshal, String> {
        Marshal::start_in(deployment, record, service, host, answer, "bgo-a")
    }

    /// Starts a marshal in a zone.
    pub fn start_in(
        deployment: &Deployment,
        record: &Arc<Record>,
        service: &str,
        host: u32,
        answer: Arc<Answer>,
        zone: &str,
    ) -> Result<Marshal, String> {
        let listener = TcpListener::bind(deployment.address(host, 0)).map_err(|error| error.to_string())?;
        let address = match listener.local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => address,
            other => return Err(format!("{other:?}")),
        };
        let id = format!("i-{host:04x}{:04x}", address.port());
        let runs = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (serving_id, serving_runs, serving_record) = (id.clone(), Arc::clone(&runs), Arc::clone(record));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (id, runs) = (serving_id.clone(), Arc::clone(&serving_runs));
                let (answer, record) = (Arc::clone(&answer), Arc::clone(&serving_record));
                std::thread::spawn(move || {
                    let _ = serve(stream, &id, &runs, &*answer, &record);
                });
            }
        });
        let cores: Vec<SocketAddrV4> = CORE.iter().map(|host| deployment.control(*host)).collect();
        let draining = Arc::new(AtomicBool::new(false));
        let (beat_id, beat_service, beat_zone) = (id.clone(), service.to_owned(), zone.to_owned());
        let (ended, leaves) = (Arc::clone(&stopped), Arc::clone(&draining));
        std::thread::spawn(move || {
            let mut at = 0;
            while !ended.load(Ordering::SeqCst) {
                let state = if leaves.load(Ordering::SeqCst) { "draining" } else { "available" };
                let body = beat(&beat_service, address, &beat_zone, state);
                let path = format!("/milletwing/nodes/{beat_id}");
                match call(cores[at % cores.len()], "PUT", &path, "", body.as_bytes(), 1.0) {
                    Ok(answer) if answer.status() == 200 => {
                        std::thread::sleep(Duration::from_secs_f64(REPORT_S))
                    }
                    _ => {
                        at += 1;
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
            }
        });
        Ok(Marshal {
            id,
            address,
            runs,
            stopped,
            draining,
            service: service.to_owned(),
            zone: zone.to_owned(),
        })
    }

    /// Says that it is leaving, to one core machine after another until it is acknowledged. Returns when it was.
    pub fn drain(&self, deployment: &Deployment) -> Option<std::time::Instant> {
        self.draining.store(true, Ordering::SeqCst);
        for attempt in 0..20 {
            let to = deployment.control(CORE[attempt % CORE.len()]);
            let body = beat(&self.service, self.address, &self.zone, "draining");
            let answer = call(to, "PUT", &format!("/milletwing/nodes/{}", self.id), "", body.as_bytes(), 1.0);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Some(std::time::Instant::now());
            }
        }
        None
    }

    /// The requests with this attempt id that it ran.
    pub fn runs_of(&self, id: &str) -> Vec<Message> {
        let runs = self.runs.lock().map(|runs| runs.clone()).unwrap_or_default();
        runs.into_iter().filter(|run| run.field("x-milletwing-attempt-id") == Some(id)).collect()
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// The body of a report.
fn beat(service: &str, address: SocketAddrV4, zone: &str, state: &str) -> String {
    let counter = CALLS.fetch_add(1, Ordering::SeqCst);
    format!(
        "{{\"target\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\"capacity\":8,\
         \"state\":\"{state}\",\"warmupLeftS\":0,\"callCounter\":{counter}}}"
    )
}

fn serve(
    stream: TcpStream,
    id: &str,
    runs: &Mutex<Vec<Message>>,
    answer: &Answer,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request, false)?;
        if request.path() == "/health" {
            writer.write_all(
                format!("HTTP/1.1 200 OK\r\nX-Milletwing-Node-Id: {id}\r\nX-Milletwing-Node-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )?;
            continue;
        }
        let attempt = request.field("x-milletwing-attempt-id").unwrap_or("").to_owned();
        if request.field("x-milletwing-target-node").is_some_and(|target| target != id) {
            writer.write_all(
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Milletwing-Attempt-Id: {attempt}\r\nX-Milletwing-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )?;
            continue;
        }
        record.line(&format!(
            "marshal {id} runs {attempt}: {}, body of {} bytes",
            request.first_line,
            request.body.len()
        ));
        if let Ok(mut runs) = runs.lock() {
            runs.push(request.clone());
        }
        if !answer(&request, &mut writer)? {
            return Ok(());
        }
    }
    Ok(())
}

/// The head of a marshal's answer without the fields that frame its body.
pub fn answer_head(request: &Message, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Milletwing-Attempt-Id: {}\r\nX-Milletwing-Server-Seal: seal.{}\r\nX-Milletwing-Node-Load: 1,0,8\r\n",
        request.field("x-milletwing-attempt-id").unwrap_or(""),
        request.field("x-milletwing-attempt-id").unwrap_or("")
    )
}

/// A whole answer with a length.
pub fn plain_answer(request: &Message, body: &[u8]) -> Vec<u8> {
    let head = format!("{}Content-Length: {}\r\n\r\n", answer_head(request, "200 OK"), body.len());
    [head.as_bytes(), body].concat()
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout_s: f64,
) -> std::io::Result<Message> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    Connection::open(to, timeout_s)?.exchange(&[head.as_bytes(), body].concat())
}

/// An order of the operator: sent again, to one core machine after another, until there is a clear answer.
pub fn order(
    deployment: &Deployment,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    patience_s: f64,
) -> Option<Message> {
    let until = std::time::Instant::now() + Duration::from_secs_f64(patience_s);
    let mut at = 0;
    while std::time::Instant::now() < until {
        let to = deployment.control(CORE[at % CORE.len()]);
        if let Ok(answer) = call(to, method, path, headers, body, 1.0) {
            if answer.status() < 500 && answer.status() != 408 && answer.status() != 429 {
                return Some(answer);
            }
        }
        at += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}
