//! Settings and configurations are read completely, or refused with a reason that names the field.

use expect_test::expect;
use milletwing_config::{Configuration, Difference, ErrorKind, Event, Settings};

const SETTINGS: &str = r#"
[self]
nodeName = "edge-a-1"
function = "edge-proxy"
ipAddress = "10.1.0.34"
zone = "a"
region = "north"
counted = false
initialAttach = true
unheardOf = { deep = 1 }
[self.thresholds]
cpuQuota = 0.2
memoryMb = 260
maxFiles = 4100
[network]
internalPorts = [7540, 7555]
seedList = ["10.1.0.36:8544"]
[network.bindings]
ingress = "10.1.0.34:8548"
[network.zones]
a = "north"
[timers.guarantees]
drainS = 2
applyS = 2.5
"#;

const CONFIGURATION: &str = r#"{"revision":7,"routing":{"r":{"domain":"h.example","pathPrefix":"/a/",
"trafficClass":"idempotent","guardS":5,"targetS":0.8,"priority":2,"distribution":[{"target":"s","share":90},
{"target":"t","share":10}],"maxTries":2,"servingRegions":[]}},"targets":{"s":{"probePath":"/health","maxSessions":110,
"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":2.6},"t":{}},"thresholds":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerGuardS":3,"idleGuardS":15}}"#;

#[test]
fn settings_with_unknown_fields_are_read() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert_eq!((settings.id(), settings.region("a")), (0x0a01_0022, "north"));
    assert_eq!(settings.timers.guarantees.applyS, 2.5);
    assert_eq!(settings.timers.guarantees.retryBudgetRatio, 0.2, "an absent value has its default");
}

/// A file truncated at any byte is refused or lacks only optional tables. It never yields a wrong address.
#[test]
fn truncated_settings_are_refused_or_keep_their_addresses() {
    let complete = Settings::parse(SETTINGS).unwrap();
    for end in 0..SETTINGS.len() {
        if let Ok(truncated) = Settings::parse(&SETTINGS[..end]) {
            assert_eq!(truncated.own.ip_address, complete.own.ip_address);
            assert_eq!(truncated.network.internal_ports, complete.network.internal_ports);
        }
    }
    let refused = |from: &str, to: &str| Settings::parse(&SETTINGS.replace(from, to)).unwrap_err();
    expect!["network.internalPorts: 7555 to 7540 is not a range of ports"]
        .assert_eq(&refused("[7540, 7555]", "[7555, 7540]"));
    assert!(refused("ipAddress = \"10.1.0.34\"", "").contains("ipAddress"));
    assert!(
        refused("10.1.0.36:8544", "somewhere").contains("somewhere")
            || refused("10.1.0.36:8544", "x").contains("seedList")
    );
    expect!["timers.guarantees.applyS: must be a finite number"]
        .assert_eq(&refused("applyS = 2.5", "applyS = inf"));
    expect!["timers.guarantees.drainS: must be a finite number"]
        .assert_eq(&refused("drainS = 2", "drainS = nan"));
    expect!["network.bindings.readiness is missing"].assert_eq(&complete.binding("readiness").unwrap_err());
}

#[test]
fn each_violation_has_its_own_error_kind() {
    let valid = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!((valid.revision, valid.routing["r"].shares().len()), (7, 2));
    let refused = |from: &str, to: &str| {
        let text = CONFIGURATION.replace(from, to);
        assert_ne!(text, CONFIGURATION, "{from}");
        Configuration::parse(text.as_bytes()).unwrap_err()
    };
    assert_eq!(
        refused("\"t\",\"share\"", "\"u\",\"share\""),
        ErrorKind::UnknownService("r".into(), "u".into())
    );
    assert_eq!(refused("\"share\":10", "\"share\":-1"), ErrorKind::NegativeShare("r".into()));
    assert_eq!(refused("\"guardS\":5", "\"guardS\":600.5"), ErrorKind::GuardTooLong("r".into()));
    assert_eq!(refused("\"targetS\":0.8", "\"targetS\":65"), ErrorKind::TargetTooLong("r".into()));
    assert_eq!(refused("\"/a/\"", "\"a/\""), ErrorKind::InvalidPathPrefix("r".into()));
    assert_eq!(
        refused("\"idempotent\"", "\"idem\""),
        ErrorKind::UnknownTrafficClass("r".into(), "idem".into())
    );
    assert!(matches!(refused("\"revision\":7", "\"revision\":\"7\""), ErrorKind::Unreadable(_)));
    // Values just within the bounds are valid.
    for (from, to) in [
        ("\"guardS\":5", "\"guardS\":600"),
        ("\"targetS\":0.8", "\"targetS\":64.9"),
        ("\"share\":10", "\"share\":0"),
    ] {
        assert!(Configuration::parse(CONFIGURATION.replace(from, to).as_bytes()).is_ok(), "{to}");
    }
}

#[test]
fn a_truncated_or_wrongly_encoded_configuration_is_unreadable() {
    for end in 0..CONFIGURATION.len() {
        let read = Configuration::parse(&CONFIGURATION.as_bytes()[..end]);
        assert!(matches!(read, Err(ErrorKind::Unreadable(_))), "truncated to {end} bytes");
    }
    let utf16: Vec<u8> = CONFIGURATION.encode_utf16().flat_map(u16::to_le_bytes).collect();
    assert!(matches!(Configuration::parse(&utf16), Err(ErrorKind::Unreadable(_))));
    let latin1 = CONFIGURATION
        .replace("h.example", "h\u{e9}")
        .into_bytes()
        .iter()
        .map(|byte| if *byte == 0xc3 { 0xe9 } else { *byte })
        .collect::<Vec<_>>();
    assert!(matches!(Configuration::parse(&latin1), Err(ErrorKind::Unreadable(_))));
}

/// A response guarantees that nothing was executed only with certain statuses, and only a 503 tells the caller when to retry.
#[test]
fn guarantees_in_responses_match_their_status() {
    let kinds = [
        ErrorKind::NotConfigured,
        ErrorKind::AtCapacity,
        ErrorKind::NoReachableMarshal,
        ErrorKind::RejectedByMarshal,
        ErrorKind::DeadlineExceeded,
        ErrorKind::MarshalDisconnected,
        ErrorKind::ResponseTimeout,
    ];
    for kind in kinds {
        let response = kind.response();
        assert_eq!(response.not_executed, matches!(response.status, 429 | 503 | 408 | 421), "{kind}");
        assert!(!response.retryable || response.status == 503, "{kind}");
    }
}

#[test]
fn the_event_catalogue_in_the_docs_matches_the_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    let page = std::fs::read_to_string(path).unwrap();
    let documented: Vec<String> =
        page.lines().filter(|line| line.starts_with("| M")).map(str::to_owned).collect();
    let defined: Vec<String> = Event::ALL
        .iter()
        .map(|(number, name, level, description)| {
            format!("| {number} | {name} | {} | {description} |", level.as_str().to_lowercase())
        })
        .collect();
    assert_eq!(documented, defined);
}

/// The log line names the changes with their values, and stays short whatever their number.
#[test]
fn a_difference_lists_the_changes() {
    let before = Configuration::parse(CONFIGURATION.as_bytes()).unwrap();
    let text = CONFIGURATION.replace("\"guardS\":5", "\"guardS\":4").replace("\"share\":10", "\"share\":0");
    let after = Configuration::parse(text.as_bytes()).unwrap();
    expect!["1 routes, 2 services; changed: r (guardS 5 to 4, target s:90+t:10 to s:90+t:0)"]
        .assert_eq(&Difference::between(Some(&before), &after).to_string());
    expect!["1 routes, 2 services; added: r; services: s, t; thresholds"]
        .assert_eq(&Difference::between(None, &after).to_string());
    let mut many = before.clone();
    for number in 0..5_000 {
        many.routing.insert(format!("r{number}"), before.routing["r"].clone());
    }
    expect!["1 routes, 2 services; removed: r0, r1, r10, r100, r1000, r1001 and 4994 more"]
        .assert_eq(&Difference::between(Some(&many), &before).to_string());
}

#[test]
fn ignored_fields_are_reported() {
    let fields =
        |text: &str| Configuration::ignored_fields(text.as_bytes()).unwrap().into_iter().collect::<Vec<_>>();
    assert!(fields(CONFIGURATION).is_empty());
    let text = CONFIGURATION
        .replace("\"guardS\"", "\"quotaS\":3,\"guardS\"")
        .replace("\"revision\"", "\"zones\":{},\"revision\"");
    assert_eq!(fields(&text), ["routing.*.quotaS", "zones"]);
}
