//! Counting over the logs of a fleet.

use milletwing_trials::fleet::Count;
use serde_json::json;

fn counters(taken: u32, attempts: u32) -> String {
    format!(
        "taken {taken} served {taken} refused 0 failed 0 gone 0 attempts {attempts} connections 3 malformed 0 turned away 0 \
         accepted 2 gave way 0 defects 0; held 0, node connections 3 idle 3, workers 1"
    )
}

fn folder(files: &[(&str, String)]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).unwrap();
    }
    folder
}

#[test]
fn a_fleet_is_counted_over_all_its_marshals_and_their_restarts() {
    let line =
        |at: f64, level: &str, text: &str| format!("{at:.3} [2026-12-01T22:50:32Z {level} x::y] {text}\n");
    let one = line(0.1, "INFO ", "n0 listens at 10.0.0.1:3000")
        + &line(7.2, "DEBUG", "told ERR BUSY")
        + &line(7.4, "DEBUG", "told OK 244 0 testing 0.16 10")
        + &line(9.0, "INFO ", "back: build 244 by its errors, p or fit 0.0100")
        + &line(9.5, "INFO ", "back: build 244 by its errors, p or fit 0.0100")
        + &line(10.0, "INFO ", &counters(10, 11))
        + "a line of something else\n"
        + &line(12.0, "INFO ", "n0 listens at 10.0.0.1:3000")
        + &line(20.0, "INFO ", &counters(4, 4));
    let two = line(0.1, "INFO ", "n1 listens at 10.0.0.2:3000")
        + &line(7.9, "DEBUG", "told ERR BUSY")
        + &line(8.1, "DEBUG", "told ERR STALE")
        + &line(8.2, "WARN ", "discovery: unexpected end of file")
        + &line(8.3, "WARN ", "platform: connection refused")
        + &line(13.0, "INFO ", "back: build 244 by its errors, p or fit 0.0100")
        + &line(20.0, "INFO ", &counters(20, 25));
    let folder = folder(&[("n0.log", one), ("n1.log", two), ("notes.txt", "not a log".into())]);
    let seen = Count::of(folder.path()).unwrap();
    let json = seen.json();
    assert_eq!((&json["marshals"], &json["lines_not_understood"]), (&json!(2), &json!(1)));
    let happened = &json["happened"];
    assert_eq!(happened["starts"], json!({"all": 3, "most_in_a_second": 2, "in_second": 0}));
    assert_eq!(happened["votes turned away"], json!({"all": 3, "most_in_a_second": 2, "in_second": 7}));
    assert_eq!(happened["votes that counted"]["all"], 1);
    assert_eq!(happened["failed calls to discovery"]["in_second"], 8);
    assert_eq!(happened["lost connections to the platform"]["all"], 1);
    assert_eq!(json["turned_away_as"], json!({"BUSY": 2, "STALE": 1}));
    // Each marshal once, and a restart's counters beside those before it.
    let back = json!({"build": 244, "how": "by its errors", "marshals": 2, "first": 9.0, "median": 13.0, "last": 13.0});
    assert_eq!(json["back"], json!([back]));
    assert_eq!((&json["counters"]["taken"], &json["counters"]["attempts"]), (&json!(34), &json!(40)));
    assert!(format!("{seen}").contains("votes turned away: 3, at most 2 in a second (second 7)"), "{seen}");
}

#[test]
fn lines_without_a_second_of_the_hosts_count_from_the_earliest() {
    let text =
        "[2026-12-01T22:50:30Z INFO  x] a listens at 1\n[2026-12-01T22:50:33Z DEBUG x] told ERR BUSY\n";
    let folder = folder(&[("a.log", text.into())]);
    let json = Count::of(folder.path()).unwrap().json();
    assert_eq!(json["happened"]["votes turned away"]["in_second"], 3);
}

#[test]
fn a_folder_without_logs_is_an_error_that_names_it() {
    let folder = folder(&[]);
    let problem = Count::of(folder.path()).err().unwrap();
    assert!(problem.contains("no file ends in .log") && problem.contains(folder.path().to_str().unwrap()));
    assert!(Count::of(&folder.path().join("none")).is_err());
}
