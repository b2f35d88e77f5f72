//! Admission of a request by the catalog in force.
//!
//! Invariant: a request is refused because its route or account does not exist
//! only while the catalog is fresh enough to prove that.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use tidepier_clock::Instant;
use tidepier_core::catalog::{Account, Catalog, Route};
use tidepier_core::request::Request;
use tidepier_h1::{Head, Writer};
use tidepier_ids as ids;
use tidepier_platform::request as wire_request;

use super::state::{self, Exchange, IncomingRequest, Start, Terms};
use crate::content::{Fingerprint, Parts};
use crate::fleet::used::Used;
use crate::refusal;
use crate::relay::Relay;

/// The kind of a refusal, and the attempt id that it carries; the id is empty if
/// the request has none.
pub(super) type Denied = (refusal::Kind, Box<str>);

/// Admits a request.
///
/// # Errors
///
/// The kind of the refusal.
pub(super) fn admit<'a>(
    relay: &'a Relay,
    arrival: &'a IncomingRequest<'a>,
    writer: &'a Writer,
) -> Result<Exchange<'a>, Denied> {
    let request = wire_request::decode(arrival.head).map_err(|error| {
        log::info!(target: "request", "event=malformed why=\"{error}\"");
        (refusal::Kind::Malformed, "".into())
    })?;
    let denied = |kind| (kind, request.attempt.clone());
    let catalog = relay.view.catalog();
    let catalog = catalog.filter(|_| relay.era_state.may_serve());
    let catalog = catalog.ok_or_else(|| denied(refusal::Kind::NotReady))?;
    let (route, account) = look_up(relay, &catalog, &request).map_err(denied)?;
    let service = pick_service(&route);
    let declared = catalog.services.get(&service);
    let timeout = request.client_timeout.unwrap_or(route.timeout);
    let deadline = arrival.at + timeout.min(route.timeout);
    relay.budget.request(&service, arrival.at);
    let content = content(arrival, &request, account.as_deref());
    Ok(Exchange {
        relay,
        arrival,
        writer,
        terms: Terms::new(declared, relay.boxes()),
        deadline,
        elapsed: Duration::ZERO,
        request,
        content,
        account,
        service,
        route,
        tried: Vec::new(),
        last_attempt: Start {
            at: arrival.at,
            prefill_time: Duration::ZERO,
            first_event: None,
        },
        tunnel_opened_at: Cell::default(),
        used: Used::default(),
        last_data: Cell::default(),
        path: Cell::default(),
        attempts: 0,
        absent_count: 0,
        retry_charged: Cell::new(false),
        answering_since: Cell::default(),
        may_have_executed: false,
        may_be_executing: Cell::new(false),
        fallback: None,
        origin: Cell::default(),
        client_wait: Cell::default(),
    })
}

/// The fingerprint of the request's content, which is the same for every attempt.
/// It includes the caller.
fn content(
    arrival: &IncomingRequest<'_>,
    request: &Request,
    account: Option<&Account>,
) -> Fingerprint {
    Fingerprint::new(&Parts {
        method: arrival.head.method(),
        host: &request.host,
        target: arrival.head.target(),
        caller: state::caller(request, account),
        body: arrival.body,
    })
}

/// The deadline for the final answer to a request whose head arrived at `at`:
/// the earlier of its client's and its route's time-out; `None` if neither is
/// known.
pub fn deadline(relay: &Relay, head: &Head, at: Instant) -> Option<Instant> {
    let request = wire_request::decode(head).ok()?;
    let catalog = relay.view.catalog();
    let route = catalog.as_ref();
    let route = route.and_then(|catalog| catalog.route(&request.host, &request.path));
    let route = route.map(|route| route.timeout);
    let limits = request.client_timeout.into_iter().chain(route);
    at.checked_add(limits.min()?)
}

/// The route of such a request, and its deadline; `None` if it has no route.
pub(super) fn route_and_deadline(
    relay: &Relay,
    head: &Head,
    at: Instant,
) -> Option<(Arc<Route>, Instant)> {
    let request = wire_request::decode(head).ok()?;
    let catalog = relay.view.catalog()?;
    let route = catalog.route(&request.host, &request.path)?;
    let timeout = request.client_timeout.unwrap_or(route.timeout);
    Some((route.clone(), at + timeout.min(route.timeout)))
}

/// The route of a request and the account of its key.
fn look_up(
    relay: &Relay,
    catalog: &Catalog,
    request: &Request,
) -> Result<(Arc<Route>, Option<Arc<Account>>), refusal::Kind> {
    let fresh = relay.view.is_fresh(relay.bounds().catalog_max_age);
    // A route or account that an old catalog lacks may have been added since.
    let if_proven = |kind| if fresh { kind } else { stale_refusal(relay) };
    let route = catalog.route(&request.host, &request.path).cloned();
    let route = route.ok_or_else(|| if_proven(refusal::Kind::NoRoute))?;
    let account = account(relay, catalog, &route, request).map_err(|kind| match kind {
        refusal::Kind::NoAccount => if_proven(kind),
        other => other,
    })?;
    Ok((route, account))
}

/// The refusal for a catalog that is too old. With `Stale` another box may have a
/// newer catalog; with `StoreBehind` none has, as the store was restored from an older
/// backup.
fn stale_refusal(relay: &Relay) -> refusal::Kind {
    if relay.era_state.era().is_some() && relay.era_state.is_unsettled() {
        refusal::Kind::StoreBehind
    } else {
        refusal::Kind::Stale
    }
}

/// The account of a request's key; `None` on a route that needs no account.
fn account(
    relay: &Relay,
    catalog: &Catalog,
    route: &Route,
    request: &Request,
) -> Result<Option<Arc<Account>>, refusal::Kind> {
    if route.public || catalog.accounts.is_none() {
        return Ok(None);
    }
    // The key may have been revoked since the catalog was last confirmed.
    let trusted = relay
        .bounds()
        .key_max_age
        .is_none_or(|max_age| relay.view.is_fresh(max_age));
    if !trusted {
        return Err(stale_refusal(relay));
    }
    let key = request.key.as_deref().ok_or(refusal::Kind::NoAccount)?;
    let account = catalog.account(key).cloned();
    account.map(Some).ok_or(refusal::Kind::NoAccount)
}

/// Picks a service of the route by weight.
fn pick_service(route: &Route) -> ids::Service {
    let total: u64 = route
        .split
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut at = fastrand::u64(0..total.max(1));
    for share in &route.split {
        let weight = u64::from(share.weight);
        if at < weight {
            return share.service.clone();
        }
        at -= weight;
    }
    route.split[0].service.clone()
}
