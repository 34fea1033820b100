//! Reads the shard map in an object from discovery. Besides the endpoint list, an object may have a field
//! `layout`: either a full shard map, which gives the keys of each shard and the replica groups that hold the
//! shard (its holders), or changes to one version of the shard map.
use super::ParseError;
use super::json::JsonReader;
use alderway_layouts::history::LayoutUpdate;
use alderway_layouts::layout::{Change, Shard};
use alderway_layouts::{KeyRange, ShardId};
use std::collections::BTreeSet;

/// Reads the field `layout` of an object from discovery: a full shard map, or changes to one. Returns `None`
/// if the object has no `layout`.
pub fn read_update(bytes: &[u8]) -> Result<Option<LayoutUpdate>, ParseError> {
    let (mut json, mut update) = (JsonReader::new(bytes), None);
    json.read_object(|json, key| match key {
        "layout" if update.is_some() => Err("`layout` is given twice"),
        "layout" => {
            update = Some(read_layout(json)?);
            Ok(())
        }
        _ => json.skip_value(),
    })?;
    json.expect_end()?;
    Ok(update)
}

fn read_layout(json: &mut JsonReader) -> Result<LayoutUpdate, ParseError> {
    let (mut version, mut after, mut keys, mut shards, mut changes) = (None, None, None, None, None);
    json.read_object(|json, key| {
        match key {
            "version" => version = Some(json.read_integer()?),
            "after" => after = Some(json.read_integer()?),
            "keys" => keys = Some(read_u32(json)?),
            "shards" => {
                let mut all = vec![];
                json.read_array(|json| {
                    all.push(read_shard(json)?);
                    Ok(())
                })?;
                shards = Some(all);
            }
            "changes" => {
                let mut all = vec![];
                json.read_array(|json| {
                    all.push(read_change(json)?);
                    Ok(())
                })?;
                changes = Some(all);
            }
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let version = version.ok_or("`layout` has no `version`")?;
    match (shards, changes) {
        (Some(shards), None) => {
            Ok(LayoutUpdate::Full { version, keys: keys.ok_or("`layout` has no `keys`")?, shards })
        }
        (None, Some(changes)) => {
            let base = after.ok_or("`layout` has `changes` but no `after`")?;
            Ok(LayoutUpdate::Changes { version, base, changes })
        }
        _ => Err("a layout has either `shards` or `changes`"),
    }
}

fn read_u32(json: &mut JsonReader) -> Result<u32, ParseError> {
    u32::try_from(json.read_integer()?).map_err(|_| "a number in `layout` is too large")
}

fn read_u32_array(json: &mut JsonReader) -> Result<Vec<u32>, ParseError> {
    let mut all = vec![];
    json.read_array(|json| {
        all.push(read_u32(json)?);
        Ok(())
    })?;
    Ok(all)
}

fn read_shard(json: &mut JsonReader) -> Result<(ShardId, Shard), ParseError> {
    let (mut id, mut from, mut to, mut holders) = (None, None, None, None);
    json.read_object(|json, key| {
        match key {
            "shard" => id = Some(read_u32(json)?),
            "from" => from = Some(read_u32(json)?),
            "to" => to = Some(read_u32(json)?),
            "holders" => holders = Some(read_u32_array(json)?),
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    let id = id.ok_or("an entry of `shards` has no `shard`")?;
    let from = from.ok_or("an entry of `shards` has no `from`")?;
    let to = to.ok_or("an entry of `shards` has no `to`")?;
    let holders: BTreeSet<u32> =
        holders.ok_or("an entry of `shards` has no `holders`")?.into_iter().collect();
    Ok((id, Shard { keys: KeyRange::new(from, to), holders }))
}

fn read_change(json: &mut JsonReader) -> Result<Change, ParseError> {
    let (mut split, mut merge, mut moved, mut into, mut child, mut holders) =
        (None, None, None, vec![], None, None);
    json.read_object(|json, key| {
        match key {
            "split" => split = Some(read_u32(json)?),
            "merge" => merge = Some(read_u32_array(json)?),
            "move" => moved = Some(read_u32(json)?),
            "into" => json.read_array(|json| {
                let (mut id, mut from) = (None, None);
                json.read_object(|json, key| {
                    match key {
                        "shard" => id = Some(read_u32(json)?),
                        "from" => from = Some(read_u32(json)?),
                        _ => json.skip_value()?,
                    }
                    Ok(())
                })?;
                into.push((
                    id.ok_or("an entry of `into` has no `shard`")?,
                    from.ok_or("an entry of `into` has no `from`")?,
                ));
                Ok(())
            })?,
            "as" => child = Some(read_u32(json)?),
            "holders" => holders = Some(read_u32_array(json)?),
            _ => json.skip_value()?,
        }
        Ok(())
    })?;
    match (split, merge, moved) {
        (Some(parent), None, None) => Ok(Change::Split { parent, children: into }),
        (None, Some(parents), None) => {
            Ok(Change::Merge { parents, child: child.ok_or("a change with `merge` has no `as`")? })
        }
        (None, None, Some(shard)) => {
            let holders = holders.ok_or("a change with `move` has no `holders`")?.into_iter().collect();
            Ok(Change::Move { shard, holders })
        }
        _ => Err("a change must be exactly one of `split`, `merge` and `move`"),
    }
}
