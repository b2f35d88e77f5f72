//! The metrics of the process, served in the text format of Prometheus.
//!
//! The usual exporter keeps every sample of a histogram until the next scrape. A
//! process here may not be scraped for hours, and memory is scarce, so this recorder
//! keeps a histogram as a row of counters and bounds the number of series.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

pub use ::metrics::{counter, gauge, histogram};
use ::metrics::{
    Counter, Gauge, GaugeFn, Histogram, HistogramFn, Key, KeyName, Label, Metadata, Recorder,
    SharedString, Unit,
};
use tidepier_h1::Listener;

use crate::ready::{self, Page};

/// Path of the metrics endpoint; the deployment configuration refers to it.
pub const PATH: &str = "/metrics";

/// Upper bounds of the histogram buckets, in seconds. They range from a decision
/// within the box to the longest request that an operator allows.
const BUCKET_BOUNDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];
/// Most series, of about 300 bytes each. Without a limit, labels with values from
/// outside could exhaust the memory.
const SERIES_MAX: usize = 512;

/// The registry of all series of the process.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<Series>>);

#[derive(Default)]
struct Series {
    counters: HashMap<Key, Arc<AtomicU64>>,
    gauges: HashMap<Key, Arc<AtomicU64>>,
    histograms: HashMap<Key, Arc<Buckets>>,
    help: BTreeMap<KeyName, SharedString>,
    /// Number of rejected registrations, because the limit on series was reached.
    refused: u64,
}

/// A histogram.
#[derive(Default)]
struct Buckets {
    /// Samples per bucket; the last one counts samples above every bound.
    counts: [AtomicU64; BUCKET_BOUNDS.len() + 1],
    /// The sum of all samples, as the bits of an `f64`.
    sum: AtomicU64,
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKET_BOUNDS.partition_point(|end| *end < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        GaugeFn::increment(&self.sum, value);
    }
}

/// Creates a registry and installs it as the recorder of the process.
///
/// # Errors
///
/// The process already has a recorder.
pub fn install() -> Result<Registry, ::metrics::SetRecorderError<Registry>> {
    let registry = Registry::default();
    ::metrics::set_global_recorder(registry.clone())?;
    Ok(registry)
}

/// Serves the metrics of `registry` at `listener`.
pub async fn serve(listener: Listener, registry: Registry) {
    let page = |path: &str| match path {
        PATH => Page::new("200 OK", registry.render()),
        _ => Page::not_found(),
    };
    ready::serve_pages("metrics", listener, &page).await;
}

impl Registry {
    /// Renders all series in the text format of Prometheus.
    pub fn render(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for (name, rows) in by_name(&series.counters) {
            series.write_header(&mut text, name, "counter");
            for (key, value) in rows {
                let value = value.load(Ordering::Relaxed);
                write_sample(&mut text, name, "", key.labels(), None, value);
            }
        }
        for (name, rows) in by_name(&series.gauges) {
            series.write_header(&mut text, name, "gauge");
            for (key, value) in rows {
                let value = f64::from_bits(value.load(Ordering::Relaxed));
                write_sample(&mut text, name, "", key.labels(), None, value);
            }
        }
        for (name, rows) in by_name(&series.histograms) {
            series.write_header(&mut text, name, "histogram");
            for (key, buckets) in rows {
                buckets.render(&mut text, key);
            }
        }
        let refused = "tidepier_metrics_refused_total";
        series.write_header(&mut text, refused, "counter");
        write_sample(&mut text, refused, "", [].iter(), None, series.refused);
        text
    }

    fn series(&self) -> MutexGuard<'_, Series> {
        // A panic while the lock was held leaves the maps consistent.
        let series = self.0.lock();
        series.unwrap_or_else(|poison| poison.into_inner())
    }
}

impl Series {
    fn has_room(&mut self) -> bool {
        let used = self.counters.len() + self.gauges.len() + self.histograms.len();
        let room = used < SERIES_MAX;
        if !room {
            self.refused += 1;
        }
        room
    }

    fn write_header(&self, text: &mut String, name: &str, kind: &str) {
        if let Some(help) = self.help.get(name) {
            write_fmt(text, format_args!("# HELP {name} {help}\n"));
        }
        write_fmt(text, format_args!("# TYPE {name} {kind}\n"));
    }
}

impl Buckets {
    fn render(&self, text: &mut String, key: &Key) {
        let name = key.name();
        let mut count = 0;
        let ends = BUCKET_BOUNDS.iter().copied().chain([f64::INFINITY]);
        for (end, samples) in ends.zip(&self.counts) {
            count += samples.load(Ordering::Relaxed);
            write_sample(text, name, "_bucket", key.labels(), Some(end), count);
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        write_sample(text, name, "_sum", key.labels(), None, sum);
        write_sample(text, name, "_count", key.labels(), None, count);
    }
}

/// Groups the series by name, sorted by names and labels.
fn by_name<T>(series: &HashMap<Key, T>) -> BTreeMap<&str, Vec<(&Key, &T)>> {
    let mut names = BTreeMap::<_, Vec<_>>::new();
    for (key, value) in series {
        names.entry(key.name()).or_default().push((key, value));
    }
    for rows in names.values_mut() {
        rows.sort_unstable_by_key(|(key, _)| *key);
    }
    names
}

fn write_sample<'a>(
    text: &mut String,
    name: &str,
    suffix: &str,
    labels: impl Iterator<Item = &'a Label>,
    end: Option<f64>,
    value: impl std::fmt::Display,
) {
    write_fmt(text, format_args!("{name}{suffix}"));
    let mut separator = '{';
    for label in labels {
        write_fmt(text, format_args!("{separator}{}=\"", label.key()));
        escape(text, label.value());
        text.push('"');
        separator = ',';
    }
    match end {
        Some(f64::INFINITY) => write_fmt(text, format_args!("{separator}le=\"+Inf\"}}")),
        Some(end) => write_fmt(text, format_args!("{separator}le=\"{end}\"}}")),
        None if separator == ',' => text.push('}'),
        None => {}
    }
    write_fmt(text, format_args!(" {value}\n"));
}

fn escape(text: &mut String, value: &str) {
    for letter in value.chars() {
        match letter {
            '\\' => text.push_str("\\\\"),
            '"' => text.push_str("\\\""),
            '\n' => text.push_str("\\n"),
            other => text.push(other),
        }
    }
}

fn write_fmt(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing to a `String` does not fail.
    let _ = text.write_fmt(part);
}

impl Recorder for Registry {
    fn describe_counter(&self, name: KeyName, _: Option<Unit>, help: SharedString) {
        self.series().help.insert(name, help);
    }

    fn describe_gauge(&self, name: KeyName, _: Option<Unit>, help: SharedString) {
        self.series().help.insert(name, help);
    }

    fn describe_histogram(&self, name: KeyName, _: Option<Unit>, help: SharedString) {
        self.series().help.insert(name, help);
    }

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut series = self.series();
        if let Some(found) = series.counters.get(key) {
            return Counter::from_arc(found.clone());
        }
        if !series.has_room() {
            return Counter::noop();
        }
        let made = series.counters.entry(key.to_retained()).or_default();
        Counter::from_arc(made.clone())
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut series = self.series();
        if let Some(found) = series.gauges.get(key) {
            return Gauge::from_arc(found.clone());
        }
        if !series.has_room() {
            return Gauge::noop();
        }
        let made = series.gauges.entry(key.to_retained()).or_default();
        Gauge::from_arc(made.clone())
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut series = self.series();
        if let Some(found) = series.histograms.get(key) {
            return Histogram::from_arc(found.clone());
        }
        if !series.has_room() {
            return Histogram::noop();
        }
        let made = series.histograms.entry(key.to_retained()).or_default();
        Histogram::from_arc(made.clone())
    }
}
