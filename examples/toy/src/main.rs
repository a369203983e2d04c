//! The toy server: four nodes, discovery and a platform that tries out build 2 against build 1, all on
//! loopback, for a marshal started with `examples/marshal.json`.

use argh::FromArgs;
use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use std::io;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const OLD: u32 = 1;
const NEW: u32 = 2;
/// The cap of each stage, and how many of the nodes run the new build in it.
const STAGES: [(f64, usize); 3] = [(0.3, 1), (0.6, 2), (1.0, 4)];
const SOAK: Duration = Duration::from_secs(3);

/// Four toy nodes, discovery and a platform on 127.0.0.1; ends with Ctrl-C.
#[derive(FromArgs)]
struct Arguments {
    /// of every so many requests at the new build, one fails; 0: none (the default)
    #[argh(option, default = "0")]
    fails: u64,
    /// milliseconds that a node takes (20 by default)
    #[argh(option, default = "20")]
    takes: u64,
    /// first of six ports in a row (4100 by default)
    #[argh(option, default = "4100")]
    port: u16,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct Toy {
    nodes: Vec<(Node, Arc<AtomicU32>)>,
    discovery: Discovery,
    platform: Platform,
}

impl Toy {
    /// Lets so many nodes run the new build, the others the old one.
    fn place(&self, new: usize) {
        for (at, (node, build)) in self.nodes.iter().enumerate() {
            let wanted = if at < new { NEW } else { OLD };
            if build.swap(wanted, SeqCst) != wanted {
                let host = Host::new(&format!("node-{at}"), node.addr, wanted);
                self.discovery.set(Host { started_ms: unix_ms(), ..host });
            }
        }
    }
    fn stand(&self, stage: usize, phase: &str, cap: f64) {
        println!("build {NEW}: stage {stage}, {phase}, cap {cap}");
        self.platform.stage(&format!("{NEW} {stage} {phase} {cap} 0"));
    }
}

fn main() -> io::Result<()> {
    let Arguments { fails, takes, port } = argh::from_env();
    let mut nodes = Vec::new();
    for at in 0..4u16 {
        let (build, count) = (Arc::new(AtomicU32::new(if at == 0 { NEW } else { OLD })), AtomicU64::new(0));
        let runs = build.clone();
        let node = Node::start(&format!("127.0.0.1:{}", port + at), move |_| {
            let build = runs.load(SeqCst);
            let failed = build == NEW && fails > 0 && count.fetch_add(1, SeqCst) % fails == 0;
            let body = format!("node-{at} runs build {build}\n").into_bytes();
            let reply = if failed { Reply::Answer(500, Vec::new()) } else { Reply::Answer(200, body) };
            Reply::After(Duration::from_millis(takes), Box::new(reply))
        })?;
        nodes.push((node, build));
    }
    let hosts: Vec<Host> = (nodes.iter().enumerate())
        .map(|(at, (node, build))| Host::new(&format!("node-{at}"), node.addr, build.load(SeqCst)))
        .collect();
    let discovery = Discovery::start(&format!("127.0.0.1:{}", port + 4), &hosts)?;

    // The platform counts one marshal's vote: on moves the stage after its soak, back ends the trial.
    let (send, votes) = std::sync::mpsc::channel::<String>();
    let send = std::sync::Mutex::new(send);
    let standing = Arc::new(std::sync::Mutex::new(format!("{NEW} 0 testing {} 0", STAGES[0].0)));
    let told = standing.clone();
    let platform = Platform::start(
        &format!("127.0.0.1:{}", port + 5),
        &standing.lock().unwrap().clone(),
        move |call| {
            let _ = send.lock().ok()?.send(call.to_string()); // the program is ending
            Some(format!("OK {}", told.lock().ok()?))
        },
    )?;
    println!("nodes at 127.0.0.1:{port} and on, discovery {}, platform {}", discovery.addr, platform.addr);
    let toy = Toy { nodes, discovery, platform };
    let (mut stage, mut open) = (0, true);
    for call in votes {
        println!("heard {call}");
        let words: Vec<&str> = call.split(' ').collect();
        let set = |text: String| *standing.lock().unwrap_or_else(|broken| broken.into_inner()) = text;
        match (words.get(2).and_then(|word| word.parse::<usize>().ok()), words.last()) {
            (Some(meant), Some(&"promote")) if open && meant == stage => {
                thread::sleep(SOAK);
                stage += 1;
                if let Some((cap, new)) = STAGES.get(stage) {
                    set(format!("{NEW} {stage} testing {cap} 0"));
                    toy.stand(stage, "testing", *cap);
                    toy.place(*new);
                } else {
                    (stage, open) = (STAGES.len() - 1, false);
                    set(format!("{NEW} {stage} live 1 0"));
                    toy.stand(stage, "live", 1.0);
                }
            }
            (_, Some(&"abort")) if open => {
                open = false;
                set(format!("{NEW} {stage} recalled 0 0"));
                toy.stand(stage, "recalled", 0.0);
                toy.place(0);
            }
            _ => {}
        }
    }
    Ok(())
}
