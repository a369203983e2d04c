//! Invalid input has a defined response, and affects neither the marshal nor other requests.

use crate::support::*;
use milletwing_toy::discovery::Host;
use milletwing_toy::node::Reply;

fn request(head: &str) -> String {
    format!("{head}\r\n\r\n")
}

#[test]
fn malformed_requests_get_a_status_and_the_connection_is_closed() {
    let node = node_answering("ok");
    let world = World::of(&[&node]);
    let good = "X-Txn: b1\r\nX-Lane: lookup\r\nX-Remaining: 900m";
    let long = "x".repeat(20 << 10);
    let many = "A: b\r\n".repeat(80);
    let cases = [
        ("no HTTP at all", request("\u{1}\u{2}\u{3}"), "400"),
        ("no id", request("GET /api HTTP/1.1\r\nX-Lane: lookup\r\nX-Remaining: 900m"), "400"),
        ("an id with spaces", request("GET /api HTTP/1.1\r\nX-Txn: a b\r\nX-Lane: lookup"), "400"),
        ("an unknown class", request("GET /api HTTP/1.1\r\nX-Txn: b2\r\nX-Lane: dance"), "400"),
        ("no class", request("GET /api HTTP/1.1\r\nX-Txn: b2"), "400"),
        (
            "a wait without its unit",
            request("GET /api HTTP/1.1\r\nX-Txn: b3\r\nX-Lane: lookup\r\nX-Remaining: 900"),
            "400",
        ),
        (
            "a negative wait",
            request("GET /api HTTP/1.1\r\nX-Txn: b3\r\nX-Lane: lookup\r\nX-Remaining: -5m"),
            "400",
        ),
        (
            "a wait of no number",
            request("GET /api HTTP/1.1\r\nX-Txn: b3\r\nX-Lane: lookup\r\nX-Remaining: NaNm"),
            "400",
        ),
        ("a method that the class forbids", request(&format!("POST /api HTTP/1.1\r\n{good}")), "400"),
        (
            "a keyed one without its key",
            request("POST /api HTTP/1.1\r\nX-Txn: b4\r\nX-Lane: change\r\nContent-Length: 0"),
            "400",
        ),
        (
            "two lengths",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 1\r\nContent-Length: 2")),
            "400",
        ),
        (
            "the same length twice",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 0\r\nContent-Length: 0")),
            "400",
        ),
        (
            "a length and chunks",
            request(&format!(
                "GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 1\r\nTransfer-Encoding: chunked"
            )),
            "400",
        ),
        (
            "a length of no number",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 1x")),
            "400",
        ),
        ("a signed length", request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: +1")), "400"),
        (
            "a huge length",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 99999999999999999999")),
            "413",
        ),
        ("too long a body", request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 65537")), "413"),
        (
            "an unknown coding",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nTransfer-Encoding: gzip, chunked")),
            "501",
        ),
        (
            "bad chunks",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nTransfer-Encoding: chunked")) + "zz\r\n",
            "400",
        ),
        (
            "a chunk too large",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nTransfer-Encoding: chunked")) + "fffffff\r\n",
            "413",
        ),
        ("a line that ends in a bare line feed", format!("GET /api HTTP/1.1\r\n{good}\nA: b\r\n\r\n"), "400"),
        ("a head that ends in bare line feeds", format!("GET /api HTTP/1.1\r\n{good}\n\n"), "400"),
        ("a folded line", request(&format!("GET /api HTTP/1.1\r\n{good}\r\nA: b\r\n c")), "400"),
        (
            "chunks set off by bare line feeds",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nTransfer-Encoding: chunked")) + "0\n\n",
            "400",
        ),
        (
            "a body where there is none",
            request(&format!("GET /api HTTP/1.1\r\n{good}\r\nContent-Length: 2")) + "ab",
            "400",
        ),
        ("too long a head", request(&format!("GET /api HTTP/1.1\r\n{good}\r\nA: {long}")), "431"),
        ("a head without an end", format!("GET /api HTTP/1.1\r\nA: {long}{long}"), "431"),
        ("too many headers", request(&format!("GET /api HTTP/1.1\r\n{good}\r\n{many}A: b")), "431"),
        ("a head that stops coming", "GET /api HTTP/1.1\r\nX-Tx".to_string(), "408"),
        (
            "a body that stops coming",
            request("POST /api HTTP/1.1\r\nX-Txn: b5\r\nX-Lane: pay\r\nContent-Length: 9") + "half",
            "408",
        ),
    ];
    for (what, bytes, status) in &cases {
        let mut client = world.client();
        client.send(bytes.as_bytes());
        assert_eq!(client.answer().word(1), *status, "{what}");
        assert!(client.ends(), "{what}");
    }
    assert!(node.asked().is_empty());
    assert_eq!(world.ask(&lookup("2000m")).word(1), "200");
    assert!(format!("{}", world.server.counters()).contains(&format!("malformed {} ", cases.len())));
}

#[test]
fn a_request_that_arrives_byte_by_byte_is_served() {
    let node = node_answering("ok");
    let world =
        World::with(&[&node], |limits| limits.client_read_timeout = std::time::Duration::from_secs(20));
    let mut client = world.client();
    for byte in lookup("20000m").as_bytes() {
        client.send(&[*byte]);
    }
    assert_eq!(client.answer().word(1), "200");
}

#[test]
fn clients_that_disconnect_or_stop_reading_do_not_block_others() {
    let large = vec![b'z'; 64 << 10];
    let node = node(move |_| Reply::Answer(200, large.clone()));
    let world =
        World::with(&[&node], |limits| limits.client_write_timeout = std::time::Duration::from_millis(100));
    for at in [1, 10, 60] {
        let mut client = world.client();
        client.send(&lookup("900m").as_bytes()[..at]);
    }
    // A client that sends requests without reading: its connection is closed, and memory stays bounded.
    let mut not_reading = world.client();
    for _ in 0..400 {
        not_reading.send(lookup("60000m").as_bytes());
    }
    assert_eq!(world.ask(&lookup("5000m")).body.len(), 64 << 10);
    drop(not_reading);
    wait_until("other requests are served", || {
        let text = format!("{}", world.server.counters());
        !text.is_empty() && world.ask(&lookup("5000m")).word(1) == "200"
    });
}

#[test]
fn invalid_node_lists_are_ignored_until_a_valid_one_arrives() {
    let (first, second) = (node_answering("first"), node_answering("second"));
    let world = World::of(&[&first]);
    world
        .discovery
        .answer_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":9,\"full\":true,\"serv");
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    world.discovery.answer_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnonsense");
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    world.discovery.answer_raw(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    let body = format!(
        r#"{{"version":7,"full":true,"novelty":[1],"servers":[{{"id":"odd","addr":"nowhere","state":"active"}},{{"id":"odder","addr":"127.0.0.1:9","state":"dreaming"}},{{"id":"n1","addr":"{}","zone":"new","kind":"new","cell":1,"state":"active","weight":2.5,"started_ms":0,"version_no":1,"colour":"red"}}]}}"#,
        second.addr
    );
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    // A list with unreadable entries is ignored the first time; if it is the same again, its readable part counts.
    let called = world.discovery.calls().len();
    world.discovery.answer_raw(whole.as_bytes());
    wait_until("the complete list is fetched", || {
        world.discovery.calls()[called..].contains(&"/discovery/hosts".to_string())
    });
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    wait_until("the readable part of the list takes effect", || {
        world.discovery.answer_raw(whole.as_bytes());
        world.ask(&lookup("5000m")).body == b"second"
    });
}

/// Guards against waiting for the rest of a response that stops halfway while the connection stays open.
#[test]
fn a_partial_response_of_discovery_or_the_platform_soon_ends_the_connection() {
    let (first, second) = (node_answering("first"), node_answering("second"));
    let world = World::with(&[&first], |limits| {
        limits.watch_wait = std::time::Duration::from_secs(3600);
        limits.partial_response_timeout = std::time::Duration::from_millis(50);
        limits.platform_silence_timeout = std::time::Duration::from_secs(3600);
    });
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    wait_until("the watch begins", || !world.discovery.calls().is_empty());
    world.discovery.answer_part(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"version\":9,\"ful");
    world.platform.tell_part("* stage 3 1 te");
    wait_until("the marshal subscribes again", || world.platform.subscribed() == 2);
    world.discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    wait_until("the list takes effect", || world.ask(&lookup("5000m")).body == b"second");
}

/// Guards against a node list that is longer than any request may be.
#[test]
fn a_node_list_longer_than_the_request_limit_is_accepted() {
    let (first, second) = (node_answering("first"), node_answering("second"));
    let world = World::of(&[&first]);
    let at = unused_address();
    let many = (0..900).map(|index| Host { state: "leaving", ..Host::new(&format!("far-{index}"), at, 1) });
    let hosts: Vec<Host> = many.chain([Host::new("n0", second.addr, 1)]).collect();
    let body = milletwing_toy::discovery::page(7, true, &hosts);
    assert!(body.len() > 64 << 10);
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    wait_until("the long list takes effect", || {
        world.discovery.answer_raw(whole.as_bytes());
        world.ask(&lookup("5000m")).body == b"second"
    });
}

/// Guards against connections that send nothing, or that send their first request endlessly, byte by byte: each gets an
/// error or is closed by a time that counts from connecting.
#[test]
fn the_first_request_must_be_complete_within_a_time_from_connecting() {
    let node = node_answering("ok");
    let world = World::with(&[&node], |limits| {
        limits.first_request_timeout = std::time::Duration::from_millis(300);
        limits.client_read_timeout = std::time::Duration::from_secs(3600);
        limits.client_idle_timeout = std::time::Duration::from_secs(3600);
    });
    let mut regular = world.client();
    regular.send(lookup("5000m").as_bytes());
    assert_eq!(regular.answer().word(1), "200");
    let mut silent = world.client();
    let mut slow = world.client();
    slow.send(b"GET /api HTTP/1.1\r\nX-Txn: ");
    let writer = slow.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while std::io::Write::write_all(&mut &writer, b"x").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    });
    assert!(silent.ends());
    assert_eq!(slow.answer().word(1), "408");
    // A client that has sent a complete request keeps its connection.
    regular.send(lookup("5000m").as_bytes());
    assert_eq!(regular.answer().word(1), "200");
}

/// Guards against silent connections that displace regular clients.
#[test]
fn connections_without_a_complete_request_are_closed_before_regular_clients() {
    let node = node_answering("ok");
    let world = World::with(&[&node], |limits| {
        (limits.max_clients, limits.max_excess_clients) = (4, 4);
        limits.first_request_timeout = std::time::Duration::from_secs(3600);
        limits.partial_request_grace = std::time::Duration::ZERO;
    });
    let mut regular: Vec<Client> = (0..3).map(|_| world.client()).collect();
    let mut ask = |at: usize| {
        regular[at].send(lookup("5000m").as_bytes());
        regular[at].answer().word(1).to_string()
    };
    (0..3).for_each(|at| assert_eq!(ask(at), "200"));
    let mut silent = Vec::new();
    for _ in 0..30 {
        silent.push(world.client());
        let mut incomplete = world.client();
        incomplete.send(b"GET /api HT");
        silent.push(incomplete);
        assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
        wait_until("the silent connections are closed", || world.server.clients() == 3);
    }
    (0..3).for_each(|at| assert_eq!(ask(at), "200"));
}

/// Guards against clients that send one request and keep the connection: there is room for others before the limit is
/// reached.
#[test]
fn idle_connections_above_the_threshold_are_closed() {
    let node = node_answering("ok");
    let world = World::with(&[&node], |limits| {
        (limits.idle_eviction_threshold, limits.idle_eviction_age) = (4, std::time::Duration::ZERO);
        limits.partial_request_grace = std::time::Duration::from_secs(3600);
        limits.idle_eviction_interval = std::time::Duration::from_millis(5);
        limits.client_idle_timeout = std::time::Duration::from_secs(3600);
    });
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = world.client();
        client.send(lookup("5000m").as_bytes());
        assert_eq!(client.answer().word(1), "200");
        clients.push(client);
    }
    // Without a new connection that would trigger it.
    wait_until("few connections are left", || world.server.clients() < 4);
}

/// Guards against reading an endless body that is not wanted: the response is sent at once, and then the connection is
/// closed.
#[test]
fn a_far_too_long_body_is_rejected_at_once_and_not_read_to_its_end() {
    let node = node_answering("ok");
    let world = World::with(&[&node], |limits| limits.linger_timeout = std::time::Duration::from_secs(3600));
    let mut client = world.client();
    let id = id();
    client.send(
        format!("POST /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: pay\r\nContent-Length: 62914560\r\n\r\n")
            .as_bytes(),
    );
    assert_eq!(client.answer().word(1), "413");
    let part = vec![b'x'; 64 << 10];
    let sent = (0..960).take_while(|_| std::io::Write::write_all(&mut &client.stream, &part).is_ok()).count();
    assert!(sent < 960);
}

#[test]
fn malformed_platform_lines_cause_a_reconnect_and_unknown_ones_are_ignored() {
    let node = node_answering("ok");
    let world = World::of(&[&node]);
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    for line in ["* tally 1 lookup 57 2 18.5 900", "* flag n0 lookup 12", "* dance 1 2", "*"] {
        world.platform.tell(line);
    }
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    assert_eq!(world.platform.subscribed(), 1);
    // Nothing else would arrive on a connection after a malformed line.
    let long = "x".repeat(9 << 10);
    for (at, line) in
        [&*long, "WHAT IS THIS", "* tally x", "* stage 2 0 dancing 0.5 0", "* \u{7f}\u{1}"].iter().enumerate()
    {
        world.platform.tell(line);
        wait_until("the marshal subscribes again", || world.platform.subscribed() == 2 + at);
    }
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
}

#[test]
fn an_invalid_configuration_is_rejected_with_one_line_that_names_the_field() {
    use milletwing_marshal::Config;
    let read = |text: &str| Config::read(text, |_| None);
    let cases = [
        ("\"seed\": \"8c1f30d27a5be964\",", "", "seed"),
        ("8c1f30d27a5be964", "no number", "seed"),
        ("127.0.0.1:4000", "somewhere", "listen"),
        ("\"listen\": \"127.0.0.1:4000\",", "", "listen"),
        ("127.0.0.1:4105", "4105", "platform.address"),
        ("\"testing\"", "\"dancing\"", "platform.news.progress"),
        ("\"soak-ms\": 3000,", "", "soak-ms"),
        ("\"decided-by\": \"single\"", "\"decided-by\": \"lot\"", "decided-by"),
        ("\"sockets\": 1024", "\"sockets\": 3", "limits"),
        ("\"name\": \"toy\",", "{", "key"),
    ];
    for (from, to, named) in cases {
        assert!(EXAMPLE.contains(from), "{from}");
        let problem = read(&EXAMPLE.replace(from, to)).unwrap_err();
        assert!(problem.contains(named) && !problem.contains('\n'), "{named}: {problem}");
    }
    assert!(read(EXAMPLE).is_ok());
}

#[test]
fn an_unreachable_node_does_not_disturb_the_reachable_one() {
    let node = node_answering("ok");
    let hosts = [Host::new("n0", unused_address(), 1), Host::new("n1", node.addr, 1)];
    let world = World::hosts(&hosts, "1 2 live 1 60000", |_| None, |_| {});
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    }
}

/// Guards against clients that request the end of their connection and never close their side: each would hold a
/// descriptor outside the limit.
#[test]
fn a_client_that_never_closes_after_the_last_response_holds_no_connection() {
    let node = node_answering("ok");
    let refusing = node_without_room();
    for (world, status) in [(World::of(&[&node]), "200"), (World::of(&[&refusing]), "503")] {
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut client = world.client();
            client.send(lookup("5000m").replace("Host: x", "Connection: close").as_bytes());
            let answer = client.answer();
            assert_eq!((answer.word(1), answer.get("Connection")), (status, Some("close")));
            clients.push(client);
        }
        let mut front = world.client();
        front.send(b"GET /up HTTP/1.0\r\n\r\n");
        assert_eq!(front.answer().word(1), "200");
        wait_until("no connection is left", || world.server.clients() == 0);
    }
}

fn node_without_room() -> milletwing_toy::node::Node {
    node(|_| Reply::TurnAway)
}

#[test]
fn each_request_gets_one_response_when_node_connections_run_out() {
    let slow = node(|_| {
        Reply::After(std::time::Duration::from_millis(60), Box::new(Reply::Answer(200, Vec::new())))
    });
    let world = World::with(&[&slow], |limits| limits.max_node_connections = 2);
    let mut clients: Vec<Client> = (0..12).map(|_| world.client()).collect();
    for client in &mut clients {
        client.send(lookup("5000m").as_bytes());
    }
    let words: Vec<String> = clients.iter_mut().map(|client| client.answer().word(1).to_string()).collect();
    assert!(words.iter().all(|word| word == "200" || word == "503"), "{words:?}");
    assert!(words.iter().filter(|word| *word == "200").count() >= 2, "{words:?}");
    assert!(slow.connections().0 <= 2);
    assert!(format!("{}", world.server.counters()).contains("taken 12 "));
}

/// Guards against requests that wait in the accept queue until their deadline: if every connection within the limit is
/// busy, requests on further connections are refused at once, and nothing is lost.
#[test]
fn requests_above_the_connection_limit_are_refused_at_once() {
    let silent = node(|_| Reply::Silent);
    let world = World::with(&[&silent], |limits| (limits.max_clients, limits.max_excess_clients) = (2, 4));
    let mut held: Vec<Client> = (0..2).map(|_| world.client()).collect();
    for client in &mut held {
        client.send(pay("60000m").as_bytes());
    }
    wait_until("both requests are in progress", || {
        format!("{}", world.server.counters()).contains("attempts 2 ")
    });
    for _ in 0..6 {
        let mut client = world.client();
        client.send(lookup("60000m").as_bytes());
        let answer = client.answer();
        assert_eq!((answer.word(1), answer.get("Connection")), ("503", Some("close")));
    }
    assert!(format!("{}", world.server.counters()).contains("turned away 6 "));
    for client in &mut held {
        assert_eq!(client.answer().word(1), "502");
    }
    // There is room again. Whether the module sends the request to a node that has just timed out twice is random and
    // does not depend on connections: 502 or 503, but the request is admitted and not refused for the limit.
    wait_until("a request is admitted again", || {
        let last = world.ask(&pay("900m"));
        assert!(matches!(last.word(1), "502" | "503"), "{last:?}");
        format!("{}", world.server.counters()).contains("taken 3 ")
    });
}
