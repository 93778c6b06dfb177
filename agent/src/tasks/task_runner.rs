use {
    crate::{
        control::{AgentTask, ControlHandle},
        endpoint::{list_cache, EndpointClient},
    },
    async_channel::Receiver,
    pitchhitch_core::{
        lease::{shard_of, LeaseRow},
        role::{AgentEvent, EndpointOrder, OrderOutcome, StampedOrder, LEASE_PREFIX},
    },
    pitchhitch_process::spawn_detached,
    pitchhitch_services::table::TableClient,
};

/// Executes the tasks of the control thread.
#[derive(Debug, Clone)]
pub struct TaskRunner {
    /// Client of the endpoint.
    pub client: EndpointClient,
    /// Client of the table service.
    pub table: TableClient,
    /// Handle of the control thread.
    pub handle: ControlHandle,
    /// Group of the endpoint; its shard's lease covers the orders.
    pub group: String,
}

impl TaskRunner {
    /// Executes tasks one after another, except for orders, which run concurrently. Returns when
    /// the channel is closed.
    pub async fn run(
        self,
        tasks: Receiver<AgentTask>,
    ) {
        while let Ok(task) = tasks.recv().await {
            match task {
                AgentTask::ListCache => {
                    list_cache(&self.client, &self.handle).await;
                }
                AgentTask::RunOrder(order) => spawn_detached(self.clone().run_order(order)),
                AgentTask::ReadEpoch => self.read_epoch().await,
            }
        }
    }

    async fn run_order(
        self,
        order: StampedOrder,
    ) {
        let result = self.client.run_order(&order).await;
        let failure = result.err().map(|e| e.to_string());
        let text = format!("{:?}", order.order);
        let outcome = failure.clone().unwrap_or("done".to_string());
        log::info!(event = "order-ended", order = text.as_str(), outcome = outcome.as_str(); "");
        if let EndpointOrder::LoadVersion { version } = order.order {
            self.handle
                .send_event(AgentEvent::OrderEnded(OrderOutcome { version, failure }));
        }
    }

    /// Reads the lease epoch once. If that fails, the state machine requests it again on
    /// the next tick.
    async fn read_epoch(&self) {
        let key = format!("{LEASE_PREFIX}{}", shard_of(&self.group));
        let Ok(row) = self.table.read_row(&key).await else {
            return;
        };
        let epoch = match row {
            None => 0,
            Some(row) => match serde_json::from_str::<LeaseRow>(&row.value) {
                Ok(lease) => lease.epoch,
                Err(_) => return,
            },
        };
        self.handle.send_event(AgentEvent::EpochRead(epoch));
    }
}
