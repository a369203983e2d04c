//! Configurations that are well-formed but cannot be intended: each is refused with a reason that names the entry.

use milletwing_config::{Configuration, ErrorKind};

const ROUTE: &str = r#"{"domain":"h.example","pathPrefix":"/a/","trafficClass":"idempotent","guardS":5,"targetS":0.8,
"distribution":[{"target":"s","share":90},{"target":"t","share":10}],"maxTries":2,"servingRegions":[]}"#;

/// Parses a configuration with these routes and subscribers.
fn parse(routes: &[(&str, String)], subscribers: &str) -> Result<Configuration, ErrorKind> {
    let routes: Vec<String> = routes.iter().map(|(name, route)| format!("\"{name}\":{route}")).collect();
    let text = format!(
        r#"{{"revision":7,"routing":{{{}}},"targets":{{"s":{{}},"t":{{}}}},"subscribers":{{{subscribers}}}}}"#,
        routes.join(",")
    );
    Configuration::parse(text.as_bytes())
}

/// Parses a configuration whose only route has a part of its text replaced.
fn parse_with(from: &str, to: &str) -> Result<Configuration, ErrorKind> {
    let route = ROUTE.replace(from, to);
    assert_ne!(route, ROUTE, "{from}");
    parse(&[("r", route)], "")
}

#[test]
fn a_route_that_cannot_serve_any_request_is_refused() {
    assert!(parse(&[("r", ROUTE.into())], "").is_ok());
    // The time limit is too short to serve a request. Edges measure time in milliseconds.
    for guard_s in ["0", "0.0", "-0.0", "0.0004", "-1", "1e-300"] {
        assert!(parse_with("\"guardS\":5", &format!("\"guardS\":{guard_s}")).is_err(), "guardS {guard_s}");
    }
    assert!(parse_with("\"guardS\":5", "\"guardS\":0.001").is_ok(), "a millisecond is enough");
    // No service can be chosen.
    let parse_shares =
        |first: &str, second: &str| parse(&[("r", ROUTE.replace("90", first).replace("10", second))], "");
    assert!(parse_shares("0", "0").is_err(), "all shares are 0");
    assert!(parse_shares("0", "1").is_ok(), "one share is not 0");
}

/// Regression test: the distribution of a route that also has a target was not validated. It comes into effect once the target is
/// removed.
#[test]
fn the_distribution_of_a_route_with_a_target_is_validated() {
    let route = ROUTE.replace("\"distribution\"", "\"target\":\"s\",\"distribution\"");
    let parse_both = |from: &str, to: &str| parse(&[("r", route.replace(from, to))], "");
    assert!(parse_both("90", "90").is_ok());
    assert_eq!(parse_both("\"t\"", "\"u\"").unwrap_err(), ErrorKind::UnknownService("r".into(), "u".into()));
    assert_eq!(parse_both("10", "-1").unwrap_err(), ErrorKind::NegativeShare("r".into()));
    assert_eq!(
        parse_both("\"s\",\"dist", "\"u\",\"dist").unwrap_err(),
        ErrorKind::UnknownService("r".into(), "u".into())
    );
}

#[test]
fn duplicate_routes_keys_and_names_are_refused() {
    let changed = |from: &str, to: &str| ROUTE.replace(from, to);
    // Two routes with the same host and prefix are ambiguous. Hosts are compared as they are for requests.
    assert!(parse(&[("r", ROUTE.into()), ("q", ROUTE.into())], "").is_err());
    assert!(parse(&[("r", ROUTE.into()), ("q", changed("h.example", "H.Example"))], "").is_err());
    assert!(
        parse(&[("r", ROUTE.into()), ("q", changed("/a/", "/a/b/"))], "").is_ok(),
        "a longer prefix is a different route"
    );
    assert!(parse(&[("r", ROUTE.into()), ("q", changed("h.example", "g.example"))], "").is_ok());
    // A key of two tenants is ambiguous.
    assert!(parse(&[], r#""x":{"credentials":["one","two"]},"y":{"credentials":["three"]}"#).is_ok());
    assert!(parse(&[], r#""x":{"credentials":["one","two"]},"y":{"credentials":["two"]}"#).is_err());
    // A duplicate name in a table would hide one of its entries.
    assert!(parse(&[("r", ROUTE.into()), ("r", changed("/a/", "/b/"))], "").is_err());
    assert!(parse(&[], r#""x":{"credentials":["one"]},"x":{"credentials":["two"]}"#).is_err());
}
