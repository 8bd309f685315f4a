//! The operators' port: health, metrics and the administration API of `docs/ADMIN.md`.
//!
//! * [`operator`]: authenticates operators.
//! * [`view`]: status of this entry instance and of the fleet.
//! * [`change`]: changes by operators.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use metrics_exporter_prometheus::PrometheusHandle;
use rouille::{Request, Response};

use crate::metrics_list;
use crate::node::Node;

pub mod change;
pub mod operator;
pub mod view;

/// Number of requests answered at the same time; further ones wait in the server.
const THREADS: usize = 4;

/// The operators' port couldn't be opened.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("listen for operators on {addr}: {message}"))]
pub struct Error {
    addr: std::net::SocketAddr,
    message: Box<str>,
}

/// The result of opening the operators' port.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The server of the operators' port.
pub type Server = rouille::Server<Box<dyn Fn(&Request) -> Response + Send + Sync>>;

/// State behind the operators' port.
#[derive(Debug)]
struct Admin {
    node: Arc<Node>,
    metrics: PrometheusHandle,
    drain_requested: AtomicBool,
}

/// Opens the operators' port.
///
/// # Errors
/// If the address can't be listened on.
pub fn bind(node: &Arc<Node>, metrics: PrometheusHandle) -> Result<Server> {
    let addr = node.settings.admin_listen;
    let admin = Admin {
        node: node.clone(),
        metrics,
        drain_requested: AtomicBool::new(false),
    };
    let handler: Box<dyn Fn(&Request) -> Response + Send + Sync> =
        Box::new(move |req| admin.answer(req));
    let server = rouille::Server::new(addr, handler).map_err(|error| Error {
        addr,
        message: error.to_string().into(),
    })?;
    Ok(server.pool_size(THREADS))
}

impl Admin {
    fn answer(&self, req: &Request) -> Response {
        match (req.method(), &*req.url()) {
            ("GET", "/healthz") => Response::text("ok\n"),
            ("GET", "/readyz") if self.node.is_ready() => Response::text("ready\n"),
            ("GET", "/readyz") => Response::text("not ready\n").with_status_code(503),
            ("GET", "/metrics") => {
                metrics_list::observe(&self.node);
                Response::text(self.metrics.render())
            }
            (method, path) if path.starts_with("/v1/admin/") => {
                if operator::is_known(&self.node.settings, req) {
                    self.administer(method, path, req)
                } else {
                    metrics::counter!("admin_refused").increment(1);
                    Response::text("unknown key\n").with_status_code(401)
                }
            }
            _ => Response::empty_404(),
        }
    }

    fn administer(&self, method: &str, path: &str, req: &Request) -> Response {
        let node = &self.node;
        match (method, path) {
            ("GET", "/v1/admin/status") => Response::json(&view::status(node)),
            ("GET", "/v1/admin/members") => Response::json(&view::status(node).fleet.members),
            ("GET", "/v1/admin/pools") => Response::json(&view::status(node).fleet.pools),
            ("GET", "/v1/admin/waves") => Response::json(&view::status(node).fleet.waves),
            ("GET", "/v1/admin/state") => {
                Response::json(&view::full_state(node, &node.state.load()))
            }
            ("POST", "/v1/admin/keys/withdraw") => change::withdraw_key(node, req),
            ("POST", "/v1/admin/maintain") => change::maintain(node, req),
            ("POST", "/v1/admin/drain") => change::drain(&self.drain_requested),
            _ => Response::empty_404(),
        }
    }
}
