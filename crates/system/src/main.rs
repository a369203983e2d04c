//! The system's program: `edge-proxy` and `control-plane` are the roles of its machines, the rest are operators' calls.

mod calls;
mod deploy;
mod disk;
mod drift;

use clap::{Arg, ArgMatches, Command};
use milletwing_config::Settings;
use milletwing_metrics::Endpoint;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

fn core_arg() -> Arg {
    Arg::new("core")
        .long("core")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:8544")
        .help("controlPlane address of any machine of the core")
}

fn command() -> Command {
    let role = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .help("the settings file; without it, the one that MILLETWING_BOOT names"),
            )
            .arg(
                Arg::new("metrics")
                    .long("metrics")
                    .value_name("PORT/PATH")
                    .value_parser(|text: &str| text.parse::<Endpoint>())
                    .help("serves metrics there, on the machine's own address"),
            )
    };
    let file = || Arg::new("file").value_name("FILE").required(true);
    let called = |name: &'static str, about: &'static str| Command::new(name).about(about).arg(core_arg());
    let json = |call: Command| {
        call.arg(
            Arg::new("json").long("json").action(clap::ArgAction::SetTrue).help("the core's answer as it is"),
        )
    };
    Command::new("milletwing-system")
        .about("milletwing's global load balancer")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(role("edge-proxy", "Runs an edge: carries traffic until SIGTERM"))
        .subcommand(role("control-plane", "Runs a machine of the core until SIGTERM"))
        .subcommand(Command::new("check-system").about("Checks a deploy file").arg(file()))
        .subcommand(Command::new("check-settings").about("Checks a settings file").arg(file()))
        .subcommand(
            Command::new("configuration")
                .about("The operator's configuration")
                .subcommand_required(true)
                .subcommand(called("get", "Prints the newest"))
                .subcommand(
                    called("put", "Sends one on top of a revision")
                        .arg(Arg::new("on").long("on").value_name("REVISION").required(true))
                        .arg(file()),
                )
                .subcommand(Command::new("check").about("Checks one without sending it").arg(file())),
        )
        .subcommand(
            called("rollout", "Orders a version, or tells how far one is")
                .arg(Arg::new("service").value_name("SERVICE").required(true))
                .arg(Arg::new("to").long("to").value_name("VERSION"))
                .arg(Arg::new("period").long("period").value_name("SECONDS").default_value("60")),
        )
        .subcommand(
            called("evacuate", "Empties a zone, or takes it back")
                .arg(Arg::new("zone").value_name("ZONE").required(true))
                .arg(Arg::new("back").long("back").action(clap::ArgAction::SetTrue)),
        )
        .subcommand(called("trial", "Versions on trial: stage, cap, evidence, votes"))
        .subcommand(
            Command::new("disk")
                .about("What a stopped core machine's file holds")
                .subcommand_required(true)
                .subcommand(Command::new("check").about("Says whether it holds together").arg(file()))
                .subcommand(Command::new("dump").about("All of it, as JSON").arg(file())),
        )
        .subcommand(
            Command::new("drift")
                .about("Whether edges route by what was agreed")
                .subcommand_required(true)
                .subcommand(json(called("list", "All edges, with what was found of each")))
                .subcommand(
                    json(called("show", "One edge, and the steps to bring it back"))
                        .arg(Arg::new("edge").value_name("EDGE").required(true).help("its address")),
                )
                .subcommand(
                    json(called("explain", "What an edge decided for a request, where it was sampled"))
                        .arg(Arg::new("attempt").value_name("REQUEST-ID").required(true)),
                ),
        )
        .subcommand(
            Command::new("suspects")
                .about("Marshals that are taken out by agreement, or that edges find gone")
                .subcommand_required(true)
                .subcommand(json(called("list", "All of them")))
                .subcommand(
                    json(called("show", "One of them"))
                        .arg(Arg::new("marshal").value_name("MARSHAL").required(true).help("its id")),
                ),
        )
        .subcommand(called("nodes", "Lists the marshals"))
        .subcommand(called("members", "How the core stands, as one of its machines sees it"))
}

fn main() -> ExitCode {
    let given = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(problem) => return fail(&problem.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, run(&given));
    // What may still be under way ends with the process.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    }
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("milletwing-system: {problem}");
    ExitCode::from(2)
}

async fn run(given: &ArgMatches) -> Result<(), String> {
    match given.subcommand() {
        Some(("edge-proxy", given)) => {
            let (settings, path, leave) = begin(given)?;
            let metrics = given.get_one::<Endpoint>("metrics").cloned();
            milletwing_edge_proxy::run(settings, &path, metrics, leave).await
        }
        Some(("control-plane", given)) => {
            let (settings, path, leave) = begin(given)?;
            let metrics = given.get_one::<Endpoint>("metrics").cloned();
            milletwing_control_plane::run(settings, &path, metrics, leave).await
        }
        Some(("check-system", given)) => deploy::check(&text(given)?).map(|said| println!("{said}")),
        Some(("check-settings", given)) => {
            let settings = Settings::parse(&text(given)?)?;
            println!(
                "{} in {}: {}",
                settings.own.node_name,
                settings.own.zone,
                settings.own.served_planes.join(", ")
            );
            Ok(())
        }
        Some(("disk", given)) => match given.subcommand() {
            Some((call, given)) => {
                disk::tell(call, given.get_one::<String>("file").map_or("", String::as_str))
            }
            None => Err("check or dump is wanted".into()),
        },
        Some(("drift", given)) => drift::call(given).await,
        Some(("suspects", given)) => drift::suspects(given).await,
        Some((name, given)) => calls::call(name, given).await,
        None => Err("a call is wanted".into()),
    }
}

fn text(given: &ArgMatches) -> Result<String, String> {
    let path = given.get_one::<String>("file").map_or("", String::as_str);
    std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))
}

/// Listens for signals, starts the log, and reads the settings: SIGTERM ends, SIGHUP changes nothing by itself, since the
/// file is watched.
fn begin(given: &ArgMatches) -> Result<(Settings, PathBuf, milletwing_edge_proxy::ShutdownSignal), String> {
    // First of all: a signal that comes before it is listened for would end the process as if it had failed.
    let mut term = signal(SignalKind::terminate()).map_err(|problem| problem.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|problem| problem.to_string())?;
    milletwing_config::event::init_logging(&std::env::var("MILLETWING_LOG").unwrap_or_default());
    let path = match given.get_one::<String>("settings") {
        Some(path) => PathBuf::from(path),
        None => std::env::var_os("MILLETWING_BOOT")
            .map(PathBuf::from)
            .ok_or("MILLETWING_BOOT names no settings file")?,
    };
    let text = std::fs::read_to_string(&path).map_err(|problem| format!("{}: {problem}", path.display()))?;
    let settings = Settings::parse(&text).map_err(|problem| format!("{}: {problem}", path.display()))?;
    tokio::task::spawn_local(async move { while hangup.recv().await.is_some() {} });
    let leave = Box::pin(async move {
        term.recv().await;
    });
    Ok((settings, path, leave))
}
