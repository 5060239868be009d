//! Layouts of PostgreSQL message bodies, checked before `pgwire` decodes them.
//!
//! `pgwire` 0.42 panics on truncated bodies, so one malformed message could end a host's process.

/// One part of the layout of a message body.
enum Part {
    /// A string terminated by a zero byte.
    Text,
    /// A fixed number of bytes.
    Bytes(usize),
    /// A 32-bit length and that many bytes; a length of -1 stands for NULL, without bytes.
    LengthPrefixed,
    /// A 16-bit count and that many repetitions of the given parts.
    Repeated(&'static [Part]),
    /// All remaining bytes.
    Rest,
}

const PARSE: &[Part] = &[Part::Text, Part::Text, Part::Repeated(&[Part::Bytes(4)])];
const BIND: &[Part] = &[
    Part::Text,
    Part::Text,
    Part::Repeated(&[Part::Bytes(2)]),
    Part::Repeated(&[Part::LengthPrefixed]),
    Part::Repeated(&[Part::Bytes(2)]),
];
const DESCRIBE_OR_CLOSE: &[Part] = &[Part::Bytes(1), Part::Text];
const QUERY: &[Part] = &[Part::Text];
const SASL_INITIAL: &[Part] = &[Part::Text, Part::LengthPrefixed];
const UNCHECKED: &[Part] = &[Part::Rest];

/// Whether the body of a caller's message has the layout of its type. Types that `pgwire` does not
/// decode for the proxy are not checked.
pub fn is_well_formed(tag: u8, body: &[u8]) -> bool {
    let parts = match tag {
        b'P' => PARSE,
        b'B' => BIND,
        b'D' | b'C' => DESCRIBE_OR_CLOSE,
        b'Q' => QUERY,
        _ => UNCHECKED,
    };
    matches_layout(parts, body)
}

/// Whether the body has the layout of a `SASLInitialResponse`.
pub fn is_sasl_initial(body: &[u8]) -> bool {
    matches_layout(SASL_INITIAL, body)
}

/// Whether the body is a sequence of pairs of a type byte and a string, ended by a zero byte, as in
/// `ErrorResponse`.
pub fn is_field_list(mut body: &[u8]) -> bool {
    loop {
        match body {
            [0] => return true,
            [] | [0, ..] => return false,
            [_, rest @ ..] => match skip_part(&Part::Text, rest) {
                Some(rest) => body = rest,
                None => return false,
            },
        }
    }
}

fn matches_layout(parts: &[Part], body: &[u8]) -> bool {
    let rest = parts.iter().try_fold(body, |body, part| skip_part(part, body));
    rest.is_some_and(<[u8]>::is_empty)
}

/// The rest of the body after `part`; `None` if the body does not start with it.
fn skip_part<'a>(part: &Part, body: &'a [u8]) -> Option<&'a [u8]> {
    match part {
        Part::Text => {
            let end = body.iter().position(|byte| *byte == 0)?;
            body.get(end + 1..)
        }
        Part::Bytes(count) => body.get(*count..),
        Part::LengthPrefixed => {
            let (length, rest) = body.split_first_chunk::<4>()?;
            match i32::from_be_bytes(*length) {
                -1 => Some(rest),
                length => rest.get(usize::try_from(length).ok()?..),
            }
        }
        Part::Repeated(parts) => {
            let (count, mut rest) = body.split_first_chunk::<2>()?;
            for _ in 0..u16::from_be_bytes(*count) {
                rest = parts.iter().try_fold(rest, |rest, part| skip_part(part, rest))?;
            }
            Some(rest)
        }
        Part::Rest => Some(&[]),
    }
}
