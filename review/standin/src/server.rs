//! A server of a plain service, as PROTOCOL.md describes it.

use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Head};
use crate::record::Record;
use crate::store::Store;

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Requests that it queues.
    pub queue: usize,
    /// Time that it works on one request, in the mean; from half to one and a half of that.
    pub work: Duration,
    /// Time that a message takes from or to it, one way.
    pub way: Duration,
    /// Every how many answers of an episode of wrong bytes one is followed by a second copy,
    /// which comes in the place of the next answer on its connection; 0: never.
    pub extra_every: u64,
    /// Share of its answers that are failures of its own.
    pub bad_share: f64,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub settings: Settings,
    pub address: SocketAddr,
    store: Arc<Store>,
    record: Record,
    load: (Mutex<Load>, Condvar),
    answers: AtomicU64,
    extras: AtomicU64,
    /// Answers in episodes of wrong bytes.
    garbling_answers: AtomicU64,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<(f64, String)>>,
    bad: Mutex<Vec<f64>>,
    conns: Mutex<Vec<TcpStream>>,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    sequence: AtomicU64,
}

/// A request that the server has begun work on.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub began: f64,
    pub finished: bool,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(ip: IpAddr, settings: Settings, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a server's address");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a socket");
        let server = Arc::new(Self {
            settings,
            address,
            store: store.clone(),
            record: record.clone(),
            load: Default::default(),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            garbling_answers: AtomicU64::new(0),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            bad: Mutex::default(),
            conns: Mutex::default(),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });
        server.announce();
        let serving = server.clone();
        thread::spawn(move || {
            while !serving.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            serving.conns.lock().unwrap().push(copy);
                        }
                        let server = serving.clone();
                        thread::spawn(move || server.serve(Conn::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        server
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Writes the server's entry. Its heartbeats change nothing but `sequence`, by which the
    /// entry does not change, and are left out.
    fn announce(&self) {
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let it = &self.settings;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{}}}",
            it.service,
            self.address,
            it.zone,
            it.version,
            it.slots,
            self.sequence.fetch_add(1, Ordering::SeqCst),
        );
        self.store.put(&format!("servers/{}", it.id), &entry);
    }

    /// Says `draining` in the store; returns when the store has taken that.
    pub fn drain(&self) -> f64 {
        self.is_draining.store(true, Ordering::SeqCst);
        self.announce();
        let at = self.record.now();
        let id = &self.settings.id;
        self.record.add(format!(
            "server {id}: the store has taken that it is draining"
        ));
        at
    }

    /// Ends the server: its entry goes, its connections close and its port refuses.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.settings.id));
        for stream in self.conns.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record
            .add(format!("server {}: has ended", self.settings.id));
    }

    /// All requests that it has begun work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// When requests reached it, with their ids; without those that got 421.
    pub fn arrivals(&self) -> Vec<(f64, String)> {
        self.arrivals.lock().unwrap().clone()
    }

    /// When it answered with a failure of its own.
    pub fn bad_answers(&self) -> Vec<f64> {
        self.bad.lock().unwrap().clone()
    }

    /// Answers, and second copies among them.
    pub fn counts(&self) -> (u64, u64) {
        let count = |it: &AtomicU64| it.load(Ordering::SeqCst);
        (count(&self.answers), count(&self.extras))
    }

    fn serve(&self, mut conn: Conn) {
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            thread::sleep(self.settings.way);
            // A copy that is due after the episode does not come.
            let is_garbling = crate::is_garbling(self.record.now());
            if let Some(bytes) = extra.take().filter(|_| is_garbling) {
                self.extras.fetch_add(1, Ordering::SeqCst);
                let first = String::from_utf8_lossy(&bytes);
                let first = first.lines().take(2).collect::<Vec<_>>().join(", ");
                self.record.add(format!(
                    "server {}: sends its second copy of: {first}",
                    self.settings.id
                ));
                if conn.write(&bytes).is_err() {
                    return;
                }
            }
            let bytes = self.handle(&head, &body);
            thread::sleep(self.settings.way);
            self.answers.fetch_add(1, Ordering::SeqCst);
            let every = self.settings.extra_every;
            let is_due = every > 0 && crate::is_garbling(self.record.now()) && {
                let number = self.garbling_answers.fetch_add(1, Ordering::SeqCst) + 1;
                number.is_multiple_of(every)
            };
            if is_due {
                extra = Some(bytes.clone());
            }
            if self.has_ended() || conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, _body: &[u8]) -> Vec<u8> {
        let (id, now) = (&self.settings.id, self.record.now());
        if head.target() == "/healthz" {
            return http::answer(200, &[("Instance-Id", id)], b"");
        }
        let Some(attempt) = head.field("Attempt-Id").map(str::to_owned) else {
            return http::answer(400, &[("Not-Executed", "1")], b"");
        };
        let named = ("Attempt-Id", attempt.as_str());
        if head
            .field("Target-Instance")
            .is_some_and(|target| target != id)
        {
            self.record
                .add(format!("server {id}: {attempt} is for another server: 421"));
            return http::answer(421, &[named, ("Not-Executed", "1")], b"");
        }
        self.arrivals.lock().unwrap().push((now, attempt.clone()));
        let reject = |why: &str| {
            self.record
                .add(format!("server {id}: {attempt} is not run ({why}): 503"));
            http::answer(503, &[named, ("Not-Executed", "1")], b"")
        };
        let left = head.field("Deadline-Ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        {
            let mut load = self.load.0.lock().unwrap();
            if load.running >= self.settings.slots {
                if load.waiting >= self.settings.queue {
                    drop(load);
                    return reject("full");
                }
                load.waiting += 1;
                while load.running >= self.settings.slots && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    load = self.load.1.wait_timeout(load, left).unwrap().0;
                }
                load.waiting -= 1;
                if load.running >= self.settings.slots {
                    drop(load);
                    return reject("its time was over in the queue");
                }
            }
            load.running += 1;
        }
        let began = self.record.now();
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.clone(),
                began,
                finished: false,
            });
            runs.len() - 1
        };
        self.record.add(format!(
            "server {id}: runs {attempt} (arrived {now:.4} s, run {number})"
        ));
        // Spread evenly, in an order that differs from the requests'.
        let part = (number * 37 % 101) as f64 / 100.0;
        thread::sleep(self.settings.work.mul_f64(0.5 + part));
        self.runs.lock().unwrap()[number].finished = !self.has_ended();
        self.load.0.lock().unwrap().running -= 1;
        self.load.1.notify_all();
        let seal = format!("{id}.{attempt}.{number}");
        // Every so many runs, spread evenly.
        let share = self.settings.bad_share;
        let is_bad = ((number + 1) as f64 * share).floor() > (number as f64 * share).floor();
        if is_bad {
            self.bad.lock().unwrap().push(self.record.now());
            return http::answer(500, &[named, ("Response-Seal", &seal)], b"");
        }
        let body = format!("{{\"done\":\"{attempt}\"}}");
        http::answer(200, &[named, ("Response-Seal", &seal)], body.as_bytes())
    }
}
