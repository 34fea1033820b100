//! Runs the policy of a core in rounds: each round passes the events since the last round to the policy and
//! executes the policy's decisions on the dispatcher. An observation is a measurement of a data node that
//! cores and routers share.
//!
//! A forwarder is a router whose decisions are made by planners, which are separate programs, or by the
//! forwarder's own policy while no planner is available. [`Tier`] holds a forwarder's connections to the
//! planners.
use super::{node_session, sleep_until};
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use crate::tier::forwarder::InputSplitter;
use crate::tier::planner_links::ForwarderHandle;
use alderway::interface::{DecisionSink, NodeObservation, PolicyInput, SharedLimits};
use alderway::policy::Policy;
use alderway_telemetry::turns::TaskKind;
use std::convert::Infallible;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::task::{spawn_local, yield_now};

/// Executes the decisions of a policy on the dispatcher. On a forwarder, also records the decisions of the
/// forwarder's own policy in [`Tier`].
pub struct DispatcherDecisionSink<'a> {
    dispatcher: &'a DispatcherHandle,
    tier: Option<&'a ForwarderHandle>,
}

impl<'a> DispatcherDecisionSink<'a> {
    /// Creates a sink for decisions that a planner has sent. The caller has already recorded these decisions
    /// in [`Tier`], so the sink does not record them.
    pub fn for_planner_decisions(dispatcher: &'a DispatcherHandle) -> Self {
        DispatcherDecisionSink { dispatcher, tier: None }
    }

    fn query_finished(&self, query: &str) {
        self.tier.iter().for_each(|tier| tier.borrow_mut().remove_local_query(query));
    }
}

impl DecisionSink for DispatcherDecisionSink<'_> {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        self.tier.iter().for_each(|tier| tier.borrow_mut().record_local_attempt(request, node));
        self.dispatcher.borrow_mut().start_attempt(request, node, timeout_s);
    }
    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        self.dispatcher.borrow_mut().cancel_attempt(request, attempt);
    }
    fn answer(&mut self, query: &str, complete: bool) {
        self.query_finished(query);
        self.dispatcher.borrow_mut().answer(query, complete);
    }
    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        self.query_finished(query);
        self.dispatcher.borrow_mut().reject(query, retry_after_s);
    }
    fn fail(&mut self, query: &str) {
        self.query_finished(query);
        self.dispatcher.borrow_mut().fail(query);
    }
    fn share_observation(&mut self, node: &str, observation: NodeObservation) {
        self.dispatcher.borrow_mut().share_observation(node, observation);
    }
    fn query_ended(&mut self, late: bool) {
        self.dispatcher.borrow_mut().query_ended(late);
    }
    fn set_timer(&mut self, delay_s: f64, tag: u64) {
        self.dispatcher.borrow_mut().set_timer(delay_s, tag);
    }
    fn poll_endpoints(&mut self) {
        self.dispatcher.borrow_mut().poll_endpoints();
    }
    fn log(&mut self, text: &str) {
        self.dispatcher.borrow_mut().log(text);
    }
}

/// Assigns queued attempts to connections to data nodes, and opens further connections if needed.
pub fn send_queued_attempts(dispatcher: &DispatcherHandle, descriptors: &Arc<DescriptorPool>) {
    let now = dispatcher.borrow().clock.now();
    let dials = dispatcher.borrow_mut().flush_attempts(now);
    for dial in dials {
        let turn_times = dispatcher.borrow().turn_times.clone();
        let session = node_session::run(dispatcher.clone(), dial, descriptors.clone());
        spawn_local(turn_times.measure(TaskKind::DataNode, session));
    }
}

/// Returns a function that creates a policy from the newest settings that the dispatcher has applied. The
/// function fails if the dispatcher has no settings.
pub fn policy_factory(
    dispatcher: &DispatcherHandle,
    seed: u64,
) -> impl Fn() -> Result<Policy, String> + 'static {
    let dispatcher = dispatcher.clone();
    move || {
        let dispatcher = dispatcher.borrow();
        let config = dispatcher.class_table.policy_config().ok_or("the dispatcher has no settings")?;
        Ok(Policy::new(seed, config.clone()))
    }
}

/// Runs the policy for as long as the program runs. The start times of two rounds are at least the settings'
/// minimum round interval apart. `make_policy` creates the policy at the start and after each panic of the
/// policy; this function returns only if `make_policy` fails. `tier` is `Some` on a forwarder, where each
/// event goes either to a planner or to the forwarder's own policy, and `None` on any other program.
pub async fn run<E>(
    dispatcher: DispatcherHandle,
    tier: Option<ForwarderHandle>,
    make_policy: impl Fn() -> Result<Policy, E>,
    descriptors: Arc<DescriptorPool>,
) -> Result<(), E> {
    let (clock, work_ready, limits) = {
        let dispatcher = dispatcher.borrow();
        // A policy shares its observations only if its limits are for more than one core. A router with
        // gossip peers uses such limits on one core too, because gossip sends the observations to the peers.
        let limits =
            if dispatcher.gossip.is_some() { SharedLimits::new(2) } else { dispatcher.shared.limits.clone() };
        let limits = limits.for_core(dispatcher.core as u8);
        (dispatcher.clock, dispatcher.work_ready.clone(), limits)
    };
    let new_policy = || {
        let mut policy = make_policy()?;
        policy.use_shared_limits(limits.clone());
        Ok(policy)
    };
    let mut policy = new_policy()?;
    let mut handled_stall = 0;
    loop {
        let timer_s = dispatcher.borrow().next_timer_s();
        tokio::select! {
            () = work_ready.notified() => {}
            () = sleep_until(clock, timer_s), if timer_s.is_finite() => {}
        }
        let stall = dispatcher.borrow_mut().stall_detector.check(clock.now());
        if std::mem::replace(&mut handled_stall, stall) != stall {
            // After the operating system has not run this thread for some time, other tasks read their
            // sockets before the policy decides, so that a reply that has arrived does not count as late.
            yield_now().await;
        }
        let now = clock.now();
        dispatcher.borrow_mut().expire_attempts_and_queries(now);
        let notify = |input: &mut dyn PolicyInput| {
            match &tier {
                None => dispatcher.borrow_mut().notify_policy(now, input),
                Some(tier) => {
                    let mut tier = tier.borrow_mut();
                    let mut split = InputSplitter::begin_round(&mut tier, input);
                    dispatcher.borrow_mut().notify_policy(now, &mut split);
                    split.end_round();
                }
            }
            Ok::<(), Infallible>(())
        };
        let mut sink = DispatcherDecisionSink { dispatcher: &dispatcher, tier: tier.as_ref() };
        let round = AssertUnwindSafe(|| policy.round(now, notify, &mut sink));
        // If the policy panics, for example due to a defect that a rare query triggers, open queries fail and
        // the router continues with a new policy. Like after a restart, the new policy has no observations of
        // data nodes.
        if catch_unwind(round).is_err() {
            tracing::error!(target: "failure", "the policy panicked: open queries fail, and the router continues with a new policy");
            policy = new_policy()?;
            tier.iter().for_each(|tier| tier.borrow_mut().abort_all_queries());
            dispatcher.borrow_mut().restart_policy();
        }
        dispatcher.borrow_mut().counters.increment("rounds");
        send_queued_attempts(&dispatcher, &descriptors);
        let interval_s = dispatcher.borrow().admission.min_round_interval_s;
        sleep_until(clock, now + interval_s).await;
    }
}
