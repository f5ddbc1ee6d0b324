//! Where a process's log goes.

use std::io::{self, BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Logger, log};

use crate::format::PairFormatter;
use crate::{EventLine, LogLevel};

/// Sends the process's log to standard error.
pub fn start_log(level: LogLevel) {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink on standard error has nothing to open");
    replace_logger(level, sink);
}

/// Sends the process's log to a writer, for programs that embed the fleet.
pub fn start_log_to<W: Write + Send + 'static>(level: LogLevel, writer: W) {
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink on a writer has nothing to open");
    replace_logger(level, sink);
}

/// Lines that may wait for the standard output: some seconds of a busy process.
const WAITING_LINES: usize = 8192;

/// The longest that the end of a process waits for its last lines.
const FINISH_LIMIT: Duration = Duration::from_millis(500);

/// What the thread that writes is told.
enum WriterOrder {
    /// Write a line.
    Line(Vec<u8>),
    /// Say when everything before is written.
    Finish(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<WriterOrder>> = OnceLock::new();

/// Sends the process's log to standard output through a bounded queue.
///
/// Guards against a reader of the log that stops reading: with a full pipe, a process that writes
/// by itself stands still in the middle of its requests. Here lines that find the queue full are
/// dropped, and the next line that is written tells how many.
///
/// # Errors
/// If the thread that writes can't be started.
pub fn start_log_queued(level: LogLevel) -> io::Result<()> {
    let (sender, orders) = sync_channel(WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueueWriter { sender: sender.clone(), dropped: dropped.clone(), line: Vec::new() };
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&orders, &dropped))?;
    // A second start keeps the first one's queue for `flush_log`; both write to the same place.
    let _ = WRITER.set(sender);
    start_log_to(level, writer);
    Ok(())
}

/// Waits, not for long, until the queued lines are written. For the end of a process.
pub fn flush_log() {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if writer.try_send(WriterOrder::Finish(done)).is_ok() {
        // Without an answer nobody reads the log.
        let _ = written.recv_timeout(FINISH_LIMIT);
    }
}

/// Collects bytes up to a line's end, and queues whole lines.
struct QueueWriter {
    sender: SyncSender<WriterOrder>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.sender.try_send(WriterOrder::Line(line)) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends. What waits is written together, then flushed.
fn write_lines(orders: &Receiver<WriterOrder>, dropped: &AtomicU64) {
    let mut output = BufWriter::new(io::stdout());
    while let Ok(first) = orders.recv() {
        let mut finished = Vec::new();
        let mut result = Ok(());
        for order in std::iter::once(first).chain(orders.try_iter()) {
            match order {
                WriterOrder::Line(line) => result = result.and_then(|()| output.write_all(&line)),
                WriterOrder::Finish(done) => finished.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            result = result.and_then(|()| writeln!(output, "event=log-dropped lines={lost}"));
        }
        if result.and_then(|()| output.flush()).is_err() {
            // Nobody reads the log any more, and there is nowhere else to say so.
            return;
        }
        for done in finished {
            // Whoever asked may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}

/// Whether events of a level are logged.
pub fn is_enabled(level: LogLevel) -> bool {
    spdlog::default_logger().should_log(level.to_library())
}

/// Writes an event to the process's log. [`log_event!`](crate::log_event) calls it.
pub fn write_event(level: LogLevel, line: &EventLine) {
    log!(level.to_library(), "{}", line.as_str());
}

fn replace_logger(level: LogLevel, sink: Arc<dyn Sink>) {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level.to_filter())
        .build_arc()
        .expect("a logger without a name is always valid");
    spdlog::set_default_logger(logger);
}
