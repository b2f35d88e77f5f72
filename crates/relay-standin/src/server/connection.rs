//! Handles one connection of a server.

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

use super::admission::Ticket;
use super::{Fault, Outcome, Repeat, Run, Shared};
use crate::http;
use crate::names;

/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Back-off that a busy server requests, in seconds.
const RETRY_AFTER_S: &str = "0.2";

/// What happens to the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    Keep,
    Close,
    Reset,
}

/// Counts an open connection while it exists.
struct OpenGuard(Arc<Shared>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.lock().connections_open -= 1;
    }
}

pub(super) async fn serve(shared: Arc<Shared>, conn: Conn) {
    let (number, over_limit) = {
        let mut state = shared.lock();
        state.connections_opened += 1;
        state.connections_open += 1;
        (
            state.connections_opened - 1,
            state.connections_open > shared.settings.connections,
        )
    };
    let _open_guard = OpenGuard(shared.clone());
    let mut connection = Connection {
        shared,
        conn,
        number,
        late: Vec::new(),
        ticket: None,
    };
    let next = if over_limit {
        Ok(Disposition::Reset)
    } else {
        connection.serve().await
    };
    match next {
        Ok(Disposition::Reset) => {
            if let Err(error) = connection.conn.writer().reset_on_close() {
                log::debug!("already closed: {error}");
            }
        }
        Ok(_) => {}
        Err(error) => log::debug!("a connection to a server ended: {error}"),
    }
}

/// A connection to the server.
pub(super) struct Connection {
    pub(super) shared: Arc<Shared>,
    pub(super) conn: Conn,
    number: usize,
    /// Second answers, each with the number of requests after whose arrival it is sent.
    late: Vec<(u32, Vec<u8>)>,
    /// The slot of the request that is being executed.
    ticket: Option<Ticket>,
}

impl Drop for Connection {
    /// A crash resets its connections: an answer that ends with its connection would
    /// otherwise look complete.
    fn drop(&mut self) {
        if self.shared.lock().crashed.is_none() {
            return;
        }
        if let Err(error) = self.conn.writer().reset_on_close() {
            log::debug!("already closed: {error}");
        }
    }
}

impl Connection {
    async fn serve(&mut self) -> io::Result<Disposition> {
        loop {
            self.wait_while_dark().await;
            let Some(head) = self.head().await? else {
                return Ok(Disposition::Close);
            };
            self.wait_while_dark().await;
            let due = self.take_due();
            self.write(&due).await?;
            let next = self.handle(&head).await?;
            if next != Disposition::Keep || head.closes() {
                return Ok(next);
            }
        }
    }

    /// The second answers that are sent now that another request has arrived.
    fn take_due(&mut self) -> Vec<u8> {
        self.late.iter_mut().for_each(|(left, _)| *left -= 1);
        let due = self.late.extract_if(.., |(left, _)| *left == 0);
        due.flat_map(|(_, bytes)| bytes).collect()
    }

    /// Sends or schedules a second answer.
    pub(super) async fn repeat(&mut self, repeat: Repeat, bytes: Vec<u8>) -> io::Result<()> {
        match repeat {
            Repeat::AtOnce => return self.write(&bytes).await,
            Repeat::After(delay) => {
                let writer = self.conn.writer();
                let send = async move {
                    Timer::after(delay).await;
                    if let Err(error) = writer.write_all(&bytes).await {
                        log::debug!("already closed: {error}");
                    }
                };
                smol::spawn(send).detach();
            }
            Repeat::AtRequest(number) => self.late.push((number, bytes)),
        }
        Ok(())
    }

    /// Sends an answer, and a second copy of it if one is due.
    pub(super) async fn answer(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.write(&bytes).await?;
        let due = {
            let mut state = self.shared.lock();
            match &mut state.repeat {
                Some((repeat, count)) if *count > 0 => {
                    *count -= u32::from(*count != u32::MAX);
                    Some(*repeat)
                }
                _ => None,
            }
        };
        match due {
            Some(repeat) => self.repeat(repeat, bytes).await,
            None => Ok(()),
        }
    }

    /// Waits while the server is dark.
    async fn wait_while_dark(&self) {
        loop {
            let lit = self.shared.dark_ended.listen();
            if !self.shared.lock().dark {
                return;
            }
            lit.await;
        }
    }

    /// The next head; `None` if the connection was idle for too long.
    async fn head(&mut self) -> io::Result<Option<Head>> {
        let idle = self.shared.lock().idle_close;
        let head = async {
            let head = self.conn.request_head(http::HEAD_BYTES_MAX).await;
            head.map_err(io::Error::other)
        };
        let timed_out = async {
            match idle {
                Some(idle) => Timer::after(idle).await,
                None => std::future::pending().await,
            };
            Ok(None)
        };
        head.or(timed_out).await
    }

    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.wait_while_dark().await;
        self.conn.writer().write_all(bytes).await
    }

    async fn handle(&mut self, head: &Head) -> io::Result<Disposition> {
        let path = head.target().split('?').next().unwrap_or("");
        let probe = if head.method() != "GET" {
            None
        } else if path == self.shared.settings.health_path {
            Some(self.health())
        } else if path == names::REPORT {
            Some(self.report())
        } else if path == names::CACHE_LIST {
            Some(self.cache_list())
        } else {
            None
        };
        let Some(answer) = probe else {
            return self.request(head).await;
        };
        self.shared.lock().probes += 1;
        http::body(&mut self.conn, head).await?;
        let fault = self.shared.lock().fault;
        if let Some((Fault::Odd(odd), _)) = fault {
            let head = http::head(200, &[]);
            return self.send_odd(odd, &head, b"").await;
        }
        self.write(&answer).await?;
        Ok(Disposition::Keep)
    }

    pub(super) fn load(&self) -> String {
        let load = self.shared.admission.load();
        format!("{},{},{}", load.running, load.waiting, load.slots)
    }

    /// The field by which each answer of a leaving server announces that.
    pub(super) fn leaving(&self) -> Option<(&'static str, &'static str)> {
        let leaving = self.shared.lock().leaving;
        leaving.then_some((names::LEAVING, "1"))
    }

    fn health(&self) -> Vec<u8> {
        let load = self.load();
        let leaving = self.leaving();
        let mut fields = vec![(names::INSTANCE, &*self.shared.settings.id)];
        fields.extend(leaving);
        let busy = self.shared.admission.is_full();
        if busy || self.shared.lock().unhealthy || leaving.is_some() {
            fields.extend(busy.then_some((names::NOT_EXECUTED, "1")));
            return http::answer(503, &fields, b"");
        }
        fields.push((names::LOAD, &load));
        http::answer(200, &fields, b"")
    }

    fn report(&self) -> Vec<u8> {
        let load = self.shared.admission.load();
        let runs = self.shared.lock().runs.len();
        let report = json!({
            "phase": "mixed", "utilization": false, "sequence": runs, "handles": 0,
            "models": [{ "name": "m", "version": 1, "adapters": [] }],
            "queued": load.waiting, "active": load.running, "kv_used": 0, "kv_total": 90_000,
        });
        self.json_answer(report.to_string().as_bytes())
    }

    /// The cached prompt parts, each as a row.
    fn cache_list(&self) -> Vec<u8> {
        let state = self.shared.lock();
        let row = |(id, tokens): (&u64, &u32)| json!(["", format!("{id:x}"), tokens, "m"]);
        let held: Vec<_> = state.cached_parts.iter().map(row).collect();
        let list = json!({ "epoch": 1, "next_token": held.len(), "held": held });
        let list = list.to_string().into_bytes();
        let body = state.cache_list_override.clone().unwrap_or(list);
        drop(state);
        self.json_answer(&body)
    }

    /// An answer in JSON to something other than a client's request.
    fn json_answer(&self, body: &[u8]) -> Vec<u8> {
        let mut fields = vec![("Content-Type", "application/json")];
        fields.extend(self.leaving());
        http::answer(200, &fields, body)
    }

    /// Records a request; returns its index and its fault, if one is due.
    fn record_arrival(&self, head: &Head) -> (usize, Option<Fault>) {
        let owned = |field: tidepier_h1::Field<'_>| (field.name.into(), field.text().into());
        let attempt = head.text(names::ATTEMPT).unwrap_or("");
        let mut state = self.shared.lock();
        let index = state.runs.len();
        let signed = format!("{}/{attempt}/{index}", self.shared.settings.id);
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
            seal: format!("{:016x}.{index}", xxh3_64(signed.as_bytes())),
            odd: None,
            prefill_tokens: 0,
            made: Vec::new(),
            leaving_announced: None,
            backoff_requested: None,
        });
        let fault = match &mut state.fault {
            Some((fault, count)) if *count > 0 => {
                *count -= u32::from(*count != u32::MAX);
                Some(*fault)
            }
            _ => None,
        };
        (index, fault)
    }

    pub(super) fn run<T>(&self, index: usize, change: impl FnOnce(&mut Run) -> T) -> T {
        change(&mut self.shared.lock().runs[index])
    }

    /// Records the outcome of a request and frees its slot.
    pub(super) fn record_end(&mut self, index: usize, outcome: Outcome) {
        self.run(index, |run| {
            run.outcome = outcome;
            run.ended = (outcome != Outcome::Running).then(Instant::now);
        });
        self.ticket = None;
    }

    async fn request(&mut self, head: &Head) -> io::Result<Disposition> {
        let (index, fault) = self.record_arrival(head);
        match fault {
            Some(Fault::Early) => return self.answer_early(index, head).await,
            Some(Fault::EarlyUnframed(end)) => {
                return self.answer_early_unframed(index, head, end).await
            }
            _ => {}
        }
        let body = http::body(&mut self.conn, head).await?;
        let parts = head.text(names::PROMPT).map_or(Vec::new(), parse_parts);
        let crashes = self.shared.crashes_on(&body, &parts);
        self.run(index, |run| run.body = Some(body));
        let id = self.shared.settings.id.clone();
        if head.text(names::ATTEMPT).is_none() {
            return self.refuse(index, 400, &[(names::NOT_EXECUTED, "1")]).await;
        }
        if head.text(names::TARGET).is_some_and(|target| target != id) {
            return self.refuse(index, 421, &[(names::INSTANCE, &id)]).await;
        }
        match fault {
            Some(Fault::Shed) => {
                return self.refuse(index, 503, &[(names::NOT_EXECUTED, "1")]).await
            }
            Some(Fault::Busy) => {
                let retry = (names::RETRY_AFTER, RETRY_AFTER_S);
                return self
                    .refuse(index, 429, &[(names::NOT_EXECUTED, "1"), retry])
                    .await;
            }
            Some(Fault::Reset) => {
                self.record_end(index, Outcome::Refused(0));
                return Ok(Disposition::Reset);
            }
            _ => {}
        }
        let priority =
            parse_number(head, names::PRIORITY).map_or(DEFAULT_PRIORITY, |value| value as u8);
        let Some(mut ticket) = self.shared.admission.ticket(priority) else {
            return self.refuse(index, 503, &[(names::NOT_EXECUTED, "1")]).await;
        };
        let arrived = self.run(index, |run| run.arrived);
        let deadline =
            parse_number(head, names::DEADLINE).map(|ms| arrived + Duration::from_millis(ms));
        match self
            .watched(index, finish_before(deadline, ticket.wait_for_slot()))
            .await
        {
            None => {
                self.record_end(index, Outcome::Refused(0));
                return Ok(Disposition::Close);
            }
            Some(false) => return self.refuse(index, 503, &[(names::NOT_EXECUTED, "1")]).await,
            Some(true) => {
                self.record_end(index, Outcome::Running);
                self.ticket = Some(ticket);
            }
        }
        let time = self.work_time(index, head);
        let worked = async {
            Timer::after(time).await;
            if fault == Some(Fault::Hang) {
                std::future::pending::<()>().await;
            }
        };
        match self.watched(index, finish_before(deadline, worked)).await {
            None => {
                self.record_end(index, Outcome::Left);
                Ok(Disposition::Close)
            }
            Some(false) => self.answer_failure(index, 504).await,
            Some(true) if crashes => {
                self.shared.crash();
                // The crash ends this connection as well.
                std::future::pending().await
            }
            Some(true) => self.answer_executed(index, head, fault, deadline).await,
        }
    }

    /// Waits for `work` while watching the connection; `None` if it closed and the server
    /// stops requests of closed connections.
    pub(super) async fn watched<T>(
        &mut self,
        index: usize,
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
        self.run(index, |run| run.closed = Some(Instant::now()));
        if self.shared.settings.drops {
            return None;
        }
        Some(work.await)
    }

    /// The time that the work takes. Adds the parts of the prompt to the cache.
    fn work_time(&self, index: usize, head: &Head) -> Duration {
        let mut state = self.shared.lock();
        let parts = head.text(names::PROMPT).map_or(Vec::new(), parse_parts);
        let kept = parts
            .iter()
            .take_while(|part| state.cached_parts.contains_key(&part.id));
        let kept = kept.count();
        let prefill_tokens = parts[kept..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let read = parts.iter().map(|part| (part.id, part.tokens));
        state.cached_parts.extend(read);
        state.runs[index].prefill_tokens = prefill_tokens;
        let prefill = self.shared.settings.prefill.as_secs_f64() * prefill_tokens as f64;
        let work = match parse_number(head, names::WORK) {
            Some(ms) => Duration::from_millis(ms),
            None => self.shared.settings.work,
        };
        Duration::from_secs_f64((work.as_secs_f64() + prefill) * state.slow)
    }
}

/// Waits for `work` until `deadline`; returns whether it finished in time.
pub(super) async fn finish_before(
    deadline: Option<Instant>,
    work: impl Future<Output = ()>,
) -> bool {
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

pub(super) fn parse_number(head: &Head, name: &str) -> Option<u64> {
    head.text(name)?.parse().ok()
}

fn parse_parts(text: &str) -> Vec<Part> {
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}
