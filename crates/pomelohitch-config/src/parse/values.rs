//! Checked values of one table of a fleet file.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::KeyHash;
use toml::Spanned;
use toml::de::DeValue;

use crate::spec::{Field, Kind};

/// Length of a key hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;
/// Maximum number of decimals of a percentage; the fourth one counts parts per million.
const PERCENT_DECIMALS: usize = 4;

/// A value that the field doesn't allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InvalidValue {
    /// The value as shown in the fault.
    pub(super) display: Box<str>,
    /// Byte offset of the invalid part; `None` if that is the whole value.
    pub(super) at: Option<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Value {
    Integer(u64),
    Boolean(bool),
    Text(Box<str>),
    Keys(Vec<(KeyHash, usize)>),
    Ppm(u32),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    value: Value,
    at: usize,
}

/// The values of one table by field. A field that is invalid or missing reads as zero or empty; the
/// parser has recorded its fault by then and rejects the whole file.
#[derive(Debug, Clone, Default)]
pub(super) struct Values {
    by_name: BTreeMap<&'static str, Entry>,
}

impl Values {
    /// Checks a value of the file and stores it.
    pub(super) fn set(
        &mut self,
        field: &'static Field,
        value: &Spanned<DeValue<'_>>,
    ) -> Result<(), InvalidValue> {
        let at = value.span().start;
        let value = check(field.kind, value.get_ref()).map_err(|invalid| InvalidValue {
            display: invalid.display,
            at: invalid.at.or(Some(at)),
        })?;
        self.by_name.insert(field.name, Entry { value, at });
        Ok(())
    }

    /// Stores the default of a field that the file doesn't set.
    pub(super) fn set_default(&mut self, field: &'static Field, default: &str) {
        let value = DeValue::parse(default).expect("defaults in `spec` are valid TOML");
        let value = check(field.kind, value.get_ref())
            .expect("defaults in `spec` are valid for their field");
        self.by_name.insert(field.name, Entry { value, at: 0 });
    }

    /// Byte offset of a field's value; 0 for a default, `None` if the field has no value.
    pub(super) fn at(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).map(|entry| entry.at)
    }

    pub(super) fn integer(&self, name: &str) -> u32 {
        u32::try_from(self.integer_u64(name)).expect("all ranges in `spec` end below 2^32")
    }

    pub(super) fn millis(&self, name: &str) -> Duration {
        Duration::from_millis(self.integer_u64(name))
    }

    pub(super) fn boolean(&self, name: &str) -> bool {
        matches!(self.get(name), Some(Value::Boolean(true)))
    }

    pub(super) fn text(&self, name: &str) -> Box<str> {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => Box::default(),
        }
    }

    pub(super) fn ppm(&self, name: &str) -> u32 {
        match self.get(name) {
            Some(Value::Ppm(ppm)) => *ppm,
            _ => 0,
        }
    }

    /// Each key hash with its byte offset.
    pub(super) fn keys(&self, name: &str) -> impl Iterator<Item = (KeyHash, usize)> + use<> {
        let keys = match self.get(name) {
            Some(Value::Keys(keys)) => keys.clone(),
            _ => Vec::new(),
        };
        keys.into_iter()
    }

    fn integer_u64(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Value::Integer(number)) => *number,
            _ => 0,
        }
    }

    fn get(&self, name: &str) -> Option<&Value> {
        self.by_name.get(name).map(|entry| &entry.value)
    }
}

fn check(kind: Kind, value: &DeValue<'_>) -> Result<Value, InvalidValue> {
    let checked = match (kind, value) {
        (Kind::Integer { low, high }, DeValue::Integer(number)) => {
            u64::from_str_radix(number.as_str(), number.radix())
                .ok()
                .filter(|number| (low..=high).contains(number))
                .map(Value::Integer)
        }
        (Kind::Boolean, DeValue::Boolean(given)) => Some(Value::Boolean(*given)),
        (Kind::Id, DeValue::String(text)) if !text.is_empty() => {
            Some(Value::Text(text.as_ref().into()))
        }
        (Kind::KeyHashes, DeValue::Array(_)) => return check_keys(value),
        (Kind::Percent, DeValue::Integer(number)) => percent(number.as_str()),
        (Kind::Percent, DeValue::Float(number)) => percent(number.as_str()),
        _ => None,
    };
    checked.ok_or_else(|| InvalidValue {
        display: display_text(value),
        at: None,
    })
}

fn check_keys(value: &DeValue<'_>) -> Result<Value, InvalidValue> {
    let mut keys = Vec::new();
    for item in value.as_array().into_iter().flatten() {
        let at = item.span().start;
        let text = item.get_ref().as_str().unwrap_or_default();
        let is_hash = text.len() == KEY_HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hash {
            // The text may be a secret key pasted instead of its hash, so the fault omits it.
            return Err(InvalidValue {
                display: "[...] with an entry that isn't a hash".into(),
                at: Some(at),
            });
        }
        keys.push((text.to_ascii_lowercase().into(), at));
    }
    Ok(Value::Keys(keys))
}

/// Converts a percentage to parts per million; `None` if it has too many decimals or is out of
/// range. Parses the decimal digits directly: as a float, 99.9 would be slightly too small.
fn percent(text: &str) -> Option<Value> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    if decimals.len() > PERCENT_DECIMALS {
        return None;
    }
    let decimals = format!("{decimals:0<PERCENT_DECIMALS$}");
    let whole: u32 = whole.parse().ok()?;
    let decimals: u32 = decimals.parse().ok()?;
    let ppm = whole.checked_mul(PPM_PER_PERCENT)?.checked_add(decimals)?;
    (1..100 * PPM_PER_PERCENT)
        .contains(&ppm)
        .then_some(Value::Ppm(ppm))
}

fn display_text(value: &DeValue<'_>) -> Box<str> {
    match value {
        DeValue::String(text) => format!("{:?}", text.as_ref()).into(),
        DeValue::Integer(number) => number.as_str().into(),
        DeValue::Float(number) => number.as_str().into(),
        DeValue::Boolean(given) => given.to_string().into(),
        other => format!("({})", other.type_str()).into(),
    }
}
