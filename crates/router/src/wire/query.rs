//! The JSON body of a client's query. The body has a text and targets; a target is a shard or a range of
//! keys, with a weight: its fraction of the query (`share`).
use super::ParseError;
use super::json::JsonReader;
use std::borrow::Cow;

/// Largest difference of the sum of a query's weights from 1. The sum of twenty weights, each rounded to
/// three decimals, may differ from 1 by up to 0.01.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Reads the JSON body of a client's query whose targets are shards, and calls `add_target` with the shard
/// and weight of each target. Returns the query's text, which is sent with every shard request.
pub fn read_query_by_shards(
    body: &[u8],
    mut add_target: impl FnMut(u32, f64) -> Result<(), ParseError>,
) -> Result<Cow<'_, str>, ParseError> {
    read_query(body, false, |shard, _, weight| {
        add_target(shard.ok_or("a target without `partition`")?, weight)
    })
}

/// Reads the JSON body of a client's query, and calls `add_target` with the shard, the keys and the weight of
/// each target. Keys are a range from the first number (inclusive) to the second (exclusive). If
/// `accepts_keys` is false, the field `keys` is ignored, as unknown fields are. Returns the query's text,
/// which is sent with every shard request.
pub fn read_query(
    body: &[u8],
    accepts_keys: bool,
    mut add_target: impl FnMut(Option<u32>, Option<(u32, u32)>, f64) -> Result<(), ParseError>,
) -> Result<Cow<'_, str>, ParseError> {
    let (mut json, mut text) = (JsonReader::new(body), None);
    let (mut has_targets, mut weight_sum) = (false, 0.0);
    json.read_object(|json, key| match key {
        "targets" if has_targets => Err("`targets` stands twice"),
        "targets" => {
            has_targets = true;
            json.read_array(|json| {
                let (shard, keys, weight) = read_target(json, accepts_keys)?;
                weight_sum += weight;
                add_target(shard, keys, weight)
            })
        }
        "query" => {
            text = Some(json.read_string()?);
            Ok(())
        }
        _ => json.skip_value(),
    })?;
    json.expect_end()?;
    if !has_targets {
        return Err("`targets` is missing");
    }
    if (weight_sum - 1.0f64).abs() > WEIGHT_SUM_TOLERANCE {
        return Err("the shares do not add up to 1");
    }
    text.ok_or("`query` is missing")
}

/// The shard, the keys (from the first, inclusive, to the second, exclusive) and the weight of a target. The
/// weight is above 0 and at most 1. Shard and keys are `None` if the target does not name them.
type Target = (Option<u32>, Option<(u32, u32)>, f64);

fn read_target(json: &mut JsonReader, accepts_keys: bool) -> Result<Target, ParseError> {
    let (mut shard, mut keys, mut weight) = (None, None, None);
    json.read_object(|json, key| {
        match key {
            "partition" => {
                shard = Some(json.read_integer().map_err(|_| "`partition` is not a whole number")?)
            }
            "keys" if accepts_keys => {
                let mut bounds = vec![];
                json.read_array(|json| {
                    bounds.push(json.read_integer().map_err(|_| "`keys` are not two whole numbers")?);
                    Ok(())
                })?;
                let [from, to] = bounds[..] else { return Err("`keys` are not two whole numbers") };
                let key = |bound| u32::try_from(bound).map_err(|_| "`keys` are too large");
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
