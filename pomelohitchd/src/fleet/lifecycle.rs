//! Start, graceful shutdown and exit codes.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use pomelohitch_adapter::settings::{self, Site};
use rouille::Response;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use snafu::{ResultExt, Snafu};
use tracing::{info, warn};

use super::leader::core::Event;
use super::logs::Logs;
use super::shared::{Shared, spawn, spawn_with};
use super::{callers, clock, election, internal, logs, members, relay};
use crate::front::{self, Service};

/// Version that is logged at the start.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Exit code if the daemon couldn't start.
const EXIT_START: u8 = 1;
/// Exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Interval at which signals are checked.
const TICK: Duration = Duration::from_millis(100);
/// Number of ticks between checks of the settings file, which may change without a signal.
const TICKS_PER_SETTINGS_CHECK: u32 = 10;
/// Time before the end of the platform's grace period at which the shutdown stops waiting for
/// requests in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

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

/// Runs the daemon with the settings file at `path` until a signal ends it.
#[must_use]
pub fn run(path: &Path) -> ExitCode {
    let mut logs = logs::start();
    match serve(path, &mut logs) {
        Ok(()) => {
            info!(dropped_lines = logs.dropped(), "stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!(%error, "failed to start");
            let code = match error {
                Error::Settings { .. } => EXIT_SETTINGS,
                _ => EXIT_START,
            };
            drop(logs);
            ExitCode::from(code)
        }
    }
}

struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

fn serve(path: &Path, logs: &mut Logs) -> Result<()> {
    let site = settings::read(path).context(SettingsSnafu)?;
    let signals = install_signals()?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .context(MetricsSnafu)?;
    info!(member = %site.member, zone = %site.zone, callers = %site.callers,
        internal = %site.internal, store = %site.store, metrics = %site.metrics,
        version = VERSION, "started");
    let shared = Arc::new(Shared::new(site.clone()));
    let internal = listen(site.internal)?;
    let readiness = listen(site.readiness)?;
    let callers = listen(site.callers)?;
    serve_metrics(&shared, site.metrics, metrics);
    let peers = internal::service(&shared);
    front::serve_in_background(peers, internal, internal::limits());
    let ready = callers::readiness(&shared);
    front::serve_in_background(ready, readiness, internal::limits());
    relay_calls(&shared, site.relay)?;
    spawn_with("members", &shared, members::run).context(ThreadSnafu)?;
    spawn_with("election", &shared, election::run).context(ThreadSnafu)?;
    let service = callers::service(&shared);
    let serving = spawn("callers", move || {
        front::serve_with(service, &callers, callers::limits());
    })
    .context(ThreadSnafu)?;
    watch(path, &shared, &signals, logs);
    shut_down(&shared, &serving);
    Ok(())
}

fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

/// Starts the server that relays calls to endpoints for the leader. If it fails, the leader makes
/// these calls itself.
fn relay_calls(shared: &Arc<Shared>, addr: SocketAddr) -> Result<()> {
    let relaying = spawn_with("relay", shared, move |shared| {
        let shared = shared.clone();
        let answer = Box::new(move |datagram: &[u8]| internal::handle_datagram(&shared, datagram));
        if let Err(error) = relay::server::run(addr, answer) {
            warn!(%addr, %error, "relay server failed");
        }
    });
    relaying.map(drop).context(ThreadSnafu)
}

/// Serves metrics to operators. If the address can't be listened on, the daemon still serves
/// callers.
fn serve_metrics(shared: &Arc<Shared>, addr: SocketAddr, metrics: PrometheusHandle) {
    let leaving = shared.clone();
    let service = Service {
        is_leaving: Box::new(move || leaving.is_leaving()),
        answer: Box::new(move |_| Response::text(metrics.render())),
    };
    match listen(addr) {
        Ok(listener) => front::serve_in_background(service, listener, internal::limits()),
        Err(error) => warn!(%addr, %error, "failed to serve metrics"),
    }
}

fn install_signals() -> Result<Signals> {
    let signals = Signals {
        stop: Arc::default(),
        reload: Arc::default(),
    };
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, signals.stop.clone()).context(SignalsSnafu)?;
    }
    signal_hook::flag::register(SIGHUP, signals.reload.clone()).context(SignalsSnafu)?;
    Ok(signals)
}

/// Reloads the settings file when it changes or on a signal, and reports dropped log lines, until a
/// signal ends the process.
fn watch(path: &Path, shared: &Shared, signals: &Signals, logs: &mut Logs) {
    let mut last_modified = modified(path);
    let mut ticks = 0_u32;
    while !signals.stop.load(Ordering::Acquire) {
        std::thread::sleep(TICK);
        logs.report_dropped(clock::steady());
        ticks += 1;
        let is_signalled = signals.reload.swap(false, Ordering::AcqRel);
        if !is_signalled && !ticks.is_multiple_of(TICKS_PER_SETTINGS_CHECK) {
            continue;
        }
        let now = modified(path);
        if is_signalled || now != last_modified {
            last_modified = now;
            reload(path, shared, is_signalled);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Applies changed settings. The addresses for callers, other members and readiness checks stay as
/// they are, since they are already listened on.
fn reload(path: &Path, shared: &Shared, is_signalled: bool) {
    match settings::read(path) {
        Ok(site) => {
            info!(is_told = is_signalled, store = %site.store, "settings reloaded");
            shared.site.store(Arc::new(Site {
                callers: shared.site.load().callers,
                internal: shared.site.load().internal,
                readiness: shared.site.load().readiness,
                ..site
            }));
        }
        Err(error) => warn!(%error, "failed to reload settings; keeping the previous ones"),
    }
}

/// Hands the leadership over, if this process holds it, and finishes the requests that were read.
fn shut_down(shared: &Shared, serving: &std::thread::JoinHandle<()>) {
    info!("shutting down");
    let started_at = clock::steady();
    shared.begin_shutdown();
    if let Some(leadership) = shared.leadership() {
        let _ = leadership.events.send(Event::Shutdown);
    }
    let grace = shared.site.load().bounds.grace.saturating_sub(GRACE_MARGIN);
    while !serving.is_finished() && clock::steady().saturating_sub(started_at) < grace {
        std::thread::sleep(TICK);
    }
}
