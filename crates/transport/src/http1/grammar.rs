//! Grammar of HTTP/1.1 heads (RFC 9110 and 9112), as far as the parsers in use leave it open.

/// Least and greatest status code.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// Whether a status code is one that a response may have.
pub fn is_status(status: u16) -> bool {
    STATUS_CODES.contains(&status)
}

/// Whether a line, without its end, is a field: a token, a colon and a value.
pub fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte)) && is_text(value)
}

/// Whether bytes hold no control byte other than a tab.
pub fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
