//! The heartbeat as a plain type, with its encoding.

use pomelohitch_core::id::{Incarnation, InstanceId, KeyHash, MemberId, Offset};

use crate::link_capnp::heartbeat;

/// Result of decoding a message.
pub type Result<T, E = capnp::Error> = std::result::Result<T, E>;

/// A heartbeat: the sender's state, sent to a peer as a request and returned to one as the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the sender.
    pub member: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Offset of the next log record that the sender will apply.
    pub next: Offset,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Hashes of recently withdrawn keys. A peer applies them before the log confirms them, because
    /// they can only make it refuse requests.
    pub withdrawn_keys: Vec<KeyHash>,
    /// Instances that the sender recently saw leave. A peer applies them before the log confirms
    /// them, because they can only make it refuse requests.
    pub leaving_instances: Vec<InstanceId>,
    /// Value of the sender's clock, in milliseconds from a random start; set by the links.
    pub clock: u64,
    /// Latest value of the receiver's clock that the sender received, 0 if none; set by the links.
    pub echo: u64,
}

impl Heartbeat {
    /// Decodes a heartbeat.
    ///
    /// # Errors
    /// If the message is malformed.
    pub(crate) fn read(reader: heartbeat::Reader<'_>) -> Result<Heartbeat> {
        Ok(Heartbeat {
            member: reader.get_member()?.to_str()?.into(),
            incarnation: reader.get_incarnation(),
            next: reader.get_next(),
            leaving: reader.get_leaving(),
            withdrawn_keys: read_list(reader.get_withdrawn_keys()?)?,
            leaving_instances: read_list(reader.get_leaving_instances()?)?,
            clock: reader.get_clock(),
            echo: reader.get_echo(),
        })
    }

    pub(crate) fn write(&self, mut builder: heartbeat::Builder<'_>) {
        builder.set_member(&*self.member);
        builder.set_incarnation(self.incarnation);
        builder.set_next(self.next);
        builder.set_leaving(self.leaving);
        builder.set_clock(self.clock);
        builder.set_echo(self.echo);
        write_list(
            builder
                .reborrow()
                .init_withdrawn_keys(len(&self.withdrawn_keys)),
            &self.withdrawn_keys,
        );
        write_list(
            builder.init_leaving_instances(len(&self.leaving_instances)),
            &self.leaving_instances,
        );
    }
}

fn read_list(list: capnp::text_list::Reader<'_>) -> Result<Vec<Box<str>>> {
    list.iter().map(|text| Ok(text?.to_str()?.into())).collect()
}

fn write_list(mut list: capnp::text_list::Builder<'_>, texts: &[Box<str>]) {
    for (i, text) in (0..).zip(texts) {
        list.set(i, &**text);
    }
}

fn len(texts: &[Box<str>]) -> u32 {
    u32::try_from(texts.len()).expect("the sender truncates both lists to a few hundred entries")
}
