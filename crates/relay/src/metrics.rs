//! The figures of the process, served in the text format of Prometheus.
//!
//! The usual exporter keeps each sample of a histogram until it is asked for
//! its figures. Nobody may ask for hours here, and memory is dear, so that the
//! recorder is our own: a histogram is a row of counters, and the number of
//! series is bounded.

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

/// Where the metrics are asked for; as the deploy file names it.
pub const PATH: &str = "/metrics";

/// Upper ends of the buckets of a histogram, in seconds. They span from a
/// decision within the box to the longest request that an operator allows.
const BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];
/// Most series, each of some 300 bytes. Labels with names from outside could
/// otherwise fill the memory.
const SERIES: usize = 512;

/// All series of the process.
#[derive(Clone, Default)]
pub struct Registry(Arc<Mutex<Series>>);

#[derive(Default)]
struct Series {
    counters: HashMap<Key, Arc<AtomicU64>>,
    gauges: HashMap<Key, Arc<AtomicU64>>,
    histograms: HashMap<Key, Arc<Buckets>>,
    help: BTreeMap<KeyName, SharedString>,
    /// Uses of series that there was no room for.
    refused: u64,
}

/// A histogram.
#[derive(Default)]
struct Buckets {
    /// Samples per bucket, those above the last end after it.
    counts: [AtomicU64; BUCKETS.len() + 1],
    /// The sum of all samples, as the bits of an `f64`.
    sum: AtomicU64,
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKETS.partition_point(|end| *end < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        GaugeFn::increment(&self.sum, value);
    }
}

/// Makes a registry the recorder of the process.
///
/// # Errors
///
/// There is a recorder already.
pub fn install() -> Result<Registry, ::metrics::SetRecorderError<Registry>> {
    let registry = Registry::default();
    ::metrics::set_global_recorder(registry.clone())?;
    Ok(registry)
}

/// Answers to whoever asks at `listener` for the figures of `registry`.
pub async fn serve(listener: Listener, registry: Registry) {
    let page = |path: &str| match path {
        PATH => Page::new("200 OK", registry.render()),
        _ => Page::not_found(),
    };
    ready::serve_pages("metrics", listener, &page).await;
}

impl Registry {
    /// All figures in the text format of Prometheus.
    pub fn render(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for (name, rows) in by_name(&series.counters) {
            series.begin(&mut text, name, "counter");
            for (key, value) in rows {
                let value = value.load(Ordering::Relaxed);
                line(&mut text, name, "", key.labels(), None, value);
            }
        }
        for (name, rows) in by_name(&series.gauges) {
            series.begin(&mut text, name, "gauge");
            for (key, value) in rows {
                let value = f64::from_bits(value.load(Ordering::Relaxed));
                line(&mut text, name, "", key.labels(), None, value);
            }
        }
        for (name, rows) in by_name(&series.histograms) {
            series.begin(&mut text, name, "histogram");
            for (key, buckets) in rows {
                buckets.render(&mut text, key);
            }
        }
        let refused = "tidepier_metrics_refused_total";
        series.begin(&mut text, refused, "counter");
        line(&mut text, refused, "", [].iter(), None, series.refused);
        text
    }

    fn series(&self) -> MutexGuard<'_, Series> {
        // The maps are whole between any two statements that change them.
        let series = self.0.lock();
        series.unwrap_or_else(|poison| poison.into_inner())
    }
}

impl Series {
    fn has_room(&mut self) -> bool {
        let used = self.counters.len() + self.gauges.len() + self.histograms.len();
        let room = used < SERIES;
        if !room {
            self.refused += 1;
        }
        room
    }

    fn begin(&self, text: &mut String, name: &str, kind: &str) {
        if let Some(help) = self.help.get(name) {
            put(text, format_args!("# HELP {name} {help}\n"));
        }
        put(text, format_args!("# TYPE {name} {kind}\n"));
    }
}

impl Buckets {
    fn render(&self, text: &mut String, key: &Key) {
        let name = key.name();
        let mut count = 0;
        let ends = BUCKETS.iter().copied().chain([f64::INFINITY]);
        for (end, samples) in ends.zip(&self.counts) {
            count += samples.load(Ordering::Relaxed);
            line(text, name, "_bucket", key.labels(), Some(end), count);
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        line(text, name, "_sum", key.labels(), None, sum);
        line(text, name, "_count", key.labels(), None, count);
    }
}

/// The series of each name, in the order of their names and labels.
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

fn line<'a>(
    text: &mut String,
    name: &str,
    suffix: &str,
    labels: impl Iterator<Item = &'a Label>,
    end: Option<f64>,
    value: impl std::fmt::Display,
) {
    put(text, format_args!("{name}{suffix}"));
    let mut mark = '{';
    for label in labels {
        put(text, format_args!("{mark}{}=\"", label.key()));
        escape(text, label.value());
        text.push('"');
        mark = ',';
    }
    match end {
        Some(f64::INFINITY) => put(text, format_args!("{mark}le=\"+Inf\"}}")),
        Some(end) => put(text, format_args!("{mark}le=\"{end}\"}}")),
        None if mark == ',' => text.push('}'),
        None => {}
    }
    put(text, format_args!(" {value}\n"));
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

fn put(text: &mut String, part: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
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
