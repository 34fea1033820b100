//! An answer is marked whole though a part is missing, where the shares that the client rounded add up to more than 1.
#[path = "../stand/settings.rs"]
mod settings;
#[path = "../stand/stand.rs"]
mod stand;
use stand::*;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// As many stores as the deployment has today at the least; each holds its block and the three before it.
const CELLS: usize = 53;
const HEAVY: u32 = 4;
const QUERIES: usize = 12;

/// The shares of a query for all blocks: a few weigh much more than the rest. Rounded to three decimals.
fn targets(first: u32) -> Vec<(u32, String)> {
    let light = 0.0049;
    let heavy = (1.0 - light * f64::from(CELLS as u32 - HEAVY)) / f64::from(HEAVY);
    let share = |n: u32| if n < HEAVY { heavy } else { light };
    (0..CELLS as u32).map(|n| ((first + n) % CELLS as u32, format!("{:.3}", share(n)))).collect()
}

fn main() -> ExitCode {
    run_case(|record, folder| {
        let hangs = Arc::new(AtomicBool::new(false));
        let nodes: Vec<Node> = (0..CELLS)
            .map(|n| {
                let hangs = hangs.clone();
                Node::start(record, &format!("s-{n}"), move |part| {
                    if n == 20 && hangs.load(SeqCst) {
                        return Deed::Silent;
                    }
                    // Parts differ in work: the text names the first block, and the heavy parts follow it.
                    let first: u32 = part.text.rsplit('x').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let nth = (part.shard + CELLS as u32 - first) % CELLS as u32;
                    Deed::Done(if nth < HEAVY { 400 } else { 100 })
                })
            })
            .collect();
        let entries: Vec<Entry> = nodes
            .iter()
            .enumerate()
            .map(|(n, node)| Entry {
                name: node.name.clone(),
                address: node.address,
                group: n as u32,
                status: "SERVING",
                since_ms: 0,
            })
            .collect();
        let agent = Agent::start(record, "agent", 41, &entries);
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let text = settings::config("n0", listen, agent.address, 41, &entries, &settings::ebene(CELLS, 20));
        let _router = Program::start(record, folder, "n0", "exec target/release/alderway-router", &text);
        wait_up(record, listen);
        pause_ms(500);

        let sum: f64 = targets(0).iter().map(|target| target.1.parse::<f64>().unwrap()).sum();
        record.say(&format!("{CELLS} parts; the rounded shares add up to {sum:.3}"));
        let mut client = Client::new(record, listen);
        let (mut whole, mut false_whole, mut partial, mut other) = (0, 0, 0, 0);
        for n in 0..QUERIES {
            if n == 4 && has_trouble() {
                record.line("s-20 hangs from here on: it takes parts and answers none");
                hangs.store(true, SeqCst);
            }
            let first = (n as u32 * 7) % CELLS as u32;
            let query = format!("seats{n}x{first}");
            let answer = client.ask(&format!("9b1f{n:04}"), "seat-search", 5000, &targets(first), &query);
            let results = answer.results();
            let right = results.iter().filter(|(shard, got)| *got == value(&query, *shard)).count();
            match (answer.status, answer.is_whole(), right) {
                (200, true, CELLS) => whole += 1,
                (200, true, _) => {
                    false_whole += 1;
                    record.say(&format!(
                        "9b1f{n:04}: marked whole after {:.3} s with {right} of {CELLS} parts",
                        answer.at - answer.sent_at
                    ));
                }
                (200, false, _) => partial += 1,
                _ => other += 1,
            }
            pause_ms(150);
        }
        record.say(&format!(
            "whole and complete {whole}, marked whole with parts missing {false_whole}, in part {partial}, not served {other}"
        ));
        if whole == 0 {
            cannot_run(record, "no query was answered whole and complete");
        }
        false_whole > 0
    })
}
