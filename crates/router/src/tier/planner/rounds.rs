//! A round of a planner's policy, that is, one run of the policy on all input since the previous round, and
//! the conversion of the policy's decisions to messages to the forwarders.
use super::{Planner, split_policy_id};
use alderway::interface::{DecisionSink, NodeObservation, PolicyInput};
use alderway::policy::Policy;
use alderway_tier::messages::Message;
use std::cell::RefCell;
use std::convert::Infallible;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The policy panicked in a round. The caller must not use this policy again.
#[derive(Debug, thiserror::Error)]
#[error("the policy panicked")]
pub struct PolicyPanicked;

/// Runs one round: the policy gets all input since the previous round, and the policy's decisions are sent to
/// the forwarders.
///
/// # Errors
/// The policy panicked. The caller must call [`Planner::close_all_sessions`] and continue with a new policy.
pub fn run_round(planner: &RefCell<Planner>, policy: &mut Policy) -> Result<(), PolicyPanicked> {
    let now = planner.borrow().clock.now();
    let notify = |input: &mut dyn PolicyInput| {
        planner.borrow_mut().notify_policy(now, input);
        Ok::<(), Infallible>(())
    };
    let round = AssertUnwindSafe(|| policy.round(now, notify, &mut MessageSink(planner)));
    let Ok(Ok(())) = catch_unwind(round) else { return Err(PolicyPanicked) };
    planner.borrow_mut().counters.increment("rounds");
    Ok(())
}

/// Receives the policy's decisions and sends each one to the forwarder of its query.
struct MessageSink<'a>(&'a RefCell<Planner>);

impl DecisionSink for MessageSink<'_> {
    fn start_attempt(&mut self, request: &str, node: &str, timeout_s: f64) {
        let mut planner = self.0.borrow_mut();
        let Some((number, attempts)) = planner.requests.get_mut(request) else { return };
        let (number, attempt) = (*number, *attempts);
        *attempts += 1;
        let (Some((session, term)), Some((_, id))) =
            (planner.session_and_term(number), split_policy_id(request))
        else {
            return;
        };
        let started_at = planner.clock.now();
        let (request, node) = (id.to_string(), node.to_string());
        if let Some(session) = planner.sessions.get_mut(&session) {
            session.attempts.insert((request.clone(), attempt), (node.clone(), started_at));
        }
        planner.counters.increment("leaf_calls_decided");
        planner.send(session, &Message::StartAttempt { term, request, node, timeout_s });
    }

    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        let mut planner = self.0.borrow_mut();
        let number = planner.requests.get(request).map(|request| request.0);
        // The query's assignment ends with its answer, so a later cancel has no term; the forwarder does not
        // check the term of a cancel.
        let term = number.and_then(|number| planner.session_and_term(number)).map_or(0, |(_, term)| term);
        let Some((session, id)) = split_policy_id(request) else { return };
        let cancel = Message::CancelAttempt { term, request: id.into(), attempt: attempt as u32 };
        planner.send(session, &cancel);
    }

    fn answer(&mut self, query: &str, complete: bool) {
        let answer = |term, query| Message::Answer { term, query, complete };
        self.0.borrow_mut().finish_query(query, answer);
    }

    fn reject(&mut self, query: &str, retry_after_s: Option<f64>) {
        let reject = |term, query| Message::Reject { term, query, retry_after_s };
        self.0.borrow_mut().finish_query(query, reject);
    }

    fn fail(&mut self, query: &str) {
        self.0.borrow_mut().finish_query(query, |term, query| Message::Fail { term, query });
    }

    fn set_timer(&mut self, span_s: f64, tag: u64) {
        let mut planner = self.0.borrow_mut();
        let at = planner.clock.now() + span_s;
        planner.timers.push((at, tag));
    }

    fn poll_endpoints(&mut self) {
        self.0.borrow().poll_requested.notify_one();
    }

    fn log(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }

    fn share_observation(&mut self, node: &str, observation: NodeObservation) {
        let mut planner = self.0.borrow_mut();
        let now = planner.clock.now();
        let started_at = planner.endpoints.nodes.get(node).and_then(|node| node.started_at_s);
        let started_ago_s = started_at.map(|at| now - at);
        let NodeObservation { slow_for_s, very_slow_for_s, unresponsive_for_s, .. } = observation;
        for (n, session) in planner.sessions.values_mut().enumerate() {
            session.outbox.send(&Message::Observation {
                node: node.into(),
                started_ago_s,
                slow_for_s,
                very_slow_for_s,
                unresponsive_for_s,
                // Only one forwarder, that of the first session, is asked to forward the observation to the
                // other planners, since every forwarder connects to all planners. If this message is lost,
                // the other planners miss the observation.
                relay: n == 0,
            });
        }
    }
}
