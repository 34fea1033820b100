//! The body of a query.
use super::Fault;
use super::json::Json;
use std::borrow::Cow;

/// By how much the shares of a query may miss 1 together: twenty of them, rounded to three decimals, do by this.
const ROUNDED: f64 = 0.01;

/// Reads a body: every target goes straight into `part` with its shard and weight; returns the text that
/// each part has to carry.
pub fn read(body: &[u8], mut part: impl FnMut(u32, f64) -> Result<(), Fault>) -> Result<Cow<'_, str>, Fault> {
    let (mut json, mut text, mut targets, mut whole) = (Json::new(body), None, false, 0.0);
    json.object(|json, key| match key {
        "targets" if targets => Err("`targets` stands twice"),
        "targets" => {
            targets = true;
            json.list(|json| {
                let (shard, weight) = target(json)?;
                whole += weight;
                part(shard, weight)
            })
        }
        "query" => {
            text = Some(json.text()?);
            Ok(())
        }
        _ => json.skip(),
    })?;
    json.end()?;
    if !targets {
        return Err("`targets` is missing");
    }
    if (whole - 1.0f64).abs() > ROUNDED {
        return Err("the shares do not add up to 1");
    }
    text.ok_or("`query` is missing")
}

fn target(json: &mut Json) -> Result<(u32, f64), Fault> {
    let (mut shard, mut weight) = (None, None);
    json.object(|json, key| {
        match key {
            "partition" => shard = Some(json.whole().map_err(|_| "`partition` is not a whole number")?),
            "share" => weight = Some(json.number().map_err(|_| "`share` is not a number")?),
            _ => json.skip()?,
        }
        Ok(())
    })?;
    let shard = shard.ok_or("a target without `partition`")?;
    let weight = weight.ok_or("a target without `share`")?;
    if weight <= 0.0 || weight > 1.0 {
        return Err("`share` is not above 0 and at most 1");
    }
    Ok((u32::try_from(shard).map_err(|_| "`partition` is too large")?, weight))
}
