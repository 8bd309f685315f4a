//! Tests of single rules.

use pomelohitch_permits::resource::home_of;
use pomelohitch_permits::split;

#[test]
fn a_split_hands_out_everything_and_serves_small_claims_first() {
    let parts = |total, wants: &[u32]| {
        let claims = wants.iter().map(|&want| split::Claim {
            want,
            takes_rest: true,
        });
        split::divide(total, &claims.collect::<Vec<_>>())
    };
    insta::assert_debug_snapshot!(
        [
            parts(8, &[0, 0, 0]),
            parts(8, &[1, 1, 100]),
            parts(8, &[9, 9, 9]),
            parts(2, &[5, 0, 5, 5]),
            parts(0, &[1]),
        ].map(|parts| format!("{parts:?}")),
        @r#"
    [
        "[3, 3, 2]",
        "[1, 1, 6]",
        "[2, 3, 3]",
        "[0, 0, 1, 1]",
        "[0]",
    ]
    "#
    );
    assert!(split::divide(5, &[]).is_empty());
    let leaving = split::Claim {
        want: 1,
        takes_rest: false,
    };
    assert_eq!(split::divide(5, &[leaving]), [1]);
}

/// Each member computes homes locally. If a change of members moved all homes, replacing one entry
/// instance would briefly stop the granting of all permits.
#[test]
fn a_member_that_leaves_moves_only_its_own_resources() {
    let members: Vec<Box<str>> = (0..8).map(|i| format!("entry-{i}").into()).collect();
    for resource in 0..100 {
        let home = home_of(&resource, &members).unwrap();
        let rest = members.iter().filter(|id| **id != members[3]);
        let after = home_of(&resource, rest).unwrap();
        assert!(home == after || *home == members[3]);
    }
}
