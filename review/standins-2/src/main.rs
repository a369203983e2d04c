//! Stand-ins of the second review: each case starts the real programs on loopback addresses and judges
//! what clients and marshals saw. Exit codes: 1, the rule was broken; 0, it held; 2, it could not run.

mod cases;
mod deployment;
mod http;
mod marshal;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) =
        (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A case that hangs could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case took too long");
        deployment::kill_all_started();
        std::process::exit(2);
    });
    let code = match cases::run(&case, &PathBuf::from(folder), trouble) {
        Ok(broken) => i32::from(broken),
        Err(why) => {
            eprintln!("{case}: could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}
