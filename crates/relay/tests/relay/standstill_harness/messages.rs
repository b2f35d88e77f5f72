//! What the boxes of a simulation tell each other of servers, and their hubs' health checks.

use std::collections::HashMap;
use std::time::Duration;

use tidepier_admission::stall::{Life, Stall, Wait};
use tidepier_admission::verify;
use tidepier_relay::fleet::lives::{self, Lives, Scope, Sent};
use tidepier_relay::fleet::Key;
use tidepier_relay::traffic::log::Peer;
use tidepier_relay::traffic::stalls::Stalls;

use super::{Event, Purpose, Run, Sim, PROBE_TIMEOUT, REPORT_INTERVAL};
use crate::harness::Result;
use crate::spread_harness::hall;

/// What is told of servers of plain services.
pub(super) struct News {
    stalls: Vec<Stall<Key>>,
    /// Answers to boxes of the sender's hall, and of others.
    hall: Vec<lives::Life>,
    elsewhere: Vec<lives::Life>,
}

/// A message between boxes.
pub(super) enum Message {
    /// What a box reports to the hub of its hall.
    Report {
        from: usize,
        waits: Vec<Wait<Key>>,
        returned: Vec<Life<Key>>,
        answers: Vec<lives::Life>,
        is_answered: bool,
    },
    /// What the hub of a hall tells one of its boxes, or all.
    Told {
        hall: usize,
        to: Option<usize>,
        news: News,
    },
    /// A hub asks that of another hall.
    Ask { from: usize, to: usize },
    /// What it is told, or what changes without its asking.
    Answer {
        from: usize,
        to: usize,
        news: News,
        is_asked: bool,
    },
}

/// The hub of a hall.
#[derive(Default)]
pub(super) struct Hub {
    pub(super) stalls: Stalls,
    lives: Lives,
    /// What the boxes of the hall, and other hubs, have got.
    sent: HashMap<usize, (Sent, Sent)>,
    sent_to_halls: HashMap<usize, Sent>,
}

impl Sim {
    /// Lets a box report its waits and the answers of servers to the hub of its hall.
    pub(super) fn report_to_hub(&mut self, number: usize, is_answered: bool) {
        if self.is_deaf(number) {
            return;
        }
        let returned = self.boxes[number].fleet.take_lives(self.now);
        self.send_report(number, returned, is_answered);
    }

    fn send_report(&mut self, number: usize, returned: Vec<Life<Key>>, is_answered: bool) {
        let (sim_box, now) = (&mut self.boxes[number], self.now);
        let lives = &sim_box.fleet.stalls.lives;
        let answers = lives.updates(&mut sim_box.sent, Scope::Reported, now);
        let message = Message::Report {
            from: number,
            waits: sim_box.fleet.waits(now),
            returned,
            answers: answers.unwrap_or_default(),
            is_answered,
        };
        self.deliver(message, Duration::ZERO);
    }

    /// Reports answers of servers of which the others should know at once, if there are any.
    pub(super) fn report_returns(&mut self, number: usize) {
        if self.is_deaf(number) {
            return;
        }
        let returned = self.boxes[number].fleet.take_lives(self.now);
        if !returned.is_empty() {
            self.send_report(number, returned, false);
        }
    }

    /// Whether a box hears of no other.
    pub(super) fn is_deaf(&self, sim_box: usize) -> bool {
        let deaf = self.plan.deaf;
        !self.plan.reports || (deaf > 0 && sim_box.is_multiple_of(deaf))
    }

    /// Delivers a message between boxes that are `way` further apart than in a hall.
    pub(super) fn deliver(&mut self, message: Message, way: Duration) {
        self.message_count += 1;
        self.messages.insert(self.message_count, message);
        self.after(self.plan.notice + way, Event::Message(self.message_count));
    }

    pub(super) fn receive(&mut self, number: usize) -> Result {
        let now = self.now;
        let Some(message) = self.messages.remove(&number) else {
            return Ok(());
        };
        match message {
            Message::Report {
                from,
                waits,
                returned,
                answers,
                is_answered,
            } => {
                let hall = self.boxes[from].hall_number;
                let hub = &self.hubs[hall];
                let has_returned = hub.stalls.record_returns(&returned, now);
                let answers = lives::aged(answers, self.plan.notice * 2);
                hub.lives.record_reported(&answers, now);
                // The ages are as of when it was sent.
                hub.stalls
                    .record(Peer::Member(from as u64), &waits, &returned, now);
                self.detect(hall, has_returned);
                if is_answered {
                    let news = self.news(hall, Some(from));
                    self.deliver(
                        Message::Told {
                            hall,
                            to: Some(from),
                            news,
                        },
                        Duration::ZERO,
                    );
                }
            }
            Message::Told { hall, to, news } => {
                for number in 0..self.boxes.len() {
                    let is_meant = to.is_none_or(|to| to == number);
                    if is_meant && self.boxes[number].hall_number == hall && !self.is_deaf(number) {
                        self.hear(number, &news);
                    }
                }
                if let Some(number) = to {
                    self.after(REPORT_INTERVAL, Event::Exchange(number));
                }
            }
            Message::Ask { from, to } => {
                let hub = &mut self.hubs[to];
                let sent = hub.sent_to_halls.entry(from).or_default();
                let answers = hub.lives.updates(sent, Scope::Reported, now);
                let news = News {
                    stalls: hub.stalls.detected(),
                    hall: answers.unwrap_or_default(),
                    elsewhere: Vec::new(),
                };
                let (from, to) = (to, from);
                let way = self.plan.round_trip / 2;
                let is_asked = true;
                let answer = Message::Answer {
                    from,
                    to,
                    news,
                    is_asked,
                };
                self.deliver(answer, way);
            }
            Message::Answer {
                from,
                to,
                news,
                is_asked,
            } => {
                let peer = Peer::Hall(hall(from, self.plan.halls)?);
                let hub = &self.hubs[to];
                let asked = self.plan.notice * 2 + self.plan.round_trip;
                hub.lives
                    .set_told_elsewhere(&lives::aged(news.hall, asked), now);
                hub.stalls.set_told(peer, &news.stalls, now);
                self.detect(to, false);
                if is_asked {
                    self.after(REPORT_INTERVAL, Event::HallExchange(to, from));
                }
            }
        }
        Ok(())
    }

    /// A box hears from the hub of its hall.
    fn hear(&mut self, number: usize, news: &News) {
        let (fleet, now) = (&self.boxes[number].fleet, self.now);
        fleet.stalls.hear(now);
        fleet.stalls.lives.hear(true, now);
        let (in_hall, elsewhere) = (news.hall.clone(), news.elsewhere.clone());
        let asked = self.plan.notice * 2;
        let lives = &fleet.stalls.lives;
        lives.set_told_of_hall(&lives::aged(in_hall, asked), now);
        lives.set_told_elsewhere(&lives::aged(elsewhere, asked), now);
        fleet.set_stalls(&news.stalls, now);
        self.report_returns(number);
    }

    /// What a hub tells one of its boxes, or all.
    fn news(&mut self, hall: usize, to: Option<usize>) -> News {
        let (hub, now) = (&mut self.hubs[hall], self.now);
        let mut all = <(Sent, Sent)>::default();
        let (sent, sent_elsewhere) = match to {
            Some(to) => hub.sent.entry(to).or_default(),
            None => &mut all,
        };
        let in_hall = hub.lives.updates(sent, Scope::Hall, now);
        let elsewhere = hub.lives.updates(sent_elsewhere, Scope::Elsewhere, now);
        News {
            stalls: hub.stalls.all(),
            hall: in_hall.unwrap_or_default(),
            elsewhere: elsewhere.unwrap_or_default(),
        }
    }

    /// Lets the hub of a hall look for servers that stand still, and tell its boxes of a
    /// change, or of a server that `has_returned`.
    pub(super) fn detect(&mut self, hall: usize, has_returned: bool) {
        let hub = &self.hubs[hall];
        let has_changed = hub.stalls.update(&hub.lives, self.now);
        for server in self.hubs[hall].stalls.suspected() {
            if self.hubs[hall].stalls.begin_probe(server, self.now) {
                if let Ok(server) = self.server_number(server) {
                    self.probe(hall, server);
                }
            }
        }
        if has_changed || has_returned {
            self.outcome.told += usize::from(has_changed);
            self.tell_halls(hall);
            let news = self.news(hall, None);
            self.deliver(
                Message::Told {
                    hall,
                    to: None,
                    news,
                },
                Duration::ZERO,
            );
        }
    }

    /// Lets the hub of a hall tell those of the others which servers stand still.
    fn tell_halls(&mut self, from: usize) {
        for to in (0..self.plan.halls).filter(|to| *to != from) {
            let news = News {
                stalls: self.hubs[from].stalls.detected(),
                hall: Vec::new(),
                elsewhere: Vec::new(),
            };
            let message = Message::Answer {
                from,
                to,
                news,
                is_asked: false,
            };
            self.deliver(message, self.plan.round_trip / 2);
        }
    }

    /// Lets the hub of a hall, its first box, send a health check to a server.
    fn probe(&mut self, hall: usize, server: usize) {
        self.outcome.probes += 1;
        let run = self.begin_run(Run::new(hall, Purpose::Probe, server, self.now));
        let way = self.way(run);
        self.after(way * 3, Event::Arrival(run));
        self.after(verify::check_limit(way * 2), Event::ProbeDue(run));
        self.after(PROBE_TIMEOUT, Event::ProbeEnd(run));
    }

    /// A probe should have been answered.
    pub(super) fn probe_due(&mut self, run: usize) -> Result {
        let backend = self.backend(run)?;
        if !self.runs[run].has_begun {
            let hall = self.runs[run].sim_box;
            self.hubs[hall].stalls.record_unanswered(backend.key);
            self.detect(hall, false);
        }
        Ok(())
    }

    /// The answer to a probe reaches its hub, or the hub gives it up.
    pub(super) fn probed(&mut self, run: usize, is_accepted: bool) -> Result {
        let backend = self.backend(run)?;
        let Run {
            sim_box: hall,
            sent,
            has_begun: is_over,
            ..
        } = self.runs[run];
        if std::mem::replace(&mut self.runs[run].has_begun, true) || is_over {
            return Ok(());
        }
        let limit = verify::check_limit(self.way(run) * 2);
        let is_answered = is_accepted && self.now - sent < limit;
        let stalls = &self.hubs[hall].stalls;
        if is_answered {
            let life = Life {
                server: backend.key,
                age: Duration::ZERO,
            };
            stalls.record_lives(&[life], self.now);
        }
        stalls.end_probe(backend.key, sent, is_answered);
        self.detect(hall, false);
        Ok(())
    }
}
