//! What is told. A word has an origin, its incarnation and a number that grows with each; of each origin the newest on each
//! subject is kept, whichever way and in whatever order words come, so any two routers that have heard the same words
//! hold the same. Words are aged, and given back once they are stale; a later incarnation ends all words of an earlier.
use crate::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an origin says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// It is there.
    Alive,
    /// It goes, as planned.
    Leaves,
    /// It has not heard of a member for long; who is meant and hears it says at once that it is there.
    Misses { member: Name, incarnation: Incarnation },
    /// How so many of its queries ended since it last said so: too late, and in time.
    Over { late: u32, in_time: u32 },
    /// What it holds of a data node by its own calls, seen `ago` seconds before it was said; the node's process had started
    /// so many seconds before that, if it is known. The spans count from when it was said; one of 0 says that the node is
    /// sound in that respect.
    Verdict { node: Name, started: Option<f32>, ago: f32, late: f32, far: f32, sick: f32 },
}

impl What {
    /// A later word of an origin takes the place of an earlier one on the same subject.
    fn subject(&self) -> Subject {
        match self {
            What::Alive | What::Leaves => Subject::Itself,
            What::Misses { member, .. } => Subject::Member(member.clone()),
            What::Over { .. } => Subject::Over,
            What::Verdict { node, .. } => Subject::Node(node.clone()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Itself,
    Over,
    Member(Name),
    Node(Name),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub origin: Name,
    pub incarnation: Incarnation,
    pub number: u64,
    /// Seconds since it was said, at least as many as have passed.
    pub age: f64,
    pub what: What,
}

/// A word that is kept.
#[derive(Clone, Debug)]
pub struct Kept {
    pub number: u64,
    /// When it was said, by the own clock, or earlier.
    pub said: f64,
    pub what: What,
    /// The place among all that was taken in, for links that have yet to hear of it, and the link it came by.
    serial: u64,
    via: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Origin {
    incarnation: Incarnation,
    words: BTreeMap<Subject, Kept>,
    /// The highest number that was ever taken in of this incarnation on a subject that has been given back.
    over: u64,
}

/// What became of a word that came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    New,
    Known,
    Stale,
    /// Of an earlier start of its origin.
    Former,
}

#[derive(Debug, Default)]
pub struct Words {
    origins: BTreeMap<Name, Origin>,
    serial: u64,
}

impl Words {
    /// Takes in a word that is `age` seconds old by now; `via` is the link that it came by.
    pub fn take(&mut self, word: Word, now: f64, stale: f64, most: usize, via: Option<u64>) -> Taken {
        if !(word.age >= 0.0 && word.age < stale) {
            return Taken::Stale;
        }
        let origin = self.origins.entry(word.origin).or_default();
        if word.incarnation < origin.incarnation {
            return Taken::Former;
        }
        if word.incarnation > origin.incarnation {
            *origin = Origin { incarnation: word.incarnation, ..Origin::default() };
        }
        let subject = word.what.subject();
        let held = origin.words.get(&subject).map_or(origin.over, |kept| kept.number);
        if held >= word.number {
            return Taken::Known;
        }
        self.serial += 1;
        let (said, serial) = (now - word.age, self.serial);
        origin.words.insert(subject, Kept { number: word.number, said, what: word.what, serial, via });
        // Guards against an origin that says more than anyone can keep: its oldest words go.
        while origin.words.len() > most {
            let oldest = origin.words.iter().min_by_key(|(_, kept)| kept.number).map(|(s, _)| s.clone());
            let Some(oldest) = oldest else { break };
            origin.forget(&oldest);
        }
        Taken::New
    }

    /// Gives back what is stale.
    pub fn sweep(&mut self, now: f64, stale: f64) {
        for origin in self.origins.values_mut() {
            let old = origin.words.iter().filter(|(_, kept)| now - kept.said >= stale);
            let old: Vec<Subject> = old.map(|(subject, _)| subject.clone()).collect();
            old.iter().for_each(|subject| origin.forget(subject));
        }
    }

    /// What was taken in after `serial` and did not come by this link, the first so many, with its age by now; and the
    /// serial up to which the link has then heard.
    pub fn since(&self, serial: u64, link: u64, now: f64, most: usize) -> (Vec<Word>, u64) {
        let mut new: Vec<(&Name, Incarnation, &Kept)> = vec![];
        for (name, origin) in &self.origins {
            let told = origin.words.values().filter(|k| k.serial > serial && k.via != Some(link));
            new.extend(told.map(|kept| (name, origin.incarnation, kept)));
        }
        new.sort_unstable_by_key(|(_, _, kept)| kept.serial);
        let upto = if new.len() > most { new[most - 1].2.serial } else { self.serial };
        let word = |(origin, incarnation, kept): (&Name, Incarnation, &Kept)| Word {
            origin: origin.clone(),
            incarnation,
            number: kept.number,
            age: now - kept.said,
            what: kept.what.clone(),
        };
        (new.into_iter().take(most).map(word).collect(), upto)
    }

    /// Drops all words of origins that are no members any more.
    pub fn keep(&mut self, of: impl Fn(&str) -> bool) {
        self.origins.retain(|name, _| of(name));
    }

    pub fn incarnation(&self, origin: &str) -> Option<Incarnation> {
        self.origins.get(origin).map(|origin| origin.incarnation)
    }

    /// Who has said what of a subject.
    pub fn on<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = (&'a Name, &'a Kept)> {
        self.origins.iter().filter_map(move |(name, origin)| Some((name, origin.words.get(subject)?)))
    }

    pub fn len(&self) -> usize {
        self.origins.values().map(|origin| origin.words.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Origin {
    fn forget(&mut self, subject: &Subject) {
        if let Some(kept) = self.words.remove(subject) {
            self.over = self.over.max(kept.number);
        }
    }
}
