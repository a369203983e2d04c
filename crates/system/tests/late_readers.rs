//! Marshals that start on a request and read its body later, behind the real programs. Such a marshal
//! is alive, and the edge must wait for it. Instead of sleeping, the tests let time pass with another
//! request that no marshal answers until its deadline.

mod cluster;

use cluster::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

/// Size of an upload in bytes: more than the marshal's host buffers while the marshal does not read.
const LARGE_BODY_BYTES: usize = 8_000_000;
/// Deadline in milliseconds of the request that no marshal answers: several times as long as an edge
/// waits for a host that has lost power.
const UNANSWERED_MS: u64 = 2_500;

/// What the simulated marshal reports to the test.
#[derive(Debug, PartialEq)]
enum Progress {
    /// It has read the head of an upload, and none of its body.
    Started,
    /// This many bytes of the body have arrived: all of it, or fewer and then the connection has ended.
    BodyRead(usize),
}

/// A simulated marshal that answers `/look/ready` at once and `/look/held` never, and that reads the
/// body of an upload only when the test tells it to.
struct LateReader {
    progress: Receiver<Progress>,
    read_body: Sender<()>,
}

impl LateReader {
    fn start(address: SocketAddrV4, answer_first: bool) -> LateReader {
        let listener = TcpListener::bind(address).unwrap();
        let (report, progress) = channel();
        let (read_body, read_signal) = channel();
        let read_signal = std::sync::Arc::new(std::sync::Mutex::new(read_signal));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (report, read_signal) = (report.clone(), std::sync::Arc::clone(&read_signal));
                std::thread::spawn(move || {
                    // An error means that the edge has disconnected.
                    let _ = serve_late(stream, answer_first, &report, &read_signal);
                });
            }
        });
        LateReader { progress, read_body }
    }

    fn next_progress(&self) -> Progress {
        self.progress.recv_timeout(TIMEOUT).unwrap()
    }
}

fn header(head: &str, name: &str) -> String {
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    headers
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}

fn serve_late(
    stream: TcpStream,
    answer_first: bool,
    report: &Sender<Progress>,
    read_signal: &std::sync::Mutex<Receiver<()>>,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let head = read_head(&mut reader)?;
        let id = header(&head, "x-milletwing-attempt-id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
        );
        if head.contains("/look/held") {
            continue;
        }
        if head.starts_with("POST") {
            if answer_first {
                writer.write_all(response.as_bytes())?;
            }
            let _ = report.send(Progress::Started); // the test may have ended
            let _ = read_signal.lock().map(|signal| signal.recv());
            let length: u64 = header(&head, "content-length").parse().unwrap_or(0);
            let count = std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink()).unwrap_or(0);
            let _ = report.send(Progress::BodyRead(count as usize));
            if answer_first {
                continue;
            }
        }
        writer.write_all(response.as_bytes())?;
    }
}

fn read_head(reader: &mut impl Read) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        reader.read_exact(&mut byte)?;
        bytes.extend(byte);
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Starts a core, an edge and one such marshal, and returns when a first request has been served.
fn start_system(name: &str, answer_first: bool) -> (Cluster, Vec<Process>, Process, LateReader) {
    let cluster = Cluster::new(name);
    let core = cluster.start_core();
    let configuration = configuration_json(3).replace("100000", "67108864");
    let headers = "If-Match: 0\r\nContent-Type: application/json\r\n";
    let put = cluster.call_core(&[1, 2, 3], "PUT", "/milletwing/configuration", headers, &configuration);
    assert_eq!(put.0, 200, "{}", put.1);
    let marshal = LateReader::start(cluster.address(100, 80), answer_first);
    assert_eq!(cluster.send_heartbeat(&[1], "i-1", cluster.address(100, 80)), 200);
    let edge = cluster.start("edge-proxy", 20, true);
    edge.wait_for_log("M130");
    wait_until_served(cluster.address(20, 8548));
    (cluster, core, edge, marshal)
}

/// Uploads a body of this many bytes from another thread. The thread returns the status and head of the
/// response, or `None` if the connection ends without one.
fn start_upload(to: SocketAddrV4, bytes: usize) -> std::thread::JoinHandle<Option<(u16, String)>> {
    std::thread::spawn(move || {
        let headers = format!("Content-Length: {bytes}\r\n");
        let text = http_request("POST", "/order/late", "late", &headers, &"a".repeat(bytes));
        exchange(to, text.as_bytes()).map(|(status, head, _)| (status, head))
    })
}

/// Returns when a request that no marshal answers has reached its deadline.
fn wait_for_unanswered_request(to: SocketAddrV4) {
    let text = http_request("GET", "/look/held", "held", "", "").replace("4000", &UNANSWERED_MS.to_string());
    assert_eq!(exchange(to, text.as_bytes()).map(|(status, ..)| status), Some(504));
}

/// Uploads a body that the marshal reads late, and if `answer_first` is set only after its response;
/// asserts that the whole body arrives. Returns the status and head of the response.
fn upload_to_late_reader(name: &str, answer_first: bool) -> (u16, String) {
    let (cluster, _core, _edge, marshal) = start_system(name, answer_first);
    let to = cluster.address(20, 8548);
    let upload = start_upload(to, LARGE_BODY_BYTES);
    assert_eq!(marshal.next_progress(), Progress::Started);
    wait_for_unanswered_request(to);
    marshal.read_body.send(()).unwrap();
    assert_eq!(marshal.next_progress(), Progress::BodyRead(LARGE_BODY_BYTES));
    upload.join().unwrap().expect("no response")
}

/// Guards against a lost response: an edge took a live marshal that had not yet read an upload for a
/// host without power, reset the connection, and answered 502 (LOST) itself.
#[test]
fn an_upload_is_answered_by_a_marshal_that_reads_its_body_late() {
    let (status, head) = upload_to_late_reader("late", false);
    assert!(status == 200 && head.to_ascii_lowercase().contains("x-milletwing-server-seal: seal"), "{head}");
}

/// Guards against a truncated body: the edge reset the connection to a marshal that had responded before
/// it read the body.
#[test]
fn the_rest_of_a_body_reaches_a_marshal_that_responds_before_reading_it() {
    assert_eq!(upload_to_late_reader("early", true).0, 200);
}

/// Guards against a request that waits on a connection behind a body that the marshal has responded to
/// but not read.
#[test]
fn the_next_request_does_not_wait_behind_a_body_that_was_answered_early() {
    /// Few enough bytes for the hosts of both sides to buffer, so that the edge can send all of them
    /// before the marshal reads.
    const BUFFERED_BODY_BYTES: usize = 400_000;
    let (cluster, _core, _edge, marshal) = start_system("next", true);
    let to = cluster.address(20, 8548);
    assert_eq!(start_upload(to, BUFFERED_BODY_BYTES).join().unwrap().map(|(status, _)| status), Some(200));
    assert_eq!(marshal.next_progress(), Progress::Started);
    let next = exchange(to, http_request("GET", "/look/ready", "next", "", "").as_bytes());
    assert_eq!(next.map(|(status, ..)| status), Some(200));
    marshal.read_body.send(()).unwrap();
    assert_eq!(marshal.next_progress(), Progress::BodyRead(BUFFERED_BODY_BYTES));
}
