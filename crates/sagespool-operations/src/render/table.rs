//! Tables of plain columns.

use chrono::{DateTime, SecondsFormat};
use comfy_table::{CellAlignment, Table, presets};
use sagespool_types::WallTime;

/// Renders a table without borders. The columns with the indices in `numbers` are right-aligned.
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
    for (index, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if numbers.contains(&index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

/// Renders a value, or `-` for `None`.
pub(super) fn show_option<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Renders a wall-clock time in UTC with milliseconds, or the plain number if it is out of range.
pub(super) fn show_time(at: WallTime) -> String {
    let time = i64::try_from(at.0).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| at.to_string(), |time| time.to_rfc3339_opts(SecondsFormat::Millis, true))
}
