//! Answers the requests of peers.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Promise;
use capnp_rpc::RpcSystem;

use super::{Context, SERVER, network};
use crate::link_capnp::link;
use crate::message::Heartbeat;
use crate::permits::{Batch, Claim};

/// Accepts connections of peers on `listener` until the task is aborted.
pub(super) async fn accept(cx: Rc<Context>, listener: TcpListener) {
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("the listener was set to non-blocking and the runtime has its driver enabled");
    let server: link::Client = capnp_rpc::new_client(Server { cx });
    let connections: RefCell<tokio::task::JoinSet<()>> = RefCell::default();
    loop {
        // Accepting fails when the process has no free file descriptors. Peers retry on their own.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let rpc = RpcSystem::new(network(stream, SERVER), Some(server.clone().client));
        let mut connections = connections.borrow_mut();
        connections.spawn_local(async {
            // The peer reconnects when a connection fails, so the error is ignored.
            let _ = rpc.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

struct Server {
    cx: Rc<Context>,
}

impl link::Server for Server {
    fn beat(
        self: Rc<Self>,
        params: link::BeatParams,
        mut results: link::BeatResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let read = || Heartbeat::read(params.get()?.get_beat()?);
        let heartbeat = match read() {
            Ok(heartbeat) => heartbeat,
            Err(error) => return Promise::err(error),
        };
        let member = heartbeat.member.clone();
        self.cx.record_heartbeat(heartbeat);
        let own = self.cx.heartbeat_to(&member);
        own.write(results.get().init_beat());
        Promise::ok(())
    }

    fn permits(
        self: Rc<Self>,
        params: link::PermitsParams,
        mut results: link::PermitsResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let read = || Batch::read(params.get()?.get_batch()?);
        let batch = match read() {
            Ok(batch) => batch,
            Err(error) => return Promise::err(error),
        };
        (self.cx.handlers.on_batch)(batch).write(results.get().init_replies());
        Promise::ok(())
    }

    fn claim(
        self: Rc<Self>,
        params: link::ClaimParams,
        mut results: link::ClaimResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let read = || Claim::read(params.get()?.get_claim()?);
        let claim = match read() {
            Ok(claim) => claim,
            Err(error) => return Promise::err(error),
        };
        let verdict = (self.cx.handlers.on_claim)(claim);
        results.get().set_verdict(verdict.write());
        Promise::ok(())
    }
}
