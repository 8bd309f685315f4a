//! The platform's metadata store: a log of keyed topics, with the limits of the pages.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};

/// Limits of `platform` in the settings.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
/// A page of newest records holds at most so many, or so many bytes of values.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const REPEATS: usize = 5;
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    epoch: u64,
    sequence: Option<u64>,
    answers: VecDeque<(u64, u64)>,
}

impl Topic {
    fn push(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let length = record.first().map_or(0, |l| usize::from(*l));
        if let Some(key) = record.get(1..1 + length) {
            let key = String::from_utf8_lossy(key).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Appends that were refused because of their size: when and what.
    pub refused: Mutex<Vec<String>>,
}

impl Store {
    /// Writes a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        topics.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    pub fn answer(&self, req: &Request) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let topic = req.param("topic").unwrap_or_default();
        match req.path.as_str() {
            "/-/log-append" => self.append(&topic, req),
            "/-/log-read" => self.read(&topic, req),
            "/-/log-newest" => self.newest(&topic, req),
            _ => Reply::json(404, "{}"),
        }
    }

    fn append(&self, name: &str, req: &Request) -> Reply {
        if matches!(name, "keyed.op" | "keyed.servers") {
            return Reply::json(403, "{}");
        }
        let mut records = Vec::new();
        let (mut rest, mut total) = (&req.body[..], 0);
        while !rest.is_empty() {
            let Some((length, tail)) = rest.split_first_chunk::<4>() else {
                return Reply::json(400, "{}");
            };
            let length = u32::from_be_bytes(*length) as usize;
            if tail.len() < length {
                return Reply::json(400, "{}");
            }
            total += length;
            if length > RECORD_BYTES || total > CALL_BYTES {
                let key = tail
                    .get(1..18)
                    .map(String::from_utf8_lossy)
                    .unwrap_or_default();
                let text = format!("append to {name} refused: record {key:?} of {length} bytes");
                self.refused
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(text);
                return Reply::json(413, "{}");
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if req.number("at").is_some_and(|at| at != end) {
            return Reply::json(412, format!("{{\"end\":{end}}}"));
        }
        if let (Some(epoch), Some(sequence)) = (req.number("epoch"), req.number("seq_no")) {
            if epoch < topic.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}");
            }
            let expected = topic.sequence.map_or(0, |s| s + 1);
            if epoch > topic.epoch {
                topic.epoch = epoch;
                topic.answers.clear();
            } else if topic.sequence.is_some() && sequence != expected {
                let known = topic.answers.iter().find(|(s, _)| *s == sequence);
                return match known {
                    Some((_, at)) => Reply::json(200, format!("{{\"offset\":{at},\"end\":{end}}}")),
                    None => Reply::json(
                        409,
                        format!("{{\"reason\":\"seq\",\"expected\":{expected}}}"),
                    ),
                };
            }
            topic.sequence = Some(sequence);
            topic.answers.push_back((sequence, end));
            if topic.answers.len() > REPEATS {
                topic.answers.pop_front();
            }
        }
        for record in records {
            topic.push(record);
        }
        let new_end = topic.records.len();
        self.changed.notify_all();
        Reply::json(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, name: &str, req: &Request) -> Reply {
        let from = req.number("from").unwrap_or(0) as usize;
        let most = req.number("max_kb").unwrap_or(1024) as usize * 1024;
        let wait = Duration::from_millis(req.number("wait_ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.get(from..).unwrap_or_default() {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply::Full(200, body);
            }
            let waited = self.changed.wait_timeout(topics, left);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, name: &str, req: &Request) -> Reply {
        let after = req.param("after");
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = topics.entry(name.to_owned()).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|a| key <= a) {
                continue;
            }
            if items.len() >= PAGE_RECORDS
                || (!items.is_empty() && bytes + value.len() > PAGE_BYTES)
            {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                crate::json::quote(key),
                base64(value)
            ));
        }
        let end = topic.records.len();
        let items = items.join(",");
        Reply::json(
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let value = (number >> (18 - 6 * digit)) & 63;
            out.push(if digit <= chunk.len() {
                DIGITS[value as usize] as char
            } else {
                '='
            });
        }
    }
    out
}
