//! The newcomer's call: stand-ins, one marshal and traffic in one program, to the end of the build on trial.

use crate::client::{Client, Counts};
use crate::config;
use indicatif::{ProgressBar, ProgressStyle};
use milletwing_marshal::Server;
use milletwing_toy::staged::{Happened, Staged, NEW};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Runs it. Gives what was seen; an error where something could not start.
pub fn run(fails: u64, seconds: u64, quiet: bool) -> Result<Value, String> {
    let (staged, happened) =
        Staged::start(0, fails, Duration::from_millis(5)).map_err(|problem| problem.to_string())?;
    let text = config::marshal("demo", staged.discovery.addr, staged.platform.addr, |_| {})?;
    let server = Server::start(config::read(&text)?).map_err(|problem| problem.to_string())?;
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new_spinner() };
    bar.set_style(
        ProgressStyle::with_template("{elapsed_precise} {spinner} {msg}").map_err(|p| p.to_string())?,
    );
    bar.enable_steady_tick(Duration::from_millis(100));
    let (counts, over) = (Arc::new(Mutex::new(Counts::default())), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let (counts, over, at) = (counts.clone(), over.clone(), server.listen);
            std::thread::spawn(move || {
                let mut client = Client::new(at);
                for round in 0.. {
                    if over.load(SeqCst) {
                        return;
                    }
                    let status = client.ask(round % 3, &format!("demo-{number}-{round}"));
                    counts.lock().unwrap_or_else(PoisonError::into_inner).add(status);
                    std::thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    // Where there is no terminal to draw on, lines come all the same.
    let say = |line: String| match (quiet, bar.is_hidden()) {
        (true, _) => {}
        (false, true) => println!("{line}"),
        (false, false) => bar.println(line),
    };
    let began = Instant::now();
    let until = began + Duration::from_secs(seconds);
    let (mut stages, mut votes, mut end) = (Vec::new(), Vec::new(), "testing");
    bar.set_message(format!("build {NEW}: stage 0, testing, cap 0.3"));
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        let Ok(what) = happened.recv_timeout(left.min(Duration::from_millis(200))) else { continue };
        let at = began.elapsed().as_secs_f64();
        match what {
            Happened::Said(call) => {
                say(format!("{at:6.1} s  the marshal says {call}"));
                votes.push(json!({ "at_s": at, "said": call }));
            }
            Happened::Stands { stage, phase, cap } => {
                say(format!("{at:6.1} s  build {NEW}: stage {stage}, {phase}, cap {cap}"));
                bar.set_message(format!("build {NEW}: stage {stage}, {phase}, cap {cap}"));
                stages.push(json!({ "at_s": at, "stage": stage, "phase": phase, "cap": cap }));
                if phase != "testing" {
                    end = phase;
                    break;
                }
            }
        }
    }
    std::thread::sleep(Duration::from_millis(500)); // the end is seen by requests too
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    bar.finish_and_clear();
    let finished = server.stop();
    let counts = *counts.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(
        json!({ "build": NEW, "end": end, "stages": stages, "votes": votes, "requests": counts, "finished": finished }),
    )
}

/// The result in lines for people.
pub fn told(seen: &Value) -> String {
    let count = |name: &str| seen["requests"][name].as_u64().unwrap_or(0);
    format!(
        "asked {}, served {}, refused {}, failed {}, unanswered {}; build {} ended {}\n",
        count("asked"),
        count("served"),
        count("refused"),
        count("failed"),
        count("unanswered"),
        seen["build"],
        seen["end"].as_str().unwrap_or("?")
    )
}
