//! Which members have reported that an instance is leaving, in virtual time.

use std::time::{Duration, Instant};

use pomelohitchd::leaving::{SIGHTING_TTL, Sightings};

/// The platform cancels the removal of an instance. If members passed on the sightings of others,
/// they would keep each other's sightings alive, and the slots of the instance would stay unused.
#[test]
fn an_instance_that_stays_is_used_again() {
    let (one, two) = ("entry-1".into(), "entry-2".into());
    let mut sightings = Sightings::default();
    let mut now = Instant::now();
    sightings.record(&one, ["runner-0".into()].into(), now);
    sightings.record(&two, ["runner-0".into(), "runner-1".into()].into(), now);
    assert_eq!(sightings.current(now).len(), 2);
    sightings.record(&two, [].into(), now);
    assert_eq!(sightings.current(now), ["runner-0".into()].into());
    assert!(sightings.by("entry-2").is_empty());
    now += SIGHTING_TTL;
    assert!(
        sightings.current(now).is_empty(),
        "no member has reported it within the retention"
    );
}

#[test]
fn a_sighting_that_is_reported_again_does_not_expire() {
    let one = "entry-1".into();
    let mut sightings = Sightings::default();
    let mut now = Instant::now();
    for _ in 0..60 {
        sightings.record(&one, ["runner-0".into()].into(), now);
        now += Duration::from_secs(1);
        assert_eq!(sightings.current(now), ["runner-0".into()].into());
    }
}
