//! Which release of a service began a stream.
//!
//! Servers of several releases may serve one service, and what two of them write of one
//! stream does not fit together. Servers do not check this. A client that takes a stream
//! up names the attempt that brought its first event, at any box.
//!
//! * [`table`]: the origins that this box knows.
//! * [`keepers`]: the boxes that keep the origin of a stream.
//! * [`ledger`]: the releases that each service has had, in the store, for boxes that start.
//!
//! A service that has had one release for as long as a stream may last needs none of this: its
//! streams have one origin. As soon as this is no longer certain, a box tells the keepers of
//! all streams that it began recently.
//!
//! Invariants:
//!
//! * A stream that may be resumed goes on only at servers of the release that wrote its
//!   first event. If the release is not known, it does not go on.
//! * A service counts as having one release only on a box whose view was confirmed within
//!   the time for which a new release gets no streams: no box sends streams to a release
//!   that such a box does not know.

pub mod keepers;
pub mod ledger;
pub mod table;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_core::catalog::{Catalog, Kind, Version};
use tidepier_core::server::{Release, Server};
use tidepier_ids as ids;
use xxhash_rust::xxh3::Xxh3;

use crate::notifier::Notifier;
use keepers::Keepers;
use ledger::Ledger;
use table::Table;

/// Time from the first event of a stream until its client takes it up for the last time, in
/// multiples of the longest time-out of a route: a client tries a few times.
const WINDOW_TIMEOUTS: u32 = 4;
/// The shortest such time.
pub const WINDOW_MIN: Duration = Duration::from_secs(30);
/// The longest such time.
const WINDOW_MAX: Duration = Duration::from_secs(600);
/// Most streams of a service whose origin is told to nobody yet: those of 20 minutes on one of
/// 1,000 boxes with 7,000 streams a second together.
const UNTOLD_MAX: usize = 8_192;
/// Most origins that wait to be told.
const OUTBOX_MAX: usize = 16_384;

/// The name of a release; `None` for servers that report none.
pub type Name = Option<Release>;

/// A release of a service: a hash of both names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// The origin of streams that servers of this release begin. Servers that report no
    /// release count as being of one release.
    pub fn new(service: &ids::Service, release: Option<&Release>) -> Self {
        let mut hash = Xxh3::new();
        hash.update(service.as_str().as_bytes());
        // No name contains a zero byte, which keeps the two apart.
        hash.update(&[0]);
        hash.update(release.map_or(&[], |release| release.as_str().as_bytes()));
        Self(hash.digest())
    }

    /// The origin of streams that this server begins.
    pub fn of(server: &Server) -> Self {
        Self::new(&server.service, server.release.as_ref())
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A client's attempt that brought the first event of a stream: a hash of its id and the
/// caller, so that no caller can name a stream of another.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stream(u64);

impl Stream {
    /// The stream that an attempt of a caller began.
    pub fn new(caller: &str, attempt: &str) -> Self {
        let mut hash = Xxh3::new();
        // The length keeps two texts apart from their concatenation.
        hash.update(&(caller.len() as u64).to_le_bytes());
        hash.update(caller.as_bytes());
        hash.update(attempt.as_bytes());
        Self(hash.digest())
    }
}

/// The origin of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Stream, Origin)", into = "(Stream, Origin)")]
pub struct Record {
    /// The stream.
    pub stream: Stream,
    /// The release that began it.
    pub origin: Origin,
}

impl From<(Stream, Origin)> for Record {
    fn from((stream, origin): (Stream, Origin)) -> Self {
        Self { stream, origin }
    }
}

impl From<Record> for (Stream, Origin) {
    fn from(record: Record) -> Self {
        (record.stream, record.origin)
    }
}

/// What one box knows of the origins of streams, and what it has to tell.
pub struct Origins {
    /// The origins that this box knows.
    pub table: Table,
    /// The releases in the store.
    pub ledger: Ledger,
    /// Notified when there is something to tell.
    pub queued: Notifier,
    keepers: RefCell<Rc<Keepers>>,
    window: Cell<Duration>,
    /// The version of the catalog that the window is derived from.
    window_of: Cell<Version>,
    outbox: RefCell<Vec<Record>>,
    /// Streams of services with one release, with the time at which they began.
    untold: RefCell<HashMap<ids::Service, VecDeque<(Instant, Record)>>>,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            table: Table::default(),
            ledger: Ledger::default(),
            queued: Notifier::default(),
            keepers: RefCell::default(),
            window: Cell::new(WINDOW_MIN),
            window_of: Cell::default(),
            outbox: RefCell::default(),
            untold: RefCell::default(),
        }
    }
}

impl Origins {
    /// How long an origin is kept.
    pub fn window(&self) -> Duration {
        self.window.get()
    }

    /// Derives the window from the routes in force.
    pub fn set_window(&self, catalog: &Catalog) {
        if self.window_of.replace(catalog.version) == catalog.version {
            return;
        }
        let routes = catalog.routes.values().flatten();
        let resumable = routes.filter(|it| it.kind == Kind::Stream { resumable: true });
        let longest = resumable.map(|it| it.timeout).max().unwrap_or_default();
        let window = (longest * WINDOW_TIMEOUTS).clamp(WINDOW_MIN, WINDOW_MAX);
        self.window.set(window);
    }

    /// The boxes that keep origins.
    pub fn keepers(&self) -> Rc<Keepers> {
        self.keepers.borrow().clone()
    }

    /// Sets the boxes that keep origins.
    pub fn set_keepers(&self, keepers: Keepers) {
        *self.keepers.borrow_mut() = Rc::new(keepers);
    }

    /// Records that a stream begins here. `is_sole`: its service has one release only, so
    /// that nobody has to be told.
    pub fn began(&self, service: &ids::Service, record: Record, is_sole: bool, now: Instant) {
        self.table.insert(record, self.window(), now);
        if !is_sole {
            self.tell([record]);
            return;
        }
        let mut untold = self.untold.borrow_mut();
        let streams = untold.entry(service.clone()).or_default();
        if streams.len() == UNTOLD_MAX {
            streams.pop_front();
        }
        streams.push_back((now, record));
    }

    /// Tells of the streams of each service of which it is no longer certain that it has one
    /// release only, and forgets those that are over.
    pub fn update(&self, is_sole: impl Fn(&ids::Service) -> bool, now: Instant) {
        self.table.remove_expired(now);
        let window = self.window();
        self.untold.borrow_mut().retain(|service, streams| {
            while streams.front().is_some_and(|(at, _)| *at + window <= now) {
                streams.pop_front();
            }
            let keeps = is_sole(service);
            if !keeps {
                self.tell(streams.iter().map(|(_, record)| *record));
            }
            keeps && !streams.is_empty()
        });
    }

    fn tell(&self, records: impl IntoIterator<Item = Record>) {
        let mut outbox = self.outbox.borrow_mut();
        for record in records {
            if outbox.len() == OUTBOX_MAX {
                metrics::counter!("tidepier_stream_origins_dropped_total").increment(1);
                continue;
            }
            outbox.push(record);
        }
        if !outbox.is_empty() {
            self.queued.notify();
        }
    }

    /// Takes what is to be told.
    pub fn take_outbox(&self) -> Vec<Record> {
        self.outbox.take()
    }
}
