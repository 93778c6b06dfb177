/// Engine at which a run resumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeSite {
    /// The engine that has the copy.
    Target,
    /// The engine that stopped the run.
    Source,
}

/// Reply of the source to a call that copies a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyReply {
    /// The copy is complete and has a handle.
    Copied,
    /// The source does not execute the run.
    NoRun,
    /// Another call for the run is in progress; this one had no effect.
    InProgress,
    /// There is no room at the target or no path to it.
    NoRoom {
        /// Whether the reply contains a handle: the run has stopped, and the source keeps it.
        has_handle: bool,
    },
    /// No reply: the call may have been executed or not, and may still be.
    Lost,
}

/// What happens to a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveEvent {
    /// The pending call has ended.
    Reply(CopyReply),
    /// The first call takes longer than the move may wait; its reply may still come.
    CallLate,
    /// The stream from the source has been closed without its end, and all of its events relayed.
    StreamClosed,
    /// The stream from the source has ended regularly.
    StreamEnded,
    /// The caller has closed its connection.
    CallerGone,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// An engine has other weights now, has restarted or is leaving: the run cannot resume there.
    Unusable(ResumeSite),
    /// The engine has begun to answer the resumed run.
    Resumed,
    /// The engine did not resume the run: not reachable, or the handle is unknown, used or expired.
    ResumeRefused,
    /// The request to resume was sent and not answered: the run may have resumed.
    ResumeLost,
}

/// What the front does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveAction {
    /// Nothing until the next event.
    Wait,
    /// Copies the run to the target.
    Call {
        /// Whether the run stops first.
        is_last: bool,
    },
    /// Sends the request with the handle and the id of the last relayed event.
    Resume(ResumeSite),
    /// Relays the stream as if there were no move; the move has ended.
    Continue,
    /// Handles the stream as lost, as if there were no move; the move has ended.
    GiveUp,
}

/// Outcome of one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveStep {
    /// What the front does next.
    pub action: MoveAction,
    /// Whether it deletes the handle, which is not used any more.
    pub drops_handle: bool,
}
