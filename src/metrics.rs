//! The metrics that a process serves in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Bucket bounds for histograms of durations across processes, such as answer times, in seconds.
pub const DURATION_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Bucket bounds for histograms of short operations, such as a disk sync or a connect, in seconds.
pub const SHORT_DURATION_BUCKETS: [f64; 10] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.25, 1.0, 4.0];

/// The metrics of one role. Each method except [`MetricSet::render`] creates a metric, registers it and returns it.
///
/// # Errors
/// These methods fail when a metric's name or label is invalid or its name is already registered, a bug in the caller.
#[derive(Clone, Debug, Default)]
pub struct MetricSet(Registry);

impl MetricSet {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.add(IntCounter::new(name, help)?)
    }

    /// Registers a counter for each combination of label values.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a gauge of whole numbers.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.add(IntGauge::new(name, help)?)
    }

    /// Registers a gauge of floating-point numbers.
    pub fn float_gauge(&self, name: &str, help: &str) -> Result<Gauge, prometheus::Error> {
        self.add(Gauge::new(name, help)?)
    }

    /// Registers a gauge of whole numbers for each combination of label values.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a histogram of seconds with the given bucket bounds.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> Result<Histogram, prometheus::Error> {
        self.add(Histogram::with_opts(HistogramOpts::new(name, help).buckets(bounds.to_vec()))?)
    }

    /// Registers a histogram of seconds for each combination of label values.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        self.add(HistogramVec::new(opts, labels)?)
    }

    fn add<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M, prometheus::Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// All metrics in the text format, the body of the answer to a scrape.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without samples, which is then left out.
        let _ = TextEncoder::new().encode(&self.0.gather(), &mut text);
        text
    }
}
