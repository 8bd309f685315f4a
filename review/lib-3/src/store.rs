//! The platform's store: a log of keyed topics with one partition each, as PROTOCOL.md tells it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::quote;

/// Largest record and largest call, as the settings say.
pub const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const APPEND: Duration = Duration::from_millis(1);
/// Time to an answer.
const ANSWER: Duration = Duration::from_millis(3);

#[derive(Default)]
struct Log {
    /// Raw records after their four bytes of length.
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    epoch: u64,
    sequence: Option<u64>,
    answers: VecDeque<(u64, u64, u64, u64)>,
}

impl Log {
    fn push(&mut self, raw: Vec<u8>) {
        let offset = self.records.len() as u64;
        let key_end = 1 + raw[0] as usize;
        let (key, value) = (raw[1..key_end].to_vec(), raw[key_end..].to_vec());
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, value));
        }
        self.records.push(raw);
    }
}

#[derive(Default)]
pub struct Store {
    logs: Mutex<HashMap<String, Log>>,
    changed: Condvar,
    refused: Mutex<Vec<String>>,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::default()
    }

    /// What an operator or a runner writes; no value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut raw = vec![key.len() as u8];
        raw.extend(key.as_bytes());
        raw.extend(value.as_bytes());
        self.logs.lock().unwrap().entry(topic.into()).or_default().push(raw);
        self.changed.notify_all();
    }

    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let logs = self.logs.lock().unwrap();
        Some(logs.get(topic)?.newest.get(key.as_bytes())?.1.clone())
    }

    pub fn end(&self, topic: &str) -> u64 {
        let logs = self.logs.lock().unwrap();
        logs.get(topic).map_or(0, |l| l.records.len() as u64)
    }

    /// Appends that were refused because they break a limit of the store, with the reason.
    pub fn take_refused(&self) -> Vec<String> {
        std::mem::take(&mut self.refused.lock().unwrap())
    }

    pub fn answer(&self, req: &Request) -> Reply {
        std::thread::sleep(ANSWER);
        let topic = req.param("topic").unwrap_or_default();
        match req.path.as_str() {
            "/-/log-append" => self.append(&topic, req),
            "/-/log-read" => self.read(&topic, req),
            "/-/log-newest" => self.newest(&topic, req),
            _ => Reply::Json(404, "{}".into()),
        }
    }

    fn refuse(&self, topic: &str, why: String) -> Reply {
        let text = format!("append to {topic} refused: {why}");
        self.refused.lock().unwrap().push(text);
        Reply::Json(400, format!("{{\"error\":{}}}", quote(&why)))
    }

    fn append(&self, topic: &str, req: &Request) -> Reply {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Reply::Json(403, "{}".into());
        }
        if req.body.len() > CALL_BYTES {
            return self.refuse(topic, format!("a call of {} bytes", req.body.len()));
        }
        let mut raw = Vec::new();
        let mut rest = &req.body[..];
        while !rest.is_empty() {
            let Some((length, tail)) = rest.split_first_chunk::<4>() else {
                return self.refuse(topic, "records are cut short".into());
            };
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, tail)) = tail.split_at_checked(length) else {
                return self.refuse(topic, "records are cut short".into());
            };
            if length > RECORD_BYTES {
                let key = record.get(1..1 + record[0] as usize).unwrap_or_default();
                let key = String::from_utf8_lossy(key).into_owned();
                return self.refuse(topic, format!("record {key} of {length} bytes"));
            }
            if length == 0 || 1 + record[0] as usize > length {
                return self.refuse(topic, "a record without a key".into());
            }
            raw.push(record.to_vec());
            rest = tail;
        }
        let mut logs = self.logs.lock().unwrap();
        std::thread::sleep(APPEND);
        let log = logs.entry(topic.into()).or_default();
        let end = log.records.len() as u64;
        if let Some(at) = req.number("at")
            && at != end
        {
            return Reply::Json(412, format!("{{\"end\":{end}}}"));
        }
        let of_epoch = req.number("epoch").zip(req.number("seq_no"));
        if let Some((epoch, sequence)) = of_epoch {
            if epoch < log.epoch {
                return Reply::Json(409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch > log.epoch {
                log.epoch = epoch;
                log.sequence = None;
                log.answers.clear();
            }
            let repeat = log.answers.iter().find(|a| (a.0, a.1) == (epoch, sequence));
            if let Some(&(_, _, offset, end)) = repeat {
                return Reply::Json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            let expected = log.sequence.map(|s| s + 1);
            if !raw.is_empty() {
                if let Some(expected) = expected.filter(|e| *e != sequence) {
                    let text = format!("{{\"reason\":\"seq\",\"expected\":{expected}}}");
                    return Reply::Json(409, text);
                }
                log.sequence = Some(sequence);
            }
        }
        for record in raw {
            log.push(record);
        }
        let after = log.records.len() as u64;
        if let Some((epoch, sequence)) = of_epoch {
            log.answers.push_back((epoch, sequence, end, after));
            while log.answers.len() > 5 {
                log.answers.pop_front();
            }
        }
        self.changed.notify_all();
        Reply::Json(200, format!("{{\"offset\":{end},\"end\":{after}}}"))
    }

    fn read(&self, topic: &str, req: &Request) -> Reply {
        let from = req.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(req.number("wait_ms").unwrap_or(0).min(30_000));
        let most = req.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut logs = self.logs.lock().unwrap();
        loop {
            let log = logs.entry(topic.into()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if log.records.len() > from || left.is_zero() {
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply::Bytes(200, body);
            }
            logs = self.changed.wait_timeout(logs, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, req: &Request) -> Reply {
        let after = req.param("after").map(String::into_bytes);
        let mut logs = self.logs.lock().unwrap();
        let log = logs.entry(topic.into()).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &log.newest {
            if after.as_ref().is_some_and(|a| key <= a) {
                continue;
            }
            if items.len() == 500 || (bytes + value.len() > 1_000_000 && !items.is_empty()) {
                more = true;
                break;
            }
            bytes += value.len();
            let key = quote(&String::from_utf8_lossy(key));
            let value = base64(value);
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), log.records.len());
        Reply::Json(200, format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit > part.len() {
                out.push('=');
            } else {
                out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            }
        }
    }
    out
}
