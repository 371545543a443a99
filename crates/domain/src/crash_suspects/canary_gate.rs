//! Limits the leaves at which one request may be in flight until the first of them has replied.

/// Leaves that receive a request first while its route sends canaries. A single leaf is often slow
/// or paused for a moment; two at the same time are rare.
const CANARIES: usize = 2;

/// How far the leaves at which a request may be in flight are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caution {
    /// To all required leaves at once.
    None,
    /// To a few leaves first, and to the others after the first reply.
    Canary,
    /// To one leaf at a time.
    OneAtATime,
    /// To a single leaf, and to others only after it has replied.
    Trial,
}

impl Caution {
    /// The mode as written to logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Canary => "canaries",
            Self::OneAtATime => "one_at_a_time",
            Self::Trial => "trial",
        }
    }
}

/// Whether a request may be sent to one more leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It may be sent now.
    Send,
    /// It may be allowed after a leaf has replied or terminated.
    Wait,
    /// It must not be sent any more.
    Never,
}

/// Decides for all parts, retries and hedges of one request whether it may be sent to one more
/// leaf. After a leaf has terminated with the request in flight, and until one has replied, the
/// request goes to one leaf at a time.
#[derive(Debug)]
pub struct CanaryGate {
    caution: Caution,
    /// Concurrent leaves allowed under [`Caution::Canary`].
    canaries: usize,
    /// Number of attempts in flight.
    in_flight: usize,
    /// Whether it has been sent to any leaf.
    sent: bool,
    /// Whether two or more attempts were in flight at once since there was last none in flight.
    concurrent: bool,
    /// Leaves that terminated with the request in flight.
    ended: u32,
    replied: bool,
    refused: bool,
}

impl CanaryGate {
    /// A gate for a request that is not sent yet.
    pub fn new(caution: Caution) -> Self {
        Self {
            caution,
            canaries: CANARIES,
            in_flight: 0,
            sent: false,
            concurrent: false,
            ended: 0,
            replied: false,
            refused: false,
        }
    }

    /// Limit of concurrent attempts; none for no limit.
    pub fn in_flight_limit(&self) -> Option<usize> {
        match self.caution {
            _ if self.replied => None,
            Caution::None => None,
            Caution::Canary => Some(self.canaries),
            Caution::OneAtATime | Caution::Trial => Some(1),
        }
    }

    /// Further attempts allowed now; none for no limit.
    pub fn available(&self) -> Option<usize> {
        Some(self.in_flight_limit()?.saturating_sub(self.in_flight))
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

    /// Allows one more canary after the first ones have exceeded the usual latency. Releasing all
    /// leaves at once would do most harm where leaves crash slowly.
    pub fn allow_extra_canary(&mut self) {
        self.canaries += 1;
    }

    /// Whether this is a trial of an otherwise refused request.
    pub fn is_trial(&self) -> bool {
        self.caution == Caution::Trial
    }

    /// Records that the request is sent to one more leaf.
    pub fn sent(&mut self) {
        self.sent = true;
        self.in_flight += 1;
        self.concurrent |= self.in_flight > 1;
    }

    /// Records the end of an attempt with a reply of a leaf that survived it.
    pub fn replied(&mut self) {
        self.over();
        self.replied = true;
    }

    /// Records the end of an attempt that says nothing about the request.
    pub fn over(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.concurrent &= self.in_flight > 0;
    }

    /// Records the end of an attempt by termination of its leaf. Returns whether the request was in
    /// flight at that leaf alone.
    pub fn leaf_ended(&mut self) -> bool {
        let alone = !self.concurrent;
        self.ended += 1;
        self.caution = self.caution.max(Caution::OneAtATime);
        self.over();
        alone
    }

    /// Refuses further attempts, unless a leaf has replied.
    pub fn refuse(&mut self) {
        self.refused = !self.replied;
    }

    /// Whether no two attempts were in flight at once since there was last none in flight.
    pub fn is_alone(&self) -> bool {
        !self.concurrent
    }

    /// Whether a leaf that survived the request has replied.
    pub fn is_answered(&self) -> bool {
        self.replied
    }

    /// Number of leaves that terminated with the request in flight.
    pub fn ended(&self) -> u32 {
        self.ended
    }

    /// Whether leaves terminated with the request in flight and none has replied.
    pub fn is_suspected(&self) -> bool {
        self.ended > 0 && !self.replied
    }
}
