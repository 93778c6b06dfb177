use {
    super::{
        CommitOutcome, CommitRequest, CommitResponse, ReadRequest, ReadResponse, RowWrite, TableRow,
    },
    crate::http::{CallError, ServiceClient},
    pitchhitch_core::retry::BackoffPolicy,
    rand::SeedableRng,
    rand_pcg::Pcg32,
    smol::Timer,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

/// Client of the table service.
#[derive(Debug, Clone)]
pub struct TableClient {
    client: ServiceClient,
    usage: Arc<TableUsage>,
}

/// Number of calls made, for checking the call budget of the fleet.
#[derive(Debug, Default)]
pub struct TableUsage {
    /// Number of read calls.
    pub reads: AtomicU64,
    /// Number of commit calls.
    pub writes: AtomicU64,
}

impl TableClient {
    /// Creates a client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        TableClient {
            client: ServiceClient::new(address, timeout),
            usage: Arc::default(),
        }
    }

    /// Number of calls made by this client and its clones.
    pub fn usage(&self) -> &TableUsage {
        &self.usage
    }

    /// Reads rows once, as one consistent snapshot.
    ///
    /// # Errors
    /// [`CallError`] if no response was received in time.
    pub async fn read(
        &self,
        keys: &[String],
    ) -> Result<Vec<TableRow>, CallError> {
        self.usage.reads.fetch_add(1, Ordering::Relaxed);
        let request = ReadRequest {
            keys: keys.to_vec(),
        };
        let response: ReadResponse = self.client.post_json("/table/read", &request).await?;
        Ok(response.rows)
    }

    /// Reads one row once; `None` if it does not exist.
    ///
    /// # Errors
    /// [`CallError`] if no response was received in time.
    pub async fn read_row(
        &self,
        key: &str,
    ) -> Result<Option<TableRow>, CallError> {
        let rows = self.read(&[key.to_string()]).await?;
        Ok(rows.into_iter().next())
    }

    /// Writes rows once, without retries.
    pub async fn commit(
        &self,
        writes: &[RowWrite],
    ) -> CommitOutcome {
        self.usage.writes.fetch_add(1, Ordering::Relaxed);
        let request = CommitRequest {
            writes: writes.to_vec(),
        };
        match self.client.post_json("/table/commit", &request).await {
            Ok(CommitResponse::Done { versions }) => CommitOutcome::Done { versions },
            Ok(CommitResponse::Conflict { keys }) => CommitOutcome::Conflict { keys },
            Err(error) => CommitOutcome::Unknown { error },
        }
    }

    /// Writes rows and, if the response is lost, determines the outcome by reading them back.
    ///
    /// The values must be unique to this writer. Attempts continue with jittered backoff until
    /// `timeout`; only then is the outcome reported as unknown.
    pub async fn commit_confirmed(
        &self,
        writes: &[RowWrite],
        timeout: Duration,
        seed: u64,
    ) -> CommitOutcome {
        let started = Instant::now();
        let mut random = Pcg32::seed_from_u64(seed);
        let mut attempt = 0;
        let mut response_lost = false;
        loop {
            attempt += 1;
            let outcome = self.commit(writes).await;
            match &outcome {
                CommitOutcome::Done { .. } => return outcome,
                // After a lost response, the conflict may be with this client's own write.
                CommitOutcome::Conflict { .. } if !response_lost => return outcome,
                CommitOutcome::Conflict { .. } => {
                    if let Ok(confirmed) = self.read_back(writes).await {
                        return confirmed.unwrap_or(outcome);
                    }
                }
                CommitOutcome::Unknown { .. } => {
                    response_lost = true;
                    if let Ok(Some(confirmed)) = self.read_back(writes).await {
                        return confirmed;
                    }
                }
            }
            if started.elapsed() >= timeout {
                return match outcome {
                    CommitOutcome::Conflict { keys } => CommitOutcome::Unknown {
                        error: CallError::NoResponse {
                            url: keys.join(","),
                            reason: "the outcome could not be read back".to_string(),
                        },
                    },
                    other => other,
                };
            }
            let pause = BackoffPolicy::PLATFORM.delay(attempt, &mut random);
            Timer::after(Duration::from_micros(pause.0)).await;
        }
    }

    /// Reads the rows and returns the outcome if they have the values to be written.
    async fn read_back(
        &self,
        writes: &[RowWrite],
    ) -> Result<Option<CommitOutcome>, CallError> {
        let keys: Vec<String> = writes.iter().map(|w| w.key.clone()).collect();
        let rows = self.read(&keys).await?;
        let mut versions = Vec::with_capacity(writes.len());
        for write in writes {
            let row = rows.iter().find(|r| r.key == write.key);
            let value = row.map(|r| &r.value);
            if value != write.value.as_ref() {
                return Ok(None);
            }
            versions.push(row.map_or(0, |r| r.version));
        }
        Ok(Some(CommitOutcome::Done { versions }))
    }
}
