//! Settings of the process, from flags and environment variables.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use clap::{Parser, ValueEnum};
use pomelohitch_core::id::{MemberId, ZoneId};
use snafu::Snafu;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What the planner weighs when it moves instances between pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Weighting {
    /// Few moves and a larger buffer.
    FewMoves,
    /// A smaller buffer and more moves.
    SmallBuffer,
}

impl From<Weighting> for pomelohitch_maintain::demand::Weighting {
    fn from(weighting: Weighting) -> Self {
        match weighting {
            Weighting::FewMoves => Self::FewMoves,
            Weighting::SmallBuffer => Self::SmallBuffer,
        }
    }
}

/// The daemon of an entry instance of pomelohitch.
///
/// SIGTERM shuts down gracefully and exits with 0. A second SIGTERM stops at once and exits
/// with 3. Wrong settings exit with 2; a start that fails exits with 1.
#[derive(Debug, Clone, Parser)]
#[command(version)]
pub struct Settings {
    /// This entry instance's id, unique among the entry instances
    #[arg(long, env = "POMELOHITCH_MEMBER")]
    pub member: MemberId,
    /// This entry instance's availability zone
    #[arg(long, env = "POMELOHITCH_ZONE")]
    pub zone: ZoneId,
    /// Address for callers, IP:PORT; port 0 takes a free one
    #[arg(long, env = "POMELOHITCH_LISTEN", default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address for operators, IP:PORT; port 0 takes a free one
    #[arg(long, env = "POMELOHITCH_ADMIN_LISTEN", default_value = "127.0.0.1:0")]
    pub admin_listen: SocketAddr,
    /// Address for the other entry instances, IP:PORT; port 0 takes a free one
    #[arg(long, env = "POMELOHITCH_PEER_LISTEN", default_value = "127.0.0.1:0")]
    pub peer_listen: SocketAddr,
    /// IP address at which the other entry instances reach this one, if not that of --peer-listen
    #[arg(long, env = "POMELOHITCH_PEER_ADVERTISE")]
    pub peer_advertise: Option<IpAddr>,
    /// Address of the platform's log, <http://IP:PORT>
    #[arg(long, env = "POMELOHITCH_LOG_URL")]
    pub log_url: Box<str>,
    /// Address of the platform's pools and live list, <http://IP:PORT>
    #[arg(long, env = "POMELOHITCH_INSTANCES_URL")]
    pub instances_url: Box<str>,
    /// Address of the platform's workers, <http://IP:PORT>
    #[arg(long, env = "POMELOHITCH_WORKERS_URL")]
    pub workers_url: Box<str>,
    /// Hashes of the operators' keys in force, 64 hexadecimal digits each as `pomelohitch keys
    /// new` prints them, with commas between them
    #[arg(
        long,
        env = "POMELOHITCH_ADMIN_KEY_HASH",
        value_delimiter = ',',
        required = true
    )]
    pub admin_key_hash: Vec<Box<str>>,
    /// Time limit of a call to the platform, milliseconds (1 to 60000)
    #[arg(long, env = "POMELOHITCH_PLATFORM_TIMEOUT_MS", default_value_t = 2000)]
    pub platform_timeout_ms: u64,
    /// Longest graceful shutdown, milliseconds (0 to 3600000)
    #[arg(long, env = "POMELOHITCH_SHUTDOWN_MS", default_value_t = 30_000)]
    pub shutdown_ms: u64,
    /// Interval of heartbeats between entry instances, milliseconds (10 to 60000)
    #[arg(long, env = "POMELOHITCH_HEARTBEAT_MS", default_value_t = 1000)]
    pub heartbeat_ms: u64,
    /// A peer not heard of for so long is held for dead, milliseconds (at least 4 heartbeats)
    #[arg(long, env = "POMELOHITCH_MEMBER_LEASE_MS", default_value_t = 4000)]
    pub member_lease_ms: u64,
    /// Longest time between two snapshots of a changing state, milliseconds (100 to 86400000); the
    /// log has to keep records for at least twice as long
    #[arg(long, env = "POMELOHITCH_SNAPSHOT_MS", default_value_t = 1_800_000)]
    pub snapshot_ms: u64,
    /// What the planner weighs when it moves instances between pools
    #[arg(long, env = "POMELOHITCH_WEIGHTING", value_enum, default_value_t = Weighting::FewMoves)]
    pub weighting: Weighting,
    /// How log lines are written
    #[arg(long, env = "POMELOHITCH_LOG_FORMAT", value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Which log lines are written, as `tracing` directives
    #[arg(long, env = "POMELOHITCH_LOG_LEVEL", default_value = "info")]
    pub log_level: Box<str>,
}

/// All faults of the settings, so that they can be fixed together.
#[derive(Debug, Snafu)]
#[snafu(display("wrong settings:\n{}", faults.join("\n")))]
pub struct Error {
    faults: Vec<String>,
}

/// The result of [`Settings::check`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Length of a key hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Shortest allowed member lease, in heartbeat intervals.
const LEASE_HEARTBEATS: u64 = 4;

impl Settings {
    /// Checks what `clap` can't: ranges, addresses and settings that depend on one another.
    ///
    /// # Errors
    /// If any setting is invalid; lists every fault with its flag.
    pub fn check(&self) -> Result<()> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, fault: String| {
            if !ok {
                faults.push(fault);
            }
        };
        for (flag, value) in [("--member", &self.member), ("--zone", &self.zone)] {
            require(!value.is_empty(), format!("{flag}: is empty; give a name"));
        }
        for (flag, url) in [
            ("--log-url", &self.log_url),
            ("--instances-url", &self.instances_url),
            ("--workers-url", &self.workers_url),
        ] {
            require(
                is_ip_url(url),
                format!("{flag}: '{url}' isn't http://IP:PORT"),
            );
        }
        // The value isn't printed, because it may be a key given in place of its hash.
        require(
            self.admin_key_hash.iter().all(|hash| is_hash(hash)),
            "--admin-key-hash: isn't 64 hexadecimal digits".to_owned(),
        );
        for (flag, value, range) in [
            (
                "--platform-timeout-ms",
                self.platform_timeout_ms,
                1..=60_000,
            ),
            ("--shutdown-ms", self.shutdown_ms, 0..=3_600_000),
            ("--heartbeat-ms", self.heartbeat_ms, 10..=60_000),
            ("--snapshot-ms", self.snapshot_ms, 100..=86_400_000),
        ] {
            let (low, high) = (range.start(), range.end());
            require(
                range.contains(&value),
                format!("{flag}: {value} isn't {low} to {high}"),
            );
        }
        let least = self.heartbeat_ms.saturating_mul(LEASE_HEARTBEATS);
        let lease = self.member_lease_ms;
        require(
            lease >= least,
            format!("--member-lease-ms: {lease} is below {least}"),
        );
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error { faults })
        }
    }

    /// Time limit of a call to the platform.
    #[must_use]
    pub fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    /// A peer from which no heartbeat arrives for this long is treated as dead.
    #[must_use]
    pub fn member_lease(&self) -> Duration {
        Duration::from_millis(self.member_lease_ms)
    }
}

fn is_hash(hash: &str) -> bool {
    hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit())
}

/// The platform, like the peers, is addressed by IP: a host name would need a resolver, which can
/// fail.
fn is_ip_url(url: &str) -> bool {
    url.strip_prefix("http://")
        .is_some_and(|addr| addr.parse::<SocketAddr>().is_ok())
}
