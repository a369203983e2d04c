//! The program of the trials.

use argh::FromArgs;
use milletwing_group_server::Joiner;
use milletwing_marshal::server::{Extensions, GroupJoiner};
use milletwing_marshal::{Config, Limits, ProcessSignals, Server};
use milletwing_trials::{day, demo, fleet, group, judging, measure, releases, soak};
use serde_json::Value;

/// Demonstrates a marshal, and tries groups of them under failures; all on loopback, and it ends by itself.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    call: Call,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Call {
    Day(Day),
    Demo(Demo),
    Fleet(Fleet),
    Group(Group),
    Judging(Judging),
    Releases(Releases),
    Planning(Planning),
    Gate(Gate),
    Withdrawal(Withdrawal),
    Gated(Gated),
    Instance(Instance),
    Soak(Soak),
}

/// Starts the real programs of the system, and draws series of overlapping signals, restarts and changes from the seed; ends with
/// 1 where something that must hold did not.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct Soak {
    /// the first seed (1 by default)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after the other (1 by default)
    #[argh(option, default = "1")]
    seeds: u64,
    /// machines of the core, 1 to 9 (3 by default)
    #[argh(option, default = "3")]
    core: u32,
    /// edges, 1 to 400 (6 by default)
    #[argh(option, default = "6")]
    edges: u32,
    /// marshals that are stood in for, 2 to 200 (8 by default)
    #[argh(option, default = "8")]
    marshals: u32,
    /// connections that clients keep, 1 to 2000 (24 by default)
    #[argh(option, default = "24")]
    clients: u32,
    /// things that happen (60 by default)
    #[argh(option, default = "60")]
    events: u32,
    /// the program of the system; by default the one beside this program
    #[argh(option)]
    program: Option<std::path::PathBuf>,
}

/// Plays a day with the real programs of the system: roll-outs, changes of routes, evacuations, kills and stops; prints rules
/// that were broken and duties that were missed, and ends with 1 where a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
struct Day {
    /// the plan (TOML); docs/trials.md tells its fields. Without one, each seed draws its own
    #[argh(positional)]
    plan: Option<std::path::PathBuf>,
    /// the first seed (1 by default)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after the other (1 by default)
    #[argh(option, default = "1")]
    seeds: u64,
    /// keep the logs of the processes
    #[argh(switch)]
    logs: bool,
    /// the program of the system; by default the one beside this program
    #[argh(option)]
    program: Option<std::path::PathBuf>,
}

/// Starts stand-ins, one marshal and traffic, and shows how a build on trial fares.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {
    /// of every so many requests at the new build, one fails; 0: none (the default)
    #[argh(option, default = "0")]
    fails: u64,
    /// at most so long (60 by default)
    #[argh(option, default = "60")]
    seconds: u64,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Counts over the logs of a fleet: starts, votes, lost connections in the worst second; who stood for sending back what,
/// and when.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct Fleet {
    /// the folder: a file for each marshal, ending in .log
    #[argh(positional)]
    logs: String,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Starts real instances of a group, and draws partitions, pauses, kills and hand-overs from the seed; ends with 1 where
/// a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "group")]
struct Group {
    /// how many (5 by default)
    #[argh(option, default = "5")]
    instances: usize,
    /// of the faults and builds (1 by default)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long (30 by default)
    #[argh(option, default = "30")]
    seconds: u64,
    /// without faults
    #[argh(switch)]
    calm: bool,
    /// without traffic
    #[argh(switch)]
    idle: bool,
    /// without the group: each judges alone
    #[argh(switch)]
    alone: bool,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Measures how soon a bad build is sent back, pooled and by each instance alone; without sockets, on a clock of its own.
#[derive(FromArgs)]
#[argh(subcommand, name = "judging")]
struct Judging {
    /// how many instances of five requests a second (10 by default)
    #[argh(option, default = "10")]
    instances: usize,
    /// how many trials of each kind (100 by default)
    #[argh(option, default = "100")]
    trials: u64,
}

/// Releases three services in three buildings under one gate, with freezes, bad editions and kills of the gate drawn from
/// the seed; ends with 1 where a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "releases")]
struct Releases {
    /// of the faults (1 by default)
    #[argh(option, default = "1")]
    seed: u64,
    /// how long (30 by default)
    #[argh(option, default = "30")]
    seconds: u64,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Measures what planning takes by size.
#[derive(FromArgs)]
#[argh(subcommand, name = "planning")]
struct Planning {
    /// services (200 by default)
    #[argh(option, default = "200")]
    services: usize,
    /// buildings (20 by default)
    #[argh(option, default = "20")]
    buildings: usize,
}

/// Measures what a gate's table costs a decision of the module.
#[derive(FromArgs)]
#[argh(subcommand, name = "gate")]
struct Gate {
    /// entries of the table (10000 by default)
    #[argh(option, default = "10000")]
    entries: usize,
}

/// Measures service while three levels of editions go back, by the gate or by a plain restart of everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdrawal")]
struct Withdrawal {
    /// by a plain restart
    #[argh(switch)]
    plain: bool,
}

/// The gate and marshals of a trial; started by `releases`.
#[derive(FromArgs)]
#[argh(subcommand, name = "gated")]
struct Gated {
    /// the gate's file
    #[argh(option)]
    releases: String,
    /// the marshals' configurations
    #[argh(positional)]
    configs: Vec<String>,
}

/// One instance of a trial; started by `group`.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
struct Instance {
    /// its configuration
    #[argh(option)]
    config: String,
    /// its group's file
    #[argh(option)]
    group: Option<String>,
}

fn instance(Instance { config: path, group }: Instance) -> Result<bool, String> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let signs = ProcessSignals::new().map_err(|problem| problem.to_string())?;
    let config = Config::from_file(&path)?;
    let limits = Limits::new(config.grant, &config.transport);
    let group = group.map(|file| Joiner::from_file(&file)).transpose()?;
    let group = group.map(|joiner| -> Box<dyn GroupJoiner> { Box::new(joiner) });
    let server = Server::start_with_extensions(config, limits, Extensions { group, ..Extensions::default() })
        .map_err(|problem| problem.to_string())?;
    Ok(server.serve(signs, || Config::again(&path)))
}

fn lines(value: &Value) {
    for (name, value) in value.as_object().into_iter().flatten() {
        println!("{name:24} {value}");
    }
}

fn run(call: Call) -> Result<bool, String> {
    match call {
        Call::Demo(Demo { fails, seconds, json }) => {
            let seen = demo::run(fails, seconds, json)?;
            if json {
                println!("{seen}");
            } else {
                print!("{}", demo::told(&seen));
            }
            Ok(seen["finished"] == true && seen["requests"]["unanswered"] == 0)
        }
        Call::Group(Group { instances, seed, seconds, calm, idle, alone, json }) => {
            if !(1..=9).contains(&instances) || !(1..=3600).contains(&seconds) {
                return Err("1 to 9 instances, and 1 to 3600 seconds".into());
            }
            let program = std::env::current_exe().map_err(|problem| problem.to_string())?;
            let options = group::Options {
                instances,
                seed,
                seconds,
                calm: calm || idle,
                idle,
                alone,
                quiet: json,
                program,
            };
            let seen = group::run(&options)?;
            if json {
                println!("{seen}");
            } else {
                lines(&seen);
            }
            Ok(seen["held"] == true)
        }
        Call::Day(call) => play_days(call),
        Call::Soak(call) => play_soak(call),
        Call::Fleet(Fleet { logs, json }) => {
            let seen = fleet::Count::of(std::path::Path::new(&logs))?;
            if json {
                println!("{}", seen.json());
            } else {
                println!("{seen}");
            }
            Ok(true)
        }
        Call::Judging(Judging { instances, trials }) => {
            println!("{}", judging::run(instances, trials));
            Ok(true)
        }
        Call::Releases(Releases { seed, seconds, json }) => {
            if !(1..=3600).contains(&seconds) {
                return Err("1 to 3600 seconds".into());
            }
            let program = std::env::current_exe().map_err(|problem| problem.to_string())?;
            let seen = releases::run(&releases::Options { seed, seconds, quiet: json, program })?;
            if json {
                println!("{seen}");
            } else {
                lines(&seen);
            }
            Ok(seen["held"] == true)
        }
        Call::Planning(Planning { services, buildings }) => {
            println!("{}", measure::planning(services, buildings)?);
            Ok(true)
        }
        Call::Gate(Gate { entries }) => {
            println!("{}", measure::gate(entries));
            Ok(true)
        }
        Call::Withdrawal(Withdrawal { plain }) => {
            println!("{}", releases::withdrawal(plain)?);
            Ok(true)
        }
        Call::Gated(Gated { releases: file, configs }) => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
            releases::gated(&file, &configs)
        }
        Call::Instance(what) => instance(what),
    }
}

fn main() {
    let arguments: Arguments = argh::from_env();
    match run(arguments.call) {
        Ok(true) => {}
        Ok(false) => std::process::exit(1),
        Err(problem) => {
            eprintln!("milletwing-trials: {problem}");
            std::process::exit(2);
        }
    }
}

fn play_days(call: Day) -> Result<bool, String> {
    let plan = call.plan.as_deref().map(read_plan).transpose()?;
    let program = beside_this_program(call.program)?;
    let mut held = true;
    for seed in call.seed..call.seed.saturating_add(call.seeds) {
        let plan = plan.clone().unwrap_or_else(|| day::Plan::draw(seed));
        let options = day::Options { program: program.clone(), seed, plan, keep_logs: call.logs };
        let report = day::run(&options)?;
        held &= report.violations.iter().all(|violation| violation.rule == day::DUTY);
        println!("{}", serde_json::to_string(&report).map_err(|problem| problem.to_string())?);
    }
    Ok(held)
}

fn read_plan(path: &std::path::Path) -> Result<day::Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|problem| format!("{}: {problem}", path.display()))?;
    day::Plan::from_toml(&text)
}

/// The program that was named, or the system's beside this one.
fn beside_this_program(named: Option<std::path::PathBuf>) -> Result<std::path::PathBuf, String> {
    let own = std::env::current_exe().map_err(|problem| problem.to_string())?;
    Ok(named.unwrap_or_else(|| own.with_file_name("milletwing-system")))
}

fn play_soak(call: Soak) -> Result<bool, String> {
    let within = (1..=9).contains(&call.core)
        && (1..=400).contains(&call.edges)
        && (2..=200).contains(&call.marshals)
        && (1..=2_000).contains(&call.clients);
    if !within {
        return Err(
            "1 to 9 machines of the core, 1 to 400 edges, 2 to 200 marshals, 1 to 2000 connections".into()
        );
    }
    let program = beside_this_program(call.program)?;
    let mut held = true;
    for seed in call.seed..call.seed.saturating_add(call.seeds) {
        let options = soak::Options {
            program: program.clone(),
            seed,
            core: call.core,
            edges: call.edges,
            marshals: call.marshals,
            clients: call.clients,
            events: call.events,
        };
        let report = soak::run(&options)?;
        held &= report.broken.is_empty();
        println!("{}", serde_json::to_string(&report).map_err(|problem| problem.to_string())?);
    }
    Ok(held)
}
