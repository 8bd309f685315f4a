//! Batches of permit requests and claims as plain types, with their encoding.

use pomelohitch_core::id::{Incarnation, MemberId, Offset};
use pomelohitch_permits::{Ask, Load, Reply, Resource};

use crate::link_capnp;
use crate::message::Result;

/// Requests and load reports that a member sends to the home of some resources.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Id of the sender.
    pub member: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Epoch of the membership from which the sender determined the home.
    pub epoch: Offset,
    /// Permit requests; all have the member, incarnations and epoch of the batch.
    pub asks: Vec<Ask>,
    /// Resources of which the receiver holds more than its part while another member needs permits.
    /// These are hints.
    pub recalls: Vec<Resource>,
    /// The sender's complete load; replaces its earlier reports.
    pub loads: Vec<Load>,
    /// The first incarnation of the sender's process.
    pub since: Incarnation,
}

/// A home's answer to a [`Batch`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replies {
    /// Epoch of the batch.
    pub epoch: Offset,
    /// Answers to the permit requests that the home accepted.
    pub replies: Vec<Reply>,
}

/// The operation of a claim on an idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ClaimStep {
    /// Asks for the key, so that the request may run.
    #[default]
    Begin,
    /// Reports that the request certainly didn't run, so that another one with the key may.
    Release,
    /// Reports that the request is being sent, so that no other one with the key may run.
    Use,
    /// Asks whether the request might run, without a grant.
    Check,
}

/// A claim on an idempotency key, sent to the home of the key.
///
/// The window below is the time for which a granted key excludes other requests with it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Claim {
    /// Id of the sender.
    pub member: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Epoch of the membership from which the sender determined the home.
    pub epoch: Offset,
    /// Service, team and idempotency key, combined into one string.
    pub key: Box<str>,
    /// Id of this attempt to claim the key; it isn't used again after a release.
    pub attempt: Box<str>,
    /// The operation.
    pub step: ClaimStep,
    /// Whether the sender also asks all other members that were the home within the window.
    pub asks_all: bool,
    /// The earliest incarnation of the receiver that was the home within the window. A process that
    /// started later doesn't know all keys that were granted.
    pub since: Incarnation,
}

/// Answer of the home of a key to a claim; see [`Claim`] for the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No request with this key was granted within the window.
    Granted,
    /// Another request with this key was sent within the window.
    Taken,
    /// The receiver can't decide: it isn't the home, or became the home within the window.
    Unknown,
    /// The answer may change soon: a request with this key was granted but not sent yet, or the
    /// receiver has another set of members.
    Pending,
}

impl Batch {
    pub(crate) fn read(reader: link_capnp::batch::Reader<'_>) -> Result<Batch> {
        let mut batch = Batch {
            member: reader.get_member()?.to_str()?.into(),
            incarnation: reader.get_incarnation(),
            epoch: reader.get_epoch(),
            since: reader.get_since(),
            ..Batch::default()
        };
        for ask in reader.get_asks()? {
            let ask = Ask {
                resource: read_resource(ask.get_resource()?)?,
                epoch: batch.epoch,
                member: batch.member.clone(),
                incarnation: batch.incarnation,
                since: batch.since,
                sequence: ask.get_sequence(),
                held: ask.get_held(),
                want: ask.get_want(),
                leaving: ask.get_leaving(),
            };
            batch.asks.push(ask);
        }
        for resource in reader.get_recalls()? {
            batch.recalls.push(read_resource(resource)?);
        }
        for load in reader.get_loads()? {
            batch.loads.push(Load {
                service: load.get_service()?.to_str()?.into(),
                team: load.get_team()?.to_str()?.into(),
                running: load.get_running(),
                waiting: load.get_waiting(),
                need: load.get_need(),
            });
        }
        Ok(batch)
    }

    pub(crate) fn write(&self, mut builder: link_capnp::batch::Builder<'_>) {
        builder.set_member(&*self.member);
        builder.set_incarnation(self.incarnation);
        builder.set_epoch(self.epoch);
        builder.set_since(self.since);
        let mut asks = builder.reborrow().init_asks(len(&self.asks));
        for (i, ask) in (0..).zip(&self.asks) {
            let mut builder = asks.reborrow().get(i);
            builder.set_sequence(ask.sequence);
            builder.set_held(ask.held);
            builder.set_want(ask.want);
            builder.set_leaving(ask.leaving);
            write_resource(&ask.resource, builder.init_resource());
        }
        let mut recalls = builder.reborrow().init_recalls(len(&self.recalls));
        for (i, resource) in (0..).zip(&self.recalls) {
            write_resource(resource, recalls.reborrow().get(i));
        }
        let mut loads = builder.init_loads(len(&self.loads));
        for (i, load) in (0..).zip(&self.loads) {
            let mut builder = loads.reborrow().get(i);
            builder.set_service(&*load.service);
            builder.set_team(&*load.team);
            builder.set_running(load.running);
            builder.set_waiting(load.waiting);
            builder.set_need(load.need);
        }
    }
}

impl Replies {
    pub(crate) fn read(reader: link_capnp::replies::Reader<'_>) -> Result<Replies> {
        let mut replies = Replies {
            epoch: reader.get_epoch(),
            replies: Vec::new(),
        };
        for reply in reader.get_replies()? {
            replies.replies.push(Reply {
                resource: read_resource(reply.get_resource()?)?,
                epoch: replies.epoch,
                sequence: reply.get_sequence(),
                granted: reply.get_granted(),
                keep: reply.get_keep(),
            });
        }
        Ok(replies)
    }

    pub(crate) fn write(&self, mut builder: link_capnp::replies::Builder<'_>) {
        builder.set_epoch(self.epoch);
        let mut replies = builder.init_replies(len(&self.replies));
        for (i, reply) in (0..).zip(&self.replies) {
            let mut builder = replies.reborrow().get(i);
            builder.set_sequence(reply.sequence);
            builder.set_granted(reply.granted);
            builder.set_keep(reply.keep);
            write_resource(&reply.resource, builder.init_resource());
        }
    }
}

impl Claim {
    pub(crate) fn read(reader: link_capnp::claim::Reader<'_>) -> Result<Claim> {
        Ok(Claim {
            member: reader.get_member()?.to_str()?.into(),
            incarnation: reader.get_incarnation(),
            epoch: reader.get_epoch(),
            key: reader.get_key()?.to_str()?.into(),
            attempt: reader.get_attempt()?.to_str()?.into(),
            asks_all: reader.get_asks_all(),
            since: reader.get_since(),
            step: match reader.get_step()? {
                link_capnp::ClaimStep::Begin => ClaimStep::Begin,
                link_capnp::ClaimStep::Release => ClaimStep::Release,
                link_capnp::ClaimStep::Use => ClaimStep::Use,
                link_capnp::ClaimStep::Check => ClaimStep::Check,
            },
        })
    }

    pub(crate) fn write(&self, mut builder: link_capnp::claim::Builder<'_>) {
        builder.set_member(&*self.member);
        builder.set_incarnation(self.incarnation);
        builder.set_epoch(self.epoch);
        builder.set_key(&*self.key);
        builder.set_attempt(&*self.attempt);
        builder.set_asks_all(self.asks_all);
        builder.set_since(self.since);
        builder.set_step(match self.step {
            ClaimStep::Begin => link_capnp::ClaimStep::Begin,
            ClaimStep::Release => link_capnp::ClaimStep::Release,
            ClaimStep::Use => link_capnp::ClaimStep::Use,
            ClaimStep::Check => link_capnp::ClaimStep::Check,
        });
    }
}

impl Verdict {
    pub(crate) fn read(verdict: link_capnp::Verdict) -> Verdict {
        match verdict {
            link_capnp::Verdict::Granted => Verdict::Granted,
            link_capnp::Verdict::Taken => Verdict::Taken,
            link_capnp::Verdict::Unknown => Verdict::Unknown,
            link_capnp::Verdict::Pending => Verdict::Pending,
        }
    }

    pub(crate) fn write(self) -> link_capnp::Verdict {
        match self {
            Verdict::Granted => link_capnp::Verdict::Granted,
            Verdict::Taken => link_capnp::Verdict::Taken,
            Verdict::Unknown => link_capnp::Verdict::Unknown,
            Verdict::Pending => link_capnp::Verdict::Pending,
        }
    }
}

fn read_resource(reader: link_capnp::resource::Reader<'_>) -> Result<Resource> {
    use link_capnp::resource::Which;
    Ok(match reader.which()? {
        Which::Team(team) => Resource::Team(team?.to_str()?.into()),
        Which::Slots(instance) => Resource::Slots(instance?.to_str()?.into()),
    })
}

fn write_resource(resource: &Resource, mut builder: link_capnp::resource::Builder<'_>) {
    match resource {
        Resource::Team(team) => builder.set_team(&**team),
        Resource::Slots(instance) => builder.set_slots(&**instance),
    }
}

fn len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len())
        .expect("a list has at most one entry per resource or load, far below 2^32")
}
