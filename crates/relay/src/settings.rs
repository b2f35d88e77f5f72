//! The settings of one router process.
//!
//! A settings file is JSON. The platform writes it from
//! `deploy/relay.json.template` before each start and whenever a value
//! changes. What the platform leaves out has a default here; fields that are
//! unknown are ignored, so that a newer platform may add some.
//!
//! Invariant: settings that [`read`] returns are within range.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use tidepier_ids as ids;

/// Longest time span of a setting: a day.
const SPAN_MOST: Duration = Duration::from_secs(86_400);

/// Interval of a server's signs of life when none is given. The platform's
/// usual figure.
const SERVER_BEAT: Millis = Millis(1_200);

/// Memory of the process, in megabytes, when no limit is given. Half of what
/// the platform usually grants, so that a missing value errs on the low side.
const MEMORY_MB: u32 = 128;
/// File descriptors when no limit is given: the usual soft limit of Linux.
const DESCRIPTORS: u32 = 1_024;
/// Share of a core when none is given.
const CPU_SHARE: f64 = 1.0;
/// Bandwidth of the box's link, in megabits per second, when none is given.
const LINK_MBPS: f64 = 1_000.0;

/// Writing calls to the store that all boxes may make per second, when no
/// figure is given. Half of the platform's usual figure.
const WRITES_PER_S: f64 = 200.0;
/// Reading calls to the store that all boxes may make per second, when no
/// figure is given. Half of the platform's usual figure.
const READS_PER_S: f64 = 1_000.0;

/// Default of [`Bounds::leave_within`]. The platform's usual figure, as are
/// those that follow unless they say otherwise.
const LEAVE_WITHIN: Millis = Millis(2_000);
/// Default of [`Bounds::stop_within`].
const STOP_WITHIN: Millis = Millis(8_000);
/// Default of [`Bounds::apply_within`].
const APPLY_WITHIN: Millis = Millis(2_000);
/// Default of [`Bounds::revoke_within`].
const REVOKE_WITHIN: Millis = Millis(5_000);
/// Default of [`Bounds::revoke_when_blind`]: the safe side.
const REVOKE_WHEN_BLIND: bool = true;
/// Default of [`Bounds::retry_share`]. Half of the platform's usual figure:
/// without one, the safe side is to send less.
const RETRY_SHARE: f64 = 0.1;
/// Default of [`Bounds::retry_window`].
const RETRY_WINDOW: Millis = Millis(10_000);
/// Default of [`Bounds::retry_extra`], in requests: the safe side.
const RETRY_EXTRA: u32 = 0;
/// Default of [`Bounds::event_within`].
const EVENT_WITHIN: Millis = Millis(120);
/// Default of [`Bounds::crowd_factor`], in multiples of the mean.
const CROWD_FACTOR: f64 = 2.0;
/// Default of [`Bounds::recover_within`].
const RECOVER_WITHIN: Millis = Millis(12_000);
/// Default of [`Bounds::contact`].
const CONTACT: Millis = Millis(3_000);
/// Default of [`Bounds::address_rest`].
const ADDRESS_REST: Millis = Millis(2_000);
/// Default of [`Bounds::loss_slack`].
const LOSS_SLACK: Millis = Millis(200);
/// Default of [`Bounds::step_back_within`].
const STEP_BACK_WITHIN: Millis = Millis(250);
/// Default of [`Bounds::prompt_kept`].
const PROMPT_KEPT: Millis = Millis(10_000);

/// A time span in whole milliseconds, of at most a day. Written `250ms`,
/// `1.5s`, or as a plain number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis(u64);

impl Millis {
    /// As a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A text that is no time span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSpan(String);

impl fmt::Display for InvalidSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "found {:?}; allowed: 0ms to 86400s, as 250ms or 1.5s",
            self.0
        )
    }
}

impl std::error::Error for InvalidSpan {}

impl FromStr for Millis {
    type Err = InvalidSpan;

    fn from_str(text: &str) -> Result<Self, InvalidSpan> {
        let (number, unit) = if let Some(number) = text.strip_suffix("ms") {
            (number, 1.0)
        } else if let Some(number) = text.strip_suffix('s') {
            (number, 1_000.0)
        } else {
            (text, 1.0)
        };
        let number = number.trim().parse::<f64>();
        let millis = number.map_err(|_| InvalidSpan(text.into()))? * unit;
        if (0.0..=SPAN_MOST.as_millis() as f64).contains(&millis) {
            Ok(Self(millis.round() as u64))
        } else {
            Err(InvalidSpan(text.into()))
        }
    }
}

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Written {
            Number(serde_json::Number),
            Text(String),
        }
        let text = match Written::deserialize(deserializer)? {
            Written::Number(number) => number.to_string(),
            Written::Text(text) => text,
        };
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A range of ports, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "[u16; 2]")]
pub struct Ports {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl From<[u16; 2]> for Ports {
    fn from([first, last]: [u16; 2]) -> Self {
        Self { first, last }
    }
}

/// The settings of a router process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The box that the process runs on.
    pub name: ids::Box,
    /// Its data hall.
    pub hall: ids::Hall,
    /// All halls, each with its region.
    #[serde(default)]
    pub halls: BTreeMap<ids::Hall, String>,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the process is ready.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Where other boxes find this one by [`Settings::seeds`].
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Where the process tells its metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Ports that boxes may use among themselves.
    #[serde(default)]
    pub peer_ports: Option<Ports>,
    /// Control addresses of some boxes; they may be stale or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet as a whole starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Time between two signs of life of a server.
    #[serde(default = "server_beat")]
    pub server_beat: Millis,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The platform's store.
    pub store: Store,
    /// What may be lost at once.
    #[serde(default)]
    pub losses: Losses,
    /// Promised times and shares.
    #[serde(default)]
    pub bounds: Bounds,
}

fn server_beat() -> Millis {
    SERVER_BEAT
}

/// What the process may use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in megabytes; the process is killed above it.
    pub memory_mb: u32,
    /// File descriptors.
    pub descriptors: u32,
    /// Share of a core.
    pub cpu_share: f64,
    /// Bandwidth of the box's link, in megabits per second.
    pub link_mbps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            descriptors: DESCRIPTORS,
            cpu_share: CPU_SHARE,
            link_mbps: LINK_MBPS,
        }
    }
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writing calls per second of all boxes together.
    #[serde(default = "writes_per_s")]
    pub writes_per_s: f64,
    /// Reading calls per second of all boxes together.
    #[serde(default = "reads_per_s")]
    pub reads_per_s: f64,
}

fn writes_per_s() -> f64 {
    WRITES_PER_S
}

fn reads_per_s() -> f64 {
    READS_PER_S
}

/// What may be lost at once with every promise kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct Losses {
    /// Boxes; `None` when it is not told.
    pub boxes: Option<u32>,
    /// Halls.
    pub halls: u32,
    /// Regions.
    pub regions: u32,
}

/// Promised times and shares.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// A server that leaves gets no request later than this.
    pub leave_within: Millis,
    /// Time from the request to stop until the process is killed.
    pub stop_within: Millis,
    /// A configuration is in force everywhere after this.
    pub apply_within: Millis,
    /// A key that was taken away opens nothing after this.
    pub revoke_within: Millis,
    /// Whether [`Bounds::revoke_within`] also holds for a box that does not
    /// reach the store.
    pub revoke_when_blind: bool,
    /// Repeats that a service may get per request of a window.
    pub retry_share: f64,
    /// The window over which repeats are counted.
    pub retry_window: Millis,
    /// Repeats that a service may get per window beyond its share.
    pub retry_extra: u32,
    /// An event of a stream is passed on within this.
    pub event_within: Millis,
    /// Most load of one server, in multiples of the mean of its service.
    pub crowd_factor: f64,
    /// After a loss of all boxes, requests are served again within this.
    pub recover_within: Millis,
    /// A box counts as in touch after so long without a disturbance.
    pub contact: Millis,
    /// An address rests for so long before another server may get it.
    pub address_rest: Millis,
    /// A request that was read this long ago may not be lost by a planned stop.
    pub loss_slack: Millis,
    /// After a configuration showed, no older one may show later than this.
    pub step_back_within: Millis,
    /// A prompt part counts as kept for so long after its last use.
    pub prompt_kept: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            leave_within: LEAVE_WITHIN,
            stop_within: STOP_WITHIN,
            apply_within: APPLY_WITHIN,
            revoke_within: REVOKE_WITHIN,
            revoke_when_blind: REVOKE_WHEN_BLIND,
            retry_share: RETRY_SHARE,
            retry_window: RETRY_WINDOW,
            retry_extra: RETRY_EXTRA,
            event_within: EVENT_WITHIN,
            crowd_factor: CROWD_FACTOR,
            recover_within: RECOVER_WITHIN,
            contact: CONTACT,
            address_rest: ADDRESS_REST,
            loss_slack: LOSS_SLACK,
            step_back_within: STEP_BACK_WITHIN,
            prompt_kept: PROMPT_KEPT,
        }
    }
}

/// A value out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutOfRange {
    /// The field, with the sections that hold it.
    pub field: &'static str,
    /// The value.
    pub found: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl fmt::Display for OutOfRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { found, allowed, .. } = self;
        write!(f, "found {found}; allowed: {allowed}")
    }
}

impl std::error::Error for OutOfRange {}

/// Why settings could not be read.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is no JSON, lacks a field, or has a value of another type.
    Json {
        /// The file.
        file: PathBuf,
        /// The field at which reading ended.
        field: String,
        /// Why, and the line.
        source: serde_json::Error,
    },
    /// A value is out of range.
    Range {
        /// The file.
        file: PathBuf,
        /// The line of the field; 0 when it cannot be told.
        line: usize,
        /// The field and its value.
        source: OutOfRange,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File { file, source } => write!(f, "{}: {source}", file.display()),
            Error::Json {
                file,
                field,
                source,
            } => {
                let line = source.line();
                write!(f, "{}:{line}: at {field}: {source}", file.display())
            }
            Error::Range { file, line, source } => {
                let field = source.field;
                write!(f, "{}:{line}: at {field}: {source}", file.display())
            }
        }
    }
}

// `Display` tells the cause already, so that no `source` repeats it.
impl std::error::Error for Error {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, is malformed, or has a value out of range.
pub fn read(file: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(file).map_err(|source| Error::File {
        file: file.into(),
        source,
    })?;
    let settings = serde_json::from_str::<Settings>(&text).map_err(|source| Error::Json {
        file: file.into(),
        field: field_before(&text, source.line(), source.column()),
        source,
    })?;
    settings.check().map_err(|source| Error::Range {
        file: file.into(),
        line: line_of(&text, source.field),
        source,
    })?;
    Ok(settings)
}

/// The last key at or before a place of the text, which the parser's errors
/// about values do not name.
fn field_before(text: &str, line: usize, column: usize) -> String {
    let before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let start: usize = before.map(str::len).sum();
    let end = (start + column).min(text.len());
    let head = text.get(..end).unwrap_or(text);
    let key = head.rmatch_indices("\":").find_map(|(colon, _)| {
        let opening = head[..colon].rfind('"')?;
        Some(&head[opening + 1..colon])
    });
    key.unwrap_or("the start").into()
}

/// The line that gives a field; 0 when it is not given.
fn line_of(text: &str, field: &str) -> usize {
    let key = format!("\"{}\"", field.rsplit('.').next().unwrap_or(field));
    let at = text.lines().position(|line| line.contains(&key));
    at.map_or(0, |at| at + 1)
}

impl Settings {
    /// Checks what the types do not.
    ///
    /// # Errors
    ///
    /// The first value out of range.
    pub fn check(&self) -> Result<(), OutOfRange> {
        let bounds = &self.bounds;
        let limits = &self.limits;
        span("server_beat", self.server_beat)?;
        span("bounds.stop_within", bounds.stop_within)?;
        span("bounds.apply_within", bounds.apply_within)?;
        span("bounds.revoke_within", bounds.revoke_within)?;
        span("bounds.retry_window", bounds.retry_window)?;
        span("bounds.event_within", bounds.event_within)?;
        span("bounds.contact", bounds.contact)?;
        positive("bounds.crowd_factor", bounds.crowd_factor)?;
        positive("limits.cpu_share", limits.cpu_share)?;
        positive("limits.link_mbps", limits.link_mbps)?;
        positive("limits.memory_mb", f64::from(limits.memory_mb))?;
        positive("limits.descriptors", f64::from(limits.descriptors))?;
        positive("store.writes_per_s", self.store.writes_per_s)?;
        positive("store.reads_per_s", self.store.reads_per_s)?;
        share("bounds.retry_share", bounds.retry_share)?;
        match self.peer_ports {
            Some(ports) => ports.check(),
            None => Ok(()),
        }
    }
}

impl Ports {
    fn check(self) -> Result<(), OutOfRange> {
        if 0 < self.first && self.first <= self.last {
            return Ok(());
        }
        Err(OutOfRange {
            field: "peer_ports",
            found: format!("{} to {}", self.first, self.last),
            allowed: "a first port from 1 and a last port not before it",
        })
    }
}

fn span(field: &'static str, found: Millis) -> Result<(), OutOfRange> {
    if found.duration() > Duration::ZERO {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "more than 0ms",
    })
}

fn positive(field: &'static str, found: f64) -> Result<(), OutOfRange> {
    if found > 0.0 {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "more than 0",
    })
}

fn share(field: &'static str, found: f64) -> Result<(), OutOfRange> {
    if (0.0..=1.0).contains(&found) {
        return Ok(());
    }
    Err(OutOfRange {
        field,
        found: found.to_string(),
        allowed: "0 to 1",
    })
}
