//! Stories of many routers' views without sockets: links with delays that hold frames while they are cut, clocks that agree on
//! nothing and drift, routers that stop, start anew and lie. Time passes as a story says; chance is seeded.
use alderway_peers::updates::{Update, UpdateBody, UpdateStore};
use alderway_peers::view::{MemberState, View};
use alderway_peers::{Frame, GossipConfig, Name, ring};
use alderway_transport::{FrameReader, Hello, Received, encode_hello, encode_message};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

struct Router {
    view: View,
    offset: f64,
    rate: f64,
    stopped: bool,
}

/// A frame on its way: when it arrives by the world's clock, unless the way is cut.
type Way = VecDeque<(f64, Frame)>;

struct Mesh {
    now: f64,
    terms: GossipConfig,
    routers: Vec<Router>,
    /// By the two ends: the link's number at each.
    links: BTreeMap<(usize, usize), (u64, u64)>,
    ways: BTreeMap<(usize, usize), Way>,
    cut: BTreeSet<(usize, usize)>,
    delay: f64,
    chance: Pcg32,
    believed: Vec<(f64, usize, Name, alderway_peers::quorum::AgreedObservation)>,
    changes: Vec<(f64, usize, Name, MemberState)>,
    words: usize,
}

fn name(n: usize) -> Name {
    format!("r{n:03}")
}

fn members(count: usize) -> BTreeSet<Name> {
    (0..count).map(name).collect()
}

impl Mesh {
    fn new(count: usize, terms: GossipConfig, seed: u64) -> Mesh {
        let mut chance = Pcg32::new(seed, 3);
        let mut draw = || f64::from(chance.next_u32()) / 4294967296.0;
        let routers = (0..count).map(|n| {
            let (offset, rate) = (1e4 * draw(), 1.0 + terms.max_clock_drift * 0.4 * (2.0 * draw() - 1.0));
            let view = View::new(&name(n), 1, &members(count), terms, offset);
            Router { view, offset, rate, stopped: false }
        });
        let routers = routers.collect();
        let mut mesh = Mesh {
            now: 0.0,
            terms,
            routers,
            links: BTreeMap::new(),
            ways: BTreeMap::new(),
            cut: BTreeSet::new(),
            delay: 0.005,
            chance,
            believed: vec![],
            changes: vec![],
            words: 0,
        };
        (0..count).for_each(|n| mesh.dial(n));
        mesh
    }

    fn local(&self, n: usize) -> f64 {
        self.routers[n].offset + self.routers[n].rate * self.now
    }

    fn dial(&mut self, from: usize) {
        for peer in self.routers[from].view.dial_targets() {
            let Ok(to) = peer[1..].parse::<usize>() else { continue };
            let (a, b) = (self.routers[from].view.incarnation(), self.routers[to].view.incarnation());
            let ours = self.routers[from].view.link_opened(&peer, b);
            let theirs = self.routers[to].view.link_opened(&name(from), a);
            if let (Ok(ours), Ok(theirs)) = (ours, theirs) {
                self.links.insert((from, to), (ours, theirs));
            }
        }
    }

    fn starts_anew(&mut self, n: usize, incarnation: u64) {
        self.links.retain(|ends, _| ends.0 != n && ends.1 != n);
        let now = self.local(n);
        let count = self.routers.len();
        self.routers[n].view = View::new(&name(n), incarnation, &members(count), self.terms, now);
        self.dial(n);
        for from in (0..count).filter(|from| *from != n) {
            if self.routers[from].view.dial_targets().contains(&name(n))
                && !self.links.contains_key(&(from, n))
            {
                let ours = self.routers[from].view.link_opened(&name(n), incarnation);
                let theirs = self.routers[n].view.link_opened(&name(from), 1);
                if let (Ok(ours), Ok(theirs)) = (ours, theirs) {
                    self.links.insert((from, n), (ours, theirs));
                }
            }
        }
    }

    /// Beats of a tenth of a second each.
    fn pass(&mut self, span: f64) {
        let beats = (span / self.terms.frame_interval_s).round() as usize;
        for _ in 0..beats {
            self.now += self.terms.frame_interval_s;
            for n in 0..self.routers.len() {
                let now = self.local(n);
                if !self.routers[n].stopped {
                    let changes = self.routers[n].view.tick(now);
                    self.changes.extend(changes.into_iter().map(|(name, state)| (self.now, n, name, state)));
                }
            }
            let links: Vec<_> = self.links.iter().map(|(ends, links)| (*ends, *links)).collect();
            for ((a, b), (at_a, at_b)) in links {
                for (from, to, link) in [(a, b, at_a), (b, a, at_b)] {
                    // As on a socket: the next is written when the last has gone.
                    if self.routers[from].stopped
                        || self.ways.get(&(from, to)).is_some_and(|way| way.len() > 3)
                    {
                        continue;
                    }
                    let now = self.local(from);
                    if let Some(frame) = self.routers[from].view.next_frame(link, now) {
                        self.words += frame.updates.len();
                        let draw = f64::from(self.chance.next_u32()) / 4294967296.0;
                        let at = self.now + self.delay * (0.5 + draw);
                        self.ways.entry((from, to)).or_default().push_back((at, frame));
                    }
                }
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        let ways: Vec<(usize, usize)> = self.ways.keys().copied().collect();
        for (from, to) in ways {
            while !self.cut.contains(&(from, to)) && !self.routers[to].stopped {
                let until = self.now + 0.5 * self.terms.frame_interval_s;
                let Some(way) =
                    self.ways.get_mut(&(from, to)).filter(|w| w.front().is_some_and(|f| f.0 <= until))
                else {
                    break;
                };
                let Some((_, frame)) = way.pop_front() else { break };
                let link =
                    self.links.get(&(from, to)).map(|l| l.1).or(self.links.get(&(to, from)).map(|l| l.0));
                let Some(link) = link else { continue };
                let now = self.local(to) + 0.4 * self.terms.frame_interval_s;
                let changes = self.routers[to].view.frame_received(link, frame, now);
                self.changes.extend(changes.into_iter().map(|(name, state)| (self.now, to, name, state)));
                for (node, verdict) in self.routers[to].view.take_agreed_observations(|_| Some(None), now) {
                    self.believed.push((self.now, to, node, verdict));
                }
            }
        }
    }

    fn say(&mut self, n: usize, node: &str, sick: f64) {
        let now = self.local(n);
        self.routers[n].view.observe_node(node, None, [0.0, 0.0, sick], now);
    }

    /// Who believes now that a node is sick.
    fn believers(&self, node: &str) -> BTreeSet<usize> {
        let mut latest = BTreeMap::new();
        for (_, by, about, verdict) in &self.believed {
            if about == node {
                latest.insert(*by, verdict.observed_at_s + verdict.unresponsive_for_s);
            }
        }
        latest.into_iter().filter(|(by, until)| *until > self.local(*by)).map(|(by, _)| by).collect()
    }

    fn partition(&mut self, left: impl Fn(usize) -> bool) {
        let all = self.routers.len();
        for (a, b) in (0..all).flat_map(|a| (0..all).map(move |b| (a, b))) {
            if left(a) != left(b) {
                self.cut.insert((a, b));
            }
        }
    }
}

#[rstest]
#[case(2, 1)]
#[case(5, 3)]
#[case(16, 4)]
#[case(300, 9)]
fn a_member_dials_as_many_as_the_count_has_digits(#[case] count: usize, #[case] links: usize) {
    let members = members(count);
    assert!(members.iter().all(|own| ring::dial_targets(&members, own).len() == links));
    assert!(ring::dial_targets(&members, "a stranger").is_empty());
}

/// Guards against one liar, or one router that is cut off, that takes a sound node out for all.
#[rstest]
#[case::one_says_so(1, 0)]
#[case::two_say_so(2, 5)]
fn a_verdict_is_believed_once_as_many_as_are_stated_say_so(#[case] say: usize, #[case] believe: usize) {
    let mut mesh = Mesh::new(7, GossipConfig::default(), 1);
    mesh.pass(1.0);
    (0..say).for_each(|n| mesh.say(n, "s-1", 5.0));
    mesh.pass(0.5);
    let others: BTreeSet<usize> = mesh.believers("s-1").into_iter().filter(|n| *n >= say).collect();
    assert_eq!(others.len(), believe);
}

/// Guards against a liar that keeps a node out for longer than another witness says.
#[rstest]
fn a_liar_beside_an_honest_witness_adds_nothing_to_what_that_one_says() {
    let mut mesh = Mesh::new(7, GossipConfig::default(), 2);
    mesh.pass(1.0);
    mesh.say(0, "s-1", 0.4);
    mesh.say(1, "s-1", 1e9);
    mesh.pass(0.3);
    assert!(!mesh.believers("s-1").is_empty());
    mesh.pass(0.4);
    assert!(mesh.believers("s-1").is_empty());
}

/// Guards against words that outlive the links over which they could be taken back.
#[rstest]
fn without_links_a_verdict_counts_for_nothing_once_it_is_stale() {
    let mut mesh = Mesh::new(8, GossipConfig::default(), 3);
    mesh.pass(1.0);
    (0..4).for_each(|n| mesh.say(n, "s-1", 1000.0));
    mesh.pass(1.0);
    assert!(mesh.believers("s-1").len() >= 7, "{:?}", mesh.believers("s-1"));
    mesh.pass(6.0);
    assert!(mesh.believers("s-1").len() >= 7, "said again while it holds");
    mesh.partition(|n| n < 4);
    let stale = mesh.terms.max_age_s;
    mesh.pass(stale + 0.2);
    assert_eq!(mesh.believers("s-1"), (0..4).collect(), "those that still hear each other");
}

/// Guards against words that waited in a link and are taken for new.
#[rstest]
fn words_held_past_their_time_are_stale_when_they_arrive() {
    let mut mesh = Mesh::new(5, GossipConfig::default(), 4);
    mesh.pass(1.0);
    mesh.partition(|n| n < 2);
    (0..2).for_each(|n| mesh.say(n, "s-1", 1000.0));
    mesh.pass(0.3);
    // They go silent with the word on its way.
    (0..2).for_each(|n| mesh.routers[n].stopped = true);
    mesh.pass(mesh.terms.max_age_s + 0.1);
    mesh.cut.clear();
    mesh.pass(0.5);
    assert!(mesh.believers("s-1").iter().all(|n| *n < 2), "{:?}", mesh.believers("s-1"));
    assert!(mesh.routers[2].view.counters.updates_stale > 0);
}

/// Guards against half of a fleet that goes on as if the other half were there, or never finds it again.
#[rstest]
fn halves_miss_each_other_and_find_each_other_again() {
    let mut mesh = Mesh::new(16, GossipConfig::default(), 5);
    mesh.pass(2.0);
    assert!(mesh.routers.iter().all(|r| r.view.count(MemberState::Alive) == 15));
    mesh.partition(|n| n < 8);
    mesh.pass(8.0);
    for router in &mesh.routers {
        assert_eq!((router.view.count(MemberState::Alive), router.view.count(MemberState::Dead)), (7, 8));
    }
    mesh.cut.clear();
    mesh.pass(3.0);
    assert!(mesh.routers.iter().all(|r| r.view.count(MemberState::Alive) == 15));
    let held = |n: usize| -> Vec<(Name, u64)> {
        mesh.routers[n].view.all_updates(0.0).into_iter().map(|w| (w.origin, w.number)).collect()
    };
    assert!((1..16).all(|n| held(n).len() == held(0).len()));
}

/// Guards against a router taken for dead by all though only one way to one peer is cut.
#[rstest]
fn a_link_cut_one_way_makes_nobody_missed() {
    let mut mesh = Mesh::new(6, GossipConfig::default(), 6);
    mesh.pass(2.0);
    mesh.cut.insert((0, 1));
    mesh.pass(10.0);
    assert!(mesh.changes.iter().all(|(_, _, _, state)| *state == MemberState::Alive), "{:?}", mesh.changes);
}

/// Guards against the words of a router's former life, still on their way when it has started anew.
#[rstest]
fn words_of_a_former_start_count_no_more() {
    let mut mesh = Mesh::new(5, GossipConfig::default(), 7);
    mesh.pass(1.0);
    mesh.cut.extend([(0, 1), (0, 2), (0, 4)]);
    mesh.say(0, "s-1", 1000.0);
    mesh.pass(0.2);
    mesh.cut.clear();
    let held: Vec<_> =
        mesh.ways.iter().filter(|(ends, _)| ends.0 == 0).map(|(e, w)| (*e, w.clone())).collect();
    mesh.ways.retain(|ends, _| ends.0 != 0);
    mesh.starts_anew(0, 2);
    mesh.pass(0.6);
    mesh.ways.extend(held);
    mesh.pass(0.3);
    assert!(mesh.routers.iter().any(|r| r.view.counters.updates_of_former_incarnations > 0));
    mesh.say(3, "s-1", 1000.0);
    mesh.pass(0.4);
    assert!(mesh.believers("s-1").is_empty(), "one witness is left: {:?}", mesh.believers("s-1"));
}

/// Guards against a clock that went back between two starts: the new self would be taken for a former one for ever.
#[rstest]
fn a_later_self_is_outbid() {
    let mut mesh = Mesh::new(4, GossipConfig::default(), 8);
    mesh.pass(1.0);
    mesh.starts_anew(1, 900);
    mesh.pass(1.0);
    mesh.starts_anew(1, 901);
    // Its clock went back: those that know the later one tell it.
    let words = Frame {
        updates: vec![Update {
            origin: name(1),
            incarnation: 950,
            number: 4,
            age_s: 0.0,
            body: UpdateBody::Alive,
        }],
        ..Frame::default()
    };
    mesh.pass(0.5);
    let (link, now) = (mesh.links.iter().find(|(e, _)| e.0 == 1).map(|(_, l)| l.0), mesh.local(1) + 0.05);
    let echo = Some((now - 0.01, 0.0));
    mesh.routers[1].view.frame_received(link.expect("linked"), Frame { sent_at_s: 7.0, echo, ..words }, now);
    assert_eq!(mesh.routers[1].view.incarnation(), 951);
}

/// Guards against a router that all others refuse for ever, as its wall clock went back between two starts.
#[rstest]
fn a_router_that_starts_again_with_its_clock_set_back_is_heard_by_all() {
    let mut mesh = Mesh::new(5, GossipConfig::default(), 12);
    mesh.starts_anew(1, 900);
    mesh.pass(1.0);
    // Its words are stale to the others by then, its incarnation is known.
    mesh.routers[1].stopped = true;
    mesh.pass(30.0);
    mesh.starts_anew(1, 7);
    mesh.routers[1].stopped = false;
    mesh.pass(2.0);
    let states: Vec<_> = (0..5).filter(|n| *n != 1).map(|n| mesh.routers[n].view.state(&name(1))).collect();
    assert_eq!(states, [Some(MemberState::Alive); 4]);
    assert_eq!(mesh.routers[1].view.incarnation(), 901);
    mesh.say(1, "s-1", 1000.0);
    mesh.say(2, "s-1", 1000.0);
    mesh.pass(0.5);
    assert!(!mesh.believers("s-1").is_empty(), "its words count");
}

/// Guards against a router that was stopped and is taken for dead for longer than it takes to say that it is not.
#[rstest]
fn a_router_that_was_stopped_says_that_it_is_there() {
    let mut mesh = Mesh::new(6, GossipConfig::default(), 9);
    mesh.pass(2.0);
    mesh.routers[2].stopped = true;
    mesh.pass(4.0);
    assert!(
        (0..6).filter(|n| *n != 2).all(|n| mesh.routers[n].view.state(&name(2)) == Some(MemberState::Missed))
    );
    mesh.routers[2].stopped = false;
    mesh.pass(0.6);
    assert!(
        (0..6).filter(|n| *n != 2).all(|n| mesh.routers[n].view.state(&name(2)) == Some(MemberState::Alive))
    );
}

/// Lists that differ: words of whom one does not know go no further there, and do no harm.
#[rstest]
fn who_is_of_one_list_only_is_a_stranger_to_the_other() {
    let mut mesh = Mesh::new(5, GossipConfig::default(), 10);
    mesh.pass(1.0);
    let four: BTreeSet<Name> = members(5).into_iter().filter(|m| *m != name(4)).collect();
    let now = mesh.local(0);
    mesh.routers[0].view.set_members(&four, now);
    mesh.say(4, "s-1", 1000.0);
    mesh.say(3, "s-1", 1000.0);
    mesh.pass(0.5);
    assert!(!mesh.believers("s-1").contains(&0), "to it there is one witness");
    assert!(mesh.believers("s-1").contains(&1));
    assert!(mesh.routers[0].view.counters.updates_of_unknown_origins > 0);
    assert!(mesh.routers[0].view.link_opened(&name(4), 9).is_err());
    mesh.routers[0].view.set_members(&members(5), now);
    mesh.pass(1.5);
    assert_eq!(mesh.routers[0].view.state(&name(4)), Some(MemberState::Alive));
}

/// Guards against a jam that each of many routers sees too little of: all know how the queries of all have ended.
#[rstest]
fn each_hears_how_the_queries_of_all_have_ended() {
    let mut mesh = Mesh::new(16, GossipConfig::default(), 13);
    mesh.pass(1.0);
    for n in 0..16 {
        mesh.routers[n].view.query_ended(n % 4 == 0);
        mesh.routers[n].view.query_ended(false);
    }
    mesh.pass(1.5);
    assert!(mesh.routers.iter_mut().all(|r| r.view.take_query_counts() == Some((4, 28))));
    assert!(mesh.routers.iter_mut().all(|r| r.view.take_query_counts().is_none()), "once");
}

fn word() -> impl Strategy<Value = Update> {
    let body = prop_oneof![
        Just(UpdateBody::Alive),
        Just(UpdateBody::Leaving),
        (0..3usize, 0..3u64).prop_map(|(m, incarnation)| UpdateBody::Missed { member: name(m), incarnation }),
        (0..3usize, 0.0..5.0f32).prop_map(|(n, unresponsive_for_s)| UpdateBody::Observation {
            node: format!("s-{n}"),
            uptime_s: None,
            observed_ago_s: 0.0,
            slow_for_s: 0.0,
            very_slow_for_s: 0.0,
            unresponsive_for_s,
        }),
    ];
    (0..3usize, 1..3u64, 1..20u64, body).prop_map(|(origin, incarnation, number, body)| Update {
        origin: name(origin),
        incarnation,
        number,
        age_s: 0.1,
        body,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Whatever the order, and however often each comes, the same words make the same view.
    #[test]
    fn merging_in_any_order_gives_the_same(
        words in prop::collection::vec(word(), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 80),
    ) {
        // One word has one number: what else was drawn for it goes.
        let mut one = BTreeMap::new();
        for word in words {
            one.insert((word.origin.clone(), word.incarnation, word.number), word);
        }
        let words: Vec<Update> = one.into_values().collect();
        let (mut straight, mut mixed) = (UpdateStore::default(), UpdateStore::default());
        for word in &words {
            straight.merge(word.clone(), 1.0, 2.0, 99, None);
        }
        for at in &order {
            mixed.merge(words[at.index(words.len())].clone(), 1.0, 2.0, 99, None);
        }
        for word in words.iter().rev() {
            mixed.merge(word.clone(), 1.0, 2.0, 99, None);
        }
        let all = |words: &UpdateStore| {
            let mut all = words.since(0, 0, 1.0, 999).0;
            all.sort_by(|a, b| (&a.origin, a.number).cmp(&(&b.origin, b.number)));
            all
        };
        prop_assert_eq!(all(&straight), all(&mixed));
    }

    /// However long frames take either way and whatever the clocks say, no word is taken for newer than it is.
    #[test]
    fn no_frame_seems_quicker_than_it_was(
        delays in prop::collection::vec((0.0..3.0f64, 0.0..3.0f64, 0.0..2.0f64), 1..40),
        offset in -1e6..1e6f64,
        rate in -0.0005..0.0005f64,
    ) {
        use alderway_peers::transit_time::TransitEstimator;
        // Two clocks a thousandth apart at the most; the world's is the first one's.
        let other = |t: f64| offset + (1.0 + rate) * t;
        let (mut near, mut far, mut now) = (TransitEstimator::default(), TransitEstimator::default(), 0.0);
        for (there, back, rest) in delays {
            let sent = now;
            let met = sent + there;
            far.frame_received(sent, near.echo(sent), other(met), 0.001);
            let replied = met + rest;
            let came = replied + back;
            if let Some(way) = near.frame_received(other(replied), far.echo(other(replied)), came, 0.001) {
                prop_assert!(way >= back - 1e-6, "{way} for {back}");
            }
            now = came + 0.1;
        }
    }

    /// Any bytes, cut anywhere: an error or frames, never a panic; and whatever frame it was, the view lives on.
    #[test]
    fn any_bytes_do_no_harm(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        at in any::<prop::sample::Index>(),
        stamp in any::<f64>(),
        age in any::<f64>(),
        sick in any::<f32>(),
    ) {
        let mut good = vec![];
        let hello = Hello { version: 1, is_planner: false, incarnation: 1, name: name(1) };
        encode_hello::<Frame>(&mut good, &hello);
        let (started, far) = (Some(age as f32), stamp as f32);
        let body = UpdateBody::Observation { node: "s".into(), uptime_s: started, observed_ago_s: sick, slow_for_s: sick, very_slow_for_s: far, unresponsive_for_s: sick };
        let word = Update { origin: name(1), incarnation: 1, number: u64::MAX, age_s: age, body };
        encode_message(&mut good, &Frame { sent_at_s: stamp, echo: Some((age, f64::from(sick))), updates: vec![word] }).expect("it fits a frame");
        good.append(&mut bytes);
        let mut view = View::new(&name(0), 1, &members(3), GossipConfig::default(), 5.0);
        let link = view.link_opened(&name(1), 1).expect("a member");
        let mut reader: FrameReader<Frame> = FrameReader::default();
        let (first, rest) = good.split_at(at.index(good.len()));
        for bytes in [first, rest] {
            reader.feed(bytes);
            while let Ok(Some(read)) = reader.next_frame() {
                if let Received::Message(frame) = read {
                    view.frame_received(link, frame, 6.0);
                    for (_, verdict) in view.take_agreed_observations(|_| Some(None), 6.0) {
                        prop_assert!(verdict.unresponsive_for_s <= 2.0 + 1e9);
                    }
                }
            }
        }
        view.tick(7.0);
        view.next_frame(link, 7.0);
    }
}

/// What it costs: words a second that a router sends at rest, while a tenth of them say something of ten nodes each. Printed
/// for docs/peers.md; the bound is that of flooding over the ring's links.
#[rstest]
#[case(16)]
#[case(64)]
fn words_a_second_stay_within_those_of_flooding_over_the_links(#[case] count: usize) {
    let mut mesh = Mesh::new(count, GossipConfig::default(), 12);
    mesh.pass(2.0);
    let before = mesh.words;
    mesh.pass(5.0);
    let rest = (mesh.words - before) as f64 / 5.0 / count as f64;
    let before = mesh.words;
    for n in 0..count.div_ceil(10) {
        (0..10).for_each(|node| mesh.say(n, &format!("s-{node}"), 60.0));
    }
    mesh.pass(5.0);
    let busy = (mesh.words - before) as f64 / 5.0 / count as f64;
    let links = 2.0 * ring::dial_targets(&members(count), &name(0)).len() as f64;
    println!(
        "{count} routers: {rest:.0} words a second each at rest, {busy:.0} with verdicts, {links} links"
    );
    assert!(rest <= 1.2 * links * count as f64, "{rest}");
}
