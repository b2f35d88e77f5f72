//! The table of known boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tidepier_clock::Instant;
use tidepier_ids as ids;

/// Time that a dead box stays in the table, so that an old rumor cannot bring
/// it back.
const TOMBSTONE: Duration = Duration::from_secs(60);

/// The state of a box, from good to bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It has not answered a neighbour; it may still refute.
    #[serde(rename = "s")]
    Suspect,
    /// It is stopping as planned and takes no duties.
    #[serde(rename = "l")]
    Leaving,
    /// It is gone.
    #[serde(rename = "d")]
    Dead,
}

impl State {
    /// The state as a word.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Dead => "dead",
        }
    }
}

/// What one box says of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The box.
    #[serde(rename = "b")]
    pub name: ids::Box,
    /// Its hall.
    #[serde(rename = "h")]
    pub hall: ids::Hall,
    /// Where it takes links.
    #[serde(rename = "p")]
    pub peers: SocketAddr,
    /// Where it takes operators.
    #[serde(rename = "o")]
    pub admin: SocketAddr,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// Raised by the box itself to refute a suspicion.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// Its state.
    #[serde(rename = "s")]
    pub state: State,
}

impl Rumor {
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
    /// The newest rumor of it.
    pub rumor: Rumor,
    /// When its state last changed here.
    pub since: Instant,
}

/// A change that the caller has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sight {
    /// A box joined, or came back in a new incarnation.
    Joined(ids::Box),
    /// A box became suspected, refuted it, or is leaving.
    Changed(ids::Box, State),
    /// A box died or was removed.
    Died(ids::Box),
    /// This box itself was declared dead and has a new incarnation.
    Reborn,
}

/// The boxes known to one box, itself among them.
#[derive(Debug)]
pub struct Table {
    me: ids::Box,
    members: BTreeMap<ids::Box, Member>,
    /// Rumors still to be spread, with how often each has been handed out.
    fresh: Vec<(Rumor, u32)>,
}

impl Table {
    /// A table that knows only this box.
    pub fn new(me: Rumor, now: Instant) -> Self {
        let name = me.name.clone();
        let mut table = Self {
            me: name,
            members: BTreeMap::new(),
            fresh: Vec::new(),
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

    /// Boxes of `hall` that may hold a duty.
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

    /// Every rumor, for a full exchange.
    pub fn rumors(&self) -> Vec<Rumor> {
        self.members
            .values()
            .map(|member| member.rumor.clone())
            .collect()
    }

    /// A digest of the table: equal tables have equal digests.
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

    /// Takes a rumor. Returns what changed, if it was news.
    pub fn hear(&mut self, rumor: Rumor, now: Instant) -> Option<Sight> {
        if rumor.name == self.me {
            return self.hear_of_me(&rumor, now);
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
            Some(known) => change(&known, &rumor),
        };
        self.insert(rumor, now);
        sight
    }

    /// Refutes what is said of this box, where it is wrong.
    fn hear_of_me(&mut self, rumor: &Rumor, now: Instant) -> Option<Sight> {
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

    /// Suspects a box that has not answered.
    pub fn suspect(&mut self, name: &ids::Box, now: Instant) -> Option<Sight> {
        self.worsen(name, State::Suspect, now)
    }

    /// Removes a box whose process is known to be gone.
    pub fn bury(&mut self, name: &ids::Box, now: Instant) -> Option<Sight> {
        self.worsen(name, State::Dead, now)
    }

    fn worsen(&mut self, name: &ids::Box, state: State, now: Instant) -> Option<Sight> {
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

    /// Takes this box out of the table of others: the last word of a process.
    pub fn last_word(&self) -> Rumor {
        let mut me = self.me().clone();
        me.state = State::Dead;
        me
    }

    /// Removes suspects of this hall that did not refute within `patience`,
    /// and forgets old deaths.
    pub fn expire(&mut self, patience: Duration, now: Instant) -> Vec<Sight> {
        let hall = self.me().hall.clone();
        let late = |member: &&Member| {
            let aged = now.saturating_duration_since(member.since) >= patience;
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
            member.rumor.state != State::Dead || age < TOMBSTONE
        });
        names
            .iter()
            .filter_map(|name| self.bury(name, now))
            .collect()
    }

    /// Rumors to send with the next heartbeat; each is handed out `times` times.
    pub fn spread(&mut self, most: usize, times: u32) -> Vec<Rumor> {
        let mut out = Vec::new();
        for (rumor, told) in self.fresh.iter_mut().take(most) {
            *told += 1;
            out.push(rumor.clone());
        }
        self.fresh.retain(|(_, told)| *told < times);
        out
    }

    fn insert(&mut self, rumor: Rumor, now: Instant) {
        self.fresh.retain(|(old, _)| old.name != rumor.name);
        self.fresh.push((rumor.clone(), 0));
        let member = Member {
            name: rumor.name.clone(),
            hall: rumor.hall.clone(),
            rumor,
            since: now,
        };
        self.members.insert(member.name.clone(), member);
    }
}

fn change(known: &Rumor, rumor: &Rumor) -> Option<Sight> {
    let name = rumor.name.clone();
    if rumor.state == State::Dead {
        return (known.state != State::Dead).then_some(Sight::Died(name));
    }
    if known.state == State::Dead || rumor.incarnation != known.incarnation {
        return Some(Sight::Joined(name));
    }
    (known.state != rumor.state).then_some(Sight::Changed(name, rumor.state))
}
