//! `pomelohitch status`: members, pools, waves, teams, and what waits for which reason.

use std::fmt::Write as _;

use pomelohitch_core::status::{EntryStatus, PoolStatus, Status, TeamStatus};
use serde::Serialize;

use crate::exit::Exit;
use crate::output::{Output, table};

/// The status of the fleet, and of the entry instance that was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StatusView {
    /// Status of the entry instance that was asked; `None` if the log was read instead.
    pub entry: Option<EntryStatus>,
    /// Status of the fleet.
    pub fleet: Status,
}

/// Renders a status.
#[must_use]
pub fn show(view: &StatusView) -> Output {
    let fleet = &view.fleet;
    let mut text = String::new();
    let planner = fleet.planner.as_deref().unwrap_or("nobody");
    let _ = writeln!(
        text,
        "offset {}, term {}, planned by {planner}",
        fleet.next, fleet.term
    );
    if let Some(entry) = &view.entry {
        text += &entry_line(entry);
    }
    section(&mut text, "members", members(view));
    section(&mut text, "pools", pools(&fleet.pools));
    section(&mut text, "waves", waves(fleet));
    section(&mut text, "teams", teams(&fleet.teams));
    section(&mut text, "waiting", waiting(fleet));
    if !fleet.quarantined.is_empty() {
        let _ = writeln!(
            text,
            "\nquarantined workers: {}",
            fleet.quarantined.join(", ")
        );
    }
    Output::new(Exit::Done, text, view)
}

fn entry_line(entry: &EntryStatus) -> String {
    let state = match (entry.ready, entry.leaving) {
        (_, true) => "leaving",
        (true, false) => "ready",
        (false, false) => "not ready",
    };
    let EntryStatus {
        member, zone, lag, ..
    } = entry;
    format!("asked {member} in {zone}: {state}, {lag} records behind the log\n")
}

fn section(text: &mut String, name: &str, body: Option<String>) {
    if let Some(body) = body {
        let _ = write!(text, "\n{name}\n{body}");
    }
}

fn non_empty_table(headings: &[&str], rows: &[Vec<String>]) -> Option<String> {
    (!rows.is_empty()).then(|| table(headings, rows))
}

fn members(view: &StatusView) -> Option<String> {
    let heard = |member: &str| {
        let peers = view.entry.iter().flat_map(|entry| &entry.peers);
        let mut peers = peers.filter(|peer| &*peer.member == member);
        peers.next().map_or_else(String::new, |peer| {
            format!("{} ms ago, at {}", peer.heard_ms_ago, peer.next)
        })
    };
    let lines = view.fleet.members.iter().map(|member| {
        vec![
            member.member.to_string(),
            member.zone.to_string(),
            member.incarnation.to_string(),
            member.peer_addr.to_string(),
            heard(&member.member),
        ]
    });
    let lines: Vec<_> = lines.collect();
    non_empty_table(&["MEMBER", "ZONE", "SINCE", "ADDRESS", "HEARD"], &lines)
}

fn pools(pools: &[PoolStatus]) -> Option<String> {
    let lines = pools.iter().map(|pool| {
        let services = pool.services.iter().map(|service| {
            let (id, min, spare) = (&service.service, service.min_available, service.spare);
            format!("{id} needs {min}, spare {spare}")
        });
        vec![
            pool.pool.to_string(),
            pool.active.to_string(),
            pool.draining.to_string(),
            pool.drained.to_string(),
            pool.failed.to_string(),
            pool.moving.to_string(),
            services.collect::<Vec<_>>().join("; "),
        ]
    });
    let lines: Vec<_> = lines.collect();
    let headings = [
        "POOL", "ACTIVE", "DRAINING", "DRAINED", "FAILED", "MOVING", "SERVICES",
    ];
    non_empty_table(&headings, &lines)
}

fn waves(fleet: &Status) -> Option<String> {
    let lines = fleet.waves.iter().map(|wave| {
        vec![
            wave.pool.to_string(),
            wave.since.to_string(),
            wave.left.to_string(),
            wave.out.to_string(),
            wave.lost.to_string(),
        ]
    });
    let lines: Vec<_> = lines.collect();
    non_empty_table(&["POOL", "SINCE", "LEFT", "OUT", "LOST"], &lines)
}

fn teams(teams: &[TeamStatus]) -> Option<String> {
    let lines = teams.iter().map(|team| {
        vec![
            team.team.to_string(),
            team.share.to_string(),
            team.limit.to_string(),
            team.requests_limit.to_string(),
            format!("{} of {}", team.jobs_active, team.jobs_limit),
            team.jobs_waiting.to_string(),
            team.keys.to_string(),
        ]
    });
    let lines: Vec<_> = lines.collect();
    let headings = [
        "TEAM", "SHARE", "LIMIT", "REQUESTS", "JOBS", "WAITING", "KEYS",
    ];
    non_empty_table(&headings, &lines)
}

fn waiting(fleet: &Status) -> Option<String> {
    let lines = fleet.waiting.iter();
    let lines: Vec<_> = lines
        .map(|waiting| vec![waiting.what.to_string(), waiting.why.to_string()])
        .collect();
    non_empty_table(&["WHAT", "WHY"], &lines)
}
