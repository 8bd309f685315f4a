use pomelohitch_core::record::{Body, FileChange, Publish};
use pomelohitch_core::{Rejection, Verdict};

use crate::support::{Log, publish, service, team, web};

#[test]
fn a_publish_from_an_outdated_version_is_rejected_with_the_current_one() {
    // Two operators edit the same version of a file. Without the check, the second publish would
    // silently undo the first.
    let mut log = Log::with_planner();
    let base = Some(log.state.config.files["web"].version);
    log.accept(publish("web", base, Some(web(3))));
    let winner = log.state.next - 1;
    let verdict = log.append(publish("web", base, Some(web(1))));
    let changed = Rejection::BaseChanged {
        path: "web".into(),
        version: Some(winner),
    };
    assert_eq!(verdict, Verdict::Rejected(changed));
    assert_eq!(log.state.config.services["shop"].min_available, 3);
}

#[test]
fn a_publish_with_one_wrong_file_changes_no_file() {
    let mut log = Log::with_planner();
    let before = log.state.config.clone();
    let good = FileChange {
        base: None,
        file: Some(team("snow", &["k1"])),
    };
    let mut file = team("ice", &[]);
    file.services.push(service("book", "nowhere", 1));
    let wrong = FileChange {
        base: None,
        file: Some(file),
    };
    let verdict = log.append(Body::Publish(Publish {
        changes: [("a".into(), good), ("b".into(), wrong)].into(),
    }));
    assert!(matches!(
        verdict,
        Verdict::Rejected(Rejection::Invalid(faults)) if faults.len() == 1
    ));
    assert_eq!(log.state.config, before);
}

#[test]
fn a_withdrawn_key_that_a_file_lists_again_stays_withdrawn() {
    // A key leaks and is withdrawn, and later someone publishes a file that still lists it. The
    // leaked key must not become valid again.
    let mut log = Log::with_planner();
    log.accept(publish("snow", None, Some(team("snow", &["k1", "k2"]))));
    assert!(log.state.team_of_key("k1").is_some());
    log.accept(crate::support::withdraw("k1"));
    assert!(log.state.team_of_key("k1").is_none());
    let base = Some(log.state.config.files["snow"].version);
    log.accept(publish("snow", base, Some(team("snow", &["k1"]))));
    assert!(log.state.team_of_key("k1").is_none());
    assert!(log.state.team_of_key("k2").is_none());
}
