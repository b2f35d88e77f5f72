//! The stream of an answer from an engine. Every frame is matched to the request
//! and the expected offset. A broken stream is resumed on its engine or continued
//! on another one. An answer is complete only if its end mark has arrived.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smol::Timer;
use tidepier_core::answer::Event;
use tidepier_errors::{Fault, Kind};
use tidepier_http::events::Frame;
use tidepier_http::server::within;
use tidepier_ids as ids;

use crate::deadline::Deadline;
use crate::engine::{self, Body, Failed};
use crate::job::Job;
use crate::node::Node;
use crate::place::{self, Place};
use crate::trace::Hop;

/// Most attempts to resume a stream on its own engine.
const RESUMES_MAX: u32 = 2;
/// Time before the next attempt to resume.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);
/// Most engines that are tried for one request.
const ENGINES_MAX: usize = 4;
/// Time for the call that cancels an abandoned request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer to a cancel, in bytes.
const CANCEL_BYTES_MAX: u64 = 4096;

/// Why the current stream cannot be read any further.
enum Interruption {
    /// The engine has stalled, so resuming on it would not help.
    Stalled,
    /// The connection or a frame is faulty; the engine may be healthy.
    Faulty(&'static str),
}

/// The stream of one answer.
pub(crate) struct Source {
    node: Arc<Node>,
    job: Job,
    place: Option<Place>,
    engine: ids::Engine,
    address: SocketAddr,
    body: Option<Body>,
    /// The engine's number for this reader, sent when the answer is cancelled.
    reader: u64,
    offset: u64,
    /// All text so far, from which another engine can continue.
    text: String,
    /// Whether `text` lacks the start of the answer, as the client received it
    /// through another box.
    text_incomplete: bool,
    ended: bool,
}

impl Source {
    /// Obtains a place and sends the request.
    ///
    /// # Errors
    ///
    /// A fault whose kind tells whether an engine may have executed the request.
    pub(crate) async fn open(node: Arc<Node>, mut job: Job) -> Result<Self, Fault> {
        loop {
            let mut place = Box::pin(place::find(&node, &job.work)).await?;
            let sent = engine::send(&node, &*job.dialect, &job.work, &place.engine, "").await;
            match sent {
                Ok(opened) => {
                    return Ok(Self {
                        engine: place.engine.clone(),
                        node,
                        job,
                        place: Some(place),
                        address: opened.address,
                        body: Some(opened.body),
                        reader: opened.reader,
                        offset: 0,
                        text: String::new(),
                        text_incomplete: false,
                        ended: false,
                    })
                }
                Err(Failed { fault, gone }) => {
                    place.mark_failed();
                    job.work.avoid.push(place.engine.clone());
                    let not_executed = fault.kind.answer().ran == tidepier_errors::Ran::No;
                    let repeatable = not_executed || job.work.kind.repeatable();
                    let engines_left = job.work.avoid.len() < ENGINES_MAX;
                    let retry = fault.kind != Kind::BadRequest && repeatable && engines_left;
                    if !retry
                        || Deadline::at(job.work.deadline).passed()
                        || !job.take_retry(&node, gone)
                    {
                        return Err(fault);
                    }
                }
            }
        }
    }

    /// Resumes an answer that was started through another box.
    ///
    /// # Errors
    ///
    /// [`Kind::Gone`] when the engine no longer has it.
    pub(crate) async fn attach(
        node: Arc<Node>,
        job: Job,
        engine: ids::Engine,
        from: u64,
    ) -> Result<Self, Fault> {
        let address = engine::address_of(&node, &engine)?;
        let mut source = Self {
            node,
            job,
            place: None,
            engine,
            address,
            body: None,
            reader: 0,
            offset: from,
            text: String::new(),
            text_incomplete: true,
            ended: false,
        };
        if source.resume().await {
            return Ok(source);
        }
        // The engine is gone or no longer keeps the answer, which may have been
        // complete.
        Err(Fault::new(
            Kind::Gone,
            "the engine no longer has this answer",
        ))
    }

    /// The engine that currently generates the answer.
    pub(crate) fn engine(&self) -> &ids::Engine {
        &self.engine
    }

    /// All text so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The next event. Must not be called after the last one.
    ///
    /// # Errors
    ///
    /// [`Kind::Broken`] or [`Kind::Deadline`]; the answer cannot be completed.
    pub(crate) async fn next_event(&mut self) -> Result<Event, Fault> {
        loop {
            let deadline = Deadline::at(self.job.work.deadline);
            let read = deadline
                .bound(Kind::Deadline, async { Ok(self.read_event().await) })
                .await?;
            let interruption = match read {
                Ok(event) => return Ok(event),
                Err(interruption) => interruption,
            };
            deadline
                .bound(Kind::Deadline, self.recover(interruption))
                .await?;
        }
    }

    async fn read_event(&mut self) -> Result<Event, Interruption> {
        loop {
            let limit = match self.offset {
                0 => self.job.work.stall_timeouts.first,
                _ => self.job.work.stall_timeouts.between,
            };
            let body = self
                .body
                .as_mut()
                .ok_or(Interruption::Faulty("no stream"))?;
            let frame = match within(limit, body.next()).await {
                None => return Err(Interruption::Stalled),
                Some(Err(_)) => return Err(Interruption::Faulty("cut")),
                Some(Ok(None)) => return Err(Interruption::Faulty("short")),
                Some(Ok(Some(frame))) => frame,
            };
            if let Some(event) = self.match_frame(frame)? {
                return Ok(event);
            }
        }
    }

    /// Checks a frame's request and offset; `None` for a repeated frame, which is
    /// skipped.
    fn match_frame(&mut self, frame: Frame) -> Result<Option<Event>, Interruption> {
        let dialect = &self.job.dialect;
        let position = dialect.position(&frame);
        let (request, ids::Offset(offset)) = position.ok_or(Interruption::Faulty("no id"))?;
        if request != self.job.work.id {
            return Err(Interruption::Faulty("crossed"));
        }
        if offset < self.offset {
            count_faulty("repeated");
            return Ok(None);
        }
        if offset > self.offset {
            return Err(Interruption::Faulty("gap"));
        }
        let event = dialect
            .event(frame)
            .ok_or(Interruption::Faulty("malformed"))?;
        if event.last {
            self.ended = true;
            self.node.retries.record_success();
            return Ok(Some(event));
        }
        self.text.push_str(&event.text);
        self.offset += 1;
        Ok(Some(event))
    }

    /// Resumes the answer on its engine, or continues it on another.
    async fn recover(&mut self, interruption: Interruption) -> Result<(), Fault> {
        self.body = None;
        let why = match interruption {
            Interruption::Stalled => "stuck",
            Interruption::Faulty(why) => why,
        };
        count_faulty(why);
        let note = format!("{} broke off at {}: {why}", self.engine, self.offset);
        self.note(note);
        // A stalled engine may still run the request. An engine that broke off
        // and cannot resume the request no longer runs it.
        let gone = matches!(interruption, Interruption::Faulty(_));
        if gone && self.resume().await {
            return Ok(());
        }
        self.continue_elsewhere(gone).await
    }

    async fn resume(&mut self) -> bool {
        for _ in 0..RESUMES_MAX {
            let call = self.job.dialect.resume(self.job.work.id, self.offset);
            let sent = self.node.client.send(self.address, &call).await;
            if let Ok(answer) = sent {
                if answer.status() == 200 {
                    self.reader = self.job.dialect.reader(&answer);
                    self.body = Some(engine::body(answer));
                    self.note(format!("resumed on {} at {}", self.engine, self.offset));
                    return true;
                }
                return false;
            }
            Timer::after(RESUME_INTERVAL).await;
        }
        false
    }

    /// Continues the answer on another engine from the text so far.
    async fn continue_elsewhere(&mut self, mut gone: bool) -> Result<(), Fault> {
        if let Some(place) = &mut self.place {
            place.mark_failed();
        }
        // An answer that was started through another box cannot be continued:
        // this box has neither the request nor the start of the text.
        let known = !self.text_incomplete;
        if !self.job.work.kind.repeatable() || !known {
            let detail = format!("the engine was lost after {} tokens", self.offset);
            return Err(Fault::new(Kind::Broken, detail));
        }
        while self.job.work.avoid.len() < ENGINES_MAX {
            self.place = None;
            self.job.work.avoid.push(self.engine.clone());
            self.job.work.prefer = None;
            if !self.job.take_retry(&self.node, gone) {
                break;
            }
            let place = place::find(&self.node, &self.job.work).await;
            let mut place = place.map_err(|fault| rest_not_placed(fault, self.offset))?;
            self.engine = place.engine.clone();
            let (dialect, work) = (&*self.job.dialect, &self.job.work);
            let sent = engine::send(&self.node, dialect, work, &place.engine, &self.text).await;
            match sent {
                Ok(opened) => {
                    self.place = Some(place);
                    self.address = opened.address;
                    self.body = Some(opened.body);
                    self.reader = opened.reader;
                    self.note(format!("continued on {} at {}", self.engine, self.offset));
                    return Ok(());
                }
                Err(failed) => {
                    gone = failed.gone;
                    place.mark_failed();
                }
            }
        }
        Err(Fault::new(
            Kind::Broken,
            "no other engine could continue the answer",
        ))
    }

    fn note(&self, note: String) {
        let node = &self.node;
        node.ring
            .record(node.name(), self.job.work.id, Hop::Engine, note);
    }
}

/// Turns the refusal of a place for the rest of an answer into a
/// [`Kind::Broken`] fault. The refusal's own kind would tell the client that the
/// request was not executed, but a part of the answer exists.
fn rest_not_placed(fault: Fault, offset: u64) -> Fault {
    let detail = format!("lost after {offset} tokens, and then: {fault}");
    Fault::new(Kind::Broken, detail).after(fault.retry_after.unwrap_or(Duration::from_secs(1)))
}

fn count_faulty(why: &'static str) {
    metrics::counter!("tidepier_bad_frames_total", "why" => why).increment(1);
}

impl Drop for Source {
    /// Cancels an unfinished answer that is no longer read. The engine keeps it
    /// for the job's linger time, in which the client may resume it.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let node = self.node.clone();
        let place = self.place.take();
        let address = self.address;
        let call = self.job.dialect.cancel(self.job.work.id, self.reader);
        let linger = self.job.linger;
        self.node.spawn(async move {
            Timer::after(linger).await;
            let _ = node
                .client
                .whole(address, &call, CANCEL_BYTES_MAX, CANCEL_TIMEOUT)
                .await;
            metrics::counter!("tidepier_cancels_total").increment(1);
            drop(place);
        });
    }
}
