//! A small JSON reader and writer.

use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn num(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Num(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => write!(f, "{}", quote(s)),
            Json::Arr(list) => {
                write!(f, "[")?;
                for (i, v) in list.iter().enumerate() {
                    write!(f, "{}{v}", if i > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Obj(fields) => {
                write!(f, "{{")?;
                for (i, (k, v)) in fields.iter().enumerate() {
                    write!(f, "{}{}:{v}", if i > 0 { "," } else { "" }, quote(k))?;
                }
                write!(f, "}}")
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn eat(b: &[u8], at: &mut usize, word: &str) -> Option<()> {
    let end = *at + word.len();
    (b.get(*at..end)? == word.as_bytes()).then(|| *at = end)
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'n' => eat(b, at, "null").map(|()| Json::Null),
        b't' => eat(b, at, "true").map(|()| Json::Bool(true)),
        b'f' => eat(b, at, "false").map(|()| Json::Bool(false)),
        b'"' => string(b, at).map(Json::Str),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(b, at);
                if b.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::Arr(list));
                }
                if !list.is_empty() {
                    eat(b, at, ",")?;
                }
                list.push(value(b, at)?);
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(b, at);
                if b.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                if !fields.is_empty() {
                    eat(b, at, ",")?;
                    space(b, at);
                }
                let key = string(b, at)?;
                space(b, at);
                eat(b, at, ":")?;
                fields.push((key, value(b, at)?));
            }
        }
        _ => {
            let start = *at;
            while b
                .get(*at)
                .is_some_and(|c| matches!(c, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'))
            {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    eat(b, at, "\"")?;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        out.extend(c.to_string().bytes());
                    }
                    c => out.push(c),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}
