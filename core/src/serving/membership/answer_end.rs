/// A connection to the endpoint of an answer that was open before its request was sent, some
/// milliseconds after the answer's own connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessState {
    /// It is still open: the process is running.
    Open,
    /// It was open shortly before the end, and has been closed since.
    Closed,
    /// There was none, or it was closed earlier, as idle connections are.
    Missing,
}

/// What the process that has the endpoint's port now replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessReply {
    /// It has the start time of the process to which the request was sent.
    SameStart,
    /// It has the id of the endpoint.
    SameId,
    /// It has another start time or id.
    Other,
    /// No process accepts connections.
    Refused,
    /// Nothing that identifies it.
    Unproven,
}

/// On what grounds the end of an answer was judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The framing of the answer.
    Framing,
    /// The state of the witness.
    Witness,
    /// The start time in the report of the process.
    Report,
    /// The id in a health check.
    Health,
    /// The port, which is closed.
    Port,
    /// A restart that the endpoint list, or the endpoint's agent, has reported.
    Restart,
    /// There is no proof.
    None,
}

impl EndProof {
    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            EndProof::Framing => "framing",
            EndProof::Witness => "witness",
            EndProof::Report => "report",
            EndProof::Health => "health",
            EndProof::Port => "port",
            EndProof::Restart => "restart",
            EndProof::None => "none",
        }
    }
}

/// Whether an answer that has ended with its connection is passed on as whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndVerdict {
    /// Whether the process that sent it is still running.
    pub is_whole: bool,
    /// On what grounds.
    pub proof: EndProof,
}

/// What is known about an answer that has ended with its connection. Its end says that a process
/// closed the connection: the system does so for one that was killed, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEvidence {
    /// Whether a later start of the endpoint has been reported since the request was sent.
    pub has_restarted: bool,
    /// State of the witness.
    pub witness: WitnessState,
    /// Reply of the process, once it has been asked.
    pub reply: Option<ProcessReply>,
}

impl EndEvidence {
    /// The verdict; `None` if the process has to be asked first. An answer without a proof is not
    /// whole.
    pub fn verdict(&self) -> Option<EndVerdict> {
        let (is_whole, proof) = match (self.witness, self.has_restarted) {
            (WitnessState::Open, _) => (true, EndProof::Witness),
            (_, true) => (false, EndProof::Restart),
            (WitnessState::Closed, false) => (false, EndProof::Witness),
            (WitnessState::Missing, false) => judge_reply(self.reply?),
        };
        Some(EndVerdict { is_whole, proof })
    }
}

fn judge_reply(reply: ProcessReply) -> (bool, EndProof) {
    match reply {
        ProcessReply::SameStart => (true, EndProof::Report),
        ProcessReply::SameId => (true, EndProof::Health),
        ProcessReply::Other => (false, EndProof::Restart),
        ProcessReply::Refused => (false, EndProof::Port),
        ProcessReply::Unproven => (false, EndProof::None),
    }
}
