//! Configurations that are taken for whole and can't be meant: each is refused with a reason that names the place.

use milletwing_config::{Configuration, ErrorKind};

const ROUTE: &str = r#"{"domain":"h.example","pathPrefix":"/a/","trafficClass":"idempotent","guardS":5,"targetS":0.8,
"distribution":[{"target":"s","share":90},{"target":"t","share":10}],"maxTries":2,"servingRegions":[]}"#;

/// A configuration of these routes and subscribers.
fn read(routes: &[(&str, String)], subscribers: &str) -> Result<Configuration, ErrorKind> {
    let routes: Vec<String> = routes.iter().map(|(name, route)| format!("\"{name}\":{route}")).collect();
    let text = format!(
        r#"{{"revision":7,"routing":{{{}}},"targets":{{"s":{{}},"t":{{}}}},"subscribers":{{{subscribers}}}}}"#,
        routes.join(",")
    );
    Configuration::parse(text.as_bytes())
}

/// The one route with a field replaced.
fn with(from: &str, to: &str) -> Result<Configuration, ErrorKind> {
    let route = ROUTE.replace(from, to);
    assert_ne!(route, ROUTE, "{from}");
    read(&[("r", route)], "")
}

#[test]
fn a_route_by_which_nothing_can_be_served_is_refused() {
    assert!(read(&[("r", ROUTE.into())], "").is_ok());
    // No time in which a request could be served; an edge counts in milliseconds.
    for none in ["0", "0.0", "-0.0", "0.0004", "-1", "1e-300"] {
        assert!(with("\"guardS\":5", &format!("\"guardS\":{none}")).is_err(), "guardS {none}");
    }
    assert!(with("\"guardS\":5", "\"guardS\":0.001").is_ok(), "a millisecond is a time");
    // No service that could be drawn.
    let shares =
        |first: &str, second: &str| read(&[("r", ROUTE.replace("90", first).replace("10", second))], "");
    assert!(shares("0", "0").is_err(), "all shares are 0");
    assert!(shares("0", "1").is_ok(), "one share is not");
}

/// Guards against CONFIG: what a route names beside its target was not looked at, and is the route's once the target is taken away.
#[test]
fn what_a_route_names_beside_its_target_is_checked_too() {
    let route = ROUTE.replace("\"distribution\"", "\"target\":\"s\",\"distribution\"");
    let beside = |from: &str, to: &str| read(&[("r", route.replace(from, to))], "");
    assert!(beside("90", "90").is_ok());
    assert_eq!(beside("\"t\"", "\"u\"").unwrap_err(), ErrorKind::UnknownService("r".into(), "u".into()));
    assert_eq!(beside("10", "-1").unwrap_err(), ErrorKind::NegativeShare("r".into()));
    assert_eq!(
        beside("\"s\",\"dist", "\"u\",\"dist").unwrap_err(),
        ErrorKind::UnknownService("r".into(), "u".into())
    );
}

#[test]
fn two_entries_for_one_place_or_one_key_are_refused() {
    let other = |from: &str, to: &str| ROUTE.replace(from, to);
    // Of two routes of one host and prefix nobody can say which is meant; hosts are compared as requests are.
    assert!(read(&[("r", ROUTE.into()), ("q", ROUTE.into())], "").is_err());
    assert!(read(&[("r", ROUTE.into()), ("q", other("h.example", "H.Example"))], "").is_err());
    assert!(
        read(&[("r", ROUTE.into()), ("q", other("/a/", "/a/b/"))], "").is_ok(),
        "a longer prefix is another place"
    );
    assert!(read(&[("r", ROUTE.into()), ("q", other("h.example", "g.example"))], "").is_ok());
    // A key of two tenants would belong to nobody.
    assert!(read(&[], r#""x":{"credentials":["one","two"]},"y":{"credentials":["three"]}"#).is_ok());
    assert!(read(&[], r#""x":{"credentials":["one","two"]},"y":{"credentials":["two"]}"#).is_err());
    // A name that stands twice in a table hides one of its entries.
    assert!(read(&[("r", ROUTE.into()), ("r", other("/a/", "/b/"))], "").is_err());
    assert!(read(&[], r#""x":{"credentials":["one"]},"x":{"credentials":["two"]}"#).is_err());
}
