//! Prints the account report and the loss report of gateway logs: `day_report FILE...`, or logs on
//! standard input.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};

use sagespool_report::{AccountReport, LogLine, LossReport};

fn read(
    source: impl BufRead,
    accounts: &mut AccountReport,
    losses: &mut LossReport,
) -> io::Result<()> {
    for text in source.split(b'\n') {
        let text = text?;
        if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&text)) {
            accounts.add_line(line);
            losses.add_line(line);
        }
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let (mut accounts, mut losses) = (AccountReport::default(), LossReport::default());
    let files: Vec<String> = std::env::args().skip(1).collect();
    if files.is_empty() {
        read(io::stdin().lock(), &mut accounts, &mut losses)?;
    }
    for file in files {
        let source =
            File::open(&file).map_err(|error| io::Error::other(format!("{file}: {error}")))?;
        read(BufReader::new(source), &mut accounts, &mut losses)?;
    }
    writeln!(io::stdout(), "{accounts}\n{losses}")
}
