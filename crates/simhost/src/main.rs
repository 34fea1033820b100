//! Hosts one decision module for each query router on the simulator's wire: batches on standard input,
//! replies on standard output, and one plain message on standard error where a line is malformed.
mod wire;

use std::io::{BufRead, Write, stdin, stdout};

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    let mut routers = wire::Routers::default();
    let (mut input, mut output) = (stdin().lock(), stdout().lock());
    let (mut batch, mut line, mut first, mut number) = (Vec::new(), String::new(), 1, 0);
    let stop = |why: String| -> ! {
        eprintln!("alderway-simhost: {why}");
        std::process::exit(2)
    };
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Err(why) => stop(format!("line {}: not readable as text: {why}", number + 1)),
            Ok(0) if batch.is_empty() => return,
            Ok(0) => stop(format!("line {number}: the input ended inside a batch, expected `eob`")),
            Ok(_) => number += 1,
        }
        let text = line.trim_end_matches(['\n', '\r']);
        if text != "eob" {
            batch.push(text.to_string());
            continue;
        }
        match routers.batch(&batch, first) {
            Err(why) => stop(why.to_string()),
            Ok(reply) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return;
                }
            }
        }
        batch.clear();
        first = number + 1;
    }
}
