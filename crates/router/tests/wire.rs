//! The decoders of the protocols, on valid input that is split at every position, and on invalid input.
use alderway::interface::NodeState;
use alderway_router::wire::buffer::ReadBuffer;
use alderway_router::wire::discovery::{self, NodeEntry, WatchEvent, WatchReader};
use alderway_router::wire::http::{MAX_MESSAGE_BYTES, MessageReader};
use alderway_router::wire::json::JsonReader;
use alderway_router::wire::{frames, query, response};
use rstest::rstest;

/// Reads requests from `bytes`, which arrive in pieces that end at `cuts`. Returns the first line and body of
/// each request, or the status of the error response.
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

const THREE_REQUESTS: &[u8] = b"\r\nPOST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\
    POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n3;x=1\r\nabc\r\n00a\r\n0123456789\r\n0\r\nT: x\r\n\r\n\
    GET /up HTTP/1.1\r\n\r\n";

#[rstest]
fn requests_are_parsed_the_same_wherever_the_bytes_are_split() {
    let whole = requests(THREE_REQUESTS, &[]).expect("readable");
    let bodies: Vec<&str> = whole.iter().map(|r| &*r.1).collect();
    assert_eq!(bodies, ["hello", "abc0123456789", ""]);
    for cut in 1..THREE_REQUESTS.len() {
        assert_eq!(requests(THREE_REQUESTS, &[cut]).as_ref(), Ok(&whole), "cut at {cut}");
    }
    assert_eq!(
        requests(THREE_REQUESTS, &(1..THREE_REQUESTS.len()).collect::<Vec<_>>()),
        Ok(whole),
        "one byte at a time"
    );
}

#[rstest]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400)]
#[case::length_and_chunks("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400)]
#[case::signed_length("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400)]
#[case::huge_length("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413)]
#[case::length_above_limit("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413)]
#[case::other_coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501)]
#[case::no_chunk_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400)]
#[case::signed_chunk_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400)]
#[case::huge_chunk_size("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", 400)]
#[case::chunk_overrun("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400)]
#[case::folded_line("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400)]
#[case::header_without_name("GET / HTTP/1.1\r\n: b\r\n\r\n", 400)]
#[case::bare_line_feed("GET / HTTP/1.1\nA: b\r\n\r\n", 400)]
#[case::control_character("GET /\u{1} HTTP/1.1\r\n\r\n", 400)]
fn malformed_requests_are_rejected_with_the_right_status(#[case] text: &str, #[case] status: u16) {
    assert_eq!(requests(text.as_bytes(), &[]), Err(status));
    assert_eq!(requests(text.as_bytes(), &(1..text.len()).collect::<Vec<_>>()), Err(status));
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\nA: ", "x", 20_000, 431)]
#[case::chunk_line("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 3_000, 400)]
#[case::many_chunks("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 66_000, 413)]
#[case::trailer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 3_000, 400)]
fn oversized_parts_of_a_request_are_rejected(
    #[case] start: &str,
    #[case] repeated: &str,
    #[case] count: usize,
    #[case] status: u16,
) {
    assert_eq!(requests((start.to_string() + &repeated.repeat(count)).as_bytes(), &[]), Err(status));
}

#[rstest]
fn the_largest_body_is_accepted_in_one_byte_chunks() {
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    let text = text + &"1\r\nz\r\n".repeat(65_536) + "0\r\n\r\n";
    let found = requests(text.as_bytes(), &[]).expect("readable");
    assert_eq!(found[0].1.len(), 65_536);
}

type Targets = Vec<(u32, f64)>;

fn read_query(body: &str) -> Result<(Targets, String), &'static str> {
    let mut targets = vec![];
    let text = query::read_query_by_shards(body.as_bytes(), |shard, weight| {
        targets.push((shard, weight));
        Ok(())
    })?;
    Ok((targets, text.into_owned()))
}

#[rstest]
fn a_query_is_read_with_fields_in_any_order_and_escapes_decoded() {
    let (targets, text) = read_query(
        r#" {"query":"a\"\u00e9\ud83d\ude00é","new":[{"x":[null,true]}],
            "targets":[{"share":0.5,"partition":3,"est_us":9000,"route":"00"},{"partition":9,"share":5e-1}]} "#,
    )
    .expect("readable");
    assert_eq!((targets, &*text), (vec![(3, 0.5), (9, 0.5)], "a\"é😀é"));
}

#[rstest]
#[case::no_targets(r#"{"query":"x"}"#)]
#[case::no_text(r#"{"targets":[]}"#)]
#[case::no_share(r#"{"targets":[{"partition":1}],"query":"x"}"#)]
#[case::share_is_text(r#"{"targets":[{"partition":1,"share":"all"}],"query":"x"}"#)]
#[case::share_is_no_number(r#"{"targets":[{"partition":1,"share":NaN}],"query":"x"}"#)]
#[case::share_too_large(r#"{"targets":[{"partition":1,"share":1e999}],"query":"x"}"#)]
#[case::share_below_0(r#"{"targets":[{"partition":1,"share":-1}],"query":"x"}"#)]
#[case::fractional_shard(r#"{"targets":[{"partition":1.5,"share":1}],"query":"x"}"#)]
#[case::shard_below_0(r#"{"targets":[{"partition":-1,"share":1}],"query":"x"}"#)]
#[case::huge_shard(r#"{"targets":[{"partition":99999999999,"share":1}],"query":"x"}"#)]
#[case::duplicate_targets(r#"{"targets":[],"targets":[],"query":"x"}"#)]
#[case::cut_short(r#"{"targets":[{"partition":1,"share":1}"#)]
#[case::trailing_bytes(r#"{"targets":[],"query":"x"}}"#)]
#[case::half_a_surrogate_pair(r#"{"targets":[],"query":"\ud83d"}"#)]
#[case::not_an_object("[]")]
#[case::empty("")]
fn malformed_queries_are_rejected(#[case] body: &str) {
    assert!(read_query(body).is_err());
}

#[rstest]
fn deep_nesting_is_rejected_before_the_stack_overflows() {
    let text = "[".repeat(100_000);
    assert_eq!(JsonReader::new(text.as_bytes()).skip_value(), Err("nested too deep"));
}

#[rstest]
fn frames_are_found_wherever_the_bytes_are_split() {
    let mut bytes = vec![];
    frames::write_attempts_frame(
        &mut bytes,
        [("q.3", 3, 240, "some\ntext", None), ("q.4", 4, 240, "", None)].into_iter(),
    );
    frames::write_cancel_frame(&mut bytes, "q.3");
    let first = b"Sq.3 3 d=240 9\nsome\ntextq.4 4 d=240 0\n";
    assert_eq!(&bytes[..4 + first.len()], [&(first.len() as u32).to_be_bytes()[..], first].concat());
    for cut in 0..bytes.len() {
        let (mut buffer, mut frames_read) = (ReadBuffer::new(frames::MAX_FRAME_BYTES + 4), vec![]);
        for piece in [&bytes[..cut], &bytes[cut..]] {
            buffer.append(piece);
            while let Some((frame_type, body, used)) = frames::read_frame(buffer.data()).expect("readable") {
                frames_read.push((frame_type, body.len()));
                buffer.consume(used);
            }
        }
        assert_eq!(frames_read, [(b'S', first.len() - 1), (b'C', 3)], "cut at {cut}");
    }
}

#[rstest]
#[case::no_type_byte(&[0, 0, 0, 0])]
#[case::too_long(&[0, 2, 0, 0])]
#[case::far_too_long(&[255, 255, 255, 255, b'R'])]
fn frames_with_an_invalid_length_are_rejected(#[case] bytes: &[u8]) {
    assert!(frames::read_frame(bytes).is_err());
}

#[rstest]
#[case::with_value(b"q.3 done 184 inflight=7,util=0.61\n5be2", Some(("q.3", "done", "5be2")))]
#[case::no_value(b"q.3 full - -\n", Some(("q.3", "full", "")))]
#[case::no_line(b"q.3 done 1 -", None)]
#[case::missing_fields(b"q.3 done\nx", None)]
#[case::no_id(b" done 1 -\nx", None)]
#[case::not_utf8(b"q.3 done 1 -\n\xff", None)]
fn replies_are_parsed_into_header_fields_and_value(
    #[case] body: &[u8],
    #[case] expected: Option<(&str, &str, &str)>,
) {
    assert_eq!(frames::parse_reply(body).ok().map(|(id, outcome, _, value)| (id, outcome, value)), expected);
}

const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LIST: &str = r#"{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:50","zone":"a","type":"m","group":3,"status":"SERVING","weight":1.0,"since_ms":7}]}"#;
const REMOVAL: &str = r#"{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","status":"DELETED"}]}"#;

/// Reads a watch, the HTTP response that streams changes of the endpoint list, from `bytes`, which arrive in
/// pieces of `size` bytes. Returns the objects of the watch, with an empty string for each empty line, and
/// the error that ended the watch, if there was one.
fn read_watch(bytes: &[u8], size: usize) -> (Vec<String>, Option<&'static str>) {
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
                Err(error) => return (found, Some(error)),
            }
        }
    }
    (found, None)
}

#[rstest]
fn watch_objects_are_read_wherever_chunks_and_bytes_are_split() {
    let text = format!("{LIST}\n\n{REMOVAL}\n");
    let (a, b) = text.split_at(60);
    let stream = format!("{WATCH_HEAD}{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n", a.len(), b.len());
    for size in 1..stream.len() {
        // The line break behind an object counts as an empty line.
        let all = [LIST, "", "", REMOVAL, ""].map(str::to_string).to_vec();
        assert_eq!(read_watch(stream.as_bytes(), size), (all, None), "pieces of {size}");
    }
    let ended = read_watch((stream + "0\r\n\r\n").as_bytes(), 7);
    assert_eq!((ended.0.len(), ended.1), (5, Some("discovery ended the watch")));
}

/// Encodes `text` as one chunk.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[rstest]
fn a_watch_object_may_span_several_lines() {
    let indented = LIST.replace(',', ",\n  ").replace('{', "{\n\t").replace('}', "\r\n}");
    let stream = format!("{WATCH_HEAD}{}{}", chunk(&indented), chunk(&format!("\n{REMOVAL}\n")));
    for size in [1, 7, 60, stream.len()] {
        let (found, error) = read_watch(stream.as_bytes(), size);
        assert_eq!(
            (found.as_slice(), error),
            ([&*indented, "", REMOVAL, ""].map(str::to_string).as_slice(), None)
        );
    }
    let version = discovery::read_version(indented.as_bytes());
    assert_eq!(version, Ok((41, true)));
}

#[rstest]
#[case::half_an_object(&chunk(&LIST[..LIST.len() - 1]), None)]
#[case::spaces_without_line_break(&chunk("  \t"), None)]
#[case::braces_in_a_string(&chunk(r#"{"name":"}\"}""#), None)]
#[case::no_object(&chunk("nothing"), Some("the watch has bytes other than whitespace outside of objects"))]
#[case::unmatched_closing_brace(&chunk("}"), Some("the watch has bytes other than whitespace outside of objects"))]
#[case::line_break_in_a_string(&chunk("{\"na\nme\":1}"), Some("the watch has a control character in a string"))]
fn incomplete_or_invalid_input_is_no_watch_event(#[case] body: &str, #[case] error: Option<&str>) {
    let stream = format!("{WATCH_HEAD}{body}");
    for size in [1, stream.len()] {
        assert_eq!(read_watch(stream.as_bytes(), size), (vec![], error));
    }
}

#[rstest]
#[case::not_200(
    "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n",
    "the status of discovery's response is not 200"
)]
#[case::not_chunked(
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
    "discovery's response has no chunked body"
)]
#[case::bad_chunk(&(WATCH_HEAD.to_string() + "zz\r\n"), "a chunk's size is not a number")]
fn an_invalid_watch_response_is_an_error(#[case] bytes: &str, #[case] error: &str) {
    assert_eq!(read_watch(bytes.as_bytes(), 5), (vec![], Some(error)));
}

#[rstest]
fn entries_of_a_list_are_reported_one_by_one() {
    let mut entries = vec![];
    for line in [LIST, REMOVAL] {
        discovery::read_entries(line.as_bytes(), |name, node| entries.push((name.to_string(), node)))
            .expect("readable");
    }
    let node = |port, replica_group, state, started_at_unix_ms| {
        let address = if port > 0 { ([127, 0, 0, 1], port) } else { ([0; 4], 0) }.into();
        ("s-1".to_string(), Ok(NodeEntry { address, replica_group, state, started_at_unix_ms }))
    };
    assert_eq!(entries, [node(50, 3, NodeState::Serving, 7), node(0, 0, NodeState::Removed, 0)]);
    assert_eq!(discovery::read_version(REMOVAL.as_bytes()), Ok((43, false)));
}

#[rstest]
#[case::no_version(r#"{"snapshot":true,"endpoints":[]}"#)]
#[case::no_endpoints(r#"{"index":1,"snapshot":true}"#)]
#[case::list_of_numbers(r#"{"index":1,"snapshot":true,"endpoints":[7]}"#)]
#[case::unquoted_value(r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a","status":SERVING}]}"#)]
#[case::cut_short(r#"{"index":1,"snapshot":true,"endpoints":[{"name":"a""#)]
fn an_unreadable_object_is_an_error(#[case] line: &str) {
    assert!(discovery::read_version(line.as_bytes()).is_err());
}

#[rstest]
#[case::no_name(
    r#""address":"127.0.0.1:5","group":0,"status":"DRAINING""#,
    "",
    Some(NodeState::Draining),
    "`name`"
)]
#[case::host_name_as_address(
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
#[case::group_is_text(
    r#""name":"a","address":"127.0.0.1:5","group":"x","status":"SERVING""#,
    "a",
    Some(NodeState::Serving),
    "`group`"
)]
#[case::start_is_a_list(
    r#""name":"a","address":"127.0.0.1:5","group":0,"status":"SERVING","since_ms":[]"#,
    "a",
    Some(NodeState::Serving),
    "`since_ms`"
)]
#[case::unknown_status(r#""name":"a","address":"127.0.0.1:5","group":0,"status":"?""#, "a", None, "`status`")]
fn an_unusable_entry_does_not_hide_the_others(
    #[case] fields: &str,
    #[case] name: &str,
    #[case] state: Option<NodeState>,
    #[case] field: &str,
) {
    let good = r#"{"name":"b","address":"127.0.0.1:6","group":1,"status":"SERVING"}"#;
    let line = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{{{fields}}},{good}]}}"#);
    let mut entries = vec![];
    discovery::read_entries(line.as_bytes(), |name, node| entries.push((name.to_string(), node)))
        .expect("readable");
    let Some(((unusable, Err((read_state, error))), (other, Ok(_)))) = entries
        .first()
        .zip(entries.get(1))
        .map(|(a, b)| ((a.0.as_str(), a.1.as_ref()), (b.0.as_str(), b.1.as_ref())))
    else {
        panic!("{entries:?}");
    };
    assert_eq!((unusable, *read_state, other), (name, state, "b"));
    assert!(error.contains(field), "{error}");
}

#[rstest]
fn responses_have_a_length_and_escaped_values() {
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

/// Decodes valid input with random changes and truncations. Errors are expected, panics are not.
#[rstest]
fn no_input_causes_a_panic() {
    let mut state = 7u64;
    let mut draw = move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) as usize
    };
    let watch = format!("{WATCH_HEAD}{:x}\r\n{LIST}\n\r\n", LIST.len() + 1);
    let valid = [THREE_REQUESTS, watch.as_bytes(), LIST.as_bytes(), b"\0\0\0\x0fRq.3 done 1 -\nxx"];
    for round in 0..20_000 {
        let mut bytes = valid[round % valid.len()].to_vec();
        for _ in 0..draw() % 4 {
            let at = draw() % bytes.len();
            bytes[at] = (draw() % 256) as u8;
        }
        bytes.truncate(draw() % (2 * bytes.len()));
        let size = 1 + draw() % 40;
        let _ = requests(&bytes, &[size.min(bytes.len())]);
        let _ = read_watch(&bytes, size);
        let _ = discovery::read_version(&bytes);
        let _ = query::read_query_by_shards(&bytes, |_, _| Ok(()));
        let mut remaining = &bytes[..];
        while let Ok(Some((_, body, used))) = frames::read_frame(remaining) {
            let _ = frames::parse_reply(body);
            remaining = &remaining[used..];
        }
    }
}
