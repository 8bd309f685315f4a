//! Compares the index with a linear scan.

use pomelohitch_core::record::job::Resources;
use pomelohitch_place::index::Index;

/// Updates of slots: the slot, and its free processors and memory.
type Changes = Vec<(u8, u8, u8)>;

/// After any sequence of updates, the index finds the same first and last slot as a linear scan.
#[test]
fn the_index_finds_what_a_scan_finds() {
    pomelohitch_property::check(|(changes, len, (cpu, memory)): &(Changes, u8, (u8, u8))| {
        let len = usize::from(*len) + 1;
        let mut index = Index::new(len);
        let mut slots = vec![Resources::default(); len];
        for &(slot, cpu, memory) in changes {
            let slot = usize::from(slot) % len;
            slots[slot] = resources(cpu, memory);
            index.set(slot, slots[slot]);
        }
        let need = resources(*cpu, *memory);
        let first = slots.iter().position(|free| free.covers(&need));
        let last = slots.iter().rposition(|free| free.covers(&need));
        assert_eq!(index.first(0, len, &need), first);
        assert_eq!(index.last(len, &need), last);
    });
}

fn resources(cpu: u8, memory: u8) -> Resources {
    Resources {
        cpu_milli: cpu.into(),
        memory_mib: memory.into(),
        accelerators: 0,
    }
}
