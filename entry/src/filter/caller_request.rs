use {
    super::Refusal,
    pitchhitch_core::{errors::ErrorKind, time::Micros},
    pitchhitch_wire::messages::{is_hop_by_hop, HeaderField},
    trillium::{Conn, Method},
};

/// Whether the request may run more than once: `yes` or `no`.
pub const REPEATABLE_HEADER: &str = "x-pitchhitch-repeatable";
/// Time within which the response must begin, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-pitchhitch-deadline-ms";
/// Kind of work; the reuse of prompts is predicted per label.
pub const LABEL_HEADER: &str = "x-pitchhitch-label";
/// Idempotency key: requests with the same key run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Id of the request, on each response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Whether the request ran, on error responses.
pub const RAN_HEADER: &str = "x-pitchhitch-ran";

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;
/// Longest label or idempotency key.
const MAX_TEXT_BYTES: usize = 256;
/// Headers that are not forwarded to the endpoint.
const STRIPPED_HEADERS: [&str; 5] = [
    "authorization",
    "content-length",
    REPEATABLE_HEADER,
    DEADLINE_HEADER,
    LABEL_HEADER,
];

/// Options that the caller set by request headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// Whether the request may run more than once; `None` if the caller did not specify it.
    pub repeatable: Option<bool>,
    /// Idempotency key; requests with the same key run at most once.
    pub idempotency_key: Option<String>,
    /// Time within which the response must begin.
    pub deadline: Option<Micros>,
    /// Kind of work; empty if none was given.
    pub label: String,
}

/// A request as received from the caller, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id, unique in the deployment.
    pub id: String,
    /// Sequence number in this process.
    pub number: u64,
    /// HTTP method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Query without question mark.
    pub query: String,
    /// Headers that are forwarded to the endpoint.
    pub headers: Vec<HeaderField>,
    /// Options set by the caller.
    pub options: RequestOptions,
}

impl CallerRequest {
    /// Reads the request head from a connection.
    ///
    /// # Errors
    /// [`Refusal`] when an option header has an invalid value.
    pub fn from_conn(
        conn: &Conn,
        id: String,
        number: u64,
    ) -> Result<Self, Refusal> {
        Ok(CallerRequest {
            id,
            number,
            method: conn.method(),
            path: conn.path().to_string(),
            query: conn.querystring().to_string(),
            headers: forwarded_headers(conn),
            options: parse_options(conn)?,
        })
    }

    /// Path with query.
    pub fn path_and_query(&self) -> String {
        if self.query.is_empty() {
            self.path.clone()
        } else {
            format!("{}?{}", self.path, self.query)
        }
    }
}

fn forwarded_headers(conn: &Conn) -> Vec<HeaderField> {
    let mut fields = Vec::new();
    for (name, values) in conn.request_headers() {
        let name = name.to_string().to_ascii_lowercase();
        if is_hop_by_hop(&name) || STRIPPED_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter().filter_map(|v| v.as_str()) {
            fields.push(HeaderField {
                name: name.clone(),
                value: value.to_string(),
            });
        }
    }
    fields
}

fn parse_options(conn: &Conn) -> Result<RequestOptions, Refusal> {
    let headers = conn.request_headers();
    let repeatable = match headers.get_str(REPEATABLE_HEADER) {
        None => None,
        Some("yes") => Some(true),
        Some("no") => Some(false),
        Some(other) => return Err(invalid_header(REPEATABLE_HEADER, other, "yes or no")),
    };
    let deadline = match headers.get_str(DEADLINE_HEADER) {
        None => None,
        Some(text) => {
            let millis = text
                .parse()
                .ok()
                .filter(|m| (1..=MAX_DEADLINE_MS).contains(m));
            let wanted = "a whole number of milliseconds";
            let millis = millis.ok_or_else(|| invalid_header(DEADLINE_HEADER, text, wanted))?;
            Some(Micros::from_millis(millis))
        }
    };
    let idempotency_key = match headers.get_str(IDEMPOTENCY_HEADER) {
        None => None,
        Some(key) if !key.is_empty() && key.len() <= MAX_TEXT_BYTES => Some(key.to_string()),
        Some(_) => {
            return Err(invalid_header(
                IDEMPOTENCY_HEADER,
                "an empty or overlong key",
                "1 to 256 bytes",
            ))
        }
    };
    let label = headers.get_str(LABEL_HEADER).unwrap_or_default();
    if label.len() > MAX_TEXT_BYTES {
        return Err(invalid_header(
            LABEL_HEADER,
            "an overlong label",
            "at most 256 bytes",
        ));
    }
    Ok(RequestOptions {
        repeatable,
        idempotency_key,
        deadline,
        label: label.to_string(),
    })
}

fn invalid_header(
    name: &str,
    found: &str,
    wanted: &str,
) -> Refusal {
    Refusal::new(
        ErrorKind::BadHeader,
        format!("header {name}: found {found}, wanted {wanted}"),
    )
}
