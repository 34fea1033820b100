//! The driver of the module: one round for all that came in.
use super::{node_session, until};
use crate::state::DispatcherHandle;
use crate::state::descriptors::DescriptorPool;
use crate::tier::forwarder::InputSplitter;
use crate::tier::planner_links::ForwarderHandle;
use alderway::interface::{DecisionSink, NodeObservation, PolicyInput, SharedLimits};
use alderway::policy::Policy;
use std::convert::Infallible;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::task::{spawn_local, yield_now};

/// The dispatcher as the module writes to it; a forwarder notes what its own module decides.
pub struct Pen<'a>(&'a DispatcherHandle, Option<&'a ForwarderHandle>);

impl<'a> Pen<'a> {
    /// For decisions that a forwarder has noted already.
    pub fn bare(dispatcher: &'a DispatcherHandle) -> Self {
        Pen(dispatcher, None)
    }

    fn finished(&self, query: &str) {
        self.1.iter().for_each(|tier| tier.borrow_mut().remove_local_query(query));
    }
}

impl DecisionSink for Pen<'_> {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        self.1.iter().for_each(|tier| tier.borrow_mut().record_local_attempt(part, node));
        self.0.borrow_mut().start_attempt(part, node, limit);
    }
    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        self.0.borrow_mut().cancel_attempt(part, hop);
    }
    fn answer(&mut self, query: &str, whole: bool) {
        self.finished(query);
        self.0.borrow_mut().answer(query, whole);
    }
    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        self.finished(query);
        self.0.borrow_mut().reject(query, come_back);
    }
    fn fail(&mut self, query: &str) {
        self.finished(query);
        self.0.borrow_mut().fail(query);
    }
    fn share_observation(&mut self, node: &str, seen: NodeObservation) {
        self.0.borrow_mut().share_observation(node, seen);
    }
    fn query_ended(&mut self, late: bool) {
        self.0.borrow_mut().query_ended(late);
    }
    fn set_timer(&mut self, span: f64, tag: u64) {
        self.0.borrow_mut().set_timer(span, tag);
    }
    fn poll_endpoints(&mut self) {
        self.0.borrow_mut().poll_endpoints();
    }
    fn log(&mut self, text: &str) {
        self.0.borrow_mut().log(text);
    }
}

/// Gives calls their places on connections, and dials those that this takes.
pub fn post(dispatcher: &DispatcherHandle, share: &Arc<DescriptorPool>) {
    let now = dispatcher.borrow().clock.now();
    let dials = dispatcher.borrow_mut().flush_attempts(now);
    for dial in dials {
        spawn_local(node_session::run(dispatcher.clone(), dial, share.clone()));
    }
}

/// Makes a module by the newest settings that the dispatcher has taken over; without any there is none to make.
pub fn newest(dispatcher: &DispatcherHandle, seed: u64) -> impl Fn() -> Result<Policy, String> + 'static {
    let dispatcher = dispatcher.clone();
    move || {
        let dispatcher = dispatcher.borrow();
        let terms = dispatcher.class_table.policy_config().ok_or("no settings")?;
        Ok(Policy::new(seed, terms.clone()))
    }
}

/// Plays rounds for as long as the program runs, the settings' tick apart at least. `module` makes the module,
/// at the start and again if it has failed; returns only where that is impossible. `tier` stands between dispatcher and
/// module on a forwarder.
pub async fn run<E>(
    dispatcher: DispatcherHandle,
    tier: Option<ForwarderHandle>,
    module: impl Fn() -> Result<Policy, E>,
    share: Arc<DescriptorPool>,
) -> Result<(), E> {
    let (clock, came, common) = {
        let dispatcher = dispatcher.borrow();
        // Who has peers tells them what it sees, as one core tells others.
        let common =
            if dispatcher.gossip.is_some() { SharedLimits::new(2) } else { dispatcher.shared.limits.clone() };
        let common = common.for_core(dispatcher.core as u8);
        (dispatcher.clock, dispatcher.work_ready.clone(), common)
    };
    let module = || {
        let mut router = module()?;
        router.join(common.clone());
        Ok(router)
    };
    let mut router = module()?;
    let mut settled = 0;
    loop {
        let due = dispatcher.borrow().next_timer_s();
        tokio::select! {
            () = came.notified() => {}
            () = until(clock, due), if due.is_finite() => {}
        }
        let stall = dispatcher.borrow_mut().stall_detector.check(clock.now());
        if std::mem::replace(&mut settled, stall) != stall {
            // What came while this thread stood still is read before anything is decided by its absence.
            yield_now().await;
        }
        let now = clock.now();
        dispatcher.borrow_mut().expire_due(now);
        let tell = |intake: &mut dyn PolicyInput| {
            match &tier {
                None => dispatcher.borrow_mut().notify_policy(now, intake),
                Some(tier) => {
                    let mut tier = tier.borrow_mut();
                    let mut split = InputSplitter::begin_round(&mut tier, intake);
                    dispatcher.borrow_mut().notify_policy(now, &mut split);
                    split.end_round();
                }
            }
            Ok::<(), Infallible>(())
        };
        let round = AssertUnwindSafe(|| router.round(now, tell, &mut Pen(&dispatcher, tier.as_ref())));
        // Guards against a fault of the module that some rare query brings out: what is open is aborted, and
        // the router goes on with a module that has yet to learn, as after a restart.
        if catch_unwind(round).is_err() {
            tracing::error!(target: "failure", "the module failed: open queries are aborted, it starts anew");
            router = module()?;
            tier.iter().for_each(|tier| tier.borrow_mut().abort_all_queries());
            dispatcher.borrow_mut().restart_policy();
        }
        dispatcher.borrow_mut().counters.increment("rounds");
        post(&dispatcher, &share);
        let tick = dispatcher.borrow().admission.min_round_interval_s;
        until(clock, now + tick).await;
    }
}
