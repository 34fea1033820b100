//! The one fake host: it starts a router, feeds it rounds and writes down what it decides.
use alderway::choice::Router;
use alderway::host::*;

#[derive(Default)]
pub struct Notes(pub Vec<String>, pub Vec<(String, Evidence)>, pub Vec<f64>);

impl Writer for Notes {
    fn call(&mut self, part: &str, node: &str, limit: f64) {
        self.2.push(limit);
        self.0.push(format!("call {part} {node}"));
    }
    fn cancel(&mut self, part: &str, hop: usize) {
        self.0.push(format!("cancel {part} {hop}"));
    }
    fn answer(&mut self, query: &str, whole: bool) {
        self.0.push(format!("answer {query} {}", if whole { "whole" } else { "partial" }));
    }
    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        self.0.push(format!("reject {query} {}", come_back.map_or("-".into(), |s| format!("{s:.2}"))));
    }
    fn abort(&mut self, query: &str) {
        self.0.push(format!("abort {query}"));
    }
    fn alarm(&mut self, _span: f64, _tag: u64) {}
    fn follow_roster(&mut self) {
        self.0.push("follow".into());
    }
    fn remark(&mut self, text: &str) {
        self.0.push(format!("remark {text}"));
    }
    fn evidence(&mut self, node: &str, seen: Evidence) {
        self.1.push((node.into(), seen));
    }
}

pub struct Host {
    router: Router,
    pub now: f64,
    /// All decisions so far, in order.
    pub notes: Vec<String>,
    /// What it told other cores, in order.
    pub told: Vec<(String, Evidence)>,
    /// Time-outs of all leaf calls so far, in order.
    pub limits: Vec<f64>,
}

/// What a story's deployment is made of; a story changes what it is about.
pub struct Deployment {
    pub peers: usize,
    pub vertical: Vertical,
    pub others: Vec<Vertical>,
    pub customers: Vec<Customer>,
    pub placement: Placement,
    pub allowance: Allowance,
    pub budget: Option<Budget>,
    pub cold: Option<ColdRule>,
    pub nodes: u32,
}

impl Default for Deployment {
    /// Three nodes that all hold every shard; one vertical with an SLO time of 2 s.
    fn default() -> Self {
        let effect = Effect::Repeatable;
        Deployment {
            peers: 2,
            vertical: Vertical {
                slo: 2.0,
                deadline: 6.0,
                effect,
                utility: 1.0,
                late_share: 0.3,
                need: 1.0,
                floor: 1.0,
                fetch: 0,
            },
            others: vec![],
            customers: vec![],
            placement: Placement { cells: 3, reach: 3, bundle: 1, call_work: 0.0, listed: None },
            allowance: Allowance {
                cancel: true,
                parallel: true,
                calls: 4,
                come_back: Some(0.5),
                follow: false,
                over_share: 0.1,
            },
            budget: None,
            cold: Some(ColdRule { share: 0.2, warm_up: 16.0, multiple: 2.5, span: 1.5 }),
            nodes: 3,
        }
    }
}

impl Host {
    pub fn new(d: Deployment) -> Self {
        let verticals = [vec![d.vertical], d.others].concat();
        let Deployment { peers, customers, placement, allowance, budget, cold, .. } = d;
        let router =
            Router::new(7, Terms { peers, verticals, customers, placement, allowance, budget, cold });
        let mut host = Host { router, now: 100.0, notes: vec![], told: vec![], limits: vec![] };
        for cell in 0..d.nodes {
            host.roster(&format!("n{cell}"), cell, NodeState::Serving, None);
        }
        host
    }

    /// One round, with all that `came_in` tells; returns what was decided in it.
    pub fn round(&mut self, came_in: impl FnOnce(&mut dyn Intake)) -> Vec<String> {
        let mut notes = Notes::default();
        let told = |intake: &mut dyn Intake| {
            came_in(intake);
            Ok::<(), ()>(())
        };
        self.router.round(self.now, told, &mut notes).expect("nothing here can be malformed");
        self.notes.extend(notes.0.clone());
        self.told.extend(notes.1);
        self.limits.extend(notes.2);
        notes.0
    }

    /// Makes this host's router one core's.
    pub fn join(&mut self, common: Common) {
        self.router.join(common);
    }

    /// Hears what another core told.
    pub fn hears(&mut self, told: &[(String, Evidence)]) -> Vec<String> {
        self.round(|r| told.iter().for_each(|(node, seen)| r.evidence(node, *seen)))
    }

    pub fn roster(&mut self, node: &str, cell: u32, state: NodeState, started: Option<f64>) -> Vec<String> {
        self.round(|r| r.roster_entry(node, cell, state, started))
    }

    /// Query `q{n}` with parts `p{n}.0`, `p{n}.1` ... of equal weight, one for each shard.
    pub fn query(&mut self, n: u64, shards: &[u32]) -> Vec<String> {
        let not_after = self.now + 6.0;
        self.query_until(n, shards, not_after, "")
    }

    pub fn query_until(&mut self, n: u64, shards: &[u32], not_after: f64, customer: &str) -> Vec<String> {
        self.round(|r| {
            r.query(n, &format!("q{n}"), 0, customer, not_after);
            for (i, shard) in shards.iter().enumerate() {
                r.part(n, &format!("p{n}.{i}"), *shard, 1.0 / shards.len() as f64);
            }
        })
    }

    pub fn ends(&mut self, part: &str, hop: usize, node: &str, ending: Ending, latency: f64) -> Vec<String> {
        self.round(|r| r.call_ended(part, hop, node, ending, latency))
    }

    /// Lets time pass in steps of the module's alarm.
    pub fn wait(&mut self, span: f64) -> Vec<String> {
        let (end, from) = (self.now + span, self.notes.len());
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.01).min(end);
            self.round(|r| r.alarm(1));
        }
        self.notes[from..].to_vec()
    }

    /// Plays `count` queries of one part each that the asked node answers after `latency`.
    pub fn warm(&mut self, first: u64, count: u64, latency: f64) {
        for n in first..first + count {
            let asked = node_of(&self.query(n, &[0]), &format!("p{n}.0"));
            self.wait(latency);
            self.ends(&format!("p{n}.0"), 0, &asked, Ending::Success, latency);
        }
    }

    pub fn count(&self, start: &str) -> usize {
        self.notes.iter().filter(|n| n.starts_with(start)).count()
    }
}

/// The node that a part's latest call among `notes` went to.
pub fn node_of(notes: &[String], part: &str) -> String {
    let start = format!("call {part} ");
    let call = notes.iter().rev().find_map(|n| n.strip_prefix(&start));
    call.unwrap_or_else(|| panic!("no call of {part} in {notes:?}")).to_string()
}
