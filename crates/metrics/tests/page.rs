//! Tests the text of a page and the parsing of endpoints.

use milletwing_metrics::{Endpoint, EndpointError, Histogram, Page, MAX_SERIES};

#[test]
fn a_page_is_rendered_in_the_open_metrics_format() {
    let mut page = Page::new("milletwing_edge");
    let series = [(vec![("class", "idempotent".to_owned())], 3), (vec![("class", "downlink".to_owned())], 4)];
    page.counters("requests", "Requests", series);
    page.gauge("connections", "Open connections", 2.0);
    let durations = Histogram::new([0.1, 1.0]);
    durations.observe(0.5);
    page.duration_histogram("duration", "Durations", &durations);
    let text = page.render();
    for line in [
        "# TYPE milletwing_edge_requests counter",
        "milletwing_edge_requests_total{class=\"idempotent\"} 3",
        "milletwing_edge_requests_total{class=\"downlink\"} 4",
        "milletwing_edge_connections 2.0",
        "# UNIT milletwing_edge_duration_seconds seconds",
        "milletwing_edge_duration_seconds_bucket{le=\"1.0\"} 1",
        "# EOF",
    ] {
        assert!(text.lines().any(|rendered| rendered == line), "{line} is missing from\n{text}");
    }
}

#[test]
fn the_number_of_series_is_bounded() {
    let mut page = Page::new("m");
    page.gauges("many", "Many", (0..MAX_SERIES * 2).map(|at| (vec![("at", at.to_string())], 1.0)));
    assert_eq!(page.render().lines().filter(|line| line.starts_with("m_many{")).count(), MAX_SERIES);
}

#[test]
fn an_endpoint_is_a_port_and_a_path() {
    let endpoint: Endpoint = "7555/metrics/all".parse().unwrap();
    assert_eq!(endpoint, Endpoint { port: 7555, path: "/metrics/all".into() });
    assert_eq!(endpoint.to_string(), "7555/metrics/all");
    assert_eq!("7555".parse::<Endpoint>(), Err(EndpointError::NoPath));
    for text in ["/metrics", "0/metrics", "70000/metrics", "x/metrics"] {
        assert_eq!(text.parse::<Endpoint>(), Err(EndpointError::BadPort), "{text}");
    }
}
