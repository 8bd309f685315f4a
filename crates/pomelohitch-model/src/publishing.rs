//! Transitions of operators: publish a file that others publish too, and withdraw a key.

use pomelohitch_core::Verdict;

use crate::proposal::{FILE, KEY, Payload, Proposal};
use crate::scenario::{Mutant, Scenario};
use crate::step::{Step as AnyStep, after, may_propose, propose};
use crate::world::{Answer, NODES, Operator, World};

/// A transition of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator publishes a change based on this node's configuration.
    Publish(usize),
    /// An operator receives the answer to a publish.
    Tell(usize, Answer),
    /// An operator withdraws the key at this node.
    Withdraw(usize),
}

/// Adds all transitions of operators.
pub fn steps(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    for node in 0..NODES {
        publish(scenario, world, node, next);
        withdraw(scenario, world, node, next);
        log_withdrawal(scenario, world, node, next);
    }
    for operator in 0..world.operators.len() {
        answer_operator(scenario, world, operator, next);
    }
}

fn publish(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    let operator = world.operators.len();
    let Some(state) = world.view(node).filter(|_| world.is_accepting(node)) else {
        return;
    };
    if operator >= scenario.publishes || !may_propose(scenario, world) {
        return;
    }
    let proposal = Proposal {
        by: node,
        after: state.next,
        what: Payload::Publish {
            operator,
            base: state.config.files[FILE].version,
        },
    };
    next.push(after(
        world,
        AnyStep::Publishing(Step::Publish(node)),
        |world| {
            world.in_flight.insert(proposal);
            world.operators.push(Operator {
                proposal,
                received: None,
            });
        },
    ));
}

/// Adds the answer to a publish.
///
/// The node answers with the verdict once it has read the record. Without a record it answers "not
/// in force" only after the append failed definitively, so that no copy is in flight.
fn answer_operator(scenario: &Scenario, world: &World, operator: usize, next: &mut Vec<World>) {
    let Operator { proposal, received } = &world.operators[operator];
    if received.is_some() {
        return;
    }
    let answer = verdict_read(world, proposal).or_else(|| {
        let is_in_log = world.log.iter().any(|entry| entry.proposal == *proposal);
        let is_refused = !is_in_log && !world.in_flight.contains(proposal);
        let answers_early = scenario.mutant == Some(Mutant::AnswersBeforeOutcome);
        (is_refused || answers_early).then_some(Answer::NotInForce)
    });
    if let Some(answer) = answer {
        next.push(after(
            world,
            AnyStep::Publishing(Step::Tell(operator, answer)),
            |world| world.operators[operator].received = Some(answer),
        ));
    }
}

/// Returns the answer by the newest copy of the proposal that its node has read.
fn verdict_read(world: &World, proposal: &Proposal) -> Option<Answer> {
    let applied = world.nodes[proposal.by].applied?;
    let mut copies = world.log[..applied].iter().rev();
    let copy = copies.find(|entry| entry.proposal == *proposal)?;
    Some(match &copy.verdict {
        Verdict::Accepted => Answer::InForce,
        Verdict::Repeat(first) => {
            let index = usize::try_from(first - world.base.next).unwrap_or(0);
            match world.log[index].verdict {
                Verdict::Accepted => Answer::InForce,
                _ => Answer::NotInForce,
            }
        }
        Verdict::Rejected(_) => Answer::NotInForce,
    })
}

fn withdraw(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if !scenario.withdraws || world.event_counts.withdrawals > 0 || !world.is_accepting(node) {
        return;
    }
    next.push(after(
        world,
        AnyStep::Publishing(Step::Withdraw(node)),
        |world| {
            world.event_counts.withdrawals += 1;
            world.nodes[node].knows_withdrawal = true;
        },
    ));
}

/// A node that knows of the withdrawal but does not see it in the log proposes it.
fn log_withdrawal(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    let Some(state) = world.view(node) else {
        return;
    };
    if world.nodes[node].knows_withdrawal && state.team_of_key(KEY).is_some() {
        let proposal = Proposal {
            by: node,
            after: state.next,
            what: Payload::Withdraw,
        };
        propose(scenario, world, proposal, next);
    }
}
