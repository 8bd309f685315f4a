//! The outgoing link to a peer: connection, heartbeats and calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::{
    CLIENT, Call, ConnectSnafu, Context, Error, Peer, Result, RpcSnafu, SERVER, TimeoutSnafu,
    network,
};
use crate::link_capnp::link;
use crate::message::Heartbeat;
use crate::permits::{Batch, Claim, Replies, Verdict};

/// Number of consecutive heartbeats that a link skips while heartbeats of the peer arrive.
const MAX_SKIPPED_HEARTBEATS: u32 = 8;

/// Maintains the link to `peer` until the task is aborted: connects, sends heartbeats and calls,
/// and reconnects after an error.
pub(super) async fn run_link(
    cx: Rc<Context>,
    peer: Peer,
    mut calls: mpsc::UnboundedReceiver<Call>,
) {
    loop {
        let error = match connect(&cx, peer.addr).await {
            Ok(link) => run_connection(&cx, &peer, &link, &mut calls).await,
            Err(error) => error,
        };
        (cx.handlers.on_error)(&peer.member, &error);
        // Fails the calls queued so far, so that they don't wait for the reconnection.
        while let Ok(call) = calls.try_recv() {
            call.fail();
        }
        tokio::time::sleep(cx.settings.interval).await;
    }
}

async fn run_connection(
    cx: &Rc<Context>,
    peer: &Peer,
    link: &Connection,
    calls: &mut mpsc::UnboundedReceiver<Call>,
) -> Error {
    let heartbeats = send_heartbeats(cx, peer, link);
    tokio::pin!(heartbeats);
    loop {
        tokio::select! {
            error = &mut heartbeats => return error,
            Some(call) = calls.recv() => {
                tokio::task::spawn_local(send_call(link.client.clone(), call, cx.settings.timeout));
            }
        }
    }
}

/// Sends a call with its own timeout. A call that times out doesn't close the link; only a
/// heartbeat that times out does.
async fn send_call(client: link::Client, call: Call, limit: Duration) {
    match call {
        Call::Permits(batch, on_answer) => {
            let answer = timeout(limit, request_permits(&client, &batch)).await;
            on_answer(answer.ok().and_then(Result::ok));
        }
        Call::Claim(claim, on_answer) => {
            let answer = timeout(limit, claim_key(&client, &claim)).await;
            on_answer(answer.ok().and_then(Result::ok));
        }
    }
}

async fn request_permits(client: &link::Client, batch: &Batch) -> Result<Replies, capnp::Error> {
    let mut req = client.permits_request();
    batch.write(req.get().init_batch());
    let answer = req.send().promise.await?;
    Replies::read(answer.get()?.get_replies()?)
}

async fn claim_key(client: &link::Client, claim: &Claim) -> Result<Verdict, capnp::Error> {
    let mut req = client.claim_request();
    claim.write(req.get().init_claim());
    let answer = req.send().promise.await?;
    Ok(Verdict::read(answer.get()?.get_verdict()?))
}

async fn send_heartbeats(cx: &Rc<Context>, peer: &Peer, link: &Connection) -> Error {
    let interval = cx.settings.interval;
    let mut skipped = MAX_SKIPPED_HEARTBEATS;
    loop {
        if is_heartbeat_due(skipped, cx.since_heartbeat(&peer.member), interval) {
            skipped = 0;
            match send_heartbeat(cx, peer, &link.client).await {
                Ok(heartbeat) => cx.record_heartbeat(heartbeat),
                Err(error) => return error,
            }
        } else {
            skipped += 1;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Whether a link sends a heartbeat now, after `skipped` consecutive skipped ones, if the last
/// heartbeat of the peer arrived `since_heartbeat` ago (`None`: never).
///
/// A heartbeat and its answer give both ends the same information. An end that received one within
/// the interval skips its own, except for every ninth, which checks that its own link still works.
#[must_use]
pub fn is_heartbeat_due(
    skipped: u32,
    since_heartbeat: Option<Duration>,
    interval: Duration,
) -> bool {
    skipped >= MAX_SKIPPED_HEARTBEATS || since_heartbeat.is_none_or(|ago| ago >= interval)
}

async fn send_heartbeat(cx: &Rc<Context>, peer: &Peer, client: &link::Client) -> Result<Heartbeat> {
    let mut req = client.beat_request();
    cx.heartbeat_to(&peer.member).write(req.get().init_beat());
    let peer = peer.addr;
    let Ok(answer) = timeout(cx.settings.timeout, req.send().promise).await else {
        return TimeoutSnafu { peer }.fail();
    };
    let read = || Heartbeat::read(answer?.get()?.get_beat()?);
    read().context(RpcSnafu { peer })
}

/// An outgoing connection. Dropping it aborts the task that drives it.
struct Connection {
    client: link::Client,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(cx: &Rc<Context>, peer: SocketAddr) -> Result<Connection> {
    let connecting = tokio::net::TcpStream::connect(peer);
    let Ok(stream) = timeout(cx.settings.timeout, connecting).await else {
        return TimeoutSnafu { peer }.fail();
    };
    let mut rpc = RpcSystem::new(
        network(stream.context(ConnectSnafu { peer })?, CLIENT),
        None,
    );
    let client = rpc.bootstrap(SERVER);
    let task = tokio::task::spawn_local(rpc).abort_handle();
    Ok(Connection { client, task })
}
