//! The wire's state machines on good bytes cut at every place, and on bytes that are none of theirs.
use alderway::interface::NodeState;
use alderway_router::wire::buffer::ReadBuffer;
use alderway_router::wire::discovery::{self, NodeEntry, WatchEvent, WatchReader};
use alderway_router::wire::http::{MAX_MESSAGE_BYTES, MessageReader};
use alderway_router::wire::json::JsonReader;
use alderway_router::wire::{frames, query, response};
use rstest::rstest;

/// Reads requests from `bytes`, fed in pieces that end at `cuts`; each as its first line and its body.
fn requests(bytes: &[u8], cuts: &[usize]) -> Result<Vec<(String, String)>, u16> {
    let (mut buffer, mut messages, mut found) =
        (ReadBuffer::new(MAX_MESSAGE_BYTES), MessageReader::default(), vec![]);
    let mut from = 0;
    for &cut in cuts.iter().chain(&[bytes.len()]) {
        while from < cut {
            from += buffer.append(&bytes[from..cut]);
            while messages.find_message(&mut buffer).map_err(|error| error.0)? {
                let (head, body) = messages.message(&buffer);
                found.push((head.first_line().to_string(), String::from_utf8_lossy(body).to_string()));
                messages.consume_message(&mut buffer);
            }
        }
    }
    Ok(found)
}

const TWO: &[u8] = b"\r\nPOST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\
    POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n3;x=1\r\nabc\r\n00a\r\n0123456789\r\n0\r\nT: x\r\n\r\n\
    GET /up HTTP/1.1\r\n\r\n";

#[rstest]
fn requests_are_the_same_wherever_they_are_cut() {
    let whole = requests(TWO, &[]).expect("readable");
    let bodies: Vec<&str> = whole.iter().map(|r| &*r.1).collect();
    assert_eq!(bodies, ["hello", "abc0123456789", ""]);
    for cut in 1..TWO.len() {
        assert_eq!(requests(TWO, &[cut]).as_ref(), Ok(&whole), "cut at {cut}");
    }
    assert_eq!(requests(TWO, &(1..TWO.len()).collect::<Vec<_>>()), Ok(whole), "byte by byte");
}

#[rstest]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400)]
#[case::length_and_chunks("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400)]
#[case::huge_length("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)]
#[case::just_too_long("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::other_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501)]
#[case::no_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400)]
#[case::size_with_sign("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400)]
#[case::vast_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", 400)]
#[case::chunk_overrun("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400)]
#[case::folded_line("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400)]
#[case::nameless_line("GET / HTTP/1.1\r\n: b\r\n\r\n", 400)]
#[case::bare_feed("GET / HTTP/1.1\nA: b\r\n\r\n", 400)]
#[case::control("GET /\u{1} HTTP/1.1\r\n\r\n", 400)]
fn unreadable_requests_are_refused_with_their_status(#[case] text: &str, #[case] status: u16) {
    assert_eq!(requests(text.as_bytes(), &[]), Err(status));
    assert_eq!(requests(text.as_bytes(), &(1..text.len()).collect::<Vec<_>>()), Err(status));
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\nA: ", "x", 20_000, 431)]
#[case::chunk_line("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 3_000, 400)]
#[case::many_chunks("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 66_000, 413)]
#[case::trailer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 3_000, 400)]
fn what_never_ends_is_cut_short(
    #[case] start: &str,
    #[case] more: &str,
    #[case] times: usize,
    #[case] status: u16,
) {
    assert_eq!(requests((start.to_string() + &more.repeat(times)).as_bytes(), &[]), Err(status));
}

#[rstest]
fn the_largest_body_passes_in_the_smallest_chunks() {
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    let text = text + &"1\r\nz\r\n".repeat(65_536) + "0\r\n\r\n";
    let found = requests(text.as_bytes(), &[]).expect("readable");
    assert_eq!(found[0].1.len(), 65_536);
}

type Parts = Vec<(u32, f64)>;

fn read_query(body: &str) -> Result<(Parts, String), &'static str> {
    let mut parts = vec![];
    let text = query::read_shard_targets(body.as_bytes(), |shard, weight| {
        parts.push((shard, weight));
        Ok(())
    })?;
    Ok((parts, text.into_owned()))
}

#[rstest]
fn a_query_is_read_in_any_order_with_its_text_unchanged() {
    let (parts, text) = read_query(
        r#" {"query":"a\"\u00e9\ud83d\ude00é","new":[{"x":[null,true]}],
            "targets":[{"share":0.5,"partition":3,"est_us":9000,"route":"00"},{"partition":9,"share":5e-1}]} "#,
    )
    .expect("readable");
    assert_eq!((parts, &*text), (vec![(3, 0.5), (9, 0.5)], "a\"é😀é"));
}

#[rstest]
#[case::no_targets(r#"{"query":"x"}"#)]
#[case::no_text(r#"{"targets":[]}"#)]
#[case::no_share(r#"{"targets":[{"partition":1}],"query":"x"}"#)]
#[case::share_in_words(r#"{"targets":[{"partition":1,"share":"all"}],"query":"x"}"#)]
#[case::share_is_no_number(r#"{"targets":[{"partition":1,"share":NaN}],"query":"x"}"#)]
#[case::share_too_large(r#"{"targets":[{"partition":1,"share":1e999}],"query":"x"}"#)]
#[case::share_below_0(r#"{"targets":[{"partition":1,"share":-1}],"query":"x"}"#)]
#[case::half_a_shard(r#"{"targets":[{"partition":1.5,"share":1}],"query":"x"}"#)]
#[case::shard_below_0(r#"{"targets":[{"partition":-1,"share":1}],"query":"x"}"#)]
#[case::vast_shard(r#"{"targets":[{"partition":99999999999,"share":1}],"query":"x"}"#)]
#[case::targets_twice(r#"{"targets":[],"targets":[],"query":"x"}"#)]
#[case::cut_short(r#"{"targets":[{"partition":1,"share":1}"#)]
#[case::more_behind(r#"{"targets":[],"query":"x"}}"#)]
#[case::half_a_pair(r#"{"targets":[],"query":"\ud83d"}"#)]
#[case::not_an_object("[]")]
#[case::nothing("")]
fn a_query_that_is_not_in_the_form_is_refused(#[case] body: &str) {
    assert!(read_query(body).is_err());
}

#[rstest]
fn deep_nesting_is_refused_before_the_stack_ends() {
    let text = "[".repeat(100_000);
    assert_eq!(JsonReader::new(text.as_bytes()).skip_value(), Err("nested too deep"));
}

#[rstest]
fn frames_are_found_wherever_they_are_cut() {
    let mut bytes = vec![];
    frames::write_attempts_frame(
        &mut bytes,
        [("q.3", 3, 240, "some\ntext", None), ("q.4", 4, 240, "", None)].into_iter(),
    );
    frames::write_cancel_frame(&mut bytes, "q.3");
    let first = b"Sq.3 3 d=240 9\nsome\ntextq.4 4 d=240 0\n";
    assert_eq!(&bytes[..4 + first.len()], [&(first.len() as u32).to_be_bytes()[..], first].concat());
    for cut in 0..bytes.len() {
        let (mut buffer, mut letters) = (ReadBuffer::new(frames::MAX_FRAME_BYTES + 4), vec![]);
        for piece in [&bytes[..cut], &bytes[cut..]] {
            buffer.append(piece);
            while let Some((letter, rest, used)) = frames::read_frame(buffer.data()).expect("readable") {
                letters.push((letter, rest.len()));
                buffer.consume(used);
            }
        }
        assert_eq!(letters, [(b'S', first.len() - 1), (b'C', 3)], "cut at {cut}");
    }
}

#[rstest]
#[case::no_letter(&[0, 0, 0, 0])]
#[case::too_long(&[0, 2, 0, 0])]
#[case::far_too_long(&[255, 255, 255, 255, b'R'])]
fn a_frame_that_cannot_be_is_refused_by_its_length(#[case] bytes: &[u8]) {
    assert!(frames::read_frame(bytes).is_err());
}

#[rstest]
#[case::whole(b"q.3 done 184 inflight=7,util=0.61\n5be2", Some(("q.3", "done", "5be2")))]
#[case::no_value(b"q.3 full - -\n", Some(("q.3", "full", "")))]
#[case::no_line(b"q.3 done 1 -", None)]
#[case::short_line(b"q.3 done\nx", None)]
#[case::no_id(b" done 1 -\nx", None)]
#[case::not_text(b"q.3 done 1 -\n\xff", None)]
fn a_reply_is_its_line_and_its_value(#[case] rest: &[u8], #[case] read: Option<(&str, &str, &str)>) {
    assert_eq!(frames::parse_reply(rest).ok().map(|(id, end, _, value)| (id, end, value)), read);
}

const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LIST: &str = r#"{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:50","zone":"a","type":"m","group":3,"status":"SERVING","weight":1.0,"since_ms":7}]}"#;
const GONE: &str = r#"{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","status":"DELETED"}]}"#;

/// What a watch makes of `bytes` fed in pieces of `size`: its objects and, empty, its blank lines; or why it ended.
fn words(bytes: &[u8], size: usize) -> (Vec<String>, Option<&'static str>) {
    let (mut buffer, mut watch, mut found) =
        (ReadBuffer::new(discovery::MAX_OBJECT_BYTES), WatchReader::default(), vec![]);
    for piece in bytes.chunks(size) {
        buffer.append(piece);
        loop {
            match watch.next_event(&mut buffer) {
                Ok(Some(WatchEvent::ResponseHead)) => {}
                Ok(Some(WatchEvent::EmptyLine)) => found.push(String::new()),
                Ok(Some(WatchEvent::Object(end))) => {
                    found.push(String::from_utf8_lossy(&buffer.data()[..end]).trim().to_string());
                }
                Ok(None) => break,
                Err(why) => return (found, Some(why)),
            }
        }
    }
    (found, None)
}

#[rstest]
fn a_watch_is_read_object_by_object_wherever_its_chunks_are_cut() {
    let text = format!("{LIST}\n\n{GONE}\n");
    let (a, b) = text.split_at(60);
    let stream = format!("{WATCH}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n", a.len(), b.len());
    for size in 1..stream.len() {
        // The end of an object's line says no more than that nothing has changed since.
        let all = [LIST, "", "", GONE, ""].map(str::to_string).to_vec();
        assert_eq!(words(stream.as_bytes(), size), (all, None), "pieces of {size}");
    }
    let ended = words((stream + "0\r\n\r\n").as_bytes(), 7);
    assert_eq!((ended.0.len(), ended.1), (5, Some("discovery ended the watch")));
}

/// `text` as one chunk.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[rstest]
fn an_object_of_a_watch_may_be_written_over_several_lines() {
    let indented = LIST.replace(',', ",\n  ").replace('{', "{\n\t").replace('}', "\r\n}");
    let stream = format!("{WATCH}{}{}", chunk(&indented), chunk(&format!("\n{GONE}\n")));
    for size in [1, 7, 60, stream.len()] {
        let (found, why) = words(stream.as_bytes(), size);
        assert_eq!(
            (found.as_slice(), why),
            ([&*indented, "", GONE, ""].map(str::to_string).as_slice(), None)
        );
    }
    let read = discovery::read_version(indented.as_bytes());
    assert_eq!(read, Ok((41, true)));
}

#[rstest]
#[case::half_an_object(&chunk(&LIST[..LIST.len() - 1]), None)]
#[case::blanks_without_an_end(&chunk("  \t"), None)]
#[case::braces_in_a_name(&chunk(r#"{"name":"}\"}""#), None)]
#[case::no_object(&chunk("nothing"), Some("a byte outside of any object"))]
#[case::an_end_without_a_begin(&chunk("}"), Some("a byte outside of any object"))]
#[case::a_line_break_in_a_name(&chunk("{\"na\nme\":1}"), Some("a control character in a string"))]
fn what_is_not_whole_is_no_word_of_a_watch(#[case] body: &str, #[case] why: Option<&str>) {
    let stream = format!("{WATCH}{body}");
    for size in [1, stream.len()] {
        assert_eq!(words(stream.as_bytes(), size), (vec![], why));
    }
}

#[rstest]
#[case::not_200("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", "the response status is not 200")]
#[case::not_chunked("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "the response is not chunked")]
#[case::bad_chunk(&(WATCH.to_string() + "zz\r\n"), "a chunk's size is not a number")]
fn a_watch_that_is_none_ends(#[case] bytes: &str, #[case] why: &str) {
    assert_eq!(words(bytes.as_bytes(), 5), (vec![], Some(why)));
}

#[rstest]
fn entries_of_a_list_are_told_one_by_one() {
    let mut told = vec![];
    for line in [LIST, GONE] {
        discovery::read_entries(line.as_bytes(), |name, node| told.push((name.to_string(), node)))
            .expect("readable");
    }
    let node = |port, replica_group, state, started_at_unix_ms| {
        let address = if port > 0 { ([127, 0, 0, 1], port) } else { ([0; 4], 0) }.into();
        ("s-1".to_string(), Ok(NodeEntry { address, replica_group, state, started_at_unix_ms }))
    };
    assert_eq!(told, [node(50, 3, NodeState::Serving, 7), node(0, 0, NodeState::Removed, 0)]);
    assert_eq!(discovery::read_version(GONE.as_bytes()), Ok((43, false)));
}

#[rstest]
#[case::no_index(r#"{"snapshot":true,"endpoints":[]}"#)]
#[case::no_list(r#"{"index":1,"snapshot":true}"#)]
#[case::list_of_numbers(r#"{"index":1,"snapshot":true,"endpoints":[7]}"#)]
#[case::value_that_is_none(r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":SERVING}]}"#)]
#[case::cut_short(r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a""#)]
fn an_object_that_cannot_be_read_tells_nothing(#[case] line: &str) {
    assert!(discovery::read_version(line.as_bytes()).is_err());
}

#[rstest]
#[case::no_name(
    r#""address":"127.0.0.1:5","group":0,"status":"DRAINING""#,
    "",
    Some(NodeState::Draining),
    "`name`"
)]
#[case::name_for_address(
    r#""name":"a","address":"a:5","group":0,"status":"SERVING""#,
    "a",
    Some(NodeState::Serving),
    "`address`"
)]
#[case::no_address(
    r#""name":"a","group":0,"status":"DRAINING""#,
    "a",
    Some(NodeState::Draining),
    "`address`"
)]
#[case::cell_in_words(
    r#""name":"a","address":"127.0.0.1:5","group":"x","status":"SERVING""#,
    "a",
    Some(NodeState::Serving),
    "`group`"
)]
#[case::list_for_start(
    r#""name":"a","address":"127.0.0.1:5","group":0,"status":"SERVING","since_ms":[]"#,
    "a",
    Some(NodeState::Serving),
    "`since_ms`"
)]
#[case::other_status(r#""name":"a","address":"127.0.0.1:5","group":0,"status":"?""#, "a", None, "`status`")]
fn an_entry_that_cannot_be_used_hides_no_other(
    #[case] fields: &str,
    #[case] name: &str,
    #[case] state: Option<NodeState>,
    #[case] why: &str,
) {
    let good = r#"{"name":"b","address":"127.0.0.1:6","group":1,"status":"SERVING"}"#;
    let line = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{{{fields}}},{good}]}}"#);
    let mut told = vec![];
    discovery::read_entries(line.as_bytes(), |name, node| told.push((name.to_string(), node)))
        .expect("readable");
    let Some(((wrong, Err((read, said))), (other, Ok(_)))) = told
        .first()
        .zip(told.get(1))
        .map(|(a, b)| ((a.0.as_str(), a.1.as_ref()), (b.0.as_str(), b.1.as_ref())))
    else {
        panic!("{told:?}");
    };
    assert_eq!((wrong, *read, other), (name, state, "b"));
    assert!(said.contains(why), "{said}");
}

#[rstest]
fn answers_are_framed_and_their_values_escaped() {
    let mut out = vec![];
    response::write_results(&mut out, true, [(3, "a\"b\\\n"), (9, "")].into_iter(), true);
    let body =
        r#"{"whole":true,"results":[{"partition":3,"value":"a\"b\\\u000a"},{"partition":9,"value":""}]}"#;
    let text = String::from_utf8(out).expect("text");
    let (head, found) = text.split_once("\r\n\r\n").expect("a head");
    assert_eq!(found, body);
    assert!(head.contains(&format!("Content-Length: {}", body.len())) && head.contains("Connection: close"));
    let mut out = vec![];
    response::write_text(&mut out, 503, "later", Some(0.25), false);
    assert!(String::from_utf8(out).expect("text").contains("\r\nRetry-After: 0.250\r\n"));
}

/// Bytes drawn from a generator, and good bytes with some of them changed: errors are fine, panics are not.
#[rstest]
fn no_bytes_cause_a_panic() {
    let mut state = 7u64;
    let mut draw = move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) as usize
    };
    let watch = format!("{WATCH}{:x}\r\n{LIST}\n\r\n", LIST.len() + 1);
    let good = [TWO, watch.as_bytes(), LIST.as_bytes(), b"\0\0\0\x0fRq.3 done 1 -\nxx"];
    for round in 0..20_000 {
        let mut bytes = good[round % good.len()].to_vec();
        for _ in 0..draw() % 4 {
            let at = draw() % bytes.len();
            bytes[at] = (draw() % 256) as u8;
        }
        bytes.truncate(draw() % (2 * bytes.len()));
        let size = 1 + draw() % 40;
        let _ = requests(&bytes, &[size.min(bytes.len())]);
        let _ = words(&bytes, size);
        let _ = discovery::read_version(&bytes);
        let _ = query::read_shard_targets(&bytes, |_, _| Ok(()));
        let mut left = &bytes[..];
        while let Ok(Some((_, rest, used))) = frames::read_frame(left) {
            let _ = frames::parse_reply(rest);
            left = &left[used..];
        }
    }
}
