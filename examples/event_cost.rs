//! What a round costs the module while many queries are open: 270 nodes, 8 parts a query, a stated budget that is
//! used up, one leaf call in two turned away. Prints microseconds a round, each with one call's end, the median of
//! 400 rounds, for 100, 1,000 and 6,000 open queries. `alderway-lab scale rounds` measures by nodes and parts.
use alderway::interface::RetryBudget;
use rounds::{Shape, measure};

#[path = "../crates/lab/src/scale/rounds.rs"]
mod rounds;

fn main() {
    for open in [100, 1000, 6000] {
        let measured = measure(&Shape {
            nodes: 270,
            cells: 90,
            reach: 1,
            parts: 8,
            open,
            followed: false,
            peers: 20,
            slo: 9.0,
            deadline: 10.0,
            budget: Some(RetryBudget { burst: 5.0, ratio: 0.0 }),
            turned_away: true,
            rounds: 400,
            seed: 7,
        });
        let (median, rounds, waiting) = (measured.quantile(0.5), measured.spent.len(), measured.waiting);
        println!("{open} open: {median:.1} us a round, {rounds} rounds, {waiting} parts waited at first");
    }
}
