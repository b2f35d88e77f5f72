//! The answers of a server, and the effects of faults on them.

use std::io;
use std::time::Instant;

use smol::Timer;
use tidepier_h1::Head;

use super::connection::{finish_before, parse_number, Connection, Disposition};
use super::{event_of, CutEnd, EarlyEnd, Fault, Outcome, Place, Repeat};
use crate::http;
use crate::names;

impl Connection {
    pub(super) async fn refuse(
        &mut self,
        index: usize,
        status: u16,
        with: &[(&str, &str)],
    ) -> io::Result<Disposition> {
        self.record_end(index, Outcome::Refused(status));
        let attempt = self.run(index, |run| run.attempt.clone());
        let load = self.load();
        let backoff = self.shared.lock().backoff.clone().filter(|_| status == 503);
        self.record_announcements(index, backoff.as_deref());
        let mut fields = vec![(names::ATTEMPT, &*attempt), (names::LOAD, &*load)];
        fields.extend_from_slice(with);
        fields.extend(self.leaving());
        fields.extend(
            backoff
                .as_deref()
                .map(|backoff| (names::RETRY_AFTER, backoff)),
        );
        if !self.shared.settings.reports_load {
            fields.remove(1);
        }
        self.answer(http::answer(status, &fields, b"")).await?;
        Ok(Disposition::Keep)
    }

    /// Records what an answer that begins announces of the server. The second answer after
    /// a stream belongs to no request.
    fn record_announcements(&self, index: usize, backoff: Option<&str>) {
        let leaving = self.leaving().is_some();
        let now = Instant::now();
        self.run(index, |run| {
            if !run.made.is_empty() {
                return;
            }
            run.leaving_announced = leaving.then_some(now);
            run.backoff_requested = backoff.map(|backoff| (backoff.to_owned(), now));
        });
    }

    /// The head of a signed answer, without its framing.
    pub(super) fn signed_head(&self, index: usize, status: u16, with: &[(&str, &str)]) -> String {
        self.record_announcements(index, None);
        let (attempt, seal) = self.run(index, |run| (run.attempt.clone(), run.seal.clone()));
        let load = self.load();
        let mut fields = vec![(names::ATTEMPT, &*attempt), (names::SEAL, &*seal)];
        if self.shared.settings.reports_load {
            fields.push((names::LOAD, &load));
        }
        fields.extend_from_slice(with);
        fields.extend(self.leaving());
        http::head(status, &fields)
    }

    pub(super) async fn answer_failure(
        &mut self,
        index: usize,
        status: u16,
    ) -> io::Result<Disposition> {
        self.record_end(index, Outcome::Stopped);
        let head = self.signed_head(index, status, &[]);
        self.answer(format!("{head}Content-Length: 0\r\n\r\n").into_bytes())
            .await?;
        Ok(Disposition::Keep)
    }

    /// Answers first and reads the body afterwards.
    pub(super) async fn answer_early(
        &mut self,
        index: usize,
        head: &Head,
    ) -> io::Result<Disposition> {
        self.record_end(index, Outcome::Running);
        let bytes = self.complete_answer(index, &[]);
        self.write(&bytes).await?;
        let body = http::body(&mut self.conn, head).await?;
        self.run(index, |run| run.body = Some(body));
        self.record_end(index, Outcome::Finished);
        Ok(Disposition::Keep)
    }

    /// Answers without a length and without reading the body.
    pub(super) async fn answer_early_unframed(
        &mut self,
        index: usize,
        head: &Head,
        end: EarlyEnd,
    ) -> io::Result<Disposition> {
        let is_stream = self.shared.settings.events.is_some();
        let mut with = vec![("Connection", "close")];
        with.extend(is_stream.then_some(("Content-Type", "text/event-stream")));
        self.record_end(index, Outcome::Running);
        let begin = self.signed_head(index, 200, &with) + "\r\n";
        let body = self.proper_body(index, head);
        match end {
            EarlyEnd::Reset(pause) => {
                self.record_end(index, Outcome::Stopped);
                let part = match is_stream {
                    true => whole_events(&body[..body.len() / 2]),
                    false => &body[..body.len() / 2],
                };
                self.write(&[begin.as_bytes(), part].concat()).await?;
                if !pause.is_zero() {
                    Timer::after(pause).await;
                }
                Ok(Disposition::Reset)
            }
            EarlyEnd::Shutdown => {
                self.record_end(index, Outcome::Finished);
                self.write(&[begin.as_bytes(), &body].concat()).await?;
                self.conn.writer().finish();
                Ok(Disposition::Close)
            }
        }
    }

    /// A complete answer with a content length.
    fn complete_answer(&self, index: usize, with: &[(&str, &str)]) -> Vec<u8> {
        let length = self.shared.settings.answer_bytes;
        let head = self.signed_head(index, 200, with);
        let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(&self.run(index, |run| run.text(length)));
        bytes
    }

    pub(super) async fn answer_executed(
        &mut self,
        index: usize,
        head: &Head,
        fault: Option<Fault>,
        deadline: Option<Instant>,
    ) -> io::Result<Disposition> {
        match fault {
            Some(Fault::Failure) => return self.answer_failure(index, 500).await,
            Some(Fault::LostAnswer) => {
                self.record_end(index, Outcome::Finished);
                return Ok(Disposition::Reset);
            }
            Some(Fault::Garbage) => {
                self.record_end(index, Outcome::Finished);
                self.write(b"\x16\x03no answer at all\r\n\r\n").await?;
                return Ok(Disposition::Close);
            }
            Some(Fault::CutHead { sent, end }) => return self.cut_head(index, sent, end).await,
            Some(Fault::Odd(odd)) => return self.answer_odd(index, head, odd).await,
            Some(Fault::Line { place, text }) => {
                return self.answer_with_line(index, head, place, text).await
            }
            _ => {}
        }
        if head.method() == "HEAD" {
            self.record_end(index, Outcome::Finished);
            let head = self.signed_head(index, 200, &[]);
            let length = self.shared.settings.answer_bytes;
            self.write(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes())
                .await?;
            return Ok(Disposition::Keep);
        }
        if self.shared.settings.events.is_some() {
            return self.stream(index, head, fault, deadline).await;
        }
        self.record_end(index, Outcome::Finished);
        let close = [("Connection", "close")];
        match fault {
            Some(Fault::Unframed) => {
                let head = self.signed_head(index, 200, &close);
                let text = self.run(index, |run| run.text(self.shared.settings.answer_bytes));
                self.write(&[format!("{head}\r\n").as_bytes(), &text].concat())
                    .await?;
                Ok(Disposition::Close)
            }
            Some(Fault::BreakOff | Fault::CutEvent) => {
                let bytes = self.complete_answer(index, &[]);
                let half = bytes.len() - self.shared.settings.answer_bytes / 2;
                self.write(&bytes[..half]).await?;
                Ok(Disposition::Close)
            }
            Some(Fault::Close) => {
                self.write(&self.complete_answer(index, &close)).await?;
                Ok(Disposition::Close)
            }
            _ => {
                let bytes = self.complete_answer(index, &[]);
                self.answer(bytes.clone()).await?;
                self.send_surplus(fault, bytes).await?;
                Ok(Disposition::Keep)
            }
        }
    }

    /// Sends the beginning of a head.
    async fn cut_head(&mut self, index: usize, sent: u16, end: CutEnd) -> io::Result<Disposition> {
        let framing = match self.shared.settings.events {
            Some(_) => ("Transfer-Encoding", "chunked".to_owned()),
            None => (
                "Content-Length",
                self.shared.settings.answer_bytes.to_string(),
            ),
        };
        let head = self.signed_head(index, 200, &[(framing.0, &framing.1)]) + "\r\n";
        let sent = usize::from(sent).min(head.len() - 1);
        self.record_end(index, Outcome::Finished);
        self.write(&head.as_bytes()[..sent]).await?;
        match end {
            CutEnd::Close => Ok(Disposition::Close),
            CutEnd::Reset => Ok(Disposition::Reset),
            CutEnd::Open => {
                while self.conn.fill().await? > 0 {}
                Ok(Disposition::Close)
            }
        }
    }

    /// Sends a complete answer in chunks with a line that it should not have.
    async fn answer_with_line(
        &mut self,
        index: usize,
        head: &Head,
        place: Place,
        text: &str,
    ) -> io::Result<Disposition> {
        let settings = &self.shared.settings;
        let body = match settings.events {
            Some(events) => {
                let first = parse_number(head, names::LAST_EVENT).map_or(1, |last| last + 1);
                let events = (first..=events.count)
                    .map(|id| framed(&event_of(id, settings.release.as_deref()), true));
                events.collect::<Vec<_>>().concat()
            }
            None => {
                let body = self.run(index, |run| run.text(settings.answer_bytes));
                let size = format!("{:x}\r\n", body.len());
                [size.as_bytes(), &body, b"\r\n"].concat()
            }
        };
        let signed = self.signed_head(index, 200, &[("Transfer-Encoding", "chunked")]);
        let (status, fields) = signed.split_once("\r\n").unwrap_or_default();
        let line = format!("{text}\r\n");
        let line_at = |at| if place == at { &*line } else { "" };
        let status = if place == Place::Status { text } else { status };
        let interim = match place {
            Place::Interim => format!("{text}\r\n\r\n"),
            _ => String::new(),
        };
        let before = format!("{interim}{status}\r\n{}{fields}\r\n", line_at(Place::Field));
        let after = format!("0\r\n{}\r\n", line_at(Place::Trailer));
        let body: &[u8] = match head.method() {
            "HEAD" => b"",
            _ => &[&body[..], after.as_bytes()].concat(),
        };
        self.record_end(index, Outcome::Finished);
        self.write(&[before.as_bytes(), body].concat()).await?;
        Ok(Disposition::Keep)
    }

    async fn stream(
        &mut self,
        index: usize,
        head: &Head,
        fault: Option<Fault>,
        deadline: Option<Instant>,
    ) -> io::Result<Disposition> {
        let Some(events) = self.shared.settings.events else {
            return Ok(Disposition::Keep);
        };
        let chunked = fault != Some(Fault::Unframed);
        let closes = !chunked || fault == Some(Fault::Close);
        let mut with = vec![("Content-Type", "text/event-stream")];
        with.extend(chunked.then_some(("Transfer-Encoding", "chunked")));
        with.extend(closes.then_some(("Connection", "close")));
        let signed = self.signed_head(index, 200, &with);
        self.write(format!("{signed}\r\n").as_bytes()).await?;
        let first = parse_number(head, names::LAST_EVENT).map_or(1, |last| last + 1);
        let half = first + (events.count + 1).saturating_sub(first) / 2;
        for id in first..=events.count {
            if id > first {
                let pause = events.pause.mul_f64(self.shared.lock().slow);
                let paused = async {
                    Timer::after(pause).await;
                };
                let Some(in_time) = self.watched(index, finish_before(deadline, paused)).await
                else {
                    self.record_end(index, Outcome::Left);
                    return Ok(Disposition::Close);
                };
                if !in_time {
                    self.record_end(index, Outcome::Stopped);
                    return Ok(Disposition::Close);
                }
            }
            let text = event_of(id, self.shared.settings.release.as_deref());
            if id == half && matches!(fault, Some(Fault::CutEvent | Fault::BreakOff)) {
                self.record_end(index, Outcome::Stopped);
                if fault == Some(Fault::CutEvent) {
                    let part = &text[..text.len() / 2];
                    self.write(&framed(part, chunked)).await?;
                }
                return Ok(Disposition::Close);
            }
            self.run(index, |run| run.made.push(Instant::now()));
            if let Err(error) = self.write(&framed(&text, chunked)).await {
                self.record_end(index, Outcome::Left);
                return Err(error);
            }
        }
        self.record_end(index, Outcome::Finished);
        if !chunked {
            return Ok(Disposition::Close);
        }
        self.write(b"0\r\n\r\n").await?;
        if matches!(fault, Some(Fault::Extra | Fault::LateExtra)) {
            self.send_surplus(fault, self.complete_answer(index, &[]))
                .await?;
        }
        Ok(if closes {
            Disposition::Close
        } else {
            Disposition::Keep
        })
    }

    /// Sends or schedules a second answer after a complete one, if the fault says so.
    async fn send_surplus(&mut self, fault: Option<Fault>, bytes: Vec<u8>) -> io::Result<()> {
        match fault {
            Some(Fault::Extra) => self.repeat(Repeat::AtOnce, bytes).await,
            Some(Fault::LateExtra) => self.repeat(Repeat::AtRequest(1), bytes).await,
            _ => Ok(()),
        }
    }
}

/// The complete events at the beginning of some text.
fn whole_events(text: &[u8]) -> &[u8] {
    let last = text.windows(2).rposition(|at| at == b"\n\n");
    &text[..last.map_or(0, |at| at + 2)]
}

pub(super) fn framed(text: &str, chunked: bool) -> Vec<u8> {
    if !chunked {
        return text.as_bytes().to_vec();
    }
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
