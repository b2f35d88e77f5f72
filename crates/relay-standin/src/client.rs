//! A client that sends the requests of a test, whether valid or not.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{future, FutureExt};
use smol::Timer;
use tidepier_h1::{Body, Conn, Framing};

use crate::http;
use crate::names;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The lowest status.
const STATUS_MIN: u16 = 100;

/// The body of a call.
#[derive(Debug, Clone, Default)]
pub enum Payload {
    /// No body and no length.
    #[default]
    Empty,
    /// A body with a content length.
    Sized(Vec<u8>),
    /// A chunked body.
    Chunked(Vec<Vec<u8>>),
}

/// One request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// All fields except those of the framing.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub payload: Payload,
    /// Pause between the head and the body, and between chunks.
    pub pause: Duration,
    /// Time-out after which the client gives up and closes the connection.
    pub leave: Duration,
}

impl Call {
    /// A call without a body, with an attempt id and a deadline of 4 s.
    pub fn new(method: &str, host: &str, target: &str, attempt: &str) -> Self {
        let call = Self {
            method: method.into(),
            target: target.into(),
            fields: Vec::new(),
            payload: Payload::Empty,
            pause: Duration::ZERO,
            leave: Duration::from_secs(10),
        };
        call.with("Host", host)
            .with(names::ATTEMPT, attempt)
            .with(names::DEADLINE, "4000")
    }

    /// Sets a field, replacing one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields
            .retain(|(key, _)| !key.eq_ignore_ascii_case(name));
        self.fields.push((name.into(), value.into()));
        self
    }

    /// Sets the API key.
    pub fn key(self, key: &str) -> Self {
        self.with("Authorization", &format!("Bearer {key}"))
    }

    /// Sets a body with a length.
    pub fn body(mut self, bytes: &[u8]) -> Self {
        self.payload = Payload::Sized(bytes.to_vec());
        self
    }

    /// Sets the time-out of the client.
    pub fn leaving(mut self, after: Duration) -> Self {
        self.leave = after;
        self
    }

    /// The parts that the call is sent in.
    fn pieces(&self) -> Vec<Vec<u8>> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let mut pieces = match &self.payload {
            Payload::Empty => Vec::new(),
            Payload::Sized(bytes) => {
                head.push_str(&format!("Content-Length: {}\r\n", bytes.len()));
                vec![bytes.clone()]
            }
            Payload::Chunked(chunks) => {
                head.push_str("Transfer-Encoding: chunked\r\n");
                let framed = |chunk: &Vec<u8>| {
                    [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()
                };
                let mut pieces: Vec<_> = chunks.iter().map(framed).collect();
                pieces.push(b"0\r\n\r\n".to_vec());
                pieces
            }
        };
        head.push_str("\r\n");
        pieces.insert(0, head.into_bytes());
        pieces
    }
}

/// An event of a stream, as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The text of the event, including the empty line that ends it.
    pub text: String,
    /// Time from the sending of the request until the event was complete.
    pub after: Duration,
}

impl Arrival {
    /// The id of the event.
    pub fn id(&self) -> Option<u64> {
        let line = self.text.lines().find_map(|line| line.strip_prefix("id:"));
        line?.trim().parse().ok()
    }
}

/// State of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The connection is open.
    Open,
    /// The peer closed it before the answer was complete.
    Closed,
    /// The peer reset it before the answer was complete.
    Reset,
    /// The time-out of the client expired.
    Left,
    /// The received bytes are not valid HTTP.
    Malformed,
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; 0 if no head was received.
    pub status: u16,
    /// Fields of the head.
    pub fields: Vec<(String, String)>,
    /// The body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
    /// State of the connection afterwards.
    pub end: End,
    /// Time from the sending of the request to the end of the answer.
    pub elapsed: Duration,
    /// Events of the body, if it has any.
    pub events: Vec<Arrival>,
}

impl Answer {
    /// Whether the connection can be used for another request after this answer.
    pub fn is_reusable(&self) -> bool {
        let close = self.field("Connection");
        self.complete && close.is_none_or(|value| !value.eq_ignore_ascii_case("close"))
    }

    /// The value of a field; the case of the name does not matter.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// The ids of the events, in order.
    pub fn ids(&self) -> Vec<u64> {
        self.events.iter().filter_map(Arrival::id).collect()
    }

    /// Time from the sending of the request to the first event.
    pub fn first_event(&self) -> Option<Duration> {
        self.events.first().map(|event| event.after)
    }

    /// Parses the events that the body contains beyond the bytes scanned so far.
    fn parse_events(&mut self, scanned: &mut usize, after: Duration) {
        while let Some(end) = self.body[*scanned..]
            .windows(2)
            .position(|at| at == b"\n\n")
        {
            let event = &self.body[*scanned..*scanned + end + 2];
            let text = String::from_utf8_lossy(event).into_owned();
            self.events.push(Arrival { text, after });
            *scanned += end + 2;
        }
    }
}

/// A connection of a client.
pub struct Client {
    conn: Conn,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// The peer refused the connection or did not accept it within a second.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let conn = Conn::open(address, CONNECT_TIMEOUT, http::UNACKED_TIMEOUT).await?;
        Ok(Self { conn })
    }

    /// Sends one call on a connection of its own.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn once(address: SocketAddr, call: &Call) -> io::Result<Answer> {
        let mut client = Self::open(address).await?;
        Ok(client.call(call).await)
    }

    /// Sends a call and reads its answer concurrently. After the time-out of the call it
    /// returns what has been received; dropping the client then closes the connection.
    pub async fn call(&mut self, call: &Call) -> Answer {
        let pieces = call.pieces();
        let pieces = pieces.iter().map(Vec::as_slice);
        self.exchange(&call.method, pieces, call.pause, call.leave)
            .await
    }

    /// Sends bytes as they are, with a pause after each piece, and reads an answer
    /// concurrently. Returns what has been received after `leave` at the latest.
    pub async fn exchange(
        &mut self,
        method: &str,
        pieces: impl Iterator<Item = &[u8]>,
        pause: Duration,
        leave: Duration,
    ) -> Answer {
        let writer = self.conn.writer();
        let send = async {
            for piece in pieces {
                writer.write_all(piece).await?;
                if !pause.is_zero() {
                    Timer::after(pause).await;
                }
            }
            io::Result::Ok(())
        };
        let left = async {
            Timer::after(leave).await;
            Ok(())
        };
        let answer = self.answer(method, leave);
        let (sent, answer) = future::zip(send.or(left), answer).await;
        if let Err(error) = sent {
            log::debug!("the request was not sent completely: {error}");
        }
        answer
    }

    /// Sends several calls at once, then reads their answers in order.
    pub async fn pipeline(&mut self, calls: &[Call]) -> Vec<Answer> {
        let mut bytes: Vec<u8> = Vec::new();
        for call in calls {
            bytes.extend(call.pieces().concat());
        }
        let mut answers = Vec::new();
        if let Err(error) = self.send(&bytes).await {
            log::debug!("the pipeline broke off: {error}");
        }
        for call in calls {
            answers.push(self.answer(&call.method, call.leave).await);
        }
        answers
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.conn.writer().write_all(bytes).await
    }

    /// Shuts down the sending side; answers can still be read.
    pub fn half_close(&self) {
        self.conn.writer().finish();
    }

    /// Closes the connection with a reset.
    ///
    /// # Errors
    ///
    /// The connection was closed already.
    pub fn reset(self) -> io::Result<()> {
        self.conn.writer().reset_on_close()
    }

    /// Whether the connection is open and no unexpected bytes have arrived.
    pub fn rests(&mut self) -> bool {
        self.conn.rests()
    }

    /// Reads the answer to a request with `method`, for at most `limit`.
    pub async fn answer(&mut self, method: &str, limit: Duration) -> Answer {
        let start = Instant::now();
        let mut answer = Answer {
            status: 0,
            fields: Vec::new(),
            body: Vec::new(),
            complete: false,
            end: End::Open,
            elapsed: Duration::ZERO,
            events: Vec::new(),
        };
        let left = async {
            Timer::after(limit).await;
            End::Left
        };
        answer.end = read(&mut self.conn, &mut answer, method, start)
            .or(left)
            .await;
        answer.elapsed = start.elapsed();
        answer
    }
}

async fn read(conn: &mut Conn, answer: &mut Answer, method: &str, start: Instant) -> End {
    let head = match conn.answer_head(http::HEAD_BYTES_MAX).await {
        Ok(head) => head,
        Err(tidepier_h1::Malformed::Lost(error)) => return end_of(&error),
        Err(tidepier_h1::Malformed::BrokenOff) => return End::Closed,
        Err(_) => return End::Malformed,
    };
    // Not left to the parser of the relay, whose answers are judged here.
    let status = head.status().code();
    if status < STATUS_MIN || !head.fields().all(|field| is_token(field.name)) {
        return End::Malformed;
    }
    answer.status = status;
    let owned = |field: tidepier_h1::Field<'_>| (field.name.into(), field.text().into());
    answer.fields = head.fields().map(owned).collect();
    let Ok(framing) = Framing::of_answer(&head, method) else {
        return End::Malformed;
    };
    let events = answer.field("Content-Type") == Some("text/event-stream");
    let mut body = Body::new(framing);
    let mut scanned = 0;
    loop {
        match body.read(conn, &mut answer.body).await {
            Ok(true) if events => answer.parse_events(&mut scanned, start.elapsed()),
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => return end_of(&error),
        }
    }
    answer.complete = true;
    End::Open
}

/// Whether this can be the name of a field.
fn is_token(name: &str) -> bool {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token)
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => End::Closed,
        io::ErrorKind::InvalidData => End::Malformed,
        // The peer closed the connection before the write; there is no sign of a reset.
        io::ErrorKind::BrokenPipe => End::Closed,
        _ => End::Reset,
    }
}
