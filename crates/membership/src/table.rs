//! The table of known boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_ids as ids;

/// Time that a dead box stays in the table, so that an old rumor cannot add it
/// again as alive.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The state of a box, ordered from good to bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It has not answered a neighbour's heartbeats. It may still refute the
    /// suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// It is in its graceful shutdown and takes no duties.
    #[serde(rename = "l")]
    Leaving,
    /// It was declared dead, or has announced the end of its process.
    #[serde(rename = "d")]
    Dead,
}

impl State {
    /// The name of the state.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Dead => "dead",
        }
    }
}

/// What boxes tell each other of the state of one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The box.
    #[serde(rename = "b")]
    pub name: ids::Box,
    /// Its hall.
    #[serde(rename = "h")]
    pub hall: ids::Hall,
    /// The address where it accepts links of other boxes.
    #[serde(rename = "p")]
    pub peers: SocketAddr,
    /// The address where it accepts requests of operators.
    #[serde(rename = "o")]
    pub admin: SocketAddr,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// A number that the box itself raises, to refute a suspicion or to announce
    /// that it is leaving.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// Its state.
    #[serde(rename = "s")]
    pub state: State,
}

impl Rumor {
    /// The key by which rumors of one box are ordered, the newest last.
    fn order(&self) -> (ids::Incarnation, u32, State) {
        (self.incarnation, self.sequence, self.state)
    }
}

/// A box in the table.
#[derive(Debug, Clone)]
pub struct Member {
    /// The box.
    pub name: ids::Box,
    /// Its hall.
    pub hall: ids::Hall,
    /// The newest rumor about it.
    pub rumor: Rumor,
    /// When this box last applied a rumor about it.
    pub since: Instant,
}

/// A change of the table that the caller has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sight {
    /// A box joined, or came back in a new incarnation.
    Joined(ids::Box),
    /// A box became suspect, refuted the suspicion, or is leaving.
    Changed(ids::Box, State),
    /// A box died or was removed.
    Died(ids::Box),
    /// This box was declared dead, or a newer incarnation of it was reported, and
    /// it has started a new incarnation.
    Reborn,
}

/// The boxes known to one box, itself among them.
#[derive(Debug)]
pub struct Table {
    me: ids::Box,
    members: BTreeMap<ids::Box, Member>,
    /// Rumors that are still to be spread, with how often each has been sent.
    unspread: Vec<(Rumor, u32)>,
}

impl Table {
    /// A table that knows only this box.
    pub fn new(me: Rumor, now: Instant) -> Self {
        let name = me.name.clone();
        let mut table = Self {
            me: name,
            members: BTreeMap::new(),
            unspread: Vec::new(),
        };
        table.insert(me, now);
        table
    }

    /// This box.
    pub fn me(&self) -> &Rumor {
        &self.members[&self.me].rumor
    }

    /// All boxes that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let alive = |member: &&Member| member.rumor.state != State::Dead;
        self.members.values().filter(alive)
    }

    /// The boxes of `hall` that may be given a duty.
    pub fn candidates<'t>(&'t self, hall: &'t ids::Hall) -> impl Iterator<Item = &'t Member> {
        let able = |member: &&Member| matches!(member.rumor.state, State::Alive | State::Suspect);
        self.present()
            .filter(able)
            .filter(move |member| member.hall == *hall)
    }

    /// A box by name.
    pub fn get(&self, name: &ids::Box) -> Option<&Member> {
        self.members.get(name)
    }

    /// The newest rumor about every box, for an exchange of complete tables.
    pub fn rumors(&self) -> Vec<Rumor> {
        self.members
            .values()
            .map(|member| member.rumor.clone())
            .collect()
    }

    /// A digest of the table without dead boxes. Equal tables have equal digests.
    pub fn digest(&self) -> u32 {
        let mut text = String::new();
        for member in self.members.values() {
            let rumor = &member.rumor;
            if rumor.state == State::Dead {
                continue;
            }
            let (incarnation, sequence, state) = rumor.order();
            text.push_str(&format!(
                "{}:{incarnation}:{sequence}:{};",
                rumor.name,
                state.name()
            ));
        }
        ids::Digest::of(text.as_bytes()).0 as u32
    }

    /// Applies a rumor if it is newer than what is known. Returns what changed.
    pub fn hear(&mut self, rumor: Rumor, now: Instant) -> Option<Sight> {
        if rumor.name == self.me {
            return self.refute(&rumor, now);
        }
        let known = self
            .members
            .get(&rumor.name)
            .map(|member| member.rumor.clone());
        if known
            .as_ref()
            .is_some_and(|known| rumor.order() <= known.order())
        {
            return None;
        }
        let sight = match known {
            None if rumor.state == State::Dead => None,
            None => Some(Sight::Joined(rumor.name.clone())),
            Some(known) => sight_of(&known, &rumor),
        };
        self.insert(rumor, now);
        sight
    }

    /// Refutes a rumor about this box if it is newer than what this box knows of
    /// itself.
    fn refute(&mut self, rumor: &Rumor, now: Instant) -> Option<Sight> {
        let mine = self.me().clone();
        if rumor.order() <= mine.order() {
            return None;
        }
        let mut next = mine.clone();
        if rumor.state == State::Dead || rumor.incarnation > mine.incarnation {
            let after = ids::Incarnation(rumor.incarnation.0 + 1);
            next.incarnation = after.max(ids::Incarnation::now());
            next.sequence = 0;
            self.insert(next, now);
            return Some(Sight::Reborn);
        }
        next.sequence = rumor.sequence + 1;
        self.insert(next, now);
        None
    }

    /// Marks a box that has not answered as suspect.
    pub fn suspect(&mut self, name: &ids::Box, now: Instant) -> Option<Sight> {
        self.set_worse_state(name, State::Suspect, now)
    }

    /// Declares a box dead, for example when its process is known to have ended.
    pub fn bury(&mut self, name: &ids::Box, now: Instant) -> Option<Sight> {
        self.set_worse_state(name, State::Dead, now)
    }

    /// Applies a rumor that a box has `state`, unless its state is as bad already.
    fn set_worse_state(&mut self, name: &ids::Box, state: State, now: Instant) -> Option<Sight> {
        let member = self.members.get(name)?;
        if member.rumor.state >= state {
            return None;
        }
        let mut rumor = member.rumor.clone();
        rumor.state = state;
        self.hear(rumor, now)
    }

    /// Marks this box as leaving.
    pub fn leave(&mut self, now: Instant) {
        let mut me = self.me().clone();
        me.state = State::Leaving;
        me.sequence += 1;
        self.insert(me, now);
    }

    /// The rumor that this box is dead, which its process sends last so that others
    /// remove the box.
    pub fn last_word(&self) -> Rumor {
        let mut me = self.me().clone();
        me.state = State::Dead;
        me
    }

    /// Declares suspects of this hall dead that did not refute the suspicion within
    /// `timeout`, and drops boxes that have been dead for
    /// `TOMBSTONE_RETENTION`.
    pub fn expire(&mut self, timeout: Duration, now: Instant) -> Vec<Sight> {
        let hall = self.me().hall.clone();
        let late = |member: &&Member| {
            let aged = now.saturating_duration_since(member.since) >= timeout;
            member.rumor.state == State::Suspect && member.hall == hall && aged
        };
        let names: Vec<_> = self
            .members
            .values()
            .filter(late)
            .map(|m| m.name.clone())
            .collect();
        self.members.retain(|_, member| {
            let age = now.saturating_duration_since(member.since);
            member.rumor.state != State::Dead || age < TOMBSTONE_RETENTION
        });
        names
            .iter()
            .filter_map(|name| self.bury(name, now))
            .collect()
    }

    /// At most `max` rumors to send with the next heartbeat. Each rumor is sent
    /// `times` times in all.
    pub fn spread(&mut self, max: usize, times: u32) -> Vec<Rumor> {
        let mut out = Vec::new();
        for (rumor, sent) in self.unspread.iter_mut().take(max) {
            *sent += 1;
            out.push(rumor.clone());
        }
        self.unspread.retain(|(_, sent)| *sent < times);
        out
    }

    fn insert(&mut self, rumor: Rumor, now: Instant) {
        self.unspread.retain(|(old, _)| old.name != rumor.name);
        self.unspread.push((rumor.clone(), 0));
        let member = Member {
            name: rumor.name.clone(),
            hall: rumor.hall.clone(),
            rumor,
            since: now,
        };
        self.members.insert(member.name.clone(), member);
    }
}

/// What a caller has to act on when `rumor` replaces `known`.
fn sight_of(known: &Rumor, rumor: &Rumor) -> Option<Sight> {
    let name = rumor.name.clone();
    if rumor.state == State::Dead {
        return (known.state != State::Dead).then_some(Sight::Died(name));
    }
    if known.state == State::Dead || rumor.incarnation != known.incarnation {
        return Some(Sight::Joined(name));
    }
    (known.state != rumor.state).then_some(Sight::Changed(name, rumor.state))
}
