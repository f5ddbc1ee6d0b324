//! The process's logger and its output.

use std::io::{self, BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Logger, log};

use crate::format::KeyValueFormatter;
use crate::{EventLine, LogLevel};

/// Writes the process's log to standard error.
pub fn start_log(level: LogLevel) {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(KeyValueFormatter)
        .build_arc()
        .expect("a sink on standard error opens no file");
    replace_logger(level, sink);
}

/// Writes the process's log to a writer, for programs that embed the fleet.
pub fn start_log_to<W: Write + Send + 'static>(level: LogLevel, writer: W) {
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(KeyValueFormatter)
        .build_arc()
        .expect("a sink on a writer opens no file");
    replace_logger(level, sink);
}

/// Capacity of the queue: the lines of some seconds in a busy process.
const QUEUE_LINES: usize = 8192;

/// The time that [`flush_log`] waits at most for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A command to the writer thread.
enum WriterCommand {
    /// Write this line.
    Line(Vec<u8>),
    /// Send a message once all lines before are written.
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<WriterCommand>> = OnceLock::new();

/// Writes the process's log to standard output through a bounded queue.
///
/// Guards against a reader of the log that stops reading: a process that writes to a full pipe
/// blocks in the middle of its requests. Here lines are dropped while the queue is full, and a
/// `log-dropped` line then reports their number.
///
/// # Errors
/// If the writer thread can't be started.
pub fn start_log_queued(level: LogLevel) -> io::Result<()> {
    let (sender, commands) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueueWriter { sender: sender.clone(), dropped: dropped.clone(), line: Vec::new() };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&commands, &dropped))?;
    // After a second start `flush_log` flushes the first queue only; both write to standard output.
    let _ = WRITER.set(sender);
    start_log_to(level, writer);
    Ok(())
}

/// Waits until the queued lines are written, at most 500 ms. To be called before the process ends.
pub fn flush_log() {
    let Some(writer) = WRITER.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if writer.try_send(WriterCommand::Flush(done)).is_ok() {
        // On a timeout the log isn't being read; the lines are lost.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Buffers bytes until a line is complete, and queues whole lines.
struct QueueWriter {
    sender: SyncSender<WriterCommand>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.sender.try_send(WriterCommand::Line(line)) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends. All queued lines are written together, then flushed.
fn write_lines(commands: &Receiver<WriterCommand>, dropped: &AtomicU64) {
    let mut output = BufWriter::new(io::stdout());
    while let Ok(first) = commands.recv() {
        let mut flushes = Vec::new();
        let mut result = Ok(());
        for command in std::iter::once(first).chain(commands.try_iter()) {
            match command {
                WriterCommand::Line(line) => result = result.and_then(|()| output.write_all(&line)),
                WriterCommand::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            result = result.and_then(|()| writeln!(output, "event=log-dropped lines={lost}"));
        }
        if result.and_then(|()| output.flush()).is_err() {
            // The reader of the log is gone, and there is no other output to report it to.
            return;
        }
        for done in flushes {
            // Fails if `flush_log` has timed out.
            let _ = done.try_send(());
        }
    }
}

/// Whether events of this level pass the log's level filter.
pub fn is_enabled(level: LogLevel) -> bool {
    spdlog::default_logger().should_log(level.to_library())
}

/// Writes an event to the process's log. Called by [`log_event!`](crate::log_event).
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
