//! The program: a marshal, its version, and a check of its configuration.

use argh::FromArgs;
use milletwing_marshal::{Config, Server};

/// A proxy that tries out new builds on live traffic.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    call: Call,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Call {
    Serve(Serve),
    Version(Version),
    Check(Check),
}

/// Runs one marshal in the foreground until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; without it, the file that GW_CONFIG names
    #[argh(option)]
    config: Option<String>,
}

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Reads a configuration and tells what a marshal would do with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; without it, the file that GW_CONFIG names
    #[argh(positional)]
    config: Option<String>,
}

fn load(path: Option<String>) -> Result<Config, String> {
    path.map_or_else(Config::load, |path| Config::from_file(&path))
}

fn run(call: Call) -> Result<bool, String> {
    match call {
        Call::Version(Version {}) => println!("milletwing {}", env!("CARGO_PKG_VERSION")),
        Call::Check(Check { config }) => println!("{}", load(config)?.summary()),
        Call::Serve(Serve { config }) => {
            let server = Server::start(load(config)?).map_err(|problem| format!("starting: {problem}"))?;
            return server.stop_on_signal().map_err(|problem| format!("signals: {problem}"));
        }
    }
    Ok(true)
}

fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let arguments: Arguments = argh::from_env();
    match run(arguments.call) {
        Ok(true) => {}
        Ok(false) => std::process::exit(2),
        Err(problem) => {
            eprintln!("milletwing: {problem}");
            std::process::exit(1);
        }
    }
}
