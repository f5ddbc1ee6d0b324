//! Prints the account report, the loss report and the arrival report of gateway logs:
//! `day_report FILE...`, or logs on standard input. A line's gateway is the word that a log collector put
//! before it, or else its file.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};

use sagespool_report::{AccountReport, ArrivalReport, LogLine, LossReport};

#[derive(Default)]
struct DayReport {
    accounts: AccountReport,
    losses: LossReport,
    arrivals: ArrivalReport,
}

impl DayReport {
    fn read(&mut self, source: impl BufRead, name: &str) -> io::Result<()> {
        for text in source.split(b'\n') {
            let text = text?;
            if let Some(line) = LogLine::parse(&String::from_utf8_lossy(&text)) {
                self.accounts.add_line(line);
                self.losses.add_line(line);
                self.arrivals.add_line(line.source().unwrap_or(name), line);
            }
        }
        Ok(())
    }
}

fn main() -> io::Result<()> {
    let mut report = DayReport::default();
    let files: Vec<String> = std::env::args().skip(1).collect();
    if files.is_empty() {
        report.read(io::stdin().lock(), "standard input")?;
    }
    for file in files {
        let source =
            File::open(&file).map_err(|error| io::Error::other(format!("{file}: {error}")))?;
        report.read(BufReader::new(source), &file)?;
    }
    let DayReport { accounts, losses, arrivals } = report;
    writeln!(io::stdout(), "{accounts}\n{losses}\n{arrivals}")
}
