//! What is the same in every run: addresses, halls and routes.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tidepier_core::catalog::Kind;
use tidepier_relay_standin::site::{Route, Site};

use crate::ledger::Traffic;

/// The service of plain requests.
pub const PLAIN: &str = "plain";
/// The service of streams.
pub const STREAM: &str = "stream";
/// The beginning of the names of services that tell the version.
pub const MARK: &str = "mark-";
/// The account of all keys.
pub const ACCOUNT: &str = "account-1";
/// When a client gives up: beyond the deadline that it names, so that a late
/// answer is seen.
pub const LEAVE: Duration = Duration::from_millis(4_600);
/// Halls that servers are spread over.
pub const SERVER_HALLS: usize = 2;
/// Most servers for one request, on each route.
pub const ATTEMPTS: u32 = 2;
/// Longest time of a request, on each route.
pub const TIMEOUT: Duration = Duration::from_secs(4);

/// Addresses of a box that no other box of this machine has.
pub(crate) fn box_ip() -> Ipv4Addr {
    static TAKEN: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = TAKEN.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let [.., process_high, process_low] = std::process::id().to_be_bytes();
    // 127.20 to 127.219, as tests of the relay do on other ports.
    Ipv4Addr::new(127, process_low % 200 + 20, process_high ^ high, low)
}

/// The hall of a box or server.
pub(crate) fn hall(place: usize, halls: usize) -> String {
    format!("hall-{}", place % halls)
}

/// Declares the route of each kind of request.
pub(crate) fn declare(site: &Site) {
    let route = |traffic: Traffic| {
        let (kind, service) = match traffic {
            Traffic::Once => (Kind::AtMostOnce, PLAIN),
            Traffic::Resumable => (Kind::Stream { resumable: true }, STREAM),
            Traffic::Single => (Kind::Stream { resumable: false }, STREAM),
            Traffic::Repeatable | Traffic::Keyed | Traffic::Mark => (Kind::Repeatable, PLAIN),
        };
        Route {
            public: traffic != Traffic::Keyed,
            attempts: ATTEMPTS,
            timeout: TIMEOUT,
            ..Route::new(traffic.prefix(), kind, service)
        }
    };
    site.declare(&Traffic::ALL.map(route));
}
