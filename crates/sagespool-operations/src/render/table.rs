//! Plain columns.

use chrono::{DateTime, SecondsFormat};
use comfy_table::{CellAlignment, Table, presets};
use sagespool_types::WallTime;

/// A table of columns, without lines. Columns named in `numbers` are set to the right.
pub(super) fn column_table(
    header: &[&str],
    numbers: &[usize],
    rows: impl IntoIterator<Item = Vec<String>>,
) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    for (place, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if numbers.contains(&place) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

/// A value, or `-`.
pub(super) fn show_option<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// A wall-clock time in UTC, to the millisecond.
pub(super) fn show_time(at: WallTime) -> String {
    let time = i64::try_from(at.0).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| at.to_string(), |time| time.to_rfc3339_opts(SecondsFormat::Millis, true))
}
