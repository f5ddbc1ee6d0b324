//! Ends the process together with the one that started it.

use std::io;
use std::thread;

/// Exit code: standard input closed.
const EXIT_STDIN_CLOSED: i32 = 4;

/// Ends this process without a graceful stop when standard input closes.
///
/// A test harness holds the other end. If the harness is killed, its processes would otherwise go on
/// and call addresses that other processes use by then.
///
/// # Errors
///
/// If the thread that reads standard input can't be started.
pub fn end_with_stdin() -> io::Result<()> {
    let reader = thread::Builder::new().name("stdin".to_owned());
    reader.spawn(|| {
        // An error means that there is no standard input to wait for.
        let _ = io::copy(&mut io::stdin().lock(), &mut io::sink());
        std::process::exit(EXIT_STDIN_CLOSED);
    })?;
    Ok(())
}
