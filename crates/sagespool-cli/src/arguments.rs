//! Reading the arguments of the command line.

use error_stack::Report;
use gumdrop::Options;
use sagespool_operations::nearest_of;

use crate::error::CommandError;

/// How a command is called: its synopsis, and where its help is.
pub struct CommandUsage {
    /// What to type, without the options.
    pub synopsis: &'static str,
    /// What a person can do after a wrong option.
    pub help: &'static str,
}

/// Reads arguments; nothing if they ask for the help, which is printed on the standard
/// error then.
///
/// # Errors
///
/// [`CommandError::Options`] with the option that may have been meant.
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

/// The option most like the one that a fault of gumdrop's quotes, if that is none.
fn nearest_option<T: Options>(message: &str) -> Option<String> {
    let quoted = message.strip_prefix("unrecognized option `")?.strip_suffix('`')?;
    let known: Vec<&str> =
        T::usage().split_whitespace().filter(|word| word.starts_with("--")).collect();
    nearest_of(quoted, &known)
}
