//! Measures how long a round of the policy takes while many queries are open: 270 nodes, 8 shard requests per
//! query, a retry budget that is used up, and every second attempt rejected. Prints the median of 400 rounds
//! in microseconds for 100, 1,000 and 6,000 open queries; one attempt ends in each round. `alderway-lab scale
//! rounds` varies the number of nodes and of shard requests.
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
        println!(
            "{open} open queries: {median:.1} us per round, {rounds} rounds, {waiting} shard requests waited on arrival"
        );
    }
}
