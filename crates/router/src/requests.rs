//! What a request asks for: a query, readiness or the counters; anything else is told why not.
use crate::state::DispatcherHandle;
use crate::state::clients::ClientConnection;
use crate::state::queries::{Query, ShardRequest};
use crate::wire::frames::LONGEST_ID;
use crate::wire::http::{Head, Refusal};
use crate::wire::{answer, query};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Takes a whole request whose last byte came at `at`; it is answered now, or it is an open query then.
pub fn take(dispatcher: &DispatcherHandle, client: &Rc<ClientConnection>, head: Head, body: &[u8], at: f64) {
    // The answers here have a body, which an answer to HEAD must not: no further message could be told apart.
    let closes = head.closes() || head.first().starts_with("HEAD ");
    client
        .close_after_answer
        .set(client.close_after_answer.get() || closes || dispatcher.borrow().closes_connection(client));
    let mut words = head.first().split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let path = target.split('?').next().unwrap_or_default();
    let plain = |status, text: &str| {
        answer::plain(&mut client.output.borrow_mut(), status, text, None, client.close_after_answer.get());
    };
    if !words.next().unwrap_or_default().starts_with("HTTP/1.") || words.next().is_some() {
        client.close_after_answer.set(true);
        return plain(505, "expected METHOD PATH HTTP/1.1");
    }
    #[cfg(feature = "faults")]
    if let Ok(Some(fault)) = head.field("X-Fault") {
        let mut dispatcher = dispatcher.borrow_mut();
        match &mut dispatcher.shard_map {
            Some(shard_map) if fault == "count-by-answers" => shard_map.by_answers = true,
            _ => dispatcher.injected_fault = Some(fault.to_string()),
        }
    }
    match (method, path) {
        ("POST", "/api") => {
            let taken = read(dispatcher, client, head, body, at);
            if let Err((status, why)) = taken {
                dispatcher.borrow_mut().counters.increment("requests{not_in_form}");
                plain(status, why);
            }
        }
        ("GET", "/up") if dispatcher.borrow().is_ready() => plain(200, "up"),
        ("GET", "/up") => plain(503, "not able to serve"),
        ("GET", "/counters") => plain(200, dispatcher.borrow().metrics_text().trim_end()),
        (_, "/api" | "/up" | "/counters") => plain(405, "not that method here"),
        _ => plain(404, "no such path"),
    }
}

fn read(
    dispatcher: &DispatcherHandle,
    client: &Rc<ClientConnection>,
    head: Head,
    body: &[u8],
    at: f64,
) -> Result<(), Refusal> {
    let field = |name, lacking| head.field(name)?.filter(|v| !v.is_empty()).ok_or((400, lacking));
    let id = field("X-Correlation-Id", "X-Correlation-Id is missing")?;
    if id.len() > LONGEST_ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err((400, "X-Correlation-Id is not a short word"));
    }
    let class = field("X-Service-Class", "X-Service-Class is missing")?;
    let left = field("X-Time-Left-Ms", "X-Time-Left-Ms is missing")?;
    let digits = left.bytes().all(|b| b.is_ascii_digit());
    let left =
        left.parse::<u32>().ok().filter(|_| digits).ok_or((400, "X-Time-Left-Ms is not a whole number"))?;
    let mut dispatcher = dispatcher.borrow_mut();
    dispatcher.refresh_config();
    let vertical = dispatcher.class_slot(class).ok_or((400, "an unknown vertical"))?;
    if dispatcher.queries.is_open(id) {
        return Err((400, "a query with this X-Correlation-Id is open"));
    }
    let not_after = at + (f64::from(left) / 1e3).min(dispatcher.admission.max_deadline_s);
    if let Some(shard_map) = &dispatcher.shard_map {
        let mut targets = Vec::new();
        let text = query::targets(body, true, |shard, keys, weight| {
            targets.push((shard, keys, weight));
            Ok(())
        });
        let text = text.map_err(|why| (400, why))?.into_owned();
        if targets.is_empty() {
            return Err((400, "`targets` is empty"));
        }
        let (parts, coverage) = shard_map.requests_for(id, &targets)?;
        let (id, client, coverage) = (id.into(), client.clone(), Some(coverage));
        return dispatcher.open_query(
            &client.clone(),
            Query { id, class: vertical, not_after_s: not_after, text, requests: parts, client, coverage },
        );
    }
    let (mut parts, mut asked, shards) = (Vec::new(), BTreeSet::new(), dispatcher.admission.shard_count);
    let text = query::read(body, |shard, weight| {
        if shard >= shards {
            return Err("`partition` is no shard here");
        }
        if !asked.insert(shard) {
            return Err("`partition` stands twice");
        }
        parts.push(ShardRequest::new(format!("{id}.{shard}").into(), shard, weight));
        Ok(())
    });
    let text = text.map_err(|why| (400, why))?.into_owned();
    if parts.is_empty() {
        return Err((400, "`targets` is empty"));
    }
    let (id, client, coverage) = (id.into(), client.clone(), None);
    dispatcher.open_query(
        &client.clone(),
        Query { id, class: vertical, not_after_s: not_after, text, requests: parts, client, coverage },
    )
}
