//! Parses command line arguments.

use error_stack::Report;
use gumdrop::Options;
use sagespool_operations::nearest_of;

use crate::error::CommandError;

/// The usage texts of a command.
pub struct CommandUsage {
    /// The command line, without the options.
    pub synopsis: &'static str,
    /// Shown after an invalid option.
    pub help: &'static str,
}

/// Parses arguments. Returns `None` after printing the help to standard error, if it was requested.
///
/// # Errors
///
/// [`CommandError::Options`] with the most similar known option.
pub fn read_arguments<T: Options>(
    usage: &CommandUsage,
    arguments: &[String],
) -> Result<Option<T>, Report<CommandError>> {
    let options = T::parse_args_default(arguments).map_err(|error| {
        let message = error.to_string();
        let nearest = nearest_option::<T>(&message);
        Report::new(CommandError::Options { message, nearest, help: usage.help })
    })?;
    if options.help_requested() {
        eprintln!("Usage: {}\n\n{}", usage.synopsis, T::usage());
        return Ok(None);
    }
    Ok(Some(options))
}

/// The known option most similar to an unrecognized one in gumdrop's error message.
fn nearest_option<T: Options>(message: &str) -> Option<String> {
    let quoted = message.strip_prefix("unrecognized option `")?.strip_suffix('`')?;
    let known: Vec<&str> =
        T::usage().split_whitespace().filter(|word| word.starts_with("--")).collect();
    nearest_of(quoted, &known)
}
