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
use super::shared::{Shared, spawn, spawn_with};
use super::{callers, clock, election, internal, logs, members, relay};
use crate::front::{self, Service};

/// Shown at the start.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The start failed.
const EXIT_START: u8 = 1;
/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;
/// How often signals and the settings file are looked at.
const TICK: Duration = Duration::from_millis(100);
/// The settings file is looked at once in so many ticks, as it may change without a signal.
const TICKS_PER_LOOK: u32 = 10;
/// Before the end of the grace that the platform gives, answers in flight are left.
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
    #[snafu(display("install the handlers of signals: {source}"))]
    Signals { source: std::io::Error },
    #[snafu(display("start counting: {source}"))]
    Metrics {
        source: metrics_exporter_prometheus::BuildError,
    },
    #[snafu(display("start a thread: {source}"))]
    Thread { source: std::io::Error },
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs the daemon by the settings file at `path` until a signal ends it.
#[must_use]
pub fn run(path: &Path) -> ExitCode {
    let logs = logs::start();
    match serve(path) {
        Ok(()) => {
            info!(dropped_lines = logs.dropped(), "stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            tracing::error!(%error, "not started");
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

fn serve(path: &Path) -> Result<()> {
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
    watch(path, &shared, &signals);
    shut_down(&shared, &serving);
    Ok(())
}

fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).context(ListenSnafu { addr })
}

/// The leader makes calls by itself where a member doesn't carry them.
fn relay_calls(shared: &Arc<Shared>, addr: SocketAddr) -> Result<()> {
    let relaying = spawn_with("relay", shared, move |shared| {
        let shared = shared.clone();
        let answer = Box::new(move |datagram: &[u8]| internal::handle_datagram(&shared, datagram));
        if let Err(error) = relay::server::run(addr, answer) {
            warn!(%addr, %error, "calls aren't carried");
        }
    });
    relaying.map(drop).context(ThreadSnafu)
}

/// Operators look at metrics now and then; a daemon that can't show them still serves callers.
fn serve_metrics(shared: &Arc<Shared>, addr: SocketAddr, metrics: PrometheusHandle) {
    let leaving = shared.clone();
    let service = Service {
        is_leaving: Box::new(move || leaving.is_leaving()),
        answer: Box::new(move |_| Response::text(metrics.render())),
    };
    match listen(addr) {
        Ok(listener) => front::serve_in_background(service, listener, internal::limits()),
        Err(error) => warn!(%addr, %error, "metrics aren't shown"),
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

/// Follows the settings file until a signal ends the process.
fn watch(path: &Path, shared: &Shared, signals: &Signals) {
    let mut seen = modified(path);
    let mut ticks = 0_u32;
    while !signals.stop.load(Ordering::Acquire) {
        std::thread::sleep(TICK);
        ticks += 1;
        let is_told = signals.reload.swap(false, Ordering::AcqRel);
        if !is_told && !ticks.is_multiple_of(TICKS_PER_LOOK) {
            continue;
        }
        let now = modified(path);
        if is_told || now != seen {
            seen = now;
            reload(path, shared, is_told);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Puts changed settings in force. Addresses that are listened on stay as they are.
fn reload(path: &Path, shared: &Shared, is_told: bool) {
    match settings::read(path) {
        Ok(site) => {
            info!(is_told, store = %site.store, "settings read again");
            shared.site.store(Arc::new(Site {
                callers: shared.site.load().callers,
                internal: shared.site.load().internal,
                readiness: shared.site.load().readiness,
                ..site
            }));
        }
        Err(error) => warn!(%error, "changed settings can't be used; the former ones stay"),
    }
}

/// Hands the leadership over, if it is here, and finishes what was read.
fn shut_down(shared: &Shared, serving: &std::thread::JoinHandle<()>) {
    info!("shutting down");
    let began = clock::steady();
    shared.begin_shutdown();
    if let Some(leading) = shared.leadership() {
        let _ = leading.events.send(Event::Leave);
    }
    let grace = shared.site.load().bounds.grace.saturating_sub(GRACE_MARGIN);
    while !serving.is_finished() && clock::steady().saturating_sub(began) < grace {
        std::thread::sleep(TICK);
    }
}
