//! Bad input has a defined answer, and stops neither the marshal nor other requests.

use crate::support::*;
use milletwing_toy::discovery::Host;
use milletwing_toy::node::Reply;

fn request(head: &str) -> String {
    format!("{head}\r\n\r\n")
}

#[test]
fn malformed_requests_are_answered_by_a_status_and_the_connection_ends() {
    let node = serving("ok");
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
fn a_request_that_comes_byte_by_byte_is_served() {
    let node = serving("ok");
    let world =
        World::with(&[&node], |limits| limits.client_read_timeout = std::time::Duration::from_secs(20));
    let mut client = world.client();
    for byte in lookup("20000m").as_bytes() {
        client.send(&[*byte]);
    }
    assert_eq!(client.answer().word(1), "200");
}

#[test]
fn clients_that_break_off_or_stop_reading_hold_up_nobody() {
    let large = vec![b'z'; 64 << 10];
    let node = node(move |_| Reply::Answer(200, large.clone()));
    let world =
        World::with(&[&node], |limits| limits.client_write_timeout = std::time::Duration::from_millis(100));
    for at in [1, 10, 60] {
        let mut client = world.client();
        client.send(&lookup("900m").as_bytes()[..at]);
    }
    // One that asks again and again without reading: its connection ends, with bounded memory.
    let mut deaf = world.client();
    for _ in 0..400 {
        deaf.send(lookup("60000m").as_bytes());
    }
    assert_eq!(world.ask(&lookup("5000m")).body.len(), 64 << 10);
    drop(deaf);
    until("all have ended", || {
        let text = format!("{}", world.server.counters());
        !text.is_empty() && world.ask(&lookup("5000m")).word(1) == "200"
    });
}

#[test]
fn lists_that_are_cut_or_strange_leave_the_list_and_the_next_one_counts() {
    let (first, second) = (serving("first"), serving("second"));
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
    // Said once it may be spoilt, and nothing of it counts; said again it is so, and what can be read counts.
    let called = world.discovery.calls().len();
    world.discovery.answer_raw(whole.as_bytes());
    until("the whole list is asked for", || {
        world.discovery.calls()[called..].contains(&"/discovery/hosts".to_string())
    });
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    until("the odd list counts", || {
        world.discovery.answer_raw(whole.as_bytes());
        world.ask(&lookup("5000m")).body == b"second"
    });
}

/// Guards against answers of which only a part comes while the connection stays: the call must not wait them out.
#[test]
fn half_an_answer_of_discovery_or_the_platform_ends_the_connection_soon() {
    let (first, second) = (serving("first"), serving("second"));
    let world = World::with(&[&first], |limits| {
        limits.watch_wait = std::time::Duration::from_secs(3600);
        limits.partial_response_timeout = std::time::Duration::from_millis(50);
        limits.platform_silence_timeout = std::time::Duration::from_secs(3600);
    });
    until("it subscribes", || world.platform.subscribed() == 1);
    until("it watches", || !world.discovery.calls().is_empty());
    world.discovery.answer_part(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"version\":9,\"ful");
    world.platform.tell_part("* stage 3 1 te");
    until("it subscribes again", || world.platform.subscribed() == 2);
    world.discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    until("the list is followed", || world.ask(&lookup("5000m")).body == b"second");
}

/// Guards against a list that is longer than any request may be.
#[test]
fn a_list_longer_than_a_request_may_be_is_read() {
    let (first, second) = (serving("first"), serving("second"));
    let world = World::of(&[&first]);
    let at = nowhere();
    let many = (0..900).map(|at_| Host { state: "leaving", ..Host::new(&format!("far-{at_}"), at, 1) });
    let hosts: Vec<Host> = many.chain([Host::new("n0", second.addr, 1)]).collect();
    let body = milletwing_toy::discovery::page(7, true, &hosts);
    assert!(body.len() > 64 << 10);
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    until("the long list counts", || {
        world.discovery.answer_raw(whole.as_bytes());
        world.ask(&lookup("5000m")).body == b"second"
    });
}

/// Guards against connections that say nothing, or never come to an end of their first request, one byte after the
/// other: each gets its error or its end by a time that counts from connecting.
#[test]
fn whoever_sends_no_whole_request_is_answered_or_ended_by_a_time_from_connecting() {
    let node = serving("ok");
    let world = World::with(&[&node], |limits| {
        limits.first_request_timeout = std::time::Duration::from_millis(300);
        limits.client_read_timeout = std::time::Duration::from_secs(3600);
        limits.client_idle_timeout = std::time::Duration::from_secs(3600);
    });
    let mut usual = world.client();
    usual.send(lookup("5000m").as_bytes());
    assert_eq!(usual.answer().word(1), "200");
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
    // Who has sent a whole request keeps the connection.
    usual.send(lookup("5000m").as_bytes());
    assert_eq!(usual.answer().word(1), "200");
}

/// Guards against silent connections that take the place of usual clients.
#[test]
fn who_never_sent_a_whole_request_gives_way_before_usual_clients() {
    let node = serving("ok");
    let world = World::with(&[&node], |limits| {
        (limits.max_clients, limits.max_excess_clients) = (4, 4);
        limits.first_request_timeout = std::time::Duration::from_secs(3600);
        limits.partial_request_grace = std::time::Duration::ZERO;
    });
    let mut usual: Vec<Client> = (0..3).map(|_| world.client()).collect();
    let mut ask = |at: usize| {
        usual[at].send(lookup("5000m").as_bytes());
        usual[at].answer().word(1).to_string()
    };
    (0..3).for_each(|at| assert_eq!(ask(at), "200"));
    let mut silent = Vec::new();
    for _ in 0..30 {
        silent.push(world.client());
        let mut partly = world.client();
        partly.send(b"GET /api HT");
        silent.push(partly);
        assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
        until("those have given way", || world.server.clients() == 3);
    }
    (0..3).for_each(|at| assert_eq!(ask(at), "200"));
}

/// Guards against clients that ask once and keep the connection: others find room before the limit is reached.
#[test]
fn in_a_crowd_idle_connections_give_way_to_new_ones() {
    let node = serving("ok");
    let world = World::with(&[&node], |limits| {
        (limits.idle_eviction_threshold, limits.idle_eviction_age) = (4, std::time::Duration::ZERO);
        limits.partial_request_grace = std::time::Duration::from_secs(3600);
        limits.idle_eviction_interval = std::time::Duration::from_millis(5);
        limits.client_idle_timeout = std::time::Duration::from_secs(3600);
    });
    let mut stayed = Vec::new();
    for _ in 0..20 {
        let mut client = world.client();
        client.send(lookup("5000m").as_bytes());
        assert_eq!(client.answer().word(1), "200");
        stayed.push(client);
    }
    // Without a new one that makes them.
    until("few are held", || world.server.clients() < 4);
}

/// Guards against reading a body without end that nobody wants: the answer comes at once, and then the end.
#[test]
fn a_body_far_too_long_is_answered_at_once_and_not_read_to_its_end() {
    let node = serving("ok");
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
fn strange_lines_of_the_platform_renew_the_connection_or_are_skipped() {
    let node = serving("ok");
    let world = World::of(&[&node]);
    until("it subscribes", || world.platform.subscribed() == 1);
    for line in ["* tally 1 lookup 57 2 18.5 900", "* flag n0 lookup 12", "* dance 1 2", "*"] {
        world.platform.tell(line);
    }
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    assert_eq!(world.platform.subscribed(), 1);
    // After what is spoilt nothing else would come on that connection.
    let long = "x".repeat(9 << 10);
    for (at, line) in
        [&*long, "WHAT IS THIS", "* tally x", "* stage 2 0 dancing 0.5 0", "* \u{7f}\u{1}"].iter().enumerate()
    {
        world.platform.tell(line);
        until("it subscribes again", || world.platform.subscribed() == 2 + at);
    }
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
}

#[test]
fn a_configuration_that_lacks_something_is_refused_by_one_line_that_names_it() {
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
fn a_node_on_a_port_of_its_own_and_one_that_is_gone_don_t_disturb_each_other() {
    let node = serving("ok");
    let hosts = [Host::new("n0", nowhere(), 1), Host::new("n1", node.addr, 1)];
    let world = World::hosts(&hosts, "1 2 live 1 60000", |_| None, |_| {});
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    }
}

/// Guards against clients that ask for the end of their connection and never end their side: each would hold a
/// descriptor outside the limit.
#[test]
fn a_client_that_never_closes_after_the_last_answer_holds_no_connection() {
    let node = serving("ok");
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
        until("none is held", || world.server.clients() == 0);
    }
}

fn node_without_room() -> milletwing_toy::node::Node {
    node(|_| Reply::TurnAway)
}

#[test]
fn where_connections_to_nodes_run_out_each_request_still_gets_one_answer() {
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

/// Guards against requests that wait in the queue of connections until their time is over: where every connection
/// within the limit is busy, what comes above it is turned away at once, and nothing is lost.
#[test]
fn above_the_limit_of_connections_requests_are_turned_away_at_once() {
    let silent = node(|_| Reply::Silent);
    let world = World::with(&[&silent], |limits| (limits.max_clients, limits.max_excess_clients) = (2, 4));
    let mut held: Vec<Client> = (0..2).map(|_| world.client()).collect();
    for client in &mut held {
        client.send(pay("60000m").as_bytes());
    }
    until("both are out", || format!("{}", world.server.counters()).contains("attempts 2 "));
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
    // There is room again. Whether the module sends it to a node that has just timed out twice is a throw of its die, and no matter
    // of connections: 502 or 503, but taken, and not turned away.
    until("a request is taken again", || {
        let last = world.ask(&pay("900m"));
        assert!(matches!(last.word(1), "502" | "503"), "{last:?}");
        format!("{}", world.server.counters()).contains("taken 3 ")
    });
}
