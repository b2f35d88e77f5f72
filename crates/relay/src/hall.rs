//! What this box has seen of the servers of one hall together.
//!
//! When a hall is cut off, each of its servers would otherwise be found silent
//! by itself, and each stream from there would wait for its own time to pass.
//! While several servers of a hall stream, something comes from there every few
//! milliseconds; when nothing does for many times as long, the hall is cut.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;

use crate::notice::Notice;
use crate::relay::Relay;

/// Time that a hall is avoided after it was found silent, unless one of its
/// servers is heard.
const SILENT_TIME: Duration = Duration::from_millis(2_500);
/// What is heard so shortly before one server is found silent refutes the
/// silence of its hall: the server's began before it was found.
const SLACK: Duration = Duration::from_millis(150);
/// Weight of the newest time in the mean time to a hall.
const WAY_WEIGHT: f64 = 0.05;
/// Weight of the newest pause in the mean pause between two signs of a hall.
const PAUSE_WEIGHT: f64 = 0.05;
/// Mean pauses after which a hall counts as silent: by chance alone as seldom as
/// 1 in e^30.
const PAUSES: f64 = 30.0;
/// Shortest silence that counts: a lost packet is sent again within this time,
/// and a model engine that reads a long prompt sends nothing meanwhile.
const SILENCE_MIN: Duration = Duration::from_millis(130);
/// Longest silence that is waited for. After it, a stream that goes on elsewhere
/// has a pause of half a second.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// Streams from so many servers of a hall make its silence a sign: one server
/// may hang by itself.
const SERVERS_MIN: u32 = 2;
/// Streams of a hall that make its silence a sign.
const STREAMS_MIN: u32 = 3;
/// Time between two looks at all halls.
const LOOK_TIME: Duration = Duration::from_millis(25);

/// A silence of a hall.
#[derive(Debug, Clone, Copy)]
struct Silence {
    found: Instant,
    /// What is heard after this refutes it.
    since: Instant,
}

/// One hall.
#[derive(Default)]
pub struct Hall {
    /// Mean time in ms to open a connection to one of its servers.
    way_ms: Cell<Option<f64>>,
    /// Mean pause in ms between two signs of its servers.
    pause_ms: Cell<Option<f64>>,
    heard: Cell<Option<Instant>>,
    silent: Cell<Option<Silence>>,
    /// Streams of this box that come from there.
    streams: Cell<u32>,
    /// Servers that they come from.
    streaming: Cell<u32>,
    /// Notified when it was found silent.
    pub lost: Notice,
}

impl Hall {
    /// Records how long it took to open a connection to one of its servers:
    /// about the time there and back.
    pub fn opened(&self, took: Duration) {
        average(&self.way_ms, WAY_WEIGHT, took);
    }

    /// Mean time there and back in ms, once a connection was opened.
    pub fn way_ms(&self) -> Option<f64> {
        self.way_ms.get()
    }

    /// Records that something came from one of its servers.
    pub fn hear(&self, now: Instant) {
        if let Some(before) = self.heard.replace(Some(now)) {
            let pause = now.duration_since(before).min(SILENCE_MAX);
            average(&self.pause_ms, PAUSE_WEIGHT, pause);
        }
    }

    /// Whether something came from one of its servers less than `most` ago.
    pub fn heard_within(&self, most: Duration, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|heard| now.duration_since(heard) < most)
    }

    /// Records that a stream has begun at a server that had so many before.
    pub fn begin(&self, before: u32) {
        self.streams.set(self.streams.get() + 1);
        if before == 0 {
            self.streaming.set(self.streaming.get() + 1);
        }
    }

    /// Records that a stream has ended at a server that has so many left.
    pub fn end(&self, left: u32) {
        self.streams.set(self.streams.get().saturating_sub(1));
        if left == 0 {
            self.streaming.set(self.streaming.get().saturating_sub(1));
        }
    }

    /// Whether enough comes from it for its silence to be a sign.
    fn is_telling(&self) -> bool {
        self.streaming.get() >= SERVERS_MIN && self.streams.get() >= STREAMS_MIN
    }

    /// Records that one of its servers was found silent.
    pub fn miss(&self, now: Instant) {
        self.silent.set(Some(Silence {
            found: now,
            since: now.checked_sub(SLACK).unwrap_or(now),
        }));
    }

    /// Records that nothing came from any of its servers until now.
    fn lose(&self, now: Instant) {
        self.silent.set(Some(Silence {
            found: now,
            since: now,
        }));
        self.lost.notify();
    }

    /// Whether it seems to be cut off.
    pub fn is_silent(&self, now: Instant) -> bool {
        let Some(silent) = self.silent.get() else {
            return false;
        };
        let heard = self.heard.get();
        let refuted = heard.is_some_and(|heard| heard > silent.since);
        !refuted && now.duration_since(silent.found) < SILENT_TIME
    }

    /// Time without any sign after which it counts as silent.
    fn patience(&self) -> Duration {
        let pause = self.pause_ms.get().unwrap_or(f64::MAX);
        let patience = (PAUSES * pause).min(SILENCE_MAX.as_secs_f64() * 1e3);
        Duration::from_secs_f64(patience / 1e3).max(SILENCE_MIN)
    }
}

fn average(mean_ms: &Cell<Option<f64>>, weight: f64, sample: Duration) {
    let sample = sample.as_secs_f64() * 1e3;
    let mean = mean_ms.get().unwrap_or(sample);
    mean_ms.set(Some(mean + weight * (sample - mean)));
}

/// Looks for halls that have gone silent while they streamed; does not end.
pub async fn watch(relay: Rc<Relay>) {
    loop {
        Timer::after(LOOK_TIME).await;
        look(&relay, Instant::now());
    }
}

/// Finds the halls that are silent.
fn look(relay: &Relay, now: Instant) {
    let halls = relay.fleet.halls();
    for (name, hall) in &halls {
        if !hall.is_telling() || hall.is_silent(now) || hall.heard_within(hall.patience(), now) {
            continue;
        }
        // If nothing comes from anywhere, it is this box that is cut off or stood
        // still.
        let mut others = halls.iter().filter(|(other, _)| other != name);
        if !others.any(|(_, other)| other.heard_within(SILENCE_MIN, now)) {
            continue;
        }
        hall.lose(now);
        log::warn!(
            target: "belief",
            "event=hall_silent hall={name} streams={} servers={} patience_ms={}",
            hall.streams.get(),
            hall.streaming.get(),
            hall.patience().as_millis()
        );
        metrics::counter!("tidepier_halls_silent_total").increment(1);
    }
}
