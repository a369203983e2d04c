//! Four nodes, discovery and a platform that tries out build 2 against build 1 in stages, as votes tell it to.

use crate::discovery::{Discovery, Host};
use crate::locked;
use crate::node::{Node, Reply};
use crate::platform::Platform;
use std::io;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const OLD: u32 = 1;
/// The build on trial.
pub const NEW: u32 = 2;
/// The cap of each stage, and how many of the nodes run the new build in it.
const STAGES: [(f64, usize); 3] = [(0.3, 1), (0.6, 2), (1.0, 4)];
const SOAK: Duration = Duration::from_secs(3);

/// What happens as it goes on.
#[derive(Clone, Debug, PartialEq)]
pub enum Happened {
    /// A marshal said this.
    Said(String),
    /// The build stands so.
    Stands {
        /// The stage.
        stage: usize,
        /// The phase, in the platform's words.
        phase: &'static str,
        /// The cap.
        cap: f64,
    },
}

/// All of them.
pub struct Staged {
    /// The nodes and what they run.
    pub nodes: Vec<(Node, Arc<AtomicU32>)>,
    /// Discovery.
    pub discovery: Discovery,
    /// The platform.
    pub platform: Platform,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Staged {
    /// Starts them on 127.0.0.1, at six ports from `port` on, or at any where it is 0. Of every `fails` requests at the
    /// new build one fails (0: none); a node takes `takes`.
    pub fn start(port: u16, fails: u64, takes: Duration) -> io::Result<(Arc<Staged>, Receiver<Happened>)> {
        let at = |offset: u16| {
            if port == 0 {
                "127.0.0.1:0".into()
            } else {
                format!("127.0.0.1:{}", port + offset)
            }
        };
        let mut nodes = Vec::new();
        for place in 0..4u16 {
            let build = Arc::new(AtomicU32::new(if place == 0 { NEW } else { OLD }));
            let (runs, count) = (build.clone(), AtomicU64::new(0));
            let node = Node::start(&at(place), move |_| {
                let build = runs.load(SeqCst);
                let failed = build == NEW && fails > 0 && count.fetch_add(1, SeqCst) % fails == 0;
                let body = format!("node-{place} runs build {build}\n").into_bytes();
                let reply = if failed { Reply::Answer(500, Vec::new()) } else { Reply::Answer(200, body) };
                Reply::After(takes, Box::new(reply))
            })?;
            nodes.push((node, build));
        }
        let hosts: Vec<Host> = (nodes.iter().enumerate())
            .map(|(at, (node, build))| Host::new(&format!("node-{at}"), node.addr, build.load(SeqCst)))
            .collect();
        let discovery = Discovery::start(&at(4), &hosts)?;
        // The platform counts one vote: on moves the stage after its soak, back ends the trial.
        let (send, votes) = channel::<String>();
        let send = Mutex::new(send);
        let standing = Arc::new(Mutex::new(format!("{NEW} 0 testing {} 0", STAGES[0].0)));
        let told = standing.clone();
        let first = locked(&standing).clone();
        let platform = Platform::start(&at(5), &first, move |call| {
            let _ = locked(&send).send(call.to_string()); // the program is ending
            Some(format!("OK {}", locked(&told)))
        })?;
        let staged = Arc::new(Staged { nodes, discovery, platform });
        let (tell, happened) = channel();
        let own = staged.clone();
        thread::spawn(move || own.run(&votes, &standing, &tell));
        Ok((staged, happened))
    }

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

    fn run(&self, votes: &Receiver<String>, standing: &Mutex<String>, tell: &Sender<Happened>) {
        let (mut stage, mut open) = (0, true);
        let stand = |stage: usize, phase: &'static str, cap: f64| {
            *locked(standing) = format!("{NEW} {stage} {phase} {cap} 0");
            self.platform.stage(&format!("{NEW} {stage} {phase} {cap} 0"));
            tell.send(Happened::Stands { stage, phase, cap })
        };
        for call in votes {
            let _ = tell.send(Happened::Said(call.clone())); // nobody may listen
            let words: Vec<&str> = call.split(' ').collect();
            let _ = match (words.get(2).and_then(|word| word.parse::<usize>().ok()), words.last()) {
                (Some(meant), Some(&"promote")) if open && meant == stage => {
                    thread::sleep(SOAK);
                    stage += 1;
                    if let Some((cap, new)) = STAGES.get(stage) {
                        self.place(*new);
                        stand(stage, "testing", *cap)
                    } else {
                        (stage, open) = (STAGES.len() - 1, false);
                        stand(stage, "live", 1.0)
                    }
                }
                (_, Some(&"abort")) if open => {
                    open = false;
                    self.place(0);
                    stand(stage, "recalled", 0.0)
                }
                _ => Ok(()),
            };
        }
    }
}
