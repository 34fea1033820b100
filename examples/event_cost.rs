//! What a round costs the module while many queries are open: 270 nodes, 8 parts a query, a stated budget that is
//! used up, one leaf call in two turned away. Prints microseconds a round, each with one call's end, the median of
//! 400 rounds, for 100, 1,000 and 6,000 open queries.
use alderway::choice::Router;
use alderway::host::*;
use std::time::Instant;

#[derive(Default)]
struct Calls(Vec<(String, String)>);

impl Writer for Calls {
    fn call(&mut self, part: &str, node: &str, _limit: f64) {
        self.0.push((part.into(), node.into()));
    }
    fn cancel(&mut self, _part: &str, _hop: usize) {}
    fn answer(&mut self, _query: &str, _whole: bool) {}
    fn reject(&mut self, _query: &str, _come_back: Option<f64>) {}
    fn abort(&mut self, _query: &str) {}
    fn alarm(&mut self, _span: f64, _tag: u64) {}
    fn follow_roster(&mut self) {}
    fn remark(&mut self, _text: &str) {}
}

fn round(router: &mut Router, now: f64, came_in: impl FnOnce(&mut dyn Intake)) -> Vec<(String, String)> {
    let mut calls = Calls::default();
    let told = |intake: &mut dyn Intake| {
        came_in(intake);
        Ok::<(), ()>(())
    };
    router.round(now, told, &mut calls).expect("nothing here can be malformed");
    calls.0
}

fn main() {
    for open in [100u64, 1000, 6000] {
        let (effect, placement) =
            (Effect::Repeatable, Placement { cells: 90, reach: 1, bundle: 1, ..Placement::default() });
        let vertical = Vertical {
            slo: 9.0,
            deadline: 10.0,
            effect,
            utility: 1.0,
            late_share: 0.3,
            need: 1.0,
            floor: 1.0,
            fetch: 0,
        };
        let allowance = Allowance { cancel: true, parallel: true, calls: 4, ..Allowance::default() };
        let budget = Some(Budget { free: 5.0, ratio: 0.0 });
        let verticals = vec![vertical];
        let terms = Terms { peers: 20, verticals, placement, allowance, budget, ..Terms::default() };
        let mut router = Router::new(7, terms);
        round(&mut router, 100.0, |r| {
            (0..270).for_each(|n| r.roster_entry(&format!("n{n}"), n % 90, NodeState::Serving, None));
        });
        let mut calls = round(&mut router, 100.0, |r| {
            for q in 0..open {
                r.query(q, &format!("q{q}"), 0, "", 110.0);
                (0..8).for_each(|p| r.part(q, &format!("p{q}.{p}"), (q * 8 + p) as u32 % 90, 0.125));
            }
        });
        let mut spent = Vec::new();
        for step in 0..400 {
            let Some((part, node)) = calls.pop() else { break };
            let ending = if step % 2 == 0 { Ending::Full } else { Ending::Success };
            let from = Instant::now();
            let now = 100.0 + 0.0001 * f64::from(step);
            calls.extend(round(&mut router, now, |r| r.call_ended(&part, 0, &node, ending, 0.01)));
            spent.push(from.elapsed().as_secs_f64() * 1e6);
        }
        spent.sort_by(f64::total_cmp);
        let median = spent.get(spent.len() / 2).copied().unwrap_or(0.0);
        println!("{open} open: {median:.1} us a round, {} rounds", spent.len());
    }
}
