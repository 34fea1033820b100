//! The layout in discovery's lines: beside `endpoints` an object may hold `layout`, the whole of it or changes to a version.
use super::ParseError;
use super::json::JsonReader;
use alderway_layouts::history::News;
use alderway_layouts::layout::{Change, Shard};
use alderway_layouts::{Range, ShardId};
use std::collections::BTreeSet;

/// What one of discovery's objects says of the layout, if it says anything.
pub fn news(bytes: &[u8]) -> Result<Option<News>, ParseError> {
    let (mut json, mut news) = (JsonReader::new(bytes), None);
    json.read_object(|json, key| match key {
        "layout" if news.is_some() => Err("`layout` stands twice"),
        "layout" => {
            news = Some(one(json)?);
            Ok(())
        }
        _ => json.skip_value(),
    })?;
    json.expect_end()?;
    Ok(news)
}

fn one(json: &mut JsonReader) -> Result<News, ParseError> {
    let (mut version, mut after, mut keys, mut shards, mut changes) = (None, None, None, None, None);
    json.read_object(|json, key| {
        match key {
            "version" => version = Some(json.read_integer()?),
            "after" => after = Some(json.read_integer()?),
            "keys" => keys = Some(number(json)?),
            "shards" => {
                let mut all = vec![];
                json.read_array(|json| {
                    all.push(shard(json)?);
                    Ok(())
                })?;
                shards = Some(all);
            }
            "changes" => {
                let mut all = vec![];
                json.read_array(|json| {
                    all.push(change(json)?);
                    Ok(())
                })?;
                changes = Some(all);
            }
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let version = version.ok_or("a layout without `version`")?;
    match (shards, changes) {
        (Some(shards), None) => {
            Ok(News::Whole { version, keys: keys.ok_or("a layout without `keys`")?, shards })
        }
        (None, Some(changes)) => {
            let after = after.ok_or("changes of a layout without `after`")?;
            Ok(News::Changes { version, after, changes })
        }
        _ => Err("a layout has either `shards` or `changes`"),
    }
}

fn number(json: &mut JsonReader) -> Result<u32, ParseError> {
    u32::try_from(json.read_integer()?).map_err(|_| "a number in a layout is too large")
}

fn numbers(json: &mut JsonReader) -> Result<Vec<u32>, ParseError> {
    let mut all = vec![];
    json.read_array(|json| {
        all.push(number(json)?);
        Ok(())
    })?;
    Ok(all)
}

fn shard(json: &mut JsonReader) -> Result<(ShardId, Shard), ParseError> {
    let (mut id, mut from, mut to, mut holders) = (None, None, None, None);
    json.read_object(|json, key| {
        match key {
            "shard" => id = Some(number(json)?),
            "from" => from = Some(number(json)?),
            "to" => to = Some(number(json)?),
            "holders" => holders = Some(numbers(json)?),
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let id = id.ok_or("a layout's entry without `shard`")?;
    let from = from.ok_or("a layout's entry without `from`")?;
    let to = to.ok_or("a layout's entry without `to`")?;
    let holders: BTreeSet<u32> = holders.ok_or("a layout's entry without `holders`")?.into_iter().collect();
    Ok((id, Shard { keys: Range::new(from, to), holders }))
}

fn change(json: &mut JsonReader) -> Result<Change, ParseError> {
    let (mut split, mut merge, mut moved, mut into, mut child, mut holders) =
        (None, None, None, vec![], None, None);
    json.read_object(|json, key| {
        match key {
            "split" => split = Some(number(json)?),
            "merge" => merge = Some(numbers(json)?),
            "move" => moved = Some(number(json)?),
            "into" => json.read_array(|json| {
                let (mut id, mut from) = (None, None);
                json.read_object(|json, key| {
                    match key {
                        "shard" => id = Some(number(json)?),
                        "from" => from = Some(number(json)?),
                        _ => json.skip_value()?,
                    }
                    Ok(())
                })?;
                into.push((id.ok_or("a split without `shard`")?, from.ok_or("a split without `from`")?));
                Ok(())
            })?,
            "as" => child = Some(number(json)?),
            "holders" => holders = Some(numbers(json)?),
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    match (split, merge, moved) {
        (Some(parent), None, None) => Ok(Change::Split { parent, children: into }),
        (None, Some(parents), None) => {
            Ok(Change::Merge { parents, child: child.ok_or("a merge without `as`")? })
        }
        (None, None, Some(shard)) => {
            let holders = holders.ok_or("a move without `holders`")?.into_iter().collect();
            Ok(Change::Move { shard, holders })
        }
        _ => Err("a change is one of `split`, `merge` and `move`"),
    }
}
