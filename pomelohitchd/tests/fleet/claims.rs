//! Claims of the leadership.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use pomelohitchd::fleet::leader::{self, Reason};
use pomelohitchd::fleet::members;
use pomelohitchd::fleet::shared::{Shared, View};
use pomelohitchd::fleet::wire::{self, Leader, LivenessRecord};
use rouille::{Response, Server};
use serde::Serialize;

use super::site::{nowhere, site};

const EPOCH: u64 = 3;

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let groups = bytes.chunks(3).map(|chunk| {
        let bits = (0..3).fold(0, |bits, i| {
            bits << 8 | usize::from(*chunk.get(i).unwrap_or(&0))
        });
        let digit = |i: usize| {
            if i <= chunk.len() {
                char::from(DIGITS[bits >> (18 - 6 * i) & 63])
            } else {
                '='
            }
        };
        (0..4).map(digit).collect::<String>()
    });
    groups.collect()
}

fn item(key: &str, record: &impl Serialize) -> String {
    let value = base64(&postcard::to_allocvec(record).expect("the record can be encoded"));
    format!(r#"{{"key":"{key}","value":"{value}","offset":0}}"#)
}

/// A store in which the leader has written its liveness record `count` times. It counts claims, and
/// refuses them.
fn store(count: u64) -> (SocketAddr, Arc<AtomicUsize>) {
    let leader = Leader {
        epoch: EPOCH,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
        quorum: 2,
    };
    let liveness = LivenessRecord {
        epoch: EPOCH,
        count,
        fleet_ms: None,
        quorum: 2,
    };
    let items = [
        item(wire::LIVENESS_KEY, &liveness),
        item(wire::LEADER_KEY, &leader),
    ];
    let newest = format!(r#"{{"items":[{}],"more":false,"end":9}}"#, items.join(","));
    let claims = Arc::new(AtomicUsize::new(0));
    let counted = claims.clone();
    let server = Server::new("127.0.0.1:0", move |request| match request.url().as_str() {
        "/-/log-newest" => Response::from_data("application/json", newest.clone()),
        "/-/log-append" => {
            counted.fetch_add(1, Ordering::Relaxed);
            Response::text("{}").with_status_code(503)
        }
        _ => Response::empty_404(),
    });
    let server = server.expect("the OS assigns a free port");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    (addr, claims)
}

/// The number of claims of a member that has suspected the leader as of `suspected`.
fn claims_of(store: &(SocketAddr, Arc<AtomicUsize>), suspected: View) -> usize {
    let (addr, claims) = store;
    let mut site = site();
    site.store = *addr;
    let shared = Arc::new(Shared::new(site));
    leader::claim(&shared, EPOCH, &Reason::Silent(Box::new(suspected)));
    claims.load(Ordering::Relaxed)
}

/// What a member knows that has read `store`.
fn view_of(store: &(SocketAddr, Arc<AtomicUsize>)) -> View {
    let mut site = site();
    site.store = store.0;
    let shared = Shared::new(site);
    members::read_all(&shared, &shared.store()).expect("the store answers");
    shared.view()
}

/// Guards against a change of leader whenever a member that was cut off for a while reaches the others
/// again.
#[test]
fn a_member_whose_cut_heals_does_not_claim_the_leadership_of_a_leader_that_is_well() {
    let suspected = view_of(&store(5));
    assert_eq!(claims_of(&store(6), suspected.clone()), 0);
    assert_ne!(claims_of(&store(5), suspected), 0, "the leader is silent");
}
