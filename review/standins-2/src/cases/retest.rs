//! One of seven marshals is ill for 6.9 seconds while its health answer is good: it hangs on all requests. Edges find it
//! unreachable, and the core takes it out. Then it leaves in order. Without the trouble the marshal is well.

use super::{configuration, configure, describe, request, start_core, wait_for_edge};
use crate::deployment::{sleep, Deployment, Record, CORE, DRAIN_S};
use crate::http::{Connection, Message};
use crate::marshal::{call, plain_answer, Marshal};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const EDGES: [(u32, &str); 3] = [(10, "bgo-a"), (11, "bgo-b"), (12, "bgo-b")];
const ILL_S: f64 = 6.9;
/// How long the marshal serves on behind the acknowledgement.
const SERVES_ON_S: f64 = 13.0;
/// Requests a second at each edge: of lookups, of orders.
const PER_S: (f64, f64) = (15.0, 40.0);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let deployment = Arc::new(Deployment::new("retest")?);
    let _core = start_core(&deployment)?;
    let _edges: Vec<_> = EDGES
        .iter()
        .map(|(host, zone)| deployment.start_in("edge-proxy", *host, true, zone))
        .collect::<Result<_, _>>()?;
    // Deadlines and aims like those of the order desk's site.
    let text = configuration(1, 16384)
        .replace("\"guardS\":5", "\"guardS\":2")
        .replace("\"targetS\":0.8", "\"targetS\":0.4");
    configure(&deployment, record, 0, &text)?;
    let ill = Arc::new(AtomicBool::new(false));
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let well = Arc::new(|request: &Message, stream: &mut TcpStream| {
        std::thread::sleep(Duration::from_millis(60));
        stream.write_all(&plain_answer(request, b"found"))?;
        Ok(true)
    });
    let (its_illness, its_arrivals) = (Arc::clone(&ill), Arc::clone(&arrivals));
    let sick = Arc::new(move |request: &Message, stream: &mut TcpStream| {
        if let Ok(mut arrivals) = its_arrivals.lock() {
            let id = request.field("x-milletwing-attempt-id").unwrap_or("").to_owned();
            arrivals.push((id, Instant::now()));
        }
        while its_illness.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(60));
        stream.write_all(&plain_answer(request, b"found"))?;
        Ok(true)
    });
    let mut marshals = Vec::new();
    for host in [17, 18, 19, 20, 21, 22] {
        marshals.push(Marshal::start_in(&deployment, record, "s1", host, well.clone(), "bgo-d")?);
    }
    // One of seven: a share of 0.143, in a zone of its own.
    let marshal = Marshal::start_in(&deployment, record, "s1", 25, sick, "bgo-c")?;
    for (edge, _) in EDGES {
        wait_for_edge(&deployment, record, edge)?;
    }
    sleep(6.0); // all machines are in touch from here on
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = EDGES
        .iter()
        .flat_map(|(edge, _)| {
            [(*edge, "GET", "/look/contracts", PER_S.0), (*edge, "POST", "/order/sign", PER_S.1)]
        })
        .map(|(edge, method, path, per_s)| {
            let (deployment, stop, record) = (Arc::clone(&deployment), Arc::clone(&stop), Arc::clone(record));
            std::thread::spawn(move || ask(&deployment, &record, &stop, (edge, per_s), (method, path)))
        })
        .collect();
    sleep(2.0);
    record.line(&format!("{} is ill: {trouble}", marshal.id));
    let started = Instant::now();
    ill.store(trouble, Ordering::SeqCst);
    // The operator looks at the list of marshals that edges find gone, and acts once this one stands there; at the
    // latest after four seconds.
    while started.elapsed().as_secs_f64() < 4.0 && !is_taken_out(&deployment, &marshal.id) {
        sleep(0.1);
    }
    let acknowledged = marshal.drain(&deployment).ok_or("its `draining` was not acknowledged")?;
    record.line(&format!(
        "its `draining` is acknowledged {:.2} s after the illness began",
        (acknowledged - started).as_secs_f64()
    ));
    while acknowledged.elapsed().as_secs_f64() < SERVES_ON_S {
        if started.elapsed().as_secs_f64() >= ILL_S && ill.swap(false, Ordering::SeqCst) {
            record.line("the marshal is well again");
        }
        sleep(0.02);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    let arrivals = arrivals.lock().map(|arrivals| arrivals.clone()).unwrap_or_default();
    for (id, at) in arrivals {
        let after = at.saturating_duration_since(acknowledged).as_secs_f64();
        if at > acknowledged {
            record.line(&format!("{id} reached the marshal {after:.2} s after the acknowledgement"));
        }
        late += usize::from(after > DRAIN_S);
    }
    record.line(&format!(
        "{late} requests reached the marshal later than {DRAIN_S} s after the acknowledgement"
    ));
    Ok(late > 0)
}

/// Whether the core has taken a marshal out because edges can't reach it.
fn is_taken_out(deployment: &Deployment, id: &str) -> bool {
    CORE.iter().any(|host| {
        call(deployment.control(*host), "GET", "/milletwing/suspects", "", b"", 1.0).is_ok_and(|answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            text.split('{').any(|part| part.contains(id) && part.contains("\"out\":true"))
        })
    })
}

/// Sends requests to an edge at an even pace, each on a connection of its own and for as long as it is answered.
fn ask(
    deployment: &Arc<Deployment>,
    record: &Arc<Record>,
    stop: &AtomicBool,
    (edge, per_s): (u32, f64),
    (method, path): (&str, &str),
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{}-{edge}-{number}", method.to_lowercase());
        let (to, record) = (deployment.ingress(edge), Arc::clone(record));
        let head = request(method, path, &id, "Content-Length: 0\r\nConnection: close\r\n");
        std::thread::spawn(move || {
            let answer =
                Connection::open(to, 4.0).and_then(|mut connection| connection.exchange(head.as_bytes()));
            record.line(&format!("client of edge {edge} sent {id}; got {}", describe(&answer)));
        });
        std::thread::sleep(Duration::from_secs_f64(1.0 / per_s));
    }
}
