//! Tests of servers and clients.

use std::time::Duration;

use smol::Timer;
use tidepier_relay_standin::client::{Answer, Call, Client, End, Payload};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{event, Events, Fault, Outcome, Repeat, Settings};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Server;

use crate::ms;

/// Time after which nothing more is expected to arrive.
const QUIET_TIME: Duration = Duration::from_millis(150);

fn post(attempt: &str) -> Call {
    Call::new("POST", HOST, "/a/b?c=1", attempt).body(b"question")
}

async fn sent(server: &Server, call: Call) -> Answer {
    Client::once(server.address(), &call).await.unwrap()
}

#[test]
fn a_server_answers_and_records_requests() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        let chunks = Payload::Chunked(vec![b"que".to_vec(), b"stion".to_vec()]);
        let mut call = post("one").with(names::TARGET, "i-1");
        call.payload = chunks;
        let answer = sent(&server, call).await;
        let run = &server.runs()[0];
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.field(names::SEAL), Some(&*run.seal));
        assert_eq!(answer.field(names::LOAD), Some("0,0,4"));
        assert_eq!(answer.body, run.text(64));
        assert_eq!(run.body.as_deref(), Some(&b"question"[..]));
        assert_eq!((run.outcome, server.ran("one")), (Outcome::Finished, 1));
        let other = sent(&server, post("two").with(names::TARGET, "i-2")).await;
        assert_eq!(
            (other.status, other.field(names::INSTANCE)),
            (421, Some("i-1"))
        );
        assert_eq!(server.ran("two"), 0);
        let health = sent(&server, Call::new("GET", HOST, "/healthz", "h")).await;
        assert_eq!(
            (health.status, server.probes(), server.runs().len()),
            (200, 1, 2)
        );
        let late = Settings {
            work: ms(500),
            ..Settings::default()
        };
        let slow = Server::start(late).unwrap();
        assert_eq!(
            sent(&slow, post("late").with(names::DEADLINE, "50"))
                .await
                .status,
            504
        );
    });
}

#[test]
fn a_full_server_queues_then_sheds() {
    smol::block_on(async {
        let settings = Settings {
            slots: 1,
            queue: 1,
            work: ms(100),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        let calls = ["a", "b", "c"].map(post);
        let address = server.address();
        let send = |call| smol::spawn(async move { Client::once(address, &call).await });
        let calls = calls.map(send);
        let mut statuses = Vec::new();
        for call in calls {
            statuses.push(call.await.unwrap().status);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503]);
        assert_eq!(server.running(), 0);
    });
}

#[test]
fn concurrent_calls_share_the_queue() {
    smol::block_on(async {
        for _ in 0..30 {
            let settings = Settings {
                slots: 1,
                queue: 1,
                work: ms(60),
                ..Settings::default()
            };
            let server = Server::start(settings).unwrap();
            let address = server.address();
            let attempts = ["a", "b", "c", "d", "e", "f", "g", "h"];
            let send = |call| smol::spawn(async move { Client::once(address, &call).await });
            let calls = attempts.map(post).map(send);
            let mut served = 0;
            for call in calls {
                served += usize::from(call.await.unwrap().status == 200);
            }
            assert_eq!(served, 2);
        }
    });
}

#[test]
fn a_client_that_leaves_is_noticed() {
    smol::block_on(async {
        let settings = Settings {
            work: ms(2_000),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        let answer = sent(&server, post("gone").leaving(ms(50))).await;
        assert_eq!((answer.status, answer.end), (0, End::Left));
        Timer::after(QUIET_TIME).await;
        let run = &server.runs()[0];
        assert_eq!(run.outcome, Outcome::Left);
        assert!(run.closed.is_some());
    });
}

#[test]
fn streams_resume_and_break_off() {
    smol::block_on(async {
        let events = Some(Events {
            count: 6,
            pause: ms(10),
        });
        let server = Server::start(Settings {
            events,
            ..Settings::default()
        })
        .unwrap();
        let whole = sent(&server, post("s")).await;
        assert_eq!(
            (whole.ids(), whole.complete),
            (vec![1, 2, 3, 4, 5, 6], true)
        );
        assert!(whole.first_event().unwrap() < whole.elapsed);
        let rest = sent(&server, post("t").with(names::LAST_EVENT, "4")).await;
        assert_eq!(rest.body, [event(5), event(6)].concat().as_bytes());
        server.fault(Fault::CutEvent, 1);
        let cut = sent(&server, post("u")).await;
        assert_eq!(
            (cut.ids(), cut.complete, cut.end),
            (vec![1, 2, 3], false, End::Closed)
        );
        assert!(cut.body.len() > event(1).len() * 3);
        server.fault(Fault::BreakOff, 1);
        let broken = sent(&server, post("v")).await;
        assert_eq!(broken.body.len(), event(1).len() * 3);
        assert!(!broken.complete);
    });
}

#[test]
fn server_faults_have_their_documented_effects() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        let cases = [
            (Fault::Shed, 503, true, End::Open, 0),
            (Fault::Busy, 429, true, End::Open, 0),
            (Fault::Failure, 500, true, End::Open, 1),
            (Fault::Hang, 0, false, End::Left, 1),
            (Fault::Reset, 0, false, End::Reset, 0),
            (Fault::LostAnswer, 0, false, End::Reset, 1),
            (Fault::Garbage, 0, false, End::Malformed, 1),
            (Fault::Unframed, 200, true, End::Open, 1),
            (Fault::Early, 200, true, End::Open, 1),
            (Fault::BreakOff, 200, false, End::Closed, 1),
            (Fault::Close, 200, true, End::Open, 1),
        ];
        for (fault, status, complete, end, ran) in cases {
            server.fault(fault, 1);
            let attempt = format!("{fault:?}");
            let answer = sent(&server, post(&attempt).leaving(ms(200))).await;
            assert_eq!(
                (answer.status, answer.complete, answer.end),
                (status, complete, end),
                "{fault:?}"
            );
            assert_eq!(server.ran(&attempt), ran, "{fault:?}");
        }
        assert_eq!(sent(&server, post("sound")).await.status, 200);
    });
}

#[test]
fn surplus_answers_arrive_at_once_or_later() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        server.fault(Fault::Extra, 1);
        let mut client = Client::open(server.address()).await.unwrap();
        assert_eq!(client.call(&post("x")).await.status, 200);
        Timer::after(QUIET_TIME).await;
        assert!(!client.rests());
        server.fault(Fault::LateExtra, 1);
        let mut client = Client::open(server.address()).await.unwrap();
        client.call(&post("y")).await;
        Timer::after(QUIET_TIME).await;
        assert!(client.rests());
        let stale = client.call(&post("z")).await;
        assert_eq!(stale.field(names::ATTEMPT), Some("y"));
        assert_eq!(
            client.answer("POST", ms(500)).await.field(names::ATTEMPT),
            Some("z")
        );
    });
}

#[test]
fn second_copies_follow_any_answer_at_once_or_later() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        for (repeat, rests) in [
            (Repeat::AtOnce, false),
            (Repeat::After(ms(5)), false),
            (Repeat::AtRequest(1), true),
        ] {
            server.fault(Fault::Shed, 1);
            server.repeat_answers(repeat, 1);
            let mut client = Client::open(server.address()).await.unwrap();
            assert_eq!(client.call(&post("x")).await.status, 503);
            Timer::after(QUIET_TIME).await;
            assert_eq!(client.rests(), rests, "{repeat:?}");
            let copy = client.call(&post("y")).await;
            assert_eq!((copy.status, copy.field(names::ATTEMPT)), (503, Some("x")));
            let own = client.answer("POST", ms(500)).await;
            assert_eq!((own.status, own.field(names::ATTEMPT)), (200, Some("y")));
        }
    });
}

#[test]
fn a_dark_server_is_silent_and_comes_back() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        server.dark(true);
        assert_eq!(
            sent(&server, post("d").leaving(ms(100))).await.end,
            End::Left
        );
        server.heal();
        let answers = Client::open(server.address())
            .await
            .unwrap()
            .pipeline(&[post("e"), post("f")])
            .await;
        assert_eq!(
            answers
                .iter()
                .map(|answer| answer.status)
                .collect::<Vec<_>>(),
            [200, 200]
        );
        server.close_idle(Some(ms(50)));
        let mut client = Client::open(server.address()).await.unwrap();
        client.call(&post("g")).await;
        Timer::after(QUIET_TIME).await;
        assert!(!client.rests());
        let address = server.address();
        server.crash();
        Timer::after(QUIET_TIME).await;
        assert!(Client::open(address).await.is_err());
        let next = Settings {
            id: "i-2".into(),
            ..Settings::default()
        };
        let heir = Server::start_at(address, next).unwrap();
        assert_eq!(sent(&heir, post("h")).await.status, 200);
    });
}

#[test]
fn cached_prompt_parts_are_not_prefilled_again() {
    smol::block_on(async {
        let server = Server::start(Settings {
            prefill: Duration::from_micros(10),
            ..Settings::default()
        })
        .unwrap();
        sent(&server, post("p").with(names::PROMPT, "a:800,b:100")).await;
        sent(&server, post("q").with(names::PROMPT, "a:800,c:50")).await;
        let read: Vec<u64> = server.runs().iter().map(|run| run.prefill_tokens).collect();
        assert_eq!(read, [900, 50]);
    });
}

#[test]
fn a_server_enforces_its_limits() {
    smol::block_on(async {
        let settings = Settings {
            connections: 1,
            work: ms(20),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        let mut first = Client::open(server.address()).await.unwrap();
        assert_eq!(first.call(&post("a")).await.status, 200);
        // The reset may arrive before or after the client has opened its connection.
        match Client::once(server.address(), &post("b")).await {
            Ok(answer) => assert_eq!((answer.status, answer.end), (0, End::Reset)),
            Err(error) => assert_ne!(error.kind(), std::io::ErrorKind::TimedOut),
        }
        assert_eq!((server.connections().0, server.runs().len()), (2, 1));
        server.slow(10.0);
        let slow = first.call(&post("c")).await;
        assert!(slow.elapsed >= ms(200));
        server.unhealthy(true);
        let health = Call::new("GET", HOST, "/healthz", "h");
        assert_eq!(first.call(&health).await.status, 503);
        let report = first
            .call(&Call::new("GET", HOST, names::REPORT, "h"))
            .await;
        let report = tidepier_platform::monitoring::report(&report.body).unwrap();
        assert_eq!((report.running, report.waiting), (0, 0));
    });
}

#[test]
fn a_server_may_finish_requests_of_closed_connections() {
    smol::block_on(async {
        let settings = Settings {
            drops: false,
            work: ms(100),
            ..Settings::default()
        };
        let server = Server::start(settings).unwrap();
        sent(&server, post("gone").leaving(ms(30))).await;
        Timer::after(ms(200)).await;
        let run = &server.runs()[0];
        assert_eq!(run.outcome, Outcome::Finished);
        assert!(run.closed.is_some());
    });
}

#[test]
fn a_stream_stops_when_its_reader_leaves_or_its_server_goes_dark() {
    smol::block_on(async {
        let events = Some(Events {
            count: 100,
            pause: ms(20),
        });
        let server = Server::start(Settings {
            events,
            ..Settings::default()
        })
        .unwrap();
        let left = sent(&server, post("a").leaving(ms(100))).await;
        assert!(!left.events.is_empty() && !left.complete);
        Timer::after(QUIET_TIME).await;
        assert_eq!(server.runs()[0].outcome, Outcome::Left);
        let address = server.address();
        let reader = async {
            Client::once(address, &post("b").leaving(ms(300)))
                .await
                .unwrap()
        };
        let darkness = async {
            Timer::after(ms(100)).await;
            server.dark(true);
        };
        let (dark, ()) = futures_lite::future::zip(reader, darkness).await;
        assert!(!dark.events.is_empty() && dark.end == End::Left);
        assert!(dark.events.iter().all(|event| event.after < ms(200)));
    });
}

#[test]
fn an_early_answer_leaves_the_body_to_be_read() {
    smol::block_on(async {
        let server = Server::start(Settings::default()).unwrap();
        server.fault(Fault::Early, 1);
        let mut client = Client::open(server.address()).await.unwrap();
        let head = "POST /a/b HTTP/1.1\r\nHost: h\r\nAttempt-Id: e\r\nContent-Length: 4\r\n\r\n";
        client.send(head.as_bytes()).await.unwrap();
        assert_eq!(client.answer("POST", ms(500)).await.status, 200);
        assert_eq!(server.runs()[0].body, None);
        client.send(b"rest").await.unwrap();
        client.half_close();
        Timer::after(QUIET_TIME).await;
        assert_eq!(server.runs()[0].body.as_deref(), Some(&b"rest"[..]));
    });
}

/// The answer to HEAD has no body: the next bytes on the connection are the next answer.
#[test]
fn an_answer_to_head_has_no_body() {
    smol::block_on(async {
        for events in [
            None,
            Some(Events {
                count: 3,
                pause: ms(5),
            }),
        ] {
            let settings = Settings {
                events,
                ..Settings::default()
            };
            let server = Server::start(settings).unwrap();
            let mut client = Client::open(server.address()).await.unwrap();
            let answer = client.call(&Call::new("HEAD", HOST, "/a", "head")).await;
            assert_eq!((answer.status, answer.complete), (200, true));
            Timer::after(QUIET_TIME).await;
            let answer = client.call(&post("after")).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
            assert_eq!(server.ran("after"), 1);
        }
    });
}

/// An answer without a length ends with its connection. If its server crashes meanwhile,
/// the answer must not look complete.
#[test]
fn a_crash_resets_an_answer_that_ends_with_its_connection() {
    smol::block_on(async {
        let server = Server::start(Settings {
            events: Some(Events {
                count: 40,
                pause: ms(20),
            }),
            ..Settings::default()
        })
        .unwrap();
        server.fault(Fault::Unframed, u32::MAX);
        let crash = async {
            while server.running() == 0 {
                Timer::after(ms(5)).await;
            }
            Timer::after(ms(100)).await;
            server.crash();
        };
        let (answer, ()) = smol::future::zip(sent(&server, post("cut")), crash).await;
        assert_eq!((answer.status, answer.complete), (200, false));
        assert_eq!(answer.end, End::Reset);
    });
}
