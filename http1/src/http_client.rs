use {
    super::{read_answer_head, BodyDecoder, BodyFraming, ByteLink, HeadFields},
    smol::Timer,
    std::{io::Write, net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// Longest head of an answer, in bytes.
const HEAD_LIMIT: usize = 16 << 10;
/// Longest body of an answer, in bytes; the platform gives 1 MB of rows, coded.
const BODY_LIMIT: usize = 4 << 20;

/// One small call.
#[derive(Debug, Clone, Default)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Further headers.
    pub fields: Vec<(String, String)>,
    /// Body, in JSON where there is one.
    pub body: Vec<u8>,
    /// Time beyond the client's limit, where the other side is asked to wait.
    pub extra_time: Duration,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub fields: HeadFields,
    /// Body.
    pub body: Vec<u8>,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum HttpFailure {
    /// No connection came up: nothing was asked.
    #[error("no connection: {0}")]
    NoConnection(std::io::Error),
    /// The connection broke: what was asked may have been done.
    #[error("connection broken: {0}")]
    Broken(std::io::Error),
    /// No answer in time: what was asked may have been done.
    #[error("no answer in time")]
    Late,
    /// The bytes are no answer.
    #[error("the answer cannot be read")]
    Unreadable,
}

/// A client for small calls, one after another, over one connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    limit: Duration,
    link: Option<ByteLink>,
}

impl HttpClient {
    /// A client of `address`; each call ends after `limit`.
    pub fn new(
        address: SocketAddr,
        limit: Duration,
    ) -> Self {
        HttpClient {
            address,
            limit,
            link: None,
        }
    }

    /// Lets each later call take so long.
    pub fn set_limit(
        &mut self,
        limit: Duration,
    ) {
        self.limit = limit;
    }

    /// Makes a call. After any failure the next one takes a new connection:
    /// an answer that still comes belongs to nobody.
    ///
    /// # Errors
    /// [`HttpFailure`] where there is no whole answer.
    pub async fn call(
        &mut self,
        call: HttpCall<'_>,
    ) -> Result<HttpAnswer, HttpFailure> {
        let limit = self.limit + call.extra_time;
        let kept = self.link.take();
        let work = exchange(self.address, self.limit, kept, &call);
        let late = async {
            Timer::after(limit).await;
            Err(HttpFailure::Late)
        };
        let (answer, link) = futures_lite::future::or(work, late).await?;
        self.link = link;
        Ok(answer)
    }

    /// Makes a call and gives back the body of an answer with status 200; for
    /// callers that do the same after any failure.
    pub async fn sound_body(
        &mut self,
        call: HttpCall<'_>,
    ) -> Option<Vec<u8>> {
        let answer = self.call(call).await.ok()?;
        (answer.status == 200).then_some(answer.body)
    }
}

async fn exchange(
    address: SocketAddr,
    limit: Duration,
    kept: Option<ByteLink>,
    call: &HttpCall<'_>,
) -> Result<(HttpAnswer, Option<ByteLink>), HttpFailure> {
    let mut kept = kept;
    let is_quiet = |link: &mut ByteLink| link.idle_state() == super::IdleState::Quiet;
    let usable = kept.as_mut().is_some_and(is_quiet);
    let mut link = match kept.filter(|_| usable) {
        Some(link) => link,
        None => ByteLink::open(address, limit)
            .await
            .map_err(HttpFailure::NoConnection)?,
    };
    link.write_all(&encode(address, call))
        .await
        .map_err(HttpFailure::Broken)?;
    let (answer, closes) = read_answer(&mut link).await?;
    Ok((answer, (!closes).then_some(link)))
}

fn encode(
    address: SocketAddr,
    call: &HttpCall<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + call.body.len());
    // Writing to memory does not fail.
    let _ = write!(
        out,
        "{} {} HTTP/1.1\r\nhost: {address}\r\n",
        call.method, call.target
    );
    for (name, value) in &call.fields {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if !call.body.is_empty() {
        let length = call.body.len();
        let _ = write!(
            out,
            "content-type: application/json\r\ncontent-length: {length}\r\n"
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&call.body);
    out
}

async fn read_answer(link: &mut ByteLink) -> Result<(HttpAnswer, bool), HttpFailure> {
    let head = loop {
        let found = read_answer_head(link.unused(), HEAD_LIMIT);
        match found.map_err(|_| HttpFailure::Unreadable)? {
            Some((head, length)) => {
                link.use_up(length);
                if head.status >= 200 {
                    break head;
                }
            }
            None => fill(link).await?,
        }
    };
    let framing = BodyFraming::of_answer(head.status, &head.fields);
    let mut decoder = BodyDecoder::new(framing.map_err(|_| HttpFailure::Unreadable)?);
    let mut body = Vec::new();
    loop {
        let used = decoder.decode(link.unused(), &mut body);
        link.use_up(used.map_err(|_| HttpFailure::Unreadable)?);
        if decoder.is_done() {
            break;
        }
        if body.len() > BODY_LIMIT {
            return Err(HttpFailure::Unreadable);
        }
        fill(link).await?;
    }
    let closes = head.fields.has_word("connection", "close") || !link.unused().is_empty();
    let answer = HttpAnswer {
        status: head.status,
        fields: head.fields,
        body,
    };
    Ok((answer, closes))
}

async fn fill(link: &mut ByteLink) -> Result<(), HttpFailure> {
    match link.read_more().await {
        Ok(0) => Err(HttpFailure::Broken(
            std::io::ErrorKind::UnexpectedEof.into(),
        )),
        Ok(_) => Ok(()),
        Err(error) => Err(HttpFailure::Broken(error)),
    }
}
