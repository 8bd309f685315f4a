//! Property tests whose inputs are the same in each run.
//!
//! `bolero` generates the values. Its own test runner takes one seed from the environment and draws
//! all others from the system, so two runs would test different inputs.
//!
//! Three environment variables change what is played:
//!
//! * `PROPERTY_SEED`: the seed of the run, from which the seeds of its inputs are drawn; 1.
//! * `PROPERTY_INPUTS`: how many inputs each property gets; 1,000.
//! * `PROPERTY_INPUT`: the seed of the only input, as a failure prints it.

use std::env::{self, VarError};
use std::fmt::Debug;
use std::panic::{self, AssertUnwindSafe};
use std::str::FromStr;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_xoshiro::Xoroshiro128PlusPlus;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};

/// Seed of one input; `bolero` prints and takes the same.
pub type InputSeed = u128;

/// The seed of a run, unless `PROPERTY_SEED` sets another.
const RUN_SEED: u64 = 1;
/// Inputs of each property, unless `PROPERTY_INPUTS` sets another count.
const INPUTS: usize = 1_000;

/// Checks that a property holds for every input of this run.
///
/// # Panics
/// If it doesn't; the seed of the input and the input are printed first.
pub fn check<T: TypeGenerator + Debug>(property: impl Fn(&T)) {
    if let Some(seed) = variable("PROPERTY_INPUT") {
        return check_one(seed, &property);
    }
    let run = variable("PROPERTY_SEED").unwrap_or(RUN_SEED);
    let count = variable("PROPERTY_INPUTS").unwrap_or(INPUTS);
    for seed in seeds(run).take(count) {
        check_one(seed, &property);
    }
}

/// Checks a property for the input of one seed.
///
/// # Panics
/// If it doesn't hold; the seed and the input are printed first.
pub fn check_one<T: TypeGenerator + Debug>(seed: InputSeed, property: impl Fn(&T)) {
    let input: T = generate(seed);
    if let Err(payload) = panic::catch_unwind(AssertUnwindSafe(|| property(&input))) {
        eprintln!("PROPERTY_INPUT={seed}\n{input:?}");
        panic::resume_unwind(payload);
    }
}

/// The seeds of a run's inputs.
pub fn seeds(run: u64) -> impl Iterator<Item = InputSeed> {
    let mut rng = Xoroshiro128PlusPlus::seed_from_u64(run);
    std::iter::repeat_with(move || {
        let mut seed = [0; size_of::<InputSeed>()];
        rng.fill_bytes(&mut seed);
        InputSeed::from_le_bytes(seed)
    })
}

/// The input of a seed.
///
/// # Panics
/// If the type's generator gives up, which those of standard types don't.
#[must_use]
pub fn generate<T: TypeGenerator>(seed: InputSeed) -> T {
    let rng = Xoroshiro128PlusPlus::from_seed(seed.to_le_bytes());
    let mut driver = Rng::new(rng, &Options::default());
    T::generate(&mut driver).expect("a random driver has bytes for every value")
}

fn variable<T: FromStr>(name: &str) -> Option<T> {
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
