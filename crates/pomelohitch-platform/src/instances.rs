//! The platform's instances: their list, which lags behind, and operations on them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, Offset, PoolId, RackId, Timestamp, ZoneId};
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::http::Client;

/// State of an instance, as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It accepts work.
    Live,
    /// It gets no new work and finishes what it has.
    Draining,
    /// It is drained: nothing runs on it.
    Drained,
    /// It is rebooting.
    Rebooting,
    /// The platform is removing it.
    Leaving,
    /// It failed.
    Down,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its id.
    pub id: InstanceId,
    /// The pool that it belongs to according to the platform.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Address where it accepts requests.
    pub addr: SocketAddr,
    /// Its state.
    pub state: ListedState,
}

/// The list of instances at some time in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The time of the list.
    #[serde(rename = "as_of_ms", with = "pomelohitch_core::millis")]
    pub as_of: Timestamp,
    /// The instances.
    pub instances: Vec<Listed>,
}

/// An operation on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Stop giving it new work, and let it finish what it has.
    Drain,
    /// Cancel a drain.
    Undrain,
    /// Reboot it.
    Reboot,
    /// Move it to this pool.
    Move(PoolId),
}

/// An operation on an instance, as requested from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The instance.
    pub instance: InstanceId,
    /// The offset of the decision that requests it, which makes repeated requests idempotent.
    pub op: Offset,
    /// The operation.
    pub action: Action,
}

/// Whether an operation is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It is complete.
    Done,
    /// It is still in progress; request it again later.
    Pending,
}

/// Returns the list of instances.
pub type ListFn = Box<dyn Fn() -> Result<List> + Send + Sync>;
/// Requests an operation, or asks for its progress if it was requested before.
pub type ApplyFn = Box<dyn Fn(&Effect) -> Result<Progress> + Send + Sync>;

/// A client of the platform's instances.
pub struct Instances {
    /// Returns the list of instances.
    pub list: ListFn,
    /// Requests an operation, or asks for its progress if it was requested before.
    pub apply: ApplyFn,
}

impl fmt::Debug for Instances {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Instances")
    }
}

#[derive(Serialize)]
struct ApplyBody<'a> {
    op: Offset,
    #[serde(skip_serializing_if = "Option::is_none")]
    pool: Option<&'a str>,
}

#[derive(Deserialize)]
struct ApplyAnswer {
    done: bool,
}

impl Instances {
    /// A client of the platform at `base`; `timeout` applies to each call.
    #[must_use]
    pub fn http(base: &str, timeout: Duration) -> Instances {
        let list_client = Client::new(base, timeout);
        let apply_client = list_client.clone();
        Instances {
            list: Box::new(move || list_client.get("list instances", "/instances")),
            apply: Box::new(move |effect| apply_http(&apply_client, effect)),
        }
    }
}

fn apply_http(client: &Client, effect: &Effect) -> Result<Progress> {
    let (verb, pool) = match &effect.action {
        Action::Drain => ("drain", None),
        Action::Undrain => ("undrain", None),
        Action::Reboot => ("reboot", None),
        Action::Move(pool) => ("move", Some(&**pool)),
    };
    let path = format!("/instances/{}/{verb}", effect.instance);
    let body = ApplyBody {
        op: effect.op,
        pool,
    };
    let ApplyAnswer { done } = client.post("change instance", &path, &body)?;
    Ok(if done {
        Progress::Done
    } else {
        Progress::Pending
    })
}
