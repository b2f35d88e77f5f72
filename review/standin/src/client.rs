//! A client that follows PROTOCOL.md: kept connections, one try more after a promise.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Conn};
use crate::record::Record;

/// One attempt and what came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    /// 0: the connection ended without a whole answer.
    pub status: u16,
    pub seal: Option<String>,
}

impl Attempt {
    /// Whether its answer promises that it has not run and never will.
    pub fn promises(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

pub struct Client {
    pub name: String,
    pub router: SocketAddr,
    pub key: String,
    pub record: Record,
    pub attempts: Attempts,
    conn: Option<Conn>,
    count: u32,
}

impl Client {
    pub fn new(name: String, router: SocketAddr, record: &Record, attempts: &Attempts) -> Self {
        Self {
            name,
            router,
            key: "k-of-the-hotel".into(),
            record: record.clone(),
            attempts: attempts.clone(),
            conn: None,
            count: 0,
        }
    }

    /// Sends a request; once more, with an id of its own and on a new connection, after a
    /// promise.
    pub fn call(&mut self, method: &str, target: &str, body: &str) {
        let first = self.attempt(method, target, body);
        if let Some(wait) = first {
            thread::sleep(wait);
            self.conn = None;
            self.attempt(method, target, body);
        }
    }

    /// One attempt. After a promise, returns the time after which to come back.
    fn attempt(&mut self, method: &str, target: &str, body: &str) -> Option<Duration> {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let bearer = format!("Bearer {}", self.key);
        let bytes = http::request(
            method,
            target,
            &[
                ("Host", "site.example"),
                ("Attempt-Id", &id),
                ("Deadline-Ms", "4000"),
                ("Authorization", &bearer),
            ],
            body.as_bytes(),
        );
        let sent = self.record.now();
        let answer = self.exchange(&bytes);
        let ended = self.record.now();
        let (status, seal, wait) = match &answer {
            Some(head) => {
                let wait = head.field("Retry-After").and_then(|text| text.parse().ok());
                let seal = head.field("Response-Seal").map(str::to_owned);
                (
                    head.status(),
                    seal,
                    Duration::from_secs_f64(wait.unwrap_or(0.1)),
                )
            }
            None => (0, None, Duration::ZERO),
        };
        let attempt = Attempt {
            id: id.clone(),
            sent,
            ended,
            status,
            seal,
        };
        let seal = attempt.seal.as_deref().unwrap_or("-");
        self.record.add(format!(
            "client: {id} sent at {sent:.4} s to {target} is answered {status}, seal {seal}"
        ));
        let promises = attempt.promises();
        self.attempts.lock().unwrap().push(attempt);
        promises.then_some(wait)
    }

    fn exchange(&mut self, bytes: &[u8]) -> Option<http::Head> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::open(self.router).ok()?,
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(5)));
        conn.write(bytes).ok()?;
        let head = conn.head().ok()??;
        conn.body(&head).ok()?;
        let closes = head.field("Connection") == Some("close");
        if !closes {
            self.conn = Some(conn);
        }
        Some(head)
    }
}
