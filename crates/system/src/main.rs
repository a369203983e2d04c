//! The program of the load balancer. The subcommands `edge-proxy` and `control-plane` run the roles
//! of its machines; the others are operators' calls and checks of files.

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

fn core_argument() -> Arg {
    Arg::new("core")
        .long("core")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:8544")
        .help("controlPlane address of any machine of the core")
}

fn command() -> Command {
    let role_command = |name: &'static str, about: &'static str| {
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
    let file_argument = || Arg::new("file").value_name("FILE").required(true);
    let core_command =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(core_argument());
    let with_json_flag = |command: Command| {
        command.arg(
            Arg::new("json").long("json").action(clap::ArgAction::SetTrue).help("the core's answer as it is"),
        )
    };
    Command::new("milletwing-system")
        .about("milletwing's global load balancer")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(role_command("edge-proxy", "Runs an edge: carries traffic until SIGTERM"))
        .subcommand(role_command("control-plane", "Runs a machine of the core until SIGTERM"))
        .subcommand(Command::new("check-system").about("Checks a deploy file").arg(file_argument()))
        .subcommand(Command::new("check-settings").about("Checks a settings file").arg(file_argument()))
        .subcommand(
            Command::new("configuration")
                .about("The operator's configuration")
                .subcommand_required(true)
                .subcommand(core_command("get", "Prints the newest"))
                .subcommand(
                    core_command("put", "Sends one on top of a revision")
                        .arg(Arg::new("on").long("on").value_name("REVISION").required(true))
                        .arg(file_argument()),
                )
                .subcommand(
                    Command::new("check").about("Checks one without sending it").arg(file_argument()),
                ),
        )
        .subcommand(
            core_command("rollout", "Orders a version, or tells how far one is")
                .arg(Arg::new("service").value_name("SERVICE").required(true))
                .arg(Arg::new("to").long("to").value_name("VERSION"))
                .arg(Arg::new("period").long("period").value_name("SECONDS").default_value("60")),
        )
        .subcommand(
            core_command("evacuate", "Empties a zone, or takes it back")
                .arg(Arg::new("zone").value_name("ZONE").required(true))
                .arg(Arg::new("back").long("back").action(clap::ArgAction::SetTrue)),
        )
        .subcommand(core_command("trial", "Versions on trial: stage, cap, evidence, votes"))
        .subcommand(
            Command::new("disk")
                .about("What a stopped core machine's file holds")
                .subcommand_required(true)
                .subcommand(
                    Command::new("check").about("Says whether it holds together").arg(file_argument()),
                )
                .subcommand(Command::new("dump").about("All of it, as JSON").arg(file_argument())),
        )
        .subcommand(
            Command::new("drift")
                .about("Whether edges route by what was agreed")
                .subcommand_required(true)
                .subcommand(with_json_flag(core_command("list", "All edges, with what was found of each")))
                .subcommand(
                    with_json_flag(core_command("show", "One edge, and the steps to bring it back"))
                        .arg(Arg::new("edge").value_name("EDGE").required(true).help("its address")),
                )
                .subcommand(
                    with_json_flag(core_command(
                        "explain",
                        "What an edge decided for a request, where it was sampled",
                    ))
                    .arg(Arg::new("attempt").value_name("REQUEST-ID").required(true)),
                ),
        )
        .subcommand(
            Command::new("suspects")
                .about("Marshals that are taken out by agreement, or that edges find gone")
                .subcommand_required(true)
                .subcommand(with_json_flag(core_command("list", "All of them")))
                .subcommand(
                    with_json_flag(core_command("show", "One of them"))
                        .arg(Arg::new("marshal").value_name("MARSHAL").required(true).help("its id")),
                ),
        )
        .subcommand(core_command("nodes", "Lists the marshals"))
        .subcommand(core_command("members", "How the core stands, as one of its machines sees it"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, run(&matches));
    // Does not wait for tasks and blocking calls that are still running; they end with the process.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &str) -> ExitCode {
    eprintln!("milletwing-system: {error}");
    ExitCode::from(2)
}

async fn run(matches: &ArgMatches) -> Result<(), String> {
    match matches.subcommand() {
        Some(("edge-proxy", matches)) => {
            let (settings, path, shutdown) = start_role(matches)?;
            let metrics = matches.get_one::<Endpoint>("metrics").cloned();
            milletwing_edge_proxy::run(settings, &path, metrics, shutdown).await
        }
        Some(("control-plane", matches)) => {
            let (settings, path, shutdown) = start_role(matches)?;
            let metrics = matches.get_one::<Endpoint>("metrics").cloned();
            milletwing_control_plane::run(settings, &path, metrics, shutdown).await
        }
        Some(("check-system", matches)) => {
            deploy::check(&read_file(matches)?).map(|summary| println!("{summary}"))
        }
        Some(("check-settings", matches)) => {
            let settings = Settings::parse(&read_file(matches)?)?;
            println!(
                "{} in {}: {}",
                settings.own.node_name,
                settings.own.zone,
                settings.own.served_planes.join(", ")
            );
            Ok(())
        }
        Some(("disk", matches)) => match matches.subcommand() {
            Some((subcommand, matches)) => {
                disk::inspect_file(subcommand, matches.get_one::<String>("file").map_or("", String::as_str))
            }
            None => Err("expected check or dump".into()),
        },
        Some(("drift", matches)) => drift::drift(matches).await,
        Some(("suspects", matches)) => drift::suspects(matches).await,
        Some((name, matches)) => calls::call(name, matches).await,
        None => Err("expected a subcommand".into()),
    }
}

fn read_file(matches: &ArgMatches) -> Result<String, String> {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}

/// Installs the signal handlers, initializes logging, and reads the settings file. Returns the
/// settings, the file's path, and a future that completes on SIGTERM. SIGHUP is ignored, because a
/// change of the settings file is noticed without it.
fn start_role(
    matches: &ArgMatches,
) -> Result<(Settings, PathBuf, milletwing_edge_proxy::ShutdownSignal), String> {
    // The handlers come first: without them, a signal would kill the process, which would look like
    // a crash.
    let mut term = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    milletwing_config::event::init_logging(&std::env::var("MILLETWING_LOG").unwrap_or_default());
    let path = match matches.get_one::<String>("settings") {
        Some(path) => PathBuf::from(path),
        None => std::env::var_os("MILLETWING_BOOT")
            .map(PathBuf::from)
            .ok_or("no settings file: neither --settings nor MILLETWING_BOOT names one")?,
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let settings = Settings::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    tokio::task::spawn_local(async move { while hangup.recv().await.is_some() {} });
    let shutdown = Box::pin(async move {
        term.recv().await;
    });
    Ok((settings, path, shutdown))
}
