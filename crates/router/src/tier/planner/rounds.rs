//! One round of a planner's module, and its decisions on their way to the forwarders.
use super::{Planner, unnamed};
use alderway::interface::{DecisionSink, NodeObservation, PolicyInput};
use alderway::policy::Policy;
use alderway_tier::messages::Message;
use std::convert::Infallible;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The policy panicked in a round: nothing of it may be used any more.
#[derive(Debug, thiserror::Error)]
#[error("the decision module failed")]
pub struct PolicyFailed;

/// One round: all that came in is told, and decisions go to their forwarders.
///
/// # Errors
/// The policy panicked. The planner goes on with another one after [`Planner::start_over`].
pub fn round(planner: &std::cell::RefCell<Planner>, module: &mut Policy) -> Result<(), PolicyFailed> {
    let now = planner.borrow().clock.now();
    let tell = |intake: &mut dyn PolicyInput| {
        planner.borrow_mut().tell(now, intake);
        Ok::<(), Infallible>(())
    };
    let round = AssertUnwindSafe(|| module.round(now, tell, &mut Pen(planner)));
    let Ok(Ok(())) = catch_unwind(round) else { return Err(PolicyFailed) };
    planner.borrow_mut().counters.increment("rounds");
    Ok(())
}

struct Pen<'a>(&'a std::cell::RefCell<Planner>);

impl DecisionSink for Pen<'_> {
    fn start_attempt(&mut self, part: &str, node: &str, limit: f64) {
        let mut planner = self.0.borrow_mut();
        let Some((number, calls)) = planner.parts.get_mut(part) else { return };
        let (number, hop) = (*number, *calls);
        *calls += 1;
        let (Some((session, term)), Some((_, name))) = (planner.of(number), unnamed(part)) else { return };
        let now = planner.clock.now();
        let (name, node) = (name.to_string(), node.to_string());
        if let Some(session) = planner.sessions.get_mut(&session) {
            session.calls.insert((name.clone(), hop), (node.clone(), now));
        }
        planner.counters.increment("leaf_calls_decided");
        planner.send(session, &Message::StartAttempt { term, request: name, node, timeout_s: limit });
    }

    fn cancel_attempt(&mut self, part: &str, hop: usize) {
        let mut planner = self.0.borrow_mut();
        let number = planner.parts.get(part).map(|part| part.0);
        let term = number.and_then(|number| planner.of(number)).map_or(0, |of| of.1);
        let Some((session, name)) = unnamed(part) else { return };
        planner.send(session, &Message::CancelAttempt { term, request: name.into(), attempt: hop as u32 });
    }

    fn answer(&mut self, query: &str, whole: bool) {
        self.0.borrow_mut().finish(query, |term, query| Message::Answer { term, query, complete: whole });
    }

    fn reject(&mut self, query: &str, come_back: Option<f64>) {
        self.0.borrow_mut().finish(query, |term, query| Message::Reject {
            term,
            query,
            retry_after_s: come_back,
        });
    }

    fn fail(&mut self, query: &str) {
        self.0.borrow_mut().finish(query, |term, query| Message::Fail { term, query });
    }

    fn set_timer(&mut self, span: f64, tag: u64) {
        let mut planner = self.0.borrow_mut();
        let at = planner.clock.now() + span;
        planner.alarms.push((at, tag));
    }

    fn poll_endpoints(&mut self) {
        self.0.borrow().asked.notify_one();
    }

    fn log(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }

    fn share_observation(&mut self, node: &str, seen: NodeObservation) {
        let mut planner = self.0.borrow_mut();
        let now = planner.clock.now();
        let started = planner.endpoints.nodes.get(node).and_then(|node| node.started_at_s).map(|at| now - at);
        let NodeObservation { slow_for_s: late, very_slow_for_s: far, unresponsive_for_s: sick, .. } = seen;
        for (n, session) in planner.sessions.values_mut().enumerate() {
            let (node, relay) = (node.into(), n == 0);
            session.outbox.send(&Message::Observation {
                node,
                started_ago_s: started,
                slow_for_s: late,
                very_slow_for_s: far,
                unresponsive_for_s: sick,
                relay,
            });
        }
    }
}
