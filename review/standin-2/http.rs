//! A small HTTP/1.1 server and client for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a stand-in received it.
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, decoded; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        value.map_or(String::new(), |(_, value)| percent_decode(value))
    }

    /// First value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// One connection that a stand-in has accepted.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Reads the next request; `None` once the connection has ended.
    pub fn read(&mut self) -> Option<Request> {
        let line = self.read_line()?;
        let mut words = line.split(' ');
        let target = words.nth(1)?.to_string();
        let headers = self.read_headers()?;
        let length = content_length(&headers).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        Some(Request {
            target,
            headers,
            body,
        })
    }

    fn read_headers(&mut self) -> Option<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Some(headers);
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut out = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }

    /// Sends a JSON answer.
    pub fn answer_json(&mut self, status: u16, body: &str) -> bool {
        self.answer(status, &[("Content-Type", "application/json")], body.as_bytes())
    }
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let mut headers = headers.iter();
    let found = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok())
}

/// Serves each connection to `address` on a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                if let Ok(connection) = Connection::new(stream) {
                    handle(connection);
                }
            });
        }
    });
    Ok(())
}

/// An answer as a client received it.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its framing says that it is complete.
    pub is_complete: bool,
}

/// Sends one request on a new connection and reads the answer; `None` if there is none.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut connection = Connection::new(stream).ok()?;
    connection.stream.write_all(request).ok()?;
    let line = connection.read_line()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = connection.read_headers()?;
    let mut answer = Answer {
        status,
        headers,
        ..Answer::default()
    };
    answer.is_complete = match content_length(&answer.headers) {
        Some(length) => read_exactly(&mut connection, length, &mut answer.body),
        None => read_chunks(&mut connection, &mut answer.body),
    };
    Some(answer)
}

fn read_exactly(connection: &mut Connection, length: usize, body: &mut Vec<u8>) -> bool {
    let mut limited = (&mut connection.reader).take(length as u64);
    let _ = limited.read_to_end(body);
    body.len() == length
}

fn read_chunks(connection: &mut Connection, body: &mut Vec<u8>) -> bool {
    while let Some(line) = connection.read_line() {
        let Ok(size) = usize::from_str_radix(&line, 16) else {
            return false;
        };
        let end = body.len() + size;
        let mut chunk = Vec::new();
        let is_whole = read_exactly(connection, size, &mut chunk);
        body.extend(chunk);
        if !is_whole || body.len() != end || connection.read_line().is_none() {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
    false
}
