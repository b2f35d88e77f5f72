//! What a server does on one connection.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use serde_json::json;
use smol::Timer;
use tidepier_core::request::Part;
use tidepier_h1::{Conn, Head};
use xxhash_rust::xxh3::xxh3_64;

use super::desk::Ticket;
use super::{Fault, Outcome, Run, Shared};
use crate::front;
use crate::names;

/// Urgency of a request that gives none.
const PRIORITY_USUAL: u8 = 5;
/// Wait that a busy server asks for, in seconds.
const RETRY_AFTER_S: &str = "0.2";

/// What becomes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    Keep,
    Close,
    Reset,
}

/// Counts an open connection.
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

pub(super) async fn serve(shared: Arc<Shared>, conn: Conn) {
    let (number, crowded) = {
        let mut state = shared.lock();
        state.opened += 1;
        state.open += 1;
        (state.opened - 1, state.open > shared.settings.connections)
    };
    let _open = Open(shared.clone());
    let mut line = Line {
        shared,
        conn,
        number,
        extra: Vec::new(),
        ticket: None,
    };
    let next = if crowded {
        Ok(Next::Reset)
    } else {
        line.serve().await
    };
    match next {
        Ok(Next::Reset) => {
            if let Err(error) = line.conn.writer().reset_on_close() {
                log::debug!("already closed: {error}");
            }
        }
        Ok(_) => {}
        Err(error) => log::debug!("a connection to a server ended: {error}"),
    }
}

/// One connection.
pub(super) struct Line {
    pub(super) shared: Arc<Shared>,
    pub(super) conn: Conn,
    number: usize,
    /// A second answer that is due when the next request comes.
    pub(super) extra: Vec<u8>,
    /// The slot of the request that is worked on.
    ticket: Option<Ticket>,
}

impl Drop for Line {
    /// A crash resets the connections: an answer that ends with its connection would
    /// look whole otherwise.
    fn drop(&mut self) {
        if self.shared.lock().crashed.is_none() {
            return;
        }
        if let Err(error) = self.conn.writer().reset_on_close() {
            log::debug!("already closed: {error}");
        }
    }
}

impl Line {
    async fn serve(&mut self) -> io::Result<Next> {
        loop {
            self.lit().await;
            let Some(head) = self.head().await? else {
                return Ok(Next::Close);
            };
            self.lit().await;
            let extra = std::mem::take(&mut self.extra);
            self.write(&extra).await?;
            let next = self.one(&head).await?;
            if next != Next::Keep || head.closes() {
                return Ok(next);
            }
        }
    }

    /// Waits while the server is dark.
    async fn lit(&self) {
        loop {
            let lit = self.shared.lit.listen();
            if !self.shared.lock().dark {
                return;
            }
            lit.await;
        }
    }

    /// The next head, unless the connection rests for too long.
    async fn head(&mut self) -> io::Result<Option<Head>> {
        let idle = self.shared.lock().idle_close;
        let head = async {
            let head = self.conn.head(front::HEAD_BYTES).await;
            head.map_err(io::Error::other)
        };
        let rested = async {
            match idle {
                Some(idle) => Timer::after(idle).await,
                None => std::future::pending().await,
            };
            Ok(None)
        };
        head.or(rested).await
    }

    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.lit().await;
        self.conn.writer().write_all(bytes).await
    }

    async fn one(&mut self, head: &Head) -> io::Result<Next> {
        let path = head.target().split('?').next().unwrap_or("");
        let probe = if head.method() != "GET" {
            None
        } else if path == self.shared.settings.health_path {
            Some(self.health())
        } else if path == names::REPORT {
            Some(self.report())
        } else if path == names::KEPT {
            Some(self.kept())
        } else {
            None
        };
        let Some(answer) = probe else {
            return self.request(head).await;
        };
        self.shared.lock().probes += 1;
        front::body(&mut self.conn, head).await?;
        self.write(&answer).await?;
        Ok(Next::Keep)
    }

    pub(super) fn load(&self) -> String {
        let load = self.shared.desk.load();
        format!("{},{},{}", load.running, load.waiting, load.slots)
    }

    /// The field by which each answer of a server that leaves says so.
    pub(super) fn leaving(&self) -> Option<(&'static str, &'static str)> {
        let leaving = self.shared.lock().leaving;
        leaving.then_some((names::LEAVING, "1"))
    }

    fn health(&self) -> Vec<u8> {
        let load = self.load();
        let leaving = self.leaving();
        let mut fields = vec![(names::INSTANCE, &*self.shared.settings.id)];
        fields.extend(leaving);
        let busy = self.shared.desk.is_full();
        if busy || self.shared.lock().unwell || leaving.is_some() {
            fields.extend(busy.then_some((names::NOT_EXECUTED, "1")));
            return front::answer(503, &fields, b"");
        }
        fields.push((names::LOAD, &load));
        front::answer(200, &fields, b"")
    }

    fn report(&self) -> Vec<u8> {
        let load = self.shared.desk.load();
        let runs = self.shared.lock().runs.len();
        let report = json!({
            "phase": "mixed", "utilization": false, "sequence": runs, "handles": 0,
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "queued": load.waiting, "active": load.running, "kv_used": 0, "kv_total": 90_000,
        });
        self.listed(report.to_string().as_bytes())
    }

    /// The parts of prompts that it keeps, each as a row.
    fn kept(&self) -> Vec<u8> {
        let state = self.shared.lock();
        let row = |(id, tokens): (&u64, &u32)| json!(["", format!("{id:x}"), tokens, "m"]);
        let held: Vec<_> = state.kept.iter().map(row).collect();
        let list = json!({ "epoch": 1, "next_token": held.len(), "held": held });
        let list = list.to_string().into_bytes();
        let body = state.told_kept.clone().unwrap_or(list);
        drop(state);
        self.listed(&body)
    }

    /// An answer in JSON to what is no request of a client.
    fn listed(&self, body: &[u8]) -> Vec<u8> {
        let mut fields = vec![("Content-Type", "application/json")];
        fields.extend(self.leaving());
        front::answer(200, &fields, body)
    }

    /// Takes a request in: its record, and its fault if one is due.
    fn arrive(&self, head: &Head) -> (usize, Option<Fault>) {
        let owned = |field: tidepier_h1::Field<'_>| (field.name.into(), field.text().into());
        let attempt = head.text(names::ATTEMPT).unwrap_or("");
        let mut state = self.shared.lock();
        let at = state.runs.len();
        let signed = format!("{}/{attempt}/{at}", self.shared.settings.id);
        state.runs.push(Run {
            attempt: attempt.into(),
            method: head.method().into(),
            target: head.target().into(),
            fields: head.fields().map(owned).collect(),
            arrived: Instant::now(),
            body: None,
            connection: self.number,
            closed: None,
            outcome: Outcome::Waiting,
            ended: None,
            seal: format!("{:016x}.{at}", xxh3_64(signed.as_bytes())),
            prefilled: 0,
            made: Vec::new(),
            said_leaving: None,
            said_rest: None,
        });
        let fault = match &mut state.fault {
            Some((fault, count)) if *count > 0 => {
                *count -= u32::from(*count != u32::MAX);
                Some(*fault)
            }
            _ => None,
        };
        (at, fault)
    }

    pub(super) fn run<T>(&self, at: usize, change: impl FnOnce(&mut Run) -> T) -> T {
        change(&mut self.shared.lock().runs[at])
    }

    /// Records what became of a request and frees its slot.
    pub(super) fn end(&mut self, at: usize, outcome: Outcome) {
        self.run(at, |run| {
            run.outcome = outcome;
            run.ended = (outcome != Outcome::Running).then(Instant::now);
        });
        self.ticket = None;
    }

    async fn request(&mut self, head: &Head) -> io::Result<Next> {
        let (at, fault) = self.arrive(head);
        if fault == Some(Fault::Early) {
            return self.early(at, head).await;
        }
        let body = front::body(&mut self.conn, head).await?;
        let ends = self.shared.ends_on(&body);
        self.run(at, |run| run.body = Some(body));
        let id = self.shared.settings.id.clone();
        if head.text(names::ATTEMPT).is_none() {
            return self.refuse(at, 400, &[(names::NOT_EXECUTED, "1")]).await;
        }
        if head.text(names::TARGET).is_some_and(|target| target != id) {
            return self.refuse(at, 421, &[(names::INSTANCE, &id)]).await;
        }
        match fault {
            Some(Fault::Shed) => return self.refuse(at, 503, &[(names::NOT_EXECUTED, "1")]).await,
            Some(Fault::Busy) => {
                let retry = (names::RETRY_AFTER, RETRY_AFTER_S);
                return self
                    .refuse(at, 429, &[(names::NOT_EXECUTED, "1"), retry])
                    .await;
            }
            Some(Fault::Reset) => {
                self.end(at, Outcome::Refused(0));
                return Ok(Next::Reset);
            }
            _ => {}
        }
        let priority = number(head, names::PRIORITY).map_or(PRIORITY_USUAL, |told| told as u8);
        let Some(mut ticket) = self.shared.desk.ticket(priority) else {
            return self.refuse(at, 503, &[(names::NOT_EXECUTED, "1")]).await;
        };
        let arrived = self.run(at, |run| run.arrived);
        let deadline = number(head, names::DEADLINE).map(|ms| arrived + Duration::from_millis(ms));
        match self.watched(at, until(deadline, ticket.admitted())).await {
            None => {
                self.end(at, Outcome::Refused(0));
                return Ok(Next::Close);
            }
            Some(false) => return self.refuse(at, 503, &[(names::NOT_EXECUTED, "1")]).await,
            Some(true) => {
                self.end(at, Outcome::Running);
                self.ticket = Some(ticket);
            }
        }
        let time = self.cost(at, head);
        let worked = async {
            Timer::after(time).await;
            if fault == Some(Fault::Hang) {
                std::future::pending::<()>().await;
            }
        };
        match self.watched(at, until(deadline, worked)).await {
            None => {
                self.end(at, Outcome::Left);
                Ok(Next::Close)
            }
            Some(false) => self.failed(at, 504).await,
            Some(true) if ends => {
                self.shared.crash();
                // The crash ends this connection too.
                std::future::pending().await
            }
            Some(true) => self.done(at, head, fault, deadline).await,
        }
    }

    /// Waits for `work` while watching the connection; `None` if it closed and
    /// the server drops what nobody waits for.
    pub(super) async fn watched<T>(
        &mut self,
        at: usize,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = std::pin::pin!(work);
        let conn = &mut self.conn;
        let gone = async {
            while matches!(conn.fill().await, Ok(read) if read > 0) {}
            None
        };
        let working = async { Some(work.as_mut().await) };
        if let Some(done) = working.or(gone).await {
            return Some(done);
        }
        self.run(at, |run| run.closed = Some(Instant::now()));
        if self.shared.settings.drops {
            return None;
        }
        Some(work.await)
    }

    /// The time that the work takes; keeps the parts of the prompt.
    fn cost(&self, at: usize, head: &Head) -> Duration {
        let mut state = self.shared.lock();
        let parts = head.text(names::PROMPT).map_or(Vec::new(), parts);
        let kept = parts
            .iter()
            .take_while(|part| state.kept.contains_key(&part.id));
        let kept = kept.count();
        let prefilled = parts[kept..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let read = parts.iter().map(|part| (part.id, part.tokens));
        state.kept.extend(read);
        state.runs[at].prefilled = prefilled;
        let prefill = self.shared.settings.prefill.as_secs_f64() * prefilled as f64;
        let work = self.shared.settings.work.as_secs_f64() + prefill;
        Duration::from_secs_f64(work * state.slow)
    }
}

/// Waits for `work` up to `deadline`; whether it was done.
pub(super) async fn until(deadline: Option<Instant>, work: impl Future<Output = ()>) -> bool {
    let over = async {
        match deadline {
            Some(deadline) => Timer::at(deadline).await,
            None => std::future::pending().await,
        };
        false
    };
    let work = async {
        work.await;
        true
    };
    work.or(over).await
}

pub(super) fn number(head: &Head, name: &str) -> Option<u64> {
    head.text(name)?.parse().ok()
}

fn parts(text: &str) -> Vec<Part> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}
