//! A client gets the events of one run, each once and in their order, and an answer that
//! lacks some of them does not look complete.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{ensure, eyre};
use futures_lite::future;
use serde_json::json;
use smol::{Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_h1::{Body, Conn, Framing, Head, Listener};
use tidepier_relay::events::{Buffer, Disorder};
use tidepier_relay_standin::client::{Answer, Call};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Fault};
use tidepier_relay_standin::site::{Route, Site, HOST};
use tidepier_relay_standin::Client;

use crate::box_harness;
use crate::harness::{
    self, ms, post, run, stream_body, stream_server_settings, wait_until, Executor, Harness,
    Result, SERVICE,
};
use crate::process::Process;

/// Time after which a connection with unacknowledged data is closed; never reached on
/// loopback.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Events of a whole stream.
const EVENTS: u64 = 8;
/// Pause between two parts of a stream.
const PAUSE: Duration = ms(40);

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Length {
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// One answer of a server.
#[derive(Debug, Clone)]
struct Script {
    length: Length,
    /// What is sent at once, with a pause after each.
    parts: Vec<String>,
    /// Whether the answer comes to its end; otherwise the connection closes before.
    whole: bool,
}

impl Script {
    fn new(length: Length, parts: &[&str], whole: bool) -> Self {
        Self {
            length,
            parts: parts.iter().map(|part| text(part)).collect(),
            whole,
        }
    }

    /// A chunked answer that comes to its end. A part is a list of events: a number stands for
    /// the event of this id, `-` for one without an id, `:` for a comment.
    fn whole(parts: &[&str]) -> Self {
        Self::new(Length::Chunked, parts, true)
    }

    /// A chunked answer that breaks off after these parts.
    fn cut(parts: &[&str]) -> Self {
        Self::new(Length::Chunked, parts, false)
    }

    /// An answer with neither a length nor chunks.
    fn unframed(parts: &[&str]) -> Self {
        Self::new(Length::UntilClose, parts, true)
    }
}

/// The text of a part; see [`Script::whole`].
fn text(part: &str) -> String {
    let event = |word: &str| match word {
        "-" => "data: piece\n\n".to_owned(),
        ":" => ": comment\n\n".to_owned(),
        // An event that is not completed.
        "half" => "id: 6\ndata: pie".to_owned(),
        id => server::event(id.parse().expect("an id")),
    };
    part.split_whitespace().map(event).collect()
}

/// A request as it reached a server.
#[derive(Debug, Clone)]
struct Asked {
    server: usize,
    last_event: Option<String>,
}

/// Servers of one service. Which answer a request gets depends only on how many requests
/// have reached them all before.
struct Servers {
    asked: Rc<RefCell<Vec<Asked>>>,
    _tasks: Vec<Task<()>>,
}

impl Servers {
    /// Starts as many servers as there are answers.
    fn start(executor: &Executor, site: &Site, scripts: &[Script]) -> Result<Self> {
        let asked = Rc::new(RefCell::new(Vec::new()));
        let scripts: Rc<[Script]> = scripts.into();
        let tasks = (0..scripts.len()).map(|server| {
            let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let entry = json!({
                "service": SERVICE, "address": listener.address()?.to_string(),
                "zone": format!("hall-{}", server + 1), "version": "v1", "slots": 16,
                "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            });
            site.store.put_server(&format!("i-{server}"), &entry);
            let (asked, scripts, tasks) = (asked.clone(), scripts.clone(), executor.clone());
            Ok(executor.spawn(async move {
                while let Ok(conn) = listener.accept(UNACKED_TIMEOUT).await {
                    let (asked, scripts) = (asked.clone(), scripts.clone());
                    let serve = async move {
                        // An error here only means that the router disconnected.
                        let _ = serve(conn, server, &asked, &scripts).await;
                    };
                    tasks.spawn(serve).detach();
                }
            }))
        });
        let _tasks = tasks.collect::<Result<_>>()?;
        Ok(Self { asked, _tasks })
    }

    /// After which event each request asked to go on.
    fn asked(&self) -> Vec<Option<String>> {
        let asked = self.asked.borrow();
        asked.iter().map(|it| it.last_event.clone()).collect()
    }

    /// The servers that were asked.
    fn reached(&self) -> Vec<usize> {
        self.asked.borrow().iter().map(|it| it.server).collect()
    }
}

async fn serve(
    mut conn: Conn,
    server: usize,
    asked: &RefCell<Vec<Asked>>,
    scripts: &[Script],
) -> Result {
    while let Some(head) = conn.request_head(HEAD_BYTES_MAX).await? {
        let mut body = Body::new(Framing::of_request(&head)?);
        while body.read(&mut conn, &mut Vec::new()).await? {}
        if head.method() == "GET" {
            let health =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: i-{server}\r\nContent-Length: 0\r\n\r\n");
            conn.writer().write_all(health.as_bytes()).await?;
            continue;
        }
        let number = asked.borrow().len();
        asked.borrow_mut().push(Asked {
            server,
            last_event: head.text(names::LAST_EVENT).map(Into::into),
        });
        let script = scripts.get(number).ok_or_else(|| eyre!("no answer left"))?;
        answer(&conn, &head, script).await?;
        if !script.whole || script.length == Length::UntilClose {
            return Ok(());
        }
    }
    Ok(())
}

async fn answer(conn: &Conn, head: &Head, script: &Script) -> Result {
    let attempt = head.text(names::ATTEMPT).unwrap_or_default();
    let framing = match script.length {
        Length::Chunked => "Transfer-Encoding: chunked\r\n",
        Length::UntilClose => "Connection: close\r\n",
    };
    let writer = conn.writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: raw\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n"
    );
    writer.write_all(head.as_bytes()).await?;
    for part in &script.parts {
        let framed = match script.length {
            Length::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
            Length::UntilClose => part.clone(),
        };
        writer.write_all(framed.as_bytes()).await?;
        Timer::after(PAUSE).await;
    }
    if script.whole && script.length == Length::Chunked {
        writer.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// A site on which streams of `/t/` may go to three servers.
fn site() -> Result<Site> {
    let site = harness::site()?;
    let resumable = Kind::Stream { resumable: true };
    site.declare(&[Route {
        attempts: 3,
        ..Route::new("/t/", resumable, SERVICE)
    }]);
    // Streams that began before the router started have one origin.
    let entry = json!({"releases": ["v1"], "complete_in": site.store.era()});
    site.store.put("tidepier/releases/service-1", &entry);
    Ok(site)
}

/// What the client gets if the servers give these answers, in this order.
async fn play(executor: &Executor, call: &Call, scripts: &[Script]) -> Result<(Answer, Servers)> {
    let site = site()?;
    let servers = Servers::start(executor, &site, scripts)?;
    let harness = Harness::start_ready(executor.clone(), site).await?;
    let answer = harness.call(call).await?;
    Ok((answer, servers))
}

/// A call by which a client takes a stream up after its fourth event.
fn take_up(target: &str) -> Call {
    post(target, "again").with(names::LAST_EVENT, "4")
}

/// Checks that an answer has all events from `first` on.
fn ensure_whole(answer: &Answer, first: u64) -> Result {
    ensure!(answer.status == 200 && answer.complete, "{answer:?}");
    ensure!(
        answer.body == stream_body(first..=EVENTS),
        "{:?}",
        answer.ids()
    );
    Ok(())
}

/// Checks that an answer has these events and does not look complete.
fn ensure_cut(answer: &Answer, text_of: &str) -> Result {
    ensure!(answer.status == 200, "{answer:?}");
    ensure!(!answer.complete, "looks complete: {answer:?}");
    ensure!(
        answer.body == text(text_of).as_bytes(),
        "{:?}",
        String::from_utf8_lossy(&answer.body)
    );
    Ok(())
}

/// Answers to `Last-Event-Id: 4` that do not go on after event 4.
const NOT_CONTINUED: [&[&str]; 7] = [
    &["1 2 3 4 5 6 7 8"],
    &["1", "2", "3", "4", "5", "6", "7", "8"],
    &["4 5 6 7 8"],
    &["4", "5 6 7 8"],
    &["6 5 7 8"],
    &["5 5 6 7 8"],
    &["5 6 8 7"],
];

/// Guards against a stream that is joined from two runs, since the server that resumes it
/// begins anew or sends events out of order.
#[test]
fn a_resumed_stream_does_not_go_back() -> Result {
    run(async |executor| {
        for parts in NOT_CONTINUED {
            let scripts = [
                Script::cut(&["1 2 3 4"]),
                Script::whole(parts),
                Script::whole(&["5 6 7 8"]),
            ];
            let (answer, servers) = play(&executor, &post("/t/x", "one"), &scripts).await?;
            ensure_whole(&answer, 1).map_err(|error| error.wrap_err(format!("{parts:?}")))?;
            let after = Some("4".to_owned());
            ensure!(
                servers.asked() == [None, after.clone(), after],
                "{:?}",
                servers.asked()
            );
            let mut reached = servers.reached();
            reached.sort_unstable();
            ensure!(reached == [0, 1, 2], "{parts:?}: {reached:?}");
        }
        Ok(())
    })
}

/// Guards against the same where no other server is left.
#[test]
fn a_stream_that_cannot_go_on_in_order_ends_incomplete() -> Result {
    run(async |executor| {
        for parts in NOT_CONTINUED {
            let scripts = [Script::cut(&["1 2 3 4"]), Script::whole(parts)];
            let (answer, _servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
            ensure_cut(&answer, "1 2 3 4").map_err(|error| error.wrap_err(format!("{parts:?}")))?;
        }
        Ok(())
    })
}

/// Guards against a stream that is completed although a server sent an event of it too
/// late: the client has later ones and lacks this one.
#[test]
fn a_stream_that_lacks_an_event_is_not_completed() -> Result {
    run(async |executor| {
        let scripts = [
            Script::cut(&["1 2 3 4"]),
            Script::whole(&["6", "5", "7 8"]),
            Script::whole(&["7 8"]),
        ];
        let (answer, _servers) = play(&executor, &post("/t/x", "one"), &scripts).await?;
        ensure_cut(&answer, "1 2 3 4 6")?;
        let scripts = [Script::whole(&["2", "1", "3"]), Script::whole(&["3"])];
        let (answer, _servers) = play(&executor, &post("/s/x", "two"), &scripts).await?;
        ensure_cut(&answer, "2")
    })
}

/// Guards against an event that comes twice, where the client lacks none.
#[test]
fn a_stream_whose_server_starts_over_is_resumed() -> Result {
    run(async |executor| {
        for parts in [["1 2 3 4 5", "1 2 3 4 5 6 7 8"], ["1 2 3 4 5", "5 6 7 8"]] {
            let scripts = [Script::whole(&parts), Script::whole(&["6 7 8"])];
            let (answer, servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
            ensure_whole(&answer, 1)?;
            ensure!(
                servers.asked() == [None, Some("5".to_owned())],
                "{:?}",
                servers.asked()
            );
        }
        Ok(())
    })
}

/// Guards against events out of order in the first answer, on a route on which a stream may
/// run once.
#[test]
fn a_stream_that_may_not_be_resumed_does_not_go_back() -> Result {
    run(async |executor| {
        for (parts, got) in [
            (["1 2 3", "2 3 4 5 6 7 8"], "1 2 3"),
            (["1 2 3", "4 4 5 6 7 8"], "1 2 3"),
            (["1 2 3", "3"], "1 2 3"),
        ] {
            let scripts = [Script::whole(&parts), Script::whole(&["1 2 3 4 5 6 7 8"])];
            let (answer, servers) = play(&executor, &post("/u/x", "one"), &scripts).await?;
            ensure_cut(&answer, got)?;
            ensure!(servers.reached().len() == 1, "{:?}", servers.reached());
        }
        let scripts = [
            Script::whole(&["2 1 3 4 5 6 7 8"]),
            Script::whole(&["1 2 3 4 5 6 7 8"]),
        ];
        let (answer, servers) = play(&executor, &post("/u/x", "two"), &scripts).await?;
        ensure!(answer.status == 502 && answer.complete, "{answer:?}");
        ensure!(servers.reached().len() == 1, "{:?}", servers.reached());
        Ok(())
    })
}

/// Guards against a client that takes its stream up and gets events again that it has.
#[test]
fn a_stream_that_is_taken_up_does_not_go_back() -> Result {
    run(async |executor| {
        for parts in NOT_CONTINUED {
            let scripts = [Script::whole(parts), Script::whole(&["5 6 7 8"])];
            let (answer, servers) = play(&executor, &take_up("/s/x"), &scripts).await?;
            ensure_whole(&answer, 5).map_err(|error| error.wrap_err(format!("{parts:?}")))?;
            let after = Some("4".to_owned());
            ensure!(
                servers.asked() == [after.clone(), after],
                "{:?}",
                servers.asked()
            );
            let (answer, _servers) = play(&executor, &take_up("/s/x"), &scripts[..1]).await?;
            ensure!(answer.status == 502 && answer.complete, "{answer:?}");
            ensure!(answer.field(names::SEAL).is_none(), "{answer:?}");
        }
        Ok(())
    })
}

/// Guards against an event without an id that comes twice, since the stream is resumed after
/// the one before it.
#[test]
fn a_stream_is_not_resumed_after_an_event_without_an_id() -> Result {
    run(async |executor| {
        let rest = Script::whole(&["- 3 - 5 6 7 8"]);
        for (got, parts) in [("1 -", vec!["1 -"]), ("1 - 3 -", vec!["1", "- 3", "-"])] {
            let scripts = [Script::cut(&parts), rest.clone()];
            let (answer, servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
            ensure_cut(&answer, got)?;
            ensure!(servers.reached().len() == 1, "{:?}", servers.reached());
        }
        // No event of this one has an id.
        let scripts = [Script::cut(&["- -"]), Script::whole(&["- - -"])];
        let (answer, servers) = play(&executor, &post("/s/x", "two"), &scripts).await?;
        ensure_cut(&answer, "- -")?;
        ensure!(servers.reached().len() == 1, "{:?}", servers.reached());
        // The next event with an id covers it.
        let scripts = [Script::cut(&["1 - 3 4"]), Script::whole(&["5 6 7 8"])];
        let (answer, servers) = play(&executor, &post("/s/x", "three"), &scripts).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(
            answer.body == text("1 - 3 4 5 6 7 8").as_bytes(),
            "{answer:?}"
        );
        ensure!(servers.asked()[1].as_deref() == Some("4"));
        Ok(())
    })
}

/// Guards against streams that are given up for a comment, which carries nothing.
#[test]
fn a_stream_is_resumed_after_a_comment() -> Result {
    run(async |executor| {
        let scripts = [
            Script::cut(&[":", "1 2 3 4 :", ":"]),
            Script::whole(&["5 6 7 8"]),
        ];
        let (answer, servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(answer.ids().into_iter().eq(1..=EVENTS), "{answer:?}");
        ensure!(servers.asked()[1].as_deref() == Some("4"));
        Ok(())
    })
}

/// Guards against ids that rise with gaps being taken for events out of order.
#[test]
fn ids_may_have_gaps() -> Result {
    run(async |executor| {
        let scripts = [
            Script::cut(&["2 3 7", "20"]),
            Script::whole(&["31", "40 100"]),
        ];
        let (answer, _servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
        ensure!(answer.complete, "{answer:?}");
        ensure!(
            answer.ids() == [2, 3, 7, 20, 31, 40, 100],
            "{:?}",
            answer.ids()
        );
        Ok(())
    })
}

/// Guards against an unframed stream that ends within an event, and is passed on as
/// complete.
#[test]
fn an_unframed_stream_that_ends_within_an_event_broke_off() -> Result {
    run(async |executor| {
        let broken = Script::unframed(&["1 2 3", "4 5 half"]);
        let scripts = [broken.clone(), Script::whole(&["6 7 8"])];
        let (answer, servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
        ensure_whole(&answer, 1)?;
        ensure!(servers.asked()[1].as_deref() == Some("5"));
        let (answer, servers) = play(&executor, &post("/u/x", "two"), &scripts).await?;
        ensure_cut(&answer, "1 2 3 4 5")?;
        ensure!(servers.reached().len() == 1, "{:?}", servers.reached());
        Ok(())
    })
}

/// Guards against an unframed answer without an event, which nothing shows to be whole.
#[test]
fn an_unframed_stream_without_an_event_broke_off() -> Result {
    run(async |executor| {
        let empty = Script::unframed(&[]);
        let scripts = [empty.clone(), Script::whole(&["1 2 3 4 5 6 7 8"])];
        let (answer, _servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
        ensure_whole(&answer, 1)?;
        let (answer, _servers) = play(&executor, &post("/u/x", "two"), &scripts).await?;
        ensure!(answer.status == 502, "{answer:?}");
        let scripts = [Script::cut(&["1 2 3 4"]), empty];
        let (answer, _servers) = play(&executor, &post("/s/x", "three"), &scripts).await?;
        ensure_cut(&answer, "1 2 3 4")
    })
}

/// Guards against streams that are given up since the server that resumes them states no
/// length.
#[test]
fn a_stream_is_resumed_by_an_unframed_answer() -> Result {
    run(async |executor| {
        for first in [
            Script::cut(&["1 2 3 4"]),
            Script::unframed(&["1 2 3 4 half"]),
        ] {
            let scripts = [first, Script::unframed(&["5 6", "7 8"])];
            let (answer, _servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
            ensure_whole(&answer, 1)?;
        }
        Ok(())
    })
}

/// Guards against clients that lose their connection by an unframed answer of a server.
#[test]
fn an_unframed_stream_is_sent_in_chunks() -> Result {
    run(async |executor| {
        let site = site()?;
        let unframed = Script::unframed(&["1 2 3 4", "5 6 7 8"]);
        let scripts = [unframed.clone(), unframed];
        let _servers = Servers::start(&executor, &site, &scripts)?;
        let harness = Harness::start_ready(executor.clone(), site).await?;
        let mut client = Client::open(harness.router_address()).await?;
        for attempt in ["one", "two"] {
            let answer = client.call(&post("/u/x", attempt)).await;
            ensure_whole(&answer, 1)?;
            ensure!(answer.field("Transfer-Encoding") == Some("chunked"));
            ensure!(answer.field("Connection").is_none(), "{answer:?}");
        }
        Ok(())
    })
}

/// What a buffer takes of these parts, and the last id after it.
fn take(parts: &[&str]) -> std::result::Result<(String, Option<u64>), Disorder> {
    let mut events = Buffer::default();
    let mut taken = Vec::new();
    for part in parts {
        events.buffer().extend_from_slice(part.as_bytes());
        taken.extend(events.take_complete()?);
    }
    taken.extend(events.take_rest()?);
    Ok((String::from_utf8_lossy(&taken).into_owned(), events.last()))
}

/// Guards against ids and ends of events that are missed as they arrive in parts, or with
/// other line ends.
#[test]
fn events_are_read_however_their_bytes_arrive() -> Result {
    let ordered = "id: 1\ndata: a\n\n: c\n\ndata: b\nid: 2\n\nid:7\ndata: id: 3\n\nid: 9\ndata";
    let disordered = "id: 4\ndata: a\n\nid: 6\ndata: b\n\nid:4\ndata: c\n\n";
    for newline in ["\n", "\r\n"] {
        let [ordered, disordered] = [ordered, disordered].map(|it| it.replace('\n', newline));
        for first in 0..=ordered.len() {
            for second in first..=ordered.len() {
                let parts = [
                    &ordered[..first],
                    &ordered[first..second],
                    &ordered[second..],
                ];
                ensure!(take(&parts) == Ok((ordered.clone(), Some(9))), "{parts:?}");
            }
        }
        for at in 0..=disordered.len() {
            let (first, second) = disordered.split_at(at);
            let expected = Err(Disorder { id: 4, last: 6 });
            ensure!(take(&[first, second]) == expected, "{first:?} {second:?}");
        }
    }
    // The last event is not complete, but the stream may be.
    let rest = take(&["id: 2\n\n", "id: 1"]);
    ensure!(rest == Err(Disorder { id: 1, last: 2 }), "{rest:?}");
    Ok(())
}

/// A request for a stream of a client that speaks HTTP/1.0, and knows no chunks.
fn old_request(target: &str, attempt: &str) -> String {
    format!(
        "POST {target} HTTP/1.0\r\nHost: {HOST}\r\n{}: {attempt}\r\n{}: 9000\r\n\
         Content-Length: 0\r\n\r\n",
        names::ATTEMPT,
        names::DEADLINE,
    )
}

/// Guards against chunks in answers to clients that do not know them.
#[test]
fn a_client_of_http_1_0_gets_no_chunks() -> Result {
    run(async |executor| {
        for script in [
            Script::whole(&["1 2 3 4", "5 6 7 8"]),
            Script::unframed(&["1 2 3 4", "5 6 7 8"]),
        ] {
            let site = site()?;
            let _servers = Servers::start(&executor, &site, &[script])?;
            let harness = Harness::start_ready(executor.clone(), site).await?;
            let mut client = Client::open(harness.router_address()).await?;
            client.send(old_request("/u/x", "one").as_bytes()).await?;
            let answer = client.answer("POST", ms(5_000)).await;
            ensure_whole(&answer, 1)?;
            ensure!(answer.field("Transfer-Encoding").is_none(), "{answer:?}");
        }
        Ok(())
    })
}

/// Guards against an answer that looks complete to a client that has closed its own side,
/// and is taken to be gone.
#[test]
fn an_answer_does_not_look_complete_to_a_half_closed_client() -> Result {
    run(async |executor| {
        let site = site()?;
        let server = site.server(stream_server_settings(1, 100, ms(20)))?;
        server.fault(Fault::Unframed, u32::MAX);
        let harness = Harness::start_ready(executor, site).await?;
        for version in ["HTTP/1.0", "HTTP/1.1"] {
            let mut client = Client::open(harness.router_address()).await?;
            let request = old_request("/u/x", version).replacen("HTTP/1.0", version, 1);
            client.send(request.as_bytes()).await?;
            wait_until("begun", async || {
                let runs = server.runs();
                let run = runs.iter().find(|run| run.attempt == version);
                Ok(run.is_some_and(|run| run.made.len() > 3))
            })
            .await?;
            client.half_close();
            let answer = client.answer("POST", ms(5_000)).await;
            ensure!(!answer.complete, "{version}: looks complete: {answer:?}");
        }
        Ok(())
    })
}

/// How the process of a router ends.
#[derive(Debug, Clone, Copy)]
enum Death {
    /// It is killed.
    Kill,
    /// It is stopped, and ends before the stream does.
    Stop,
}

/// What two clients hold of long streams whose router, a process, ends: one that knows
/// chunks, and one that does not.
async fn answers_of_ended_router(fault: Option<Fault>, death: Death) -> Result<[Answer; 2]> {
    let site = site()?;
    let server = site.server(stream_server_settings(1, 400, ms(20)))?;
    if let Some(fault) = fault {
        server.fault(fault, u32::MAX);
    }
    let address = box_harness::address();
    let mut settings = harness::settings(&site);
    settings["callers"] = SocketAddr::new(address.ip(), box_harness::FRONT_PORT)
        .to_string()
        .into();
    settings["bounds"]["stop_within"] = 3_000.into();
    if let Some(settings) = settings.as_object_mut() {
        settings.remove("readiness");
    }
    let name = format!("order-{}-{}", address.ip(), std::process::id());
    let mut process = Process::start(&name, "warn", &settings)?;
    let front = process.front;
    wait_until("listening", async || Ok(Client::open(front).await.is_ok())).await?;
    let (modern, old) = (Cell::new(false), Cell::new(false));
    let modern_call = async {
        // Until the router knows the server, it refuses.
        let call = post("/u/x", "modern").with(names::DEADLINE, "9000");
        loop {
            let answer = Client::once(front, &call).await?;
            if answer.status != 503 {
                modern.set(true);
                return Ok(answer);
            }
            Timer::after(ms(20)).await;
        }
    };
    let old_call = async {
        loop {
            let mut client = Client::open(front).await?;
            client.send(old_request("/u/x", "old").as_bytes()).await?;
            let answer = client.answer("POST", ms(10_000)).await;
            if answer.status != 503 {
                old.set(true);
                return Ok(answer);
            }
            Timer::after(ms(20)).await;
        }
    };
    let end = async {
        wait_until("begun", async || {
            let runs = server.runs();
            Ok(runs.iter().filter(|run| run.made.len() > 9).count() == 2)
        })
        .await?;
        ensure!(!modern.get() && !old.get(), "an answer ended before");
        match death {
            Death::Kill => process.kill()?,
            Death::Stop => process.signal("-TERM")?,
        }
        Result::Ok(())
    };
    let both = future::try_zip(modern_call, old_call);
    let ((modern, old), ()) = future::try_zip(both, end).await?;
    Ok([modern, old])
}

/// Checks that both clients can tell that their streams broke off.
async fn ensure_cut_by(death: Death) -> Result {
    let mut whole = Vec::new();
    for fault in [None, Some(Fault::Unframed)] {
        let answers = answers_of_ended_router(fault, death).await?;
        for (client, answer) in ["HTTP/1.1", "HTTP/1.0"].into_iter().zip(&answers) {
            ensure!(answer.status == 200, "{fault:?}, {client}: {answer:?}");
            let events = answer.ids().len();
            ensure!(
                events > 3 && events < 400,
                "the test did not reach its case: {events} events"
            );
            if answer.complete {
                whole.push((fault, client, events));
            }
        }
    }
    ensure!(whole.is_empty(), "look complete: {whole:?}");
    Ok(())
}

/// Guards against streams that look complete as the process that forwards them is killed:
/// the system closes its connections in order.
#[test]
fn a_stream_does_not_look_complete_if_its_router_is_killed() -> Result {
    run(async |_| ensure_cut_by(Death::Kill).await)
}

/// Guards against the same at the end of a graceful shutdown that the stream outlasts.
#[test]
fn a_stream_does_not_look_complete_if_its_router_stops() -> Result {
    run(async |_| ensure_cut_by(Death::Stop).await)
}

/// Guards against a stream that is given up though its client lacks nothing, since the
/// server sent the late event together with the one before which it belongs.
#[test]
fn a_stream_is_resumed_if_nothing_of_the_disorder_was_forwarded() -> Result {
    run(async |executor| {
        let mut failed = Vec::new();
        for parts in [
            ["1 2 3 4", "6 5 7 8"],
            ["1 2 3 4", "5 5 6 7 8"],
            ["1 2 3 4", "5 6 8 7"],
        ] {
            let scripts = [Script::whole(&parts), Script::whole(&["5 6 7 8"])];
            let (answer, servers) = play(&executor, &post("/s/x", "one"), &scripts).await?;
            if ensure_whole(&answer, 1).is_err() {
                let ids = answer.ids();
                failed.push((parts, ids, answer.complete, servers.reached().len()));
            }
        }
        ensure!(failed.is_empty(), "{failed:?}");
        Ok(())
    })
}

/// Guards against a stream that goes back past the check by the way in which its ids and
/// lines are written.
#[test]
fn ids_are_compared_however_they_are_written() -> Result {
    run(async |executor| {
        let mut failed = Vec::new();
        let spellings: [fn(u64) -> String; 6] = [
            |id| format!("id: {id}\r\ndata: piece\r\n\r\n"),
            |id| format!("id:{id}\ndata: piece\n\n"),
            |id| format!("id:  {id} \ndata: piece\n\n"),
            |id| format!("id: 0{id}\ndata: piece\n\n"),
            |id| format!("weight-versions: 3\nid: {id}\ndata: piece\n\n"),
            |id| format!(": note\ndata: piece\nid: {id}\n\r\n"),
        ];
        for (number, event) in spellings.into_iter().enumerate() {
            let part = |ids: &[u64]| ids.iter().map(|id| event(*id)).collect::<String>();
            let script = |parts: Vec<String>, whole| Script {
                length: Length::Chunked,
                parts,
                whole,
            };
            let scripts = [
                script(vec![part(&[1, 2]), part(&[3, 4])], false),
                script(vec![part(&[4, 5, 6])], true),
                script(vec![part(&[5, 6])], true),
            ];
            let (answer, servers) = play(&executor, &post("/t/x", "one"), &scripts).await?;
            let got = String::from_utf8_lossy(&answer.body).into_owned();
            if !(answer.complete && got == part(&[1, 2, 3, 4, 5, 6])) {
                failed.push((number, answer.status, answer.complete, got, servers.asked()));
            }
        }
        ensure!(failed.is_empty(), "{failed:?}");
        Ok(())
    })
}

/// Guards against a client's own spelling of the event after which it takes its stream up
/// that keeps the events from being compared with it.
#[test]
fn a_stream_is_taken_up_however_the_client_writes_the_id() -> Result {
    run(async |executor| {
        let mut failed = Vec::new();
        for id in ["04", "4 ", "+4"] {
            let call = post("/s/x", "again").with(names::LAST_EVENT, id);
            let scripts = [
                Script::whole(&["1 2 3 4 5 6 7 8"]),
                Script::whole(&["5 6 7 8"]),
            ];
            let (answer, servers) = play(&executor, &call, &scripts).await?;
            let refused = answer.status >= 400 && answer.complete;
            if !refused && ensure_whole(&answer, 5).is_err() {
                failed.push((id, answer.status, answer.ids(), servers.asked()));
            }
        }
        ensure!(failed.is_empty(), "{failed:?}");
        Ok(())
    })
}

/// Guards against an answer that looks complete to a client that knows no chunks, after its
/// stream broke off or went on elsewhere.
#[test]
fn a_client_of_http_1_0_is_shown_a_broken_stream() -> Result {
    run(async |executor| {
        let rest = Script::whole(&["5 6 7 8"]);
        for (target, scripts, whole) in [
            ("/u/x", vec![Script::cut(&["1 2", "3 4"])], false),
            ("/u/x", vec![Script::whole(&["1 2", "3 4", "4 5"])], false),
            ("/s/x", vec![Script::cut(&["1 2", "3 4"]), rest], true),
        ] {
            let site = site()?;
            let _servers = Servers::start(&executor, &site, &scripts)?;
            let harness = Harness::start_ready(executor.clone(), site).await?;
            let mut client = Client::open(harness.router_address()).await?;
            client.send(old_request(target, "one").as_bytes()).await?;
            let answer = client.answer("POST", ms(5_000)).await;
            if whole {
                ensure_whole(&answer, 1)?;
            } else {
                ensure_cut(&answer, "1 2 3 4")?;
            }
        }
        Ok(())
    })
}

/// Guards against streams that are refused although nothing in them is out of order.
#[test]
fn streams_without_ids_are_served() -> Result {
    run(async |executor| {
        for target in ["/s/x", "/u/x"] {
            for parts in [vec!["- -", "-"], vec!["- 1", "- 2 : -"], vec![":", "1"]] {
                let scripts = [Script::whole(&parts)];
                let (answer, _servers) = play(&executor, &post(target, "one"), &scripts).await?;
                ensure!(answer.status == 200 && answer.complete, "{answer:?}");
                ensure!(
                    answer.body == text(&parts.join(" ")).as_bytes(),
                    "{answer:?}"
                );
            }
        }
        Ok(())
    })
}
