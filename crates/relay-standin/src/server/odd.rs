//! Answers that no proper server sends: heads that are none, answers without end, and events
//! that are out of order.

use std::io;

use smol::Timer;
use tidepier_h1::Head;

use super::answer::framed;
use super::connection::{parse_number, Connection, Disposition};
use super::{event_of, Outcome};
use crate::names;

/// Bytes after which an answer without end sends no more: more than any reader takes.
const ENDLESS_BYTES: usize = 24 << 20;
/// Size of the pieces that it is sent in.
const PIECE_BYTES: usize = 16 << 10;

/// The field of streams.
const EVENT_STREAM: (&str, &str) = ("Content-Type", "text/event-stream");

/// What is odd about an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Odd {
    /// This text is in place of the status.
    Status(&'static str),
    /// A request line is in place of the status line.
    RequestLine,
    /// A field of the head has this name.
    FieldName(&'static str),
    /// A field after a chunked body has this name.
    TrailerName(&'static str),
    /// The head has no end.
    EndlessHead,
    /// The body has no end; at a server of streams, an event has none.
    EndlessBody,
    /// The fields after a chunked body have no end.
    EndlessTrailers,
    /// Events are out of order. Other answers are as usual.
    Events(Order),
    /// A stream has no length, and ends in the middle of an event. Other answers are as usual.
    UnframedCut,
}

/// The order of odd events. A stream that is not a continuation breaks off half-way, except
/// with [`Order::Repeated`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Each event comes twice.
    Repeated,
    /// A continuation begins with the first event.
    Restarted,
    /// A continuation begins with the last event before it.
    Overlapping,
    /// In a continuation, each event comes after the next one.
    Swapped,
}

impl Odd {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Odd::Status(_) => "status",
            Odd::RequestLine => "request_line",
            Odd::FieldName(_) => "field_name",
            Odd::TrailerName(_) => "trailer_name",
            Odd::EndlessHead => "endless_head",
            Odd::EndlessBody => "endless_body",
            Odd::EndlessTrailers => "endless_trailers",
            Odd::Events(Order::Repeated) => "events_repeated",
            Odd::Events(Order::Restarted) => "events_restarted",
            Odd::Events(Order::Overlapping) => "events_overlapping",
            Odd::Events(Order::Swapped) => "events_swapped",
            Odd::UnframedCut => "unframed_cut",
        }
    }
}

impl Order {
    /// The ids of the events of a stream of `count`, in the order in which they are sent.
    /// `after`: the last event before a continuation.
    fn ids(self, after: Option<u64>, count: u64) -> Vec<u64> {
        let next = after.map_or(1, |after| after + 1);
        if self == Order::Repeated {
            return (next..=count).flat_map(|id| [id, id]).collect();
        }
        let Some(after) = after else {
            return (1..=count / 2).collect();
        };
        match self {
            Order::Restarted => (1..=count).collect(),
            Order::Overlapping => (after.max(1)..=count).collect(),
            Order::Swapped | Order::Repeated => {
                let ids: Vec<u64> = (next..=count).collect();
                ids.chunks(2)
                    .flat_map(|pair| pair.iter().rev())
                    .copied()
                    .collect()
            }
        }
    }
}

impl Connection {
    /// Answers a request oddly.
    pub(super) async fn answer_odd(
        &mut self,
        index: usize,
        head: &Head,
        odd: Odd,
    ) -> io::Result<Disposition> {
        self.run(index, |run| run.odd = Some(odd));
        let is_stream = self.shared.settings.events.is_some();
        match odd {
            Odd::Events(order) if is_stream => return self.send_events(index, head, order).await,
            Odd::UnframedCut if is_stream => return self.cut_unframed(index, head).await,
            Odd::EndlessBody if is_stream => return self.send_endless_event(index, head).await,
            _ => {}
        }
        self.record_end(index, Outcome::Finished);
        let with: &[(&str, &str)] = match is_stream {
            true => &[EVENT_STREAM],
            false => &[],
        };
        let signed = self.signed_head(index, 200, with);
        let body = self.proper_body(index, head);
        self.send_odd(odd, &signed, &body).await
    }

    /// The complete body that a proper answer would have.
    pub(super) fn proper_body(&self, index: usize, head: &Head) -> Vec<u8> {
        let settings = &self.shared.settings;
        let Some(events) = settings.events else {
            return self.run(index, |run| run.text(settings.answer_bytes));
        };
        let first = parse_number(head, names::LAST_EVENT).map_or(1, |last| last + 1);
        let events = first..=events.count;
        let events = events.map(|id| event_of(id, settings.release.as_deref()));
        events.collect::<String>().into_bytes()
    }

    /// Sends an answer with an odd head, body or trailers. `head` has no framing.
    pub(super) async fn send_odd(
        &mut self,
        odd: Odd,
        head: &str,
        body: &[u8],
    ) -> io::Result<Disposition> {
        let fields = head.split_once("\r\n").map_or("", |(_, fields)| fields);
        let sized = |line: &str, more: &str| {
            let length = body.len();
            let head = format!("{line}\r\n{fields}{more}Content-Length: {length}\r\n\r\n");
            [head.as_bytes(), body].concat()
        };
        let line = "HTTP/1.1 200 OK";
        let chunked = format!("{line}\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat();
        let whole = match odd {
            Odd::Status(status) => sized(&format!("HTTP/1.1 {status} OK"), ""),
            Odd::RequestLine => sized("GET / HTTP/1.1", ""),
            Odd::FieldName(name) => sized(line, &format!("{name}: odd\r\n")),
            Odd::TrailerName(name) => {
                let trailers = format!("0\r\n{name}: odd\r\n\r\n");
                [chunked.as_bytes(), &chunk, trailers.as_bytes()].concat()
            }
            Odd::Events(_) | Odd::UnframedCut => sized(line, ""),
            Odd::EndlessHead => {
                let begin = format!("{line}\r\n{fields}");
                return self
                    .send_endless(begin.as_bytes(), b"X-More: more\r\n")
                    .await;
            }
            Odd::EndlessBody => return self.send_endless(chunked.as_bytes(), &chunk).await,
            Odd::EndlessTrailers => {
                let begin = [chunked.as_bytes(), &chunk, b"0\r\n"].concat();
                return self.send_endless(&begin, b"X-More: more\r\n").await;
            }
        };
        self.write(&whole).await?;
        Ok(Disposition::Keep)
    }

    /// Sends a beginning, and then a unit again and again until the client closes.
    async fn send_endless(&mut self, begin: &[u8], unit: &[u8]) -> io::Result<Disposition> {
        // A chunk of no bytes would end a body.
        let unit = if unit.starts_with(b"0\r\n") {
            b"1\r\nx\r\n"
        } else {
            unit
        };
        self.write(begin).await?;
        let piece = unit.repeat(PIECE_BYTES.div_ceil(unit.len()));
        for _ in 0..ENDLESS_BYTES / piece.len() {
            self.write(&piece).await?;
        }
        while self.conn.fill().await? > 0 {}
        Ok(Disposition::Close)
    }

    /// Sends the head of a stream; `framing` is a field of its own.
    async fn begin_stream(&mut self, index: usize, framing: (&str, &str)) -> io::Result<()> {
        let with = [EVENT_STREAM, framing];
        let head = self.signed_head(index, 200, &with);
        self.write(format!("{head}\r\n").as_bytes()).await
    }

    async fn send_events(
        &mut self,
        index: usize,
        head: &Head,
        order: Order,
    ) -> io::Result<Disposition> {
        let Some(events) = self.shared.settings.events else {
            return Ok(Disposition::Keep);
        };
        self.begin_stream(index, ("Transfer-Encoding", "chunked"))
            .await?;
        let ids = order.ids(parse_number(head, names::LAST_EVENT), events.count);
        let is_whole = ids.contains(&events.count);
        for id in ids {
            let text = event_of(id, self.shared.settings.release.as_deref());
            self.write(&framed(&text, true)).await?;
            Timer::after(events.pause).await;
        }
        if !is_whole {
            self.record_end(index, Outcome::Stopped);
            return Ok(Disposition::Close);
        }
        self.record_end(index, Outcome::Finished);
        self.write(b"0\r\n\r\n").await?;
        Ok(Disposition::Keep)
    }

    /// Sends a stream without a length that ends in the middle of an event.
    async fn cut_unframed(&mut self, index: usize, head: &Head) -> io::Result<Disposition> {
        let text = self.send_half(index, head, ("Connection", "close")).await?;
        self.record_end(index, Outcome::Stopped);
        self.write(&text.as_bytes()[..text.len() / 2]).await?;
        Ok(Disposition::Close)
    }

    /// Sends a stream whose event in the middle has no end.
    async fn send_endless_event(&mut self, index: usize, head: &Head) -> io::Result<Disposition> {
        let framing = ("Transfer-Encoding", "chunked");
        let text = self.send_half(index, head, framing).await?;
        self.record_end(index, Outcome::Stopped);
        let begin = framed(text.trim_end(), true);
        self.send_endless(&begin, b"10\r\nxxxxxxxxxxxxxxxx\r\n")
            .await
    }

    /// Sends the first half of a stream; returns the next event.
    async fn send_half(
        &mut self,
        index: usize,
        head: &Head,
        framing: (&str, &str),
    ) -> io::Result<String> {
        let is_chunked = framing.0 == "Transfer-Encoding";
        self.begin_stream(index, framing).await?;
        let after = parse_number(head, names::LAST_EVENT).unwrap_or(0);
        let events = self.shared.settings.events;
        let (count, pause) = events.map_or((0, Default::default()), |it| (it.count, it.pause));
        let half = after + count.saturating_sub(after) / 2;
        let release = self.shared.settings.release.clone();
        for id in after + 1..=half {
            let text = event_of(id, release.as_deref());
            self.write(&framed(&text, is_chunked)).await?;
            Timer::after(pause).await;
        }
        Ok(event_of(half + 1, release.as_deref()))
    }
}
