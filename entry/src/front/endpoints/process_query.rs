use {
    crate::front::{is_engine, FrontContext, HEALTH_TIMEOUT},
    pitchhitch_core::serving::{EndpointKey, ProcessReply},
    pitchhitch_http1::{HttpClient, HttpFailure, HttpRequest, HttpResponse, UnframedBody},
    pitchhitch_platform::{
        decode_report, instance_field, is_from_intended, keep_alive_timeout, REPORT_PATH,
    },
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
};

/// Timeout of an engine's report, which waits for no slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Questions to a process that closes the connection: one with too many of them closes new ones.
const MAX_QUERIES: u32 = 2;

/// Asks the process at an endpoint's port whether it is the one to which a request was sent: by
/// the start time in its report if that is known, otherwise by the id in a health check.
#[derive(Debug)]
pub(crate) struct ProcessQuery {
    key: EndpointKey,
    address: SocketAddr,
    id: String,
    /// Start time of the process to which the request was sent, if it is an engine that tells it.
    born: Option<u64>,
    health_path: Option<String>,
}

impl ProcessQuery {
    /// A question to the endpoint, whose process had the start time `born` if that is known; `None` if
    /// the endpoint is no longer known.
    pub fn new(
        front: &FrontContext,
        key: EndpointKey,
        born: Option<u64>,
    ) -> Option<Self> {
        let state = front.state();
        let config = state.config.as_ref()?;
        let entry = state.registry.get(key)?;
        let service = config.services.get(&entry.service);
        Some(ProcessQuery {
            key,
            address: entry.address,
            id: entry.id.clone(),
            born: born.filter(|_| is_engine(config, entry)),
            health_path: service.and_then(|service| service.health_path.clone()),
        })
    }

    /// Sends the question, and a second one if the first connection is closed.
    pub async fn send(
        &self,
        front: &FrontContext,
    ) -> ProcessReply {
        let mut reply = ProcessReply::Unproven;
        for _ in 0..MAX_QUERIES {
            reply = match self.born {
                Some(born) => self.ask_report(front, born).await,
                None => self.ask_health(front).await,
            };
            if reply != ProcessReply::Unproven {
                break;
            }
        }
        reply
    }

    async fn ask_report(
        &self,
        front: &FrontContext,
        born: u64,
    ) -> ProcessReply {
        let request = HttpRequest {
            method: "GET",
            target: REPORT_PATH,
            unframed_body: UnframedBody::Returned,
            ..HttpRequest::default()
        };
        let report = match self.call(front, request, REPORT_TIMEOUT).await {
            // Only a whole report can be decoded.
            Ok(response) => decode_report(&response.body, front.now()).ok(),
            Err(failure) if failed_reply(&failure) == ProcessReply::Refused => {
                return ProcessReply::Refused;
            }
            Err(_) => None,
        };
        match report.and_then(|report| report.born) {
            Some(reported) if reported == born => ProcessReply::SameStart,
            Some(_) => ProcessReply::Other,
            None => self.ask_health(front).await,
        }
    }

    async fn ask_health(
        &self,
        front: &FrontContext,
    ) -> ProcessReply {
        let Some(path) = &self.health_path else {
            return ProcessReply::Unproven;
        };
        let request = HttpRequest {
            method: "GET",
            target: path,
            fields: vec![instance_field(&self.id)],
            unframed_body: UnframedBody::Dropped,
            ..HttpRequest::default()
        };
        match self.call(front, request, HEALTH_TIMEOUT).await {
            // An endpoint that is leaving or full says so, and is there.
            Ok(response) => match is_from_intended(&response, &self.id) {
                Some(true) => ProcessReply::SameId,
                Some(false) => ProcessReply::Other,
                None => ProcessReply::Unproven,
            },
            Err(failure) => failed_reply(&failure),
        }
    }

    /// The connection is kept for the next request to the endpoint.
    async fn call(
        &self,
        front: &FrontContext,
        request: HttpRequest<'_>,
        timeout: Duration,
    ) -> Result<HttpResponse, HttpFailure> {
        front.metrics.increment("links", "process-queries");
        let mut client = HttpClient::new(self.address, timeout);
        let response = client.call(request).await?;
        if let Some(connection) = client.into_connection() {
            let timeout = keep_alive_timeout(&response.fields);
            let now = front.now();
            front.state().pool.put(self.key, connection, timeout, now);
        }
        Ok(response)
    }
}

fn failed_reply(failure: &HttpFailure) -> ProcessReply {
    match failure {
        HttpFailure::NoConnection(error) if error.kind() == ErrorKind::ConnectionRefused => {
            ProcessReply::Refused
        }
        _ => ProcessReply::Unproven,
    }
}
