//! Metrics of one process, served over HTTP in the OpenMetrics text format that Prometheus reads.
//!
//! A process counts in plain fields of its own. A [`Page`] is made of them only when somebody asks, so that metrics that nobody
//! reads cost neither memory nor locks. Histograms are the exception: they are live objects of the library.

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

/// Series of one metric at most; further ones are left out of the page.
pub const MAX_SERIES: usize = 128;

/// Where metrics are served: `PORT/PATH`, as in a deploy file.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{port}{path}")]
pub struct Endpoint {
    /// The TCP port, on the machine's own address.
    pub port: u16,
    /// The path, with its slash.
    pub path: String,
}

/// Why a text names no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum EndpointError {
    /// No slash in it.
    #[display("PORT/PATH is wanted")]
    NoPath,
    /// What stands before the slash.
    #[display("the port is no number from 1 to 65535")]
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

/// The labels of one series: names and values.
pub type Labels = Vec<(&'static str, String)>;

/// The metrics of one moment.
pub struct Page(Registry);

impl Page {
    /// An empty page. `prefix` begins every name on it.
    pub fn new(prefix: &str) -> Page {
        Page(Registry::with_prefix(prefix))
    }

    /// A value that only rises during the life of the process, with one series.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// Values that only rise, one for each set of labels.
    pub fn counters(&mut self, name: &str, help: &str, series: impl IntoIterator<Item = (Labels, u64)>) {
        let family = Family::<Labels, Counter>::default();
        for (labels, value) in series.into_iter().take(MAX_SERIES) {
            family.get_or_create(&labels).inc_by(value);
        }
        self.0.register(name, help, family);
    }

    /// A value that rises and falls.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// Values that rise and fall, one for each set of labels.
    pub fn gauges(&mut self, name: &str, help: &str, series: impl IntoIterator<Item = (Labels, f64)>) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (labels, value) in series.into_iter().take(MAX_SERIES) {
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// A histogram of durations in seconds.
    pub fn duration_histogram(&mut self, name: &str, help: &str, histogram: &Histogram) {
        self.0.register_with_unit(name, help, Unit::Seconds, histogram.clone());
    }

    /// The resident memory of this process in bytes; left out where the system does not tell it.
    pub fn resident_memory(&mut self) {
        const KIB: f64 = 1024.0;
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        if let Some(kibibytes) = kibibytes {
            self.gauge("resident_memory_bytes", "Resident memory of the process", kibibytes * KIB);
        }
    }

    /// The page as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.0).is_err() {
            text.clear(); // writing to memory does not fail
        }
        text
    }
}
