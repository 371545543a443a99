//! How many leaves one request may be under way at, until one of them has replied.

/// Leaves that a request goes to first where any request may crash leaves. One of them is often slow or stopped for a
/// moment; that two are is rare.
const CANARIES: usize = 2;

/// How carefully a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caution {
    /// To all leaves at once that it needs.
    None,
    /// To few leaves first.
    Canary,
    /// To one leaf at a time.
    OneAtATime,
    /// To one leaf at all, until it has replied.
    Trial,
}

impl Caution {
    /// In a few words, as logs say it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Canary => "canaries",
            Self::OneAtATime => "one_at_a_time",
            Self::Trial => "trial",
        }
    }
}

/// Whether the request may be sent to one more leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// Now.
    Send,
    /// Perhaps, once a leaf has replied or ended.
    Wait,
    /// Never again.
    Never,
}

/// Decides for all parts, retries and hedges of one request whether it may be sent to one more leaf. As soon as a
/// leaf has ended under it and none has replied, it goes to one leaf at a time.
#[derive(Debug)]
pub struct CanaryGate {
    caution: Caution,
    /// Leaves that it may go to first, while the caution is that of a canary.
    canaries: usize,
    /// Leaves that it is under way at.
    open: usize,
    /// Whether it was sent to a leaf.
    sent: bool,
    /// Whether it was under way at two leaves or more since it was last under way at none.
    crowded: bool,
    /// Leaves that ended under it.
    ended: u32,
    replied: bool,
    refused: bool,
}

impl CanaryGate {
    /// It was sent to nobody yet.
    pub fn new(caution: Caution) -> Self {
        Self {
            caution,
            canaries: CANARIES,
            open: 0,
            sent: false,
            crowded: false,
            ended: 0,
            replied: false,
            refused: false,
        }
    }

    /// At how many leaves it may be under way now; none for any number.
    pub fn in_flight_limit(&self) -> Option<usize> {
        match self.caution {
            _ if self.replied => None,
            Caution::None => None,
            Caution::Canary => Some(self.canaries),
            Caution::OneAtATime | Caution::Trial => Some(1),
        }
    }

    /// How many leaves more it may go to now; none for any number.
    pub fn available(&self) -> Option<usize> {
        Some(self.in_flight_limit()?.saturating_sub(self.open))
    }

    /// Whether it may be sent to one more leaf.
    pub fn permission(&self) -> Permission {
        match self.available() {
            _ if self.refused => Permission::Never,
            _ if self.is_trial() && self.sent && !self.replied => Permission::Never,
            Some(0) => Permission::Wait,
            _ => Permission::Send,
        }
    }

    /// The leaves that it went to first have had the time that leaves usually need: it goes to one more. All at
    /// once would do most harm where leaves crash slowly.
    pub fn allow_extra_canary(&mut self) {
        self.canaries += 1;
    }

    /// Whether it is refused otherwise, and goes to one leaf at all until that has replied.
    pub fn is_trial(&self) -> bool {
        self.caution == Caution::Trial
    }

    /// It is sent to one more leaf.
    pub fn sent(&mut self) {
        self.sent = true;
        self.open += 1;
        self.crowded |= self.open > 1;
    }

    /// An attempt is over, and a leaf has replied that has survived it.
    pub fn replied(&mut self) {
        self.over();
        self.replied = true;
    }

    /// An attempt is over that tells nothing of the request.
    pub fn over(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.crowded &= self.open > 0;
    }

    /// An attempt is over because its leaf has ended; gives whether the request was under way there alone.
    pub fn leaf_ended(&mut self) -> bool {
        let alone = !self.crowded;
        self.ended += 1;
        self.caution = self.caution.max(Caution::OneAtATime);
        self.over();
        alone
    }

    /// It is to be sent to nobody any more.
    pub fn refuse(&mut self) {
        self.refused = !self.replied;
    }

    /// Whether it has not been under way at two leaves or more since it was last under way at none.
    pub fn is_alone(&self) -> bool {
        !self.crowded
    }

    /// Whether a leaf has replied that has survived it.
    pub fn is_answered(&self) -> bool {
        self.replied
    }

    /// Leaves that ended under it.
    pub fn ended(&self) -> u32 {
        self.ended
    }

    /// Whether leaves have ended under it, and none has replied.
    pub fn is_suspected(&self) -> bool {
        self.ended > 0 && !self.replied
    }
}
