//! Tests of what a caller is told after several attempts.

use pomelohitch_property::check;
use pomelohitch_sched::Epoch;
use pomelohitch_sched::attempts::{Attempts, Reply, Verdict};

const REFUSALS: [u16; 4] = [400, 401, 404, 503];

#[test]
fn verdicts() {
    let mut verdicts = Vec::new();
    let mut after_epoch_2 = Attempts::default();
    after_epoch_2.record_unknown(2);
    for (name, attempts) in [
        ("first", Attempts::default()),
        ("after epoch 2", after_epoch_2),
    ] {
        for status in [200, 401, 410, 503, 504] {
            for epoch in [1, 2, 3] {
                let held = [Some(false), Some(true), None];
                let row = held.map(|is_effect_possible| {
                    attempts.verdict(&Reply {
                        epoch,
                        status,
                        is_effect_possible,
                    })
                });
                verdicts.push(format!("{name}: {status} by epoch {epoch}: {row:?}"));
            }
        }
    }
    insta::assert_snapshot!(verdicts.join("\n"));
}

/// Leaders in turn, and one caller's request that is forwarded to them.
#[derive(Default)]
struct Leaders {
    /// For each epoch, whether its leader holds the job. A leader starts with what is stored.
    holds: Vec<bool>,
    is_stored: bool,
    /// Epochs to whose leaders an attempt is still on its way.
    under_way: Vec<Epoch>,
    attempts: Attempts,
}

impl Leaders {
    fn newest(&self) -> usize {
        self.holds.len() - 1
    }

    /// An attempt reaches the newest leader; former ones can store nothing.
    fn deliver(&mut self, to: usize) {
        if to == self.newest() {
            self.holds[to] = true;
            self.is_stored = true;
        }
    }

    fn deliver_all(&mut self) {
        for epoch in std::mem::take(&mut self.under_way) {
            self.deliver(usize::try_from(epoch).expect("a small number"));
        }
    }

    /// Plays one step; returns whether the caller is told that its request is refused.
    fn step(&mut self, choice: u8) -> bool {
        let newest = self.newest();
        let epoch = newest as Epoch;
        let argument = usize::from(choice / 8);
        match choice % 8 {
            0 => self.holds.push(self.is_stored),
            1 => {
                self.deliver(newest);
                self.attempts.record_unknown(epoch);
            }
            2 => {
                self.under_way.push(epoch);
                self.attempts.record_unknown(epoch);
            }
            3 => self.deliver_all(),
            _ => {
                let by = newest.saturating_sub(argument % 3);
                let reply = Reply {
                    epoch: by as Epoch,
                    status: REFUSALS[argument % REFUSALS.len()],
                    is_effect_possible: Some(self.holds[by]),
                };
                return self.attempts.verdict(&reply) == Verdict::Return;
            }
        }
        false
    }
}

/// Guards against refusing a request of which an earlier attempt was or will be executed.
#[test]
fn a_refused_request_has_no_effect() {
    check(|choices: &Vec<u8>| {
        let mut leaders = Leaders {
            holds: vec![false],
            ..Leaders::default()
        };
        if choices.iter().any(|choice| leaders.step(*choice)) {
            leaders.deliver_all();
            assert!(!leaders.is_stored);
        }
    });
}
