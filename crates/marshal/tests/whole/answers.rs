//! Each request gets exactly one complete response, and each attempt the outcome from the protocol's table.

use crate::support::*;
use milletwing_toy::discovery::Host;
use milletwing_toy::node::Reply;
use milletwing_toy::read_message;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let node = node_answering("the answer");
    let world = World::of(&[&node]);
    let mut client = world.client();
    client.send(lookup("900m").as_bytes());
    let answer = client.answer();
    assert_eq!((answer.word(1), answer.body.as_slice()), ("200", &b"the answer"[..]));
    // The same connection serves the next request, and so does the connection to the node.
    client.send(b"POST /api?x=%20 HTTP/1.1\r\nHost: x\r\nX-Txn: k1\r\nX-Lane: change\r\nX-Remaining: 900000u\r\nIdempotency-Key: abc\r\nX-Labels: a=1\r\nContent-Length: 5\r\n\r\nhello");
    assert_eq!(client.answer().word(1), "200");
    let asked = node.asked();
    assert_eq!(asked[0].line, "GET /api?q=1 HTTP/1.1");
    assert!(asked[0].get("Content-Length").is_none());
    assert_eq!(asked[1].line, "POST /api?x=%20 HTTP/1.1");
    assert_eq!(asked[1].body, b"hello");
    assert_eq!((asked[1].get("X-Txn"), asked[1].get("Idempotency-Key")), (Some("k1"), Some("abc")));
    assert_eq!((asked[1].get("X-Org"), asked[1].get("X-Labels")), (None, Some("a=1")));
    let told = asked[1].get("X-Remaining").and_then(milletwing_marshal::wire::parse_remaining).unwrap();
    assert!(told <= Duration::from_millis(900));
    assert_eq!(asked[1].headers.iter().filter(|(name, _)| name == "X-Remaining").count(), 1);
    assert_eq!(node.connections().0, 1);
}

#[test]
fn large_and_chunked_bodies_are_forwarded_completely() {
    let large = vec![b'z'; 64 << 10];
    let body = large.clone();
    let node = node(move |message| match message.get("X-Labels") {
        Some("chunked") => Reply::Raw(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
                .to_vec(),
        ),
        Some("interim") => Reply::Raw(
            b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec(),
        ),
        _ => Reply::Answer(200, body.clone()),
    });
    let world = World::of(&[&node]);
    let labelled = |label: &str| lookup("2000m").replace("X-Org: acme", &format!("X-Labels: {label}"));
    assert_eq!(world.ask(&labelled("chunked")).body, b"abcde");
    assert_eq!(world.ask(&labelled("interim")).body, b"ok");
    assert_eq!(world.ask(&lookup("2000m")).body, large);
    let post = format!(
        "POST /api HTTP/1.1\r\nX-Txn: {}\r\nX-Lane: pay\r\nX-Remaining: 2000m\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncoin\r\n3\r\n+10\r\n0\r\n\r\n",
        id()
    );
    assert_eq!(world.ask(&post).word(1), "200");
    assert_eq!(node.asked().last().unwrap().body, b"coin+10");
}

#[test]
fn at_most_once_requests_are_refused_if_never_run_and_fail_if_they_may_have_run() {
    let error = node(|_| Reply::Answer(500, b"oh".to_vec()));
    assert_eq!(World::of(&[&error]).ask(&pay("900m")).word(1), "502");
    assert_eq!(error.asked().len(), 1);
    let reset = node(|_| Reply::RawEnd(Vec::new()));
    assert_eq!(World::of(&[&reset]).ask(&pay("900m")).word(1), "502");
    assert_eq!(reset.asked().len(), 1);
    let half = node(|_| Reply::RawEnd(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()));
    assert_eq!(World::of(&[&half]).ask(&pay("900m")).word(1), "502");
    assert_eq!(half.asked().len(), 1);
    let full = node(|_| Reply::TurnAway);
    let answer = World::of(&[&full]).ask(&pay("900m"));
    assert_eq!(answer.word(1), "503");
    assert!(answer.get("Retry-After").is_some_and(|text| text.parse::<f64>().is_ok()));
    // A 503 without the node's statement that the request never ran is an error like any other.
    let plain = node(|_| Reply::Answer(503, Vec::new()));
    assert_eq!(World::of(&[&plain]).ask(&pay("900m")).word(1), "502");
    let refused = [Host::new("n0", unused_address(), 1)];
    let world = World::hosts(&refused, "1 2 live 1 60000", |_| None, |_| {});
    assert_eq!(world.ask(&pay("900m")).word(1), "503");
}

#[test]
fn an_idempotent_request_is_retried_on_another_node_and_answered_once() {
    let (bad, good) = (node(|_| Reply::RawEnd(Vec::new())), node_answering("fine"));
    let world = World::of(&[&bad, &good]);
    for _ in 0..20 {
        let mut client = world.client();
        client.send(lookup("2000m").as_bytes());
        assert_eq!(client.answer().body, b"fine");
    }
    assert_eq!(good.asked().len(), 20);
}

#[test]
fn a_silent_node_delays_only_its_own_request() {
    let silent = node(|_| Reply::Silent);
    let world = World::of(&[&silent]);
    let mut waiting = world.client();
    waiting.send(pay("400m").as_bytes());
    assert_eq!(world.ask("GET /up HTTP/1.1\r\n\r\n").word(1), "200");
    assert_eq!(waiting.answer().word(1), "502");
    // The attempt was aborted by closing its connection.
    wait_until("the node's connection is closed", || silent.connections() == (1, 1));
}

#[test]
fn malformed_and_endless_responses_end_the_attempt_and_its_connection() {
    for reply in 0..8 {
        let node = node(move |_| match reply {
            0 => Reply::Raw(b"SSH-2.0-nonsense\r\n\r\n".to_vec()),
            1 => Reply::Endless,
            2 => Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx".to_vec()),
            3 => Reply::Raw([b"HTTP/1.1 200 OK\r\nA: ".as_slice(), &[b'x'; 20 << 10]].concat()),
            4 => Reply::Raw(b"HTTP/1.1 100 Continue\r\n\r\n".repeat(400)),
            // Without a length, a complete response cannot be told from a truncated one.
            5 => Reply::RawEnd(b"HTTP/1.1 200 OK\r\n\r\nhalf an ans".to_vec()),
            6 => Reply::RawEnd(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf an ans".to_vec()),
            _ => Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx".to_vec()),
        });
        let world = World::of(&[&node]);
        assert_eq!(world.ask(&pay("1500m")).word(1), "502");
        wait_until("the node's connection is closed", || node.connections() == (1, 1));
    }
}

#[test]
fn bytes_after_a_response_are_never_taken_for_the_next_response() {
    let node = node(|_| {
        Reply::Raw(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"
                .to_vec(),
        )
    });
    let world = World::of(&[&node]);
    for _ in 0..5 {
        assert_eq!(world.ask(&lookup("1500m")).body, b"a");
    }
}

#[test]
fn a_client_disconnect_is_noticed_and_aborts_its_attempt() {
    let silent = node(|_| Reply::Silent);
    let world = World::of(&[&silent]);
    let mut client = world.client();
    client.send(pay("60000m").as_bytes());
    wait_until("the node is asked", || silent.asked().len() == 1);
    client.stream.shutdown(Shutdown::Both).unwrap();
    wait_until("the node's connection is closed", || silent.connections() == (1, 1));
    wait_until("the disconnect is counted", || format!("{}", world.server.counters()).contains("gone 1 "));
}

#[test]
fn a_connection_closed_by_the_node_is_not_reused() {
    let node = node(|_| Reply::RawEnd(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec()));
    let world = World::of(&[&node]);
    for at in 1..5 {
        assert_eq!(world.ask(&pay("1500m")).word(1), "200");
        wait_until("the node has closed the connection", || node.connections() == (at, at));
    }
    assert_eq!(node.asked().len(), 4);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let node = node(|message| Reply::Answer(200, message.get("X-Txn").unwrap_or("").as_bytes().to_vec()));
    let world = World::of(&[&node]);
    let (first, second) = (lookup("2000m"), lookup("2000m"));
    let mut client = world.client();
    client.send(format!("{first}{second}").as_bytes());
    for sent in [first, second] {
        let body = String::from_utf8(client.answer().body).unwrap();
        assert!(sent.contains(&format!("X-Txn: {body}\r\n")));
    }
}

#[test]
fn a_second_pending_request_with_the_same_id_is_rejected() {
    let slow = node(|_| Reply::After(Duration::from_millis(120), Box::new(Reply::Answer(200, Vec::new()))));
    let world = World::of(&[&slow]);
    let request = lookup("5000m");
    let mut first = world.client();
    first.send(request.as_bytes());
    wait_until("the first request is in progress", || {
        format!("{}", world.server.counters()).contains("attempts 1 ")
    });
    assert_eq!(world.ask(&request).word(1), "409");
    assert_eq!(first.answer().word(1), "200");
}

#[test]
fn stopping_completes_requests_in_progress_and_frees_the_address() {
    let slow =
        node(|_| Reply::After(Duration::from_millis(200), Box::new(Reply::Answer(200, b"late".to_vec()))));
    let world = World::of(&[&slow]);
    let mut idle = world.client();
    idle.send(b"GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.answer().word(1), "200");
    let mut held = world.client();
    held.send(pay("5000m").as_bytes());
    wait_until("the request is in progress", || slow.asked().len() == 1);
    let World { discovery, platform, server } = world;
    let listen = server.listen;
    let stopping = std::thread::spawn(move || server.stop());
    // New connections are still accepted for a while, but the readiness check fails.
    let mut late = Client::to(listen);
    late.send(b"GET /up HTTP/1.1\r\n\r\n");
    if let Some(answer) = late.try_answer() {
        assert!(matches!(answer.word(1), "200" | "503"));
    }
    let answer = held.answer();
    assert_eq!((answer.word(1), answer.body.as_slice()), ("200", &b"late"[..]));
    assert_eq!(answer.get("Connection"), Some("close"));
    assert!(held.ends() && idle.ends());
    assert!(stopping.join().unwrap());
    // Restarted with the same configuration on the same address, it serves at once.
    let config = config(&listen.to_string(), &discovery, &platform);
    let limits = limits(&config);
    let again = milletwing_marshal::Server::start_with(config, limits).unwrap();
    let mut client = Client::to(again.listen);
    client.send(pay("5000m").as_bytes());
    assert_eq!(client.answer().word(1), "200");
}

#[test]
fn idle_connections_are_closed_at_the_limit() {
    let node = node_answering("ok");
    let world = World::with(&[&node], |limits| limits.max_clients = 3);
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..8 {
        let mut client = world.client();
        client.send(lookup("5000m").as_bytes());
        assert_eq!(client.answer().word(1), "200");
        clients.push(client);
    }
    assert!(clients[0].ends());
}

/// Guards against relying on a socket's own timeouts, which fire up to an eighth late.
#[test]
fn a_stalled_response_ends_at_the_deadline_and_is_never_taken_for_complete() {
    let node = node(|_| Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of".to_vec()));
    let world = World::of(&[&node]);
    // Each request goes to a marshal of its own: a second request may be refused after a first timeout.
    assert_eq!(world.ask(&pay("250m")).word(1), "502");
    assert_eq!(World::of(&[&node]).ask(&pay("5000m")).word(1), "502");
    wait_until("the node's connections are closed", || node.connections() == (2, 2));
    assert!(format!("{}", world.server.counters()).contains("defects 0"));
}

/// Guards against treating a long response as malformed: it is streamed, and if it breaks off, the client notices and
/// the request is not sent again.
#[test]
fn a_response_too_long_to_buffer_is_streamed() {
    let long: Vec<u8> = (0..400_000u32).map(|at| (at % 251) as u8).collect();
    let body = long.clone();
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n";
    let node = node(move |message| match message.get("X-Labels") {
        Some("cut") => Reply::RawEnd([head.as_slice(), &body[..300_000]].concat()),
        Some("more") => Reply::Raw([head.as_slice(), &body, b"HTTP/1.1 200 OK\r\n"].concat()),
        _ => Reply::Answer(200, body.clone()),
    });
    let world = World::of(&[&node]);
    let mut client = world.client();
    for _ in 0..3 {
        client.send(lookup("5000m").as_bytes());
        assert!(client.answer().body == long);
    }
    assert_eq!(node.connections().0, 1);
    let labelled = |label: &str| lookup("5000m").replace("X-Org: acme", &format!("X-Labels: {label}"));
    assert!(world.ask(&labelled("more")).body == long);
    let asked = node.asked().len();
    let mut cut = world.client();
    cut.send(labelled("cut").as_bytes());
    assert!(cut.try_answer().is_none());
    assert_eq!(node.asked().len(), asked + 1);
    assert!(world.ask(&lookup("5000m")).body == long);
    // The last response is counted after it is written, which its client may see first.
    wait_until("all responses are counted", || format!("{}", world.server.counters()).contains("served 5 "));
    let counters = format!("{}", world.server.counters());
    assert!(
        counters.contains("served 5 ") && counters.contains("failed 1 ") && counters.contains("defects 0"),
        "{counters}"
    );
}

/// Guards against failing a request that must not run twice because of an idle connection that its node drops at the
/// next request: the request has not been sent completely, so it uses a new connection.
#[test]
fn a_reused_connection_that_breaks_at_the_next_request_fails_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                if read_message(&stream, &mut Vec::new()).is_ok_and(|message| message.is_some()) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    let _ = std::io::Write::write_all(&mut &stream, answer); // the marshal may have closed it
                    let _ = stream.peek(&mut [0]); // closing it with unread bytes causes a reset
                }
            });
        }
    });
    let hosts = [Host::new("n0", addr, 1)];
    let world = World::hosts(
        &hosts,
        "1 2 live 1 60000",
        |_| None,
        |limits| {
            // A response takes twice that long here, and the module refuses requests that it expects to take more than
            // 240 ms: both are far away.
            limits.last_byte_delay = std::time::Duration::from_millis(60);
        },
    );
    for _ in 0..6 {
        let answer = world.ask(&pay("5000m"));
        assert_eq!(answer.word(1), "200", "{answer:?} {}", world.server.counters());
    }
}
