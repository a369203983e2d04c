//! Operators' calls to the core.

use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use milletwing_config::Configuration;
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
            let read = Configuration::parse(&bytes).map_err(|kind| kind.to_string())?;
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
        ("trial", _) => ("GET", "/milletwing/trials".into(), None, Vec::new()),
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
    println!("{}", follow(word(given, "core"), method, path, if_match, body).await?);
    Ok(())
}

/// A call that goes where it is sent on to. Gives the answer's text.
pub async fn follow(
    core: &str,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: Vec<u8>,
) -> Result<String, String> {
    let mut core = core.to_owned();
    // Two machines further at most, as all callers of the core go.
    for _ in 0..3 {
        match once(&core, method, path, if_match, &body).await? {
            Ok(text) => return Ok(text),
            Err(further) => core = further,
        }
    }
    Err(format!("{core}: sent on too often"))
}

/// One call. Gives the answer's text, or the machine that it was sent on to.
async fn once(
    core: &str,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &[u8],
) -> Result<Result<String, String>, String> {
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
        let request =
            request.body(Full::new(Bytes::copy_from_slice(body))).map_err(|problem| problem.to_string())?;
        let answer = sender.send_request(request).await.map_err(|problem| problem.to_string())?;
        let status = answer.status();
        let place = answer.headers().get("location").and_then(|place| place.to_str().ok()).map(str::to_owned);
        let bytes = answer.into_body().collect().await.map_err(|problem| problem.to_string())?.to_bytes();
        Ok::<_, String>((status, place, bytes))
    };
    let answer = tokio::time::timeout(Duration::from_secs(10), whole).await;
    let answer = answer.map_err(|_| "no answer in 10 s".to_owned()).and_then(|it| it);
    let (status, place, bytes) = answer.map_err(|problem| format!("{core}: {problem}"))?;
    let further = place.as_deref().and_then(|place| place.strip_prefix("http://")?.split('/').next());
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match further {
        Some(further) if status.as_u16() == 307 => Ok(Err(further.to_owned())),
        _ if status.is_success() => Ok(Ok(text)),
        _ => Err(format!("{core}: {status}: {text}")),
    }
}
