//! The body of a query.
use super::ParseError;
use super::json::JsonReader;
use std::borrow::Cow;

/// By how much the shares of a query may miss 1 together: twenty of them, rounded to three decimals, do by this.
const ROUNDED: f64 = 0.01;

/// Reads a body: every target goes straight into `part` with its shard and weight; returns the text that
/// each part has to carry.
pub fn read(
    body: &[u8],
    mut part: impl FnMut(u32, f64) -> Result<(), ParseError>,
) -> Result<Cow<'_, str>, ParseError> {
    targets(body, false, |shard, _, weight| part(shard.ok_or("a target without `partition`")?, weight))
}

/// The same where a target may name `keys`, from one to below another, in the place of a shard.
pub fn targets(
    body: &[u8],
    by_keys: bool,
    mut part: impl FnMut(Option<u32>, Option<(u32, u32)>, f64) -> Result<(), ParseError>,
) -> Result<Cow<'_, str>, ParseError> {
    let (mut json, mut text, mut targets, mut whole) = (JsonReader::new(body), None, false, 0.0);
    json.read_object(|json, key| match key {
        "targets" if targets => Err("`targets` stands twice"),
        "targets" => {
            targets = true;
            json.read_array(|json| {
                let (shard, keys, weight) = target(json, by_keys)?;
                whole += weight;
                part(shard, keys, weight)
            })
        }
        "query" => {
            text = Some(json.read_string()?);
            Ok(())
        }
        _ => json.skip_value(),
    })?;
    json.expect_end()?;
    if !targets {
        return Err("`targets` is missing");
    }
    if (whole - 1.0f64).abs() > ROUNDED {
        return Err("the shares do not add up to 1");
    }
    text.ok_or("`query` is missing")
}

type Target = (Option<u32>, Option<(u32, u32)>, f64);

fn target(json: &mut JsonReader, by_keys: bool) -> Result<Target, ParseError> {
    let (mut shard, mut keys, mut weight) = (None, None, None);
    json.read_object(|json, key| {
        match key {
            "partition" => {
                shard = Some(json.read_integer().map_err(|_| "`partition` is not a whole number")?)
            }
            "keys" if by_keys => {
                let mut ends = vec![];
                json.read_array(|json| {
                    ends.push(json.read_integer().map_err(|_| "`keys` are not two whole numbers")?);
                    Ok(())
                })?;
                let [from, to] = ends[..] else { return Err("`keys` are not two whole numbers") };
                let key = |end| u32::try_from(end).map_err(|_| "`keys` are too large");
                keys = Some((key(from)?, key(to)?));
            }
            "share" => weight = Some(json.read_number().map_err(|_| "`share` is not a number")?),
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let weight = weight.ok_or("a target without `share`")?;
    if weight <= 0.0 || weight > 1.0 {
        return Err("`share` is not above 0 and at most 1");
    }
    let shard =
        shard.map(|shard| u32::try_from(shard).map_err(|_| "`partition` is too large")).transpose()?;
    Ok((shard, keys, weight))
}
