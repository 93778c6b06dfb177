use {
    crate::gate::{run_request, GateContext},
    pitchhitch_core::role::AgentEvent,
    pitchhitch_process::spawn_detached,
    pitchhitch_wire::{
        link::{serve_link, IncomingCall, ReplySender},
        messages::{LinkCall, LinkReply},
    },
    smol::{
        net::{TcpListener, TcpStream},
        Timer,
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum number of batches queued for a slow subscriber.
const MAX_QUEUED_BATCHES: usize = 256;
/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links. Never returns.
pub async fn serve_links(
    listener: TcpListener,
    context: Arc<GateContext>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_detached(serve_connection(stream, context.clone())),
            Err(error) => {
                log::warn!(event = "accept-failed", error = error.to_string().as_str(); "");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    context: Arc<GateContext>,
) {
    let result = serve_link(stream, |call| {
        spawn_detached(serve_call(call, context.clone()));
    });
    if let Err(error) = result.await {
        log::debug!(event = "link-ended", error = error.to_string().as_str(); "");
    }
}

async fn serve_call(
    call: IncomingCall,
    context: Arc<GateContext>,
) {
    let (call, mut replies) = match call.read().await {
        Ok(read) => read,
        Err(error) => {
            // Dropping the call resets its stream only; the others continue.
            log::warn!(event = "bad-call", error = error.to_string().as_str(); "");
            context.metrics.count("link.bad_call", 1);
            return;
        }
    };
    match call {
        LinkCall::HandOver(hand_over) => run_request(context, *hand_over, replies).await,
        LinkCall::Subscribe { entry_id } => {
            log::debug!(event = "subscribed", entry = entry_id.as_str(); "");
            send_events(&context, &mut replies).await;
        }
        LinkCall::Notice(notice) => {
            context
                .handle
                .send_event(AgentEvent::ConfigNoticeReceived(notice));
            send_single_reply(replies, LinkReply::Taken).await;
        }
        LinkCall::Drop(plan) => {
            context.transfers.drop_pieces(plan).await;
            send_single_reply(replies, LinkReply::Taken).await;
        }
        LinkCall::Order(order) => {
            let reply = match context.handle.order(order).await {
                Ok(()) => LinkReply::Taken,
                Err(refusal) => LinkReply::OrderRefused(refusal),
            };
            send_single_reply(replies, reply).await;
        }
    }
}

async fn send_single_reply(
    mut replies: ReplySender,
    reply: LinkReply,
) {
    if replies.send(&reply).await.is_ok() {
        let _ = replies.end();
    }
}

async fn send_events(
    context: &GateContext,
    replies: &mut ReplySender,
) {
    let beacon = context.handle.view().beacon.clone();
    let hello = LinkReply::Hello {
        endpoint_id: beacon.endpoint_id,
        incarnation: beacon.incarnation,
    };
    if replies.send(&hello).await.is_err() {
        return;
    }
    let (sender, batches) = async_channel::bounded(MAX_QUEUED_BATCHES);
    context.handle.subscribe(sender);
    while let Ok(batch) = batches.recv().await {
        if replies.send(&LinkReply::Events(batch)).await.is_err() {
            return;
        }
    }
}
