//! Parsing of commands: one item, or several separated by commas.

use sagespool_messages::EngineOrder;
use sagespool_types::{BranchName, TokenCount, UpstreamName};

use super::reader::LineReader;
use super::verbs::LineVerb;
use super::{LineError, changes};
use crate::CommandItem;

/// Limit on the items of one command. It keeps the record far below the store's limit of 1 MB.
const MAX_ITEMS: usize = 200;
/// More than any budget, and small enough that sums can't overflow.
const MAX_TOKENS: u64 = 1 << 53;

/// Reads a command's items.
pub(super) fn read_items(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<Vec<CommandItem>, LineError> {
    match verb {
        LineVerb::Load => read_loads(reader),
        LineVerb::Unload => read_unloads(reader),
        _ => {
            changes::read_object_keyword(verb, reader)?;
            read_each(reader, |reader| read_item(verb, reader))
        }
    }
}

/// Reads items that are separated by commas.
fn read_each(
    reader: &mut LineReader,
    read: impl Fn(&mut LineReader) -> Result<CommandItem, LineError>,
) -> Result<Vec<CommandItem>, LineError> {
    let mut items: Vec<CommandItem> = Vec::new();
    loop {
        let item = read(reader)?;
        if items.len() == MAX_ITEMS {
            return Err(reader.error_at_last(format!("a command has at most {MAX_ITEMS} items")));
        }
        if let Some(branch) = repeated_top_up(&items, &item) {
            let message = format!("`{branch}` is topped up twice in one command; add the amounts");
            return Err(reader.error_at_last(message));
        }
        items.push(item);
        if !reader.accepts_comma() {
            return Ok(items);
        }
    }
}

/// The branch of `item` if an earlier item tops it up too. The book identifies a top-up by the command's
/// id, so it would treat the second one as a repetition and not apply it.
fn repeated_top_up<'a>(items: &[CommandItem], item: &'a CommandItem) -> Option<&'a BranchName> {
    let CommandItem::TopUp { branch, .. } = item else { return None };
    let same = |earlier: &CommandItem| matches!(earlier, CommandItem::TopUp { branch: other, .. } if other == branch);
    items.iter().any(same).then_some(branch)
}

fn read_item(verb: LineVerb, reader: &mut LineReader) -> Result<CommandItem, LineError> {
    let item = match verb {
        LineVerb::TopUp => CommandItem::TopUp {
            branch: reader.value("a branch name")?,
            tokens: TokenCount(reader.number("a number of tokens", 1..=MAX_TOKENS)?),
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
