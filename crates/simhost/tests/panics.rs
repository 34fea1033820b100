//! A panic of one router's policy must not end the process, which also runs other routers.

use alderway_simhost::wire::{ReplyWriter, run_catching_panics};

#[rstest::rstest]
fn a_panic_becomes_one_internal_error_line() {
    let mut reply = ReplyWriter::default();
    let round = |_: &mut ReplyWriter| -> Result<(), ()> { panic!("a table of {} rows\nhas none", 3) };
    run_catching_panics(&mut reply, round).expect("a panic is not an error of the input");
    assert_eq!(reply.lines(), "internal_error a table of 3 rows has none\n");
}
