//! How a server answers, and what faults make of its answers.

use std::io;
use std::time::Instant;

use smol::Timer;
use tidepier_h1::Head;

use super::work::{number, until, Line, Next};
use super::{event, Fault, Outcome};
use crate::front;
use crate::names;

impl Line {
    pub(super) async fn refuse(
        &mut self,
        at: usize,
        status: u16,
        with: &[(&str, &str)],
    ) -> io::Result<Next> {
        self.end(at, Outcome::Refused(status));
        let attempt = self.run(at, |run| run.attempt.clone());
        let load = self.load();
        let rest = self.shared.lock().rest.clone().filter(|_| status == 503);
        self.note_said(at, rest.as_deref());
        let mut fields = vec![(names::ATTEMPT, &*attempt), (names::LOAD, &*load)];
        fields.extend_from_slice(with);
        fields.extend(self.leaving());
        fields.extend(rest.as_deref().map(|rest| (names::RETRY_AFTER, rest)));
        if !self.shared.settings.tells_load {
            fields.remove(1);
        }
        self.write(&front::answer(status, &fields, b"")).await?;
        Ok(Next::Keep)
    }

    /// Records what an answer that is begun says of the server; a second answer after
    /// a stream is of no request.
    fn note_said(&self, at: usize, rest: Option<&str>) {
        let leaving = self.leaving().is_some();
        let now = Instant::now();
        self.run(at, |run| {
            if !run.made.is_empty() {
                return;
            }
            run.said_leaving = leaving.then_some(now);
            run.said_rest = rest.map(|rest| (rest.to_owned(), now));
        });
    }

    /// The head of a signed answer, without its framing.
    fn signed(&self, at: usize, status: u16, with: &[(&str, &str)]) -> String {
        self.note_said(at, None);
        let (attempt, seal) = self.run(at, |run| (run.attempt.clone(), run.seal.clone()));
        let load = self.load();
        let mut fields = vec![(names::ATTEMPT, &*attempt), (names::SEAL, &*seal)];
        if self.shared.settings.tells_load {
            fields.push((names::LOAD, &load));
        }
        fields.extend_from_slice(with);
        fields.extend(self.leaving());
        front::head(status, &fields)
    }

    pub(super) async fn failed(&mut self, at: usize, status: u16) -> io::Result<Next> {
        self.end(at, Outcome::Stopped);
        let head = self.signed(at, status, &[]);
        self.write(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())
            .await?;
        Ok(Next::Keep)
    }

    /// Answers at once and reads the body afterwards.
    pub(super) async fn early(&mut self, at: usize, head: &Head) -> io::Result<Next> {
        self.end(at, Outcome::Running);
        let bytes = self.whole(at, &[]);
        self.write(&bytes).await?;
        let body = front::body(&mut self.conn, head).await?;
        self.run(at, |run| run.body = Some(body));
        self.end(at, Outcome::Finished);
        Ok(Next::Keep)
    }

    /// A whole answer with a length.
    fn whole(&self, at: usize, with: &[(&str, &str)]) -> Vec<u8> {
        let length = self.shared.settings.answer_bytes;
        let head = self.signed(at, 200, with);
        let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(&self.run(at, |run| run.text(length)));
        bytes
    }

    pub(super) async fn done(
        &mut self,
        at: usize,
        head: &Head,
        fault: Option<Fault>,
        deadline: Option<Instant>,
    ) -> io::Result<Next> {
        match fault {
            Some(Fault::Failure) => return self.failed(at, 500).await,
            Some(Fault::LostAnswer) => {
                self.end(at, Outcome::Finished);
                return Ok(Next::Reset);
            }
            Some(Fault::Garbage) => {
                self.end(at, Outcome::Finished);
                self.write(b"\x16\x03no answer at all\r\n\r\n").await?;
                return Ok(Next::Close);
            }
            _ => {}
        }
        if head.method() == "HEAD" {
            self.end(at, Outcome::Finished);
            let head = self.signed(at, 200, &[]);
            let length = self.shared.settings.answer_bytes;
            self.write(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes())
                .await?;
            return Ok(Next::Keep);
        }
        if self.shared.settings.events.is_some() {
            return self.stream(at, head, fault, deadline).await;
        }
        self.end(at, Outcome::Finished);
        let close = [("Connection", "close")];
        match fault {
            Some(Fault::Unframed) => {
                let head = self.signed(at, 200, &close);
                let text = self.run(at, |run| run.text(self.shared.settings.answer_bytes));
                self.write(&[format!("{head}\r\n").as_bytes(), &text].concat())
                    .await?;
                Ok(Next::Close)
            }
            Some(Fault::BreakOff | Fault::CutEvent) => {
                let bytes = self.whole(at, &[]);
                let half = bytes.len() - self.shared.settings.answer_bytes / 2;
                self.write(&bytes[..half]).await?;
                Ok(Next::Close)
            }
            Some(Fault::Close) => {
                self.write(&self.whole(at, &close)).await?;
                Ok(Next::Close)
            }
            _ => {
                let bytes = self.whole(at, &[]);
                self.write(&bytes).await?;
                self.surplus(fault, bytes).await?;
                Ok(Next::Keep)
            }
        }
    }

    async fn stream(
        &mut self,
        at: usize,
        head: &Head,
        fault: Option<Fault>,
        deadline: Option<Instant>,
    ) -> io::Result<Next> {
        let Some(events) = self.shared.settings.events else {
            return Ok(Next::Keep);
        };
        let chunked = fault != Some(Fault::Unframed);
        let closes = !chunked || fault == Some(Fault::Close);
        let mut with = vec![("Content-Type", "text/event-stream")];
        with.extend(chunked.then_some(("Transfer-Encoding", "chunked")));
        with.extend(closes.then_some(("Connection", "close")));
        let signed = self.signed(at, 200, &with);
        self.write(format!("{signed}\r\n").as_bytes()).await?;
        let first = number(head, names::LAST_EVENT).map_or(1, |last| last + 1);
        let half = first + (events.count + 1).saturating_sub(first) / 2;
        for id in first..=events.count {
            if id > first {
                let pause = events.pause.mul_f64(self.shared.lock().slow);
                let paused = async {
                    Timer::after(pause).await;
                };
                let Some(in_time) = self.watched(at, until(deadline, paused)).await else {
                    self.end(at, Outcome::Left);
                    return Ok(Next::Close);
                };
                if !in_time {
                    self.end(at, Outcome::Stopped);
                    return Ok(Next::Close);
                }
            }
            let text = event(id);
            if id == half && matches!(fault, Some(Fault::CutEvent | Fault::BreakOff)) {
                self.end(at, Outcome::Stopped);
                if fault == Some(Fault::CutEvent) {
                    let part = &text[..text.len() / 2];
                    self.write(&framed(part, chunked)).await?;
                }
                return Ok(Next::Close);
            }
            self.run(at, |run| run.made.push(Instant::now()));
            if let Err(error) = self.write(&framed(&text, chunked)).await {
                self.end(at, Outcome::Left);
                return Err(error);
            }
        }
        self.end(at, Outcome::Finished);
        if !chunked {
            return Ok(Next::Close);
        }
        self.write(b"0\r\n\r\n").await?;
        if matches!(fault, Some(Fault::Extra | Fault::LateExtra)) {
            self.surplus(fault, self.whole(at, &[])).await?;
        }
        Ok(if closes { Next::Close } else { Next::Keep })
    }

    /// Sends a second answer after a whole one, if the fault says so.
    async fn surplus(&mut self, fault: Option<Fault>, bytes: Vec<u8>) -> io::Result<()> {
        match fault {
            Some(Fault::Extra) => self.write(&bytes).await?,
            Some(Fault::LateExtra) => self.extra = bytes,
            _ => {}
        }
        Ok(())
    }
}

fn framed(text: &str, chunked: bool) -> Vec<u8> {
    if !chunked {
        return text.as_bytes().to_vec();
    }
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
