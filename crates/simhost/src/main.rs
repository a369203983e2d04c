//! Runs marshals on the simulator's wire: batches on standard input, replies on standard output.

use milletwing_simhost::host::Host;
use std::io::{self, BufRead, BufReader, Write};

fn main() {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => match host.end() {
                Ok(()) => return,
                Err(problem) => fail(&problem.to_string()),
            },
            Ok(_) => {}
            Err(problem) => fail(&format!("reading: {problem}")),
        }
        match host.line(&line) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    fail("writing: the reader has gone");
                }
            }
            Err(problem) => fail(&problem.to_string()),
        }
    }
}

fn fail(text: &str) -> ! {
    eprintln!("milletwing-simhost: {}", text.replace('\n', " "));
    std::process::exit(1)
}
