//! An answer on its way from an engine: every frame is matched to request and
//! offset, a broken stream is resumed or continued, and only an answer with
//! its end mark counts as whole.

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

/// Tries to resume a stream on its own engine.
const RESUMES: u32 = 2;
/// Pause before each try to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Engines tried for one request.
const ENGINES: usize = 4;
/// Time for the cancelling of an abandoned request.
const CANCEL_TIME: Duration = Duration::from_secs(2);
/// Largest answer to a cancel, in bytes.
const CANCEL_BYTES: u64 = 4096;

/// Why a stream cannot go on as it is.
enum Break {
    /// The engine is stuck: asking it again is of no use.
    Stuck,
    /// The connection or a frame is bad; the engine may be well.
    Bad(&'static str),
}

/// An answer on its way.
pub(crate) struct Source {
    node: Arc<Node>,
    job: Job,
    place: Option<Place>,
    engine: ids::Engine,
    address: SocketAddr,
    body: Option<Body>,
    /// The engine's number for this reader, sent with a cancel.
    reader: u64,
    offset: u64,
    /// All text so far, to continue on another engine.
    text: String,
    /// The caller has seen the start of the text on another box.
    partial: bool,
    ended: bool,
}

impl Source {
    /// Finds a place and sends the request.
    ///
    /// # Errors
    ///
    /// A fault whose kind tells whether an engine may have run the request.
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
                        partial: false,
                        ended: false,
                    })
                }
                Err(Failed { fault, gone }) => {
                    place.mark_failed();
                    job.work.avoid.push(place.engine.clone());
                    let harmless = fault.kind.answer().ran == tidepier_errors::Ran::No;
                    let again = harmless || job.work.kind.repeatable();
                    let few = job.work.avoid.len() < ENGINES;
                    let retry = fault.kind != Kind::BadRequest && again && few;
                    if !retry
                        || Deadline::at(job.work.deadline).passed()
                        || !job.may_move(&node, gone)
                    {
                        return Err(fault);
                    }
                }
            }
        }
    }

    /// Reads on an answer that was begun through another box.
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
            partial: true,
            ended: false,
        };
        if source.resume().await {
            return Ok(source);
        }
        // Its engine is gone or has dropped it; it may have been whole.
        Err(Fault::new(
            Kind::Gone,
            "the engine no longer has this answer",
        ))
    }

    /// The engine that makes the answer now.
    pub(crate) fn engine(&self) -> &ids::Engine {
        &self.engine
    }

    /// All text so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// The next event; not to be called after the last one.
    ///
    /// # Errors
    ///
    /// [`Kind::Broken`] or [`Kind::Deadline`]; the answer cannot be completed.
    pub(crate) async fn next(&mut self) -> Result<Event, Fault> {
        loop {
            let deadline = Deadline::at(self.job.work.deadline);
            let read = deadline
                .bound(Kind::Deadline, async { Ok(self.read().await) })
                .await?;
            let trouble = match read {
                Ok(event) => return Ok(event),
                Err(trouble) => trouble,
            };
            deadline
                .bound(Kind::Deadline, self.recover(trouble))
                .await?;
        }
    }

    async fn read(&mut self) -> Result<Event, Break> {
        loop {
            let limit = match self.offset {
                0 => self.job.work.stall_timeouts.first,
                _ => self.job.work.stall_timeouts.between,
            };
            let body = self.body.as_mut().ok_or(Break::Bad("no stream"))?;
            let frame = match within(limit, body.next()).await {
                None => return Err(Break::Stuck),
                Some(Err(_)) => return Err(Break::Bad("cut")),
                Some(Ok(None)) => return Err(Break::Bad("short")),
                Some(Ok(Some(frame))) => frame,
            };
            if let Some(event) = self.check(frame)? {
                return Ok(event);
            }
        }
    }

    /// Matches a frame to request and offset; `None` for one that is skipped.
    fn check(&mut self, frame: Frame) -> Result<Option<Event>, Break> {
        let dialect = &self.job.dialect;
        let position = dialect.position(&frame);
        let (request, ids::Offset(offset)) = position.ok_or(Break::Bad("no id"))?;
        if request != self.job.work.id {
            return Err(Break::Bad("crossed"));
        }
        if offset < self.offset {
            count_bad("repeated");
            return Ok(None);
        }
        if offset > self.offset {
            return Err(Break::Bad("gap"));
        }
        let event = dialect.event(frame).ok_or(Break::Bad("malformed"))?;
        if event.last {
            self.ended = true;
            self.node.retries.record_success();
            return Ok(Some(event));
        }
        self.text.push_str(&event.text);
        self.offset += 1;
        Ok(Some(event))
    }

    /// Resumes on the engine, or continues on another.
    async fn recover(&mut self, trouble: Break) -> Result<(), Fault> {
        self.body = None;
        let why = match trouble {
            Break::Stuck => "stuck",
            Break::Bad(why) => why,
        };
        count_bad(why);
        let note = format!("{} broke off at {}: {why}", self.engine, self.offset);
        self.note(note);
        // A stuck engine may still run the request; one that broke off and does
        // not know it any more does not.
        let gone = matches!(trouble, Break::Bad(_));
        if gone && self.resume().await {
            return Ok(());
        }
        self.elsewhere(gone).await
    }

    async fn resume(&mut self) -> bool {
        for _ in 0..RESUMES {
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
            Timer::after(RESUME_PAUSE).await;
        }
        false
    }

    /// Continues the answer on another engine from the text so far.
    async fn elsewhere(&mut self, mut gone: bool) -> Result<(), Fault> {
        if let Some(place) = &mut self.place {
            place.mark_failed();
        }
        // Read on from another box, neither the request nor all its text is here.
        let known = !self.partial;
        if !self.job.work.kind.repeatable() || !known {
            let detail = format!("the engine was lost after {} tokens", self.offset);
            return Err(Fault::new(Kind::Broken, detail));
        }
        while self.job.work.avoid.len() < ENGINES {
            self.place = None;
            self.job.work.avoid.push(self.engine.clone());
            self.job.work.prefer = None;
            if !self.job.may_move(&self.node, gone) {
                break;
            }
            let place = place::find(&self.node, &self.job.work).await;
            let mut place = place.map_err(|fault| broken(fault, self.offset))?;
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
            .note(node.name(), self.job.work.id, Hop::Engine, note);
    }
}

/// A refusal to place the rest of an answer does not make the answer not run.
fn broken(fault: Fault, offset: u64) -> Fault {
    let detail = format!("lost after {offset} tokens, and then: {fault}");
    Fault::new(Kind::Broken, detail).after(fault.retry_after.unwrap_or(Duration::from_secs(1)))
}

fn count_bad(why: &'static str) {
    metrics::counter!("tidepier_bad_frames_total", "why" => why).increment(1);
}

impl Drop for Source {
    /// Cancels an answer that nobody reads, unless its caller comes back.
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
                .whole(address, &call, CANCEL_BYTES, CANCEL_TIME)
                .await;
            metrics::counter!("tidepier_cancels_total").increment(1);
            drop(place);
        });
    }
}
