//! An answer on its way from an engine: every frame is matched to request and
//! offset, a broken stream is resumed or continued, and only an answer with
//! its end mark counts as whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncBufRead;
use smol::Timer;
use tidepier_config::document::Priority;
use tidepier_errors::{Fault, Kind};
use tidepier_http::client::{Call, Failure};
use tidepier_http::events::{Frame, Reader};
use tidepier_http::server::within;
use tidepier_ids as ids;

use crate::dialect::answer::{Chunk, End};
use crate::dialect::request::Chat;
use crate::node::Node;
use crate::place::{self, Need, Place};
use crate::trace::Hop;

/// Time to the first token of an engine that has taken a request.
const FIRST_TOKEN: Duration = Duration::from_secs(30);
/// Time between two tokens after which the engine counts as stuck.
const BETWEEN_TOKENS: Duration = Duration::from_secs(3);
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

type Body = Box<dyn AsyncBufRead + Send + Unpin>;

/// What is asked of an engine.
pub(crate) struct Job {
    pub(crate) need: Need,
    pub(crate) priority: Priority,
    /// The request; absent when only a running answer is read on.
    pub(crate) chat: Option<Chat>,
    /// Whether it may run twice.
    pub(crate) repeat: bool,
    /// Time that an abandoned answer is kept for its caller to come back.
    pub(crate) linger: Duration,
    /// Whether it has moved from an engine that is gone.
    pub(crate) moved: bool,
}

impl Job {
    /// Whether the budget lets it go to another engine; `gone` tells that the
    /// one before runs nothing of it any more.
    fn may_move(&mut self, node: &Node, gone: bool) -> bool {
        match gone {
            true => node.retries.move_on(&mut self.moved),
            false => node.retries.spend(),
        }
    }
}

/// The next part of an answer.
pub(crate) enum Piece {
    /// A token: its offset, the engine's chunk, and its text's length.
    Token { offset: ids::Offset, data: String },
    /// The last chunk.
    Last {
        offset: ids::Offset,
        data: String,
        end: End,
    },
}

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
    body: Option<Reader<Body>>,
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
            let mut place = Box::pin(place::find(&node, &job.need)).await?;
            match send(&node, &job, &place.engine, "").await {
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
                    place.failed();
                    job.need.avoid.push(place.engine.clone());
                    let harmless = fault.kind.answer().ran == tidepier_errors::Ran::No;
                    let again = harmless || job.repeat;
                    let few = job.need.avoid.len() < ENGINES;
                    let retry = fault.kind != Kind::BadRequest && again && few;
                    if !retry || job.need.deadline.passed() || !job.may_move(&node, gone) {
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
        let address = address_of(&node, &engine)?;
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

    /// The next part; not to be called after [`Piece::Last`].
    ///
    /// # Errors
    ///
    /// [`Kind::Broken`] or [`Kind::Deadline`]; the answer cannot be completed.
    pub(crate) async fn next(&mut self) -> Result<Piece, Fault> {
        loop {
            let deadline = self.job.need.deadline;
            let read = deadline
                .bound(Kind::Deadline, async { Ok(self.read().await) })
                .await?;
            let trouble = match read {
                Ok(piece) => return Ok(piece),
                Err(trouble) => trouble,
            };
            deadline
                .bound(Kind::Deadline, self.recover(trouble))
                .await?;
        }
    }

    async fn read(&mut self) -> Result<Piece, Break> {
        loop {
            let limit = match self.offset {
                0 => FIRST_TOKEN,
                _ => BETWEEN_TOKENS,
            };
            let body = self.body.as_mut().ok_or(Break::Bad("no stream"))?;
            let frame = match within(limit, body.next()).await {
                None => return Err(Break::Stuck),
                Some(Err(_)) => return Err(Break::Bad("cut")),
                Some(Ok(None)) => return Err(Break::Bad("short")),
                Some(Ok(Some(frame))) => frame,
            };
            if let Some(piece) = self.check(frame)? {
                return Ok(piece);
            }
        }
    }

    /// Matches a frame to request and offset; `None` for one that is skipped.
    fn check(&mut self, frame: Frame) -> Result<Option<Piece>, Break> {
        let (request, offset) = frame_id(&frame.id).ok_or(Break::Bad("no id"))?;
        if request != self.job.need.request {
            return Err(Break::Bad("crossed"));
        }
        if offset < self.offset {
            count_bad("repeated");
            return Ok(None);
        }
        if offset > self.offset {
            return Err(Break::Bad("gap"));
        }
        let chunk = Chunk::parse(&frame.data).map_err(|_| Break::Bad("malformed"))?;
        let offset = ids::Offset(offset);
        if let Some(reason) = chunk.finish() {
            let end = End {
                reason: reason.to_string(),
                usage: chunk.usage,
            };
            self.ended = true;
            self.node.retries.earn();
            let data = frame.data;
            return Ok(Some(Piece::Last { offset, data, end }));
        }
        self.text.push_str(chunk.text());
        self.offset += 1;
        let data = frame.data;
        Ok(Some(Piece::Token { offset, data }))
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
            let path = format!("/v1/streams/{}?from={}", self.job.need.request, self.offset);
            let sent = self.node.client.send(self.address, &Call::get(path)).await;
            if let Ok(answer) = sent {
                if answer.status() == 200 {
                    self.reader = reader_number(answer.header("x-reader"));
                    self.body = Some(Reader::new(Box::new(answer.reader())));
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
            place.failed();
        }
        let known = self.job.chat.is_some() && !self.partial;
        if !self.job.repeat || !known {
            let detail = format!("the engine was lost after {} tokens", self.offset);
            return Err(Fault::new(Kind::Broken, detail));
        }
        while self.job.need.avoid.len() < ENGINES {
            self.place = None;
            self.job.need.avoid.push(self.engine.clone());
            self.job.need.prefer = None;
            if !self.job.may_move(&self.node, gone) {
                break;
            }
            let place = place::find(&self.node, &self.job.need).await;
            let mut place = place.map_err(|fault| broken(fault, self.offset))?;
            self.engine = place.engine.clone();
            match send(&self.node, &self.job, &place.engine, &self.text).await {
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
                    place.failed();
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
            .note(node.name(), self.job.need.request, Hop::Engine, note);
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

fn frame_id(id: &str) -> Option<(ids::Request, u64)> {
    let (request, offset) = id.split_once(':')?;
    Some((request.parse().ok()?, offset.parse().ok()?))
}

fn reader_number(header: Option<&str>) -> u64 {
    header.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn address_of(node: &Node, engine: &ids::Engine) -> Result<SocketAddr, Fault> {
    let document = node.document()?;
    let found = document.engine(engine).map(|engine| engine.address.0);
    found.ok_or_else(|| Fault::new(Kind::Gone, format!("engine {engine} is gone")))
}

/// An engine's answer that has begun.
struct Opened {
    address: SocketAddr,
    body: Reader<Body>,
    /// The engine's number for this reader.
    reader: u64,
}

/// A request that an engine did not take.
struct Failed {
    fault: Fault,
    /// The engine could not be reached or closed the connection, so that it is
    /// taken for gone; one that refuses or is late is not.
    gone: bool,
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Self {
        Self { fault, gone: false }
    }
}

/// Sends the request to one engine, continuing `text` where there is some.
async fn send(
    node: &Arc<Node>,
    job: &Job,
    engine: &ids::Engine,
    text: &str,
) -> Result<Opened, Failed> {
    let address = address_of(node, engine)?;
    let chat = job
        .chat
        .as_ref()
        .ok_or_else(|| Fault::new(Kind::Internal, "no request"))?;
    let body = chat.for_engine(text)?;
    let mut call = Call::post("/v1/chat/completions", body)
        .header("x-request-id", job.need.request.to_string())
        .header("x-priority", (job.priority as u8).to_string());
    if !job.repeat {
        call = call.once();
    }
    let sending = async { Ok(node.client.send(address, &call).await) };
    let sent = job.need.deadline.bound(Kind::Deadline, sending).await?;
    let answer = sent.map_err(|failure| Failed {
        fault: lost(engine, &failure),
        gone: true,
    })?;
    let status = answer.status();
    if status != 200 {
        return Err(refused(engine, status).into());
    }
    let reader = reader_number(answer.header("x-reader"));
    let body: Body = Box::new(answer.reader());
    Ok(Opened {
        address,
        body: Reader::new(body),
        reader,
    })
}

fn lost(engine: &ids::Engine, failure: &Failure) -> Fault {
    match failure {
        Failure::Unsent(error) => {
            let detail = format!("engine {engine} cannot be reached: {error}");
            Fault::new(Kind::NoEngine, detail)
        }
        Failure::Unknown(error) => {
            let detail = format!("engine {engine} did not answer: {error}");
            Fault::new(Kind::Lost, detail)
        }
    }
}

fn refused(engine: &ids::Engine, status: u16) -> Fault {
    let detail = format!("engine {engine} answered {status}");
    match status {
        400..=499 => Fault::new(Kind::BadRequest, detail),
        503 => Fault::new(Kind::Refused, detail),
        _ => Fault::new(Kind::Lost, detail),
    }
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
        let request = self.job.need.request;
        let reader = self.reader;
        let linger = self.job.linger;
        self.node.spawn(async move {
            Timer::after(linger).await;
            let path = format!("/v1/streams/{request}/cancel?reader={reader}");
            let call = Call::post(path, *b"{}");
            let _ = node
                .client
                .whole(address, &call, CANCEL_BYTES, CANCEL_TIME)
                .await;
            metrics::counter!("tidepier_cancels_total").increment(1);
            drop(place);
        });
    }
}
