//! A client that sends what a test asks for, well-behaved or not.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{future, FutureExt};
use smol::Timer;
use tidepier_h1::{Body, Conn, Framing};

use crate::front;
use crate::names;

/// Time for a connection to come up.
const OPEN_LIMIT: Duration = Duration::from_secs(1);

/// The body of a call.
#[derive(Debug, Clone, Default)]
pub enum Payload {
    /// None, and no length.
    #[default]
    Empty,
    /// With its length.
    Sized(Vec<u8>),
    /// In chunks.
    Chunked(Vec<Vec<u8>>),
}

/// One request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// All fields but those of the framing.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub payload: Payload,
    /// Pause between the head and the body, and between chunks.
    pub pause: Duration,
    /// When the client gives up and closes the connection.
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

    /// Sets a field, in place of one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields
            .retain(|(told, _)| !told.eq_ignore_ascii_case(name));
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

    /// Sets when the client leaves.
    pub fn leaving(mut self, after: Duration) -> Self {
        self.leave = after;
        self
    }

    /// The pieces that it is sent in.
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

/// One event of a stream, as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Its text, up to and with its empty line.
    pub text: String,
    /// When it was whole, from the sending of the request.
    pub after: Duration,
}

impl Arrival {
    /// Its id.
    pub fn id(&self) -> Option<u64> {
        let line = self.text.lines().find_map(|line| line.strip_prefix("id:"));
        line?.trim().parse().ok()
    }
}

/// How a connection stood once an answer was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Open.
    Open,
    /// Closed by the peer before the answer was whole.
    Closed,
    /// Reset by the peer before the answer was whole.
    Reset,
    /// The client left.
    Left,
    /// What came was no HTTP.
    Malformed,
}

/// What came back for a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    /// Fields of the head.
    pub fields: Vec<(String, String)>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub complete: bool,
    /// How the connection stood afterwards.
    pub end: End,
    /// Time from the sending of the request to the end of the answer.
    pub elapsed: Duration,
    /// Events of the body, if it has any.
    pub events: Vec<Arrival>,
}

impl Answer {
    /// The value of a field, by its name in any case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(told, _)| told.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// The ids of its events, in order.
    pub fn ids(&self) -> Vec<u64> {
        self.events.iter().filter_map(Arrival::id).collect()
    }

    /// Time to the first event.
    pub fn first_event(&self) -> Option<Duration> {
        self.events.first().map(|event| event.after)
    }

    /// Splits off the events that the body now has beyond those known.
    fn scan(&mut self, scanned: &mut usize, after: Duration) {
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
    /// The peer refused or did not answer within a second.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let conn = Conn::open(address, OPEN_LIMIT, front::UNACKED).await?;
        Ok(Self { conn })
    }

    /// Sends one call on a connection of its own.
    ///
    /// # Errors
    ///
    /// The connection did not come up.
    pub async fn once(address: SocketAddr, call: &Call) -> io::Result<Answer> {
        let mut client = Self::open(address).await?;
        Ok(client.call(call).await)
    }

    /// Sends a call and reads its answer, both at once. After the call's time
    /// the answer is what had come; dropping the client then closes the
    /// connection.
    pub async fn call(&mut self, call: &Call) -> Answer {
        let pieces = call.pieces();
        let writer = self.conn.writer();
        let send = async {
            for piece in &pieces {
                writer.write_all(piece).await?;
                Timer::after(call.pause).await;
            }
            Ok(())
        };
        let left = async {
            Timer::after(call.leave).await;
            Ok(())
        };
        let answer = self.answer(&call.method, call.leave);
        let (sent, mut answer) = future::zip(send.or(left), answer).await;
        // A reset that a write has met is a plain end to reads.
        let reset = sent.is_err_and(|error: io::Error| end_of(&error) == End::Reset);
        if reset && answer.end == End::Closed {
            answer.end = End::Reset;
        }
        answer
    }

    /// Sends several calls without waiting, then reads their answers in order.
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

    /// Ends the sending side; answers can still be read.
    pub fn half_close(&self) {
        self.conn.writer().finish();
    }

    /// Leaves with a reset.
    ///
    /// # Errors
    ///
    /// The connection was closed already.
    pub fn reset(self) -> io::Result<()> {
        self.conn.writer().reset_on_close()
    }

    /// Whether the connection is open and nothing unasked has come.
    pub fn rests(&mut self) -> bool {
        self.conn.rests()
    }

    /// Reads the answer to a request of `method` for up to `limit`.
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
    let head = match conn.head(front::HEAD_BYTES).await {
        Ok(Some(head)) => head,
        Ok(None) => return End::Closed,
        Err(tidepier_h1::Malformed::Lost(error)) => return end_of(&error),
        Err(tidepier_h1::Malformed::BrokenOff) => return End::Closed,
        Err(_) => return End::Malformed,
    };
    answer.status = head.status();
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
            Ok(true) if events => answer.scan(&mut scanned, start.elapsed()),
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => return end_of(&error),
        }
    }
    answer.complete = true;
    End::Open
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => End::Closed,
        io::ErrorKind::InvalidData => End::Malformed,
        // The peer closed before it was written to; it said no more than that.
        io::ErrorKind::BrokenPipe => End::Closed,
        _ => End::Reset,
    }
}
