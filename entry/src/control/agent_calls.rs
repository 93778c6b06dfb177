use {
    super::ControlHandle,
    crate::traffic::EndpointLink,
    pitchhitch_core::role::{ConfigNotice, EntryEvent, StampedOrder, StoredPiece},
    pitchhitch_services::stores::StoreClient,
    pitchhitch_wire::messages::{DropPlan, LinkCall, LinkReply, PinnedPiece},
    smol::Timer,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Most attempts to deliver a notice to an agent.
const NOTICE_ATTEMPTS: u32 = 5;
/// Delay between two attempts to deliver a notice.
const NOTICE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout for listing the content of a store box.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

async fn call_once(
    link: &EndpointLink,
    call: &LinkCall,
) -> Option<LinkReply> {
    let agent = link.connection()?;
    let mut replies = agent.call(call).await.ok()?;
    replies.next().await.ok()?
}

/// Sends an agent the configuration of its endpoint. If the link breaks in the meantime,
/// the notice is sent again once the agent's event stream has been reopened.
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

/// Sends an order to an agent, without retries: an agent accepts a stamp only once.
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

/// Builds the message that drops pieces from a store box.
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

/// Requests an agent to drop pieces. A failure is ignored: the store box remains full and reports
/// that again.
pub async fn send_drop(
    link: Arc<EndpointLink>,
    plan: DropPlan,
) {
    let _ = call_once(&link, &LinkCall::Drop(plan)).await;
}

/// Lists all pieces of a store box and sends them to the control thread.
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
