//! A set of metrics that one process serves, in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of histograms of waiting times between processes, in seconds.
pub const SECONDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Upper bounds of histograms of short steps, such as a sync or a connect, in seconds.
pub const SHORT_SECONDS: [f64; 10] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.25, 1.0, 4.0];

/// The metrics of one role. Each call makes a metric, puts it into the set and returns it.
///
/// # Errors
/// Every call fails when the metrics library refuses a name: a fault of the caller.
#[derive(Clone, Debug, Default)]
pub struct MetricSet(Registry);

impl MetricSet {
    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.add(IntCounter::new(name, help)?)
    }

    /// A counter for each value of the labels.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// A number that goes up and down.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.add(IntGauge::new(name, help)?)
    }

    /// The same with fractions.
    pub fn float_gauge(&self, name: &str, help: &str) -> Result<Gauge, prometheus::Error> {
        self.add(Gauge::new(name, help)?)
    }

    /// A number for each value of the labels.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// A histogram of seconds.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> Result<Histogram, prometheus::Error> {
        self.add(Histogram::with_opts(HistogramOpts::new(name, help).buckets(bounds.to_vec()))?)
    }

    /// A histogram of seconds for each value of the labels.
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

    /// The text for a scrape.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a metric without samples, which is then left out.
        let _ = TextEncoder::new().encode(&self.0.gather(), &mut text);
        text
    }
}
