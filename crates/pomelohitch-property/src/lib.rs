//! Property tests with deterministic inputs.
//!
//! `bolero` generates the inputs. Its own test runner takes only one seed from the environment and
//! draws the others from the system, so each run would test different inputs.
//!
//! Three environment variables select the inputs:
//!
//! * `PROPERTY_SEED`: the seed from which the seeds of a run's inputs are drawn. Default: 1.
//! * `PROPERTY_INPUTS`: the number of inputs per property. Default: 1,000.
//! * `PROPERTY_INPUT`: the seed of the only input to test, as printed by a failure.

use std::env::{self, VarError};
use std::fmt::Debug;
use std::panic::{self, AssertUnwindSafe};
use std::str::FromStr;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_xoshiro::Xoroshiro128PlusPlus;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};

/// Seed of one input, in the format of `bolero`.
pub type InputSeed = u128;

/// Default of `PROPERTY_SEED`.
const DEFAULT_RUN_SEED: u64 = 1;
/// Default of `PROPERTY_INPUTS`.
const DEFAULT_INPUT_COUNT: usize = 1_000;

/// Checks that `property` holds for every input of the run.
///
/// # Panics
/// If the property doesn't hold; prints the seed of the input and the input first. Also if an
/// environment variable isn't a number.
pub fn check<T: TypeGenerator + Debug>(property: impl Fn(&T)) {
    if let Some(seed) = parse_env("PROPERTY_INPUT") {
        return check_one(seed, &property);
    }
    let run = parse_env("PROPERTY_SEED").unwrap_or(DEFAULT_RUN_SEED);
    let count = parse_env("PROPERTY_INPUTS").unwrap_or(DEFAULT_INPUT_COUNT);
    for seed in seeds(run).take(count) {
        check_one(seed, &property);
    }
}

/// Checks that `property` holds for the input generated from `seed`.
///
/// # Panics
/// If the property doesn't hold; prints the seed and the input first.
pub fn check_one<T: TypeGenerator + Debug>(seed: InputSeed, property: impl Fn(&T)) {
    let input: T = generate(seed);
    if let Err(payload) = panic::catch_unwind(AssertUnwindSafe(|| property(&input))) {
        eprintln!("PROPERTY_INPUT={seed}\n{input:?}");
        panic::resume_unwind(payload);
    }
}

/// Infinite sequence of the input seeds of the run with seed `run`.
pub fn seeds(run: u64) -> impl Iterator<Item = InputSeed> {
    let mut rng = Xoroshiro128PlusPlus::seed_from_u64(run);
    std::iter::repeat_with(move || {
        let mut seed = [0; size_of::<InputSeed>()];
        rng.fill_bytes(&mut seed);
        InputSeed::from_le_bytes(seed)
    })
}

/// Generates the input of a seed.
///
/// # Panics
/// If the generator of the type rejects its bytes; those of standard types never do.
#[must_use]
pub fn generate<T: TypeGenerator>(seed: InputSeed) -> T {
    let rng = Xoroshiro128PlusPlus::from_seed(seed.to_le_bytes());
    let mut driver = Rng::new(rng, &Options::default());
    T::generate(&mut driver)
        .expect("generators of standard types succeed with unlimited random bytes")
}

fn parse_env<T: FromStr>(name: &str) -> Option<T> {
    let text = match env::var(name) {
        Ok(text) => text,
        Err(VarError::NotPresent) => return None,
        Err(error) => panic!("{name}: {error}"),
    };
    let Ok(value) = text.parse() else {
        panic!("{name}: not a number: {text}");
    };
    Some(value)
}
