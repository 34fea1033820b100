//! One router's part among its peers: its links, the words that it keeps and tells, and who is there. It is fed frames,
//! beats and what the own module saw, each with a time of the own steady clock, and gives frames, changes and verdicts.
use crate::quorum::{self, AgreedObservation};
use crate::transit_time::TransitEstimator;
use crate::updates::{MergeResult, StoredUpdate, Subject, Update, UpdateBody, UpdateStore};
use crate::{Frame, Incarnation, Name, Terms, ring};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most words in one frame; what is left goes with the next.
const MOST_A_FRAME: usize = 4096;
/// Pulses without a word of a member before it is missed, and before it is taken for dead.
const MISSED: f64 = 3.0;
const DEAD: f64 = 6.0;

/// How a member stands, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Nothing was ever heard of it.
    Unheard,
    Alive,
    Missed,
    Dead,
    Left,
}

impl fmt::Display for State {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            State::Unheard => "unheard of",
            State::Alive => "alive",
            State::Missed => "missed",
            State::Dead => "dead",
            State::Left => "gone as planned",
        })
    }
}

/// Why a link is of no use.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// It is not of the stated list.
    Stranger(Name),
    /// It calls itself by the own name.
    Oneself,
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Stranger(name) => write!(out, "`{name}` is not of the members here"),
            Refused::Oneself => write!(out, "it calls itself by the name of this router"),
        }
    }
}

#[derive(Clone, Debug)]
struct Member {
    state: State,
    /// When it last said that it is there.
    said: f64,
}

#[derive(Debug)]
struct Link {
    peer: Name,
    transit: TransitEstimator,
    /// What it has heard.
    upto: u64,
}

/// What the own module last said of a data node, while it holds.
#[derive(Clone, Debug)]
struct Own {
    started: Option<f64>,
    seen: f64,
    until: [f64; 3],
    said: f64,
}

/// What was met, for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Met {
    pub words_told: u64,
    pub words_taken: u64,
    pub words_known: u64,
    pub words_stale: u64,
    /// Of an earlier start of their origin.
    pub words_former: u64,
    /// Of nobody that is a member here.
    pub words_strange: u64,
    /// That it was missed, and said that it is there.
    pub refuted: u64,
    /// Frames whose age cannot be told yet, as nothing has gone both ways.
    pub frames_undated: u64,
}

#[derive(Debug)]
pub struct View {
    terms: Terms,
    own: Name,
    incarnation: Incarnation,
    members: BTreeMap<Name, Member>,
    words: UpdateStore,
    links: BTreeMap<u64, Link>,
    last_link: u64,
    number: u64,
    pulse_at: f64,
    leaves: bool,
    verdicts: BTreeMap<Name, Own>,
    /// Data nodes on which others have said something since it was last asked.
    changed: BTreeSet<Name>,
    /// Members whose links say an earlier incarnation than is known here: they have yet to hear of the later one.
    outbid: BTreeSet<Name>,
    /// Own queries that ended late and in time and have yet to be told of; the fleet's that have yet to be heard.
    own_over: (u32, u32),
    over: (u32, u32),
    over_at: f64,
    pub met: Met,
}

impl View {
    pub fn new(
        own: &str,
        incarnation: Incarnation,
        members: &BTreeSet<Name>,
        terms: Terms,
        now: f64,
    ) -> Self {
        let mut view = View {
            terms,
            own: own.into(),
            incarnation,
            members: BTreeMap::new(),
            words: UpdateStore::default(),
            links: BTreeMap::new(),
            last_link: 0,
            number: 0,
            pulse_at: now,
            leaves: false,
            verdicts: BTreeMap::new(),
            changed: BTreeSet::new(),
            outbid: BTreeSet::new(),
            own_over: (0, 0),
            over: (0, 0),
            over_at: now,
            met: Met::default(),
        };
        view.set_members(members, now);
        view
    }

    /// A new list of members. Of those that are no longer there words are dropped, and links end.
    pub fn set_members(&mut self, members: &BTreeSet<Name>, now: f64) {
        self.members.retain(|name, _| members.contains(name));
        for name in members.iter().filter(|name| **name != self.own) {
            self.members.entry(name.clone()).or_insert(Member { state: State::Unheard, said: now });
        }
        let (own, known) = (&self.own, &self.members);
        self.words.retain_origins(|name| name == own || known.contains_key(name));
        self.links.retain(|_, link| known.contains_key(&link.peer));
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whom this router dials.
    pub fn dials(&self) -> Vec<Name> {
        let all: BTreeSet<Name> = self.members.keys().cloned().chain([self.own.clone()]).collect();
        ring::dial_targets(&all, &self.own)
    }

    /// A peer has said hello; the number of the link from here on. One whose incarnation is earlier than what is known here
    /// is told the later one, which it outbids: incarnations go by wall clocks, and its clock may have gone back.
    ///
    /// # Errors
    /// It is no member, or calls itself by the own name.
    pub fn greeted(&mut self, peer: &str, incarnation: Incarnation) -> Result<u64, Refused> {
        if peer == self.own {
            return Err(Refused::Oneself);
        }
        if !self.members.contains_key(peer) {
            return Err(Refused::Stranger(peer.into()));
        }
        if self.words.incarnation(peer).is_some_and(|known| incarnation < known) {
            self.outbid.insert(peer.into());
        }
        self.last_link += 1;
        let link = Link { peer: peer.into(), transit: TransitEstimator::default(), upto: 0 };
        self.links.insert(self.last_link, link);
        Ok(self.last_link)
    }

    pub fn ended(&mut self, link: u64) {
        self.links.remove(&link);
    }

    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// What goes out over a link at a beat. The driver asks once the last one has gone out whole: what a slow link has
    /// not heard stays here, the newest word of each in the place of its earlier ones. Before anything has gone both ways
    /// nothing is told, as it could not be dated there. None once the link's peer is no member any more.
    pub fn frame(&mut self, link: u64, now: f64) -> Option<Frame> {
        let held = self.links.get_mut(&link)?;
        let echo = held.transit.echo(now);
        let mut words = vec![];
        if echo.is_some() {
            (words, held.upto) = self.words.since(held.upto, link, now, MOST_A_FRAME);
        }
        self.met.words_told += words.len() as u64;
        Some(Frame { sent_at_s: now, echo, updates: words })
    }

    /// A frame has come. UpdateBody changes of members it shows.
    pub fn came(&mut self, link: u64, frame: Frame, now: f64) -> Vec<(Name, State)> {
        let Terms { stale, most, drift, .. } = self.terms;
        let Some(held) = self.links.get_mut(&link) else { return vec![] };
        let Some(way) = held.transit.frame_received(frame.sent_at_s, frame.echo, now, drift) else {
            // Said again when it can be dated.
            self.met.frames_undated += u64::from(!frame.updates.is_empty());
            return vec![];
        };
        let mut changes = vec![];
        for mut word in frame.updates {
            word.age_s += way;
            if word.origin == self.own {
                if word.incarnation > self.incarnation {
                    self.outbid_former_self(word.incarnation, now);
                }
                continue;
            }
            if !self.members.contains_key(&word.origin) {
                self.met.words_strange += 1;
                continue;
            }
            let (origin, what, said) = (word.origin.clone(), word.body.clone(), now - word.age_s);
            match self.words.merge(word, now, stale, most, Some(link)) {
                MergeResult::New => self.met.words_taken += 1,
                MergeResult::Known => {
                    self.met.words_known += 1;
                    continue;
                }
                MergeResult::Stale => {
                    self.met.words_stale += 1;
                    continue;
                }
                MergeResult::FormerIncarnation => {
                    self.met.words_former += 1;
                    continue;
                }
            }
            match what {
                UpdateBody::Alive => changes.extend(self.shows(&origin, State::Alive, said)),
                UpdateBody::Leaving => changes.extend(self.shows(&origin, State::Left, said)),
                UpdateBody::Missed { member, incarnation } => {
                    if member == self.own && incarnation >= self.incarnation && !self.leaves {
                        self.met.refuted += 1;
                        self.outbid_former_self(incarnation, now);
                    }
                }
                UpdateBody::QueryCounts { late, in_time } => self.add(late, in_time),
                UpdateBody::Observation { node, .. } => drop(self.changed.insert(node)),
            }
        }
        changes
    }

    /// Others know an incarnation of this router: it says that it is there, under a later one if that is not its own.
    /// Guards against a clock that went back between two starts, which makes the former self look like the later one.
    fn outbid_former_self(&mut self, known: Incarnation, now: f64) {
        if known > self.incarnation {
            self.incarnation = known.saturating_add(1);
        }
        self.pulse_at = now;
    }

    /// A query of this router is over.
    pub fn over(&mut self, late: bool) {
        let count = if late { &mut self.own_over.0 } else { &mut self.own_over.1 };
        *count = count.saturating_add(1);
    }

    fn add(&mut self, late: u32, in_time: u32) {
        let (sum_late, sum_in_time) = self.over;
        self.over = (sum_late.saturating_add(late), sum_in_time.saturating_add(in_time));
    }

    /// How many queries of all routers have ended since it was last asked, as far as that was heard: late, and in time.
    pub fn fleet(&mut self) -> Option<(u32, u32)> {
        Some(std::mem::take(&mut self.over)).filter(|over| *over != (0, 0))
    }

    fn shows(&mut self, name: &str, state: State, said: f64) -> Option<(Name, State)> {
        let member = self.members.get_mut(name)?;
        member.said = member.said.max(said);
        (std::mem::replace(&mut member.state, state) != state).then(|| (name.into(), state))
    }

    fn tell(&mut self, what: UpdateBody, now: f64) {
        self.number += 1;
        let (origin, incarnation, number) = (self.own.clone(), self.incarnation, self.number);
        let word = Update { origin, incarnation, number, age_s: 0.0, body: what };
        self.words.merge(word, now, self.terms.stale, self.terms.most, None);
    }

    /// What the own module saw of a data node: spans from now on, as in its own words. That a node is sound is told only
    /// to take something back.
    pub fn say(&mut self, node: &str, started: Option<f64>, spans: [f64; 3], now: f64) {
        if spans.iter().all(|span| *span <= 0.0) && !self.verdicts.contains_key(node) {
            return;
        }
        let until = spans.map(|span| now + span);
        let own = Own { started, seen: now, until, said: f64::NEG_INFINITY };
        self.verdicts.insert(node.into(), own);
        self.repeat(now);
    }

    /// Says again what still holds before it is stale to others. What has run out is not said again.
    fn repeat(&mut self, now: f64) {
        let due: Vec<(Name, Own)> = {
            let due = self.verdicts.iter().filter(|(_, own)| now - own.said >= 0.5 * self.terms.stale);
            due.map(|(node, own)| (node.clone(), own.clone())).collect()
        };
        for (node, own) in due {
            let holds = own.until.iter().any(|until| *until > now);
            if !holds && own.said.is_finite() {
                self.verdicts.remove(&node);
                continue;
            }
            let [late, far, sick] = own.until.map(|until| (until - now).max(0.0) as f32);
            let (started, ago) = (own.started.map(|at| (own.seen - at) as f32), (now - own.seen) as f32);
            self.tell(
                UpdateBody::Observation {
                    node: node.clone(),
                    uptime_s: started,
                    observed_ago_s: ago,
                    slow_for_s: late,
                    very_slow_for_s: far,
                    unresponsive_for_s: sick,
                },
                now,
            );
            self.verdicts.entry(node).and_modify(|own| own.said = now);
        }
    }

    /// Says that this router goes, for frames that go out yet.
    pub fn leave(&mut self, now: f64) {
        self.leaves = true;
        self.tell(UpdateBody::Leaving, now);
    }

    /// To be called a few times a beat: says what is due, and finds who is missed.
    pub fn tick(&mut self, now: f64) -> Vec<(Name, State)> {
        if now >= self.pulse_at && !self.leaves {
            self.pulse_at = now + self.terms.pulse;
            self.tell(UpdateBody::Alive, now);
        }
        if now - self.over_at >= 0.5 * self.terms.pulse && self.own_over != (0, 0) {
            self.over_at = now;
            let (late, in_time) = std::mem::take(&mut self.own_over);
            self.add(late, in_time);
            self.tell(UpdateBody::QueryCounts { late, in_time }, now);
        }
        self.repeat(now);
        self.words.sweep(now, self.terms.stale);
        let (mut changes, mut missed) = (vec![], vec![]);
        for (name, member) in &mut self.members {
            let silent = (now - member.said) / self.terms.pulse;
            let state = match member.state {
                State::Alive if silent > MISSED => State::Missed,
                State::Missed if silent > DEAD => State::Dead,
                state => state,
            };
            if state != member.state {
                member.state = state;
                changes.push((name.clone(), state));
                missed.extend((state == State::Missed).then(|| name.clone()));
            }
        }
        missed.extend(std::mem::take(&mut self.outbid));
        for member in missed {
            if let Some(incarnation) = self.words.incarnation(&member) {
                self.tell(UpdateBody::Missed { member, incarnation }, now);
            }
        }
        changes
    }

    /// What is believed of data nodes on which something was said since it was last asked; `started` tells the start of
    /// a node's process by the own roster, none where it is not known here.
    pub fn heard(
        &mut self,
        started: impl Fn(&str) -> Option<Option<f64>>,
        now: f64,
    ) -> Vec<(Name, AgreedObservation)> {
        let Terms { stale, witnesses, .. } = self.terms;
        let mut believed = vec![];
        for node in std::mem::take(&mut self.changed) {
            let Some(started) = started(&node) else { continue };
            let subject = Subject::Node(node.clone());
            let others = self.words.about(&subject).filter(|(by, _)| **by != self.own);
            let said: Vec<&StoredUpdate> = others.map(|(_, kept)| kept).collect();
            if let Some(verdict) = quorum::agreed_observation(&said, started, now, stale, witnesses) {
                believed.push((node, verdict));
            }
        }
        believed
    }

    pub fn state(&self, name: &str) -> Option<State> {
        self.members.get(name).map(|member| member.state)
    }

    /// How many members stand so.
    pub fn count(&self, state: State) -> usize {
        self.members.values().filter(|member| member.state == state).count()
    }

    pub fn kept(&self) -> usize {
        self.words.len()
    }

    /// All that is held of others and of oneself, for whoever compares two routers' views.
    pub fn holds(&self, now: f64) -> Vec<Update> {
        let mut words = self.words.since(0, 0, now, usize::MAX).0;
        words.sort_by(|a, b| (&a.origin, a.number).cmp(&(&b.origin, b.number)));
        words
    }
}
