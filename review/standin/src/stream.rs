//! A server that answers with a series of events, and a client that reads one.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Conn};
use crate::record::Record;
use crate::store::Store;

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Events of an answer.
    pub events: u64,
    /// Pause between two events.
    pub pause: Duration,
    /// Every how many answers of an episode of wrong bytes one has no length and ends with its
    /// connection; 0: never.
    pub unframed_every: u64,
}

pub struct Server {
    settings: Settings,
    record: Record,
    answers: AtomicU64,
    /// Answers without a length that are under way, by attempt.
    unframed: Mutex<Vec<String>>,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(ip: IpAddr, settings: Settings, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a server's address");
        let address = listener.local_addr().expect("an address");
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            settings.service, settings.zone,
        );
        store.put(&format!("servers/{}", settings.id), &entry);
        let server = Arc::new(Self {
            settings,
            record: record.clone(),
            answers: AtomicU64::new(0),
            unframed: Mutex::default(),
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        server
    }

    /// The attempts whose answers, without a length, are under way.
    pub fn unframed(&self) -> Vec<String> {
        self.unframed.lock().unwrap().clone()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.head() {
            if conn.body(&head).is_err() {
                return;
            }
            let attempt = head.field("Attempt-Id").unwrap_or("").to_owned();
            let every = self.settings.unframed_every;
            let is_unframed = every > 0 && crate::is_garbling(self.record.now()) && {
                let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
                number.is_multiple_of(every)
            };
            if is_unframed {
                self.unframed.lock().unwrap().push(attempt.clone());
            }
            let sent = self.answer(&mut conn, &attempt, is_unframed);
            self.unframed.lock().unwrap().retain(|it| *it != attempt);
            let (id, events) = (&self.settings.id, self.settings.events);
            let kind = if is_unframed {
                "without a length"
            } else {
                "in chunks"
            };
            self.record.add(match sent {
                Ok(()) => format!("server {id}: {attempt}: sent all {events} events, {kind}"),
                Err(count) => {
                    format!("server {id}: {attempt}: cut off after {count} events, {kind}")
                }
            });
            if is_unframed || sent.is_err() {
                return;
            }
        }
    }

    /// Sends an answer; the number of events that were sent if its connection ended before.
    fn answer(&self, conn: &mut Conn, attempt: &str, is_unframed: bool) -> Result<(), u64> {
        let framing = match is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 -\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.settings.id
        );
        conn.write(head.as_bytes()).map_err(|_| 0u64)?;
        for event in 1..=self.settings.events {
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            let bytes = match is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            conn.write(bytes.as_bytes()).map_err(|_| event - 1)?;
            thread::sleep(self.settings.pause);
        }
        if is_unframed {
            return Ok(());
        }
        conn.write(b"0\r\n\r\n").map_err(|_| self.settings.events)
    }
}

/// What a client got of an answer.
#[derive(Clone, Debug)]
pub struct Got {
    pub id: String,
    pub status: u16,
    pub seal: Option<String>,
    /// Whether the answer says where it ends: by its chunks or its length.
    pub is_framed: bool,
    /// Whole events.
    pub events: u64,
    /// Whether it ended as a complete answer does: by its last chunk, by its length or, where
    /// it has neither, by an orderly end of the connection.
    pub looks_complete: bool,
}

/// Asks for a stream on a new connection and reads it to its end.
pub fn read(router: SocketAddr, id: &str, target: &str, key: &str) -> Got {
    let mut got = Got {
        id: id.into(),
        status: 0,
        seal: None,
        is_framed: true,
        events: 0,
        looks_complete: false,
    };
    let bearer = format!("Bearer {key}");
    let fields = [
        ("Host", "site.example"),
        ("Attempt-Id", id),
        ("Deadline-Ms", "15000"),
        ("Authorization", &bearer),
    ];
    let bytes = http::request("POST", target, &fields, b"note");
    let Ok(mut conn) = Conn::open(router) else {
        return got;
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(16)));
    if conn.write(&bytes).is_err() {
        return got;
    }
    let Ok(Some(head)) = conn.head() else {
        return got;
    };
    got.status = head.status();
    got.seal = head.field("Response-Seal").map(str::to_owned);
    let is_chunked = head.field("Transfer-Encoding").is_some();
    got.is_framed = is_chunked || head.field("Content-Length").is_some();
    let mut body = Vec::new();
    got.looks_complete = match got.is_framed {
        true => conn.framed_body(&head, &mut body).is_ok(),
        // `Ok` only if the connection ended in order; a reset is an error.
        false => conn.rest(&mut body).is_ok(),
    };
    let text = String::from_utf8_lossy(&body);
    got.events = text.matches("\n\n").count() as u64;
    got
}
