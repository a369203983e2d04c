//! The toy server: four nodes, discovery and a platform that tries out build 2 against build 1, all on
//! loopback, for a marshal started with `examples/marshal.json`.

use argh::FromArgs;
use milletwing_toy::staged::{Happened, Staged, NEW};
use std::io;
use std::time::Duration;

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

fn main() -> io::Result<()> {
    let Arguments { fails, takes, port } = argh::from_env();
    let (staged, happened) = Staged::start(port, fails, Duration::from_millis(takes))?;
    let (discovery, platform) = (staged.discovery.addr, staged.platform.addr);
    println!("nodes at 127.0.0.1:{port} and on, discovery {discovery}, platform {platform}");
    for what in happened {
        match what {
            Happened::Said(call) => println!("heard {call}"),
            Happened::Stands { stage, phase, cap } => {
                println!("build {NEW}: stage {stage}, {phase}, cap {cap}")
            }
        }
    }
    Ok(())
}
