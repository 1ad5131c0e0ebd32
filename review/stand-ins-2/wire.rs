//! Base64, and the few JSON fields that the stand-ins read.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            let index = (bits >> (18 - 6 * position)) & 63;
            let is_padding = position > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                ALPHABET[index as usize] as char
            });
        }
    }
    text
}

/// Decodes base64 with padding; none if the text is not base64.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|&byte| byte != b'=') {
        let value = ALPHABET.iter().position(|&letter| letter == byte)?;
        bits = (bits << 6) | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    Some(bytes)
}

/// The text after `"name":` in a line of JSON, up to the end of a number or string.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let marker = format!("\"{name}\":");
    let start = line.find(&marker)? + marker.len();
    let rest = line[start..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim())
}
