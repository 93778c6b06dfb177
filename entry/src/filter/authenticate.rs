use {
    super::Refusal, crate::traffic::TrafficView, pitchhitch_core::errors::ErrorKind, trillium::Conn,
};

const BEARER: &str = "Bearer ";

/// First filter: finds the organisation of the caller's bearer key.
///
/// # Errors
/// [`ErrorKind::NotReady`] without a configuration, [`ErrorKind::BadKey`] without a valid key.
pub fn authenticate(
    conn: &Conn,
    view: &TrafficView,
) -> Result<String, Refusal> {
    if view.table.config.revision == 0 {
        return Err(Refusal::new(
            ErrorKind::NotReady,
            "this process has no configuration yet",
        ));
    }
    let header = conn.request_headers().get_str("authorization");
    let key = header.and_then(|h| h.strip_prefix(BEARER)).map(str::trim);
    let key = key.ok_or_else(|| Refusal::new(ErrorKind::BadKey, "the bearer key is missing"))?;
    match view.keys.organisation(key) {
        Some(organisation) => Ok(organisation.to_string()),
        None => Err(Refusal::new(
            ErrorKind::BadKey,
            "the bearer key belongs to nobody",
        )),
    }
}
