//! Start, graceful shutdown and exit codes.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::PrometheusBuilder;
use pomelohitch_core::Verdict;
use pomelohitch_core::id::Incarnation;
use pomelohitch_core::record::{Body, Join, Leave};
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use tracing::{info, warn};

use crate::node::{Node, ProposeError};
use crate::settings::{self, LogFormat, Settings};
use crate::{
    admin, batch, burn, front, leaving, liveness, peers, permits, planner, reader, readiness,
    withdraw,
};

/// Exit code of a failed start.
const EXIT_START: u8 = 1;
/// Exit code for invalid settings; the same as that of `clap`.
const EXIT_SETTINGS: u8 = 2;
/// Exit code after a second signal, which aborts the graceful shutdown.
const EXIT_ABORTED: i32 = 3;
/// Polling interval of the loops here.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one proposal of this member's join or leave.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout during shutdown for appending withdrawals that aren't in the log yet.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The daemon couldn't start.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Settings { source: settings::Error },
    #[snafu(display("listen on {addr}: {source}"))]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("{source}"))]
    Admin { source: admin::Error },
    #[snafu(display("{source}"))]
    Peers {
        source: pomelohitch_peer::links::Error,
    },
    #[snafu(display("install signal handlers: {source}"))]
    Signals { source: std::io::Error },
    #[snafu(display("install the metrics recorder: {source}"))]
    Metrics {
        source: metrics_exporter_prometheus::BuildError,
    },
    #[snafu(display("start a thread: {source}"))]
    Thread { source: std::io::Error },
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs the daemon until a signal ends it.
#[must_use]
pub fn run(settings: Settings) -> ExitCode {
    start_logging(&settings);
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pomelohitchd: {error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &Error) -> u8 {
    match error {
        Error::Settings { .. } => EXIT_SETTINGS,
        _ => EXIT_START,
    }
}

fn start_logging(settings: &Settings) {
    let filter = tracing_subscriber::EnvFilter::new(&*settings.log_level);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn serve(settings: Settings) -> Result<()> {
    settings.check().context(SettingsSnafu)?;
    let stop = install_signals()?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context(MetricsSnafu)?;
    let callers = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let peer_addr = peer_listener.local_addr().context(ListenSnafu {
        addr: settings.peer_listen,
    })?;

    let node = Arc::new(Node::new(settings));
    let admin = admin::bind(&node, metrics).context(AdminSnafu)?;
    announce(&callers, admin.server_addr(), peer_addr);
    let links = peers::start(&node, peer_listener).context(PeersSnafu)?;
    node.permits.set_links(links.commands.clone());
    spawn("admin", move || admin.run())?;
    spawn_with("reader", &node, reader::run)?;
    spawn_with("leaving", &node, leaving::run)?;
    spawn_with("liveness", &node, liveness::run)?;
    spawn_with("planner", &node, planner::run)?;
    spawn_with("withdraw", &node, withdraw::run)?;
    spawn_with("permits", &node, permits::run)?;
    spawn_with("borders", &node, permits::limit_split::run)?;
    spawn_with("batch", &node, batch::run)?;
    spawn_with("burn", &node, burn::run)?;
    let serving = spawn_with("front", &node, move |node| front::run(node, &callers))?;

    let advertised = peers::advertised(&node, peer_addr);
    let mut epoch = None;
    let mut joined = None;
    while !stop.load(Ordering::Acquire) {
        epoch = peers::follow_members(&node, &links, epoch);
        keep_joined(&node, &mut joined, advertised);
        std::thread::sleep(POLL_INTERVAL);
    }
    shut_down(&node, &serving);
    node.permits.drop_links();
    links.stop();
    Ok(())
}

/// Prints the addresses. Other programs read them from these lines if the system chose the ports.
fn announce(callers: &TcpListener, admin: SocketAddr, peers: SocketAddr) {
    if let Ok(addr) = callers.local_addr() {
        println!("listening callers {addr}");
    }
    println!("listening admin {admin}");
    println!("listening peers {peers}");
}

fn install_signals() -> Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        // Registered before the handler that sets the flag. At the first signal the flag is still
        // unset, so only a second signal exits the process.
        signal_hook::flag::register_conditional_shutdown(signal, EXIT_ABORTED, stop.clone())
            .context(SignalsSnafu)?;
        signal_hook::flag::register(signal, stop.clone()).context(SignalsSnafu)?;
    }
    Ok(stop)
}

fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

fn spawn<F: FnOnce() + Send + 'static>(name: &str, run: F) -> Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .context(ThreadSnafu)
}

fn spawn_with(
    name: &str,
    node: &Arc<Node>,
    run: impl FnOnce(&Arc<Node>) + Send + 'static,
) -> Result<std::thread::JoinHandle<()>> {
    let node = node.clone();
    spawn(name, move || run(&node))
}

/// This member's join, once it has taken effect.
#[derive(Debug, Clone, Copy)]
struct Joined {
    incarnation: Incarnation,
    at: Instant,
}

/// Joins at the start, and again as a new incarnation if the peers removed this one as dead.
/// Serves only after it has caught up.
fn keep_joined(node: &Node, joined: &mut Option<Joined>, peer_addr: SocketAddr) {
    let state = node.state.load_full();
    let member = state.members.by_id.get(&node.settings.member);
    let is_current = |j: &Joined| member.is_some_and(|m| m.incarnation == j.incarnation);
    match joined.filter(is_current) {
        Some(joined) => serve_when_caught_up(node, joined),
        None => *joined = join(node, peer_addr),
    }
}

fn serve_when_caught_up(node: &Node, joined: Joined) {
    if node.lifecycle.ready.load(Ordering::Acquire) {
        return;
    }
    if readiness::evidence(node, joined.at.elapsed()).may_serve() {
        node.lifecycle.ready.store(true, Ordering::Release);
        info!(incarnation = joined.incarnation, "ready to serve");
    }
}

fn join(node: &Node, peer_addr: SocketAddr) -> Option<Joined> {
    if node.lifecycle.ready.swap(false, Ordering::AcqRel) {
        warn!("this incarnation was ended by a record in the log; joining again");
    }
    // Until the reader has read the log, no verdict can arrive.
    node.last_log_read()?;
    let join = Join {
        member: node.settings.member.clone(),
        zone: node.settings.zone.clone(),
        peer_addr,
    };
    match node.propose(Body::Join(join), PROPOSE_TIMEOUT) {
        Ok(decided) if matches!(decided.verdict, Verdict::Accepted | Verdict::Repeat(_)) => {
            let incarnation = decided.offset;
            node.incarnation.store(incarnation, Ordering::Release);
            info!(incarnation, "joined");
            let at = Instant::now();
            Some(Joined { incarnation, at })
        }
        Ok(decided) => {
            warn!(verdict = ?decided.verdict, "the join was rejected");
            None
        }
        Err(ProposeError::NotAppended { .. } | ProposeError::NoVerdict { .. }) => {
            metrics::counter!("join_errors").increment(1);
            None
        }
    }
}

/// Shuts down gracefully: becomes not ready, so that the balancer and the peers send nothing new;
/// finishes requests in flight; then leaves, so that the peers needn't wait for the lease to
/// expire.
fn shut_down(node: &Node, serving: &std::thread::JoinHandle<()>) {
    info!("shutting down");
    node.lifecycle.leaving.store(true, Ordering::Release);
    let deadline = Instant::now() + Duration::from_millis(node.settings.shutdown_ms);
    while !serving.is_finished() && Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
    if !serving.is_finished() {
        warn!("shutdown timed out; aborting requests in flight");
    }
    withdraw::flush(node, FLUSH_TIMEOUT);
    burn::finish(node);
    let incarnation = node.incarnation.load(Ordering::Acquire);
    let leave = Leave {
        member: node.settings.member.clone(),
        incarnation,
    };
    if let Err(error) = node.propose(Body::Leave(leave), PROPOSE_TIMEOUT) {
        warn!(%error, "could not append the leave; peers remove this member after its lease");
    }
    info!("stopped");
}
