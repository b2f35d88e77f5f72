//! The frames. Their names on the wire are short, because a request for a place on
//! an engine and its answer must take less than a hundred bytes together.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tidepier_errors::Kind;
use tidepier_ids as ids;
use tidepier_membership::Rumor;
use tidepier_placement::Ended;

/// The version of this list of frames. Links between different versions are
/// refused.
pub const VERSION: u16 = 1;

/// What a frame is for, as metrics count it.
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
    /// Claims, and kept answers of claimed requests.
    Claim,
    /// Queries of `tidepier explain`.
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

/// What each side of a new link says of itself.
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
    /// The address where it accepts links.
    pub peers: SocketAddr,
    /// The address where it accepts requests of operators.
    pub admin: SocketAddr,
    /// Random bytes, which the other side includes in its proof.
    #[serde(with = "serde_bytes")]
    pub nonce: Vec<u8>,
}

/// A heartbeat or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The generation of the document that the sender uses.
    #[serde(rename = "g")]
    pub generation: ids::Generation,
    /// The digest of the sender's table of boxes.
    #[serde(rename = "t")]
    pub table: u32,
    /// Rumors that are still being spread.
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
    /// The hash of the unchanging start of the chat's prompt.
    #[serde(rename = "k")]
    pub prefix: ids::Prefix,
    /// A hash that is unique to this chat and the same in all its turns.
    #[serde(rename = "c")]
    pub chat: ids::Chat,
    /// Whether the chat has had a turn before.
    #[serde(rename = "r")]
    pub returning: bool,
    /// The engine that last served the chat.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub prefer: Option<ids::Engine>,
    /// Engines on which this request has just failed.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<ids::Engine>,
    /// Longest time that the request can wait, in milliseconds.
    #[serde(rename = "w")]
    pub patience_ms: u64,
}

/// The mean number of requests that run or wait in a pool, per engine. It is sent
/// in sixteenths, which take one to three bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pressure(u16);

impl Pressure {
    /// From the mean number of requests per engine.
    pub fn new(requests: f64) -> Self {
        Self((requests * 16.0).clamp(0.0, f64::from(u16::MAX)) as u16)
    }

    /// The mean number of requests per engine.
    pub fn requests(self) -> f64 {
        f64::from(self.0) / 16.0
    }
}

/// A place that the sender still holds, as it reports it to a new keeper.
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

/// The slot number that a new keeper has given a place that it adopted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// The model.
    #[serde(rename = "m")]
    pub model: ids::Model,
    /// The holder's number for the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The new slot.
    #[serde(rename = "s")]
    pub slot: ids::Slot,
}

/// The kept answer to a request that must not be repeated.
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

/// What became of a request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It is in flight.
    #[serde(rename = "r")]
    Runs,
    /// It ended with this answer.
    #[serde(rename = "d")]
    Done(Kept),
    /// It was given up before it was sent, and will never be sent.
    #[serde(rename = "a")]
    Abandoned,
    /// The box that was asked does not know it, or no longer knows it.
    #[serde(rename = "u")]
    Unknown,
}

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of each side.
    #[serde(rename = "h")]
    Hello(Hello),
    /// The second frame of each side: a MAC over the content of both hellos.
    #[serde(rename = "p")]
    Proof(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A heartbeat.
    #[serde(rename = "b")]
    Beat(Beat),
    /// The answer to a heartbeat.
    #[serde(rename = "c")]
    Echo(Beat),
    /// The complete table of boxes, sent when digests differ.
    #[serde(rename = "t")]
    Table(Vec<Rumor>),
    /// Asks whether the receiver can reach a box.
    #[serde(rename = "q")]
    Reach(ids::Box),
    /// The answer to [`Frame::Reach`].
    #[serde(rename = "y")]
    Reached(ids::Box, bool),
    /// Asks for the document. The sender has this generation of it.
    #[serde(rename = "f")]
    Fetch(ids::Generation),
    /// The complete record of the document, in JSON.
    #[serde(rename = "r")]
    Record(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The difference from the given generation, which the receiver has, as a JSON
    /// Patch.
    #[serde(rename = "d")]
    Patch(ids::Generation, #[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks for a place on an engine.
    #[serde(rename = "a")]
    Ask(Ask),
    /// A place for the request of this number: its engine and slot, and the
    /// pool's pressure.
    #[serde(rename = "g")]
    Grant(u64, ids::Engine, ids::Slot, Pressure),
    /// The refusal of the request of this number: its kind, its detail and the
    /// milliseconds after which to retry.
    #[serde(rename = "n")]
    Refuse(u64, Kind, String, u64),
    /// Releases a place.
    #[serde(rename = "e")]
    Release(ids::Slot, Ended),
    /// Withdraws the request of this number.
    #[serde(rename = "w")]
    Withdraw(ids::Model, u64),
    /// The places that the sender still holds from an earlier keeper.
    #[serde(rename = "o")]
    Holds(Vec<Holding>),
    /// The new slots of the places in a [`Frame::Holds`].
    #[serde(rename = "s")]
    Adopted(Vec<Adoption>),
    /// The first frame on a new link to a keeper: all slots that the sender holds
    /// from it. Slots that it does not name were released on a link that failed
    /// before the keeper received the release.
    #[serde(rename = "i")]
    Still(Vec<ids::Slot>),
    /// Asks what became of a request that the receiver has claimed.
    #[serde(rename = "k")]
    FateOf(u64, ids::Request),
    /// The answer to [`Frame::FateOf`].
    #[serde(rename = "l")]
    Fate(u64, Fate),
    /// Asks to record a claim.
    #[serde(rename = "m")]
    Claim(u64, Wish),
    /// The answer to [`Frame::Claim`].
    #[serde(rename = "v")]
    Claimed(u64, Claimed),
    /// The sender's process ends, and with it the link. The rumor says so.
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
    /// The request of an earlier claim, which was given up before that request was
    /// sent. This claim replaces that one.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub over: Option<ids::Request>,
}

/// The holder of a key.
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

/// The outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The sender holds the claim.
    #[serde(rename = "y")]
    Yes,
    /// Another request holds it.
    #[serde(rename = "n")]
    Earlier(Holder),
    /// The claim could not be confirmed.
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
