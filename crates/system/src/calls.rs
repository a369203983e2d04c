//! Operators' calls to the HTTP interface of the core.

use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use milletwing_config::Configuration;
use std::time::Duration;
use tokio::net::TcpStream;

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Makes the call `name` and prints the response's body. A status other than 2xx is an error that
/// carries the core's reason.
pub async fn call(name: &str, matches: &ArgMatches) -> Result<(), String> {
    let (method, path, if_match, body) = match (name, matches.subcommand()) {
        ("configuration", Some(("check", matches))) => {
            let path = argument(matches, "file");
            let bytes = std::fs::read(path).map_err(|error| format!("{path}: {error}"))?;
            let configuration = Configuration::parse(&bytes).map_err(|kind| kind.to_string())?;
            println!(
                "revision {}: {} routes, {} services",
                configuration.revision,
                configuration.routing.len(),
                configuration.targets.len()
            );
            return Ok(());
        }
        ("configuration", Some(("get", matches))) => {
            return request_and_print(matches, "GET", "/milletwing/configuration", None, Vec::new()).await;
        }
        ("configuration", Some(("put", matches))) => {
            let path = argument(matches, "file");
            let bytes = std::fs::read(path).map_err(|error| format!("{path}: {error}"))?;
            return request_and_print(
                matches,
                "PUT",
                "/milletwing/configuration",
                Some(argument(matches, "on")),
                bytes,
            )
            .await;
        }
        ("rollout", _) => match matches.get_one::<String>("to") {
            None => {
                ("GET", format!("/milletwing/rollouts/{}", argument(matches, "service")), None, Vec::new())
            }
            Some(revision) => {
                let period: f64 = argument(matches, "period")
                    .parse()
                    .map_err(|_| "--period: expected a number of seconds")?;
                let body = serde_json::json!({
                    "target": argument(matches, "service"), "targetRevision": revision, "periodS": period});
                ("POST", "/milletwing/rollouts".into(), None, body.to_string().into_bytes())
            }
        },
        ("evacuate", _) => {
            let method = if matches.get_flag("back") { "DELETE" } else { "POST" };
            (method, format!("/milletwing/evacuation/{}", argument(matches, "zone")), None, Vec::new())
        }
        ("trial", _) => ("GET", "/milletwing/trials".into(), None, Vec::new()),
        ("nodes", _) => ("GET", "/milletwing/nodes".into(), None, Vec::new()),
        ("members", _) => ("GET", "/milletwing/members".into(), None, Vec::new()),
        _ => return Err(format!("unknown call {name}")),
    };
    request_and_print(matches, method, &path, if_match, body).await
}

async fn request_and_print(
    matches: &ArgMatches,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: Vec<u8>,
) -> Result<(), String> {
    println!("{}", request(argument(matches, "core"), method, path, if_match, body).await?);
    Ok(())
}

/// Sends a request to the machine at `core`, follows redirects to other machines of the core, and
/// returns the body of the response.
pub async fn request(
    core: &str,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: Vec<u8>,
) -> Result<String, String> {
    let (mut core, mut path) = (core.to_owned(), path.to_owned());
    // Follows at most two redirects, as all clients of the core do.
    for _ in 0..3 {
        match request_once(&core, method, &path, if_match, &body).await? {
            Response::Success(text) => return Ok(text),
            Response::Redirect(target) => (core, path) = target,
        }
    }
    Err(format!("{core}: too many redirects"))
}

/// The response of one machine, unless it is an error.
enum Response {
    /// The body of a successful response.
    Success(String),
    /// The address and path to which the request was redirected.
    Redirect((String, String)),
}

/// Splits the value of a `Location` header into address and path.
fn redirect_target(location: &str) -> Option<(String, String)> {
    let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((address.to_owned(), format!("/{path}")))
}

/// Sends a request to one machine.
async fn request_once(
    core: &str,
    method: &str,
    path: &str,
    if_match: Option<&str>,
    body: &[u8],
) -> Result<Response, String> {
    let exchange = async {
        let stream = TcpStream::connect(core).await.map_err(|error| error.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        tokio::task::spawn_local(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", core);
        if let Some(if_match) = if_match {
            request = request.header("if-match", if_match);
        }
        let request =
            request.body(Full::new(Bytes::copy_from_slice(body))).map_err(|error| error.to_string())?;
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let location =
            response.headers().get("location").and_then(|value| value.to_str().ok()).map(str::to_owned);
        let bytes = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok::<_, String>((status, location, bytes))
    };
    let response = tokio::time::timeout(Duration::from_secs(10), exchange).await;
    let response = response.map_err(|_| "no response within 10 s".to_owned()).and_then(|result| result);
    let (status, location, bytes) = response.map_err(|error| format!("{core}: {error}"))?;
    let redirect = location.as_deref().and_then(redirect_target);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    match redirect {
        Some(target) if status.as_u16() == 307 => Ok(Response::Redirect(target)),
        _ if status.is_success() => Ok(Response::Success(text)),
        _ => Err(format!("{core}: {status}: {text}")),
    }
}
