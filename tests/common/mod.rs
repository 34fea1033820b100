//! A host for tests of the policy. The host creates a policy, runs rounds (calls of `Policy::round`) and
//! records the decisions.
//!
//! Each decision is recorded as text: `attempt REQUEST NODE`, `cancel REQUEST ATTEMPT`, `answer QUERY
//! complete` or `partial`, `reject QUERY RETRY_AFTER_S`, `fail QUERY`, `poll`, `log TEXT`.
#![allow(dead_code)] // Each test file uses a part of this module.

use alderway::interface::*;
use alderway::policy::Policy;

/// Receives the decisions of one round.
#[derive(Default)]
pub struct Recorder {
    pub decisions: Vec<String>,
    pub shared_observations: Vec<(String, NodeObservation)>,
    pub timeouts_s: Vec<f64>,
}

impl DecisionSink for Recorder {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        self.timeouts_s.push(timeout_s);
        self.decisions.push(format!("attempt {request} {node}"));
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.decisions.push(format!("cancel {request} {attempt}"));
    }
    fn answer(&mut self, query: &str, complete: bool) {
        self.decisions.push(format!("answer {query} {}", if complete { "complete" } else { "partial" }));
    }
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        let retry_after = retry_after_s.map_or("-".into(), |span_s| format!("{span_s:.2}"));
        self.decisions.push(format!("reject {query} {retry_after}"));
    }
    fn fail(&mut self, query: &str) {
        self.decisions.push(format!("fail {query}"));
    }
    fn set_timer(&mut self, _span_s: f64, _tag: u64) {}
    fn poll_endpoints(&mut self) {
        self.decisions.push("poll".into());
    }
    fn log(&mut self, text: &str) {
        self.decisions.push(format!("log {text}"));
    }
    fn share_observation(&mut self, node: &str, observation: NodeObservation) {
        self.shared_observations.push((node.into(), observation));
    }
}

/// A policy with its clock and all of its decisions so far, in order.
pub struct Host {
    policy: Policy,
    pub now: f64,
    pub decisions: Vec<String>,
    /// The observations that the policy shared with other cores.
    pub shared_observations: Vec<(String, NodeObservation)>,
    /// The time-outs in seconds of all attempts, in the order of their starts.
    pub timeouts_s: Vec<f64>,
}

/// The configuration and data nodes of a test. A test changes the values that it depends on.
pub struct Deployment {
    pub router_count: usize,
    pub class: QueryClass,
    pub other_classes: Vec<QueryClass>,
    pub tenants: Vec<Tenant>,
    pub placement: ShardPlacement,
    pub capabilities: RouterCapabilities,
    pub retry_budget: Option<RetryBudget>,
    pub slow_start: Option<SlowStartConfig>,
    pub node_count: u32,
}

impl Default for Deployment {
    /// Three nodes that all hold every shard; one query class with a latency objective of 2 s.
    fn default() -> Self {
        Deployment {
            router_count: 2,
            class: QueryClass {
                latency_objective_s: 2.0,
                deadline_s: 6.0,
                idempotency: Idempotency::Idempotent,
                priority_weight: 1.0,
                late_weight_fraction: 0.3,
                complete_fraction: 1.0,
                minimum_fraction: 1.0,
                second_phase_requests: 0,
            },
            other_classes: vec![],
            tenants: vec![],
            placement: ShardPlacement {
                replica_groups: 3,
                groups_per_shard: 3,
                max_batch: 1,
                attempt_overhead_s: 0.0,
                explicit_holders: None,
            },
            capabilities: RouterCapabilities {
                can_cancel: true,
                can_hedge: true,
                max_attempts: 4,
                max_retry_after_s: Some(0.5),
                polls_endpoints: false,
                over_quota_weight_fraction: 0.1,
            },
            retry_budget: None,
            slow_start: Some(SlowStartConfig {
                initial_fraction: 0.2,
                warm_up_s: 16.0,
                capacity_multiple: 2.5,
                window_s: 1.5,
            }),
            node_count: 3,
        }
    }
}

impl Deployment {
    /// The default deployment, modified by `change`.
    pub fn with(change: impl FnOnce(&mut Deployment)) -> Self {
        let mut deployment = Deployment::default();
        change(&mut deployment);
        deployment
    }

    /// One node with up to eight shard requests per attempt. Each attempt costs the node 0.05 s of processing
    /// time in addition to that of its shard requests.
    pub fn of_one_node() -> Self {
        let placement = ShardPlacement {
            replica_groups: 1,
            groups_per_shard: 1,
            max_batch: 8,
            attempt_overhead_s: 0.05,
            explicit_holders: None,
        };
        Deployment { placement, node_count: 1, ..Deployment::default() }
    }

    pub fn policy_config(self) -> PolicyConfig {
        PolicyConfig {
            router_count: self.router_count,
            query_classes: [vec![self.class], self.other_classes].concat(),
            tenants: self.tenants,
            placement: self.placement,
            capabilities: self.capabilities,
            retry_budget: self.retry_budget,
            slow_start: self.slow_start,
        }
    }
}

impl Host {
    pub fn new(deployment: Deployment) -> Self {
        let node_count = deployment.node_count;
        let mut host = Host {
            policy: Policy::new(7, deployment.policy_config()),
            now: 100.0,
            decisions: vec![],
            shared_observations: vec![],
            timeouts_s: vec![],
        };
        for group in 0..node_count {
            host.update_endpoint(&format!("n{group}"), group, NodeState::Serving, None);
        }
        host
    }

    /// A host of the default deployment, modified by `change`.
    pub fn with(change: impl FnOnce(&mut Deployment)) -> Self {
        Host::new(Deployment::with(change))
    }

    /// Runs one round with the events that `deliver` passes on; returns its decisions.
    pub fn round(&mut self, deliver: impl FnOnce(&mut dyn PolicyInput)) -> Vec<String> {
        let mut recorder = Recorder::default();
        let deliver = |input: &mut dyn PolicyInput| {
            deliver(input);
            Ok::<(), ()>(())
        };
        self.policy.round(self.now, deliver, &mut recorder).expect("delivery does not fail");
        self.decisions.extend(recorder.decisions.clone());
        self.shared_observations.extend(recorder.shared_observations);
        self.timeouts_s.extend(recorder.timeouts_s);
        recorder.decisions
    }

    /// Makes this host's policy use `limits`: the retry budget's token bucket and the restriction of nodes
    /// that are warming up to one core, which all cores of a router share.
    pub fn use_shared_limits(&mut self, limits: SharedLimits) {
        self.policy.use_shared_limits(limits);
    }

    /// Delivers the observations of data nodes that another core shared; returns the decisions of that round.
    pub fn receive_observations(&mut self, shared: &[(String, NodeObservation)]) -> Vec<String> {
        self.round(|r| shared.iter().for_each(|(node, observation)| r.node_observed(node, *observation)))
    }

    pub fn update_endpoint(
        &mut self,
        node: &str,
        group: u32,
        state: NodeState,
        started: Option<f64>,
    ) -> Vec<String> {
        self.round(|r| r.endpoint_updated(node, group, state, started))
    }

    /// Delivers query `q{n}` with shard requests `p{n}.0`, `p{n}.1` ... of equal weight, one for each shard.
    pub fn query(&mut self, n: u64, shards: &[u32]) -> Vec<String> {
        let not_after = self.now + 6.0;
        self.query_until(n, shards, not_after, "")
    }

    pub fn query_until(&mut self, n: u64, shards: &[u32], not_after: f64, tenant: &str) -> Vec<String> {
        self.query_of_class(n, 0, shards, not_after, tenant)
    }

    pub fn query_of_class(
        &mut self,
        n: u64,
        class: usize,
        shards: &[u32],
        not_after: f64,
        tenant: &str,
    ) -> Vec<String> {
        self.round(|r| {
            r.query_arrived(n, &format!("q{n}"), class, tenant, not_after);
            for (i, shard) in shards.iter().enumerate() {
                r.shard_request_added(n, &format!("p{n}.{i}"), *shard, 1.0 / shards.len() as f64);
            }
        })
    }

    pub fn attempt_ended(
        &mut self,
        request: &str,
        attempt: usize,
        node: &str,
        outcome: AttemptOutcome,
        latency: f64,
    ) -> Vec<String> {
        self.round(|r| r.attempt_ended(request, attempt, node, outcome, latency))
    }

    /// Advances the clock by `span` seconds in steps of the policy's timer.
    pub fn wait(&mut self, span: f64) -> Vec<String> {
        let (end, from) = (self.now + span, self.decisions.len());
        while self.now < end - 1e-9 {
            self.now = (self.now + 0.01).min(end);
            self.round(|r| r.timer_fired(1));
        }
        self.decisions[from..].to_vec()
    }

    /// Runs `count` queries of one shard request each, which the selected node answers after `latency`
    /// seconds.
    pub fn answer_queries(&mut self, first: u64, count: u64, latency: f64) {
        for n in first..first + count {
            let node = last_node(&self.query(n, &[0]), &format!("p{n}.0"));
            self.wait(latency);
            self.attempt_ended(&format!("p{n}.0"), 0, &node, AttemptOutcome::Success, latency);
        }
    }

    /// Number of decisions so far whose text starts with `start`.
    pub fn count(&self, start: &str) -> usize {
        self.decisions.iter().filter(|decision| decision.starts_with(start)).count()
    }
}

/// The node that a shard request's latest attempt among `decisions` went to.
pub fn last_node(decisions: &[String], request: &str) -> String {
    let start = format!("attempt {request} ");
    let node = decisions.iter().rev().find_map(|decision| decision.strip_prefix(&start));
    node.unwrap_or_else(|| panic!("no attempt of {request} in {decisions:?}")).to_string()
}

/// The attempts among `decisions`.
pub fn attempts(decisions: &[String]) -> Vec<&str> {
    decisions.iter().filter(|decision| decision.starts_with("attempt ")).map(String::as_str).collect()
}
