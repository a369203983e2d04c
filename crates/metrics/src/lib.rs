//! Metrics of one process, served over HTTP in the OpenMetrics text format that Prometheus reads.
//!
//! A process counts in plain fields of its own. A [`Page`] is built from them only on request, so that metrics that are not read
//! cost neither memory nor locks. Histograms are the exception: they are live objects of the library.

mod server;

pub use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
pub use server::serve;

use derive_more::{Display, Error};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use std::str::FromStr;
use std::sync::atomic::AtomicU64;

/// The maximum number of series per metric. Further ones are omitted from the page.
pub const MAX_SERIES: usize = 128;

/// The endpoint at which metrics are served: `PORT/PATH`, as in a deploy file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{port}{path}")]
pub struct Endpoint {
    /// The TCP port on the address of the machine.
    pub port: u16,
    /// The path, with its leading slash.
    pub path: String,
}

/// The reason why a text is not a valid endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
    /// The text has no slash.
    #[display("expected PORT/PATH")]
    NoPath,
    /// The part before the slash is not a valid port.
    #[display("the port must be a number from 1 to 65535")]
    BadPort,
}

impl FromStr for Endpoint {
    type Err = EndpointError;

    fn from_str(text: &str) -> Result<Endpoint, EndpointError> {
        let (port, path) = text.split_once('/').ok_or(EndpointError::NoPath)?;
        let port: u16 = port.parse().ok().filter(|port| *port > 0).ok_or(EndpointError::BadPort)?;
        Ok(Endpoint { port, path: format!("/{path}") })
    }
}

/// The labels of a series: pairs of a name and a value.
pub type Labels = Vec<(&'static str, String)>;

/// A page with the metrics at one point in time.
pub struct Page(Registry);

impl Page {
    /// Creates an empty page. `prefix` is prepended to every metric name.
    pub fn new(prefix: &str) -> Page {
        Page(Registry::with_prefix(prefix))
    }

    /// Adds a counter with a single series. A counter never decreases during the lifetime of the process.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// Adds a counter with one series for each set of labels.
    pub fn counters(&mut self, name: &str, help: &str, series: impl IntoIterator<Item = (Labels, u64)>) {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in series.into_iter().take(MAX_SERIES) {
            family.get_or_create(&labels).inc_by(value);
        }
        self.0.register(name, help, family);
    }

    /// Adds a gauge with a single series.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// Adds a gauge with one series for each set of labels.
    pub fn gauges(&mut self, name: &str, help: &str, series: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (labels, value) in series.into_iter().take(MAX_SERIES) {
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Adds a histogram of durations in seconds.
    pub fn duration_histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.0.register_with_unit(name, help, Unit::Seconds, histogram.clone());
    }

    /// Adds the resident memory of this process in bytes. It is omitted if the system does not provide it.
    pub fn resident_memory(&mut self) {
        const KIB: f64 = 1024.0;
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        if let Some(kibibytes) = kibibytes {
            self.gauge("resident_memory_bytes", "Resident memory of the process", kibibytes * KIB);
        }
    }

    /// Renders the page as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.0).is_err() {
            text.clear(); // writing to memory does not fail
        }
        text
    }
}
