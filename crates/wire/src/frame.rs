//! The frames, with short names on the wire: a request for a place on an
//! engine and its answer must stay under a hundred bytes together.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_errors::Kind;
use tidepier_ids as ids;
use tidepier_membership::Rumor;
use tidepier_placement::Ended;

/// The version of this list of frames. Links between versions are refused.
pub const VERSION: u16 = 1;

/// What a frame is for, as counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Opening a link.
    Handshake,
    /// Heartbeats and rumors.
    Heartbeat,
    /// Places on engines.
    Grant,
    /// The fleet document.
    Configuration,
    /// Claims and kept answers.
    Claim,
    /// Explaining.
    Explain,
}

impl Purpose {
    /// The label used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Handshake => "handshake",
            Purpose::Heartbeat => "heartbeat",
            Purpose::Grant => "grant",
            Purpose::Configuration => "configuration",
            Purpose::Claim => "claim",
            Purpose::Explain => "explain",
        }
    }
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Who opens a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u16,
    /// The fleet.
    pub fleet: ids::Account,
    /// The box.
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Where it takes links.
    pub peers: SocketAddr,
    /// Where it takes operators.
    pub admin: SocketAddr,
    /// Random, for the proof of the other side.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// A heartbeat or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The generation in force.
    #[serde(rename = "g")]
    pub generation: ids::Generation,
    /// The digest of the sender's table of boxes.
    #[serde(rename = "t")]
    pub table: u32,
    /// News.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumors: Vec<Rumor>,
}

/// A request for a place on an engine. The sender is known from the link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The sender's number for the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The model of the pool; its hall is the receiver's.
    #[serde(rename = "m")]
    pub model: ids::Model,
    /// The account. Its share and priority are in the document.
    #[serde(rename = "a")]
    pub account: ids::Account,
    /// The hash of the chat's stable start.
    #[serde(rename = "k")]
    pub prefix: ids::Prefix,
    /// The hash that this chat alone keeps.
    #[serde(rename = "c")]
    pub chat: ids::Chat,
    /// Whether the chat has had a turn before.
    #[serde(rename = "r")]
    pub returning: bool,
    /// The engine that served the chat last.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub prefer: Option<ids::Engine>,
    /// Engines that have just failed this request.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<ids::Engine>,
    /// Milliseconds that the request can wait.
    #[serde(rename = "w")]
    pub patience_ms: u64,
}

/// Requests that run or wait in a pool for each engine, in sixteenths, so that
/// it takes one to three bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pressure(u16);

impl Pressure {
    /// From requests for each engine.
    pub fn new(requests: f64) -> Self {
        Self((requests * 16.0).clamp(0.0, f64::from(u16::MAX)) as u16)
    }

    /// As requests for each engine.
    pub fn requests(self) -> f64 {
        f64::from(self.0) / 16.0
    }
}

/// A place that the sender still holds, told to a new keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The model.
    #[serde(rename = "m")]
    pub model: ids::Model,
    /// The account.
    #[serde(rename = "a")]
    pub account: ids::Account,
    /// The engine.
    #[serde(rename = "e")]
    pub engine: ids::Engine,
    /// The sender's number for the request.
    #[serde(rename = "n")]
    pub number: u64,
}

/// The new name of an adopted place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// The model.
    #[serde(rename = "m")]
    pub model: ids::Model,
    /// The holder's number for the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The slot.
    #[serde(rename = "s")]
    pub slot: ids::Slot,
}

/// A kept answer of a not-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub mime: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What became of a not-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It runs.
    #[serde(rename = "r")]
    Runs,
    /// It ended with this answer.
    #[serde(rename = "d")]
    Done(Kept),
    /// It was given up before it was sent, and never will be.
    #[serde(rename = "a")]
    Abandoned,
    /// It is not known here (any more).
    #[serde(rename = "u")]
    Unknown,
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each side.
    #[serde(rename = "h")]
    Hello(Hello),
    /// Second frame of each side: a MAC over both hellos.
    #[serde(rename = "p")]
    Proof(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Heartbeat.
    #[serde(rename = "b")]
    Beat(Beat),
    /// Answer to a heartbeat.
    #[serde(rename = "c")]
    Echo(Beat),
    /// The whole table, sent when digests differ.
    #[serde(rename = "t")]
    Table(Vec<Rumor>),
    /// Asks whether the receiver can reach a box.
    #[serde(rename = "q")]
    Reach(ids::Box),
    /// Answer to [`Frame::Reach`].
    #[serde(rename = "y")]
    Reached(ids::Box, bool),
    /// Asks for the document; the sender holds this generation.
    #[serde(rename = "f")]
    Fetch(ids::Generation),
    /// The whole record, JSON.
    #[serde(rename = "r")]
    Record(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The difference from the generation that the receiver holds, JSON Patch.
    #[serde(rename = "d")]
    Patch(ids::Generation, #[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks for a place.
    #[serde(rename = "a")]
    Ask(Ask),
    /// The sender's request has a place; last, the pool's requests for each
    /// engine.
    #[serde(rename = "g")]
    Grant(u64, ids::Engine, ids::Slot, Pressure),
    /// The sender's request is refused.
    #[serde(rename = "n")]
    Refuse(u64, Kind, String, u64),
    /// Gives a place back.
    #[serde(rename = "e")]
    Release(ids::Slot, Ended),
    /// Withdraws a request.
    #[serde(rename = "w")]
    Withdraw(ids::Model, u64),
    /// Places that the sender holds from an earlier keeper.
    #[serde(rename = "o")]
    Holds(Vec<Holding>),
    /// New names of such places.
    #[serde(rename = "s")]
    Adopted(Vec<Adoption>),
    /// First frame on a new link to a keeper: all slots that the sender holds
    /// from it. What it does not name was given back on a link that failed.
    #[serde(rename = "i")]
    Still(Vec<ids::Slot>),
    /// Asks for the fate of a claim that the receiver has made.
    #[serde(rename = "k")]
    FateOf(u64, ids::Request),
    /// Answer to [`Frame::FateOf`].
    #[serde(rename = "l")]
    Fate(u64, Fate),
    /// Asks to record a claim.
    #[serde(rename = "m")]
    Claim(u64, Wish),
    /// Answer to [`Frame::Claim`].
    #[serde(rename = "v")]
    Claimed(u64, Claimed),
    /// The sender is stopping; its link ends.
    #[serde(rename = "z")]
    Bye(Rumor),
}

/// A claim to be recorded for the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wish {
    /// The key's hash.
    #[serde(rename = "k", with = "serde_bytes")]
    pub key: Vec<u8>,
    /// The sender's incarnation.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The request.
    #[serde(rename = "r")]
    pub request: ids::Request,
    /// The digest of its body.
    #[serde(rename = "d")]
    pub body: ids::Digest,
    /// A claim that was given up without sending, to be replaced.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub over: Option<ids::Request>,
}

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The box.
    #[serde(rename = "b")]
    pub name: ids::Box,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The request.
    #[serde(rename = "r")]
    pub request: ids::Request,
    /// The digest of its body.
    #[serde(rename = "d")]
    pub body: ids::Digest,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The sender holds the claim.
    #[serde(rename = "y")]
    Yes,
    /// Another request holds it.
    #[serde(rename = "n")]
    Earlier(Holder),
    /// It could not be recorded.
    #[serde(rename = "f")]
    Failed(String),
}

impl Frame {
    /// What the frame is for.
    pub fn purpose(&self) -> Purpose {
        match self {
            Frame::Hello(_) | Frame::Proof(_) => Purpose::Handshake,
            Frame::Beat(_)
            | Frame::Echo(_)
            | Frame::Table(_)
            | Frame::Reach(_)
            | Frame::Reached(..)
            | Frame::Bye(_) => Purpose::Heartbeat,
            Frame::Fetch(_) | Frame::Record(_) | Frame::Patch(..) => Purpose::Configuration,
            Frame::Ask(_)
            | Frame::Grant(..)
            | Frame::Refuse(..)
            | Frame::Release(..)
            | Frame::Withdraw(..)
            | Frame::Holds(_)
            | Frame::Adopted(_)
            | Frame::Still(_) => Purpose::Grant,
            Frame::FateOf(..) | Frame::Fate(..) | Frame::Claim(..) | Frame::Claimed(..) => {
                Purpose::Claim
            }
        }
    }
}
