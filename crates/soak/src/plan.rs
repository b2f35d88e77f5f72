//! What all runs have in common: addresses, halls and routes.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tidepier_core::catalog::Kind;
use tidepier_relay_standin::site::{Route, Site};

use crate::ledger::Traffic;

/// The service of requests with a plain answer.
pub const PLAIN: &str = "plain";
/// The service of event streams.
pub const STREAM: &str = "stream";
/// Prefix of the services whose number identifies a version of the configuration.
pub const MARK_PREFIX: &str = "mark-";
/// The account that all keys belong to.
pub const ACCOUNT: &str = "account-1";
/// Time after which a client gives up: more than the deadline that its request names, so
/// that an answer after the deadline is still observed.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(4_600);
/// Number of halls that servers are spread over.
pub const SERVER_HALLS: usize = 2;
/// Bound on the servers that one request may be sent to, on each route.
pub const ATTEMPTS_MAX: u32 = 2;
/// The same for requests that may run once beside servers that send copies of answers: more
/// than there are servers of a service at the start.
const COPIED_ATTEMPTS_MAX: u32 = 6;
/// Time-out of a request, on each route.
pub const TIMEOUT: Duration = Duration::from_secs(4);
/// The same where bodies may come late.
const LATE_TIMEOUT: Duration = Duration::from_secs(15);
/// The deadline of requests whose bodies come late.
pub const LATE_DEADLINE: Duration = Duration::from_secs(12);
/// Time after which the client of such a request gives up.
pub const LATE_CLIENT_TIMEOUT: Duration = Duration::from_millis(12_600);
/// The shortest one that a change of the configuration sets.
pub const TIMEOUT_MIN: Duration = Duration::from_millis(3_500);

/// Tokens of a part that prompts share, and of the part that belongs to one request only.
const SHARED_TOKENS: u32 = 2_000;
const OWN_TOKENS: u32 = 80;
/// The part that all prompts share beside requests that crash servers.
const COMMON_PART: u64 = 0xc0_0000;

/// Returns an address for a box that no other box on this host uses.
pub(crate) fn box_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let [.., process_high, process_low] = std::process::id().to_be_bytes();
    // 127.20 to 127.219, like the tests of the relay, which use other ports.
    Ipv4Addr::new(127, process_low % 200 + 20, process_high ^ high, low)
}

/// The name of the hall of a box or server with this number.
pub(crate) fn hall_name(number: usize, halls: usize) -> String {
    format!("hall-{}", number % halls)
}

/// Declares a route for each kind of request. `copies`: servers send copies of their answers.
/// `late`: bodies may come late.
pub(crate) fn declare_routes(site: &Site, copies: bool, late: bool) {
    let route = |traffic: Traffic| {
        let (kind, service) = match traffic {
            Traffic::Once => (Kind::AtMostOnce, PLAIN),
            Traffic::Resumable => (Kind::Stream { resumable: true }, STREAM),
            Traffic::Single => (Kind::Stream { resumable: false }, STREAM),
            Traffic::Repeatable | Traffic::Keyed | Traffic::Mark => (Kind::Repeatable, PLAIN),
        };
        Route {
            public: traffic != Traffic::Keyed,
            attempts: match traffic {
                Traffic::Once if copies => COPIED_ATTEMPTS_MAX,
                _ => ATTEMPTS_MAX,
            },
            timeout: match late {
                true => LATE_TIMEOUT,
                false => TIMEOUT,
            },
            ..Route::new(traffic.prefix(), kind, service)
        }
    };
    site.declare(&Traffic::ALL.map(route));
}

/// The parts of a prompt: these, which others share, and one of its own.
pub(crate) fn prompt_of(shared: &[u64], own: u64) -> String {
    let shared: String = shared
        .iter()
        .map(|part| format!("{part:x}:{SHARED_TOKENS},"))
        .collect();
    format!("{shared}{own:x}:{OWN_TOKENS}")
}

/// The same with a part that all prompts share before them.
pub(crate) fn prompt(parts: &[u64], own: u64) -> String {
    prompt_of(&[&[COMMON_PART], parts].concat(), own)
}
