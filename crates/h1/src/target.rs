//! Targets of requests and the addresses in them.

/// The authority of an absolute target, if it is one, and the path without
/// query; `None` for a target with neither.
pub fn split(target: &str) -> Option<(Option<&str>, &str)> {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    let whole = &target[..end];
    if whole.starts_with('/') {
        return Some((None, whole));
    }
    let (scheme, rest) = whole.split_once("://")?;
    if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
        return None;
    }
    let slash = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(slash);
    if authority.is_empty() || authority.contains('@') {
        return None;
    }
    Some((Some(authority), if path.is_empty() { "/" } else { path }))
}

/// The host of an authority.
pub fn without_port(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        // A colon inside the brackets of an IPv6 address begins no port.
        Some((host, port)) if !port.contains(']') => host,
        _ => authority,
    }
}

/// Percent-encodes text for a query.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out += &format!("%{byte:02X}");
        }
    }
    out
}
