//! Handles the HTTP requests of clients: queries (`POST /api`), readiness (`GET /up`) and counters (`GET
//! /counters`). Any other request gets an error response.
use crate::state::DispatcherHandle;
use crate::state::clients::ClientConnection;
use crate::state::queries::{Query, QueryError, ShardRequest};
use crate::state::response::AnswerCoverage;
use crate::state::shard_map::{QueryTarget, ShardMapView};
use crate::wire::frames::MAX_QUERY_ID_BYTES;
use crate::wire::http::{Head, HttpError};
use crate::wire::{query, response};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Handles a complete request: writes a response to `client`, or opens a query whose response is written
/// later. `arrived_at` is when the last byte of the request arrived, in seconds of the monotonic clock.
pub fn handle(
    dispatcher: &DispatcherHandle,
    client: &Rc<ClientConnection>,
    head: Head,
    body: &[u8],
    arrived_at: f64,
) {
    // The router sends a body even in the response to HEAD. The client expects no body there and would read
    // the body as the start of the next response, so the router closes the connection after the response.
    let closes_connection = head.closes_connection() || head.first_line().starts_with("HEAD ");
    client.close_after_response.set(
        client.close_after_response.get()
            || closes_connection
            || dispatcher.borrow().closes_for_shutdown(client),
    );
    let mut parts = head.first_line().split(' ');
    let (method, target) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    let respond = |status, text: &str| {
        response::write_text(
            &mut client.output.borrow_mut(),
            status,
            text,
            None,
            client.close_after_response.get(),
        );
    };
    if !parts.next().unwrap_or_default().starts_with("HTTP/1.") || parts.next().is_some() {
        client.close_after_response.set(true);
        return respond(505, "expected METHOD PATH HTTP/1.1");
    }
    #[cfg(feature = "faults")]
    if let Ok(Some(fault)) = head.field("X-Fault") {
        let mut dispatcher = dispatcher.borrow_mut();
        match &mut dispatcher.shard_map {
            Some(shard_map) if fault == "count-by-answers" => shard_map.counts_all_answers = true,
            _ => dispatcher.injected_fault = Some(fault.to_string()),
        }
    }
    match (method, path) {
        ("POST", "/api") => {
            let opened = open_query(dispatcher, client, head, body, arrived_at);
            if let Err((status, text)) = opened {
                dispatcher.borrow_mut().counters.increment("requests{not_in_form}");
                respond(status, text);
            }
        }
        ("GET", "/up") if dispatcher.borrow().is_ready() => respond(200, "up"),
        ("GET", "/up") => respond(503, "not able to serve"),
        ("GET", "/counters") => respond(200, dispatcher.borrow().metrics_text().trim_end()),
        (_, "/api" | "/up" | "/counters") => respond(405, "not that method here"),
        _ => respond(404, "no such path"),
    }
}

/// Parses a query request and opens the query; returns the error response if the request is invalid.
fn open_query(
    dispatcher: &DispatcherHandle,
    client: &Rc<ClientConnection>,
    head: Head,
    body: &[u8],
    arrived_at: f64,
) -> Result<(), HttpError> {
    let field = |name, missing| head.field(name)?.filter(|v| !v.is_empty()).ok_or((400, missing));
    let id = field("X-Correlation-Id", "X-Correlation-Id is missing")?;
    if id.len() > MAX_QUERY_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err((400, "X-Correlation-Id is not a short word"));
    }
    let class = field("X-Service-Class", "X-Service-Class is missing")?;
    let time_left_ms = field("X-Time-Left-Ms", "X-Time-Left-Ms is missing")?;
    let is_digits = time_left_ms.bytes().all(|b| b.is_ascii_digit());
    let time_left_ms = time_left_ms
        .parse::<u32>()
        .ok()
        .filter(|_| is_digits)
        .ok_or((400, "X-Time-Left-Ms is not a whole number"))?;
    let mut dispatcher = dispatcher.borrow_mut();
    dispatcher.apply_newest_config();
    let class = dispatcher.class_slot(class).ok_or((400, "an unknown vertical"))?;
    if dispatcher.queries.is_open(id) {
        return Err(error_response(QueryError::IdInUse));
    }
    let not_after_s = arrived_at + (f64::from(time_left_ms) / 1e3).min(dispatcher.admission.max_deadline_s);
    let ShardRequests { text, requests, coverage } = match &dispatcher.shard_map {
        Some(shard_map) => shard_map_requests(shard_map, id, body)?,
        None => ring_requests(dispatcher.admission.shard_count, id, body)?,
    };
    if requests.is_empty() {
        return Err((400, "`targets` is empty"));
    }
    let query = Query { id: id.into(), class, not_after_s, text, requests, client: client.clone(), coverage };
    dispatcher.open_query(client, query).map_err(error_response)
}

/// The content of a query request's body: the query text and the shard requests.
struct ShardRequests {
    text: String,
    requests: Vec<ShardRequest>,
    /// The key ranges of the query, with the results so far; `None` if the router has no shard map.
    coverage: Option<AnswerCoverage>,
}

fn shard_map_requests(
    shard_map: &ShardMapView,
    query_id: &str,
    body: &[u8],
) -> Result<ShardRequests, HttpError> {
    let mut targets = Vec::new();
    let text = query::read_query(body, true, |shard, keys, weight| {
        targets.push(QueryTarget { shard, keys, weight });
        Ok(())
    });
    let text = text.map_err(|problem| (400, problem))?.into_owned();
    if targets.is_empty() {
        return Err((400, "`targets` is empty"));
    }
    let (requests, coverage) = shard_map.requests_for(query_id, &targets).map_err(error_response)?;
    Ok(ShardRequests { text, requests, coverage: Some(coverage) })
}

fn ring_requests(shard_count: u32, query_id: &str, body: &[u8]) -> Result<ShardRequests, HttpError> {
    let (mut requests, mut shards) = (Vec::new(), BTreeSet::new());
    let text = query::read_query_by_shards(body, |shard, weight| {
        if shard >= shard_count {
            return Err("`partition` is no shard here");
        }
        if !shards.insert(shard) {
            return Err("`partition` stands twice");
        }
        requests.push(ShardRequest::new(format!("{query_id}.{shard}").into(), shard, weight));
        Ok(())
    });
    let text = text.map_err(|problem| (400, problem))?.into_owned();
    Ok(ShardRequests { text, requests, coverage: None })
}

/// The HTTP status and text of the response to a query that cannot be opened.
pub fn error_response(error: QueryError) -> HttpError {
    match error {
        QueryError::IdInUse => (400, "a query with this X-Correlation-Id is open"),
        QueryError::NoShardMap => (503, "no layout is known yet"),
        QueryError::UnknownShard => (400, "`partition` is no shard here"),
        QueryError::UnknownKeys => (400, "`keys` are none here"),
        QueryError::DuplicateKeys => (400, "`keys` stand twice"),
        QueryError::AmbiguousTarget => (400, "a target names either `partition` or `keys`"),
    }
}
