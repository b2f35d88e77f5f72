//! Finds out which release began the stream that a client takes up.
//!
//! Invariant: nothing is sent for such a request before the release is known.

use tidepier_clock::Instant;
use tidepier_ids as ids;

use super::state::Exchange;
use crate::fleet::releases;
use crate::fleet::Backend;
use crate::origin::{Origin, Record, Stream};
use crate::peer::origins::{self, Known};
use crate::refusal;

/// How the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This box began the stream, or keeps its origin.
    Own,
    /// Another box keeps its origin.
    Keeper,
    /// Its service has one release only, as this box knows.
    Sole,
    /// The same, as another box knows.
    SoleElsewhere,
    /// The same, as the store shows.
    Ledger,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Keeper => "keeper",
            Source::Sole => "sole",
            Source::SoleElsewhere => "sole_elsewhere",
            Source::Ledger => "ledger",
        }
    }
}

impl Exchange<'_> {
    /// Fixes the release of a stream that the client takes up.
    ///
    /// # Errors
    ///
    /// It is not known, or no service of the route has it any more.
    pub(super) async fn find_origin(&mut self) -> Result<(), refusal::Kind> {
        if self.request.resume_after.is_none() || !self.is_resumable() {
            return Ok(());
        }
        let found = self.look_up_origin().await;
        let source = found.map_or("unknown", |(_, source)| source.name());
        self.log_taken_up(source);
        let (origin, _) = found.ok_or(refusal::Kind::UnknownStream)?;
        let service = self.service_of(origin).ok_or(refusal::Kind::ReleaseGone)?;
        self.set_service(service);
        self.origin.set(Some(origin));
        Ok(())
    }

    async fn look_up_origin(&self) -> Option<(Origin, Source)> {
        let relay = self.relay;
        let now = Instant::now();
        let named = self.request.resumes.as_deref();
        let stream = named.map(|attempt| Stream::new(self.caller(), attempt));
        let own = stream.and_then(|stream| relay.origins.table.get(stream, now));
        if let Some(origin) = own {
            return Some((origin, Source::Own));
        }
        let service = self.only_service();
        let sole = service.and_then(|service| relay.sole_origin(service, now));
        let knows_several = |service| {
            let names = relay
                .fleet
                .releases
                .names(service, relay.origins.window(), now);
            names.len() > 1
        };
        // Another box may have begun the stream at a release that this one does not know yet.
        match (origins::ask(relay, stream, service).await, sole) {
            (Some(Known::Kept(origin)), _) => Some((origin, Source::Keeper)),
            (Some(Known::Several), _) => None,
            (Some(Known::Sole(_)), None) if service.is_some_and(knows_several) => None,
            (Some(Known::Sole(origin)), None) => Some((origin, Source::SoleElsewhere)),
            (Some(Known::Sole(other)), Some(origin)) if other != origin => None,
            (_, Some(origin)) => Some((origin, Source::Sole)),
            (None, None) => {
                let origin = self.recorded_origin(service?).await?;
                Some((origin, Source::Ledger))
            }
        }
    }

    /// The origin of all streams of a service that has had one release only, as the store
    /// and this box know.
    async fn recorded_origin(&self, service: &ids::Service) -> Option<Origin> {
        let relay = self.relay;
        let entry = match relay.origins.ledger.recent(service).await {
            Ok(entry) if entry.is_complete => entry,
            Ok(entry) => {
                log::info!(
                    target: "request",
                    "event=releases_unknown id={} why=incomplete recorded={}",
                    self.request.attempt,
                    entry.names.len()
                );
                return None;
            }
            Err(failure) => {
                log::info!(
                    target: "request",
                    "event=releases_unknown id={} why={} detail=\"{failure}\"",
                    self.request.attempt,
                    failure.name()
                );
                return None;
            }
        };
        let mut names = entry.names;
        let window = relay.origins.window();
        let now = Instant::now();
        names.extend(relay.fleet.releases.names(service, window, now));
        let origin = releases::sole_origin(service, &names);
        origin.filter(|_| relay.knows_releases())
    }

    /// The service of the route, if it has only one.
    fn only_service(&self) -> Option<&ids::Service> {
        match &*self.route.split {
            [share] => Some(&share.service),
            _ => None,
        }
    }

    /// The service of the route whose streams have an origin.
    fn service_of(&self, origin: Origin) -> Option<ids::Service> {
        let window = self.relay.origins.window();
        let now = Instant::now();
        let releases = &self.relay.fleet.releases;
        let has_it = |service: &ids::Service| {
            let names = releases.names(service, window, now);
            let mut origins = names.iter().map(|it| Origin::new(service, it.as_ref()));
            origins.any(|it| it == origin)
        };
        let mut services = self.route.split.iter().map(|share| &share.service);
        services.find(|service| has_it(service)).cloned()
    }

    /// Records that a server wrote the first event that the client gets, which fixes the
    /// release of the stream.
    pub(super) fn record_origin(&self, backend: &Backend) {
        if !self.is_resumable() {
            return;
        }
        let origin = Origin::of(&backend.server);
        self.origin.set(Some(origin));
        let record = Record {
            stream: Stream::new(self.caller(), &self.request.attempt),
            origin,
        };
        let now = Instant::now();
        let relay = self.relay;
        let service = self.only_service();
        let is_sole = service.is_some_and(|it| relay.sole_origin(it, now).is_some());
        relay.origins.began(&self.service, record, is_sole, now);
    }
}
