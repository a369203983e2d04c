//! A stand-in proxy on real streams: it carries requests itself, as verdicts tell it, and breaks in every way that it may.
//! The nodes' own records say how often a request ran.

use milletwing_marshal::server::Extensions;
use milletwing_marshal::{Config, Limits, Server};
use milletwing_processor_server::wire::verdicts_client::VerdictsClient;
use milletwing_processor_server::wire::{
    from_proxy, to_proxy, verdict, Ask, Earlier, FromProxy, How, Outcome, ToProxy, Verdict,
};
use milletwing_processor_server::{Front, Settings};
use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use milletwing_toy::read_message;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::Streaming;

const EXAMPLE: &str = include_str!("../../../examples/marshal.json");

struct World {
    nodes: Vec<Node>,
    at: SocketAddr,
    server: Server,
    _around: (Discovery, Platform),
}

fn world(streams: usize) -> World {
    // Of every four requests one fails at its node, after it has run.
    let nodes: Vec<Node> = (0..3)
        .map(|at| {
            Node::start("127.0.0.1:0", move |message| {
                let fails = at == 0 || message.get("X-Txn").is_some_and(|id| id.ends_with('7'));
                Reply::Answer(if fails { 500 } else { 200 }, b"ok".to_vec())
            })
            .unwrap()
        })
        .collect();
    let hosts: Vec<Host> =
        nodes.iter().enumerate().map(|(at, node)| Host::new(&format!("n{at}"), node.addr, 1)).collect();
    let discovery = Discovery::start("127.0.0.1:0", &hosts).unwrap();
    let platform =
        Platform::start("127.0.0.1:0", "1 2 live 1 60000", |_| Some("OK 1 2 live 1 60000".into())).unwrap();
    let text = EXAMPLE
        .replace("127.0.0.1:4000", "127.0.0.1:0")
        .replace("\"127.0.0.1:4104\"", &format!("\"{}\"", discovery.addr))
        .replace("\"127.0.0.1:4105\"", &format!("\"{}\"", platform.addr))
        .replace(
            r#"{"image": 2, "ring": 0, "progress": "testing", "ceiling": 0.3, "lag_ms": 0}"#,
            r#"{"image": 1, "ring": 2, "progress": "live", "ceiling": 1.0, "lag_ms": 60000}"#,
        )
        .replace(r#"{"version": 0, "full": true, "servers": []}"#, &discovery.page());
    let config = Config::read(&text, |_| None).unwrap();
    let limits = Limits::new(config.grant, &config.transport);
    let at = milletwing_toy::free().unwrap();
    let settings = Settings::read(&format!("{{listen: \"{at}\", streams: {streams}, queue: 64}}")).unwrap();
    let front = Some(Box::new(Front { settings }) as Box<dyn milletwing_marshal::server::FrontEnd>);
    let server =
        Server::start_with_extensions(config, limits, Extensions { front, ..Extensions::default() }).unwrap();
    World { nodes, at, server, _around: (discovery, platform) }
}

impl World {
    fn runs(&self, id: &str) -> usize {
        let of = |node: &Node| node.asked().iter().filter(|message| message.get("X-Txn") == Some(id)).count();
        self.nodes.iter().map(of).sum()
    }
}

/// A proxy's stream.
struct Stream {
    to: mpsc::Sender<FromProxy>,
    from: Streaming<ToProxy>,
}

async fn client(at: SocketAddr) -> VerdictsClient<Channel> {
    VerdictsClient::connect(format!("http://{at}")).await.unwrap()
}

async fn open(at: SocketAddr) -> Result<Stream, tonic::Status> {
    let (to, messages) = mpsc::channel(64);
    let from = client(at).await.decide(ReceiverStream::new(messages)).await?.into_inner();
    Ok(Stream { to, from })
}

impl Stream {
    async fn say(&self, what: from_proxy::What) {
        self.to.send(FromProxy { what: Some(what) }).await.unwrap();
    }
    async fn ask(&self, id: &str, class: &str, number: u32, earlier: Vec<Earlier>) {
        let (request, class, tenant) = (id.to_string(), class.to_string(), "acme".to_string());
        let ask = Ask { request, class, tenant, key: String::new(), left_ms: 1000, r#try: number, earlier };
        self.say(from_proxy::What::Ask(ask)).await;
    }
    async fn outcome(&self, id: &str, number: u32, how: How) {
        let said = Outcome { request: id.into(), r#try: number, how: how as i32, took_ms: 1 };
        self.say(from_proxy::What::Outcome(said)).await;
    }
    async fn next(&mut self) -> to_proxy::What {
        let next = tokio::time::timeout(Duration::from_secs(20), self.from.message());
        next.await.expect("a word in time").unwrap().expect("a word").what.unwrap()
    }
    async fn verdict(&mut self) -> Verdict {
        match self.next().await {
            to_proxy::What::Verdict(verdict) => verdict,
            to_proxy::What::Trouble(trouble) => panic!("{}: {}", trouble.request, trouble.why),
        }
    }
    async fn trouble(&mut self) -> String {
        match self.next().await {
            to_proxy::What::Trouble(trouble) => trouble.why,
            to_proxy::What::Verdict(verdict) => panic!("{verdict:?}"),
        }
    }
}

/// Sends a request to a node, as a proxy would.
fn carry(address: &str, id: &str) -> How {
    let Ok(stream) = TcpStream::connect(address) else { return How::Never };
    let text = format!("POST /api HTTP/1.1\r\nX-Txn: {id}\r\nContent-Length: 4\r\n\r\ncoin");
    if (&stream).write_all(text.as_bytes()).is_err() {
        return How::Never;
    }
    match read_message(&stream, &mut Vec::new()) {
        Ok(Some(answer)) if answer.word(1) == "200" => How::Ok,
        Ok(Some(_)) => How::Error,
        _ => How::Reset,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

#[test]
fn requests_of_a_proxy_pass_the_same_module_and_book_and_none_unsafe_runs_twice() {
    let world = world(8);
    runtime().block_on(async {
        let mut stream = open(world.at).await.unwrap();
        let (mut served, mut failed) = (0, 0);
        for round in 0..120 {
            let (id, class) = (format!("p{round}"), ["lookup", "pay"][round % 2]);
            let mut earlier = Vec::new();
            for number in 0.. {
                // Now and then its stream breaks before the verdict comes, and the same is asked on another one; a late word
                // of the old one is nobody's.
                stream.ask(&id, class, number, earlier.clone()).await;
                if round % 5 == 0 {
                    stream = open(world.at).await.unwrap();
                    stream.ask(&id, class, number, earlier.clone()).await;
                }
                let verdict = stream.verdict().await;
                assert_eq!((verdict.request.as_str(), verdict.r#try), (id.as_str(), number));
                let Some(verdict::What::Send(send)) = verdict.what else {
                    failed += 1;
                    break;
                };
                assert!(send.begin_within_ms <= 100 && send.give_up_ms <= 1000, "{send:?}");
                let how = carry(&send.address, &id);
                earlier.push(Earlier { node: send.node, never: how == How::Never, age_ms: 1 });
                // Some outcomes are told by the next ask alone.
                if how == How::Ok || round % 3 != 0 {
                    stream.outcome(&id, number, how).await;
                }
                if how == How::Ok {
                    served += 1;
                    break;
                }
            }
            assert!(class != "pay" || world.runs(&id) <= 1, "{id} ran {} times", world.runs(&id));
        }
        assert!(served > 60 && failed > 5, "{served} {failed}");
        assert!(format!("{}", world.server.counters()).contains("taken 120 "), "{}", world.server.counters());
    });
    // The marshal's own front goes on beside it.
    let stream = TcpStream::connect(world.server.listen).unwrap();
    (&stream)
        .write_all(b"GET /api HTTP/1.1\r\nX-Txn: own\r\nX-Lane: lookup\r\nX-Remaining: 900m\r\n\r\n")
        .unwrap();
    assert_eq!(read_message(&stream, &mut Vec::new()).unwrap().unwrap().word(1), "200");
    assert!(world.server.stop());
}

#[test]
fn the_same_is_told_on_two_streams_and_what_is_wrong_is_told_and_ends_nothing() {
    let world = world(2);
    runtime().block_on(async {
        let (mut one, mut two) = (open(world.at).await.unwrap(), open(world.at).await.unwrap());
        let refused = open(world.at).await.map(drop).unwrap_err();
        assert_eq!(refused.code(), tonic::Code::ResourceExhausted);
        one.ask("r1", "pay", 0, Vec::new()).await;
        let first = one.verdict().await;
        two.ask("r1", "pay", 0, Vec::new()).await;
        let again = two.verdict().await;
        let node = |verdict: &Verdict| match &verdict.what {
            Some(verdict::What::Send(send)) => send.node.clone(),
            other => panic!("{other:?}"),
        };
        assert_eq!(node(&first), node(&again));
        one.ask("r1", "lookup", 0, Vec::new()).await;
        assert!(one.trouble().await.contains("another class"));
        one.ask("r1", "pay", 5, Vec::new()).await;
        assert!(one.trouble().await.contains("ahead"));
        one.ask("r2", "nothing", 0, Vec::new()).await;
        assert!(one.trouble().await.contains("no such class"));
        one.ask("", "pay", 0, Vec::new()).await;
        assert!(one.trouble().await.contains("an id"));
        one.outcome("r9", 0, How::Ok).await;
        assert!(one.trouble().await.contains("nothing is known"));
        one.outcome("r1", 0, How::Unset).await;
        assert!(one.trouble().await.contains("without `how`"));
        // Of a life before this one: an unsafe try that proves nothing has failed.
        one.ask("r3", "pay", 1, Vec::new()).await;
        assert!(matches!(one.verdict().await.what, Some(verdict::What::Failed(_))));
        // It may have run: no second node.
        one.ask("r1", "pay", 1, Vec::new()).await;
        assert!(matches!(one.verdict().await.what, Some(verdict::What::Failed(_))));
        // A proxy that never reports: its request ends by itself, and the marshal goes on.
        one.ask("r4", "lookup", 0, Vec::new()).await;
        one.verdict().await;
        tokio::time::sleep(Duration::from_millis(1300)).await;
        one.ask("r5", "lookup", 0, Vec::new()).await;
        assert!(matches!(one.verdict().await.what, Some(verdict::What::Send(_))));
        // Larger than a message may be: its stream ends with a status, the other one goes on.
        two.ask(&"x".repeat(100_000), "pay", 0, Vec::new()).await;
        let ended = tokio::time::timeout(Duration::from_secs(20), two.from.message()).await.unwrap();
        assert!(!matches!(ended, Ok(Some(_))), "{ended:?}");
        one.ask("r6", "lookup", 0, Vec::new()).await;
        one.verdict().await;
    });
}

#[test]
fn the_operators_file_is_checked() {
    for (text, told) in [
        ("{listen: \"nowhere\"}", "line 1: listen: `nowhere`"),
        ("{listen: \"10.0.0.1:1\"}", "no loopback"),
        ("{listen: \"127.0.0.1:1\", queue: 0}", "queue: 0 is not from 1"),
        ("{listen: \"127.0.0.1:1\", begin_within_ms: 0}", "begin_within_ms"),
        ("{listen: \"127.0.0.1:1\", port: 1}", "unknown field"),
        ("{}", "listen"),
    ] {
        let why = Settings::read(text).map(drop).unwrap_err();
        assert!(why.contains(told), "{text}: {why}");
    }
    assert!(Settings::read(include_str!("../../../deploy/processor.json5")).is_ok());
}
