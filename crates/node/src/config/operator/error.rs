//! Errors of the operator file, with their line.

use std::fmt::Display;
use toml::Spanned;

/// Why an operator file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// A value or a key on one line.
    #[error("line {line}: {message}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// An invalid pool, where no single line is wrong.
    #[error("pool {pool}: {message}")]
    Pool {
        /// The pool's name.
        pool: String,
        /// Description of the error.
        message: String,
    },
}

impl FileError {
    /// An error at an offset in the file's text, in bytes.
    pub fn at(text: &str, offset: usize, message: impl Display) -> FileError {
        let before = text.bytes().take(offset);
        FileError::Line {
            line: before.filter(|&byte| byte == b'\n').count() + 1,
            message: message.to_string(),
        }
    }
}

/// The value of an optional key, which has to lie from `min` to `max`.
pub fn within<T: Copy + PartialOrd + Display>(
    text: &str,
    key: &str,
    value: Option<Spanned<T>>,
    default: T,
    [min, max]: [T; 2],
) -> Result<T, FileError> {
    let Some(value) = value else {
        return Ok(default);
    };
    let given = *value.get_ref();
    if (min..=max).contains(&given) {
        return Ok(given);
    }
    let message = format!("{key} = {given}: not from {min} to {max}");
    Err(FileError::at(text, value.span().start, message))
}
