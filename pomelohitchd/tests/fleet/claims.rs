//! Claims of the leadership.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use pomelohitchd::fleet::leader::{self, Reason};
use pomelohitchd::fleet::members;
use pomelohitchd::fleet::shared::{Shared, View};
use pomelohitchd::fleet::wire::{self, Leader, LivenessRecord, Member};
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

/// A store that keeps the claims that it refuses.
struct ClaimStore {
    addr: SocketAddr,
    claims: Arc<Mutex<Vec<Vec<u8>>>>,
}

/// A store in which the leader has written its liveness record `count` times.
fn store(count: u64, members: &[(&str, Member)]) -> ClaimStore {
    let leader = Leader {
        epoch: EPOCH,
        member: "front-a-2".into(),
        addr: nowhere(),
        began_ms: 1,
        quorum: 9,
    };
    let liveness = LivenessRecord {
        epoch: EPOCH,
        count,
        fleet_ms: None,
        quorum: 9,
    };
    let mut items = vec![
        item(wire::LIVENESS_KEY, &liveness),
        item(wire::LEADER_KEY, &leader),
    ];
    let members = members.iter();
    items.extend(members.map(|(name, member)| item(&wire::member_key(name), member)));
    let newest = format!(r#"{{"items":[{}],"more":false,"end":9}}"#, items.join(","));
    let claims = Arc::new(Mutex::new(Vec::new()));
    let kept = claims.clone();
    let server = Server::new("127.0.0.1:0", move |request| match request.method() {
        "GET" => Response::from_data("application/json", newest.clone()),
        "POST" => {
            let mut body = Vec::new();
            let mut data = request.data().expect("the body is read once");
            data.read_to_end(&mut body).expect("the body arrives");
            let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
            kept.push(body);
            Response::text("{}").with_status_code(503)
        }
        _ => Response::empty_404(),
    });
    let server = server.expect("the OS assigns a free port");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    ClaimStore { addr, claims }
}

/// The claims of a member that has suspected the leader as of `suspected`.
fn claims_of(store: &ClaimStore, suspected: View) -> Vec<Leader> {
    let mut site = site();
    site.store = store.addr;
    let shared = Arc::new(Shared::new(site));
    leader::claim(&shared, EPOCH, &Reason::Silent(Box::new(suspected)));
    let claims = store.claims.lock().unwrap_or_else(PoisonError::into_inner);
    // A record's length takes four bytes, that of its key one.
    let value_at = 4 + 1 + wire::LEADER_KEY.len();
    let claims = claims
        .iter()
        .map(|body| postcard::from_bytes(&body[value_at..]));
    claims
        .collect::<Result<_, _>>()
        .expect("claims can be decoded")
}

/// What a member knows that has read `store`.
fn view_of(store: &ClaimStore) -> View {
    let mut site = site();
    site.store = store.addr;
    let shared = Shared::new(site);
    members::read_all(&shared, &shared.store()).expect("the store answers");
    shared.view()
}

/// Guards against a change of leader whenever a member that was cut off for a while reaches the others
/// again.
#[test]
fn a_member_whose_cut_heals_does_not_claim_the_leadership_of_a_leader_that_is_well() {
    let suspected = view_of(&store(5, &[]));
    assert_eq!(claims_of(&store(6, &[]), suspected.clone()), []);
    assert_ne!(
        claims_of(&store(5, &[]), suspected),
        [],
        "the leader is silent"
    );
}

/// Guards against a recorded quorum above the one that confirms the leader, where a member has the address
/// of one that has ended.
#[test]
fn members_at_one_address_count_once_in_a_claim() {
    let member = |port| Member {
        addr: ([10, 0, 0, 1], port).into(),
        power: 500,
        began_ms: 1,
    };
    let members = [("b", member(1)), ("c", member(1)), ("d", member(1))];
    let store = store(5, &members);
    let suspected = view_of(&store);
    let quorums = claims_of(&store, suspected).into_iter().map(|c| c.quorum);
    assert_eq!(quorums.collect::<Vec<_>>(), [2]);
}
