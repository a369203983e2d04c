//! A client sends repeatable lookups with a body of 24 KiB: in chunks (the trouble), or with a length.

use super::{configuration, configure, describe, request, start_core, wait_for_edge};
use crate::deployment::{Deployment, Record};
use crate::http::{chunked, Connection};
use crate::marshal::{plain_answer, Marshal};
use std::sync::Arc;

const EDGE: u32 = 11;
const REQUESTS: usize = 40;
const BODY_BYTES: usize = 24 << 10;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new("get-body")?;
    let _core = start_core(&deployment)?;
    let _edge = deployment.start("edge-proxy", EDGE, true)?;
    configure(&deployment, record, 0, &configuration(1, 16384))?;
    let answer = Arc::new(|request: &crate::http::Message, stream: &mut std::net::TcpStream| {
        std::io::Write::write_all(
            stream,
            &plain_answer(request, format!("{}", request.body.len()).as_bytes()),
        )?;
        Ok(true)
    });
    let marshal = Marshal::start(&deployment, record, "s1", 14, answer)?;
    wait_for_edge(&deployment, record, EDGE)?;
    let mut changed = 0;
    for number in 0..REQUESTS {
        let id = format!("lookup-{number}");
        let body: Vec<u8> = (0..BODY_BYTES).map(|at| b'a' + ((at + number) % 26) as u8).collect();
        let (framing, sent) = if trouble {
            ("Transfer-Encoding: chunked\r\n".to_owned(), chunked(&body, 4096))
        } else {
            (format!("Content-Length: {}\r\n", body.len()), body.clone())
        };
        let head = request("GET", "/look/contracts", &id, &framing);
        let mut connection =
            Connection::open(deployment.ingress(EDGE), 6.0).map_err(|error| error.to_string())?;
        let answer = connection.exchange(&[head.as_bytes(), &sent].concat());
        record.line(&format!(
            "client sent {id}: GET, body of {} bytes, {}; got {}",
            body.len(),
            framing.trim(),
            describe(&answer)
        ));
        for run in marshal.runs_of(&id) {
            if run.body != body || run.method() != "GET" || run.path() != "/look/contracts" {
                changed += 1;
                record.line(&format!(
                    "{id} ran with its body changed: {} bytes for {}",
                    run.body.len(),
                    body.len()
                ));
            }
        }
    }
    record.line(&format!("{changed} of {REQUESTS} requests ran changed"));
    Ok(changed > 0)
}
