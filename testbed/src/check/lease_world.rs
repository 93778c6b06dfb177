use {
    pitchhitch_core::{
        lease::{LeaseMachine, LeaseRow, LeaseStep, LeaseTimes},
        time::Micros,
    },
    std::collections::HashSet,
};

/// Lease times in units of the check, as short as their order allows.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    duration: Micros(2),
    interval: Micros(1),
    margin: Micros(1),
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    Read { asked_at: Micros },
    Write { version: u64, row: LeaseRow },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Answer {
    Row {
        row: Option<LeaseRow>,
        version: u64,
        asked_at: Micros,
    },
    Written {
        version: u64,
    },
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    machine: LeaseMachine,
    life: u32,
    sent: Option<Call>,
    answer: Option<Answer>,
}

/// One state of the checked system: two processes, the lease row, and calls in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWorld {
    now: Micros,
    row: Option<LeaseRow>,
    version: u64,
    processes: [Process; 2],
    /// Writes whose sender has timed out; they may still take effect.
    late_writes: Vec<(u64, LeaseRow)>,
    faults: u32,
}

fn start_process(
    number: usize,
    life: u32,
) -> Process {
    Process {
        machine: LeaseMachine::new(format!("p{number}.{life}"), LEASE_TIMES),
        life,
        sent: None,
        answer: None,
    }
}

/// The state before any process holds the lease; up to `faults` faults may follow.
pub fn initial_world(faults: u32) -> LeaseWorld {
    LeaseWorld {
        now: Micros(10),
        row: None,
        version: 0,
        processes: [start_process(0, 0), start_process(1, 0)],
        late_writes: Vec::new(),
        faults,
    }
}

impl LeaseWorld {
    fn write(
        &mut self,
        expected: u64,
        row: &LeaseRow,
    ) -> Answer {
        let found = if self.row.is_some() { self.version } else { 0 };
        if found != expected {
            return Answer::Refused;
        }
        self.version += 1;
        self.row = Some(row.clone());
        Answer::Written {
            version: self.version,
        }
    }

    /// Epochs of the processes that consider themselves lease holders now.
    pub fn holders(&self) -> Vec<u64> {
        self.processes
            .iter()
            .filter_map(|p| p.machine.epoch(self.now))
            .collect()
    }

    /// All possible next states.
    fn successors(
        &self,
        end: Micros,
    ) -> Vec<LeaseWorld> {
        let mut next = Vec::new();
        if self.now < end {
            let mut advanced = self.clone();
            advanced.now = advanced.now + Micros(1);
            next.push(advanced);
        }
        for number in 0..self.processes.len() {
            self.step_process(number, &mut next);
            self.step_table(number, &mut next);
            if self.faults > 0 {
                self.step_faults(number, &mut next);
            }
        }
        for index in 0..self.late_writes.len() {
            let mut world = self.clone();
            let (version, row) = world.late_writes.remove(index);
            world.write(version, &row);
            next.push(world);
        }
        next
    }

    fn step_process(
        &self,
        number: usize,
        next: &mut Vec<LeaseWorld>,
    ) {
        let mut world = self.clone();
        let now = world.now;
        let process = &mut world.processes[number];
        if let Some(answer) = process.answer.take() {
            match answer {
                Answer::Row {
                    row,
                    version,
                    asked_at,
                } => process.machine.on_row_read(row, version, asked_at, now),
                Answer::Written { version } => process.machine.on_row_written(version, now),
                Answer::Refused => process.machine.on_write_conflict(),
            }
            next.push(world);
            return;
        }
        if process.sent.is_some() {
            return;
        }
        match process.machine.step(now) {
            LeaseStep::Wait => return,
            LeaseStep::Read => process.sent = Some(Call::Read { asked_at: now }),
            LeaseStep::Write { version, row } => process.sent = Some(Call::Write { version, row }),
        }
        next.push(world);
    }

    fn step_table(
        &self,
        number: usize,
        next: &mut Vec<LeaseWorld>,
    ) {
        let mut world = self.clone();
        let Some(call) = world.processes[number].sent.take() else {
            return;
        };
        let answer = match call {
            Call::Read { asked_at } => Answer::Row {
                row: world.row.clone(),
                version: if world.row.is_some() {
                    world.version
                } else {
                    0
                },
                asked_at,
            },
            Call::Write { version, row } => world.write(version, &row),
        };
        world.processes[number].answer = Some(answer);
        next.push(world);
    }

    fn step_faults(
        &self,
        number: usize,
        next: &mut Vec<LeaseWorld>,
    ) {
        // The sender times out; the write takes effect later, or never.
        if let Some(Call::Write { version, row }) = &self.processes[number].sent {
            for late in [true, false] {
                let mut world = self.clone();
                world.faults -= 1;
                world.processes[number].sent = None;
                world.processes[number].machine.on_write_unknown();
                if late {
                    world.late_writes.push((*version, row.clone()));
                }
                next.push(world);
            }
        }
        // The write took effect, but its response is lost.
        if let Some(Answer::Written { .. }) = &self.processes[number].answer {
            let mut world = self.clone();
            world.faults -= 1;
            world.processes[number].answer = None;
            world.processes[number].machine.on_write_unknown();
            next.push(world);
        }
        // The process crashes and restarts; a write that it sent may still take effect.
        let mut world = self.clone();
        world.faults -= 1;
        let life = world.processes[number].life + 1;
        if let Some(Call::Write { version, row }) = world.processes[number].sent.take() {
            world.late_writes.push((version, row));
        }
        world.processes[number] = start_process(number, life);
        next.push(world);
    }
}

/// Visits every state that is reachable until `end`, checks each, and returns their number.
///
/// # Errors
/// Returns the first state that `check` refuses; also fails beyond `limit` states.
pub fn explore_leases(
    start: LeaseWorld,
    end: Micros,
    limit: usize,
    check: impl Fn(&LeaseWorld) -> Result<(), String>,
) -> Result<usize, String> {
    let mut visited = HashSet::new();
    let mut pending = vec![start];
    while let Some(world) = pending.pop() {
        check(&world).map_err(|text| format!("{text}: {world:#?}"))?;
        for next in world.successors(end) {
            if visited.insert(next.clone()) {
                pending.push(next);
            }
        }
        if visited.len() > limit {
            return Err(format!("more than {limit} states"));
        }
    }
    Ok(visited.len())
}

/// The invariant of the protocol: at most one process considers itself the lease holder.
///
/// # Errors
/// Fails if several do.
pub fn check_single_holder(world: &LeaseWorld) -> Result<(), String> {
    match world.holders().len() {
        0 | 1 => Ok(()),
        count => Err(format!("{count} holders")),
    }
}

impl LeaseWorld {
    /// Advances by `units` units of time, without faults and with every call answered at once.
    pub fn run_without_faults(
        &mut self,
        units: u64,
    ) {
        for _ in 0..units {
            self.now = self.now + Micros(1);
            for number in 0..self.processes.len() {
                self.run_process(number);
            }
        }
    }

    fn run_process(
        &mut self,
        number: usize,
    ) {
        for _ in 0..STEPS_PER_UNIT {
            let mut next = Vec::new();
            self.step_process(number, &mut next);
            if next.is_empty() {
                self.step_table(number, &mut next);
            }
            if let Some(world) = next.pop() {
                *self = world;
            }
        }
    }

    /// Crashes the process that holds the lease and restarts it.
    pub fn crash_holder(&mut self) {
        let now = self.now;
        let holder = self
            .processes
            .iter()
            .position(|p| p.machine.epoch(now).is_some());
        if let Some(number) = holder {
            let life = self.processes[number].life + 1;
            self.processes[number] = start_process(number, life);
        }
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.now
    }
}

/// Steps of one process per unit of time, enough for a read and a write.
const STEPS_PER_UNIT: u32 = 6;
