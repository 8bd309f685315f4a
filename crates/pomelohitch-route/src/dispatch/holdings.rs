//! The permits that this entry instance holds, and the asks it sends to their homes.

use pomelohitch_core::id::MemberId;
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::resource::home_of;
use pomelohitch_permits::{Ask, Reply, Resource};

use super::{AskScope, Dispatcher};

impl<T> Dispatcher<T> {
    /// Returns the asks to send, with the home of each, limited to homes that `may_ask` accepts.
    ///
    /// Resources with changes to report are always included; `scope` selects further ones, which
    /// repairs the effect of lost recalls.
    ///
    /// `may_ask` should reject a home that has not yet answered an earlier ask: each ask
    /// invalidates the answer to the previous one.
    pub fn asks(
        &mut self,
        asker: &Asker,
        scope: AskScope,
        may_ask: impl Fn(&MemberId) -> bool,
    ) -> Vec<(MemberId, Ask)> {
        let mut asks = Vec::new();
        // Both maps have the same order. Looking up each holder separately would cost an idle entry
        // instance several percent of a core at thousands of runners.
        let mut holders = self.holders.iter_mut();
        for (resource, want) in &self.wants {
            let Some((_, holder)) = holders.find(|(held, _)| *held == resource) else {
                // Every entry of `wants` got a holder when `wants` was computed.
                break;
            };
            let is_due = match scope {
                AskScope::Changed => false,
                AskScope::BelowPart => holder.is_below_part(),
                AskScope::All => true,
            };
            if !is_due && !holder.needs_ask(asker.epoch, *want) {
                continue;
            }
            let home = home_of(resource, &self.view.members);
            if let Some(home) = home.filter(|home| may_ask(home)) {
                let asker = Asker {
                    leaving: self.is_leaving,
                    ..asker.clone()
                };
                asks.push((home.clone(), holder.ask(resource, &asker, *want)));
                self.permits_changed = true;
            }
        }
        asks
    }

    /// Applies a home's reply.
    pub fn on_reply(&mut self, reply: &Reply) {
        if let Some(holder) = self.holders.get_mut(&reply.resource) {
            holder.on_reply(reply);
            self.permits_changed = true;
        }
    }

    /// Stops the use of a resource's permits until its home has confirmed them, after its limit was
    /// lowered.
    pub fn require_confirmation(&mut self, resource: &Resource) {
        if let Some(holder) = self.holders.get_mut(resource) {
            holder.require_confirmation();
        }
    }

    /// Handles a home's hint that this member should ask, because its number of permits should
    /// change.
    pub fn recall(&mut self, resource: &Resource) {
        if let Some(holder) = self.holders.get_mut(resource) {
            holder.recall();
        }
    }

    /// Starts leaving: from now on only permits for requests already here are wanted, and the
    /// others are returned.
    pub fn leave(&mut self) {
        if !self.is_leaving {
            self.is_leaving = true;
            self.update_shares();
        }
    }

    /// Number of permits of a resource that are held here, and how many of those are in use.
    #[must_use]
    pub fn permits(&self, resource: &Resource) -> (u32, u32) {
        let holder = self.holders.get(resource);
        holder.map_or((0, 0), |holder| (holder.held(), holder.used()))
    }
}
