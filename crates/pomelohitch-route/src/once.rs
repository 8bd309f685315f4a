//! Idempotency keys granted by their home (the member that is responsible for a key).
//!
//! A key is granted to one attempt of a request to claim it. The grant is *pending* until the member
//! that has the request reports that it sends it, and the key is *used* from then on. A pending
//! grant can be released, because the request certainly hasn't run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::MemberId;

use crate::queue::Monotonic;

/// Time for which a key is remembered after a request with it was granted.
pub const WINDOW: Duration = Duration::from_mins(2);
/// Maximum number of remembered keys. When it is reached new keys are refused, since forgetting a
/// key within its window could let a request run twice.
pub const MAX_KEYS: usize = 100_000;

/// A home's answer about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request may run: no other with this key was granted within the window.
    Granted,
    /// The key is granted to a request of this member that hasn't been sent as far as is known. It
    /// may still be released.
    Pending(MemberId),
    /// Another request with this key was sent within the window.
    Taken,
    /// The attempt has released the key before.
    Released,
    /// The maximum number of keys is reached.
    Full,
}

/// Granted keys for which this process is the home.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Keys {
    by_key: BTreeMap<Box<str>, Grant>,
    by_time: BTreeSet<(Monotonic, Box<str>)>,
    /// Attempts that released their key. A claim that arrives after its release, over another
    /// connection, would be granted and never released.
    released: BTreeSet<Box<str>>,
    released_by_time: BTreeSet<(Monotonic, Box<str>)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Grant {
    attempt: Box<str>,
    member: MemberId,
    is_used: bool,
    at: Monotonic,
}

impl Keys {
    /// Grants `key` to `attempt` of `member` if it is free. Within the window, the attempt that was
    /// granted is granted again when the call is repeated.
    pub fn grant(&mut self, key: &str, attempt: &str, member: &MemberId, now: Monotonic) -> Answer {
        if self.released.contains(attempt) {
            return Answer::Released;
        }
        let answer = self.check(key, attempt, now);
        if answer == Answer::Granted && !self.by_key.contains_key(key) {
            let grant = Grant {
                attempt: attempt.into(),
                member: member.clone(),
                is_used: false,
                at: now,
            };
            self.by_key.insert(key.into(), grant);
            self.by_time.insert((now, key.into()));
        }
        answer
    }

    /// The answer that [`Keys::grant`] would give, without a grant.
    pub fn check(&mut self, key: &str, attempt: &str, now: Monotonic) -> Answer {
        self.expire(now);
        match self.by_key.get(key) {
            Some(grant) if *grant.attempt == *attempt => Answer::Granted,
            Some(grant) if grant.is_used => Answer::Taken,
            Some(grant) => Answer::Pending(grant.member.clone()),
            None if self.by_key.len() >= MAX_KEYS => Answer::Full,
            None => Answer::Granted,
        }
    }

    /// Records that the request of `attempt` is being sent, so that no other one with `key` may run
    /// within the window.
    pub fn record_use(&mut self, key: &str, attempt: &str) {
        if let Some(grant) = self.by_key.get_mut(key)
            && *grant.attempt == *attempt
        {
            grant.is_used = true;
        }
    }

    /// Releases `key` because the request of `attempt` didn't run and won't under this attempt, so
    /// that another one with the key may.
    pub fn release(&mut self, key: &str, attempt: &str, now: Monotonic) {
        self.expire(now);
        if self.released.len() < MAX_KEYS && self.released.insert(attempt.into()) {
            self.released_by_time.insert((now, attempt.into()));
        }
        if let Some(grant) = self.by_key.get(key)
            && *grant.attempt == *attempt
        {
            let at = grant.at;
            self.by_key.remove(key);
            self.by_time.remove(&(at, key.into()));
        }
    }

    fn expire(&mut self, now: Monotonic) {
        while let Some((_, key)) = pop_expired(&mut self.by_time, now) {
            self.by_key.remove(&key);
        }
        while let Some((_, attempt)) = pop_expired(&mut self.released_by_time, now) {
            self.released.remove(&attempt);
        }
    }
}

/// Removes and returns the first entry that is older than the window.
fn pop_expired(
    entries: &mut BTreeSet<(Monotonic, Box<str>)>,
    now: Monotonic,
) -> Option<(Monotonic, Box<str>)> {
    let (at, _) = entries.first()?;
    if *at + WINDOW > now {
        return None;
    }
    entries.pop_first()
}
