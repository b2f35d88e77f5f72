//! Harness for the choice of servers: one box's view of a fleet that exists only in
//! memory, and the choices that the box makes from it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::eyre;
use tidepier_clock::Instant;
use tidepier_core::request::{Part, Prompt};
use tidepier_core::server::{Server, State};
use tidepier_ids as ids;
use tidepier_relay::choose::filter::Filter;
use tidepier_relay::choose::{self, Choice, Criteria};
use tidepier_relay::fleet::used::Used;
use tidepier_relay::fleet::{Backend, Fleet, InFlight, Key};
use tidepier_relay::locations::{Locations, Widths};
use tidepier_relay::traffic::index::Index;

use crate::harness::{Result, SERVICE};

/// Size in tokens of a subject that is cached once for all halls.
pub(crate) const LARGE: u32 = 3_000;

/// Size in tokens of a subject that is cached in each hall.
pub(crate) const SMALL: u32 = 900;

/// Connections that a box may open to one server.
pub(crate) const CONNECTIONS: u32 = 1_000;

pub(crate) fn id<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| eyre!("no id: {text}"))
}

pub(crate) fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Server `number`; odd and even numbers are in different halls.
pub(crate) fn server(number: u16, state: State) -> Result<Server> {
    Ok(Server {
        id: id(&format!("i-{number}"))?,
        service: id(SERVICE)?,
        address: address(number),
        hall: id(&format!("hall-{}", number % 2 + 1))?,
        slots: 16,
        release: None,
        state,
        born: None,
        cold: Duration::ZERO,
    })
}

/// One box with its view of the fleet.
pub(crate) struct ChoiceHarness {
    pub(crate) fleet: Fleet,
    pub(crate) index: Index,
    pub(crate) hall: ids::Hall,
    pub(crate) service: ids::Service,
    /// When it learned of its first servers.
    pub(crate) start: Instant,
}

impl ChoiceHarness {
    /// A box in a hall that learned of these servers in this order, and received next
    /// to no reports of placements by other boxes.
    pub(crate) fn new(hall: &str, numbers: impl IntoIterator<Item = u16>) -> Result<Self> {
        let harness = Self {
            fleet: Fleet::default(),
            index: Index::default(),
            hall: id(hall)?,
            service: id(SERVICE)?,
            start: Instant::now(),
        };
        harness.index.coverage.record_message(1, 999);
        for number in numbers {
            harness
                .fleet
                .announce(server(number, State::Ready)?, harness.start);
        }
        Ok(harness)
    }

    /// Lets a server join `after` the box learned of its first ones.
    pub(crate) fn join(&self, number: u16, after: Duration) -> Result {
        let joined = server(number, State::Ready)?;
        self.fleet.announce(joined, self.start + after);
        Ok(())
    }

    pub(crate) fn locations<'a>(&self, prompt: &'a Prompt) -> Locations<'a> {
        self.locations_after(prompt, &[])
    }

    /// The same after attempts at the servers `tried` failed.
    pub(crate) fn locations_after<'a>(
        &self,
        prompt: &'a Prompt,
        tried: &[ids::Server],
    ) -> Locations<'a> {
        let now = Instant::now();
        let candidate = |backend: &Backend| !tried.contains(&backend.server.id);
        Locations::new(
            &self.fleet,
            &self.service,
            prompt,
            &self.index,
            Widths::default(),
            &candidate,
            now,
        )
    }

    /// The address from which a server is to copy a prompt's cached parts.
    pub(crate) fn source(&self, prompt: &Prompt, server: &ids::Server) -> Option<SocketAddr> {
        let locations = self.locations(prompt);
        let source = locations.copy_source(Key::new(server));
        source.map(|source| source.server.address)
    }

    /// The server that ranks first for a prompt.
    pub(crate) fn first(&self, prompt: &Prompt) -> Result<ids::Server> {
        self.ranked(prompt, 0)
    }

    pub(crate) fn ranked(&self, prompt: &Prompt, rank: usize) -> Result<ids::Server> {
        let locations = self.locations(prompt);
        let mut ids = self.fleet.ids().into_iter();
        let found = ids.find(|id| locations.rank(Key::new(id)) == Some(rank));
        found.ok_or_else(|| eyre!("no server of rank {rank}"))
    }

    pub(crate) fn backend(&self, id: &ids::Server) -> Result<Rc<Backend>> {
        self.fleet.get(id).ok_or_else(|| eyre!("no server {id}"))
    }

    pub(crate) fn drain(&self, id: &ids::Server) -> Result {
        let backend = self.backend(id)?;
        let state = State::Draining;
        let server = Server {
            state,
            ..backend.server.clone()
        };
        self.fleet.announce(server, self.start);
        Ok(())
    }

    pub(crate) fn choose(&self, prompt: Option<&Prompt>, tried: &[ids::Server]) -> Result<Choice> {
        self.choose_by(prompt, tried, Filter::default(), Instant::now())
    }

    /// Chooses a server at a time that need not be the present one.
    pub(crate) fn choose_at(&self, prompt: &Prompt, now: Instant) -> Result<Choice> {
        self.choose_by(Some(prompt), &[], Filter::default(), now)
    }

    /// Chooses one of the servers that a filter admits.
    pub(crate) fn choose_within(&self, prompt: &Prompt, filter: Filter<'_>) -> Result<Choice> {
        self.choose_by(Some(prompt), &[], filter, Instant::now())
    }

    fn choose_by(
        &self,
        prompt: Option<&Prompt>,
        tried: &[ids::Server],
        filter: Filter<'_>,
        now: Instant,
    ) -> Result<Choice> {
        let ask = Criteria {
            prompt,
            copy_ms: Some(0.004),
            tried,
            used: &Used::default(),
            filter,
            hall: &self.hall,
            not_resumable: false,
            repeatable: false,
            connections: CONNECTIONS,
            crowd_factor: 2.0,
            boxes: 1,
        };
        let chosen = choose::choose(&self.fleet, &self.service, &ask, &self.index, now);
        chosen.ok_or_else(|| eyre!("no server chosen"))
    }

    /// Chooses a server and records that the prompt was sent to it.
    pub(crate) fn send(&self, prompt: &Prompt) -> Result<Rc<Backend>> {
        let chosen = self.choose(Some(prompt), &[])?.backend;
        self.index.record_local(prompt, chosen.key, Instant::now());
        Ok(chosen)
    }

    /// Gives a server this many in-flight requests of this box.
    pub(crate) fn load(&self, id: &ids::Server, count: usize) -> Result<Vec<InFlight>> {
        let backend = self.backend(id)?;
        Ok((0..count).map(|_| backend.run(0)).collect())
    }
}

/// A prompt with a subject, and a question of its own.
pub(crate) fn prompt(subject: u64, tokens: u32) -> Prompt {
    let own = Part {
        id: 1_000_000 + subject,
        tokens: 80,
    };
    let shared = Part {
        id: subject,
        tokens,
    };
    Prompt {
        input: tokens + own.tokens,
        output: 100,
        hint: None,
        parts: vec![shared, own],
    }
}
