use {
    super::{EngineCache, EngineChanges, EngineHealth, EngineOrder, HangSignal},
    crate::conf::AgentSettings,
    pitchhitch_core::{
        kv_cache::PieceKey,
        role::{EndpointOrder, StampedOrder},
        route::EndpointKind,
    },
    pitchhitch_services::http::{CallError, ServiceClient},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    trillium_client::{Client, Conn},
    trillium_smol::ClientConfig,
};

/// Timeout of health checks and of requests for the cache.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of importing or exporting a piece.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of an order, such as loading weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// HTTP client for the agent's endpoint.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    shared: Arc<SharedClient>,
}

#[derive(Debug)]
struct SharedClient {
    pooled: Client,
    unpooled: Client,
    queries: ServiceClient,
    pieces: ServiceClient,
    orders: ServiceClient,
    address: SocketAddr,
    health_path: String,
    is_engine: bool,
    checks_orders: bool,
    hang_signal: HangSignal,
}

impl EndpointClient {
    /// Creates a client for the endpoint in the settings.
    pub fn new(settings: &AgentSettings) -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        EndpointClient {
            shared: Arc::new(SharedClient {
                pooled: Client::new(config).with_default_pool(),
                unpooled: Client::new(config),
                queries: ServiceClient::new(settings.endpoint, QUERY_TIMEOUT),
                pieces: ServiceClient::new(settings.endpoint, PIECE_TIMEOUT),
                orders: ServiceClient::new(settings.endpoint, ORDER_TIMEOUT),
                address: settings.endpoint,
                health_path: settings.health_path.clone(),
                checks_orders: settings.checks_orders,
                is_engine: matches!(settings.kind, EndpointKind::Engine { .. }),
                hang_signal: HangSignal::default(),
            }),
        }
    }

    /// Whether the endpoint is a model engine.
    pub fn is_engine(&self) -> bool {
        self.shared.is_engine
    }

    /// Tells when the endpoint has stopped responding.
    pub fn hang_signal(&self) -> &HangSignal {
        &self.shared.hang_signal
    }

    /// Creates a request to the endpoint.
    ///
    /// A request that is not repeatable gets a new connection: a pooled one may be closed
    /// by the endpoint just as it is reused, and then it is unknown whether the request ran.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        repeatable: bool,
    ) -> Conn {
        let client = if repeatable {
            &self.shared.pooled
        } else {
            &self.shared.unpooled
        };
        client.build_conn(method, format!("http://{}{path}", self.shared.address))
    }

    /// Requests the health of an engine.
    ///
    /// # Errors
    /// [`CallError`] if it does not respond in time.
    pub async fn engine_health(&self) -> Result<EngineHealth, CallError> {
        self.shared.queries.get_json("/engine/health").await
    }

    /// Checks the health of a plain service.
    ///
    /// # Errors
    /// [`CallError`] if it is unhealthy or does not respond in time.
    pub async fn service_health(&self) -> Result<(), CallError> {
        let conn = self.shared.queries.request("GET", &self.shared.health_path);
        self.shared.queries.send(conn).await.map(|_| ())
    }

    /// Lists the whole cache of an engine.
    ///
    /// # Errors
    /// [`CallError`] if it does not respond in time.
    pub async fn list_cache(&self) -> Result<EngineCache, CallError> {
        self.shared.queries.get_json("/engine/cache").await
    }

    /// Requests the changes of an engine's cache, starting at sequence number `from`.
    ///
    /// # Errors
    /// [`CallError`] if it does not respond in time.
    pub async fn cache_changes(
        &self,
        from: u64,
    ) -> Result<EngineChanges, CallError> {
        self.shared
            .queries
            .get_json(&format!("/engine/cache/events?from={from}"))
            .await
    }

    /// Exports a piece; none if the engine no longer has it.
    ///
    /// # Errors
    /// [`CallError`] if it does not respond in time.
    pub async fn export_piece(
        &self,
        key: PieceKey,
    ) -> Result<Option<Vec<u8>>, CallError> {
        let conn = self
            .shared
            .pieces
            .request("GET", &format!("/engine/kv/{key}"));
        match self.shared.pieces.send(conn).await {
            Ok(response) => Ok(Some(response.body)),
            Err(CallError::Status { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Imports a piece whose checksum has been verified.
    ///
    /// # Errors
    /// [`CallError`] if the engine does not accept it in time.
    pub async fn import_piece(
        &self,
        key: PieceKey,
        version: &str,
        bytes: Vec<u8>,
    ) -> Result<(), CallError> {
        let conn = self
            .shared
            .pieces
            .request("PUT", &format!("/engine/kv/{key}"));
        let conn = conn.with_request_header(super::VERSION_HEADER, version.to_string());
        self.shared
            .pieces
            .send(conn.with_body(bytes))
            .await
            .map(|_| ())
    }

    /// Has the engine execute an order and waits until it is done.
    ///
    /// # Errors
    /// [`CallError`] if the engine refuses it or does not finish in time.
    pub async fn run_order(
        &self,
        order: &StampedOrder,
    ) -> Result<(), CallError> {
        let mut message = EngineOrder {
            version: None,
            adapter: None,
            role: None,
            stamp: self.shared.checks_orders.then_some(order.stamp),
        };
        let path = match &order.order {
            EndpointOrder::LoadVersion { version } => {
                message.version = Some(version.clone());
                "/engine/load"
            }
            EndpointOrder::LoadAdapter { adapter } => {
                message.adapter = Some(adapter.clone());
                "/engine/adapter"
            }
            EndpointOrder::ChangeRole { role } => {
                message.role = Some(role.clone());
                "/engine/role"
            }
        };
        let _: EngineHealth = self.shared.orders.post_json(path, &message).await?;
        Ok(())
    }
}
