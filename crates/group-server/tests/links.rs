//! Links on real sockets: what is oversized, garbled, foreign, stale or replayed ends its connection, is counted, and
//! disturbs nothing else.

use crossbeam_channel::{bounded, Receiver};
use milletwing_group::record::Member;
use milletwing_group_server::frame::{framed, Hello, Session, Welcome, NOTE, RAFT};
use milletwing_group_server::link::{Arrived, Links};
use milletwing_group_server::settings::Settings;
use prost::Message;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const SECRET: &[u8] = b"0123456789abcdef";

fn free() -> SocketAddr {
    milletwing_toy::free().unwrap()
}

fn settings(member: u64, at: [SocketAddr; 2]) -> Settings {
    let text = format!(
        r#"{{group: "g", member: {member}, listen: "{}", admin: "127.0.0.1:2", secret_file: "s", store: "memory",
        queue: 16, members: {{"1": "{}", "2": "{}"}}}}"#,
        at[member as usize - 1],
        at[0],
        at[1]
    );
    Settings::read(&text, |_| Ok(SECRET.to_vec())).unwrap()
}

struct Pair {
    links: Links,
    arrived: Receiver<Arrived>,
    at: SocketAddr,
    sender: Links,
    _kept: Receiver<Arrived>,
}

fn pair() -> Pair {
    let at = [free(), free()];
    let (send, arrived) = bounded(100);
    let links = Links::start(&settings(1, at), 11, send).unwrap();
    let (send, kept) = bounded(100);
    let sender = Links::start(&settings(2, at), 22, send).unwrap();
    Pair { links, arrived, at: at[0], sender, _kept: kept }
}

fn next(arrived: &Receiver<Arrived>) -> (u64, u32, Vec<u8>) {
    let Arrived { from, kind, body } = arrived.recv_timeout(Duration::from_secs(20)).expect("a frame");
    (from, kind, body)
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

/// Whether the other side ends the connection.
fn ended(mut stream: &TcpStream) -> bool {
    let mut rest = [0; 64];
    loop {
        match stream.read(&mut rest) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(problem) => return problem.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

/// A connection greeted as member 2.
fn greeted(at: SocketAddr, store: u128) -> (TcpStream, Session) {
    let stream = connect(at);
    let hello = Hello::new(SECRET, "g", 2, 1, store);
    (&stream).write_all(&framed(&hello)).unwrap();
    let mut size = [0; 4];
    (&stream).read_exact(&mut size).unwrap();
    let mut body = vec![0; u32::from_be_bytes(size) as usize];
    (&stream).read_exact(&mut body).unwrap();
    let welcome = Welcome::decode(body.as_slice()).unwrap();
    assert!(welcome.fits(SECRET, &hello));
    let session = Session::new(SECRET, &hello, &welcome);
    (stream, session)
}

#[test]
fn whatever_is_not_a_members_own_fresh_frame_changes_nothing() {
    let mut pair = pair();
    pair.sender.send(1, RAFT, b"first".to_vec());
    assert_eq!(next(&pair.arrived), (2, RAFT, b"first".to_vec()));
    let good = Hello::new(SECRET, "g", 2, 1, 22);
    let greetings: [(&str, Vec<u8>); 7] = [
        ("an oversized greeting", vec![0xff; 64]),
        ("a garbled greeting", [&[0, 0, 0, 4][..], &[0xff; 4]].concat()),
        ("a foreign greeting", framed(&Hello::new(SECRET, "other", 2, 1, 22))),
        ("a foreign greeting", framed(&Hello::new(b"another secret!!", "g", 2, 1, 22))),
        ("a foreign greeting", framed(&Hello::new(SECRET, "g", 2, 7, 22))),
        ("a foreign greeting", framed(&Hello { format: 9, ..good.clone() })),
        ("a foreign greeting", framed(&Hello { from: 3, ..good })),
    ];
    for (why, bytes) in greetings {
        let before = pair.links.shared.troubles.all().get(why).copied().unwrap_or(0);
        let stream = connect(pair.at);
        (&stream).write_all(&bytes).unwrap();
        assert!(ended(&stream), "{why}");
        assert_eq!(pair.links.shared.troubles.all()[why], before + 1, "{why}");
    }
    // After a whole greeting: replayed, reordered, turned, oversized, of no kind.
    type Spoilt = fn(&mut Session) -> Vec<u8>;
    let spoilt: [(&str, Spoilt); 6] = [
        ("a frame that does not fit", |s| {
            let frame = s.seal(RAFT, b"once".to_vec());
            [frame.clone(), frame].concat()
        }),
        ("a frame that does not fit", |s| {
            let (first, second) = (s.seal(RAFT, b"1".to_vec()), s.seal(RAFT, b"2".to_vec()));
            [second, first].concat()
        }),
        ("a frame that does not fit", |s| {
            let mut frame = s.seal(NOTE, b"turned".to_vec());
            frame[12] ^= 1;
            frame
        }),
        ("a frame that does not fit", |s| {
            let mut other = greeting_of_another();
            drop(s.seal(RAFT, Vec::new()));
            other.seal(RAFT, b"replayed from another connection".to_vec())
        }),
        ("an oversized frame", |_| vec![0x7f; 8]),
        ("a frame of an unknown kind", |s| s.seal(77, Vec::new())),
    ];
    for (why, make) in spoilt {
        let before = pair.links.shared.troubles.all().get(why).copied().unwrap_or(0);
        let (stream, mut session) = greeted(pair.at, 22);
        (&stream).write_all(&make(&mut session)).unwrap();
        assert!(ended(&stream), "{why}");
        assert_eq!(pair.links.shared.troubles.all()[why], before + 1, "{why}");
    }
    assert_eq!(next(&pair.arrived), (2, RAFT, b"once".to_vec()), "before its replay");
    // The peer that was there all along notices nothing.
    pair.sender.send(1, NOTE, b"second".to_vec());
    assert_eq!(next(&pair.arrived), (2, NOTE, b"second".to_vec()));
    assert!(pair.arrived.is_empty());
}

fn greeting_of_another() -> Session {
    let hello = Hello::new(SECRET, "g", 2, 1, 22);
    let welcome = Welcome::new(SECRET, &hello);
    Session::new(SECRET, &hello, &welcome)
}

#[test]
fn a_removed_member_and_one_with_another_store_are_turned_away() {
    let mut pair = pair();
    let member = |store| Member { address: "127.0.0.1:9".into(), store, votes: true };
    pair.links.roll(&[(1, member(Some(11))), (2, member(Some(22)))].into(), true);
    let (stream, mut session) = greeted(pair.at, 22);
    (&stream).write_all(&session.seal(RAFT, b"mine".to_vec())).unwrap();
    assert_eq!(next(&pair.arrived), (2, RAFT, b"mine".to_vec()));
    let turned = |pair: &Pair| {
        pair.links.shared.troubles.all().get("a peer that is turned away").copied().unwrap_or(0)
    };
    let knock = |pair: &Pair, store| {
        let stream = connect(pair.at);
        (&stream).write_all(&framed(&Hello::new(SECRET, "g", 2, 1, store))).unwrap();
        assert!(ended(&stream));
    };
    knock(&pair, 23);
    assert_eq!(turned(&pair), 1);
    // Removed: the connection that it has ends too.
    pair.links.roll(&[(1, member(Some(11)))].into(), true);
    assert!(ended(&stream));
    knock(&pair, 22);
    assert_eq!(turned(&pair), 2);
}

#[test]
fn a_peer_that_is_away_costs_a_bounded_queue_and_is_found_again() {
    let at = [free(), free()];
    let (send, _kept) = bounded(1);
    let mut sender = Links::start(&settings(2, at), 22, send).unwrap();
    for _ in 0..5000 {
        sender.send(1, RAFT, vec![0; 1024]);
    }
    assert!(sender.shared.troubles.all().contains_key("a peer's queue is full"));
    let (send, arrived) = bounded(100);
    let _links = Links::start(&settings(1, at), 11, send).unwrap();
    // What was queued while it was away is old, and may be lost; what comes later arrives.
    let mut got = None;
    for _ in 0..400 {
        sender.send(1, NOTE, b"new".to_vec());
        if let Ok(frame) = arrived.recv_timeout(Duration::from_millis(50)) {
            if frame.kind == NOTE {
                got = Some(frame.from);
                break;
            }
        }
    }
    assert_eq!(got, Some(2));
}

/// Guards against promises that a wall clock set back by an hour would lengthen.
#[test]
fn no_part_of_the_group_reads_the_wall_clock() {
    let mut folders: Vec<std::path::PathBuf> = ["../group/src", "src"]
        .map(|part| std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(part))
        .into();
    let mut read = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap();
            assert!(!text.contains("SystemTime") && !text.contains("UNIX_EPOCH"), "{}", path.display());
            read += 1;
        }
    }
    assert!(read > 12, "{read} files were read: the group has more");
}
