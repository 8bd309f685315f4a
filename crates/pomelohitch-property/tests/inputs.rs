//! Tests of the inputs that property tests receive.

use std::cell::RefCell;

use pomelohitch_property::{check, generate, seeds};

#[test]
fn runs_with_the_same_seed_have_the_same_inputs() {
    let inputs = |run| -> Vec<Vec<u8>> { seeds(run).take(20).map(generate).collect() };
    assert_eq!(inputs(1), inputs(1));
    assert_ne!(inputs(1), inputs(2));
}

#[test]
fn inputs_of_a_run_differ() {
    let seen = RefCell::new(std::collections::BTreeSet::new());
    check(|bytes: &Vec<u8>| {
        seen.borrow_mut().insert(bytes.clone());
    });
    assert!(seen.borrow().len() > 900, "{}", seen.borrow().len());
}

#[test]
#[should_panic(expected = "too long")]
fn a_property_that_does_not_hold_fails_the_test() {
    check(|bytes: &Vec<u8>| assert!(bytes.len() < 5, "too long"));
}
