//! Operators' calls to the core.

use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use milletwing_tenet::Configuration;
use std::time::Duration;
use tokio::net::TcpStream;

fn word<'a>(given: &'a ArgMatches, name: &str) -> &'a str {
    given.get_one::<String>(name).map_or("", String::as_str)
}

/// Makes a call and prints its answer. Anything but a 2xx is an error, with the core's reason.
pub async fn call(name: &str, given: &ArgMatches) -> Result<(), String> {
    let (method, path, if_match, body) = match (name, given.subcommand()) {
        ("configuration", Some(("check", given))) => {
            let path = word(given, "file");
            let bytes = std::fs::read(path).map_err(|problem| format!("{path}: {problem}"))?;
            let read = Configuration::read(&bytes).map_err(|kind| kind.to_string())?;
            println!(
                "revision {}: {} routes, {} services",
                read.revision,
                read.routing.len(),
                read.targets.len()
            );
            return Ok(());
        }
        ("configuration", Some(("get", given))) => {
            return speak(given, "GET", "/milletwing/configuration", None, Vec::new()).await;
        }
        ("configuration", Some(("put", given))) => {
            let path = word(given, "file");
            let bytes = std::fs::read(path).map_err(|problem| format!("{path}: {problem}"))?;
            return speak(given, "PUT", "/milletwing/configuration", Some(word(given, "on")), bytes).await;
        }
        ("rollout", _) => match given.get_one::<String>("to") {
            None => ("GET", format!("/milletwing/rollouts/{}", word(given, "service")), None, Vec::new()),
            Some(to) => {
                let period: f64 =
                    word(given, "period").parse().map_err(|_| "--period: a number of seconds is wanted")?;
                let body = serde_json::json!({
                    "target": word(given, "service"), "targetRevision": to, "periodS": period});
                ("POST", "/milletwing/rollouts".into(), None, body.to_string().into_bytes())
            }
        },
        ("evacuate", _) => {
            let method = if given.get_flag("back") { "DELETE" } else { "POST" };
            (method, format!("/milletwing/evacuation/{}", word(given, "zone")), None, Vec::new())
        }
        ("nodes", _) => ("GET", "/milletwing/nodes".into(), None, Vec::new()),
        ("members", _) => ("GET", "/milletwing/members".into(), None, Vec::new()),
        _ => return Err(format!("no call {name}")),
    };
    speak(given, method, &path, if_match, body).await
}

async fn speak(
    given: &ArgMatches,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: Vec<u8>,
) -> Result<(), String> {
    let core = word(given, "core");
    let whole = async {
        let stream = TcpStream::connect(core).await.map_err(|problem| problem.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|problem| problem.to_string())?;
        tokio::task::spawn_local(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", core);
        if let Some(if_match) = if_match {
            request = request.header("if-match", if_match);
        }
        let request = request.body(Full::new(Bytes::from(body))).map_err(|problem| problem.to_string())?;
        let answer = sender.send_request(request).await.map_err(|problem| problem.to_string())?;
        let status = answer.status();
        let bytes = answer.into_body().collect().await.map_err(|problem| problem.to_string())?.to_bytes();
        Ok::<_, String>((status, bytes))
    };
    let answer = tokio::time::timeout(Duration::from_secs(10), whole).await;
    let (status, bytes) = answer
        .map_err(|_| "no answer in 10 s".to_owned())
        .and_then(|it| it)
        .map_err(|problem| format!("{core}: {problem}"))?;
    let text = String::from_utf8_lossy(&bytes);
    if status.is_success() {
        println!("{text}");
        Ok(())
    } else {
        Err(format!("{core}: {status}: {text}"))
    }
}
