use {
    super::ControlHandle,
    crate::traffic::EndpointLink,
    pitchhitch_core::role::{ConfigNotice, EntryEvent, StampedOrder, StoredPiece},
    pitchhitch_services::stores::StoreClient,
    pitchhitch_wire::messages::{DropPlan, LinkCall, LinkReply, PinnedPiece},
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Tries of telling an agent a notice.
const NOTICE_ATTEMPTS: u32 = 5;
/// Pause between two of them.
const NOTICE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time limit of listing a store box.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

async fn call_once(
    link: &EndpointLink,
    call: &LinkCall,
) -> Option<LinkReply> {
    let agent = link.get()?;
    let mut replies = agent.call(call).await.ok()?;
    replies.next().await.ok()?
}

/// Tells an agent what the configuration says. When the link breaks meanwhile,
/// the agent is told again as soon as its event stream is open anew.
pub async fn send_notice(
    link: Arc<EndpointLink>,
    notice: ConfigNotice,
) {
    for _ in 0..NOTICE_ATTEMPTS {
        if call_once(&link, &LinkCall::Notice(notice)).await == Some(LinkReply::Taken) {
            return;
        }
        Timer::after(NOTICE_RETRY_DELAY).await;
    }
    let endpoint = link.endpoint_id.as_str();
    log::warn!(event = "notice-not-taken", endpoint = endpoint, revision = notice.revision; "");
}

/// Gives an agent an order, once: the stamp forbids a second time.
pub async fn send_order(
    link: Arc<EndpointLink>,
    order: StampedOrder,
    control: ControlHandle,
) {
    let reply = call_once(&link, &LinkCall::Order(order)).await;
    if reply == Some(LinkReply::Taken) {
        return;
    }
    let endpoint = link.endpoint_id.as_str();
    let reply = format!("{reply:?}");
    log::warn!(event = "order-not-taken", endpoint = endpoint, reply = reply.as_str(); "");
    control.send_event(EntryEvent::OrderFailed {
        endpoint_id: link.endpoint_id.clone(),
    });
}

/// The message for dropping pieces.
pub fn drop_plan(
    store: String,
    address: SocketAddr,
    pieces: &[StoredPiece],
) -> DropPlan {
    let pieces = pieces.iter().map(|piece| PinnedPiece {
        key: piece.key,
        generation: piece.generation,
    });
    DropPlan {
        store,
        address,
        pieces: pieces.collect(),
    }
}

/// Has pieces dropped. If it fails, the store box stays full and says so again.
pub async fn send_drop(
    link: Arc<EndpointLink>,
    plan: DropPlan,
) {
    let _ = call_once(&link, &LinkCall::Drop(plan)).await;
}

/// Asks a store box for all that it holds.
pub async fn list_store(
    store: String,
    address: SocketAddr,
    control: ControlHandle,
) {
    match StoreClient::new(address, LIST_TIMEOUT).list().await {
        Ok(content) => control.send_event(EntryEvent::StoreListed {
            store,
            pieces: content.pieces.into_iter().map(StoredPiece::from).collect(),
        }),
        Err(error) => {
            let error = error.to_string();
            log::info!(event = "store-not-listed", store = store.as_str(), error = error.as_str(); "");
        }
    }
}
