//! The program: a marshal, its version, a check of its configuration, and operators' calls to its group and its gate.

mod group;
mod releases;

use argh::FromArgs;
use crossbeam_channel::Receiver;
use milletwing_group_server::{Joiner, Keeping};
use milletwing_marshal::server::{Extensions, FrontEnd, GroupJoiner, ReleaseGate};
use milletwing_marshal::{Config, Limits, ProcessSignals, Server};
use milletwing_processor_server::{settings as processor, Front};
use milletwing_releases_server::{Host, Settings, SharedRecord};

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
    Group(group::Group),
    Releases(releases::Releases),
    Processor(Processor),
}

/// Runs one marshal in the foreground until SIGTERM; at SIGHUP it reads its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; without it, the file that GW_CONFIG names
    #[argh(option)]
    config: Option<String>,
    /// join a group of instances that judge as one: the operator's file
    #[argh(option)]
    group: Option<String>,
    /// gate editions by releases, needs and freezes: the operator's file
    #[argh(option)]
    releases: Option<String>,
    /// answer proxies that ask for verdicts over gRPC: the operator's file
    #[argh(option)]
    processor: Option<String>,
}

/// The front for proxies that ask for verdicts.
#[derive(FromArgs)]
#[argh(subcommand, name = "processor")]
struct Processor {
    #[argh(subcommand)]
    call: ProcessorCall,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ProcessorCall {
    Check(ProcessorCheck),
}

/// Reads the file and tells what a front would do with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct ProcessorCheck {
    /// the operator's file
    #[argh(option, default = "String::from(\"deploy/processor.json5\")")]
    processor: String,
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

/// The group's record, as the gate keeps its state in it.
struct Shared(Keeping);

impl SharedRecord for Shared {
    fn is_leader(&self) -> bool {
        self.0.leads()
    }
    fn propose(&self, after: u64, number: u64, body: Vec<u8>) {
        self.0.put(after, number, body);
    }
    fn commits(&self) -> Receiver<(u64, Vec<u8>)> {
        self.0.kept.clone()
    }
}

fn path(given: Option<String>) -> Result<String, String> {
    given.map_or_else(Config::path, Ok)
}

fn run(call: Call) -> Result<bool, String> {
    match call {
        Call::Version(Version {}) => println!("milletwing {}", env!("CARGO_PKG_VERSION")),
        Call::Check(Check { config }) => println!("{}", Config::from_file(&path(config)?)?.summary()),
        Call::Group(call) => group::run(call)?,
        Call::Releases(call) => releases::run(call)?,
        Call::Processor(Processor { call: ProcessorCall::Check(ProcessorCheck { processor: file }) }) => {
            println!("{}", processor::Settings::from_file(&file)?.summary());
        }
        Call::Serve(Serve { config, group, releases, processor }) => {
            let signs = ProcessSignals::new().map_err(|problem| format!("signals: {problem}"))?;
            let path = path(config)?;
            let config = Config::from_file(&path)?;
            let limits = Limits::new(config.grant, &config.transport);
            let group = group.map(|file| Joiner::from_file(&file)).transpose()?;
            // Where instances form a group, the gate's state is the group's.
            let shared = group.as_ref().map(|joiner| Shared(joiner.keeping()));
            let group = group.map(|joiner| -> Box<dyn GroupJoiner> { Box::new(joiner) });
            let host = |file: String| match shared {
                None => Host::start(Settings::from_file(&file)?),
                Some(shared) => Host::start_shared(Settings::from_file(&file)?, Box::new(shared)),
            };
            let host = releases.map(host).transpose()?;
            let gate = host.map(|host| -> Box<dyn ReleaseGate> { Box::new(host) });
            let front =
                |file: String| processor::Settings::from_file(&file).map(|settings| Front { settings });
            let front = processor.map(front).transpose()?;
            let front = front.map(|front| -> Box<dyn FrontEnd> { Box::new(front) });
            let server = Server::start_with_extensions(config, limits, Extensions { group, gate, front });
            let server = server.map_err(|problem| format!("starting: {problem}"))?;
            return Ok(server.serve(signs, || Config::again(&path)));
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
