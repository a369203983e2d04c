//! An edge gets SIGTERM and goes on taking downloads, as clients that know its address still come for some seconds.
//! Clients on a slow line ask for an export 2.4 s later. The marshal has answered whole at once; the clients have ten
//! seconds, and read as fast as their line allows.

use super::{configuration, configure, request, start_core, wait_for_edge};
use crate::deployment::{sleep, Deployment, Record, GRACE_S};
use crate::http::{Connection, Message};
use crate::marshal::{answer_head, plain_answer, Marshal};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const EDGES: [u32; 2] = [11, 12];
const CLIENTS: usize = 4;
/// Size of an export, and the bytes a second that a client's line carries: nine seconds for one export.
const EXPORT_BYTES: usize = 10_000_000;
const LINE_BYTES_PER_S: f64 = 1_250_000.0;
const REMAINING_MS: u64 = 11_000;
/// When the clients ask, counted from SIGTERM.
const ASKED_AFTER_S: f64 = 2.4;

/// What a client got of its answer.
struct Got {
    status: u16,
    bytes: usize,
    whole: bool,
    seconds: f64,
}

/// Asks for an export and reads the answer at the pace of a slow line.
fn download(deployment: &Deployment, id: &str) -> std::io::Result<Got> {
    let started = Instant::now();
    let mut connection = Connection::open(deployment.ingress(EDGES[0]), 12.0)?;
    let head = request("GET", "/fetch/export", id, "")
        .replace("X-Milletwing-Remaining-Ms: 5000", &format!("X-Milletwing-Remaining-Ms: {REMAINING_MS}"));
    connection.writer.write_all(head.as_bytes())?;
    let answer = crate::http::read_head(&mut connection.reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let length: usize = answer.field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut got = Got { status: answer.status(), bytes: 0, whole: false, seconds: 0.0 };
    let mut piece = vec![0; 16 << 10];
    let reading = Instant::now();
    while got.bytes < length {
        let due = got.bytes as f64 / LINE_BYTES_PER_S;
        std::thread::sleep(Duration::from_secs_f64(due).saturating_sub(reading.elapsed()));
        match connection.reader.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(read) => got.bytes += read,
        }
    }
    got.whole = got.bytes == length;
    got.seconds = started.elapsed().as_secs_f64();
    Ok(got)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let deployment = Arc::new(Deployment::new("slow-download")?);
    let _core = start_core(&deployment)?;
    let edges: Vec<_> =
        EDGES.iter().map(|host| deployment.start("edge-proxy", *host, true)).collect::<Result<_, _>>()?;
    // The times of a small deployment with long downloads: ten seconds of the client, a `guardS` of 12.
    let text = configuration(1, 16384).replace("\"guardS\":5", "\"guardS\":12");
    configure(&deployment, record, 0, &text)?;
    let finished: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (marshal_finished, marshal_record) = (Arc::clone(&finished), Arc::clone(record));
    let answer = Arc::new(move |request: &Message, stream: &mut TcpStream| {
        if !request.path().starts_with("/fetch/") {
            stream.write_all(&plain_answer(request, b"found"))?;
            return Ok(true);
        }
        let id = request.field("x-milletwing-attempt-id").unwrap_or("").to_owned();
        let head = format!("{}Content-Length: {EXPORT_BYTES}\r\n\r\n", answer_head(request, "200 OK"));
        stream.write_all(head.as_bytes())?;
        let result = stream.write_all(&vec![b'x'; EXPORT_BYTES]);
        marshal_record.line(&format!("marshal has ended its work on {id}: {result:?}"));
        if let Ok(mut finished) = marshal_finished.lock() {
            finished.push((id, Instant::now()));
        }
        result.map(|()| true)
    });
    let _marshal = Marshal::start(&deployment, record, "s1", 14, answer)?;
    for edge in EDGES {
        wait_for_edge(&deployment, record, edge)?;
    }
    sleep(6.0); // all machines are in touch from here on
    if trouble {
        edges[0].signal("TERM");
        record.line("SIGTERM to the first edge");
    }
    let term = Instant::now();
    sleep(ASKED_AFTER_S);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (deployment, record) = (Arc::clone(&deployment), Arc::clone(record));
            std::thread::spawn(move || {
                let id = format!("export-{client}");
                record.line(&format!("client sends {id}"));
                (id.clone(), download(&deployment, &id))
            })
        })
        .collect();
    let mut edges = edges.into_iter();
    // The platform kills the process `graceS` after SIGTERM.
    let killer = std::thread::spawn({
        let edge = edges.next();
        move || {
            if trouble {
                std::thread::sleep(Duration::from_secs_f64(GRACE_S).saturating_sub(term.elapsed()));
                drop(edge);
                None
            } else {
                edge
            }
        }
    });
    let mut lost = 0;
    for client in clients {
        let (id, got) = client.join().map_err(|_| "a client failed")?;
        let ended =
            finished.lock().ok().and_then(|all| all.iter().find(|(done, _)| *done == id).map(|(_, at)| *at));
        let ended_after = ended.map(|at| at.saturating_duration_since(term).as_secs_f64());
        match got {
            Ok(got) => {
                record.line(&format!(
                    "{id} got {} and {} of {EXPORT_BYTES} bytes after {:.2} s, whole: {}; its marshal had ended {ended_after:?} s after SIGTERM",
                    got.status, got.bytes, got.seconds, got.whole
                ));
                // Not counted: the marshal broke off, the deadline was reached, the marshal still at work in the last sixth
                // of `graceS`, a refusal before the request was passed on.
                let at_work_late = ended_after.is_none_or(|after| after > GRACE_S * 5.0 / 6.0);
                let in_time = got.seconds < REMAINING_MS as f64 / 1000.0;
                lost += usize::from(got.status == 200 && !got.whole && !at_work_late && in_time);
            }
            Err(error) => record.line(&format!("{id}: {error}; its marshal had ended {ended_after:?}")),
        }
    }
    let _ = killer.join();
    record.line(&format!("{lost} answers of {CLIENTS} that a marshal had given whole were cut off"));
    Ok(lost > 0)
}
