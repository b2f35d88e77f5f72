//! What can go wrong in a run, or change by plan, and its name in reports.
//!
//! Boxes and servers are named by numbers, which are taken modulo how many
//! there are when the fault begins.

use std::fmt::Debug;
use std::time::Duration;

use tidepier_relay_standin::server;
use tidepier_relay_standin::store::Down;

use crate::way::Harm;

/// Two sides that talk to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Clients and a box.
    Client(usize),
    /// All boxes and a server.
    Server(usize),
    /// A box and the store.
    Store(usize),
    /// A box that asks and one that is asked.
    Peer(usize, usize),
}

/// The signal that a process gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGSTOP, later SIGCONT.
    Freeze,
    /// The same for longer than anything is believed, and beside other such signals.
    Suspend,
    /// SIGTERM; started again once it has ended.
    Terminate,
    /// SIGKILL; started again later.
    Kill,
    /// Another settings file, and SIGHUP.
    Reload,
}

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// Answers take longer.
    Slow(Duration),
    /// It does not answer properly at all.
    Down(Down),
    /// Calls get 429.
    Refusing,
    /// The next writing calls are done and not answered.
    Losing,
    /// The history is forgotten.
    Forgetful,
    /// Watches learn of nothing.
    Deaf,
    /// It goes back to a copy of itself.
    Return(Return),
}

/// How the store goes back to an older copy of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// How it is away before that; `None`: not at all.
    pub away: Option<Down>,
    /// How old the copy is.
    pub behind: Duration,
    /// Time until the operator writes again.
    pub operator: Duration,
    /// Longest time until a server does.
    pub servers: Duration,
}

/// What a server does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Server {
    /// All of its requests go wrong.
    Faulty(server::Fault),
    /// Accepts requests and answers none.
    Dark,
    /// Works several times as long.
    Slow,
    /// Ends without announcing it; another one comes.
    Crash,
    /// Says that it leaves, leaves and serves on; another one comes.
    Leave,
    /// Another one comes.
    Join,
    /// Says by its answers alone that it leaves, leaves and serves on; another one comes.
    Say,
    /// Turns all requests away and asks for so much rest.
    Rest(Duration),
}

/// A change by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Config {
    /// A route goes to a service of its own, which tells the version.
    Mark,
    /// Several of these in quick succession.
    Storm,
    /// A key is taken away, and another one added.
    Revoke,
    /// A hall of servers is to be empty, and is taken back later.
    EmptyHall(usize),
}

/// One fault or planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A way between two sides is harmed.
    Link(Link, Harm),
    /// A process gets a signal.
    Process(usize, Signal),
    /// The store is out of order.
    Store(Store),
    /// A server is out of order.
    Server(usize, Server),
    /// All requests go wrong at all servers.
    Servers(server::Fault),
    /// A request ends the servers that run it, and is sent again and again.
    Crashing(usize),
    /// The configuration changes.
    Config(Config),
}

impl Fault {
    /// Its name in reports.
    pub fn name(&self) -> String {
        match self {
            Fault::Link(link, harm) => format!("{}_way_{}", link.name(), harm.name()),
            Fault::Process(_, signal) => named("process", signal),
            Fault::Store(Store::Slow(_)) => "store_slow".into(),
            Fault::Store(Store::Down(down)) => named("store", down),
            Fault::Store(Store::Return(_)) => "store_return".into(),
            Fault::Store(store) => named("store", store),
            Fault::Server(_, Server::Faulty(fault)) => named("server", fault),
            Fault::Servers(fault) => named("servers", fault),
            Fault::Server(_, Server::Rest(_)) => "server_rest".into(),
            Fault::Server(_, server) => named("server", server),
            Fault::Crashing(_) => "requests_crashing".into(),
            Fault::Config(Config::EmptyHall(_)) => "config_emptyhall".into(),
            Fault::Config(config) => named("config", config),
        }
    }
}

/// The name of a variant without fields, after that of what it happens to.
fn named(what: &str, variant: &dyn Debug) -> String {
    format!("{what}_{variant:?}").to_lowercase()
}

impl Link {
    fn name(self) -> &'static str {
        match self {
            Link::Client(_) => "client",
            Link::Server(_) => "server",
            Link::Store(_) => "store",
            Link::Peer(..) => "peer",
        }
    }
}
