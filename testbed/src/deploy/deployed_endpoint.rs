use {
    super::{ChildProcess, Deployment, BEACON_SECRET},
    crate::{engine::FakeEngine, fakes::PlainService, proxy::FaultProxy},
    serde_json::{json, Value},
    std::net::SocketAddr,
};

/// The endpoint behind an agent.
#[derive(Debug)]
pub enum EndpointStandIn {
    /// A model engine.
    Engine(FakeEngine),
    /// A plain service.
    Service(PlainService),
    /// An endpoint in another process.
    External,
}

/// One endpoint with its agent.
#[derive(Debug)]
pub struct DeployedEndpoint {
    /// Endpoint id.
    pub id: String,
    /// The endpoint.
    pub stand_in: EndpointStandIn,
    /// Proxy between agent and endpoint, if requested.
    pub proxy: Option<FaultProxy>,
    /// The agent process; `None` where it was stopped.
    pub agent: Option<ChildProcess>,
}

/// Settings of an endpoint to be added.
struct NewEndpoint {
    id: String,
    kind: Value,
    group: String,
    number: usize,
}

impl Deployment {
    fn new_engine(
        &self,
        number: usize,
    ) -> NewEndpoint {
        NewEndpoint {
            id: format!("{}-engine-{}", self.shape.name, number + 1),
            kind: json!({"engine": {"model": self.shape.model, "version": self.shape.version}}),
            group: self.engine_group(),
            number,
        }
    }

    fn new_service(
        &self,
        number: usize,
    ) -> NewEndpoint {
        NewEndpoint {
            id: format!("{}-service-{}", self.shape.name, number + 1),
            kind: json!({"service": {"service": self.shape.service}}),
            group: format!("{}-services", self.shape.name),
            number,
        }
    }

    /// Starts an engine and its agent.
    ///
    /// # Errors
    /// When either cannot be started.
    pub async fn add_engine(
        &mut self,
        number: usize,
        proxied: bool,
    ) -> anyhow::Result<()> {
        let engine = FakeEngine::start(self.shape.engine_shape(self.platform.address))?;
        let address = engine.address;
        let stand_in = EndpointStandIn::Engine(engine);
        let endpoint = self.new_engine(number);
        self.add_endpoint(endpoint, address, stand_in, proxied)
            .await
    }

    /// Starts a plain service and its agent.
    ///
    /// # Errors
    /// When either cannot be started.
    pub async fn add_service(
        &mut self,
        number: usize,
        proxied: bool,
    ) -> anyhow::Result<()> {
        let service = PlainService::start(self.runs.clone())?;
        let address = service.address;
        let stand_in = EndpointStandIn::Service(service);
        let endpoint = self.new_service(number);
        self.add_endpoint(endpoint, address, stand_in, proxied)
            .await
    }

    /// Starts an agent for an engine in another process.
    ///
    /// # Errors
    /// When it cannot be started.
    pub async fn add_external_engine(
        &mut self,
        number: usize,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let endpoint = self.new_engine(number);
        self.add_endpoint(endpoint, address, EndpointStandIn::External, false)
            .await
    }

    /// Starts an agent for a plain service in another process.
    ///
    /// # Errors
    /// When it cannot be started.
    pub async fn add_external_service(
        &mut self,
        number: usize,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let endpoint = self.new_service(number);
        self.add_endpoint(endpoint, address, EndpointStandIn::External, false)
            .await
    }

    async fn add_endpoint(
        &mut self,
        endpoint: NewEndpoint,
        address: SocketAddr,
        stand_in: EndpointStandIn,
        proxied: bool,
    ) -> anyhow::Result<()> {
        let proxy = match proxied {
            true => Some(FaultProxy::start(address).await?),
            false => None,
        };
        let address = proxy.as_ref().map_or(address, |p| p.address);
        let NewEndpoint {
            id,
            kind,
            group,
            number,
        } = endpoint;
        let domain = &self.shape.failure_domains[number % self.shape.failure_domains.len()];
        let settings = json!({
            "endpoint_id": id, "failure_domain": domain, "group": group, "kind": kind,
            "labels": {"site": if number % 2 == 0 { "a" } else { "b" }},
            "listen": "127.0.0.1:0", "beacons": "127.0.0.1:0", "endpoint": address,
            "table": self.platform.address, "boxes": self.platform.address,
            "beacon_secret": BEACON_SECRET,
            "slots": self.shape.slots, "queue_limit": 64,
            "health_path": self.shape.health_path, "checks_orders": true,
        });
        self.write_settings(&id, &settings)?;
        let agent = self.start_agent(&id)?;
        self.endpoints.push(DeployedEndpoint {
            id,
            stand_in,
            proxy,
            agent: Some(agent),
        });
        Ok(())
    }
}
