//! Tests of odd answers, and of what a client takes for an answer.

use tidepier_relay_standin::client::{Answer, Call, Client, End};
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{Events, Fault, Odd, Order, Settings};
use tidepier_relay_standin::site::HOST;
use tidepier_relay_standin::Server;

use crate::ms;

/// What a client gets of a server of four events, or of plain answers, whose answers are odd.
async fn answered(odd: Odd, is_stream: bool, after: Option<u64>) -> Answer {
    let events = Events {
        count: 4,
        pause: ms(1),
    };
    let server = Server::start(Settings {
        events: is_stream.then_some(events),
        ..Settings::default()
    })
    .unwrap();
    server.fault(Fault::Odd(odd), u32::MAX);
    let mut call = Call::new("POST", HOST, "/a/b", "one").body(b"question");
    if let Some(after) = after {
        call = call.with(names::LAST_EVENT, &after.to_string());
    }
    let answer = Client::once(server.address(), &call.leaving(ms(500))).await;
    assert_eq!(server.runs()[0].odd, Some(odd));
    answer.unwrap()
}

/// Guards against a client that takes bytes for an answer which are none, so that no rule sees
/// them.
#[test]
fn a_client_takes_no_odd_head_for_an_answer() {
    smol::block_on(async {
        let odd = [
            Odd::Status("000"),
            Odd::Status("001"),
            Odd::Status("099"),
            Odd::RequestLine,
            Odd::FieldName("X Odd"),
            Odd::FieldName("X\x01Odd"),
            Odd::FieldName(""),
            Odd::EndlessHead,
        ];
        for odd in odd {
            let answer = answered(odd, false, None).await;
            assert_eq!((answer.status, answer.end), (0, End::Malformed), "{odd:?}");
        }
    });
}

#[test]
fn events_come_in_an_odd_order() {
    smol::block_on(async {
        let cases: [(Order, Option<u64>, &[u64]); 6] = [
            (Order::Repeated, None, &[1, 1, 2, 2, 3, 3, 4, 4]),
            (Order::Restarted, None, &[1, 2]),
            (Order::Restarted, Some(2), &[1, 2, 3, 4]),
            (Order::Overlapping, Some(2), &[2, 3, 4]),
            (Order::Swapped, None, &[1, 2]),
            (Order::Swapped, Some(2), &[4, 3]),
        ];
        for (order, after, expected) in cases {
            let answer = answered(Odd::Events(order), true, after).await;
            let is_whole = after.is_some() || order == Order::Repeated;
            assert_eq!(answer.ids(), expected, "{order:?}");
            assert_eq!(answer.complete, is_whole, "{order:?}");
        }
    });
}

#[test]
fn an_unframed_stream_ends_in_the_middle_of_an_event() {
    smol::block_on(async {
        let answer = answered(Odd::UnframedCut, true, None).await;
        assert_eq!(answer.ids(), [1, 2]);
        assert!(!answer.body.ends_with(b"\n\n"));
    });
}
