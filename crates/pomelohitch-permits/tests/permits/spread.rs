//! Distribution of permits over idle members.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_permits::{Holder, Homes, Resource};

const LIMIT: u32 = 30;
const WAIT: Duration = Duration::from_secs(30);

fn bounds(limit: u32) -> Bounds {
    Bounds { limit, wait: WAIT }
}

/// One home, and members that join one after another, as in a fleet that starts.
struct World {
    homes: Homes,
    holders: BTreeMap<&'static str, Holder>,
    resource: Resource,
    limit: u32,
}

impl World {
    fn new() -> World {
        World {
            homes: Homes::default(),
            holders: BTreeMap::new(),
            resource: Resource::Team("hotels".into()),
            limit: LIMIT,
        }
    }

    fn join(&mut self, id: &'static str) {
        self.holders.insert(id, Holder::default());
        let members = (1..).zip(self.holders.keys());
        self.homes.enter(Epoch {
            offset: self.holders.len() as u64,
            members: members.map(|(n, id)| ((*id).into(), n)).collect(),
            has_ended: false,
        });
    }

    /// Every member with a reason to ask does so, and then receives its recalls.
    fn exchange_round(&mut self) {
        let epoch = self.homes.epoch().clone();
        for (id, holder) in &mut self.holders {
            if !holder.needs_ask(epoch.offset, 0) && !holder.is_below_part() {
                continue;
            }
            let asker = Asker {
                member: (*id).into(),
                incarnation: epoch.members[*id],
                since: epoch.members[*id],
                epoch: epoch.offset,
                leaving: false,
            };
            let ask = holder.ask(&self.resource, &asker, 0);
            let bounds = bounds(self.limit);
            if let Some(reply) = self.homes.on_ask(&ask, &bounds, Duration::ZERO) {
                holder.on_reply(&reply);
            }
        }
        self.homes
            .recall_excess(|_| bounds(self.limit), Duration::ZERO);
        for (member, _) in self.homes.take_recalls() {
            self.holders.get_mut(&*member).unwrap().recall();
        }
    }

    fn held(&self) -> Vec<u32> {
        self.holders.values().map(Holder::held).collect()
    }
}

/// Guards against permits that no live member may use. In an idle fleet that starts, the first
/// member holds all permits and returns most when others join; if those never ask again and the
/// first one dies, every caller is refused until its requests have certainly ended (half a minute).
#[test]
fn idle_members_get_their_parts() {
    let mut world = World::new();
    for id in ["a", "b", "c"] {
        world.join(id);
        for _ in 0..4 {
            world.exchange_round();
        }
    }
    assert_eq!(world.held(), [LIMIT / 3; 3]);
}

/// Once each member holds its part, an idle fleet sends no asks.
#[test]
fn idle_members_with_their_parts_send_no_asks() {
    let mut world = World::new();
    for id in ["a", "b", "c"] {
        world.join(id);
        for _ in 0..4 {
            world.exchange_round();
        }
    }
    let epoch = world.homes.epoch().offset;
    let mut holders = world.holders.values();
    assert!(holders.all(|holder| !holder.needs_ask(epoch, 0) && !holder.is_below_part()));
}

/// Guards against idle members that keep what a higher limit granted: they send no asks by
/// themselves, and the next burst would run under the old limit.
#[test]
fn idle_members_give_back_what_a_lowered_limit_takes() {
    let mut world = World::new();
    for id in ["a", "b", "c"] {
        world.join(id);
        for _ in 0..4 {
            world.exchange_round();
        }
    }
    world.limit = 3;
    for _ in 0..4 {
        world.exchange_round();
    }
    assert_eq!(world.held(), [1, 1, 1]);
}

/// A member reads a lowered limit but cannot reach the home. If it went on using permits granted
/// under the old limit, several such members would together exceed the new one.
#[test]
fn a_permit_of_a_higher_limit_is_not_taken_until_it_is_confirmed() {
    let mut world = World::new();
    world.join("a");
    for _ in 0..4 {
        world.exchange_round();
    }
    let holder = world.holders.get_mut("a").unwrap();
    assert!(holder.take(true));
    holder.require_confirmation();
    assert!(!holder.take(true));
    world.limit = 3;
    world.exchange_round();
    let holder = world.holders.get_mut("a").unwrap();
    assert_eq!((holder.held(), holder.take(true)), (3, true));
    world.exchange_round();
    let demand = world
        .homes
        .settled_demand(&world.resource, &bounds(3), WAIT);
    assert_eq!(demand.map(|demand| demand.held), Some(3));
}
