//! The one fake host: it starts a router, feeds it rounds and writes down what it decides.
use alderway::interface::*;
use alderway::policy::Policy;

#[derive(Default)]
pub struct Notes(pub Vec<String>, pub Vec<(String, NodeObservation)>, pub Vec<f64>);

impl DecisionSink for Notes {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        self.2.push(limit);
        self.0.push(format!("call {part} {node}"));
    }
    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.0.push(format!("cancel {part} {hop}"));
    }
    fn answer(&mut self, query: &str, whole: bool) {
        self.0.push(format!("answer {query} {}", if whole { "whole" } else { "partial" }));
    }
    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        self.0.push(format!("reject {query} {}", come_back.map_or("-".into(), |s| format!("{s:.2}"))));
    }
    fn fail(&mut self, query: &str) {
        self.0.push(format!("abort {query}"));
    }
    fn set_timer(&mut self, _span: f64, _tag: u64) {}
    fn poll_endpoints(&mut self) {
        self.0.push("follow".into());
    }
    fn log(&mut self, text: &str) {
        self.0.push(format!("remark {text}"));
    }
    fn share_observation(&mut self, node: &str, seen: NodeObservation) {
        self.1.push((node.into(), seen));
    }
}

pub struct Host {
    router: Policy,
    pub now: f64,
    /// All decisions so far, in order.
    pub notes: Vec<String>,
    /// What it told other cores, in order.
    pub told: Vec<(String, NodeObservation)>,
    /// Time-outs of all leaf calls so far, in order.
    pub limits: Vec<f64>,
}

/// What a story's deployment is made of; a story changes what it is about.
pub struct Deployment {
    pub peers: usize,
    pub vertical: QueryClass,
    pub others: Vec<QueryClass>,
    pub customers: Vec<Tenant>,
    pub placement: ShardPlacement,
    pub allowance: RouterCapabilities,
    pub budget: Option<RetryBudget>,
    pub cold: Option<SlowStartConfig>,
    pub nodes: u32,
}

impl Default for Deployment {
    /// Three nodes that all hold every shard; one vertical with an SLO time of 2 s.
    fn default() -> Self {
        let effect = Idempotency::Idempotent;
        Deployment {
            peers: 2,
            vertical: QueryClass {
                latency_objective_s: 2.0,
                deadline_s: 6.0,
                idempotency: effect,
                priority_weight: 1.0,
                late_weight_fraction: 0.3,
                complete_fraction: 1.0,
                minimum_fraction: 1.0,
                second_phase_requests: 0,
            },
            others: vec![],
            customers: vec![],
            placement: ShardPlacement {
                replica_groups: 3,
                groups_per_shard: 3,
                max_batch: 1,
                attempt_overhead_s: 0.0,
                explicit_holders: None,
            },
            allowance: RouterCapabilities {
                can_cancel: true,
                can_hedge: true,
                max_attempts: 4,
                max_retry_after_s: Some(0.5),
                polls_endpoints: false,
                over_quota_weight_fraction: 0.1,
            },
            budget: None,
            cold: Some(SlowStartConfig {
                initial_fraction: 0.2,
                warm_up_s: 16.0,
                capacity_multiple: 2.5,
                window_s: 1.5,
            }),
            nodes: 3,
        }
    }
}

impl Host {
    pub fn new(d: Deployment) -> Self {
        let verticals = [vec![d.vertical], d.others].concat();
        let Deployment { peers, customers, placement, allowance, budget, cold, .. } = d;
        let router = Policy::new(
            7,
            PolicyConfig {
                router_count: peers,
                query_classes: verticals,
                tenants: customers,
                placement,
                capabilities: allowance,
                retry_budget: budget,
                slow_start: cold,
            },
        );
        let mut host = Host { router, now: 100.0, notes: vec![], told: vec![], limits: vec![] };
        for cell in 0..d.nodes {
            host.roster(&format!("n{cell}"), cell, NodeState::Serving, None);
        }
        host
    }

    /// One round, with all that `came_in` tells; returns what was decided in it.
    pub fn round(&mut self, came_in: impl FnOnce(&mut dyn PolicyInput)) -> Vec<String> {
        let mut notes = Notes::default();
        let told = |intake: &mut dyn PolicyInput| {
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
    pub fn join(&mut self, common: SharedLimits) {
        self.router.join(common);
    }

    /// Hears what another core told.
    pub fn hears(&mut self, told: &[(String, NodeObservation)]) -> Vec<String> {
        self.round(|r| told.iter().for_each(|(node, seen)| r.node_observed(node, *seen)))
    }

    pub fn roster(&mut self, node: &str, cell: u32, state: NodeState, started: Option<f64>) -> Vec<String> {
        self.round(|r| r.endpoint_updated(node, cell, state, started))
    }

    /// Query `q{n}` with parts `p{n}.0`, `p{n}.1` ... of equal weight, one for each shard.
    pub fn query(&mut self, n: u64, shards: &[u32]) -> Vec<String> {
        let not_after = self.now + 6.0;
        self.query_until(n, shards, not_after, "")
    }

    pub fn query_until(&mut self, n: u64, shards: &[u32], not_after: f64, customer: &str) -> Vec<String> {
        self.round(|r| {
            r.query_arrived(n, &format!("q{n}"), 0, customer, not_after);
            for (i, shard) in shards.iter().enumerate() {
                r.shard_request_added(n, &format!("p{n}.{i}"), *shard, 1.0 / shards.len() as f64);
            }
        })
    }

    pub fn ends(
        &mut self,
        part: &str,
        hop: usize,
        node: &str,
        ending: AttemptOutcome,
        latency: f64,
    ) -> Vec<String> {
        self.round(|r| r.attempt_ended(part, hop, node, ending, latency))
    }

    /// Lets time pass in steps of the module's alarm.
    pub fn wait(&mut self, span: f64) -> Vec<String> {
        let (end, from) = (self.now + span, self.notes.len());
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.01).min(end);
            self.round(|r| r.timer_fired(1));
        }
        self.notes[from..].to_vec()
    }

    /// Plays `count` queries of one part each that the asked node answers after `latency`.
    pub fn warm(&mut self, first: u64, count: u64, latency: f64) {
        for n in first..first + count {
            let asked = node_of(&self.query(n, &[0]), &format!("p{n}.0"));
            self.wait(latency);
            self.ends(&format!("p{n}.0"), 0, &asked, AttemptOutcome::Success, latency);
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
