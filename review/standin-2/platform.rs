//! Stand-in for the platform's metadata store: rows, feeds and transactions as its page describes.

use {
    crate::{
        http::{serve, Connection, Request},
        json::{base64, Json},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value of each row, in base64; a removed row has no value.
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
}

/// The store.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<(Mutex<Rows>, Condvar)>,
    record: Record,
}

impl Platform {
    pub fn start(address: SocketAddr, record: &Record) -> io::Result<Self> {
        let platform = Platform {
            shared: Arc::default(),
            record: record.clone(),
        };
        let served = platform.clone();
        serve(address, move |mut connection| {
            while let Some(request) = connection.read() {
                if !served.handle(&request, &mut connection) {
                    return;
                }
            }
        })?;
        Ok(platform)
    }

    /// Writes a row with an empty part, as operators and engines do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row with an empty part.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().expect("lock");
        rows.version += 1;
        let version = rows.version;
        let row_key = (table.to_string(), String::new(), key.to_string());
        rows.rows.insert(row_key, (version, value));
        changed.notify_all();
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> bool {
        match request.path() {
            "/api/rows-get" => connection.answer_json(200, &self.page(request)),
            "/api/rows-feed" => connection.answer_json(200, &self.feed(request)),
            "/api/rows-tx" => {
                let (status, body) = self.transact(&Json::parse(&request.body));
                connection.answer_json(status, &body)
            }
            _ => connection.answer_json(404, "{}"),
        }
    }

    fn page(&self, request: &Request) -> String {
        let (table, part) = (request.query("table"), request.query("part"));
        let from = request.query("from");
        let limit = request.query("limit").parse().unwrap_or(500);
        let rows = self.shared.0.lock().expect("lock");
        let is_found = |key: &RowKey| key.0 == table && key.1 == part && key.2 >= from;
        let found = rows.rows.iter();
        let found = found.filter(|(key, (_, value))| is_found(key) && value.is_some());
        let found: Vec<String> = found.map(|(key, row)| row_json(key, row)).collect();
        let page: Vec<String> = found.iter().take(limit).cloned().collect();
        format!(
            "{{\"rows\":[{}],\"more\":{},\"ver\":{},\"now_ms\":{}}}",
            page.join(","),
            found.len() > limit,
            rows.version,
            self.record.clock_ms()
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().expect("lock");
        loop {
            let found = rows.rows.iter();
            let found = found.filter(|(key, (version, _))| key.0 == table && *version > after);
            let mut found: Vec<(u64, String)> =
                found.map(|(key, row)| (row.0, row_json(key, row))).collect();
            found.sort();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let texts: Vec<String> = found.into_iter().map(|(_, text)| text).collect();
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    texts.join(","),
                    rows.version,
                    self.record.clock_ms()
                );
            }
            rows = changed.wait_timeout(rows, left).expect("lock").0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().expect("lock");
        let expected = body.get("expected").list();
        let current = |key: &RowKey| rows.rows.get(key).filter(|(_, value)| value.is_some());
        let holds = |entry: &Json| {
            let version = current(&row_key(entry)).map_or(0, |(version, _)| *version);
            version == entry.get("ver").number()
        };
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(row_key);
            let found = keys.filter_map(|key| current(&key).map(|row| row_json(&key, row)));
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"rows\":[{}]}}", found.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.get("put").list() {
            let value = entry.get("value").text().to_string();
            rows.rows.insert(row_key(entry), (version, Some(value)));
        }
        for entry in body.get("remove").list() {
            rows.rows.insert(row_key(entry), (version, None));
        }
        changed.notify_all();
        let clock = self.record.clock_ms();
        (200, format!("{{\"ver\":{version},\"now_ms\":{clock}}}"))
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name: &str| entry.get(name).text().to_string();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &RowKey, (version, value): &(u64, Option<String>)) -> String {
    let (table, part, key) = key;
    let tail = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"gone\":true".to_string(),
    };
    let place = format!("\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\"");
    format!("{{{place},\"ver\":{version},{tail}}}")
}
