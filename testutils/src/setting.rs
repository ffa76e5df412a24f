//! Settings of long runs by hand, from environment variables.

use std::ops::Range;
use std::str::FromStr;

/// The text of a variable; `default` if it is not set.
pub fn text(variable: &str, default: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| default.to_owned())
}

/// The number in a variable; `default` if it is not set.
///
/// # Panics
///
/// If it is no such number.
///
/// ```
/// use spokelift_testutils::setting;
/// assert_eq!(setting::number("SPOKELIFT_NOT_SET", 8), 8);
/// ```
pub fn number<Number: FromStr>(variable: &str, default: Number) -> Number {
    let Ok(text) = std::env::var(variable) else { return default };
    parse(variable, &text)
}

/// The numbers in a variable, as `FIRST..END`; `default` if it is not set.
///
/// # Panics
///
/// If it is no such range.
///
/// ```
/// use spokelift_testutils::setting;
/// assert_eq!(setting::range("SPOKELIFT_NOT_SET", 1..3), 1..3);
/// ```
pub fn range(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else { return default };
    let Some((first, end)) = text.split_once("..") else {
        panic!("{variable} is FIRST..END, not {text}");
    };
    parse(variable, first)..parse(variable, end)
}

fn parse<Number: FromStr>(variable: &str, text: &str) -> Number {
    text.parse().unwrap_or_else(|_| panic!("{variable} has {text} in place of a number"))
}
