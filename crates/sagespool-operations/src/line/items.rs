//! Lines that command: one item, or several parted by commas.

use sagespool_messages::EngineOrder;
use sagespool_types::{BranchName, TokenCount, UpstreamName};

use super::reader::LineReader;
use super::verbs::LineVerb;
use super::{LineError, changes};
use crate::CommandItem;

/// Most items of one command: its record stays far below the store's limit of 1 MB.
const MOST_ITEMS: usize = 200;
/// More tokens than any budget; sums of them stay far from overflowing.
const MOST_TOKENS: u64 = 1 << 53;

/// Reads a command's items.
pub(super) fn read_items(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<Vec<CommandItem>, LineError> {
    match verb {
        LineVerb::Load => read_loads(reader),
        LineVerb::Unload => read_unloads(reader),
        _ => {
            changes::read_noun(verb, reader)?;
            read_each(reader, |reader| read_item(verb, reader))
        }
    }
}

/// Items up to the last comma.
fn read_each(
    reader: &mut LineReader,
    read: impl Fn(&mut LineReader) -> Result<CommandItem, LineError>,
) -> Result<Vec<CommandItem>, LineError> {
    let mut items: Vec<CommandItem> = Vec::new();
    loop {
        let item = read(reader)?;
        if items.len() == MOST_ITEMS {
            return Err(reader.fault_at_last(format!("a command has at most {MOST_ITEMS} items")));
        }
        if let Some(branch) = topped_up_twice(&items, &item) {
            let message = format!("`{branch}` is topped up twice; give one sum");
            return Err(reader.fault_at_last(message));
        }
        items.push(item);
        if !reader.accepts_comma() {
            return Ok(items);
        }
    }
}

/// Guards against one half of a top-up that is taken for a repetition of the other: the book knows a
/// top-up by the command's id.
fn topped_up_twice<'a>(items: &[CommandItem], item: &'a CommandItem) -> Option<&'a BranchName> {
    let CommandItem::TopUp { branch, .. } = item else { return None };
    let same = |earlier: &CommandItem| matches!(earlier, CommandItem::TopUp { branch: other, .. } if other == branch);
    items.iter().any(same).then_some(branch)
}

fn read_item(verb: LineVerb, reader: &mut LineReader) -> Result<CommandItem, LineError> {
    let item = match verb {
        LineVerb::TopUp => CommandItem::TopUp {
            branch: reader.value("a branch name")?,
            tokens: TokenCount(reader.number("a number of tokens", 1..=MOST_TOKENS)?),
        },
        LineVerb::Drain | LineVerb::Undrain => CommandItem::Drain {
            name: reader.value("the name of an upstream or an instance")?,
            on: verb == LineVerb::Drain,
        },
        LineVerb::Stop => CommandItem::Stop { instance: reader.value("an instance name")? },
        LineVerb::Release => CommandItem::Release {
            branch: reader.value("a branch name")?,
            grant: reader.value("a grant id")?,
        },
        LineVerb::Lift => CommandItem::Lift { content: reader.value("a content digest")? },
        LineVerb::Cancel => CommandItem::Cancel { command: reader.value("a command id")? },
        _ => CommandItem::Edit(changes::read_edit(verb, reader)?),
    };
    Ok(item)
}

fn read_loads(reader: &mut LineReader) -> Result<Vec<CommandItem>, LineError> {
    let model = reader.value("a model name")?;
    let order = if reader.accepts("adapter") {
        EngineOrder::LoadAdapter { model, adapter: reader.text("an adapter name")? }
    } else {
        EngineOrder::LoadModel(model)
    };
    read_targets(reader, &order)
}

fn read_unloads(reader: &mut LineReader) -> Result<Vec<CommandItem>, LineError> {
    let order = EngineOrder::UnloadModel(reader.value("a model name")?);
    read_targets(reader, &order)
}

fn read_targets(
    reader: &mut LineReader,
    order: &EngineOrder,
) -> Result<Vec<CommandItem>, LineError> {
    reader.expect("on")?;
    read_each(reader, |reader| {
        let upstream: UpstreamName = reader.value("an upstream name")?;
        Ok(CommandItem::Order { upstream, order: order.clone() })
    })
}
