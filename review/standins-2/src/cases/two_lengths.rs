//! One of two marshals is in trouble and spoils one of fifty of its answers: their heads name two lengths that do not fit
//! each other.

use super::{configuration, configure, describe, request, start_core, wait_for_edge};
use crate::deployment::{Deployment, Record};
use crate::http::{chunked, Connection, Message};
use crate::marshal::{answer_head, plain_answer, Marshal};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const EDGE: u32 = 11;
const REQUESTS: usize = 600;
/// One answer in so many of that marshal is spoilt: 0.02 at half of the marshals, the dose of `garble`.
const SPOILT_EACH: usize = 50;

fn body_of(id: &str) -> Vec<u8> {
    format!("record {id} ").into_bytes().into_iter().cycle().take(2000).collect()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new("two-lengths")?;
    let _core = start_core(&deployment)?;
    let _edge = deployment.start("edge-proxy", EDGE, true)?;
    configure(&deployment, record, 0, &configuration(1, 16384))?;
    let well = Arc::new(|request: &Message, stream: &mut TcpStream| {
        let id = request.field("x-milletwing-attempt-id").unwrap_or("");
        stream.write_all(&plain_answer(request, &body_of(id)))?;
        Ok(true)
    });
    let spoilt_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let (answered, its_spoilt_ids) = (AtomicUsize::new(0), Arc::clone(&spoilt_ids));
    let sick = Arc::new(move |request: &Message, stream: &mut TcpStream| {
        let id = request.field("x-milletwing-attempt-id").unwrap_or("").to_owned();
        let number = answered.fetch_add(1, Ordering::SeqCst);
        let body = body_of(&id);
        if trouble && number % SPOILT_EACH == SPOILT_EACH - 1 {
            if let Ok(mut ids) = its_spoilt_ids.lock() {
                ids.push(id);
            }
            let head = format!(
                "{}Content-Length: 64\r\nTransfer-Encoding: chunked\r\n\r\n",
                answer_head(request, "200 OK")
            );
            stream.write_all(&[head.as_bytes(), &chunked(&body, 1000)].concat())?;
        } else {
            stream.write_all(&plain_answer(request, &body))?;
        }
        Ok(true)
    });
    let _marshals = [
        Marshal::start(&deployment, record, "s1", 14, sick)?,
        Marshal::start(&deployment, record, "s1", 15, well)?,
    ];
    wait_for_edge(&deployment, record, EDGE)?;
    let open = || Connection::open(deployment.ingress(EDGE), 6.0).map_err(|error| error.to_string());
    let mut connection = open()?;
    let mut mixed = 0;
    for number in 0..REQUESTS {
        let id = format!("lookup-{number}");
        let answer = connection.exchange(request("GET", "/look/contracts", &id, "").as_bytes());
        let spoilt = spoilt_ids.lock().is_ok_and(|ids| ids.contains(&id));
        record.line(&format!("client sent {id}; got {}", describe(&answer)));
        if let Err(error) = &answer {
            // Bytes that are no answer in the protocol.
            if error.kind() == std::io::ErrorKind::InvalidData {
                mixed += 1;
                record.line(&format!("{id}: bytes that are no answer: {error}"));
            }
            connection = open()?;
            continue;
        }
        let Ok(answer) = answer else { continue };
        let success = (200..300).contains(&answer.status());
        if success && answer.body != body_of(&id) {
            mixed += 1;
            record.line(&format!(
                "{id}: a success whose body of {} bytes is not the marshal's",
                answer.body.len()
            ));
        }
        // No request waits on the connection now.
        if spoilt {
            let surplus = connection.surplus(0.3);
            if !surplus.is_empty() {
                mixed += 1;
                let text: String = String::from_utf8_lossy(&surplus).chars().take(60).collect();
                record.line(&format!(
                    "{id}: {} bytes behind the answer, no request waits: {text:?}",
                    surplus.len()
                ));
            }
            connection = open()?;
        } else if answer.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            connection = open()?;
        }
    }
    record.line(&format!("{mixed} times a client got what the rule forbids, in {REQUESTS} requests"));
    Ok(mixed > 0)
}
