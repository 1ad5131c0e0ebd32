//! What readers of the operator's file share: the line of a place, and bounds.

use toml::Spanned;

/// Names the line of a place in the text.
pub fn line(text: &str, at: usize, what: &str) -> String {
    let line = text.bytes().take(at).filter(|&b| b == b'\n').count() + 1;
    format!("line {line}: {what}")
}

/// The value of a key that may be left out, if it is within bounds.
pub fn within<T: Copy + PartialOrd + std::fmt::Display>(
    text: &str,
    key: &str,
    value: Option<Spanned<T>>,
    usual: T,
    [least, most]: [T; 2],
) -> Result<T, String> {
    let Some(value) = value else { return Ok(usual) };
    let given = *value.get_ref();
    if (least..=most).contains(&given) {
        return Ok(given);
    }
    Err(line(
        text,
        value.span().start,
        &format!("{key} = {given}: it lies from {least} to {most}"),
    ))
}
