use {
    super::{CommitAnswer, CommitOutcome, CommitQuery, ReadAnswer, ReadQuery, RowWrite, TableRow},
    crate::http::{CallError, HttpCaller},
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
    caller: HttpCaller,
    use_count: Arc<TableUse>,
}

/// Calls made so far, for the budget of the whole fleet.
#[derive(Debug, Default)]
pub struct TableUse {
    /// Read calls.
    pub reads: AtomicU64,
    /// Commit calls.
    pub writes: AtomicU64,
}

impl TableClient {
    /// A client of the service at `address`.
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        TableClient {
            caller: HttpCaller::new(address, timeout),
            use_count: Arc::default(),
        }
    }

    /// Calls made so far.
    pub fn usage(&self) -> &TableUse {
        &self.use_count
    }

    /// Reads rows once, all at one moment.
    ///
    /// # Errors
    /// [`CallError`] when no answer came in time.
    pub async fn read(
        &self,
        keys: &[String],
    ) -> Result<Vec<TableRow>, CallError> {
        self.use_count.reads.fetch_add(1, Ordering::Relaxed);
        let query = ReadQuery {
            keys: keys.to_vec(),
        };
        let answer: ReadAnswer = self.caller.post_json("/table/read", &query).await?;
        Ok(answer.rows)
    }

    /// Reads one row once; none when it is not there.
    ///
    /// # Errors
    /// [`CallError`] when no answer came in time.
    pub async fn read_row(
        &self,
        key: &str,
    ) -> Result<Option<TableRow>, CallError> {
        let rows = self.read(&[key.to_string()]).await?;
        Ok(rows.into_iter().next())
    }

    /// Writes rows once.
    pub async fn commit(
        &self,
        writes: &[RowWrite],
    ) -> CommitOutcome {
        self.use_count.writes.fetch_add(1, Ordering::Relaxed);
        let query = CommitQuery {
            writes: writes.to_vec(),
        };
        match self.caller.post_json("/table/commit", &query).await {
            Ok(CommitAnswer::Done { versions }) => CommitOutcome::Done { versions },
            Ok(CommitAnswer::Conflict { keys }) => CommitOutcome::Conflict { keys },
            Err(error) => CommitOutcome::Unknown { error },
        }
    }

    /// Writes rows, and when the answer is lost finds out by reading back.
    ///
    /// The values must be such that nobody else writes the same. Tries go on
    /// with jittered pauses until `patience` is over; only then is the outcome
    /// left unknown.
    pub async fn commit_settled(
        &self,
        writes: &[RowWrite],
        patience: Duration,
        seed: u64,
    ) -> CommitOutcome {
        let started = Instant::now();
        let mut random = Pcg32::seed_from_u64(seed);
        let mut attempt = 0;
        let mut lost_before = false;
        loop {
            attempt += 1;
            let outcome = self.commit(writes).await;
            match &outcome {
                CommitOutcome::Done { .. } => return outcome,
                // A conflict after a lost answer may be with our own write.
                CommitOutcome::Conflict { .. } if !lost_before => return outcome,
                CommitOutcome::Conflict { .. } => {
                    if let Ok(settled) = self.read_back(writes).await {
                        return settled.unwrap_or(outcome);
                    }
                }
                CommitOutcome::Unknown { .. } => {
                    lost_before = true;
                    if let Ok(Some(settled)) = self.read_back(writes).await {
                        return settled;
                    }
                }
            }
            if started.elapsed() >= patience {
                return match outcome {
                    CommitOutcome::Conflict { keys } => CommitOutcome::Unknown {
                        error: CallError::NoAnswer {
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

    /// Whether the rows have the values that were to be written.
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
