//! The scale test of words among routers: real views in a mesh without sockets, every frame written and read as on a link.
//! Beats go in step and a frame arrives within its beat, so that time is the test's own; processor time is the thread's.
//! Measured are words and bytes that a router sends, what it keeps, and what reading and writing takes: at rest, with queries
//! that end all the time, with verdicts of a tenth of the routers on ten data nodes each, and with both; then, where they are
//! few enough for one machine's memory, the worst second after a fifth of them is gone.
use alderway_peers::view::View;
use alderway_peers::{Frame, GossipConfig, Name};
use alderway_transport::{FrameReader, Hello, Received, WireMessage, encode_hello, encode_message};
use clap::Args;
use nix::time::{ClockId, clock_gettime};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::thread;

/// Words among routers by their count.
#[derive(Args, Clone)]
pub struct Test {
    /// Counts of routers
    #[arg(long, value_delimiter = ',', default_values_t = [16, 64, 150, 300, 550])]
    routers: Vec<usize>,
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds of the test's own time that each measurement takes
    #[arg(long, default_value_t = 1.0)]
    window: f64,
    /// Most routers of which a fifth is lost in the end: each that is left tells of each that is missed
    #[arg(long, default_value_t = 150)]
    lost_up_to: usize,
    /// Where results go
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    /// The commit that is measured, for the results
    #[arg(long)]
    commit: String,
    /// The day, for the results
    #[arg(long)]
    date: String,
}

/// What a router does in one window, a second where it is a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    pub words: f64,
    pub bytes: f64,
    /// Of them those of frames without their words.
    pub frames: f64,
    /// Of a core.
    pub processor: f64,
    pub kept: f64,
}

/// A start as routers have it, in microseconds since 1970.
const STARTED: u64 = 1_796_000_000_000_000;

struct Router {
    view: View,
    /// How far its clock is ahead of the test's.
    offset: f64,
    gone: bool,
}

/// A way from one router to another, with the link's number at either end.
struct Way {
    from: usize,
    to: usize,
    link: u64,
    there: u64,
}

pub struct Mesh {
    now: f64,
    beat: f64,
    routers: Vec<Router>,
    ways: Vec<Way>,
    /// Queries end all the time.
    queries: bool,
    reader: FrameReader<Frame>,
    words: usize,
    bytes: usize,
    frames: usize,
}

/// As long as usual ones: a word's bytes are for the most part its origin's name, its start and its age.
fn name(n: usize) -> Name {
    format!("router-{n:03}")
}

impl Mesh {
    pub fn new(count: usize, terms: GossipConfig, seed: u64) -> Mesh {
        let mut chance = Pcg32::new(seed, 3);
        let members: BTreeSet<Name> = (0..count).map(name).collect();
        let places: BTreeMap<Name, usize> = (0..count).map(|n| (name(n), n)).collect();
        let mut routers: Vec<Router> = vec![];
        for n in 0..count {
            let offset = 1e4 * crate::draw(&mut chance);
            routers.push(Router {
                view: View::new(&name(n), STARTED, &members, terms, offset),
                offset,
                gone: false,
            });
        }
        let mut ways = vec![];
        for from in 0..count {
            for peer in routers[from].view.dial_targets() {
                let to = places[&peer];
                let ours = routers[from].view.link_opened(&peer, STARTED);
                let theirs = routers[to].view.link_opened(&name(from), STARTED);
                if let (Ok(ours), Ok(theirs)) = (ours, theirs) {
                    ways.push(Way { from, to, link: ours, there: theirs });
                    ways.push(Way { from: to, to: from, link: theirs, there: ours });
                }
            }
        }
        let mut reader = FrameReader::default();
        let mut hello = vec![];
        let said = Hello { version: Frame::VERSION, is_planner: false, incarnation: STARTED, name: name(0) };
        encode_hello::<Frame>(&mut hello, &said);
        reader.feed(&hello);
        let _ = reader.next_frame();
        Mesh {
            now: 0.0,
            beat: terms.frame_interval_s,
            routers,
            ways,
            queries: false,
            reader,
            words: 0,
            bytes: 0,
            frames: 0,
        }
    }

    /// Links of a router.
    pub fn links(&self) -> usize {
        self.routers[0].view.link_count()
    }

    fn pass(&mut self, span: f64) {
        for _ in 0..(span / self.beat).round() as usize {
            self.now += self.beat;
            self.one_beat();
        }
    }

    fn one_beat(&mut self) {
        for router in self.routers.iter_mut().filter(|router| !router.gone) {
            if self.queries {
                router.view.query_ended(false);
            }
            router.view.tick(self.now + router.offset);
        }
        let (mut bytes, mut ends) = (vec![], vec![]);
        for way in &self.ways {
            let router = &mut self.routers[way.from];
            if let Some(frame) = router.view.next_frame(way.link, self.now + router.offset) {
                self.words += frame.updates.len();
                encode_message(&mut bytes, &frame).expect("a frame of gossip fits");
                self.frames += 1;
            }
            ends.push(bytes.len());
        }
        self.bytes += bytes.len();
        let mut begin = 0;
        for (way, end) in self.ways.iter().zip(ends) {
            self.reader.feed(&bytes[begin..end]);
            begin = end;
            while let Ok(Some(Received::Message(frame))) = self.reader.next_frame() {
                let router = &mut self.routers[way.to];
                let now = self.now + router.offset + 0.4 * self.beat;
                router.view.frame_received(way.there, frame, now);
                router.view.take_agreed_observations(|_| Some(None), now);
            }
        }
    }

    /// A tenth of the routers say ten data nodes to be sick, for longer than the test lasts.
    fn verdicts(&mut self) {
        let tenth = self.routers.len().div_ceil(10);
        for router in self.routers.iter_mut().take(tenth) {
            for node in 0..10 {
                let now = self.now + router.offset;
                router.view.observe_node(&format!("s-{node}"), None, [0.0, 0.0, 1000.0], now);
            }
        }
    }

    /// The last fifth of the routers is gone, with its links.
    fn lose_a_fifth(&mut self) {
        let first = self.routers.len() - self.routers.len() / 5;
        for way in self.ways.iter().filter(|way| way.from >= first || way.to >= first) {
            self.routers[way.from].view.link_closed(way.link);
        }
        self.ways.retain(|way| way.from < first && way.to < first);
        self.routers[first..].iter_mut().for_each(|router| router.gone = true);
    }

    fn measured(&mut self, window: f64) -> Spent {
        (self.words, self.bytes, self.frames) = (0, 0, 0);
        let before = processor();
        self.pass(window);
        let a_router = 1.0 / self.routers.iter().filter(|router| !router.gone).count() as f64;
        let a_second = a_router / window;
        Spent {
            words: self.words as f64 * a_second,
            bytes: self.bytes as f64 * a_second,
            frames: (self.frames * self.empty()) as f64 * a_second,
            processor: (processor() - before) * a_second,
            kept: self.routers.iter().map(|router| router.view.update_count()).sum::<usize>() as f64
                * a_router,
        }
    }

    /// Bytes of a frame without words.
    fn empty(&self) -> usize {
        let (frame, mut bytes) = (Frame { echo: Some((self.now, self.beat)), ..Frame::default() }, vec![]);
        encode_message(&mut bytes, &frame).expect("a frame of gossip fits");
        bytes.len()
    }
}

/// Seconds of processor time that this thread has had.
fn processor() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.map_or(f64::NAN, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// What is measured in turn.
pub const STATES: [&str; 4] = ["at rest", "with queries", "with verdicts", "with queries and verdicts"];

/// What one repeat shows of a router.
#[derive(Clone, Copy, Debug)]
pub struct Shown {
    /// In each of the states.
    pub spent: [Spent; 4],
    pub links: usize,
    /// In the worst second after a fifth is gone, and in all seconds until all know it.
    pub lost: Option<(Spent, Spent)>,
}

/// Seconds until members that are gone are taken for dead, and their words are stale.
const GONE: usize = 9;

pub fn play(count: usize, seed: u64, window: f64, lose: bool) -> Shown {
    let mut mesh = Mesh::new(count, GossipConfig::default(), seed);
    // Until round trips are known and every member has been heard of.
    mesh.pass(2.0);
    let rest = mesh.measured(window);
    mesh.queries = true;
    let queries = mesh.measured(window);
    mesh.queries = false;
    mesh.pass(1.0);
    mesh.verdicts();
    let verdicts = mesh.measured(window);
    mesh.queries = true;
    let both = mesh.measured(window);
    let links = mesh.links();
    let lost = lose.then(|| {
        mesh = Mesh::new(count, GossipConfig::default(), seed);
        mesh.pass(2.0);
        mesh.lose_a_fifth();
        let seconds: Vec<Spent> = (0..GONE).map(|_| mesh.measured(1.0)).collect();
        let worst = seconds.iter().max_by(|one, other| one.words.total_cmp(&other.words));
        let sum = |of: &dyn Fn(&Spent) -> f64| seconds.iter().map(of).sum::<f64>();
        let all = Spent { words: sum(&|s| s.words), bytes: sum(&|s| s.bytes), ..Spent::default() };
        (worst.copied().unwrap_or_default(), all)
    });
    Shown { spent: [rest, queries, verdicts, both], links, lost }
}

impl Test {
    pub fn run(&self) -> Result<(), String> {
        let mut rows = vec![];
        for &count in &self.routers {
            if count < 2 {
                return Err("--routers: expected two at least".into());
            }
            let repeats: Vec<_> = thread::scope(|scope| {
                let lose = count <= self.lost_up_to;
                let one = |n| scope.spawn(move || play(count, self.seed + n as u64, self.window, lose));
                let all: Vec<_> = (0..self.repeats).map(one).collect();
                all.into_iter().map(|repeat| repeat.join()).collect()
            });
            let repeats = repeats.into_iter().collect::<Result<Vec<_>, _>>();
            let repeats = repeats.map_err(|_| format!("{count} routers: a repeat failed"))?;
            let links = repeats.first().map_or(0, |repeat| repeat.links);
            let told = (count - count / 5) * (count / 5) * links;
            let at = json!({
                "routers": count, "links": links, "routers_x_links": count * links, "left_x_lost_x_links": told
            });
            let mut row = |what: String, unit: &str, values: Vec<f64>| {
                println!("{count} routers: {what}: {values:?} {unit}");
                let role = "query router";
                rows.push(json!({"role": role, "what": what, "unit": unit, "at": at, "values": values}));
            };
            row(
                "links to other routers".into(),
                "links",
                repeats.iter().map(|one| one.links as f64).collect(),
            );
            for (n, state) in STATES.iter().enumerate() {
                let mut figure = |what: &str, unit: &str, of: &dyn Fn(&Spent) -> f64| {
                    let values = repeats.iter().map(|one| of(&one.spent[n])).map(rounded).collect();
                    row(format!("{what} {state}"), unit, values);
                };
                figure("words sent", "words/s", &|spent| spent.words);
                figure("bytes of words sent", "B/s", &|spent| spent.bytes);
                figure("processor of words", "cores", &|spent| spent.processor);
                figure("words kept", "words", &|spent| spent.kept);
            }
            row("bytes of frames without words".into(), "B/s", {
                repeats.iter().map(|one| rounded(one.spent[0].frames)).collect()
            });
            let lost: Vec<(Spent, Spent)> = repeats.iter().filter_map(|one| one.lost).collect();
            if !lost.is_empty() {
                let of = |of: &dyn Fn(&(Spent, Spent)) -> f64| lost.iter().map(of).map(rounded).collect();
                let second = "in the worst second, a fifth lost";
                row(format!("bytes of words sent {second}"), "B/s", of(&|lost| lost.0.bytes));
                row(format!("processor of words {second}"), "cores", of(&|lost| lost.0.processor));
                row("bytes of words sent until all know a fifth lost".into(), "B", of(&|lost| lost.1.bytes));
            }
        }
        let routers = self.routers.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
        let command = format!(
            "alderway-lab capacity words --routers {routers} --repeats {} --seed {} --window {} --lost-up-to {}",
            self.repeats, self.seed, self.window, self.lost_up_to
        );
        let processors = thread::available_parallelism().map_or(0, usize::from);
        let machine = format!("{processors} processors, {} repeats at once", self.repeats);
        let (commit, seed, date) = (&self.commit, self.seed, &self.date);
        let run =
            json!({"command": command, "commit": commit, "seed": seed, "machine": machine, "date": date});
        let text = as_text(&run, &rows);
        std::fs::write(&self.out, text).map_err(|why| format!("{}: {why}", self.out.display()))
    }
}

/// To four digits.
fn rounded(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}

/// A file of results, one row a line.
pub fn as_text(run: &Value, rows: &[Value]) -> String {
    let rows = rows.iter().map(|row| format!("    {row}")).collect::<Vec<_>>().join(",\n");
    format!("{{\n  \"run\": {run},\n  \"rows\": [\n{rows}\n  ]\n}}\n")
}
