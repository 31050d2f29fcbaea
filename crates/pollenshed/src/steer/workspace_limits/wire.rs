//! Messages about limits of workspaces as they are sent.

use pollenshed_coordination::steering::workspace_limit::{
    Ack, Ask, AskNumber, Grant, InstanceKey, Kept, LimitMessage, Mark, Pledge, WorkspaceKey,
};
use prost::Message;

/// A message about limits of workspaces. It has one of the parts.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct LimitDatagram {
    #[prost(message, optional, tag = "1")]
    pledge: Option<PledgePart>,
    #[prost(message, optional, tag = "2")]
    ack: Option<AckPart>,
    #[prost(message, optional, tag = "3")]
    ask: Option<AskPart>,
    #[prost(message, optional, tag = "4")]
    grant: Option<GrantPart>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct PledgePart {
    #[prost(fixed32, tag = "1")]
    from: u32,
    #[prost(uint32, tag = "2")]
    slot: u32,
    #[prost(fixed32, optional, tag = "3")]
    run: Option<u32>,
    #[prost(uint64, tag = "4")]
    at_ms: u64,
    #[prost(uint32, tag = "5")]
    divisor: u32,
    /// Workspaces whose share is not pledged as a whole.
    #[prost(fixed32, repeated, tag = "6")]
    kept: Vec<u32>,
    /// Sixteenths that are kept, in the same order.
    #[prost(bytes = "vec", tag = "7")]
    parts: Vec<u8>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct AckPart {
    #[prost(fixed32, tag = "1")]
    from: u32,
    #[prost(uint32, tag = "2")]
    slot: u32,
    #[prost(fixed32, tag = "3")]
    run: u32,
    #[prost(uint64, tag = "4")]
    at_ms: u64,
    /// Time from the start of the pledge that is held to `at_ms`.
    #[prost(uint64, optional, tag = "5")]
    held_age_ms: Option<u64>,
    #[prost(bool, tag = "6")]
    released: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct AskPart {
    #[prost(fixed32, tag = "1")]
    run: u32,
    #[prost(uint32, tag = "2")]
    number: u32,
    #[prost(fixed32, tag = "3")]
    workspace: u32,
    /// Whether the second of the workspace's two keepers is asked.
    #[prost(bool, tag = "4")]
    second: bool,
    /// Permits beyond the first one.
    #[prost(uint32, tag = "5")]
    want_more: u32,
    #[prost(uint32, tag = "6")]
    returned: u32,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct GrantPart {
    #[prost(uint32, tag = "1")]
    number: u32,
    #[prost(uint32, tag = "2")]
    granted: u32,
    #[prost(uint32, tag = "3")]
    room_ms: u32,
}

impl LimitDatagram {
    /// Returns the form of a message in which it is sent.
    pub fn new(message: &LimitMessage) -> LimitDatagram {
        let empty = LimitDatagram::default();
        match message {
            LimitMessage::Pledge(p) => LimitDatagram { pledge: Some(PledgePart::new(p)), ..empty },
            LimitMessage::Ack(a) => LimitDatagram { ack: Some(AckPart::new(a)), ..empty },
            LimitMessage::Ask(a) => LimitDatagram { ask: Some(AskPart::new(a)), ..empty },
            LimitMessage::Grant(g) => LimitDatagram { grant: Some(GrantPart::new(g)), ..empty },
        }
    }

    /// Returns the message, `None` if there is none.
    pub fn message(self) -> Option<LimitMessage> {
        let LimitDatagram { pledge, ack, ask, grant } = self;
        let pledge = pledge.map(|p| LimitMessage::Pledge(p.pledge()));
        let ack = ack.map(|a| LimitMessage::Ack(a.ack()));
        let ask = ask.map(|a| LimitMessage::Ask(a.ask()));
        let grant = grant.map(|g| LimitMessage::Grant(g.grant()));
        pledge.or(ack).or(ask).or(grant)
    }
}

impl PledgePart {
    fn new(pledge: &Pledge) -> PledgePart {
        PledgePart {
            from: pledge.from.0,
            slot: pledge.slot,
            run: pledge.mark.map(|mark| mark.run),
            at_ms: pledge.mark.map_or(0, |mark| mark.at_ms),
            divisor: pledge.divisor,
            kept: pledge.kept.iter().map(|kept| kept.workspace.0).collect(),
            parts: pledge.kept.iter().map(|kept| kept.parts).collect(),
        }
    }

    fn pledge(self) -> Pledge {
        let kept = self.kept.iter().zip(&self.parts);
        let kept = kept.map(|(key, parts)| Kept { workspace: WorkspaceKey(*key), parts: *parts });
        Pledge {
            from: InstanceKey(self.from),
            slot: self.slot,
            mark: self.run.map(|run| Mark { run, at_ms: self.at_ms }),
            divisor: self.divisor,
            kept: kept.collect(),
        }
    }
}

impl AckPart {
    fn new(ack: &Ack) -> AckPart {
        let Ack { from, slot, mark, held_ms, released } = *ack;
        let Mark { run, at_ms } = mark;
        let held_age_ms = held_ms.map(|held_ms| at_ms.saturating_sub(held_ms));
        AckPart { from: from.0, slot, run, at_ms, held_age_ms, released }
    }

    fn ack(&self) -> Ack {
        let AckPart { from, slot, run, at_ms, held_age_ms, released } = *self;
        let held_ms = held_age_ms.map(|age_ms| at_ms.saturating_sub(age_ms));
        Ack { from: InstanceKey(from), slot, mark: Mark { run, at_ms }, held_ms, released }
    }
}

impl AskPart {
    fn new(ask: &Ask) -> AskPart {
        let Ask { run, number, workspace, slot, want, returned } = *ask;
        let second = slot as usize == workspace.slots()[1];
        let want_more = want.saturating_sub(1);
        AskPart { run, number: number.0, workspace: workspace.0, second, want_more, returned }
    }

    fn ask(&self) -> Ask {
        let AskPart { run, number, workspace, second, want_more, returned } = *self;
        let workspace = WorkspaceKey(workspace);
        let slot = workspace.slots()[usize::from(second)] as u32;
        let number = AskNumber(number);
        Ask { run, number, workspace, slot, want: want_more.saturating_add(1), returned }
    }
}

impl GrantPart {
    fn new(grant: &Grant) -> GrantPart {
        let Grant { number, granted, room_ms } = *grant;
        GrantPart { number: number.0, granted, room_ms }
    }

    fn grant(&self) -> Grant {
        let GrantPart { number, granted, room_ms } = *self;
        Grant { number: AskNumber(number), granted, room_ms }
    }
}
