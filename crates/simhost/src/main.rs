//! Runs the query routers of a simulation: reads batches of lines from standard input and writes one reply
//! for each batch to standard output. A malformed line ends the process with status 2 and one line on
//! standard error.

use alderway_simhost::wire::RouterHost;
use std::io::{BufRead, Write, stdin, stdout};

/// Exit status after malformed input.
const MALFORMED_INPUT_STATUS: i32 = 2;

fn main() {
    // No panic messages on standard error: panics of a policy are reported in the reply.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = RouterHost::default();
    let (mut input, mut output) = (stdin().lock(), stdout().lock());
    let (mut batch, mut line, mut first_line_number, mut line_number) = (Vec::new(), String::new(), 1, 0);
    let exit_with = |error: String| -> ! {
        eprintln!("alderway-simhost: {error}");
        std::process::exit(MALFORMED_INPUT_STATUS)
    };
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Err(error) => exit_with(format!("line {}: cannot be read: {error}", line_number + 1)),
            Ok(0) if batch.is_empty() => return,
            Ok(0) => exit_with(format!("line {line_number}: the input ended inside a batch, expected `eob`")),
            Ok(_) => line_number += 1,
        }
        let text = line.trim_end_matches(['\n', '\r']);
        if text != "eob" {
            batch.push(text.to_string());
            continue;
        }
        match host.run_batch(&batch, first_line_number) {
            Err(error) => exit_with(error.to_string()),
            Ok(reply) => {
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return;
                }
            }
        }
        batch.clear();
        first_line_number = line_number + 1;
    }
}
