use crate::serving::{CopyReply, MoveAction, MoveEvent, MoveStep, ResumeSite};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MovePhase {
    /// The run is copied while it continues.
    Copying,
    /// The stopping call is pending; the run has stopped or not.
    Stopping { is_closed: bool },
    /// The stopping call brought no certain result; the end of the stream shows it.
    Uncertain,
    /// The run has stopped; its stream is not closed yet.
    Stopped(ResumeSite),
    /// The request to resume has been sent.
    Resuming(ResumeSite),
    /// The move has ended, but a call is pending whose handle must be dropped.
    Abandoned,
    /// The move has ended.
    Ended,
}

/// State of one move, without I/O.
///
/// The run resumes only with a handle and only after its stream from the source is closed, so that
/// it never runs twice and no event is relayed twice. In every case of doubt the stream goes on, or
/// is handled, as if there were no move.
#[derive(Debug, Clone)]
pub struct RunMove {
    phase: MovePhase,
    has_handle: bool,
    is_target_usable: bool,
    is_source_usable: bool,
}

impl RunMove {
    /// Starts a move; the front makes the first call.
    pub fn start() -> (Self, MoveAction) {
        let run_move = RunMove {
            phase: MovePhase::Copying,
            has_handle: false,
            is_target_usable: true,
            is_source_usable: true,
        };
        (run_move, MoveAction::Call { is_last: false })
    }

    /// Whether the move has ended and no call is pending.
    pub fn is_ended(&self) -> bool {
        self.phase == MovePhase::Ended
    }

    /// Whether a call to the source is pending.
    pub fn is_call_pending(&self) -> bool {
        matches!(
            self.phase,
            MovePhase::Copying | MovePhase::Stopping { .. } | MovePhase::Abandoned
        )
    }

    /// Whether the request to resume has been sent and not answered.
    pub fn is_resuming(&self) -> bool {
        matches!(self.phase, MovePhase::Resuming(_))
    }

    /// Whether the run has stopped and only the close of its stream is awaited.
    pub fn awaits_close(&self) -> bool {
        matches!(self.phase, MovePhase::Stopped(_))
    }

    /// Handles an event.
    pub fn on_event(
        &mut self,
        event: MoveEvent,
    ) -> MoveStep {
        match event {
            _ if self.is_ended() => step(MoveAction::Wait),
            MoveEvent::Reply(reply) => self.on_reply(reply),
            MoveEvent::CallLate if self.phase == MovePhase::Copying => {
                self.abandon(MoveAction::Continue)
            }
            MoveEvent::CallLate => step(MoveAction::Wait),
            MoveEvent::StreamClosed => self.on_closed(),
            MoveEvent::StreamEnded => self.abandon(MoveAction::Continue),
            MoveEvent::CallerGone | MoveEvent::DeadlinePassed => self.abandon(MoveAction::GiveUp),
            MoveEvent::Unusable(site) => {
                *self.usable(site) = false;
                step(MoveAction::Wait)
            }
            MoveEvent::Resumed => {
                self.has_handle = false;
                self.end(MoveAction::Continue)
            }
            MoveEvent::ResumeRefused => match self.phase {
                MovePhase::Resuming(site) => {
                    *self.usable(site) = false;
                    self.resume(site)
                }
                _ => step(MoveAction::Wait),
            },
            MoveEvent::ResumeLost => self.end(MoveAction::GiveUp),
        }
    }

    fn on_reply(
        &mut self,
        reply: CopyReply,
    ) -> MoveStep {
        self.has_handle |= matches!(
            reply,
            CopyReply::Copied | CopyReply::NoRoom { has_handle: true }
        );
        match self.phase {
            MovePhase::Copying if reply == CopyReply::Copied && self.is_target_usable => {
                self.phase = MovePhase::Stopping { is_closed: false };
                step(MoveAction::Call { is_last: true })
            }
            MovePhase::Copying => self.end(MoveAction::Continue),
            MovePhase::Stopping { is_closed } => self.on_stop_reply(reply, is_closed),
            MovePhase::Abandoned => self.end(MoveAction::Wait),
            _ => step(MoveAction::Wait),
        }
    }

    fn on_stop_reply(
        &mut self,
        reply: CopyReply,
        is_closed: bool,
    ) -> MoveStep {
        let site = match reply {
            CopyReply::NoRoom { .. } => ResumeSite::Source,
            _ => ResumeSite::Target,
        };
        if site == ResumeSite::Source {
            self.is_target_usable = false;
        }
        match (reply, is_closed) {
            (_, true) => self.resume(site),
            (CopyReply::Copied | CopyReply::NoRoom { has_handle: true }, false) => {
                self.phase = MovePhase::Stopped(site);
                step(MoveAction::Wait)
            }
            // The call had no effect, so the run has not stopped.
            (CopyReply::InProgress, false) => self.end(MoveAction::Continue),
            (CopyReply::NoRun | CopyReply::NoRoom { .. } | CopyReply::Lost, false) => {
                self.phase = MovePhase::Uncertain;
                step(MoveAction::Wait)
            }
        }
    }

    fn on_closed(&mut self) -> MoveStep {
        match self.phase {
            // Without a stopping call, the stream is lost as any other.
            MovePhase::Copying => self.abandon(MoveAction::GiveUp),
            MovePhase::Stopping { .. } => {
                self.phase = MovePhase::Stopping { is_closed: true };
                step(MoveAction::Wait)
            }
            MovePhase::Uncertain => self.resume(ResumeSite::Target),
            MovePhase::Stopped(site) => self.resume(site),
            MovePhase::Resuming(_) | MovePhase::Abandoned | MovePhase::Ended => {
                step(MoveAction::Wait)
            }
        }
    }

    /// Resumes at the preferred engine or, if it cannot, at the other one.
    fn resume(
        &mut self,
        preferred: ResumeSite,
    ) -> MoveStep {
        let other = match preferred {
            ResumeSite::Target => ResumeSite::Source,
            ResumeSite::Source => ResumeSite::Target,
        };
        let site = [preferred, other]
            .into_iter()
            .find(|site| *self.usable(*site));
        match site.filter(|_| self.has_handle) {
            Some(site) => {
                self.phase = MovePhase::Resuming(site);
                step(MoveAction::Resume(site))
            }
            None => self.end(MoveAction::GiveUp),
        }
    }

    fn usable(
        &mut self,
        site: ResumeSite,
    ) -> &mut bool {
        match site {
            ResumeSite::Target => &mut self.is_target_usable,
            ResumeSite::Source => &mut self.is_source_usable,
        }
    }

    /// Ends the move, after the pending call if there is one: a handle that is deleted while its
    /// copy is in progress could be created again.
    fn abandon(
        &mut self,
        action: MoveAction,
    ) -> MoveStep {
        match self.phase {
            MovePhase::Abandoned => step(MoveAction::Wait),
            _ if self.is_call_pending() => {
                self.phase = MovePhase::Abandoned;
                step(action)
            }
            _ => self.end(action),
        }
    }

    fn end(
        &mut self,
        action: MoveAction,
    ) -> MoveStep {
        self.phase = MovePhase::Ended;
        MoveStep {
            action,
            drops_handle: std::mem::take(&mut self.has_handle),
        }
    }
}

fn step(action: MoveAction) -> MoveStep {
    MoveStep {
        action,
        drops_handle: false,
    }
}
