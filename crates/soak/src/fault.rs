//! Faults and planned changes of a run, and their names in reports.
//!
//! Boxes and servers are identified by numbers, taken modulo the number of them that exist
//! when the fault begins.

use std::fmt::Debug;
use std::time::Duration;

use tidepier_relay_standin::partition::Cut;
use tidepier_relay_standin::server;
use tidepier_relay_standin::store::Down;

use crate::misuse::{Misuse, Port};
use crate::odd;
use crate::proxy::Impairment;

/// Name of the fault that ends a process in an orderly way, ...
pub const STOP: &str = "process_terminate";
/// ... and of that beside requests whose bodies come late.
pub const LATE_STOP: &str = "process_late_stop";

/// A network link between two parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Between the clients and a box.
    Client(usize),
    /// Between all boxes and a server.
    Server(usize),
    /// Between a box and the store.
    Store(usize),
    /// From a box to another one that it sends peer requests to.
    Peer(usize, usize),
}

/// A signal sent to the process of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGSTOP, and SIGCONT when the fault ends.
    Freeze,
    /// SIGSTOP for longer than a box may act on its local view without confirming it.
    /// Several may overlap; the process goes on after the last one.
    Suspend,
    /// SIGTERM; the process is started again once it has exited.
    Terminate,
    /// SIGKILL; the process is started again later.
    Kill,
    /// A changed settings file, and SIGHUP.
    Reload,
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    /// Answers are delayed by this.
    Slow(Duration),
    /// No call is answered properly.
    Down(Down),
    /// Calls are answered with 429.
    Refusing,
    /// The next write calls are executed but not answered.
    Losing,
    /// The store discards its history, so that watches cannot resume.
    Forgetful,
    /// Watches deliver no changes.
    Deaf,
    /// The store is restored from an older backup.
    Return(Return),
}

/// How the store is restored from an older backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// The outage before the restore; `None`: there is none.
    pub away: Option<Down>,
    /// Age of the backup.
    pub behind: Duration,
    /// Time from the restore until the operator writes its entries again.
    pub operator: Duration,
    /// Bound on the time from the restore until each server writes its entry again.
    pub servers: Duration,
}

/// A fault of a server, or a change that it makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Server {
    /// All of its requests fail in this way.
    Faulty(server::Fault),
    /// It accepts requests and answers none.
    Dark,
    /// The process in front of it is stopped, so that it stands still.
    Standstill,
    /// Its requests take this many times as long.
    Slow(u32),
    /// It crashes; another server is added.
    Crash,
    /// Its entry announces that it leaves, and it goes on serving until the entry is
    /// removed; another server is added.
    Leave,
    /// A server is added.
    Join,
    /// It announces only in its answers that it leaves, and goes on serving until its entry
    /// is removed; another server is added.
    Say,
    /// It rejects all requests and requests a back-off of this length.
    Rest(Duration),
}

/// Servers that stand still together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Their services.
    pub services: Services,
    /// The share of their servers, in percent.
    pub percent: usize,
}

/// A fault that several servers have together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Harm {
    /// Their services.
    pub services: Services,
    /// The share of the servers of each, in percent.
    pub percent: usize,
    /// The fault.
    pub fault: Server,
}

/// Services whose servers are harmed or stand still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Services {
    /// That of streams.
    Streams,
    /// All others.
    Others,
    /// All.
    All,
}

/// A step of a rollout of a new release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rollout {
    /// This many servers of a new release join.
    Join(usize),
    /// The servers of all older releases are replaced.
    Rest,
}

/// A change by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Config {
    /// A route is directed to a new service, whose name holds the number of the version.
    Mark,
    /// Several such changes in quick succession.
    Storm,
    /// A key is removed and another one added.
    Revoke,
    /// A hall of servers is emptied, and the emptying is cancelled later.
    EmptyHall(usize),
    /// Idle connections are closed after this time.
    Idle(Duration),
    /// All routes get this time-out.
    Timeout(Duration),
}

/// One fault or planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A link is impaired.
    Link(Link, Impairment),
    /// Some boxes, this many from this one on, are partitioned from all servers.
    Partition(usize, usize, Cut),
    /// The process of a box gets a signal.
    Process(usize, Signal),
    /// The store is faulty.
    Store(Store),
    /// A server is faulty or changes.
    Server(usize, Server),
    /// All requests fail at all servers.
    Servers(server::Fault),
    /// All servers reject many requests, and send second copies of all their answers.
    Copies(server::Repeat),
    /// A request crashes the servers that run it, and is sent again and again.
    Crashing(usize),
    /// A part of prompts crashes the servers that begin to answer on it, and requests that
    /// hold it, no two of them alike, are sent again and again.
    CrashingPart(u64),
    /// The operator changes the configuration.
    Config(Config),
    /// The processes in front of servers are stopped, so that the servers stand still.
    Silence(Silence),
    /// Servers are harmed, and sound again afterwards.
    Harm(Harm),
    /// Servers of streams change their release.
    Rollout(Rollout),
    /// All boxes are killed at once, and are started again within this time of each other.
    KillAll(Duration),
    /// A box is cut off from all other boxes.
    CutOff(usize),
    /// The connections of the clients of all boxes but one are reset, and the clients take up
    /// their streams at that box.
    BreakClients(usize),
    /// A crowd of clients at a box does not keep to the limits.
    Misuse(usize, Port, Misuse),
    /// A box is stopped by SIGTERM beside requests whose bodies come late, which this seed
    /// determines.
    LateStop(usize, u64),
    /// Another writer leaves an odd entry in the store.
    OddEntry(odd::Entry),
}

impl Fault {
    /// The name of the fault in reports.
    pub fn name(&self) -> String {
        match self {
            Fault::Link(link, harm) => format!("{}_way_{}", link.name(), harm.name()),
            Fault::Partition(_, _, cut) => named("partition", cut),
            Fault::Process(_, signal) => named("process", signal),
            Fault::Store(Store::Slow(_)) => "store_slow".into(),
            Fault::Store(Store::Down(down)) => named("store", down),
            Fault::Store(Store::Return(_)) => "store_return".into(),
            Fault::Store(store) => named("store", store),
            Fault::Server(_, server) => server.named("server"),
            Fault::Servers(fault) => Server::Faulty(*fault).named("servers"),
            Fault::Copies(_) => "servers_copies".into(),
            Fault::Crashing(_) => "requests_crashing".into(),
            Fault::CrashingPart(_) => "part_crashing".into(),
            Fault::Config(Config::EmptyHall(_)) => "config_emptyhall".into(),
            Fault::Config(Config::Idle(_)) => "config_idle".into(),
            Fault::Config(Config::Timeout(_)) => "config_timeout".into(),
            Fault::Config(config) => named("config", config),
            Fault::Silence(_) => "servers_silence".into(),
            Fault::Harm(harm) => harm.fault.named("servers_harm"),
            Fault::Rollout(Rollout::Join(_)) => "rollout_join".into(),
            Fault::Rollout(Rollout::Rest) => "rollout_rest".into(),
            Fault::KillAll(_) => "process_kill_all".into(),
            Fault::CutOff(_) => "peer_way_cut_off".into(),
            Fault::BreakClients(_) => "client_way_break".into(),
            Fault::Misuse(_, port, misuse) => {
                format!("{}_{}", named("misuse_at", port), misuse.name())
            }
            Fault::LateStop(..) => LATE_STOP.into(),
            Fault::OddEntry(_) => "store_odd_entry".into(),
        }
    }
}

/// Joins the subject of a fault and the name of a variant without fields.
fn named(what: &str, variant: &dyn Debug) -> String {
    format!("{what}_{variant:?}").to_lowercase()
}

impl Server {
    fn named(&self, what: &str) -> String {
        match self {
            Server::Faulty(server::Fault::Odd(odd)) => format!("{what}_odd_{}", odd.name()),
            Server::Faulty(fault) => named(what, fault),
            Server::Rest(_) => format!("{what}_rest"),
            Server::Slow(_) => format!("{what}_slow"),
            server => named(what, server),
        }
    }
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
