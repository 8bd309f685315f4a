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
    CLIENT, Call, ConnectSnafu, Context, Error, Peer, Result, RpcSnafu, SERVER, SilentSnafu,
    network,
};
use crate::link_capnp::link;
use crate::message::Heartbeat;
use crate::permits::{Batch, Claim, Replies, Verdict};

/// How many heartbeats in a row a link may leave out because its peer was heard anyway.
const PROOF_EVERY: u32 = 8;

/// Maintains the link to `peer` until the task is aborted: connects, sends heartbeats and calls,
/// and reconnects after an error.
pub(super) async fn keep_link(
    cx: Rc<Context>,
    peer: Peer,
    mut calls: mpsc::UnboundedReceiver<Call>,
) {
    loop {
        let error = match connect(&cx, peer.addr).await {
            Ok(link) => use_until_error(&cx, &peer, &link, &mut calls).await,
            Err(error) => error,
        };
        (cx.handlers.on_error)(&peer.member, &error);
        // Fails queued calls at once, so that they don't wait for the reconnection.
        while let Ok(call) = calls.try_recv() {
            call.fail();
        }
        tokio::time::sleep(cx.settings.interval).await;
    }
}

async fn use_until_error(
    cx: &Rc<Context>,
    peer: &Peer,
    link: &Connection,
    calls: &mut mpsc::UnboundedReceiver<Call>,
) -> Error {
    let beating = beat_until_error(cx, peer, link);
    tokio::pin!(beating);
    loop {
        tokio::select! {
            error = &mut beating => return error,
            Some(call) = calls.recv() => {
                tokio::task::spawn_local(make(link.client.clone(), call, cx.settings.timeout));
            }
        }
    }
}

/// A call has a time limit of its own; that a link is silent is noticed by its heartbeats.
async fn make(client: link::Client, call: Call, limit: Duration) {
    match call {
        Call::Permits(batch, on_answer) => {
            let answer = timeout(limit, ask_for_permits(&client, &batch)).await;
            on_answer(answer.ok().and_then(Result::ok));
        }
        Call::Claim(claim, on_answer) => {
            let answer = timeout(limit, claim_key(&client, &claim)).await;
            on_answer(answer.ok().and_then(Result::ok));
        }
    }
}

async fn ask_for_permits(client: &link::Client, batch: &Batch) -> Result<Replies, capnp::Error> {
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

async fn beat_until_error(cx: &Rc<Context>, peer: &Peer, link: &Connection) -> Error {
    let interval = cx.settings.interval;
    let mut left_out = PROOF_EVERY;
    loop {
        if is_due(left_out, cx.heard_ago(&peer.member), interval) {
            left_out = 0;
            match beat(cx, peer, &link.client).await {
                Ok(beat) => cx.heard(beat),
                Err(error) => return error,
            }
        } else {
            left_out += 1;
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
pub fn is_due(left_out: u32, heard_ago: Option<Duration>, interval: Duration) -> bool {
    left_out >= PROOF_EVERY || heard_ago.is_none_or(|ago| ago >= interval)
}

async fn beat(cx: &Rc<Context>, peer: &Peer, client: &link::Client) -> Result<Heartbeat> {
    let mut req = client.beat_request();
    cx.beat_to(&peer.member).write(req.get().init_beat());
    let peer = peer.addr;
    let Ok(answer) = timeout(cx.settings.timeout, req.send().promise).await else {
        return SilentSnafu { peer }.fail();
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
        return SilentSnafu { peer }.fail();
    };
    let mut rpc = RpcSystem::new(
        network(stream.context(ConnectSnafu { peer })?, CLIENT),
        None,
    );
    let client = rpc.bootstrap(SERVER);
    let task = tokio::task::spawn_local(rpc).abort_handle();
    Ok(Connection { client, task })
}
