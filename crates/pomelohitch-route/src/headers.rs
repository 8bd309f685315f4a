//! Header fields, and which of them are forwarded.

/// Header names and values in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(Box<str>, Box<str>)>,
}

/// Headers that apply to a single connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
];

/// Headers that end at the entry, which consumes them or sets them anew.
///
/// `Authorization` is among them because a runner that received the key could act as the team.
const OWN: [&str; 9] = [
    "Authorization",
    "Content-Length",
    "Expect",
    "Host",
    "Request-Id",
    "Request-Ran",
    "Request-Service",
    "Request-Team",
    "Request-Timeout-Ms",
];

impl Headers {
    /// Appends a header, without whitespace around its value.
    pub fn add(&mut self, name: &str, value: &str) {
        self.fields.push((name.into(), value.trim().into()));
    }

    /// Returns the first value of `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Returns all values of `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let fields = self.fields.iter();
        fields
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Whether the comma-separated list `name` contains `token`.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|list| list.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Iterates over all headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns the headers to forward: all but hop-by-hop headers and those of the entry.
    #[must_use]
    pub fn end_to_end(&self) -> Headers {
        let passes = |name: &str| {
            let is_listed = |names: &[&str]| names.iter().any(|n| n.eq_ignore_ascii_case(name));
            !is_listed(&HOP_BY_HOP) && !is_listed(&OWN) && !self.has_token("Connection", name)
        };
        let fields = self.fields.iter();
        Headers {
            fields: fields.filter(|(name, _)| passes(name)).cloned().collect(),
        }
    }
}
