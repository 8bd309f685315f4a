//! Cost of permits at an entry instance without requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomelohitch_core::id::PoolId;
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_permits::{Homes, Resource};
use pomelohitch_route::Dispatcher;
use pomelohitch_route::dispatch::{AskScope, Runner, ServiceTerms, View};

use crate::fleet::{Fleet, Size};

/// The only member. It is the home of every resource, so that its cost bounds that of a member
/// among several.
const OWN: &str = "entry-1";
/// Number of passes per second that the daemon makes while it is idle.
const PASSES: u32 = 4;
const RUN: Duration = Duration::from_secs(30);

/// Processor time of one second without requests, in microseconds. Every instance is a runner.
pub fn idle_second(size: &Size) -> f64 {
    let fleet = Fleet::new(size);
    let mut dispatcher: Dispatcher<()> = Dispatcher::new(1);
    dispatcher.set_view(view(&fleet));
    let mut homes = Homes::default();
    homes.enter(Epoch {
        offset: 1,
        members: BTreeMap::from([(OWN.into(), 1)]),
        has_ended: false,
    });
    while exchange(&mut dispatcher, &mut homes) > 0 {}

    let start = Instant::now();
    for _ in 0..PASSES {
        dispatcher.refresh_shares();
        homes.recall_excess(bounds, Duration::ZERO);
        dispatcher.expire(Duration::ZERO);
        assert_eq!(
            exchange(&mut dispatcher, &mut homes),
            0,
            "all asks are answered before the measurement"
        );
    }
    start.elapsed().as_secs_f64() * 1e6
}

/// Sends the pending asks to their home and applies the replies; returns the number of asks.
fn exchange(dispatcher: &mut Dispatcher<()>, homes: &mut Homes) -> usize {
    let asker = Asker {
        member: OWN.into(),
        incarnation: 1,
        since: 1,
        epoch: 1,
        leaving: false,
    };
    let asks = dispatcher.asks(&asker, AskScope::BelowPart, |_| true);
    for (_, ask) in &asks {
        if let Some(reply) = homes.on_ask(ask, &bounds(&ask.resource), Duration::ZERO) {
            dispatcher.on_reply(&reply);
        }
    }
    asks.len()
}

fn bounds(resource: &Resource) -> Bounds {
    let limit = match resource {
        Resource::Team(_) => 500,
        Resource::Slots(_) => 8,
    };
    Bounds { limit, wait: RUN }
}

fn view(fleet: &Fleet) -> View {
    let config = &fleet.state.config;
    let runners = |pool: &PoolId| {
        let instances = fleet.state.fleet.in_pool(pool);
        let runners = instances.map(|(id, instance)| Runner {
            id: id.clone(),
            addr: instance.addr,
            is_same_zone: true,
        });
        (pool.clone(), runners.collect())
    };
    let services = config.services.values().map(|service| {
        let terms = ServiceTerms {
            pool: service.pool.clone(),
            slots: service.slots,
            queue: 100,
            longest_run: RUN,
        };
        (service.id.clone(), terms)
    });
    View {
        own: OWN.into(),
        members: [OWN.into()].into(),
        services: services.collect(),
        shares: config
            .teams
            .values()
            .map(|team| (team.id.clone(), team.share))
            .collect(),
        pools: config.pools.keys().map(runners).collect(),
    }
}
