//! Scenario tests of the scheduler with emulated endpoints, log and callers in virtual time.

use pomelohitch_emulator::fleet;

#[path = "cell/calls.rs"]
mod calls;
#[path = "cell/crashes.rs"]
mod crashes;
#[path = "cell/ends.rs"]
mod ends;
#[path = "cell/evacuation.rs"]
mod evacuation;
#[path = "cell/leaders.rs"]
mod leaders;
#[path = "cell/links.rs"]
mod links;
#[path = "cell/pools.rs"]
mod pools;
#[path = "cell/random.rs"]
mod random;
#[path = "cell/room.rs"]
mod room;
#[path = "cell/waves.rs"]
mod waves;
